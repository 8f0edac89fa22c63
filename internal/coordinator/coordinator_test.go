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

// testbed is a coordinator in virtual time whose dispatcher calls a function of the test for each command. It starts with one data node.
type testbed struct {
	*Coordinator
	list     *Source
	mu       sync.Mutex
	commands []string
	shutdown func()
}

var tick = 5 * time.Millisecond

func newTestbed(t *testing.T, maxOpen int, handle func(s *testbed, cmd *Command), configure ...func(*Coordinator)) *testbed {
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
	for _, f := range configure {
		f(c)
	}
	s := &testbed{Coordinator: c}
	c.RegisterDispatcher("", func(n *Node) {
		for cmd := n.NextCommand(context.Background()); cmd != nil; cmd = n.NextCommand(context.Background()) {
			s.mu.Lock()
			switch {
			case cmd.Call != nil:
				line := "call"
				for _, a := range cmd.Call {
					line += " " + a.ID
				}
				s.commands = append(s.commands, line)
			case cmd.Cancel != nil:
				s.commands = append(s.commands, "cancel "+cmd.Cancel.ID)
			case cmd.RejectQueued:
				s.commands = append(s.commands, "reject queued")
			}
			s.mu.Unlock()
			handle(s, cmd)
		}
	})
	ctx, stop := context.WithCancel(t.Context())
	go c.Run(ctx)
	s.list = c.AddSource(membership.Spec{Name: "list"})
	s.list.ReplaceList([]Member{{ID: "n1"}}, false)
	s.shutdown = func() {
		s.list.ReplaceList(nil, false)
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

// serve answers all attempts of a call, and confirms cancellations.
func serve(s *testbed, cmd *Command) {
	for _, a := range cmd.Call {
		s.Report(a, Result{Outcome: OK, Docs: [][]byte{[]byte("v")}})
		s.Report(a, Result{Outcome: Reset}) // only the first report of an attempt counts
	}
	if cmd.Cancel != nil {
		s.Report(cmd.Cancel, Result{Outcome: Cancelled})
	}
}

// TestPartsShareCalls checks that the parts of a query are sent in one step, in calls of at most MaxBatch parts.
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
		s.shutdown()
	})
}

// TestTimeoutIsCancelledAtDataNode checks that an attempt that times out is cancelled at the data node before its query ends, and that the
// attempts of a query are cancelled when its client leaves.
func TestTimeoutIsCancelledAtDataNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, 0, func(s *testbed, cmd *Command) {
			if cmd.Cancel != nil {
				serve(s, cmd)
			}
		})
		if got := s.execute(t.Context(), "q", 0); got != "rejected false 0 true" {
			t.Errorf("got %s", got)
		}
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, leave)
		if got := s.execute(ctx, "r", 1); got != ErrClientGone.Error() {
			t.Errorf("got %s", got)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if diff := cmp.Diff([]string{"call q.0", "cancel q.0", "call r.1", "cancel r.1"}, s.commands); diff != "" {
			t.Errorf("(-want +got)\n%s", diff)
		}
		if len(s.loop.queries.open)+len(s.loop.queries.parts)+len(s.loop.queries.attempts)+s.OpenCount() > 0 {
			t.Errorf("still held: %d queries, %d parts, %d attempts", len(s.loop.queries.open), len(s.loop.queries.parts), len(s.loop.queries.attempts))
		}
		s.shutdown()
	})
}

// TestMaxOpen checks that a query that arrives when MaxOpen is reached is rejected immediately, with a RetryAfter.
func TestMaxOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, 6, serve)
		s.Coordinator.mu.Lock()
		s.open += 6
		s.Coordinator.mu.Unlock()
		start := time.Now()
		if got := s.execute(t.Context(), "q", 0); got != "rejected false 0 true" || time.Since(start) > 0 {
			t.Errorf("at MaxOpen: got %s after %v", got, time.Since(start))
		}
		s.Coordinator.mu.Lock()
		s.open -= 6
		s.Coordinator.mu.Unlock()
		if got := s.execute(t.Context(), "q", 0); got != "answered true 1 false" {
			t.Errorf("below MaxOpen: got %s", got)
		}
		s.shutdown()
	})
}

