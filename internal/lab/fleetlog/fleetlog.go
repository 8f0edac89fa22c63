// Package fleetlog summarizes the logs of a fleet's coordinators: how many queries were rejected, failed or answered incompletely, over
// the fleet and over time, and which data nodes the missing parts waited for. It reads text logs (`log.format = "text"`), whose lines may
// begin with a time in seconds that a test bench adds. Lines that can't be read are counted in Report.Unread.
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

// Outcome describes how a query ended that was not answered completely.
type Outcome struct {
	End   string `json:"end"`   // rejected, failed, partial
	Why   string `json:"why"`   // the reason of the decision code
	Parts string `json:"parts"` // unsent if no part was sent; else the most frequent state of the last attempts of missing parts
	Class string `json:"class"`
}

// Count is the number of queries with one outcome and their latency.
type Count struct {
	Outcome
	Queries int     `json:"queries"`
	Share   float64 `json:"share"` // of Report.Queries
	P50MS   float64 `json:"p50_ms"`
	P99MS   float64 `json:"p99_ms"`
}

// Node counts the missing parts whose last attempt was at one data node, by the state of that attempt.
type Node struct {
	ID    string         `json:"id"`
	Parts int            `json:"parts"`
	Ends  map[string]int `json:"ends"`
}

// Attempts counts the fleet's attempts with one end, with their latency. Attempts are logged at debug level.
type Attempts struct {
	End   string  `json:"end"`
	N     int     `json:"n"`
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
}

// Report is the summary of the logs.
type Report struct {
	Logs     int                    `json:"logs"`
	Queries  int                    `json:"queries"` // all queries if debug lines are logged; else those not answered completely
	Outcomes []Count                `json:"ways"`
	Nodes    []Node                 `json:"nodes"`
	Attempts []Attempts             `json:"attempts"`
	Lines    map[string]int         `json:"lines"`  // by message
	Second   map[string]map[int]int `json:"second"` // by end and reason, then by second
	Unread   int                    `json:"unread"`
}

// tally holds the number and the latency of the queries of one Outcome.
type tally struct {
	queries int
	latency *hdrhistogram.Histogram
}

// newHistogram returns a histogram of microseconds up to two minutes.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 3) }

