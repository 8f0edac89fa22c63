package platform

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/coordinator"
	"gullfall/internal/membership"
)

// BenchmarkQuery measures queries of eight parts from Execute to their answers: the event loop, the frame codec in both
// directions, and a connection to a data node that answers at once.
func BenchmarkQuery(b *testing.B) {
	log := slog.New(slog.DiscardHandler)
	set := aggregator.Settings{Aggregators: 1, Tick: time.Microsecond, ShardSets: 1, Shards: 8, Reach: 1, CallCost: time.Millisecond,
		Classes: []aggregator.Class{{Name: "lookup", LatencyObjective: time.Second, Deadline: 2 * time.Second, Priority: 1, CompleteShare: 1, MinShare: 1}},
		Limits:  aggregator.Limits{MaxAttempts: 3, MaxBatch: 8, CanCancel: true, ConnectTimeout: 250 * time.Millisecond}}
	c, err := coordinator.New(set, 1, log, membership.Config{})
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(b.Context())
	defer stop()
	go c.Run(ctx)
	dial := func(context.Context, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		go answerFrames(theirs)
		return ours, nil
	}
	nodes := &ConnPool{Coordinator: c, Log: log, Dial: dial, Streams: 32, ConnectTimeout: 250 * time.Millisecond, Descriptors: make(chan struct{}, 9)}
	c.RegisterDispatcher("", nodes.Dispatch)
	c.AddSource(membership.Spec{Name: "list"}).ReplaceList([]coordinator.Member{{ID: "a", Weight: 1}}, false)
	parts := make([]coordinator.Part, 8)
	for i := range parts {
		parts[i] = coordinator.Part{Shard: i, Weight: 1.0 / 8}
	}
	text := strings.Repeat("q", 100)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		answer, err := c.Execute(ctx, coordinator.Query{ID: fmt.Sprint("q", i), Class: "lookup", Text: text, Deadline: time.Now().Add(time.Second), Parts: parts})
		if err != nil || !answer.Complete {
			b.Fatalf("answer %+v, error %v", answer, err)
		}
	}
}

// answerFrames answers each part of each call with a value of 100 bytes.
func answerFrames(conn net.Conn) {
	in := bufio.NewReader(conn)
	value := strings.Repeat("v", 100)
	for {
		var size uint32
		if binary.Read(in, binary.LittleEndian, &size) != nil {
			return
		}
		frame := make([]byte, size)
		if _, err := io.ReadFull(in, frame); err != nil {
			return
		}
		if frame[0] != 'Q' {
			continue
		}
		rest := string(frame[1:])
		for rest != "" {
			head, after, _ := strings.Cut(rest, "\n")
			var id, options string
			var shard, length int
			if _, err := fmt.Sscan(head, &id, &shard, &options, &length); err != nil {
				return
			}
			rest = after[length:]
			if _, err := io.WriteString(conn, encodeFrame(fmt.Sprintf("A%s ok %d -\n%s", id, len(value), value))); err != nil {
				return
			}
		}
	}
}
