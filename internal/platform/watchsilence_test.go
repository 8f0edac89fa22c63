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
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"gullfall/aggregator"
	"gullfall/internal/coordinator"
	"gullfall/internal/membership"
)

// silentDiscovery says nothing between two moments: connections come up and stay silent forever, those that were open before
// too. Half of the data nodes drain in that time; who calls later is told so.
type silentDiscovery struct {
	from, until time.Time
	nodes       int
	turn        chan struct{} // a service makes lists one after the other; nil for an agent, which has them
}

func (q *silentDiscovery) dial(context.Context, string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	go q.serve(theirs)
	return ours, nil
}

// list is a complete list, in which the even data nodes have the state.
func (q *silentDiscovery) list(even string) string {
	var list []string
	for i := range 60 { // they make it a long list
		list = append(list, fmt.Sprintf(`{"id":"old%d","addr":"old%d","cell":0,"state":"DRAINING"}`, i, i))
	}
	for i := range q.nodes {
		state := "SERVING"
		if i%2 == 0 {
			state = even
		}
		list = append(list, fmt.Sprintf(`{"id":"n%d","addr":"n%d","cell":0,"state":%q}`, i, i, state))
	}
	return `{"version":42,"full":true,"servers":[` + strings.Join(list, ",") + "]}\n"
}

func (q *silentDiscovery) serve(nc net.Conn) {
	defer nc.Close()
	in := textproto.NewReader(bufio.NewReader(nc))
	in.ReadLine()
	if _, err := in.ReadMIMEHeader(); err != nil {
		return
	}
	silent := func() bool { now := time.Now(); return !now.Before(q.from) && now.Before(q.until) }
	before := time.Now().Before(q.from)
	if silent() {
		io.Copy(io.Discard, nc) // until the caller gives up
		return
	}
	if q.turn != nil {
		q.turn <- struct{}{}
		time.Sleep(10 * time.Millisecond)
		<-q.turn
	}
	io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	line := q.list("DRAINING")
	if before {
		line = q.list("SERVING")
	}
	for {
		if before && !time.Now().Before(q.from) {
			io.Copy(io.Discard, nc) // this watch never brings anything again
			return
		}
		if _, err := fmt.Fprintf(nc, "%x\r\n%s\r\n", len(line), line); err != nil {
			return
		}
		line = "\n"
		time.Sleep(membership.KeepAliveInterval)
	}
}

// partRecorder notes when data nodes were last sent a part, each of which is answered at once.
type partRecorder struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func (l *partRecorder) dial(_ context.Context, addr string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	go func() {
		defer theirs.Close()
		in := bufio.NewReader(theirs)
		for {
			text, err := frameText(in)
			if err != nil {
				return
			}
			kind, ids, _ := strings.Cut(text, " ")
			if kind != "Q" {
				continue
			}
			l.mu.Lock()
			l.last[addr] = time.Now()
			l.mu.Unlock()
			for _, id := range strings.Split(ids, ",") {
				io.WriteString(theirs, frameOf("A"+id+" ok 1 -\nv"))
			}
		}
	}()
	return ours, nil
}

// silentFleet is a fleet whose discovery falls silent.
type silentFleet struct {
	pushed       bool // discovery is an agent that pushes changes; else a service that is polled
	coordinators int  // that run
	others       int  // as the settings have it
	grace        time.Duration
	phase        time.Duration // from the start to the silence
	silence      time.Duration
	seed         uint64
}

