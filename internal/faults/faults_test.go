// Package faults holds the one loopback fault suite that both protocols must pass with equal results. Clients
// and data nodes are stand-ins written here; the core, the fronts and the carriers are the program's own. A
// stand-in does what its case says to each attempt of a part, and keeps account of attempts that overlap.
package faults

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gullfall/aggregator"
	"gullfall/internal/coordinator"
	"gullfall/internal/membership"
)

// protocol is one of the two, or a mix: how a data node stands, how it is reached, and how a client asks.
type protocol struct {
	name  string
	stand func(ln net.Listener, b *book, name string) (stop func())
	carry func(c *coordinator.Coordinator) coordinator.Dispatcher
	front func(c *coordinator.Coordinator, ln net.Listener) (ask asker, drain func())
	slow  func(t *testing.T, addr string, end time.Time) // asks for shards 0 to 3 and reads nothing of the answer
	fill  int                                            // bytes of a part that its buffers can't take
}

// asker asks one query, of a class or of "class#key" where it carries an idempotency key, and returns its verdict in words: "whole", "partial" or "answered" with the documents,
// "refused", "failed", "bad input", "gone" or "overtime".
type asker func(ctx context.Context, class, owner string, shards ...int) string

// book is what the stand-in data nodes do and have seen.
type book struct {
	acts []string // for each attempt of a part, the last one for all further ones
	fill string   // makes documents longer

	mu      sync.Mutex
	tries   map[string]int
	out     map[int]attempt // by a number of its own
	begun   int
	twins   int
	givenUp int
	starts  map[string]int // by data node
	keys    []string       // of attempts, in order of their beginning
	release chan struct{}  // lets go of attempts that are held
}

// attempt is one that is out at a data node.
type attempt struct{ node, id string }

// start notes an attempt and returns its number and what is to be done to it.
func (b *book) start(node, id, key string) (number int, act string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.tries[id]
	b.tries[id]++
	b.starts[node]++
	b.keys = append(b.keys, key)
	for _, a := range b.out {
		if a.id == id {
			b.twins++
		}
	}
	b.begun++
	b.out[b.begun] = attempt{node, id}
	act = b.acts[min(n, len(b.acts)-1)]
	if shard, rest, ok := strings.Cut(act, ":"); ok { // an act for one shard only
		if act = "ok"; strings.HasSuffix(id, "."+shard) {
			act = rest
		}
	}
	return b.begun, act
}

// end notes that an attempt is over. It comes before the coordinator can know.
func (b *book) end(number int, givenUp bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.out, number)
	if givenUp {
		b.givenUp++
	}
}

// cut notes that all that is out at a data node ends with its connections.
func (b *book) cut(node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.out, func(_ int, a attempt) bool { return a.node == node })
}

func (b *book) at(node string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.starts[node]
}

// doc is the value of a part; which attempt gave it can be told.
func (b *book) doc(id string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, shard, _ := strings.Cut(id, ".")
	return fmt.Sprintf("%s/%d", shard, b.tries[id]) + b.fill
}

// rig is a coordinator between stand-ins, on loopback sockets.
type rig struct {
	t     *testing.T
	b     *book
	fleet *coordinator.Source
	ask   asker
	drain func()
	nodes []coordinator.Member
	core  *coordinator.Coordinator
	addr  string
}

func settings() aggregator.Settings {
	class := func(name string, floor float64) aggregator.Class {
		return aggregator.Class{Name: name, LatencyObjective: time.Second, Deadline: 3 * time.Second, Priority: 1, LateShare: 0.1,
			CompleteShare: 1, MinShare: floor, PartialShare: 0.9}
	}
	entry := class("entry", 1)
	entry.Effect, entry.DedupWindow = aggregator.Keyed, 2*time.Second
	return aggregator.Settings{Aggregators: 1, Tick: 5 * time.Millisecond, ShardSets: 1, Shards: 4, Reach: 1,
		Classes: []aggregator.Class{class("report", 1), class("board", 0.5), entry},
		Tenants: []aggregator.Tenant{{Name: "club", Rate: 1000}}, OverQuotaFactor: 0.05,
		CallCost: time.Millisecond,
		Limits: aggregator.Limits{MaxAttempts: 3, MaxBatch: 8, CanCancel: true, SendRetryAfter: true, MaxRetryAfter: time.Second,
			ConnectTimeout: 250 * time.Millisecond, ConnIdle: 30 * time.Second},
		Rules: aggregator.Rules{DrainGrace: 2 * time.Second},
	}
}

func newRig(t *testing.T, p protocol, down int, acts ...string) *rig {
	t.Helper()
	return newRigWith(t, settings(), p, down, acts...)
}

