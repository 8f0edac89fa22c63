package zones_test

// Three hundred coordinators, each with its own tracker and its own decision module, stepped together: a zone that is
// left and returns, once or again and again, never gets more from all of them than a cold data node stands.

import (
	"fmt"
	"testing"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/zones"
)

const ms = time.Millisecond

type coordinator struct {
	agg      *aggregator.Aggregator
	tr       *zones.Tracker
	returned time.Duration // on the module's clock, 0 while the zone is out
	n        int
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at turns the module's clock into the tracker's.
func at(now time.Duration) time.Time { return epoch.Add(now) }

// playFleet steps the fleet and returns, for each window of the cold replica's life, the share of what it stands that
// all coordinators together sent it. flaps is how many times the zone fails again as it returns.
func playFleet(t *testing.T, fleet, flaps int) (shares []float64, returns int) {
	const part = 20 * ms
	set := aggregator.Settings{Aggregators: fleet, Tick: 5 * ms, ShardSets: 1, Shards: 2, Reach: 1, CallCost: 4 * ms,
		Classes: []aggregator.Class{{Name: "c", LatencyObjective: time.Second, Deadline: 3 * time.Second, Priority: 1, CompleteShare: 1, MinShare: 1}},
		Limits:  aggregator.Limits{MaxAttempts: 3, MaxBatch: 8, CanCancel: true, SendRetryAfter: true, MaxRetryAfter: time.Second},
		Rules: aggregator.Rules{DrainGrace: 250 * ms, OverloadMultiple: 3, OverloadWindow: time.Second, InitialCapacity: 0.2,
			WarmupTime: 20 * time.Second}}
	listed := map[string]string{"x0": "x", "x1": "x", "x2": "x", "y0": "y", "y1": "y", "y2": "y", "z0": "z", "z1": "z",
		"z2": "z"}
	var all []*coordinator
	now := time.Hour
	for seed := range uint64(fleet) {
		agg, err := aggregator.New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		tr, err := zones.New(zones.Config{Seed: seed})
		if err != nil {
			t.Fatal(err)
		}
		tr.List(at(now), listed)
		c := &coordinator{agg: agg, tr: tr}
		c.step(now, aggregator.Event{Kind: aggregator.ListCached, Members: []aggregator.Member{{Replica: "warm"},
			{Replica: "back", State: aggregator.Draining}}})
		for i := range 5 { // it learns how long a part takes
			c.ask(now, fmt.Sprint("first", i), part)
		}
		all = append(all, c)
	}
	// The zone y fails: every coordinator sees its data nodes time out, and leaves it.
	var back time.Duration // when the zone answers again; from then on the replica is cold
	failsLeft := flaps + 1
	sent := map[int]float64{}
	for step := 0; step < 600; step++ { // 60 s in steps of 100 ms
		now += 100 * ms
		failing := failsLeft > 0 && (step < 10 || back > 0 && now-back < 300*ms)
		for i, c := range all {
			if failing {
				for _, id := range []string{"y0", "y1", "y2"} {
					c.tr.Observe(at(now), "y", id, zones.TimedOut)
				}
			}
			for _, ch := range c.tr.Step(at(now)) {
				switch {
				case ch.Zone == "y" && ch.To == zones.Recovering:
					since, _ := c.tr.WarmingSince("y")
					c.returned = since.Sub(epoch)
					c.step(now, aggregator.Event{Kind: aggregator.ListChanged, Members: []aggregator.Member{{Replica: "back",
						Started: c.returned}}})
					returns++
				case ch.Zone == "y" && ch.To == zones.Out:
					c.returned = 0
					c.step(now, aggregator.Event{Kind: aggregator.ListChanged, Members: []aggregator.Member{{Replica: "back",
						State: aggregator.Draining}}})
				}
			}
			if (step+i)%50 != 0 { // each asks once in 5 s, the fleet spread over them: 60 queries a second
				continue
			}
			for _, s := range c.ask(now, fmt.Sprint("q", step), part) {
				if s == "back" && back > 0 {
					sent[int((now-back)/set.Rules.OverloadWindow)] += part.Seconds()
				}
			}
		}
		// The zone answers again once the first coordinator returns; where it is to flap, it fails again at once.
		if back == 0 || failsLeft > 0 && now-back >= 300*ms {
			for _, c := range all {
				if c.returned > 0 && (back == 0 || c.returned > back+300*ms) {
					if back = c.returned; failsLeft > 0 {
						failsLeft--
					}
					clear(sent)
					break
				}
			}
		}
	}
	for w := 0; w < 40; w++ {
		from := float64(w) * set.Rules.OverloadWindow.Seconds() / set.Rules.WarmupTime.Seconds()
		capacity := set.Rules.InitialCapacity + (1-set.Rules.InitialCapacity)*min(1, from)
		shares = append(shares, sent[w]/(set.Rules.OverloadMultiple*capacity*set.Rules.OverloadWindow.Seconds()))
	}
	return shares, returns
}

func (c *coordinator) step(now time.Duration, events ...aggregator.Event) []aggregator.Action {
	return c.agg.Step(now, events, nil)
}

// ask asks one query of two parts, answers what is sent at once after part, and tells to which replicas it was sent.
func (c *coordinator) ask(now time.Duration, id string, part time.Duration) (to []string) {
	c.n++
	q := fmt.Sprint(id, "-", c.n)
	acts := c.step(now, aggregator.Event{Kind: aggregator.QueryArrived, Query: q, Tenant: -1, Count: 2, TimeLeft: 3 * time.Second},
		aggregator.Event{Kind: aggregator.PartArrived, Query: q, Part: q + "/0", Shard: 0, Weight: 0.5},
		aggregator.Event{Kind: aggregator.PartArrived, Query: q, Part: q + "/1", Shard: 1, Weight: 0.5})
	var ends []aggregator.Event
	for _, a := range acts {
		if a.Kind == aggregator.Send {
			to = append(to, a.Replica)
			ends = append(ends, aggregator.Event{Kind: aggregator.AttemptEnded, Part: a.Part, Replica: a.Replica,
				Outcome: aggregator.OK})
		}
	}
	c.step(now+part, ends...)
	return to
}

func TestFleetReturnsWithinTheColdBound(t *testing.T) {
	for _, flaps := range []int{0, 2} {
		shares, returns := playFleet(t, 300, flaps)
		used := 0.0
		for w, s := range shares {
			if s > 1 {
				t.Errorf("flaps %d: window %d after the return: %.2f of what a cold data node stands", flaps, w, s)
			}
			used += s
		}
		if returns < 300 || used == 0 {
			t.Errorf("flaps %d: %d returns of 300 coordinators, %.2f of the bound used", flaps, returns, used)
		}
		t.Logf("flaps %d: %d returns; shares of the bound by window %.2f", flaps, returns, shares[:12])
	}
}
