package coordinator

// End-to-end tests of a zone that fails as a whole, from the dispatcher's reports to the attempts that the decision
// module sends: the zone goes out
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

type zoneLossResult struct {
	lastSentWhileLost time.Duration // from the loss of the zone to the last attempt sent there while it was down
	lateAttempts      int           // attempts sent to the zone while it was down, except in the first second after its loss
	recoveries        int           // recoveries that began while the zone was down, counted in the log
	outLogLines       int           // log lines "zone out"
	firstSecond       int           // attempts at its busiest data node in the first second of its recovery
	answered          int           // queries with a complete answer
	executed          int           // all queries
}

// zoneSetup configures whether the coordinator watches zones.
type zoneSetup func(*Coordinator) error

func withoutZoneWatch(*Coordinator) error { return nil }
func withZoneWatch(c *Coordinator) error  { return c.WatchZones(zones.Config{Seed: 3}) }

// simulateZoneLoss runs 20 queries per second for 30 s, during which zone a is down for 10 s. lossOutcome is the outcome of attempts there:
// NotConnected if the zone refuses connections, ConnectionLost if it accepts and resets them, Cancelled if it accepts requests and never
// answers.
func simulateZoneLoss(t *testing.T, setup zoneSetup, lossOutcome Outcome) (result zoneLossResult, maxWarmingUp int) {
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
		var logged logBuffer
		c, err := New(set, 7, slog.New(slog.NewTextHandler(&logged, nil)), membership.Config{})
		if err != nil {
			t.Fatal(err)
		}
		if err := setup(c); err != nil {
			t.Fatal(err)
		}
		var zoneDown atomic.Bool
		var mu sync.Mutex
		start := time.Now()
		var lostAt, recoveryAt time.Time
		perNode := map[string]int{}
		c.RegisterDispatcher("", func(n *Node) {
			for cmd := n.NextCommand(context.Background()); cmd != nil; cmd = n.NextCommand(context.Background()) {
				for _, a := range cmd.Call {
					inA := n.ID()[0] == 'a'
					mu.Lock()
					now := time.Now()
					switch {
					case inA && zoneDown.Load():
						result.lastSentWhileLost = now.Sub(lostAt)
						if now.Sub(lostAt) > time.Second {
							result.lateAttempts++
						}
					case inA && !recoveryAt.IsZero() && now.Sub(recoveryAt) < window:
						perNode[n.ID()]++
					}
					mu.Unlock()
					if inA && zoneDown.Load() {
						if lossOutcome != Cancelled {
							c.Report(a, Result{Outcome: lossOutcome})
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
		src := c.AddSource(membership.Spec{Name: "zones"})
		var list []Member
		for _, z := range []string{"a", "b", "c"} {
			for shardSet := range 4 {
				list = append(list, Member{ID: fmt.Sprint(z, shardSet), Addr: fmt.Sprint(z, shardSet), Zone: z, ShardSet: shardSet,
					Weight: 1, Started: start.Add(-time.Hour)})
			}
		}
		src.ReplaceList(list, false)
		var wg sync.WaitGroup
		var answered atomic.Int64
		for i := range 600 { // 20 per second for 30 s
			q := Query{ID: fmt.Sprint("q", i), Class: "report", Deadline: time.Now().Add(2 * time.Second),
				Parts: []Part{{Shard: i % 4, Weight: 1, ExpectedWork: work}}}
			wg.Go(func() {
				if a, _ := c.Execute(t.Context(), q); a.Status == Answered && a.Complete {
					answered.Add(1)
				}
			})
			switch i {
			case 100:
				mu.Lock()
				lostAt = time.Now()
				mu.Unlock()
				zoneDown.Store(true)
			case 300:
				zoneDown.Store(false)
				mu.Lock()
				recoveryAt = time.Now().Add(1500 * time.Millisecond) // earliest start of a recovery after Quiet, Wait and the random spread
				result.recoveries = logged.count("msg=\"zone returning\"")
				mu.Unlock()
			}
			time.Sleep(50 * time.Millisecond)
		}
		wg.Wait()
		src.ReplaceList(nil, false) // ends the dispatchers
		time.Sleep(10 * time.Second)
		stop()
		for _, n := range perNode {
			result.firstSecond = max(result.firstSecond, n)
		}
		result.answered, result.executed = int(answered.Load()), 600
		result.outLogLines = logged.count("msg=\"zone out\"")
	})
	return result, maxWarmingUp
}

// logBuffer records log lines, so that a test can count them.
type logBuffer struct {
	mu    sync.Mutex
	lines []string
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(p))
	return len(p), nil
}

func (l *logBuffer) count(sub string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.lines {
		if strings.Contains(s, sub) {
			n++
		}
	}
	return n
}

// TestFailedZoneGoesOutAndRecovers compares zone watching with tracking each data node alone when a zone refuses connections.
func TestFailedZoneGoesOutAndRecovers(t *testing.T) {
	unwatched, _ := simulateZoneLoss(t, withoutZoneWatch, NotConnected)
	watched, maxWarmingUp := simulateZoneLoss(t, withZoneWatch, NotConnected)
	t.Logf("zones not watched: %+v", unwatched)
	t.Logf("zones watched:     %+v (the limit while warming up is %d in the first second)", watched, maxWarmingUp)
	// Nothing is sent to a zone that is out. A recovery that begins while the zone is still down costs one attempt at each of its 4 data
	// nodes, plus the attempts until the zone goes out again: those of one zoneInterval at 20 queries per second, up to 3 for each query.
	perReturn := 4 + 3*int(math.Ceil(20*zoneInterval.Seconds()))
	if watched.lateAttempts > watched.recoveries*perReturn || watched.lateAttempts >= unwatched.lateAttempts {
		t.Errorf("%d attempts were sent to the lost zone more than a second after its loss, in %d recoveries; %d with zones not watched",
			watched.lateAttempts, watched.recoveries, unwatched.lateAttempts)
	}
	if watched.firstSecond > maxWarmingUp {
		t.Errorf("a recovering data node got %d attempts in its first second; the limit while warming up is %d", watched.firstSecond, maxWarmingUp)
	}
	// A zone becomes doubtful and then goes out within a second; the limit on log lines for "doubtful" must not suppress the line for
	// "out".
	if watched.outLogLines == 0 {
		t.Errorf("the zone went out %d times, but this was not logged", watched.recoveries+1)
	}
	if watched.answered < unwatched.answered {
		t.Errorf("complete answers: %d with zones watched, %d without", watched.answered, unwatched.answered)
	}
}

// TestSilentOrResettingZoneGoesOut checks that a zone goes out if its failure causes neither refusals nor timeouts. In a zone that accepts
// requests and never answers, the module cancels the attempts and retries the parts elsewhere; the evidence is that a data node has
// answered nothing since an attempt was sent. In a zone that accepts connections and resets each of them, the evidence is that there is no
// answer between two resets.
func TestSilentOrResettingZoneGoesOut(t *testing.T) {
	for lossOutcome, name := range map[Outcome]string{Cancelled: "silent", ConnectionLost: "resetting"} {
		unwatched, _ := simulateZoneLoss(t, withoutZoneWatch, lossOutcome)
		watched, _ := simulateZoneLoss(t, withZoneWatch, lossOutcome)
		t.Logf("%s, zones not watched: %+v", name, unwatched)
		t.Logf("%s, zones watched:     %+v", name, watched)
		if watched.outLogLines == 0 {
			t.Errorf("a %s zone was never logged as out", name)
		}
		if watched.lateAttempts >= unwatched.lateAttempts {
			t.Errorf("%d attempts were sent to the %s zone more than a second after its loss; %d with zones not watched",
				watched.lateAttempts, name, unwatched.lateAttempts)
		}
		if watched.answered < unwatched.answered {
			t.Errorf("%s: complete answers: %d with zones watched, %d without", name, watched.answered, unwatched.answered)
		}
	}
}
