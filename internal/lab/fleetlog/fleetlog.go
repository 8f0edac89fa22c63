// Package fleetlog counts what all coordinators of a played day have logged: how queries were refused, failed or left
// incomplete, over the fleet and over time, and which data nodes the missing parts waited for. It owns the reading of text
// logs (`log.format = "text"`); a line may begin with a bench's own time in seconds. It must never guess: what it can't read
// is counted as such.
package fleetlog

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gullfall/internal/coordinator"
)

// Way is one way in which queries ended badly.
type Way struct {
	End   string `json:"end"`   // rejected, failed, partial
	Why   string `json:"why"`   // the module's reason
	Parts string `json:"parts"` // unsent: no part was sent; else how the last attempt of most missing parts stood
	Class string `json:"class"`
}

// Count is how many ended so, and how long they had taken.
type Count struct {
	Way
	Queries int     `json:"queries"`
	Share   float64 `json:"share"` // of all queries that the logs tell of
	P50MS   float64 `json:"p50_ms"`
	P99MS   float64 `json:"p99_ms"`
}

// Node is a data node that missing parts waited for, and how their attempts there stood.
type Node struct {
	ID    string         `json:"id"`
	Parts int            `json:"parts"`
	Ends  map[string]int `json:"ends"`
}

// Attempts are all attempts over the fleet (debug lines), by end.
type Attempts struct {
	End   string  `json:"end"`
	N     int     `json:"n"`
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
}

// Report is what the logs of a day show.
type Report struct {
	Logs     int                    `json:"logs"`
	Queries  int                    `json:"queries"` // all that ended, where debug lines tell; else those that ended badly
	Ways     []Count                `json:"ways"`
	Nodes    []Node                 `json:"nodes"`
	Attempts []Attempts             `json:"attempts"`
	Lines    map[string]int         `json:"lines"`  // by message
	Second   map[string]map[int]int `json:"second"` // by end and why, then by second of the day
	Unread   int                    `json:"unread"`
}

type tally struct {
	queries int
	took    *hdrhistogram.Histogram
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 3) }

// Read counts the *.log files of a folder.
func Read(dir string) (*Report, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("%s: no *.log file; give the folder that holds the coordinators' logs", dir)
	}
	slices.Sort(names)
	c := counter{r: Report{Logs: len(names), Lines: map[string]int{}, Second: map[string]map[int]int{}}, ways: map[Way]*tally{},
		nodes: map[string]map[string]int{}, ends: map[string]*hdrhistogram.Histogram{}, told: map[string]bool{}}
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		err = c.read(f)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	return c.report(), nil
}

type counter struct {
	r     Report
	ways  map[Way]*tally
	nodes map[string]map[string]int
	ends  map[string]*hdrhistogram.Histogram
	told  map[string]bool // queries whose bad end was counted by its own line
	ended int             // by debug lines
	first time.Time
}

