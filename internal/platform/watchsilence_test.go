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

// silentDiscovery is a discovery that sends nothing between from and until: connections that are opened in that period, or open
// when it begins, stay silent forever. Half of the data nodes start draining in that period; later calls receive the new states.
type silentDiscovery struct {
	from, until time.Time
	nodes       int
	turn        chan struct{} // held while a service makes a list, one at a time; nil for a discovery agent, which has the list ready
}

func (d *silentDiscovery) dial(context.Context, string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	go d.serve(theirs)
	return ours, nil
}

// list returns a complete list in which the even data nodes have the given state.
func (d *silentDiscovery) list(even string) string {
	var list []string
	for i := range 60 { // make the list long
		list = append(list, fmt.Sprintf(`{"id":"old%d","addr":"old%d","cell":0,"state":"DRAINING"}`, i, i))
	}
	for i := range d.nodes {
		state := "SERVING"
		if i%2 == 0 {
			state = even
		}
		list = append(list, fmt.Sprintf(`{"id":"n%d","addr":"n%d","cell":0,"state":%q}`, i, i, state))
	}
	return `{"version":42,"full":true,"servers":[` + strings.Join(list, ",") + "]}\n"
}

func (d *silentDiscovery) serve(nc net.Conn) {
	defer nc.Close()
	in := textproto.NewReader(bufio.NewReader(nc))
	in.ReadLine()
	if _, err := in.ReadMIMEHeader(); err != nil {
		return
	}
	silent := func() bool { now := time.Now(); return !now.Before(d.from) && now.Before(d.until) }
	openedBeforeSilence := time.Now().Before(d.from)
	if silent() {
		io.Copy(io.Discard, nc) // until the caller gives up
		return
	}
	if d.turn != nil {
		d.turn <- struct{}{}
		time.Sleep(10 * time.Millisecond)
		<-d.turn
	}
	io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	line := d.list("DRAINING")
	if openedBeforeSilence {
		line = d.list("SERVING")
	}
	for {
		if openedBeforeSilence && !time.Now().Before(d.from) {
			io.Copy(io.Discard, nc) // this watch stays silent forever
			return
		}
		if _, err := fmt.Fprintf(nc, "%x\r\n%s\r\n", len(line), line); err != nil {
			return
		}
		line = "\n"
		time.Sleep(membership.KeepAliveInterval)
	}
}

// partRecorder records when each data node was last sent a part. It answers each part at once.
type partRecorder struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func (r *partRecorder) dial(_ context.Context, addr string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	go func() {
		defer theirs.Close()
		in := bufio.NewReader(theirs)
		for {
			text, err := readFrameText(in)
			if err != nil {
				return
			}
			kind, ids, _ := strings.Cut(text, " ")
			if kind != "Q" {
				continue
			}
			r.mu.Lock()
			r.last[addr] = time.Now()
			r.mu.Unlock()
			for _, id := range strings.Split(ids, ",") {
				io.WriteString(theirs, encodeFrame("A"+id+" ok 1 -\nv"))
			}
		}
	}()
	return ours, nil
}

// silentFleet describes a fleet whose discovery becomes silent for a while.
type silentFleet struct {
	pushed       bool // discovery is a local agent that pushes changes; otherwise a service that is polled
	coordinators int  // number running
	others       int  // number of other coordinators in the settings
	grace        time.Duration
	phase        time.Duration // from the start to the beginning of the silence
	silence      time.Duration
	seed         uint64
}

