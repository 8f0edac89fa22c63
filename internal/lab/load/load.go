// Package load is an open-loop load generator for the platform's front: it sends queries at a steady average rate,
// whether or not earlier ones are answered, and checks each answer. It never exceeds its limit of open queries, and it
// returns only when every query has its answer or has timed out.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gullfall/internal/lab/datanode"
)

// Class describes one class of queries in the load.
type Class struct {
	Name     string
	Parts    int     // shards per query
	Share    float64 // fraction of all queries
	Deadline time.Duration
}

// Tally counts the outcomes of a class's queries.
type Tally struct {
	// Refused counts the statuses 429 and 503, Failed all others except 200. Lost counts requests that failed, or took longer
	// than the deadline plus answerSlack. Partial and Wrong answers count as Served too.
	// Late counts all that ended later than lateAfter after the deadline, whatever their outcome.
	Asked, Served, Partial, Refused, Failed, Lost, Wrong, Late int
	took                                                       *hdrhistogram.Histogram
}

// Quantile returns a latency quantile of the served queries; q is in percent.
func (t *Tally) Quantile(q float64) time.Duration {
	return time.Duration(t.took.ValueAtQuantile(q)) * time.Microsecond
}

// Load generates queries. Its fields are set before Run.
type Load struct {
	Addr    string // address of the front
	Owner   string
	Rate    float64 // queries per second
	Shards  int
	Classes []Class
	Open    int // limit of open queries
	Ledger  *datanode.Ledger
	Seed    uint64

	mu      sync.Mutex
	tallies map[string]*Tally
}

// Tally returns a copy of a class's counts so far.
func (l *Load) Tally(class string) Tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.tallies[class]; t != nil {
		c := *t
		c.took = hdrhistogram.Import(t.took.Export())
		return c
	}
	return Tally{took: hdrhistogram.New(1, 60_000_000, 3)}
}

// Sum returns the counts of all classes together so far.
func (l *Load) Sum() Tally {
	sum := Tally{took: hdrhistogram.New(1, 60_000_000, 3)}
	for _, c := range l.Classes {
		t := l.Tally(c.Name)
		sum.Asked, sum.Served, sum.Partial = sum.Asked+t.Asked, sum.Served+t.Served, sum.Partial+t.Partial
		sum.Refused, sum.Failed, sum.Lost = sum.Refused+t.Refused, sum.Failed+t.Failed, sum.Lost+t.Lost
		sum.Wrong, sum.Late = sum.Wrong+t.Wrong, sum.Late+t.Late
		sum.took.Merge(t.took)
	}
	return sum
}

// Run sends queries until ctx ends, and returns once all of them are answered or timed out.
func (l *Load) Run(ctx context.Context) {
	l.mu.Lock()
	l.tallies = map[string]*Tally{}
	for _, c := range l.Classes {
		l.tallies[c.Name] = &Tally{took: hdrhistogram.New(1, 60_000_000, 3)}
	}
	l.mu.Unlock()
	transport := &http.Transport{MaxIdleConnsPerHost: l.Open, MaxConnsPerHost: l.Open, IdleConnTimeout: 10 * time.Second}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	rng := rand.New(rand.NewPCG(l.Seed, 1))
	slots := make(chan struct{}, l.Open)
	var wg sync.WaitGroup
	next := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			continue
		}
		draw, class := rng.Float64(), l.Classes[0]
		for _, c := range l.Classes {
			if class = c; draw < c.Share {
				break
			}
			draw -= c.Share
		}
		shards := rng.Perm(l.Shards)[:class.Parts]
		select {
		case slots <- struct{}{}:
		default:
			continue // at the limit of open queries; a query that is not sent is not counted
		}
		wg.Go(func() {
			defer func() { <-slots }()
			l.ask(client, fmt.Sprintf("%x-%d", l.Seed, n), class, shards)
		})
	}
	wg.Wait()
}

// part is a shard of a query and its share of the weight.
type part struct {
	Shard  int     `json:"shard"`
	Weight float64 `json:"weight"`
}

// response is the part of a coordinator's answer that is checked.
type response struct {
	Complete bool
	Hits     []hit
}

type hit struct {
	Shard int
	Doc   string
}

// answerSlack is the time after a query's deadline within which an answer still counts, and the further time until the request
// is abandoned.
const answerSlack = time.Second

// lateAfter is the time after a query's deadline from which on its answer is late: the rules' slack of 20 ms, and 50 ms on sockets.
const lateAfter = 70 * time.Millisecond

// ask sends one query and counts its outcome.
func (l *Load) ask(client *http.Client, id string, class Class, shards []int) {
	var parts []string
	for _, s := range shards {
		parts = append(parts, id+"."+strconv.Itoa(s))
	}
	start := time.Now()
	status, answer, err := l.post(client, id, class, shards)
	took := time.Since(start)
	l.Ledger.Done(parts)
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tallies[class.Name]
	t.Asked++
	if took > class.Deadline+lateAfter {
		t.Late++
	}
	switch {
	case err != nil || took > class.Deadline+answerSlack:
		t.Lost++
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		t.Refused++
	case status != http.StatusOK:
		t.Failed++
	default:
		t.countAnswer(took, answer, shards)
	}
}

// post sends one query and reads its answer.
func (l *Load) post(client *http.Client, id string, class Class, shards []int) (status int, answer response, err error) {
	body := struct {
		Shards []part `json:"shards"`
		Q      string `json:"q"`
	}{Q: "c41e77d0"}
	for _, s := range shards {
		body.Shards = append(body.Shards, part{s, 1 / float64(len(shards))})
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return 0, answer, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), class.Deadline+2*answerSlack)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr+"/"+class.Name, bytes.NewReader(raw))
	if err != nil {
		return 0, answer, err
	}
	req.Header.Set("Req-Id", id)
	req.Header.Set("Req-Owner", l.Owner)
	req.Header.Set("Req-Deadline-Ms", strconv.FormatInt(class.Deadline.Milliseconds(), 10))
	res, err := client.Do(req)
	if err != nil {
		return 0, answer, err
	}
	defer res.Body.Close()
	raw, err = io.ReadAll(res.Body)
	if res.StatusCode == http.StatusOK && err == nil {
		err = json.Unmarshal(raw, &answer)
	}
	return res.StatusCode, answer, err
}

// countAnswer counts an answer and checks it against the expected documents of its shards.
func (t *Tally) countAnswer(took time.Duration, answer response, shards []int) {
	t.Served++
	_ = t.took.RecordValue(took.Microseconds()) // a value beyond the histogram's range is not recorded
	if !answer.Complete {
		t.Partial++
	}
	expected := map[int]bool{}
	for _, s := range shards {
		expected[s] = true
	}
	correct := 0
	for _, h := range answer.Hits {
		if expected[h.Shard] && h.Doc == datanode.Doc(h.Shard) {
			correct++
			delete(expected, h.Shard)
		}
	}
	if correct != len(answer.Hits) || answer.Complete != (len(expected) == 0) {
		t.Wrong++
	}
}
