package aggregator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// slowStartScenario is a fleet of aggregators with one data node that has just started.
type slowStartScenario struct {
	aggregators    int
	maxBatch       int           // maximum parts per call
	callCost       time.Duration // of each call
	alone          bool          // no other replica holds the shards
	burst          bool          // all get a query at the same time, twice a second; otherwise each at random
	skew           float64       // exponent of the power law of their shares of the traffic
	withoutHistory bool          // they start together with the data node and have seen no answer
	work           time.Duration // mean work of a part
	spread         float64       // standard deviation of the logarithm of a part's work
}

// slowStartAt is the start time of the data node on the harness's clock.
const slowStartAt = 200 * time.Second

// simulateSlowStart simulates ten overload windows. It returns by how many calls the worst sliding window exceeds what the
// settings allow, and the number of calls sent.
func simulateSlowStart(t *testing.T, scenario slowStartScenario, seed uint64) (excess float64, calls int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	set := testSettings()
	set.ShardSets, set.Shards, set.Reach, set.Aggregators = 1, 4, 1, scenario.aggregators
	set.Limits.MaxBatch, set.CallCost = scenario.maxBatch, scenario.callCost
	set.Rules.WarmupTime = 20 * time.Second
	rules := set.Rules
	work := func() time.Duration {
		mu := -scenario.spread * scenario.spread / 2
		return time.Duration(float64(scenario.work) * math.Exp(mu+scenario.spread*rng.NormFloat64()))
	}
	fleet, weights, sum := make([]*harness, scenario.aggregators), make([]float64, scenario.aggregators), 0.0
	warm := []Member{{Replica: "a"}, {Replica: "b"}}
	for i := range fleet {
		h := newHarness(t, set)
		h.aggregator, _ = New(set, seed*1000+uint64(i))
		h.step(Event{Kind: ListCached, Members: warm})
		for j := range 8 {
			id := fmt.Sprint("first", j)
			for _, s := range actionsOf(h.step(queryEvents(id, 3*time.Second, 0)...), Send) {
				if h.now += work(); !scenario.withoutHistory {
					h.step(attemptEnded(s.Part, 0, OK))
				}
			}
		}
		h.now = slowStartAt
		fleet[i] = h
		weights[i] = math.Pow(float64(i+1), -scenario.skew)
		sum += weights[i]
	}
	start := slowStartAt
	for _, h := range fleet {
		changes := []Member{{Replica: "cold", Started: start}}
		if scenario.alone {
			changes = append(changes, Member{Replica: "a", State: Gone}, Member{Replica: "b", State: Gone})
		}
		h.step(Event{Kind: ListChanged, Members: changes})
	}
	type answer struct {
		at     time.Duration
		sender int
		part   string
		n      int
	}
	var due []answer
	var sent []time.Duration
	const step = 10 * ms
	perStep := 4 * float64(step) / float64(scenario.work) // queries of four parts, several times the capacity in slow start
	for now := start; now < start+10*rules.OverloadWindow; now += step {
		for i, h := range fleet {
			h.now = now
			var events []Event
			due = slices.DeleteFunc(due, func(a answer) bool {
				if a.sender != i || a.at > now {
					return false
				}
				events = append(events, attemptEnded(a.part, a.n, OK))
				return true
			})
			arrives := rng.Float64() < perStep*weights[i]/sum
			if scenario.burst {
				arrives = (now-start)%(500*ms) == 0
			}
			if arrives {
				events = append(events, queryEvents(fmt.Sprint(now, i), 3*time.Second, 0, 1, 2, 3)...)
			}
			if len(events) == 0 && (h.aggregator.wakeAt < 0 || now < h.aggregator.wakeAt) {
				continue
			}
			inCall := 0
			for _, s := range actionsOf(h.step(events...), Send) {
				due = append(due, answer{now + work(), i, s.Part, h.attempts[s.Part] - 1})
				if s.Replica != "cold" {
					continue
				}
				if inCall%max(1, scenario.maxBatch) == 0 {
					sent = append(sent, now)
				}
				inCall++
			}
		}
	}
	excess = math.Inf(-1)
	perCall := (scenario.work + scenario.callCost).Seconds()
	for i, from := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at < from+rules.OverloadWindow {
				n++
			}
		}
		warmedUp := min(1, (from+rules.OverloadWindow-start).Seconds()/rules.WarmupTime.Seconds())
		allowed := rules.OverloadMultiple * (rules.InitialCapacity + (1-rules.InitialCapacity)*warmedUp) * rules.OverloadWindow.Seconds() / perCall
		slack := 2*math.Sqrt(allowed) + 2
		if allowed < 30 {
			slack = 3*math.Sqrt(allowed) + 3
		}
		excess = max(excess, float64(n)-allowed-slack)
	}
	return excess, len(sent)
}

