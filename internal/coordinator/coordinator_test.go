package coordinator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"gullfall/aggregator"
	"gullfall/internal/membership"
)

// testbed is a coordinator with one data node whose dispatcher does as the test says, in virtual time.
type testbed struct {
	*Coordinator
	list     *Source
	mu       sync.Mutex
	commands []string
	end      func()
}

var tick = 5 * time.Millisecond

func newTestbed(t *testing.T, maxOpen int, act func(s *testbed, o *Command), first ...func(*Coordinator)) *testbed {
	t.Helper()
	set := aggregator.Settings{Aggregators: 1, Tick: tick, ShardSets: 1, Shards: 4, Reach: 1,
		Classes: []aggregator.Class{{Name: "report", LatencyObjective: time.Second, Deadline: 3 * time.Second, Priority: 1, CompleteShare: 1, MinShare: 1}},
		Limits: aggregator.Limits{MaxAttempts: 3, MaxBatch: 2, CanCancel: true, MaxOpen: maxOpen, SendRetryAfter: true,
			MaxRetryAfter: 2 * time.Second},
		CallCost: time.Millisecond,
	}
	c, err := New(set, 7, slog.New(slog.NewTextHandler(io.Discard, nil)), membership.Config{})
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range first {
		f(c)
	}
	s := &testbed{Coordinator: c}
	c.RegisterDispatcher("", func(n *Node) {
		for o := n.Pick(context.Background()); o != nil; o = n.Pick(context.Background()) {
			s.mu.Lock()
			switch {
			case o.Call != nil:
				line := "call"
				for _, a := range o.Call {
					line += " " + a.ID
				}
				s.commands = append(s.commands, line)
			case o.Cancel != nil:
				s.commands = append(s.commands, "cancel "+o.Cancel.ID)
			case o.RejectQueued:
				s.commands = append(s.commands, "reject queued")
			}
			s.mu.Unlock()
			act(s, o)
		}
	})
	ctx, stop := context.WithCancel(t.Context())
	go c.Run(ctx)
	s.list = c.Source(membership.Spec{Name: "list"})
	s.list.Replace([]Member{{ID: "n1"}}, false)
	s.end = func() {
		s.list.Replace(nil, false)
		time.Sleep(10 * time.Second)
		stop()
	}
	return s
}

func (s *testbed) execute(ctx context.Context, id string, shards ...int) string {
	q := Query{ID: id, Class: "report", Deadline: time.Now().Add(2 * time.Second), Text: "t"}
	for _, shard := range shards {
		q.Parts = append(q.Parts, Part{Shard: shard, Weight: 1 / float64(len(shards))})
	}
	a, err := s.Execute(ctx, q)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(a.Status, a.Complete, len(a.Values), a.RetryAfter > 0)
}

// serve answers every call and every drop.
func serve(s *testbed, o *Command) {
	for _, a := range o.Call {
		s.Report(a, Result{Outcome: OK, Docs: [][]byte{[]byte("v")}})
		s.Report(a, Result{Outcome: Reset}) // only the first report of an attempt counts
	}
	if o.Cancel != nil {
		s.Report(o.Cancel, Result{Outcome: Cancelled})
	}
}

// TestPartsShareCalls: a query's parts go out in one step, in calls of at most MaxBatch.
func TestPartsShareCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, 0, serve)
		if got := s.execute(t.Context(), "q", 0, 1, 2); got != "answered true 3 false" {
			t.Errorf("got %s", got)
		}
		synctest.Wait()
		if diff := cmp.Diff([]string{"call q.0 q.1", "call q.2"}, s.commands); diff != "" {
			t.Errorf("(-want +got)\n%s", diff)
		}
		s.end()
	})
}

