package coordinator

// A zone that fails as a whole, from the dispatcher's reports to what the module sends: it is left within Confirm of the
// evidence, nothing new goes there while it is out, and it is returned to at the pace of a warming-up data node.

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
	lastSentWhileLost time.Duration // from the loss of the zone to the last attempt begun there while it was dead
	lateAttempts      int           // attempts begun at the dead zone from a second after its loss until it answered again
	returns           int           // returns begun while it was dead, by the log
	outLines          int           // lines that told the zone out
	firstSecond       int           // attempts begun at its busiest data node in the first second of its return
	answered          int
	executed          int
}

// judgement sets how the coordinator judges data nodes.
type judgement func(*Coordinator) error

func byNode(*Coordinator) error   { return nil }
func byZone(c *Coordinator) error { return c.WatchZones(zones.Config{Seed: 3}) }

// playZoneLoss plays zone a lost for 10 s under 20 queries a second. how is the outcome of what is sent there: NotConnected where
// it refuses connections, ConnectionLost where it takes and resets them, Cancelled where it is silent and takes what it is sent.
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
			for o := n.Pick(context.Background()); o != nil; o = n.Pick(context.Background()) {
				for _, a := range o.Call {
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
				if o.Cancel != nil {
					c.Report(o.Cancel, Result{Outcome: Cancelled})
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
		for i := range 600 { // 20 a second for 30 s
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
				back = time.Now().Add(1500 * time.Millisecond) // at the earliest: quiet, wait and draw
				run.returns = logged.count("msg=\"zone returning\"")
				mu.Unlock()
			}
			time.Sleep(50 * time.Millisecond)
		}
		wg.Wait()
		src.Replace(nil, false) // the dispatchers end
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

// lines keeps what was logged, for counting.
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

func TestZoneLeftAndReturned(t *testing.T) {
	off, _ := playZoneLoss(t, byNode, NotConnected)
	on, maxWarmingUp := playZoneLoss(t, byZone, NotConnected)
	t.Logf("judged by data node: %+v", off)
	t.Logf("judged by zone:      %+v (a cold data node stands %d in its first second)", on, maxWarmingUp)
	// While out nothing goes there. A return that finds the zone still dead costs an attempt at each of its 4 data
	// nodes, and what is begun before the next verdict: a zone tick of 20 queries a second, 3 attempts each at most.
	perReturn := 4 + 3*int(math.Ceil(20*zoneInterval.Seconds()))
	if on.lateAttempts > on.returns*perReturn || on.lateAttempts >= off.lateAttempts {
		t.Errorf("%d attempts went to the dead zone more than a second after its loss, in %d returns; %d judged by data node",
			on.lateAttempts, on.returns, off.lateAttempts)
	}
	if on.firstSecond > maxWarmingUp {
		t.Errorf("a returning data node got %d attempts in its first second; a cold one stands %d", on.firstSecond, maxWarmingUp)
	}
	// A zone goes doubtful and then out within a second; the line that tells it out must not be held back by the one
	// that told it doubtful.
	if on.outLines == 0 {
		t.Errorf("the zone went out %d times, and no line told it", on.returns+1)
	}
	if on.answered < off.answered {
		t.Errorf("whole answers: %d judged by zone, %d by data node", on.answered, off.answered)
	}
}

// A zone that swallows what it is sent gives no refusal and no timeout: the module gives its attempts up and tries the
// parts elsewhere. That nothing was heard from a data node since an attempt was sent is the evidence. One that takes connections
// and resets each gives none either but that nothing is heard between two of them.
func TestZoneWithoutRefusalsLeft(t *testing.T) {
	for how, name := range map[Outcome]string{Cancelled: "silent", ConnectionLost: "resetting"} {
		off, _ := playZoneLoss(t, byNode, how)
		on, _ := playZoneLoss(t, byZone, how)
		t.Logf("%s, judged by data node: %+v", name, off)
		t.Logf("%s, judged by zone:      %+v", name, on)
		if on.outLines == 0 {
			t.Errorf("a %s zone was never told out", name)
		}
		if on.lateAttempts >= off.lateAttempts {
			t.Errorf("%d attempts went to the %s zone more than a second after its loss; %d judged by data node",
				on.lateAttempts, name, off.lateAttempts)
		}
		if on.answered < off.answered {
			t.Errorf("%s: whole answers: %d judged by zone, %d by data node", name, on.answered, off.answered)
		}
	}
}