// TestFleetStaysWithinSlowStartLimit checks that all aggregators together send a data node in slow start no more than the
// settings allow, up to random variation, whatever their number and however uneven their traffic.
func TestFleetStaysWithinSlowStartLimit(t *testing.T) {
	for _, aggregators := range []int{3, 10, 30, 100, 300} {
		for _, scenario := range []slowStartScenario{
			{maxBatch: 1},
			{maxBatch: 1, alone: true},
			{maxBatch: 1, alone: true, skew: 1.2},
			{maxBatch: 1, alone: true, burst: true},
			{maxBatch: 8, callCost: 10 * ms, alone: true, skew: 1.2},
			{maxBatch: 8, callCost: 10 * ms, alone: true, burst: true},
			{maxBatch: 1, alone: true, skew: 1.2, withoutHistory: true},
			{maxBatch: 1, alone: true, burst: true, withoutHistory: true},
			{maxBatch: 8, callCost: 10 * ms, alone: true, burst: true, withoutHistory: true},
		} {
			scenario.aggregators, scenario.work = aggregators, 40*ms
			if !scenario.burst && scenario.skew > 0 {
				scenario.work = 10 * ms // many small parts
			}
			if scenario.withoutHistory {
				scenario.work = 200 * ms // a large share of the objective
			}
			all := 0
			for seed := range uint64(4) {
				scenario.spread = []float64{0.05, 0.5}[seed%2]
				excess, calls := simulateSlowStart(t, scenario, seed+1)
				all += calls
				if excess > 0 {
					t.Errorf("%+v, seed %d: %.1f calls above the limit in a window, %d in total", scenario, seed+1, excess, calls)
				}
				t.Logf("%+v, seed %d: %.1f calls below the limit, %d in total", scenario, seed+1, -excess, calls)
			}
			if all == 0 {
				t.Errorf("%+v: no calls to the data node in slow start", scenario)
			}
		}
	}
}

// TestSlowStartLimitsOneAggregator checks that a replica in slow start gets no more than this aggregator's share of its
// capacity, however many parts wait for it.
func TestSlowStartLimitsOneAggregator(t *testing.T) {
	set := testSettings()
	set.ShardSets, set.Reach, set.Aggregators = 1, 1, 2
	h := newHarness(t, set, Member{Replica: "a", Started: 99900 * ms})
	sent := 0
	for i := range 50 {
		sent += len(actionsOf(h.step(queryEvents(fmt.Sprint(i), 3*time.Second, 0)...), Send))
	}
	// An aggregator's half of 3 x (0.2 + a little) x 1 s is 0.3 s; the assumed work of a part is a fifth of the objective,
	// 0.2 s.
	if sent == 0 || sent > 4 {
		t.Errorf("%d parts in the first round, want 1 to 4", sent)
	}
}

// TestAggregatorsShareAReplicaInSlowStart checks that dozens of aggregators, each with a share of less than one part, use a
// replica in slow start and together stay within its capacity on average.
func TestAggregatorsShareAReplicaInSlowStart(t *testing.T) {
	const aggregators, windows = 80, 8
	sent := 0
	for seed := range uint64(aggregators) {
		set := testSettings()
		set.ShardSets, set.Reach, set.Aggregators = 1, 1, aggregators
		a, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		start := 100 * time.Second
		list := Event{Kind: ListCached, Members: []Member{{Replica: "a", Started: start - ms}}}
		a.Step(start, []Event{list}, nil)
		for i := range windows * 5 {
			now := start + time.Duration(i)*200*ms
			sent += len(actionsOf(a.Step(now, queryEvents(fmt.Sprint(i), time.Second, 0), nil), Send))
		}
	}
	// The capacity grows linearly from 3 x 0.2 to 3 x 0.84 over the eight windows of 1 s. It is counted in parts of
	// 0.1 s; the aggregators assume 0.2 s.
	if capacity := windows * 3 * 0.52 * 10; sent == 0 || float64(sent) > capacity || float64(sent) < capacity/3 {
		t.Errorf("%d parts from %d aggregators in %d windows, want a third of %.0f to %.0f", sent, aggregators, windows, capacity, capacity)
	}
}

// fleetArrivals determines when the aggregators of a fleet receive queries, in steps of 100 ms.
type fleetArrivals struct {
	together    bool // all at once, twice a second; otherwise each once a second, in turn
	idleWindows int  // windows of a second at the start without queries, after which no other holder is left
}

