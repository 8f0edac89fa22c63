package platform

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/coordinator"
	"gullfall/internal/lab/golden"
	"gullfall/internal/membership"
)

// TestFramesMatchEarlierVersions compares the frames written to a data node that never answers (a call of two parts of a keyed
// class, and the cancels of these parts) with those of earlier versions. It uses virtual time, so that the time left in the call
// is the same in each run.
func TestFramesMatchEarlierVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var written bytes.Buffer
		dial := func(context.Context, string) (net.Conn, error) {
			ours, theirs := net.Pipe()
			go func() {
				chunk := make([]byte, 4096)
				for {
					n, err := theirs.Read(chunk)
					mu.Lock()
					written.Write(chunk[:n])
					mu.Unlock()
					if err != nil {
						return
					}
				}
			}()
			return ours, nil
		}
		k := startFrameCoordinator(t, dial)
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		_, err := k.Execute(ctx, coordinator.Query{ID: "query", Class: "entry", IdempotencyKey: "key", Text: "text of the query",
			Deadline: time.Now().Add(1500 * time.Millisecond), Parts: []coordinator.Part{{Shard: 0, Weight: 0.5}, {Shard: 1, Weight: 0.5}}})
		if err == nil {
			t.Error("a query was answered by a data node that never answers")
		}
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		golden.Bytes(t, "frames.bin", written.Bytes())
	})
}

// startFrameCoordinator runs a coordinator with one data node whose connections are opened by dial.
func startFrameCoordinator(t *testing.T, dial func(context.Context, string) (net.Conn, error)) *coordinator.Coordinator {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	set := aggregator.Settings{Aggregators: 1, Tick: 5 * time.Millisecond, ShardSets: 1, Shards: 2, Reach: 1, CallCost: time.Millisecond,
		Classes: []aggregator.Class{{Name: "entry", LatencyObjective: time.Second, Deadline: 2 * time.Second, Priority: 1, CompleteShare: 1, MinShare: 1,
			Effect: aggregator.Keyed, DedupWindow: 300 * time.Millisecond}},
		Limits: aggregator.Limits{MaxAttempts: 2, MaxBatch: 8, CanCancel: true, ConnectTimeout: 250 * time.Millisecond}}
	k, err := coordinator.New(set, 1, log, membership.Config{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	go k.Run(ctx)
	nodes := &ConnPool{Coordinator: k, Log: log, Dial: dial, Streams: 32, ConnectTimeout: 250 * time.Millisecond, Descriptors: make(chan struct{}, 9)}
	k.RegisterDispatcher("", nodes.Dispatch)
	list := k.AddSource(membership.Spec{Name: "list"})
	list.ReplaceList([]coordinator.Member{{ID: "a", Weight: 1}}, false)
	t.Cleanup(func() {
		list.ReplaceList(nil, false)
		time.Sleep(time.Minute)
		stop()
	})
	return k
}

// TestRestoreListOfEarlierVersion restores a list of data nodes that an earlier version stored, and stores it again unchanged.
func TestRestoreListOfEarlierVersion(t *testing.T) {
	stored, err := os.ReadFile("testdata/remembered.json")
	if err != nil {
		t.Fatal(err)
	}
	k, err := coordinator.New(aggregator.Settings{ShardSets: 2, Shards: 2, Reach: 1, Classes: []aggregator.Class{{LatencyObjective: 1, Deadline: 1}}}, 1, slog.New(slog.DiscardHandler), membership.Config{})
	if err != nil {
		t.Fatal(err)
	}
	w := NewWatch("discovery")
	w.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	w.Source = k.AddSource(membership.Spec{Name: "list"})
	w.Restore(stored)
	claims := w.Source.Records()
	if len(claims) != 2 || claims[0].ID != "a" || claims[0].ShardSet != 1 || claims[0].Zone != "recife" || claims[1].State != coordinator.Draining ||
		!claims[1].Started.Equal(time.UnixMilli(1_790_000_000_000)) {
		t.Errorf("the list holds %+v", claims)
	}
	var persisted []byte
	w.Persist = func(list []byte) { persisted = list }
	w.persist()
	golden.Bytes(t, "remembered.json", persisted)
}
