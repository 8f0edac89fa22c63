package coordinator

// End-to-end tests of a zone that fails as a whole, from the dispatcher's reports to the attempts that the module sends: the zone goes out
// within Confirm of the evidence, no new attempts are sent there while it is out, and after its recovery its data nodes get load at the
// rate of slow start.

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/membership"
	"gullfall/internal/zones"
)

type zoneRun struct {
	lastSentWhileLost time.Duration // from the loss of the zone to the last attempt sent there while it was down
	lateAttempts      int           // attempts sent to the zone while it was down, except in the first second after its loss
	returns           int           // recoveries that began while the zone was down, counted in the log
	outLines          int           // log lines "zone out"
	firstSecond       int           // attempts at its busiest data node in the first second of its recovery
	answered          int           // queries with a complete answer
	executed          int           // all queries
}

// zoneSetup configures whether the coordinator watches zones.
type judgement func(*Coordinator) error

func byNode(*Coordinator) error   { return nil }
func byZone(c *Coordinator) error { return c.WatchZones(zones.Config{Seed: 3}) }

// simulateZoneLoss runs 20 queries per second for 30 s, during which zone a is down for 10 s. lossOutcome is the outcome of attempts there:
// NotConnected if the zone refuses connections, ConnectionLost if it accepts and resets them, Cancelled if it accepts requests and never
// answers.
func playZoneLoss(t *testing.T, judge judgement, how Outcome) (run zoneRun, maxWarmingUp int) {
	t.Helper()
	const work, window = 50 * time.Millisecond, time.Second
	rules := aggregator.Rules{DrainGrace: 2 * time.Second, OverloadMultiple: 2, OverloadWindow: window, InitialCapacity: 0.3,
		WarmupTime: 5 * time.Second}
	maxWarmingUp = int(rules.OverloadMultiple * rules.InitialCapacity * float64(window/work))
	synctest.Test(t, func(t *testing.T) {
		set := aggregator.Settings{Aggregators: 1, Tick: tick, ShardSets: 4, Shards: 4, Reach: 1, CallCost: time.Millisecond,
			Rules: rules, Classes: []aggregator.Class{{Name: "report", LatencyObjective: time.Second, Deadline: 2 * time.Second, Priority: 1,
				CompleteShare: 1, MinShare: 1}},
			Limits: aggregator.Limits{MaxAttempts: 3, MaxBatch: 8, CanCancel: true, SendRetryAfter: true, MaxRetryAfter: time.Second}}
		var logged lines
		c, err := New(set, 7, slog.New(slog.NewTextHandler(&logged, nil)), membership.Config{})
		if err != nil {
			t.Fatal(err)
		}
		if err := judge(c); err != nil {
			t.Fatal(err)
		}
		var dead atomic.Bool
		var mu sync.Mutex
		start := time.Now()
		var died, back time.Time
		perNode := map[string]int{}
		c.RegisterDispatcher("", func(n *Node) {
			for cmd := n.Pick(context.Background()); cmd != nil; cmd = n.Pick(context.Background()) {
				for _, a := range cmd.Call {
					inA := n.ID()[0] == 'a'
					mu.Lock()
					now := time.Now()
					switch {
					case inA && dead.Load():
						run.lastSentWhileLost = now.Sub(died)
						if now.Sub(died) > time.Second {
							run.lateAttempts++
						}
					case inA && !back.IsZero() && now.Sub(back) < window:
						perNode[n.ID()]++
					}
					mu.Unlock()
					if inA && dead.Load() {
						if how != Cancelled {
							c.Report(a, Result{Outcome: how})
						}
						continue
					}
					time.AfterFunc(work, func() { c.Report(a, Result{Outcome: OK, Docs: [][]byte{[]byte("v")}}) })
				}
				if cmd.Cancel != nil {
					c.Report(cmd.Cancel, Result{Outcome: Cancelled})
				}
			}
		})
		ctx, stop := context.WithCancel(t.Context())
		go c.Run(ctx)
		src := c.Source(membership.Spec{Name: "zones"})
		var list []Member
		for _, z := range []string{"a", "b", "c"} {
			for cell := range 4 {
				list = append(list, Member{ID: fmt.Sprint(z, cell), Addr: fmt.Sprint(z, cell), Zone: z, ShardSet: cell,
					Weight: 1, Started: start.Add(-time.Hour)})
			}
		}
		src.Replace(list, false)
		var wg sync.WaitGroup
		var answered atomic.Int64
		for i := range 600 { // 20 per second for 30 s
			q := Query{ID: fmt.Sprint("q", i), Class: "report", Deadline: time.Now().Add(2 * time.Second),
				Parts: []Part{{Shard: i % 4, Weight: 1, Work: work}}}
			wg.Go(func() {
				if a, _ := c.Execute(t.Context(), q); a.Status == Answered && a.Complete {
					answered.Add(1)
				}
			})
			switch i {
			case 100:
				mu.Lock()
				died = time.Now()
				mu.Unlock()
				dead.Store(true)
			case 300:
				dead.Store(false)
				mu.Lock()
				back = time.Now().Add(1500 * time.Millisecond) // earliest start of a recovery after Quiet, Wait and the random spread
				run.returns = logged.count("msg=\"zone returning\"")
				mu.Unlock()
			}
			time.Sleep(50 * time.Millisecond)
		}
		wg.Wait()
		src.Replace(nil, false) // ends the dispatchers
		time.Sleep(10 * time.Second)
		stop()
		for _, n := range perNode {
			run.firstSecond = max(run.firstSecond, n)
		}
		run.answered, run.executed = int(answered.Load()), 600
		run.outLines = logged.count("msg=\"zone out\"")
	})
	return run, maxWarmingUp
}

