package fleet

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"gullfall/internal/membership"
)

// How a coordinator logs that data nodes were listed: a line for each, or one line with their number where a list names many.
const (
	nodeListed  = `msg="data node ` + string(membership.Listed) + `"`
	nodesListed = `msg="data nodes ` + string(membership.Listed) + `"`
	countField  = "count="
)

// Listed is how many data nodes the program has logged as listed.
func (c *Coordinator) Listed() int {
	raw, _ := os.ReadFile(filepath.Join(c.dir, logFile))
	return countListed(string(raw))
}

func countListed(log string) (listed int) {
	for line := range strings.Lines(log) {
		switch {
		case strings.Contains(line, nodeListed):
			listed++
		case strings.Contains(line, nodesListed):
			listed += countOf(line)
		}
	}
	return listed
}

// countOf reads the field count of a log line; 0 where there is none.
func countOf(line string) int {
	for _, word := range strings.Fields(line) {
		if text, ok := strings.CutPrefix(word, countField); ok {
			count, _ := strconv.Atoi(text)
			return count
		}
	}
	return 0
}