func newRigWith(t *testing.T, set aggregator.Settings, p protocol, down int, acts ...string) *rig {
	t.Helper()
	b := &book{acts: acts, tries: map[string]int{}, out: map[int]attempt{}, starts: map[string]int{},
		release: make(chan struct{})}
	c, err := coordinator.New(set, 7, slog.New(slog.NewTextHandler(io.Discard, nil)), membership.Config{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go c.Run(ctx)
	c.RegisterDispatcher("", p.carry(c))
	r := &rig{t: t, b: b, core: c, fleet: c.Source(membership.Spec{Name: "list"})}
	for i := range 2 {
		name := fmt.Sprintf("n%d", i+1)
		ln := listen(t)
		if i < down {
			ln.Close() // nobody listens there
		} else {
			t.Cleanup(p.stand(ln, b, name))
		}
		r.nodes = append(r.nodes, coordinator.Member{ID: name, Addr: ln.Addr().String(), Weight: 1})
	}
	r.fleet.Replace(r.nodes, false)
	ln := listen(t)
	r.addr = ln.Addr().String()
	r.ask, r.drain = p.front(c, ln)
	return r
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// within asks with a deadline of 3 s.
func (r *rig) within(class, owner string, shards ...int) string {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(3*time.Second))
	defer cancel()
	return r.ask(ctx, class, owner, shards...)
}

// until waits for a condition that must come about.
func (r *rig) until(what string, met func() bool) {
	r.t.Helper()
	for end := time.Now().Add(10 * time.Second); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Errorf("never: %s", what)
			return
		}
	}
}

var faults = []struct {
	name string
	down int // data nodes that nobody listens for
	acts []string
	play func(r *rig) []string
	want []string
}{
	{"served", 0, []string{"ok"}, one("report"), []string{"whole 0/1 1/1"}},
	{"refused connection", 1, []string{"ok"}, one("report"), []string{"whole 0/1 1/1"}},
	{"no data node listens", 2, []string{"ok"}, one("report"), []string{"refused"}},
	{"turned away", 0, []string{"busy", "ok"}, one("report"), []string{"whole 0/2 1/2"}},
	{"error", 0, []string{"0:err", "ok"}, one("report"), []string{"whole 0/2 1/1"}},
	// Nothing of what came before the cut may stand in the answer.
	{"cut halfway", 0, []string{"0:cut", "ok"}, one("report"), []string{"whole 0/2 1/1"}},
	// A spoilt answer is a failed attempt; the data node has not died and stays in use.
	{"spoilt", 0, []string{"0:spoilt", "ok"}, one("report"), []string{"whole 0/2 1/1"}},
	{"always cut", 0, []string{"cut"}, one("report"), []string{"refused"}},
	{"silent", 0, []string{"0:silent", "0:silent", "0:silent"}, one("report"), []string{"refused"}},
	{"silent part of an answer that may be partial", 0, []string{"0:silent", "0:silent", "0:silent"}, one("board"),
		[]string{"partial 1/1"}},
	{"bad input", 0, []string{"ok"}, func(r *rig) []string {
		got := []string{r.within("no-class", "club", 0), r.within("report", "nobody", 0),
			r.within("report", "club", 4), r.within("report", "club", 1, 1), r.within("report", "club")}
		return append(got, fmt.Sprint("sent ", r.b.at("n1")+r.b.at("n2")))
	}, []string{"bad input", "bad input", "bad input", "bad input", "bad input", "sent 0"}},
	{"cancelled", 0, []string{"silent"}, func(r *rig) []string {
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(3*time.Second))
		done := make(chan string, 1)
		go func() { done <- r.ask(ctx, "report", "club", 0, 1) }()
		r.until("both parts are out", func() bool { return r.b.at("n1")+r.b.at("n2") == 2 })
		cancel()
		got := <-done
		r.until("both parts are given up", func() bool {
			r.b.mu.Lock()
			defer r.b.mu.Unlock()
			return r.b.givenUp == 2
		})
		r.until("nothing is held", func() bool { return r.core.Open() == 0 })
		return []string{got}
	}, []string{"gone"}},
	// The part that was out as the drain came still counts; nothing new goes there.
	{"drain", 0, []string{"hold"}, func(r *rig) []string {
		done := make(chan string, 1)
		go func() { done <- r.within("report", "club", 0) }()
		r.until("the part is out", func() bool { return r.b.at("n1")+r.b.at("n2") == 1 })
		drained := r.nodes[0]
		if r.b.at("n2") == 1 {
			drained = r.nodes[1]
		}
		drained.State = coordinator.Draining
		r.fleet.Change([]coordinator.Member{drained})
		close(r.b.release)
		got := []string{<-done}
		for range 5 {
			got = append(got, r.within("report", "club", 1))
		}
		return append(got, fmt.Sprint("sent to it ", r.b.at(drained.ID)))
	}, []string{"whole 0/1", "whole 1/1", "whole 1/1", "whole 1/1", "whole 1/1", "whole 1/1", "sent to it 1"}},
	// The key belongs to the query and goes with each attempt of each of its parts, further ones included; another
	// class does without, whatever its client sends.
	{"keyed", 0, []string{"0:err", "ok"}, func(r *rig) []string {
		got := []string{r.within("entry#5c0f6e1a", "club", 0, 1), r.within("report#5c0f6e1a", "club", 0)}
		return append(got, fmt.Sprintf("%q", r.b.keys))
	}, []string{"whole 0/2 1/1", "whole 0/2", `["5c0f6e1a" "5c0f6e1a" "5c0f6e1a" "" ""]`}},
	{"keyed without a key, and with what no wire carries", 0, []string{"ok"}, func(r *rig) []string {
		got := []string{r.within("entry", "club", 0), r.within("entry#a,d=1", "club", 0), r.within("entry#a b", "club", 0),
			r.within("entry#"+strings.Repeat("k", 129), "club", 0), r.within("entry#"+strings.Repeat("k", 128), "club", 0)}
		return append(got, fmt.Sprint("sent ", r.b.at("n1")+r.b.at("n2")))
	}, []string{"bad input", "bad input", "bad input", "bad input", "whole 0/1", "sent 1"}},
	// A complete list without a data node means that it is gone.
	{"missing in the list", 0, []string{"ok"}, func(r *rig) []string {
		r.fleet.Replace(r.nodes[1:], false)
		var got []string
		for range 5 {
			got = append(got, r.within("report", "club", 1))
		}
		return append(got, fmt.Sprint("sent to it ", r.b.at("n1")))
	}, []string{"whole 1/1", "whole 1/1", "whole 1/1", "whole 1/1", "whole 1/1", "sent to it 0"}},
	{"SIGTERM", 0, []string{"hold"}, func(r *rig) []string {
		done, ended := make(chan string, 1), make(chan bool)
		go func() { done <- r.within("report", "club", 0, 1) }()
		r.until("both parts are out", func() bool { return r.b.at("n1")+r.b.at("n2") == 2 })
		go func() { r.drain(); close(ended) }()
		time.Sleep(50 * time.Millisecond)
		var got []string
		select {
		case <-ended:
			got = append(got, "ended with a query open")
		default:
		}
		close(r.b.release)
		got = append(got, <-done)
		<-ended
		return append(got, "ended")
	}, []string{"whole 0/1 1/1", "ended"}},
}