// logBuffer records log lines, so that a test can count them.
type lines struct {
	mu  sync.Mutex
	all []string
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, string(p))
	return len(p), nil
}

func (l *lines) count(sub string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.all {
		if strings.Contains(s, sub) {
			n++
		}
	}
	return n
}

// TestFailedZoneGoesOutAndRecovers compares zone watching with tracking each data node alone when a zone refuses connections.
func TestFailedZoneGoesOutAndRecovers(t *testing.T) {
	off, _ := playZoneLoss(t, byNode, NotConnected)
	on, maxWarmingUp := playZoneLoss(t, byZone, NotConnected)
	t.Logf("zones not watched: %+v", off)
	t.Logf("zones watched:     %+v (a cold data node can handle %d in its first second)", on, maxWarmingUp)
	// Nothing is sent to a zone that is out. A recovery that begins while the zone is still down costs one attempt at each of its 4 data
	// nodes, plus the attempts until the zone goes out again: those of one zoneInterval at 20 queries per second, up to 3 for each query.
	perReturn := 4 + 3*int(math.Ceil(20*zoneInterval.Seconds()))
	if on.lateAttempts > on.returns*perReturn || on.lateAttempts >= off.lateAttempts {
		t.Errorf("%d attempts were sent to the lost zone more than a second after its loss, in %d recoveries; %d with zones not watched",
			on.lateAttempts, on.returns, off.lateAttempts)
	}
	if on.firstSecond > maxWarmingUp {
		t.Errorf("a recovering data node got %d attempts in its first second; a cold one can handle %d", on.firstSecond, maxWarmingUp)
	}
	// A zone becomes doubtful and then goes out within a second; the limit on log lines for "doubtful" must not suppress the line for
	// "out".
	if on.outLines == 0 {
		t.Errorf("the zone went out %d times, but this was not logged", on.returns+1)
	}
	if on.answered < off.answered {
		t.Errorf("complete answers: %d with zones watched, %d without", on.answered, off.answered)
	}
}

// TestSilentOrResettingZoneGoesOut guards against zone failures that cause neither refusals nor timeouts. In a zone that accepts requests
// and never answers, the module cancels the attempts and retries the parts elsewhere; the evidence is that a data node has answered
// nothing since an attempt was sent. In a zone that accepts connections and resets each of them, the evidence is that there is no answer
// between two resets.
func TestSilentOrResettingZoneGoesOut(t *testing.T) {
	for how, name := range map[Outcome]string{Cancelled: "silent", ConnectionLost: "resetting"} {
		off, _ := playZoneLoss(t, byNode, how)
		on, _ := playZoneLoss(t, byZone, how)
		t.Logf("%s, zones not watched: %+v", name, off)
		t.Logf("%s, zones watched:     %+v", name, on)
		if on.outLines == 0 {
			t.Errorf("a %s zone was never logged as out", name)
		}
		if on.lateAttempts >= off.lateAttempts {
			t.Errorf("%d attempts were sent to the %s zone more than a second after its loss; %d with zones not watched",
				on.lateAttempts, name, off.lateAttempts)
		}
		if on.answered < off.answered {
			t.Errorf("%s: complete answers: %d with zones watched, %d without", name, on.answered, off.answered)
		}
	}
}
