package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/membership"
)

// BenchmarkCachedList measures how a new coordinator processes a cached list of 10,000 data nodes.
func BenchmarkCachedList(b *testing.B) {
	var list []Member
	for i := range 10_000 {
		list = append(list, Member{ID: fmt.Sprintf("node-%05d", i), Addr: fmt.Sprint("127.0.0.1:", i+1), Zone: "abc"[i%3 : i%3+1], ShardSet: i % 64, Weight: 1,
			Started: time.Unix(1_700_000_000, 0)})
	}
	for b.Loop() {
		c, err := New(aggregator.Settings{Aggregators: 3, Tick: 5 * time.Millisecond, ShardSets: 64, Shards: 64, Reach: 2,
			Classes: []aggregator.Class{{Name: "lookup", LatencyObjective: time.Second, Deadline: 2 * time.Second, Priority: 1, CompleteShare: 1, MinShare: 1}}}, 7, slog.New(slog.DiscardHandler), membership.Config{})
		if err != nil {
			b.Fatal(err)
		}
		ctx, stop := context.WithCancel(b.Context())
		c.RegisterDispatcher("", func(n *Node) {
			for cmd := n.NextCommand(ctx); cmd != nil; cmd = n.NextCommand(ctx) {
			}
		})
		src := c.AddSource(membership.Spec{Name: "list"})
		src.ReplaceList(list, true)
		c.Tick(time.Now())
		stop()
	}
}
