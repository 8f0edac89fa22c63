// Package fleetlog summarizes the logs of a fleet's coordinators: how queries were rejected, failed or answered in part, over the fleet
// and over time, and which data nodes the missing parts waited for. It reads text logs (`log.format = "text"`), whose lines may begin
// with a time in seconds that a test bench adds. Lines that can't be read are counted as such.
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

// Way is one way in which queries were not answered completely.
type Way struct {
	End   string `json:"end"`   // rejected, failed, partial
	Why   string `json:"why"`   // the reason of the decision code
	Parts string `json:"parts"` // unsent: no part was sent; else how the last attempt of most missing parts stood
	Class string `json:"class"`
}

// Count is how many queries ended in one way, and after how long.
type Count struct {
	Way
	Queries int     `json:"queries"`
	Share   float64 `json:"share"` // of Report.Queries
	P50MS   float64 `json:"p50_ms"`
	P99MS   float64 `json:"p99_ms"`
}

// Node is a data node that missing parts waited for, and how their attempts there stood.
type Node struct {
	ID    string         `json:"id"`
	Parts int            `json:"parts"`
	Ends  map[string]int `json:"ends"`
}

// Attempts are the attempts of the fleet that ended in one way. They are logged at debug level.
type Attempts struct {
	End   string  `json:"end"`
	N     int     `json:"n"`
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
}

// Report is the summary of a day's logs.
type Report struct {
	Logs     int                    `json:"logs"`
	Queries  int                    `json:"queries"` // all that ended, where debug lines are logged; else those that were not answered completely
	Ways     []Count                `json:"ways"`
	Nodes    []Node                 `json:"nodes"`
	Attempts []Attempts             `json:"attempts"`
	Lines    map[string]int         `json:"lines"`  // by message
	Second   map[string]map[int]int `json:"second"` // by end and why, then by second of the day
	Unread   int                    `json:"unread"`
}

// tally counts the queries of one Way.
type tally struct {
	queries int
	latency *hdrhistogram.Histogram
}

// histogram returns a histogram of microseconds, up to two minutes.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 3) }

// Read summarizes the *.log files of a folder. The error names the folder or file.
func Read(dir string) (*Report, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("%s: no *.log file; give the folder that holds the coordinators' logs", dir)
	}
	slices.Sort(names)
	c := counter{report: Report{Logs: len(names), Lines: map[string]int{}, Second: map[string]map[int]int{}}, ways: map[Way]*tally{},
		nodes: map[string]map[string]int{}, latencies: map[string]*hdrhistogram.Histogram{}}
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
	return c.finish(), nil
}

// counter adds up log lines.
type counter struct {
	report       Report
	ways         map[Way]*tally
	nodes        map[string]map[string]int
	latencies    map[string]*hdrhistogram.Histogram
	queriesEnded int // by debug lines; it includes those answered completely
	first        time.Time
}

func (c *counter) read(in io.Reader) error {
	lines := bufio.NewReaderSize(in, 1<<20)
	for {
		line, err := lines.ReadString('\n')
		if line = strings.TrimSpace(line); line != "" {
			c.addLine(line)
		}
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// fields reads key=value pairs, whose values may be quoted. at is the text before the first.
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

func (c *counter) addLine(line string) {
	at, f, ok := fields(line)
	if !ok {
		c.report.Unread++
		return
	}
	msg := current(f["msg"])
	c.report.Lines[msg]++
	second, err := strconv.ParseFloat(at, 64)
	if err != nil {
		t, terr := time.Parse(time.RFC3339Nano, f["time"])
		if terr != nil {
			c.report.Unread++
			return
		}
		if c.first.IsZero() {
			c.first = t
		}
		second = t.Sub(c.first).Seconds()
	}
	switch msg {
	case coordinator.LogQueryRejected, coordinator.LogQueryFailed:
		end := strings.TrimPrefix(msg, "query ")
		c.addUnsuccessful(Way{end, current(either(f, "reason", "why")), c.countMissing(f["missing"]), f["class"]}, duration(f["after"]), int(second))
	case coordinator.LogQueryEnded:
		c.queriesEnded++
		if current(either(f, "status", "verdict")) == coordinator.Answered.String() && either(f, "complete", "whole") == "false" {
			c.addUnsuccessful(Way{"partial", "", "", f["class"]}, duration(f["took"]), int(second))
		}
	case coordinator.LogAttemptEnded:
		end := current(f["end"])
		h := c.latencies[end]
		if h == nil {
			h = histogram()
			c.latencies[end] = h
		}
		_ = h.RecordValue(max(1, duration(f["took"]).Microseconds()))
	}
}

// duration reads a log field; 0 for one that is missing or malformed.
func duration(s string) time.Duration {
	d, _ := time.ParseDuration(s)
	return d
}

// addUnsuccessful counts a query that was not answered completely.
func (c *counter) addUnsuccessful(w Way, took time.Duration, second int) {
	t := c.ways[w]
	if t == nil {
		t = &tally{latency: histogram()}
		c.ways[w] = t
	}
	t.queries++
	_ = t.latency.RecordValue(max(1, took.Microseconds()))
	key := strings.TrimSpace(w.End + " " + w.Why)
	if c.report.Second[key] == nil {
		c.report.Second[key] = map[int]int{}
	}
	c.report.Second[key][second]++
}

// countMissing reads the parts that a query lacked, "[3 s-1 in flight 40ms 7 s-2 overloaded 9ms s-1 cancelled 4ms]": a shard, then its
// attempts, each a data node, how it stood and its age. It counts the last attempt of each part under its data node, and
// returns how most of them stood.
func (c *counter) countMissing(text string) string {
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

// current translates a word of an earlier version's logs.
func current(word string) string {
	if now, ok := earlierWords[word]; ok {
		return now
	}
	return word
}

// either returns the value of a field that had another key in earlier versions.
func either(f map[string]string, key, earlier string) string {
	if value, ok := f[key]; ok {
		return value
	}
	return f[earlier]
}

// ms is a percentile of a histogram of microseconds, in milliseconds.
func ms(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }

// finish sorts the counts into the report, the most frequent first.
func (c *counter) finish() *Report {
	r := &c.report
	total := 0
	for _, t := range c.ways {
		total += t.queries
	}
	r.Queries = max(c.queriesEnded, total)
	for w, t := range c.ways {
		r.Ways = append(r.Ways, Count{w, t.queries, float64(t.queries) / float64(r.Queries), ms(t.latency, 50), ms(t.latency, 99)})
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
	for end, h := range c.latencies {
		r.Attempts = append(r.Attempts, Attempts{end, int(h.TotalCount()), ms(h, 50), ms(h, 99)})
	}
	slices.SortFunc(r.Attempts, func(a, b Attempts) int { return b.N - a.N })
	return r
}