// runSilentFleet runs a fleet through a silence. It returns how long after the beginning of the silence the last part was sent to a
// drained data node, and how many of the other data nodes were sent parts.
func runSilentFleet(t *testing.T, fleet silentFleet) (last time.Duration, served int) {
	t.Helper()
	const nodes = 4
	ctx, stop := context.WithCancel(t.Context())
	log := slog.New(slog.DiscardHandler)
	discovery := &silentDiscovery{from: time.Now().Add(fleet.phase), nodes: nodes}
	if discovery.until = discovery.from.Add(fleet.silence); !fleet.pushed {
		discovery.turn = make(chan struct{}, 1)
	}
	recorder := &partRecorder{last: map[string]time.Time{}}
	set := aggregator.Settings{Aggregators: fleet.coordinators, Tick: 5 * time.Millisecond, ShardSets: 1, Shards: 1, Reach: 1,
		Classes: []aggregator.Class{{Name: "report", LatencyObjective: time.Second, Deadline: 2 * time.Second, Priority: 1, CompleteShare: 1, MinShare: 1}},
		Limits:  aggregator.Limits{MaxAttempts: 3, CanCancel: true, ConnectTimeout: 250 * time.Millisecond}}
	var clients sync.WaitGroup
	for i := range fleet.coordinators {
		c, err := coordinator.New(set, fleet.seed+uint64(i), log, membership.Config{})
		if err != nil {
			t.Fatal(err)
		}
		go c.Run(ctx)
		c.RegisterDispatcher("", (&ConnPool{Coordinator: c, Log: log, Dial: recorder.dial, Streams: 32, ConnectTimeout: 250 * time.Millisecond, Connections: make(chan struct{}, 16)}).Dispatch)
		w := NewWatch("d")
		w.Source, w.Log, w.Dial = c.AddSource(membership.Spec{Name: "discovery"}), log, discovery.dial
		w.Schedule = membership.PollSchedule{Pushed: fleet.pushed, Peers: fleet.others, Grace: fleet.grace}
		w.Random = rand.New(rand.NewPCG(fleet.seed, uint64(i))).Float64
		w.Restore([]byte(strings.TrimSpace(discovery.list("SERVING"))))
		watching, unwatch := context.WithCancel(ctx)
		done := make(chan bool)
		go func() { w.Run(watching); close(done) }()
		clients.Go(func() {
			for n := 0; time.Now().Before(discovery.until.Add(14 * time.Second)); n++ {
				c.Execute(ctx, coordinator.Query{ID: fmt.Sprint("q", n), Class: "report", Deadline: time.Now().Add(time.Second), Text: "text",
					Parts: []coordinator.Part{{Shard: 0, Weight: 1}}})
				time.Sleep(40 * time.Millisecond)
			}
			unwatch()
			<-done
			w.Source.ReplaceList(nil, false)
		})
	}
	clients.Wait()
	time.Sleep(time.Minute)
	stop()
	synctest.Wait()
	for node, at := range recorder.last {
		if (node[1]-'0')%2 == 0 {
			last = max(last, at.Sub(discovery.from))
		} else {
			served++
		}
	}
	return last, served
}

// TestDrainsAfterSilence: after discovery was silent for up to 5 s, coordinators must learn of drains in time. A coordinator
// retries its own agent sooner than a service that is shared by all coordinators. The test measures the last part that any
// coordinator sends to a drained data node.
func TestDrainsAfterSilence(t *testing.T) {
	for _, c := range []struct {
		name                 string
		pushed               bool
		coordinators, others int // others: number of other coordinators in the settings
		grace                time.Duration
	}{
		{"pushed, grace 2 s", true, 10, 299, 2 * time.Second},
		{"pushed, grace 500 ms", true, 4, 3, 500 * time.Millisecond},
		{"polled, grace 2 s", false, 10, 299, 2 * time.Second},
		{"polled, grace 500 ms", false, 4, 3, 500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				phase, silence := 2*membership.KeepAliveInterval+50*time.Millisecond, 5*time.Second // worst case: a line has just arrived
				if !c.pushed {
					// The silence begins after the first call of each coordinator and ends before they notice it. A call made during the
					// silence may wait longer; TestDrainsAfterRandomSilence covers that case.
					phase, silence = 2*membership.KeepAliveInterval+c.grace/2+150*time.Millisecond, 2500*time.Millisecond
				}
				last, served := runSilentFleet(t, silentFleet{c.pushed, c.coordinators, c.others, c.grace, phase, silence, 1})
				if last > membership.NotifiedAfter+c.grace {
					t.Errorf("a drained data node was sent a part %v after discovery became silent; %v are allowed", last, membership.NotifiedAfter+c.grace)
				}
				if last < silence || served == 0 {
					t.Errorf("last part after %v, %d others served: the test had no effect", last, served)
				}
			})
		})
	}
}

// TestDrainsAfterRandomSilence checks the same for random lengths of silence. A drain announced by an agent must take effect within
// the grace, counted from the end of the silence, or from membership.NotifiedAfter after its beginning, whichever is later. If a
// service is polled during the silence, that call must first time out, and a pause follows before the next: both are allowed for.
func TestDrainsAfterRandomSilence(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		pushed := rapid.Bool().Draw(r, "pushed")
		grace := time.Duration(rapid.IntRange(400, 3000).Draw(r, "grace_ms")) * time.Millisecond
		silence := time.Duration(rapid.IntRange(100, 12_000).Draw(r, "silence_ms")) * time.Millisecond
		phase := time.Duration(rapid.IntRange(2000, 6000).Draw(r, "phase_ms")) * time.Millisecond
		seed := rapid.Uint64().Draw(r, "seed")
		bound := max(silence, membership.NotifiedAfter) + grace
		// A polled service may have been called during a silence of this length.
		if schedule := (&membership.PollSchedule{}); !pushed && silence > membership.SilenceTimeout-membership.KeepAliveInterval {
			bound = max(bound, silence+schedule.Timeout()+time.Second+100*time.Millisecond)
		}
		synctest.Test(t, func(t *testing.T) {
			if last, _ := runSilentFleet(t, silentFleet{pushed, 3, 2, grace, phase, silence, seed}); last > bound {
				t.Errorf("a drained data node was sent a part %v after discovery became silent; %v are allowed", last, bound)
			}
		})
		if t.Failed() {
			r.Fatalf("see above")
		}
	})
}