// TestTimeoutIsCancelledAtDataNode: an attempt whose time is over is cancelled at the data node before its query ends, and a
// client that leaves has its part cancelled.
func TestTimeoutIsCancelledAtDataNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, 0, func(s *testbed, o *Command) {
			if o.Cancel != nil {
				serve(s, o)
			}
		})
		if got := s.execute(t.Context(), "q", 0); got != "rejected false 0 true" {
			t.Errorf("got %s", got)
		}
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, leave)
		if got := s.execute(ctx, "r", 1); got != ErrGone.Error() {
			t.Errorf("got %s", got)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if diff := cmp.Diff([]string{"call q.0", "cancel q.0", "call r.1", "cancel r.1"}, s.commands); diff != "" {
			t.Errorf("(-want +got)\n%s", diff)
		}
		if len(s.loop.queries.open)+len(s.loop.queries.parts)+len(s.loop.queries.attempts)+s.Open() > 0 {
			t.Errorf("still held: %d queries, %d parts, %d attempts", len(s.loop.queries.open), len(s.loop.queries.parts), len(s.loop.queries.attempts))
		}
		s.end()
	})
}

// TestMaxOpen: with as much open as the settings allow, a query is rejected at once, with a time to come back.
func TestMaxOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, 6, serve)
		s.Coordinator.mu.Lock()
		s.open += 6
		s.Coordinator.mu.Unlock()
		start := time.Now()
		if got := s.execute(t.Context(), "q", 0); got != "rejected false 0 true" || time.Since(start) > 0 {
			t.Errorf("full: got %s after %v", got, time.Since(start))
		}
		s.Coordinator.mu.Lock()
		s.open -= 6
		s.Coordinator.mu.Unlock()
		if got := s.execute(t.Context(), "q", 0); got != "answered true 1 false" {
			t.Errorf("with capacity again: got %s", got)
		}
		s.end()
	})
}

// TestSameIDTwice: a second query under an id that is open fails and leaves the first alone; parts are known by
// their query's id, so both could not be told apart.
func TestSameIDTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, 0, func(s *testbed, o *Command) {
			time.Sleep(100 * time.Millisecond)
			serve(s, o)
		})
		first := make(chan string)
		go func() { first <- s.execute(t.Context(), "q", 0) }()
		synctest.Wait()
		if got := s.execute(t.Context(), "q", 0); got != "failed false 0 false" {
			t.Errorf("second: %s", got)
		}
		if got := <-first; got != "answered true 1 false" {
			t.Errorf("first: %s", got)
		}
		// Nor does one come between a part that is being given up and its end.
		ctx, leave := context.WithCancel(t.Context())
		go func() { s.execute(ctx, "q", 0) }()
		time.Sleep(50 * time.Millisecond)
		leave()
		time.Sleep(20 * time.Millisecond)
		if got := s.execute(t.Context(), "q", 0); got != "failed false 0 false" {
			t.Errorf("while a part is out: %s", got)
		}
		time.Sleep(time.Second)
		if got := s.execute(t.Context(), "q", 0); got != "answered true 1 false" {
			t.Errorf("afterwards: %s", got)
		}
		s.end()
	})
}

// TestPanickingModule: a module that panics costs the queries it held, each still with its one answer, and the
// program goes on with a new one.
func TestPanickingModule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, 0, serve)
		time.Sleep(time.Second)
		synctest.Wait()
		s.loop.module = nil // its next Step panics
		if got := s.execute(t.Context(), "q", 0); got != "failed false 0 false" {
			t.Errorf("held as it panicked: %s", got)
		}
		time.Sleep(time.Second)
		if got := s.execute(t.Context(), "r", 0); got != "answered true 1 false" {
			t.Errorf("after it: %s", got)
		}
		s.end()
	})
}

