package platform

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/coordinator"
	"gullfall/internal/membership"
)

// TestKeyedRetryWithinDedupWindow: data nodes recognize duplicates of a keyed part for 300 ms after the first attempt that may have run. If
// the connection for the retry takes longer than what is left of that window, the retry must not be sent, since it could run
// twice. It is sent on a connection that is fast enough, and at any time in a class whose parts are safe to repeat.
func TestKeyedRetryWithinDedupWindow(t *testing.T) {
	for _, c := range []struct {
		name   string
		effect aggregator.Effect
		dial   time.Duration
		want   int32
	}{
		{"keyed, after the window", aggregator.Keyed, 220 * time.Millisecond, 1},
		{"keyed, within the window", aggregator.Keyed, 50 * time.Millisecond, 2},
		{"safe, after the window", aggregator.Safe, 220 * time.Millisecond, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := slog.New(slog.DiscardHandler)
				set := aggregator.Settings{Aggregators: 1, Tick: 5 * time.Millisecond, ShardSets: 1, Shards: 1, Reach: 1,
					Classes: []aggregator.Class{{Name: "entry", LatencyObjective: time.Second, Deadline: 2 * time.Second, Priority: 1, CompleteShare: 1, MinShare: 1,
						Effect: c.effect, DedupWindow: 300 * time.Millisecond}},
					Limits: aggregator.Limits{MaxAttempts: 2, CanCancel: true, ConnectTimeout: 250 * time.Millisecond}}
				coord, err := coordinator.New(set, 1, log, membership.Config{})
				if err != nil {
					t.Fatal(err)
				}
				ctx, stop := context.WithCancel(t.Context())
				go coord.Run(ctx)
				var frames, dials atomic.Int32
				dial := func(ctx context.Context, _ string) (net.Conn, error) {
					if dials.Add(1) > 1 {
						time.Sleep(c.dial)
					}
					ours, theirs := net.Pipe()
					a := &actor{name: "n", msgs: make(chan string, 9)}
					go new(harness).readMessages(a, theirs)
					go func() {
						for msg := range a.msgs {
							if msg == "end" {
								theirs.Close()
								return
							}
							end := "ok"
							if msg[0] == 'Q' && frames.Add(1) == 1 {
								time.Sleep(100 * time.Millisecond)
								end = "err"
							}
							if msg[0] == 'Q' {
								theirs.Write([]byte(encodeFrame("Aq.0 " + end + " 1 -\nv")))
							}
						}
					}()
					return ours, nil
				}
				coord.RegisterDispatcher("", (&ConnPool{Coordinator: coord, Log: log, Dial: dial, Streams: 32, ConnectTimeout: 250 * time.Millisecond, Descriptors: make(chan struct{}, 9)}).Dispatch)
				list := coord.AddSource(membership.Spec{Name: "list"})
				list.ReplaceList([]coordinator.Member{{ID: "a", Weight: 1}, {ID: "b", Weight: 1}}, false)
				answer, err := coord.Execute(ctx, coordinator.Query{ID: "q", Class: "entry", IdempotencyKey: "k1", Text: "text", Deadline: time.Now().Add(1500 * time.Millisecond),
					Parts: []coordinator.Part{{Weight: 1}}})
				if err != nil || (answer.Status == coordinator.Answered) != (c.want == 2) {
					t.Errorf("answer %v, error %v", answer, err)
				}
				time.Sleep(time.Second)
				if frames.Load() != c.want || dials.Load() != 2 {
					t.Errorf("%d frames on %d connections, want %d on 2", frames.Load(), dials.Load(), c.want)
				}
				list.ReplaceList(nil, false)
				time.Sleep(time.Minute)
				stop()
			})
		})
	}
}