// overdueDrains runs a fleet through a silence. It returns how long after discovery fell silent the last part came at a drained
// data node, and how many of the others got parts at all.
func overdueDrains(t *testing.T, fleet silentFleet) (last time.Duration, served int) {
	t.Helper()
	const nodes = 4
	ctx, stop := context.WithCancel(t.Context())
	log := slog.New(slog.DiscardHandler)
	q := &silentDiscovery{from: time.Now().Add(fleet.phase), nodes: nodes}
	if q.until = q.from.Add(fleet.silence); !fleet.pushed {
		q.turn = make(chan struct{}, 1)
	}
	frames := &partRecorder{last: map[string]time.Time{}}
	set := aggregator.Settings{Aggregators: fleet.coordinators, Tick: 5 * time.Millisecond, ShardSets: 1, Shards: 1, Reach: 1,
		Classes: []aggregator.Class{{Name: "report", LatencyObjective: time.Second, Deadline: 2 * time.Second, Priority: 1, CompleteShare: 1, MinShare: 1}},
		Limits:  aggregator.Limits{MaxAttempts: 3, CanCancel: true, ConnectTimeout: 250 * time.Millisecond}}
	var asking sync.WaitGroup
	for i := range fleet.coordinators {
		c, err := coordinator.New(set, fleet.seed+uint64(i), log, membership.Config{})
		if err != nil {
			t.Fatal(err)
		}
		go c.Run(ctx)
		c.RegisterDispatcher("", (&ConnPool{Coordinator: c, Log: log, Dial: frames.dial, Streams: 32, ConnectTimeout: 250 * time.Millisecond, Connections: make(chan struct{}, 16)}).Dispatch)
		w := NewWatch("d")
		w.Source, w.Log, w.Dial = c.AddSource(membership.Spec{Name: "discovery"}), log, q.dial
		w.Schedule = membership.PollSchedule{Pushed: fleet.pushed, Peers: fleet.others, Grace: fleet.grace}
		w.Random = rand.New(rand.NewPCG(fleet.seed, uint64(i))).Float64
		w.Restore([]byte(strings.TrimSpace(q.list("SERVING"))))
		watching, unwatch := context.WithCancel(ctx)
		done := make(chan bool)
		go func() { w.Run(watching); close(done) }()
		asking.Go(func() {
			for n := 0; time.Now().Before(q.until.Add(14 * time.Second)); n++ {
				c.Execute(ctx, coordinator.Query{ID: fmt.Sprint("q", n), Class: "report", Deadline: time.Now().Add(time.Second), Text: "text",
					Parts: []coordinator.Part{{Shard: 0, Weight: 1}}})
				time.Sleep(40 * time.Millisecond)
			}
			unwatch()
			<-done
			w.Source.ReplaceList(nil, false)
		})
	}
	asking.Wait()
	time.Sleep(time.Minute)
	stop()
	synctest.Wait()
	for node, at := range frames.last {
		if (node[1]-'0')%2 == 0 {
			last = max(last, at.Sub(q.from))
		} else {
			served++
		}
	}
	return last, served
}

// TestDrainsAfterSilence: a fleet whose discovery fell silent for 5 s hears of the drains in time once it is back: a
// coordinator calls its own agent again sooner than a service that lists to all coordinators. What is judged is the last frame
// that a drained data node gets from any coordinator.
func TestDrainsAfterSilence(t *testing.T) {
	for _, c := range []struct {
		name                 string
		pushed               bool
		coordinators, others int // others: as the settings have it
		grace                time.Duration
	}{
		{"pushed, grace 2 s", true, 10, 299, 2 * time.Second},
		{"pushed, grace 500 ms", true, 4, 3, 500 * time.Millisecond},
		{"asked, grace 2 s", false, 10, 299, 2 * time.Second},
		{"asked, grace 500 ms", false, 4, 3, 500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				phase, silence := 2*membership.KeepAliveInterval+50*time.Millisecond, 5*time.Second // the worst moment: a line has just come
				if !c.pushed {
					// After the first call of each. It ends before the silence is noticed: a call that meets it may wait, see below.
					phase, silence = 2*membership.KeepAliveInterval+c.grace/2+150*time.Millisecond, 2500*time.Millisecond
				}
				last, served := overdueDrains(t, silentFleet{c.pushed, c.coordinators, c.others, c.grace, phase, silence, 1})
				if last > membership.NotifiedAfter+c.grace {
					t.Errorf("a drained data node got a part %v after discovery fell silent; %v are allowed", last, membership.NotifiedAfter+c.grace)
				}
				if last < silence || served == 0 {
					t.Errorf("the last part came after %v, %d others were served: nothing was tested", last, served)
				}
			})
		})
	}
}

// TestDrainsAfterAnySilence: the same for any length of silence. An agent's drains are heard within the grace of its
// return, or of what counts as told if that is later. A service's are heard within what a call waits and the pause
// after it, which the settings' clock allows for once a call has failed.
func TestDrainsAfterAnySilence(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		pushed := rapid.Bool().Draw(r, "pushed")
		grace := time.Duration(rapid.IntRange(400, 3000).Draw(r, "grace_ms")) * time.Millisecond
		silence := time.Duration(rapid.IntRange(100, 12_000).Draw(r, "silence_ms")) * time.Millisecond
		phase := time.Duration(rapid.IntRange(2000, 6000).Draw(r, "phase_ms")) * time.Millisecond
		seed := rapid.Uint64().Draw(r, "seed")
		bound := max(silence, membership.NotifiedAfter) + grace
		if calls := (&membership.PollSchedule{}); !pushed && silence > membership.SilenceTimeout-membership.KeepAliveInterval { // a call may have met it
			bound = max(bound, silence+calls.Timeout()+time.Second+100*time.Millisecond)
		}
		synctest.Test(t, func(t *testing.T) {
			if last, _ := overdueDrains(t, silentFleet{pushed, 3, 2, grace, phase, silence, seed}); last > bound {
				t.Errorf("a drained data node got a part %v after discovery fell silent; %v are allowed", last, bound)
			}
		})
		if t.Failed() {
			r.Fatalf("see above")
		}
	})
}
