// Package load is a client of the platform's front that asks at a steady rate, whatever becomes of the answers, and
// checks each of them. It must never ask more than its bound of open queries, nor end before all have their answer
// or their time is over.
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

// Class is one kind of query that is asked.
type Class struct {
	Name     string
	Parts    int
	Share    float64 // of all queries
	Deadline time.Duration
}

// Tally is what became of a class's queries.
type Tally struct {
	Asked, Served, Partial, Refused, Failed, Lost, Wrong int
	took                                                 *hdrhistogram.Histogram
}

// Quantile is a latency of those that were served.
func (t *Tally) Quantile(q float64) time.Duration {
	return time.Duration(t.took.ValueAtQuantile(q)) * time.Microsecond
}

// Load asks queries. Its fields are set before Run.
type Load struct {
	Addr    string // of the front
	Owner   string
	Rate    float64 // queries a second
	Shards  int
	Classes []Class
	Open    int // most queries that are open
	Ledger  *datanode.Ledger
	Seed    uint64

	mu      sync.Mutex
	tallies map[string]*Tally
}

// Tally is what became of a class's queries so far; Sum that of all.
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

// Sum is what became of all queries so far.
func (l *Load) Sum() Tally {
	sum := Tally{took: hdrhistogram.New(1, 60_000_000, 3)}
	for _, c := range l.Classes {
		t := l.Tally(c.Name)
		sum.Asked, sum.Served, sum.Partial = sum.Asked+t.Asked, sum.Served+t.Served, sum.Partial+t.Partial
		sum.Refused, sum.Failed, sum.Lost, sum.Wrong = sum.Refused+t.Refused, sum.Failed+t.Failed, sum.Lost+t.Lost, sum.Wrong+t.Wrong
		sum.took.Merge(t.took)
	}
	return sum
}

// Run asks until ctx ends, and returns once all answers are in.
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
	chance := rand.New(rand.NewPCG(l.Seed, 1))
	places := make(chan struct{}, l.Open)
	var wg sync.WaitGroup
	next := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		next = next.Add(time.Duration(chance.ExpFloat64() / l.Rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			continue
		}
		pick, class := chance.Float64(), l.Classes[0]
		for _, c := range l.Classes {
			if class = c; pick < c.Share {
				break
			}
			pick -= c.Share
		}
		shards := chance.Perm(l.Shards)[:class.Parts]
		select {
		case places <- struct{}{}:
		default:
			continue // what is out is bounded; a query that is not asked is not counted
		}
		wg.Go(func() {
			defer func() { <-places }()
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

// response is what a coordinator answers.
type response struct {
	Complete bool
	Hits     []hit
}

type hit struct {
	Shard int
	Doc   string
}

// answerSlack is how long after its deadline an answer still counts, and how long beyond that it is waited for.
const answerSlack = time.Second

// ask asks one query and counts how it ended.
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

// countAnswer counts an answer, and whether it has what its shards hold.
func (t *Tally) countAnswer(took time.Duration, answer response, shards []int) {
	t.Served++
	_ = t.took.RecordValue(took.Microseconds()) // a value beyond the histogram's range is left out
	if !answer.Complete {
		t.Partial++
	}
	wanted := map[int]bool{}
	for _, s := range shards {
		wanted[s] = true
	}
	right := 0
	for _, h := range answer.Hits {
		if wanted[h.Shard] && h.Doc == datanode.Doc(h.Shard) {
			right++
			delete(wanted, h.Shard)
		}
	}
	if right != len(answer.Hits) || answer.Complete != (len(wanted) == 0) {
		t.Wrong++
	}
}
