package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/textproto"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/coordinator"
	"gullfall/internal/membership"
)

// overloadedDiscovery sends the list to one caller at a time. A call that has waited for longer than maxCallWait is closed without
// a list, after it has used up its turn; while more than maxWaiting calls wait, further ones are rejected.
type overloadedDiscovery struct {
	turn           chan struct{}
	waiting, calls atomic.Int32
	served         atomic.Int32
}

const (
	listDuration = 60 * time.Millisecond
	maxCallWait  = 2 * time.Second
	maxWaiting   = 40
)

func (o *overloadedDiscovery) dial(context.Context, string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	go o.serve(theirs)
	return ours, nil
}

func (o *overloadedDiscovery) serve(nc net.Conn) {
	defer nc.Close()
	in := textproto.NewReader(bufio.NewReader(nc))
	in.ReadLine()
	if _, err := in.ReadMIMEHeader(); err != nil {
		return
	}
	received := time.Now()
	o.calls.Add(1)
	if o.waiting.Add(1) > maxWaiting {
		o.waiting.Add(-1)
		io.WriteString(nc, "HTTP/1.1 503 Service Unavailable\r\n\r\n")
		return
	}
	io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	o.turn <- struct{}{}
	time.Sleep(listDuration)
	<-o.turn
	o.waiting.Add(-1)
	if time.Since(received) > maxCallWait {
		return
	}
	o.served.Add(1)
	line := `{"version":42,"servers":[]}` + "\n"
	for err := error(nil); err == nil; time.Sleep(2 * time.Second) { // no further changes
		_, err = fmt.Fprintf(nc, "%x\r\n%s\r\n", len(line), line)
		line = "\n"
	}
}

// TestOverloadedDiscoveryServesAllCoordinators: 80 coordinators that start together with a cached list must all receive the
// changes soon, although discovery can't serve all of them within the time that it lets a call wait. If those that are closed
// together retried together, they would time out together again and never be served.
func TestOverloadedDiscoveryServesAllCoordinators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const coordinators, nodes = 80, 60
		var known []string
		for i := range nodes {
			known = append(known, fmt.Sprintf(`{"id":"s%d","addr":"a%d","cell":0,"state":"SERVING"}`, i, i))
		}
		o := &overloadedDiscovery{turn: make(chan struct{}, 1)}
		ctx, stop := context.WithCancel(t.Context())
		log := slog.New(slog.DiscardHandler)
		set := aggregator.Settings{ShardSets: 1, Shards: 1, Reach: 1, Classes: []aggregator.Class{{LatencyObjective: 1, Deadline: 1}}}
		for seed := range uint64(coordinators) {
			c, err := coordinator.New(set, seed, log, membership.Config{})
			if err != nil {
				t.Fatal(err)
			}
			w := NewWatch("d")
			w.Source, w.Log, w.Dial = c.AddSource(membership.Spec{Name: "discovery"}), log, o.dial
			w.Schedule = membership.PollSchedule{Peers: coordinators - 1, Grace: 2 * time.Second}
			w.Random = rand.New(rand.NewPCG(seed, 1)).Float64
			w.Restore([]byte(`{"version":41,"servers":[` + strings.Join(known, ",") + `]}`))
			go w.Run(ctx)
		}
		time.Sleep(20 * time.Second)
		if served, calls := o.served.Load(), o.calls.Load(); served != coordinators || calls > 3*coordinators {
			t.Errorf("%d of %d coordinators were served; %d calls", served, coordinators, calls)
		}
		stop()
		time.Sleep(10 * time.Second)
	})
}