// Read summarizes the *.log files of a folder. Its errors name the folder or the file.
func Read(dir string) (*Report, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("%s: no *.log file; give the folder that holds the coordinators' logs", dir)
	}
	slices.Sort(names)
	c := counter{report: Report{Logs: len(names), Lines: map[string]int{}, Second: map[string]map[int]int{}}, outcomes: map[Outcome]*tally{},
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

// counter accumulates log lines into a report.
type counter struct {
	report       Report
	outcomes     map[Outcome]*tally
	nodes        map[string]map[string]int
	latencies    map[string]*hdrhistogram.Histogram
	queriesEnded int       // from debug lines; includes queries answered completely
	first        time.Time // of the lines without a bench time; seconds count from it
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

// fields parses a line's key=value pairs, whose values may be quoted. benchTime is the text before the first pair.
func fields(line string) (benchTime string, f map[string]string, ok bool) {
	f = map[string]string{}
	i := strings.Index(line, "time=")
	if i < 0 {
		return "", nil, false
	}
	benchTime = strings.Trim(line[:i], " []")
	for rest := line[i:]; rest != ""; {
		key, after, found := strings.Cut(rest, "=")
		if !found {
			return benchTime, f, false
		}
		value := ""
		if strings.HasPrefix(after, `"`) {
			quoted, err := strconv.QuotedPrefix(after)
			if err != nil {
				return benchTime, f, false
			}
			value, _ = strconv.Unquote(quoted)
			after = strings.TrimPrefix(after[len(quoted):], " ")
		} else {
			value, after, _ = strings.Cut(after, " ")
		}
		f[key], rest = value, after
	}
	return benchTime, f, true
}

func (c *counter) addLine(line string) {
	benchTime, f, ok := fields(line)
	if !ok {
		c.report.Unread++
		return
	}
	msg := currentWord(f["msg"])
	c.report.Lines[msg]++
	second, err := strconv.ParseFloat(benchTime, 64)
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
		c.addUnsuccessful(Outcome{end, currentWord(fieldValue(f, "reason", "why")), c.countMissing(f["missing"]), f["class"]}, duration(f["after"]), int(second))
	case coordinator.LogQueryEnded:
		c.queriesEnded++
		if currentWord(fieldValue(f, "status", "verdict")) == coordinator.Answered.String() && fieldValue(f, "complete", "whole") == "false" {
			c.addUnsuccessful(Outcome{"partial", "", "", f["class"]}, duration(f["took"]), int(second))
		}
	case coordinator.LogAttemptEnded:
		end := currentWord(f["end"])
		h := c.latencies[end]
		if h == nil {
			h = newHistogram()
			c.latencies[end] = h
		}
		_ = h.RecordValue(max(1, duration(f["took"]).Microseconds()))
	}
}

// duration parses a log field; it returns 0 for a missing or malformed one.
func duration(s string) time.Duration {
	d, _ := time.ParseDuration(s)
	return d
}

// addUnsuccessful counts a query that was not answered completely.
func (c *counter) addUnsuccessful(w Outcome, took time.Duration, second int) {
	t := c.outcomes[w]
	if t == nil {
		t = &tally{latency: newHistogram()}
		c.outcomes[w] = t
	}
	t.queries++
	_ = t.latency.RecordValue(max(1, took.Microseconds()))
	key := strings.TrimSpace(w.End + " " + w.Why)
	if c.report.Second[key] == nil {
		c.report.Second[key] = map[int]int{}
	}
	c.report.Second[key][second]++
}

// countMissing parses the missing parts of a query, "[3 s-1 in flight 40ms 7 s-2 overloaded 9ms s-1 cancelled 4ms]": each a shard and its
// attempts, each of these a data node, a state and an age. It counts the last attempt of each part under its data node and returns the
// most frequent state of these attempts.
func (c *counter) countMissing(text string) string {
	states := map[string]int{}
	node, state, sent := "", []string{}, false
	countAttempt := func() {
		if node == "" {
			return
		}
		end := currentWord(strings.Join(state, " "))
		states[end]++
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
			countAttempt()
		case notAge == nil: // end of an attempt; another attempt of the same part may follow
		case node == "" || slices.Contains(attemptStates, currentWord(strings.Join(state, " "))):
			node, state, sent = word, nil, true
		default:
			state = append(state, word)
		}
	}
	countAttempt()
	if !sent {
		return "unsent"
	}
	best, most := "", 0
	for end, n := range states {
		if n > most || n == most && end < best {
			best, most = end, n
		}
	}
	return best
}

// attemptStates are the states of attempts in the coordinator's logs.
var attemptStates = coordinator.AttemptStates()

// earlierWords maps words in the logs of earlier versions to the current ones.
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

// currentWord returns the current word for one in the logs of an earlier version, and other words unchanged.
func currentWord(word string) string {
	if now, ok := earlierWords[word]; ok {
		return now
	}
	return word
}

// fieldValue returns the value of a field that had another key in earlier versions.
func fieldValue(f map[string]string, key, earlier string) string {
	if value, ok := f[key]; ok {
		return value
	}
	return f[earlier]
}

// percentileMS returns a percentile of a histogram of microseconds, in milliseconds.
func percentileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// finish adds the counts to the report, the most frequent first.
func (c *counter) finish() *Report {
	r := &c.report
	total := 0
	for _, t := range c.outcomes {
		total += t.queries
	}
	r.Queries = max(c.queriesEnded, total)
	for w, t := range c.outcomes {
		r.Outcomes = append(r.Outcomes, Count{w, t.queries, float64(t.queries) / float64(r.Queries), percentileMS(t.latency, 50), percentileMS(t.latency, 99)})
	}
	slices.SortFunc(r.Outcomes, func(a, b Count) int {
		if a.Queries != b.Queries {
			return b.Queries - a.Queries
		}
		return strings.Compare(fmt.Sprint(a.Outcome), fmt.Sprint(b.Outcome))
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
		r.Attempts = append(r.Attempts, Attempts{end, int(h.TotalCount()), percentileMS(h, 50), percentileMS(h, 99)})
	}
	slices.SortFunc(r.Attempts, func(a, b Attempts) int { return b.N - a.N })
	return r
}
