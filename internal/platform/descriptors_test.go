package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/coordinator"
	"gullfall/internal/membership"
)

// countedConn is a connection that decrements the count of open connections when its owner closes it: from then on the descriptor
// is free, whether or not the peer has noticed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// TestMoreNodesThanDescriptors: three data nodes share two descriptors. An idle connection is closed for another data node; while
// both are in use, a part waits for one to become free. If none does, this must not count as a failure of the data node, which is
// sent parts again as soon as a descriptor is free. Otherwise a coordinator with fewer descriptors than data nodes would treat
// most of them as dead or cold.
func TestMoreNodesThanDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 3
		log := slog.New(slog.DiscardHandler)
		set := aggregator.Settings{Aggregators: 1, Tick: 5 * time.Millisecond, ShardSets: nodes, Shards: nodes, Reach: 1,
			Classes: []aggregator.Class{{Name: "report", LatencyObjective: time.Second, Deadline: 3 * time.Second, Priority: 1, CompleteShare: 1, MinShare: 1}},
			Limits:  aggregator.Limits{MaxAttempts: 3, CanCancel: true, ConnectTimeout: 250 * time.Millisecond, ConnIdle: 30 * time.Second},
			Rules:   aggregator.Rules{OverloadMultiple: 2, OverloadWindow: time.Second, InitialCapacity: 0.01, WarmupTime: 20 * time.Second}}
		c, err := coordinator.New(set, 1, log, membership.Config{})
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		go c.Run(ctx)
		var open, maxOpen, answerDelay, queries atomic.Int64
		answerDelay.Store(int64(time.Millisecond))
		dial := func(context.Context, string) (net.Conn, error) {
			ours, theirs := net.Pipe()
			maxOpen.Store(max(maxOpen.Load(), open.Add(1)))
			go func() {
				defer theirs.Close()
				in := bufio.NewReader(theirs)
				for {
					text, err := readFrameText(in)
					if err != nil {
						return
					}
					if id, asked := strings.CutPrefix(text, "Q "); asked {
						time.Sleep(time.Duration(answerDelay.Load()))
						io.WriteString(theirs, encodeFrame("A"+id+" ok 1 -\nv"))
					}
				}
			}()
			return &countedConn{Conn: ours, open: &open}, nil
		}
		pool := &ConnPool{Coordinator: c, Log: log, Dial: dial, Streams: 32, ConnectTimeout: 250 * time.Millisecond, IdleTimeout: 30 * time.Second, Descriptors: make(chan struct{}, 2)}
		c.RegisterDispatcher("", pool.Dispatch)
		list := c.AddSource(membership.Spec{Name: "list"})
		var all []coordinator.Member
		for i := range nodes {
			all = append(all, coordinator.Member{ID: fmt.Sprint("n", i), Addr: fmt.Sprint("n", i), ShardSet: i, Weight: 1})
		}
		list.ReplaceList(all, false)
		query := func(shard int) bool {
			a, err := c.Execute(ctx, coordinator.Query{ID: fmt.Sprint("q", queries.Add(1)), Class: "report", Deadline: time.Now().Add(2 * time.Second), Text: "text",
				Parts: []coordinator.Part{{Shard: shard, Weight: 1}}})
			return err == nil && a.Status == coordinator.Answered
		}
		for i := range 12 {
			if !query(i % nodes) {
				t.Errorf("query %d was not answered", i)
			}
		}
		// Both descriptors are in use for longer than a part may wait for one.
		answerDelay.Store(int64(900 * time.Millisecond))
		done := make(chan bool, 2)
		for i := range 2 {
			go func() { done <- query(i) }()
		}
		time.Sleep(50 * time.Millisecond)
		query(2)
		answerDelay.Store(int64(time.Millisecond))
		if a, b := <-done, <-done; !a || !b {
			t.Errorf("answered of the two queries in flight: %v, %v", a, b)
		}
		for i := range 6 {
			if !query(2) {
				t.Errorf("query %d to the data node that had no descriptor was not answered", i)
			}
		}
		// Both are in use for less than that: the part is sent as soon as one of them is idle.
		answerDelay.Store(int64(100 * time.Millisecond))
		for i := range 2 {
			go func() { done <- query(i) }()
		}
		time.Sleep(50 * time.Millisecond)
		answerDelay.Store(int64(time.Millisecond))
		begun := time.Now()
		if !query(2) || time.Since(begun) > 100*time.Millisecond {
			t.Errorf("a part waited %v for a descriptor; one became free after 50 ms", time.Since(begun))
		}
		<-done
		<-done
		if maxOpen.Load() > 2 {
			t.Errorf("%d connections were open; there are descriptors for 2", maxOpen.Load())
		}
		list.ReplaceList(nil, false)
		time.Sleep(time.Minute)
		if len(pool.Descriptors) > 0 || open.Load() > 0 {
			t.Errorf("%d descriptors and %d connections were not released", len(pool.Descriptors), open.Load())
		}
		stop()
	})
}