// TestDuplicateOpenIDFails checks that a query with the ID of an open query fails and does not affect the open one. Part IDs contain the
// query's ID, so the parts of the two would be indistinguishable.
// TestQueryOfGoneClientIsNotBegun guards against the execution of a query whose client has left before it was read.
func TestQueryOfGoneClientIsNotBegun(t *testing.T) {
	c, err := New(aggregator.Settings{Aggregators: 1, Tick: tick, ShardSets: 1, Shards: 1, Reach: 1,
		Classes: []aggregator.Class{{Name: "report", LatencyObjective: time.Second, Deadline: 3 * time.Second, Priority: 1, CompleteShare: 1, MinShare: 1}}},
		7, slog.New(slog.DiscardHandler), membership.Config{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, leave := context.WithCancel(t.Context())
	leave()
	_, err = c.Execute(ctx, Query{ID: "q", Class: "report", Deadline: time.Now().Add(2 * time.Second), Parts: []Part{{Shard: 0, Weight: 1}}})
	if !errors.Is(err, ErrClientGone) || c.OpenCount() > 0 {
		t.Errorf("got %v, %d queries and parts are open; want ErrClientGone and none", err, c.OpenCount())
	}
}

func TestDuplicateOpenIDFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, 0, func(s *testbed, cmd *Command) {
			time.Sleep(100 * time.Millisecond)
			serve(s, cmd)
		})
		first := make(chan string)
		go func() { first <- s.execute(t.Context(), "q", 0) }()
		synctest.Wait()
		if got := s.execute(t.Context(), "q", 0); got != "failed false 0 false" {
			t.Errorf("duplicate: %s", got)
		}
		if got := <-first; got != "answered true 1 false" {
			t.Errorf("first: %s", got)
		}
		// The ID is also rejected while an attempt of the query is being cancelled.
		ctx, leave := context.WithCancel(t.Context())
		go func() { s.execute(ctx, "q", 0) }()
		time.Sleep(50 * time.Millisecond)
		leave()
		time.Sleep(20 * time.Millisecond)
		if got := s.execute(t.Context(), "q", 0); got != "failed false 0 false" {
			t.Errorf("duplicate while an attempt is being cancelled: %s", got)
		}
		time.Sleep(time.Second)
		if got := s.execute(t.Context(), "q", 0); got != "answered true 1 false" {
			t.Errorf("same ID after the cancellation: %s", got)
		}
		s.shutdown()
	})
}

// TestModulePanicFailsOpenQueries checks that a panic of the decision module fails the open queries, each with exactly one answer, and that
// queries are served by a new module afterwards.
func TestModulePanicFailsOpenQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, 0, serve)
		time.Sleep(time.Second)
		synctest.Wait()
		s.loop.module = nil // its next Step panics
		if got := s.execute(t.Context(), "q", 0); got != "failed false 0 false" {
			t.Errorf("query open during the panic: %s", got)
		}
		time.Sleep(time.Second)
		if got := s.execute(t.Context(), "r", 0); got != "answered true 1 false" {
			t.Errorf("query after the panic: %s", got)
		}
		s.shutdown()
	})
}

