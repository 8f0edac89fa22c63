package coordinator

// End-to-end test of slow start, from the record of a data node that returns with the same ID to the attempts sent to it: the decision
// module must apply slow start also to starts that the membership table has inferred.

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/membership"
)

// TestSlowStartAfterReturn checks, under high load, how much is sent to a data node that returns with the same ID and without a stated
// start time. After a long absence it gets no more within the overload window than a data node that is warming up can handle; after a
// short absence, when only its record flapped, it gets its full share.
func TestSlowStartAfterReturn(t *testing.T) {
	const work, window = 100 * time.Millisecond, time.Second
	rules := aggregator.Rules{DrainGrace: 2 * time.Second, OverloadMultiple: 2, OverloadWindow: window, InitialCapacity: 0.3, WarmupTime: 5 * time.Second}
	maxStarted := int(rules.OverloadMultiple * rules.InitialCapacity * float64(window/work))
	for _, longAbsence := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			set := aggregator.Settings{Aggregators: 1, Tick: tick, ShardSets: 1, Shards: 4, Reach: 1, CallCost: time.Millisecond, Rules: rules,
				Classes: []aggregator.Class{{Name: "report", LatencyObjective: 4 * time.Second, Deadline: 8 * time.Second, Priority: 1, CompleteShare: 1, MinShare: 1}},
				Limits:  aggregator.Limits{MaxAttempts: 3, MaxBatch: 8, CanCancel: true, SendRetryAfter: true, MaxRetryAfter: time.Second}}
			c, err := New(set, 7, slog.New(slog.NewTextHandler(io.Discard, nil)), membership.Config{})
			if err != nil {
				t.Fatal(err)
			}
			var mu sync.Mutex
			started := map[string]int{}
			c.RegisterDispatcher("", func(n *Node) {
				for cmd := n.NextCommand(context.Background()); cmd != nil; cmd = n.NextCommand(context.Background()) {
					for _, a := range cmd.Call {
						mu.Lock()
						started[n.ID()]++
						mu.Unlock()
						time.AfterFunc(work, func() { c.Report(a, Result{Outcome: OK, Docs: [][]byte{[]byte("v")}}) })
					}
					if cmd.Cancel != nil {
						c.Report(cmd.Cancel, Result{Outcome: Cancelled})
					}
				}
			})
			ctx, stop := context.WithCancel(t.Context())
			go c.Run(ctx)
			zone := c.AddSource(membership.Spec{Name: "zone", Damped: true})
			stays, returns := Member{ID: "stays", Addr: "1", Weight: 1, StartUnknown: true}, Member{ID: "returns", Addr: "2", Weight: 1, StartUnknown: true}
			zone.ReplaceList([]Member{stays, returns}, false)
			executed := 0
			startQueries := func(n int) (wg *sync.WaitGroup) {
				wg = new(sync.WaitGroup)
				for range n {
					executed++
					q := Query{ID: fmt.Sprint("q", executed), Class: "report", Deadline: time.Now().Add(8 * time.Second),
						Parts: []Part{{Shard: executed % 4, Weight: 1, ExpectedWork: work}}}
					wg.Go(func() { c.Execute(t.Context(), q) })
				}
				return wg
			}
			startQueries(20).Wait() // lets the module learn how long parts take
			zone.ReplaceList([]Member{stays}, false)
			absence := 500 * time.Millisecond
			if longAbsence {
				absence = 11 * time.Second
			}
			time.Sleep(absence)
			mu.Lock()
			started["returns"] = 0
			mu.Unlock()
			zone.ReplaceList([]Member{stays, returns}, false)
			wg := startQueries(60)
			time.Sleep(window)
			mu.Lock()
			got := started["returns"]
			mu.Unlock()
			if longAbsence && (got > maxStarted || got == 0) || !longAbsence && got <= maxStarted {
				t.Errorf("long absence %v: %d parts started in the first second; the limit while warming up is %d", longAbsence, got, maxStarted)
			}
			wg.Wait()
			zone.ReplaceList(nil, false)
			time.Sleep(10 * time.Second)
			stop()
		})
	}
}