// TestInvalidQueries: what can't be executed never reaches the module.
func TestInvalidQueries(t *testing.T) {
	c, err := New(aggregator.Settings{ShardSets: 1, Shards: 2, Reach: 1, Tenants: []aggregator.Tenant{{Name: "club"}},
		Classes: []aggregator.Class{{Name: "report", LatencyObjective: 1, Deadline: 1}}}, 1, slog.New(slog.DiscardHandler), membership.Config{})
	if err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(*Query){
		"class":    func(q *Query) { q.Class = "other" },
		"owner":    func(q *Query) { q.Tenant = "other" },
		"no id":    func(q *Query) { q.ID = "" },
		"id":       func(q *Query) { q.ID = "a b" },
		"no parts": func(q *Query) { q.Parts = nil },
		"shard":    func(q *Query) { q.Parts[0].Shard = 2 },
		"negative": func(q *Query) { q.Parts[0].Shard = -1 },
		"twice":    func(q *Query) { q.Parts = append(q.Parts, q.Parts[0]) },
		"weight":   func(q *Query) { q.Parts[0].Weight = -1 },
		"too much": func(q *Query) { q.Parts[0].Weight = 1.5 },
		"no sum":   func(q *Query) { q.Parts = []Part{{Shard: 0, Weight: 0.5}, {Shard: 1, Weight: 0.49}} },
		"below 0":  func(q *Query) { q.Parts = []Part{{Shard: 0, Weight: 1.5}, {Shard: 1, Weight: -0.5}} },
		"not a no": func(q *Query) { q.Parts[0].Weight = math.NaN() },
		"deadline": func(q *Query) { q.Deadline = time.Now().Add(-time.Second) },
	} {
		q := Query{ID: "q", Class: "report", Tenant: "club", Deadline: time.Now().Add(time.Second), Parts: []Part{{Shard: 1, Weight: 1}}}
		spoil(&q)
		if _, err := c.Execute(t.Context(), q); !errors.Is(err, ErrInput) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	if len(c.inbox) > 0 {
		t.Errorf("%d inputs reached the module", len(c.inbox))
	}
}

// TestClassLimitBindsDeadlines: a deadline past the class's limit does not hold a query for longer.
func TestClassLimitBindsDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, 0, func(s *testbed, o *Command) {
			if o.Cancel != nil {
				serve(s, o)
			}
		})
		start := time.Now()
		a, err := s.Execute(t.Context(), Query{ID: "q", Class: "report", Deadline: start.Add(time.Hour),
			Parts: []Part{{Shard: 0, Weight: 1}}})
		if err != nil || a.Status != Rejected || time.Since(start) > 3*time.Second {
			t.Errorf("got %+v, %v after %v", a, err, time.Since(start))
		}
		s.end()
	})
}

// TestRetryWaitsForCancellation: after a cancellation or a reset the next attempt of a part goes out no sooner than 5 ms
// later, however short the tick, so that it can't overtake what tells the data node, or its machine, of the end of
// the one before.
func TestRetryWaitsForCancellation(t *testing.T) {
	for _, end := range []Outcome{Cancelled, Reset, ConnectionLost, Errored} {
		synctest.Test(t, func(t *testing.T) {
			var ended, again time.Time
			tick = time.Millisecond
			defer func() { tick = 5 * time.Millisecond }()
			s := newTestbed(t, 0, func(s *testbed, o *Command) {
				switch {
				case o.Call != nil && ended.IsZero():
					time.Sleep(100 * time.Millisecond) // long after the last tick
					ended = time.Now()
					s.Report(o.Call[0], Result{Outcome: end})
				case o.Call != nil && again.IsZero():
					again = time.Now()
					serve(s, o)
				default:
					serve(s, o)
				}
			})
			if got := s.execute(t.Context(), "q", 0); got != "answered true 1 false" {
				t.Errorf("got %s", got)
			}
			if wait := again.Sub(ended); end != Errored && wait < 5*time.Millisecond {
				t.Errorf("outcome %d: the next attempt went out after %v", end, wait)
			}
			s.end()
		})
	}
}

// TestNodesAreForgotten: data nodes come under new names for as long as the program runs. What is kept of one ends
// with it, its dispatcher included (or the test would not end).
func TestNodesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, 0, serve)
		for i := range 100 {
			s.list.Change([]Member{{ID: fmt.Sprint("r", i), State: Gone}, {ID: fmt.Sprint("r", i+1)}})
			if got := s.execute(t.Context(), fmt.Sprint("q", i), 0, 1, 2, 3); got != "answered true 4 false" {
				t.Errorf("query %d: %s", i, got)
			}
		}
		synctest.Wait()
		if len(s.endpoints.nodes) != 2 || len(s.list.Claims()) != 2 {
			t.Errorf("%d data nodes are known, %d of the source", len(s.endpoints.nodes), len(s.list.Claims()))
		}
		if len(s.loop.queries.open)+len(s.loop.queries.parts)+len(s.loop.queries.attempts)+len(s.loop.delayed)+s.Open() > 0 {
			t.Errorf("still held: %d queries, %d parts, %d attempts", len(s.loop.queries.open), len(s.loop.queries.parts), len(s.loop.queries.attempts))
		}
		s.end()
	})
}
