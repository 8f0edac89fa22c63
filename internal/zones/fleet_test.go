package zones_test

// Three hundred coordinators, each with its own tracker and its own aggregator, step together: a zone that is taken out and
// recovers, once or repeatedly, never gets more load from all of them than a warming data node can take.

import (
	"fmt"
	"testing"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/zones"
)

const ms = time.Millisecond

type coordinator struct {
	agg             *aggregator.Aggregator
	tracker         *zones.Tracker
	recoveringSince time.Duration // start of the recovery on the aggregator's clock; 0 while the zone is out
	queryCount      int
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at converts a time on the aggregator's clock to one on the tracker's.
func at(now time.Duration) time.Time { return epoch.Add(now) }

// runFleet steps the fleet and returns, for each overload window after the zone answers again, the load that all
// coordinators together sent the warming replica, as a share of what it can take then, and the number of recoveries begun.
// flaps is how many times the zone fails again during recovery.
func runFleet(t *testing.T, coordinatorCount, flaps int) (shares []float64, recoveries int) {
	const partTime = 20 * ms
	settings := aggregator.Settings{Aggregators: coordinatorCount, Tick: 5 * ms, ShardSets: 1, Shards: 2, Reach: 1, CallCost: 4 * ms,
		Classes: []aggregator.Class{{Name: "c", LatencyObjective: time.Second, Deadline: 3 * time.Second, Priority: 1, CompleteShare: 1, MinShare: 1}},
		Limits:  aggregator.Limits{MaxAttempts: 3, MaxBatch: 8, CanCancel: true, SendRetryAfter: true, MaxRetryAfter: time.Second},
		Rules: aggregator.Rules{DrainGrace: 250 * ms, OverloadMultiple: 3, OverloadWindow: time.Second, InitialCapacity: 0.2,
			WarmupTime: 20 * time.Second}}
	listed := map[string]string{"x0": "x", "x1": "x", "x2": "x", "y0": "y", "y1": "y", "y2": "y", "z0": "z", "z1": "z",
		"z2": "z"}
	var all []*coordinator
	now := time.Hour
	for seed := range uint64(coordinatorCount) {
		agg, err := aggregator.New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		tr, err := zones.New(zones.Config{Seed: seed})
		if err != nil {
			t.Fatal(err)
		}
		tr.SetListed(at(now), listed)
		c := &coordinator{agg: agg, tracker: tr}
		c.step(now, aggregator.Event{Kind: aggregator.ListCached, Members: []aggregator.Member{{Replica: "warm"},
			{Replica: "back", State: aggregator.Draining}}})
		for i := range 5 { // the aggregator learns how long a part takes
			c.ask(now, fmt.Sprint("first", i), partTime)
		}
		all = append(all, c)
	}
	// Zone y fails: every coordinator sees its data nodes time out and takes the zone out.
	var answersAgainAt time.Duration // when the zone answers again; the replica warms up from then on
	failuresLeft := flaps + 1
	loadByWindow := map[int]float64{}
	for step := 0; step < 600; step++ { // 60 s in steps of 100 ms
		now += 100 * ms
		failing := failuresLeft > 0 && (step < 10 || answersAgainAt > 0 && now-answersAgainAt < 300*ms)
		for i, c := range all {
			if failing {
				for _, id := range []string{"y0", "y1", "y2"} {
					c.tracker.Observe(at(now), "y", id, zones.TimedOut)
				}
			}
			for _, ch := range c.tracker.Step(at(now)) {
				switch {
				case ch.Zone == "y" && ch.To == zones.Recovering:
					since, _ := c.tracker.WarmingSince("y")
					c.recoveringSince = since.Sub(epoch)
					c.step(now, aggregator.Event{Kind: aggregator.ListChanged, Members: []aggregator.Member{{Replica: "back",
						Started: c.recoveringSince}}})
					recoveries++
				case ch.Zone == "y" && ch.To == zones.Out:
					c.recoveringSince = 0
					c.step(now, aggregator.Event{Kind: aggregator.ListChanged, Members: []aggregator.Member{{Replica: "back",
						State: aggregator.Draining}}})
				}
			}
			if (step+i)%50 != 0 { // each asks one query every 5 s, spread over the fleet: 60 queries a second
				continue
			}
			for _, replica := range c.ask(now, fmt.Sprint("q", step), partTime) {
				if replica == "back" && answersAgainAt > 0 {
					loadByWindow[int((now-answersAgainAt)/settings.Rules.OverloadWindow)] += partTime.Seconds()
				}
			}
		}
		// The zone answers again once the first coordinator starts a recovery. While failures are left, the zone then fails
		// again at once.
		if answersAgainAt == 0 || failuresLeft > 0 && now-answersAgainAt >= 300*ms {
			for _, c := range all {
				if c.recoveringSince > 0 && (answersAgainAt == 0 || c.recoveringSince > answersAgainAt+300*ms) {
					if answersAgainAt = c.recoveringSince; failuresLeft > 0 {
						failuresLeft--
					}
					clear(loadByWindow)
					break
				}
			}
		}
	}
	for w := 0; w < 40; w++ {
		warmed := float64(w) * settings.Rules.OverloadWindow.Seconds() / settings.Rules.WarmupTime.Seconds()
		capacity := settings.Rules.InitialCapacity + (1-settings.Rules.InitialCapacity)*min(1, warmed)
		shares = append(shares, loadByWindow[w]/(settings.Rules.OverloadMultiple*capacity*settings.Rules.OverloadWindow.Seconds()))
	}
	return shares, recoveries
}

func (c *coordinator) step(now time.Duration, events ...aggregator.Event) []aggregator.Action {
	return c.agg.Step(now, events, nil)
}

// ask submits one query of two parts, answers all attempts that this sends after partTime, and returns the replicas used.
func (c *coordinator) ask(now time.Duration, id string, partTime time.Duration) (replicas []string) {
	c.queryCount++
	q := fmt.Sprint(id, "-", c.queryCount)
	actions := c.step(now, aggregator.Event{Kind: aggregator.QueryArrived, Query: q, Tenant: -1, PartCount: 2, TimeLeft: 3 * time.Second},
		aggregator.Event{Kind: aggregator.PartArrived, Query: q, Part: q + "/0", Shard: 0, Weight: 0.5},
		aggregator.Event{Kind: aggregator.PartArrived, Query: q, Part: q + "/1", Shard: 1, Weight: 0.5})
	var answers []aggregator.Event
	for _, a := range actions {
		if a.Kind == aggregator.Send {
			replicas = append(replicas, a.Replica)
			answers = append(answers, aggregator.Event{Kind: aggregator.AttemptEnded, Part: a.Part, Replica: a.Replica,
				Outcome: aggregator.OK})
		}
	}
	c.step(now+partTime, answers...)
	return replicas
}

func TestFleetLoadOnRecoveringZoneIsBounded(t *testing.T) {
	for _, flaps := range []int{0, 2} {
		shares, recoveries := runFleet(t, 300, flaps)
		shareSum := 0.0
		for w, s := range shares {
			if s > 1 {
				t.Errorf("flaps %d: window %d of the recovery: %.2f of what a warming data node can take", flaps, w, s)
			}
			shareSum += s
		}
		if recoveries < 300 || shareSum == 0 {
			t.Errorf("flaps %d: %d recoveries of 300 coordinators, shares of the bound add up to %.2f", flaps, recoveries, shareSum)
		}
		t.Logf("flaps %d: %d recoveries; shares of the bound by window %.2f", flaps, recoveries, shares[:12])
	}
}