// at reports whether an aggregator receives a query in a step.
func (f fleetArrivals) at(step, aggregator int) bool {
	if step < 10*f.idleWindows {
		return false
	}
	if f.together {
		return step%5 == 0
	}
	return (step+aggregator)%10 == 0
}

// simulateWarmup simulates eighty aggregators that share three replicas of a shard, one of them just started, for ten
// overload windows. It returns the work sent to that replica in each window, as a share of what it may be sent, and the
// mean number of parts per call there.
func simulateWarmup(t *testing.T, arrivals fleetArrivals) (shares []float64, perCall float64) {
	t.Helper()
	const aggregators, part = 80, 20 * ms
	set := testSettings()
	set.ShardSets, set.Shards, set.Reach, set.Aggregators = 1, 2, 1, aggregators
	set.Limits.MaxBatch, set.CallCost = 8, 4*ms
	set.Rules.WarmupTime = 20 * time.Second
	var fleet []*harness
	for seed := range uint64(aggregators) {
		h := newHarness(t, set)
		h.aggregator, _ = New(set, seed)
		h.step(Event{Kind: ListCached, Members: []Member{{Replica: "a"}, {Replica: "b"}}})
		for i := range 5 { // warm up the latency estimates
			h.step(queryEvents(fmt.Sprint("first", i), 3*time.Second, 0)...)
			h.now += part
			h.step(attemptEnded(fmt.Sprint("first", i, "/0"), 0, OK))
		}
		h.step(Event{Kind: ListChanged, Members: []Member{{Replica: "cold", Started: h.now}}})
		if arrivals.idleWindows > 0 {
			h.step(Event{Kind: ListChanged, Members: []Member{{Replica: "a", State: Gone}, {Replica: "b", State: Gone}}})
		}
		fleet = append(fleet, h)
	}
	start := fleet[0].now
	parts, calls := 0, 0
	sent := make([]float64, 10)
	for step := range int(10*set.Rules.OverloadWindow/ms) / 100 {
		for i, h := range fleet {
			h.now = start + time.Duration(step)*100*ms
			if !arrivals.at(step, i) {
				continue
			}
			acts := h.step(queryEvents(fmt.Sprint("q", step), 3*time.Second, 0, 1)...)
			called := false
			h.now += part
			for _, s := range actionsOf(acts, Send) {
				if s.Replica == "cold" {
					sent[time.Duration(step)*100*ms/set.Rules.OverloadWindow] += part.Seconds()
					parts, called = parts+1, true
				}
				h.step(attemptEnded(s.Part, h.attempts[s.Part]-1, OK))
			}
			if called {
				calls++
			}
		}
	}
	for i, work := range sent {
		from := float64(i) * set.Rules.OverloadWindow.Seconds() / set.Rules.WarmupTime.Seconds()
		capacity := set.Rules.InitialCapacity + (1-set.Rules.InitialCapacity)*from
		shares = append(shares, work/(set.Rules.OverloadMultiple*capacity*set.Rules.OverloadWindow.Seconds()))
	}
	return shares, float64(parts) / float64(max(calls, 1))
}

// TestReplicaInSlowStartGetsItsShareOfAFleet checks that a replica in slow start gets its share of the traffic from the
// start, in calls of several parts, though each of eighty aggregators may send it a part in some windows only. It is never
// overloaded, also if all aggregators get a query at the same time.
func TestReplicaInSlowStartGetsItsShareOfAFleet(t *testing.T) {
	for _, together := range []bool{false, true} {
		shares, perCall := simulateWarmup(t, fleetArrivals{together: together})
		sum := 0.0
		for i, s := range shares {
			if s > 1 {
				t.Errorf("together %v: window %d: %.2f of its capacity", together, i, s)
			}
			sum += s
		}
		if mean := sum / float64(len(shares)); mean < 0.33 || perCall < 1.5 {
			t.Errorf("together %v: on average %.2f of what it may be sent, in calls of %.1f parts", together, mean, perCall)
		}
		t.Logf("together %v: %.2f, %.2f parts a call", together, shares, perCall)
	}
}

// TestSavedAllowancesDoNotOverloadAReplica checks that aggregators that have accrued allowances and then all get a query at
// once, with no other holder left, don't overload a replica that does one unit of work at a time.
func TestSavedAllowancesDoNotOverloadAReplica(t *testing.T) {
	for idle := 1; idle < 8; idle++ {
		shares, _ := simulateWarmup(t, fleetArrivals{together: true, idleWindows: idle})
		if most := slices.Max(shares); most > 1 || shares[idle] == 0 {
			t.Errorf("idle for %d windows: then %.2f of its capacity, want some and no more than 1", idle, shares[idle:])
		}
	}
}