func (c *counter) read(in io.Reader) error {
	lines := bufio.NewReaderSize(in, 1<<20)
	for {
		line, err := lines.ReadString('\n')
		if line = strings.TrimSpace(line); line != "" {
			c.line(line)
		}
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// fields reads key=value pairs, values quoted where need be. What stands before the first is the bench's time.
func fields(line string) (at string, f map[string]string, ok bool) {
	f = map[string]string{}
	i := strings.Index(line, "time=")
	if i < 0 {
		return "", nil, false
	}
	at = strings.Trim(line[:i], " []")
	for rest := line[i:]; rest != ""; {
		key, after, found := strings.Cut(rest, "=")
		if !found {
			return at, f, false
		}
		value := ""
		if strings.HasPrefix(after, `"`) {
			quoted, err := strconv.QuotedPrefix(after)
			if err != nil {
				return at, f, false
			}
			value, _ = strconv.Unquote(quoted)
			after = strings.TrimPrefix(after[len(quoted):], " ")
		} else {
			value, after, _ = strings.Cut(after, " ")
		}
		f[key], rest = value, after
	}
	return at, f, true
}

func (c *counter) line(line string) {
	at, f, ok := fields(line)
	if !ok {
		c.r.Unread++
		return
	}
	msg := current(f["msg"])
	c.r.Lines[msg]++
	second, err := strconv.ParseFloat(at, 64)
	if err != nil {
		t, terr := time.Parse(time.RFC3339Nano, f["time"])
		if terr != nil {
			c.r.Unread++
			return
		}
		if c.first.IsZero() {
			c.first = t
		}
		second = t.Sub(c.first).Seconds()
	}
	switch msg {
	case coordinator.LogQueryRejected, coordinator.LogQueryFailed:
		c.told[f["query"]] = true
		end := strings.TrimPrefix(msg, "query ")
		c.bad(Way{end, current(either(f, "reason", "why")), c.missing(f["missing"]), f["class"]}, duration(f["after"]), int(second))
	case coordinator.LogQueryEnded:
		c.ended++
		if current(either(f, "status", "verdict")) == coordinator.Answered.String() && either(f, "complete", "whole") == "false" {
			c.bad(Way{"partial", "", "", f["class"]}, duration(f["took"]), int(second))
		}
	case coordinator.LogAttemptEnded:
		end := current(f["end"])
		h := c.ends[end]
		if h == nil {
			h = histogram()
			c.ends[end] = h
		}
		_ = h.RecordValue(max(1, duration(f["took"]).Microseconds()))
	}
}

func duration(s string) time.Duration {
	d, _ := time.ParseDuration(s)
	return d
}

func (c *counter) bad(w Way, took time.Duration, second int) {
	t := c.ways[w]
	if t == nil {
		t = &tally{took: histogram()}
		c.ways[w] = t
	}
	t.queries++
	_ = t.took.RecordValue(max(1, took.Microseconds()))
	key := strings.TrimSpace(w.End + " " + w.Why)
	if c.r.Second[key] == nil {
		c.r.Second[key] = map[int]int{}
	}
	c.r.Second[key][second]++
}

// missing reads the parts that a query lacked, "[3 s-1 in flight 40ms 7 s-2 overloaded 9ms s-1 cancelled 4ms]": a shard, then its
// attempts, each a data node, how it stood and its age. It counts the last attempt of each part under its data node, and
// returns how most of them stood.
func (c *counter) missing(text string) string {
	stood := map[string]int{}
	node, state, sent := "", []string{}, false
	settle := func() {
		if node == "" {
			return
		}
		end := current(strings.Join(state, " "))
		stood[end]++
		if c.nodes[node] == nil {
			c.nodes[node] = map[string]int{}
		}
		c.nodes[node][end]++
		node = ""
	}
	for _, word := range strings.Fields(strings.Trim(text, "[]")) {
		_, notShard := strconv.Atoi(word)
		_, notAge := time.ParseDuration(word)
		switch {
		case notShard == nil:
			settle()
		case notAge == nil: // the end of an attempt; a further one of the same part may follow
		case node == "" || slices.Contains(attemptStates, current(strings.Join(state, " "))):
			node, state, sent = word, nil, true
		default:
			state = append(state, word)
		}
	}
	settle()
	if !sent {
		return "unsent"
	}
	best, most := "", 0
	for end, n := range stood {
		if n > most || n == most && end < best {
			best, most = end, n
		}
	}
	return best
}

// attemptStates are how an attempt may stand, as the coordinator words it.
var attemptStates = coordinator.AttemptStates()

// earlierWords maps the words of logs of earlier versions to those of today.
var earlierWords = map[string]string{
	"query refused": coordinator.LogQueryRejected,

	"1": coordinator.Answered.String(),
	"2": coordinator.Rejected.String(),
	"3": coordinator.Failed.String(),

	"no holder": "no replica",
	"held":      "over capacity",
	"forecast":  "forecast too late",
	"late":      "deadline exceeded",
	"spent":     "attempts exhausted",
	"wrecked":   "query of death",

	"err":            coordinator.Errored.String(),
	"busy":           coordinator.Overloaded.String(),
	"given up":       coordinator.Cancelled.String(),
	"cut":            coordinator.ConnectionLost.String(),
	"out":            "in flight",
	"being given up": "cancelling",
}

// current is today's word for one that may be of an earlier version.
func current(word string) string {
	if now, ok := earlierWords[word]; ok {
		return now
	}
	return word
}

// either is the value of a field, which an earlier version had under another key.
func either(f map[string]string, key, earlier string) string {
	if value, ok := f[key]; ok {
		return value
	}
	return f[earlier]
}

func ms(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }

func (c *counter) report() *Report {
	r := &c.r
	total := 0
	for _, t := range c.ways {
		total += t.queries
	}
	r.Queries = max(c.ended, total)
	for w, t := range c.ways {
		r.Ways = append(r.Ways, Count{w, t.queries, float64(t.queries) / float64(r.Queries), ms(t.took, 50), ms(t.took, 99)})
	}
	slices.SortFunc(r.Ways, func(a, b Count) int {
		if a.Queries != b.Queries {
			return b.Queries - a.Queries
		}
		return strings.Compare(fmt.Sprint(a.Way), fmt.Sprint(b.Way))
	})
	for id, by := range c.nodes {
		n := Node{ID: id, Ends: by}
		for _, k := range by {
			n.Parts += k
		}
		r.Nodes = append(r.Nodes, n)
	}
	slices.SortFunc(r.Nodes, func(a, b Node) int {
		if a.Parts != b.Parts {
			return b.Parts - a.Parts
		}
		return strings.Compare(a.ID, b.ID)
	})
	for end, h := range c.ends {
		r.Attempts = append(r.Attempts, Attempts{end, int(h.TotalCount()), ms(h, 50), ms(h, 99)})
	}
	slices.SortFunc(r.Attempts, func(a, b Attempts) int { return b.N - a.N })
	return r
}