// TestInvalidQueries checks that invalid queries fail with ErrInvalidQuery and never reach the decision module.
func TestInvalidQueries(t *testing.T) {
	c, err := New(aggregator.Settings{ShardSets: 1, Shards: 2, Reach: 1, Tenants: []aggregator.Tenant{{Name: "club"}},
		Classes: []aggregator.Class{{Name: "report", LatencyObjective: 1, Deadline: 1}}}, 1, slog.New(slog.DiscardHandler), membership.Config{})
	if err != nil {
		t.Fatal(err)
	}
	for name, invalidate := range map[string]func(*Query){
		"unknown class":                func(q *Query) { q.Class = "other" },
		"unknown tenant":               func(q *Query) { q.Tenant = "other" },
		"empty ID":                     func(q *Query) { q.ID = "" },
		"ID with a space":              func(q *Query) { q.ID = "a b" },
		"no parts":                     func(q *Query) { q.Parts = nil },
		"unknown shard":                func(q *Query) { q.Parts[0].Shard = 2 },
		"negative shard":               func(q *Query) { q.Parts[0].Shard = -1 },
		"repeated shard":               func(q *Query) { q.Parts = append(q.Parts, q.Parts[0]) },
		"negative weight":              func(q *Query) { q.Parts[0].Weight = -1 },
		"weight above 1":               func(q *Query) { q.Parts[0].Weight = 1.5 },
		"sum of weights below 1":       func(q *Query) { q.Parts = []Part{{Shard: 0, Weight: 0.5}, {Shard: 1, Weight: 0.49}} },
		"sum of 1 with a negative one": func(q *Query) { q.Parts = []Part{{Shard: 0, Weight: 1.5}, {Shard: 1, Weight: -0.5}} },
		"weight is NaN":                func(q *Query) { q.Parts[0].Weight = math.NaN() },
		"deadline has passed":          func(q *Query) { q.Deadline = time.Now().Add(-time.Second) },
	} {
		q := Query{ID: "q", Class: "report", Tenant: "club", Deadline: time.Now().Add(time.Second), Parts: []Part{{Shard: 1, Weight: 1}}}
		invalidate(&q)
		if _, err := c.Execute(t.Context(), q); !errors.Is(err, ErrInvalidQuery) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	if len(c.inbox) > 0 {
		t.Errorf("%d inputs reached the module", len(c.inbox))
	}
}

// TestDeadlineIsCappedByClassLimit checks that a query ends within the limit of its class even if its own deadline is later.
func TestDeadlineIsCappedByClassLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, 0, func(s *testbed, cmd *Command) {
			if cmd.Cancel != nil {
				serve(s, cmd)
			}
		})
		start := time.Now()
		a, err := s.Execute(t.Context(), Query{ID: "q", Class: "report", Deadline: start.Add(time.Hour),
			Parts: []Part{{Shard: 0, Weight: 1}}})
		if err != nil || a.Status != Rejected || time.Since(start) > 3*time.Second {
			t.Errorf("got %+v, %v after %v", a, err, time.Since(start))
		}
		s.shutdown()
	})
}

// TestRetryWaitsForCancellation checks that after a cancellation or a reset the next attempt of a part is sent no sooner than 5 ms later,
// however short the tick, so that it can't overtake the message that tells the data node, or its operating system, about the end of the
// previous attempt.
func TestRetryWaitsForCancellation(t *testing.T) {
	for _, outcome := range []Outcome{Cancelled, Reset, ConnectionLost, Errored} {
		synctest.Test(t, func(t *testing.T) {
			var endedAt, retriedAt time.Time
			tick = time.Millisecond
			defer func() { tick = 5 * time.Millisecond }()
			s := newTestbed(t, 0, func(s *testbed, cmd *Command) {
				switch {
				case cmd.Call != nil && endedAt.IsZero():
					time.Sleep(100 * time.Millisecond) // well after the last tick
					endedAt = time.Now()
					s.Report(cmd.Call[0], Result{Outcome: outcome})
				case cmd.Call != nil && retriedAt.IsZero():
					retriedAt = time.Now()
					serve(s, cmd)
				default:
					serve(s, cmd)
				}
			})
			if got := s.execute(t.Context(), "q", 0); got != "answered true 1 false" {
				t.Errorf("got %s", got)
			}
			if wait := retriedAt.Sub(endedAt); outcome != Errored && wait < 5*time.Millisecond {
				t.Errorf("outcome %d: the next attempt was sent after %v", outcome, wait)
			}
			s.shutdown()
		})
	}
}

// TestRemovedNodesAreReleased checks that everything kept for a data node is released once it has left the list, since data nodes with new
// names appear for as long as the program runs. This includes its dispatcher; otherwise the test would not end.
func TestRemovedNodesAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, 0, serve)
		for i := range 100 {
			s.list.ApplyChanges([]Member{{ID: fmt.Sprint("r", i), State: Gone}, {ID: fmt.Sprint("r", i+1)}})
			if got := s.execute(t.Context(), fmt.Sprint("q", i), 0, 1, 2, 3); got != "answered true 4 false" {
				t.Errorf("query %d: %s", i, got)
			}
		}
		synctest.Wait()
		if len(s.endpoints.nodes) != 2 || len(s.list.Records()) != 2 {
			t.Errorf("%d data nodes are listed, %d by the source; want 2 and 2", len(s.endpoints.nodes), len(s.list.Records()))
		}
		if len(s.loop.queries.open)+len(s.loop.queries.parts)+len(s.loop.queries.attempts)+len(s.loop.delayed)+s.OpenCount() > 0 {
			t.Errorf("still held: %d queries, %d parts, %d attempts", len(s.loop.queries.open), len(s.loop.queries.parts), len(s.loop.queries.attempts))
		}
		s.shutdown()
	})
}
