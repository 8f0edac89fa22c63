package fleet

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"gullfall/internal/membership"
)

// Log messages of a coordinator for listed data nodes: one line per data node, or one line with their count for a long list.
const (
	nodeListed  = `msg="data node ` + string(membership.Listed) + `"`
	nodesListed = `msg="data nodes ` + string(membership.Listed) + `"`
	countField  = "count="
)

// Listed returns the number of data nodes that the program has logged as listed.
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

// countOf returns the value of the field "count" of a log line, or 0 if it has none.
func countOf(line string) int {
	for _, word := range strings.Fields(line) {
		if text, ok := strings.CutPrefix(word, countField); ok {
			count, _ := strconv.Atoi(text)
			return count
		}
	}
	return 0
}