// one asks one query of two parts.
func one(class string) func(*rig) []string {
	return func(r *rig) []string { return []string{r.within(class, "club", 0, 1)} }
}

// TestFaults: each fault has the same result for both protocols, and no part ever has two attempts out.
func TestFaults(t *testing.T) {
	for _, f := range faults {
		for _, p := range protocols {
			t.Run(f.name+"/"+p.name, func(t *testing.T) {
				t.Parallel()
				r := newRig(t, p, f.down, f.acts...)
				if diff := cmp.Diff(f.want, f.play(r)); diff != "" {
					t.Errorf("(-want +got)\n%s", diff)
				}
				r.b.mu.Lock()
				defer r.b.mu.Unlock()
				if r.b.twins > 0 {
					t.Errorf("%d attempts began while another of their part was out", r.b.twins)
				}
				if r.core.Open() > 0 {
					t.Errorf("%d queries and parts are still held", r.core.Open())
				}
			})
		}
	}
}

// TestSlowReader: a client that reads nothing holds its own answer, until its own deadline and no longer; others
// are answered meanwhile.
func TestSlowReader(t *testing.T) {
	for _, p := range protocols {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, p, 0, "ok")
			r.b.fill = strings.Repeat(" ", p.fill)
			end := time.Now().Add(time.Second)
			p.slow(t, r.addr, end)
			r.until("the parts were asked for", func() bool { return r.b.at("n1")+r.b.at("n2") == 4 })
			if got := r.within("report", "club", 0); !strings.HasPrefix(got, "whole 0/1") {
				t.Errorf("beside a slow reader: %.40q", got)
			}
			if !time.Now().Before(end) {
				t.Errorf("the other client was answered only after the slow one's deadline")
			}
			for range 20 { // each takes its own connection or stream, and none waits for the slow one
				r.within("report", "club", 0)
			}
			r.drain()
			if over := time.Since(end); over < -200*time.Millisecond || over > 2*time.Second {
				t.Errorf("the slow reader's connection ended %v after its deadline", over)
			}
		})
	}
}

// words joins a verdict and its documents.
func words(whole bool, docs []string) string {
	slices.Sort(docs)
	if !whole {
		return "partial " + strings.Join(docs, " ")
	}
	return "whole " + strings.Join(docs, " ")
}
