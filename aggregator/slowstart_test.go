package aggregator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// slowStartDay is a fleet of aggregators before one data node that has just started.
type slowStartDay struct {
	nodes    int
	bundle   int           // parts of a call
	callCost time.Duration // of each call
	alone    bool          // no other replica holds the shards
	burst    bool          // all are asked at once, twice a second; else each by chance
	skew     float64       // exponent of how unequal their traffic is
	ignorant bool          // they start with the data node and have seen no answer
	work     time.Duration // of a part on average
	spread   float64       // of the logarithms of parts' works
}

// slowStart is when the data node starts, on the benches' clock.
const slowStartAt = 200 * time.Second

// runSlowStart plays ten falling windows and returns, over all sliding windows, by how many calls the worst goes beyond what
// the settings allow it, and how many calls were sent in all.
func runSlowStart(t *testing.T, day slowStartDay, seed uint64) (excess float64, calls int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	set := testSettings()
	set.ShardSets, set.Shards, set.Reach, set.Aggregators = 1, 4, 1, day.nodes
	set.Limits.MaxBatch, set.CallCost = day.bundle, day.callCost
	set.Rules.WarmupTime = 20 * time.Second
	rules := set.Rules
	work := func() time.Duration {
		mu := -day.spread * day.spread / 2
		return time.Duration(float64(day.work) * math.Exp(mu+day.spread*rng.NormFloat64()))
	}
	fleet, weights, sum := make([]*harness, day.nodes), make([]float64, day.nodes), 0.0
	warm := []Member{{Replica: "a"}, {Replica: "b"}}
	for i := range fleet {
		b := newHarness(t, set)
		b.aggregator, _ = New(set, seed*1000+uint64(i))
		b.step(Event{Kind: ListCached, Members: warm})
		for j := range 8 {
			id := fmt.Sprint("first", j)
			for _, s := range only(b.step(asks(id, 3*time.Second, 0)...), Send) {
				if b.now += work(); !day.ignorant {
					b.step(ended(s.Part, 0, OK))
				}
			}
		}
		b.now = slowStartAt
		fleet[i] = b
		weights[i] = math.Pow(float64(i+1), -day.skew)
		sum += weights[i]
	}
	start := slowStartAt
	for _, b := range fleet {
		changes := []Member{{Replica: "cold", Started: start}}
		if day.alone {
			changes = append(changes, Member{Replica: "a", State: Gone}, Member{Replica: "b", State: Gone})
		}
		b.step(Event{Kind: ListChanged, Members: changes})
	}
	type answer struct {
		at   time.Duration
		node int
		part string
		n    int
	}
	var due []answer
	var sent []time.Duration
	const step = 10 * ms
	perStep := 4 * float64(step) / float64(day.work) // queries of four parts, several times what a cold one stands
	for now := start; now < start+10*rules.OverloadWindow; now += step {
		for i, b := range fleet {
			b.now = now
			var events []Event
			due = slices.DeleteFunc(due, func(a answer) bool {
				if a.node != i || a.at > now {
					return false
				}
				events = append(events, ended(a.part, a.n, OK))
				return true
			})
			asked := rng.Float64() < perStep*weights[i]/sum
			if day.burst {
				asked = (now-start)%(500*ms) == 0
			}
			if asked {
				events = append(events, asks(fmt.Sprint(now, i), 3*time.Second, 0, 1, 2, 3)...)
			}
			if len(events) == 0 && (b.aggregator.wakeAt < 0 || now < b.aggregator.wakeAt) {
				continue
			}
			inCall := 0
			for _, s := range only(b.step(events...), Send) {
				due = append(due, answer{now + work(), i, s.Part, b.attempts[s.Part] - 1})
				if s.Replica != "cold" {
					continue
				}
				if inCall%max(1, day.bundle) == 0 {
					sent = append(sent, now)
				}
				inCall++
			}
		}
	}
	excess = math.Inf(-1)
	perCall := (day.work + day.callCost).Seconds()
	for i, from := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at < from+rules.OverloadWindow {
				n++
			}
		}
		grown := min(1, (from+rules.OverloadWindow-start).Seconds()/rules.WarmupTime.Seconds())
		allowed := rules.OverloadMultiple * (rules.InitialCapacity + (1-rules.InitialCapacity)*grown) * rules.OverloadWindow.Seconds() / perCall
		slack := 2*math.Sqrt(allowed) + 2
		if allowed < 30 {
			slack = 3*math.Sqrt(allowed) + 3
		}
		excess = max(excess, float64(n)-allowed-slack)
	}
	return excess, len(sent)
}

// TestSlowStartOfAFleet: whatever the number of aggregators and however unequal their traffic, all together send a data node
// in slow start no more than the settings allow and the chance of their draws.
func TestSlowStartOfAFleet(t *testing.T) {
	for _, nodes := range []int{3, 10, 30, 100, 300} {
		for _, day := range []slowStartDay{
			{bundle: 1},
			{bundle: 1, alone: true},
			{bundle: 1, alone: true, skew: 1.2},
			{bundle: 1, alone: true, burst: true},
			{bundle: 8, callCost: 10 * ms, alone: true, skew: 1.2},
			{bundle: 8, callCost: 10 * ms, alone: true, burst: true},
			{bundle: 1, alone: true, skew: 1.2, ignorant: true},
			{bundle: 1, alone: true, burst: true, ignorant: true},
			{bundle: 8, callCost: 10 * ms, alone: true, burst: true, ignorant: true},
		} {
			day.nodes, day.work = nodes, 40*ms
			if !day.burst && day.skew > 0 {
				day.work = 10 * ms // many small ones
			}
			if day.ignorant {
				day.work = 200 * ms // a large share of the aim
			}
			all := 0
			for seed := range uint64(4) {
				day.spread = []float64{0.05, 0.5}[seed%2]
				excess, calls := runSlowStart(t, day, seed+1)
				all += calls
				if excess > 0 {
					t.Errorf("%+v, seed %d: %.1f calls too many in a window, %d in all", day, seed+1, excess, calls)
				}
				t.Logf("%+v, seed %d: %.1f calls below the bound, %d in all", day, seed+1, -excess, calls)
			}
			if all == 0 {
				t.Errorf("%+v: it gets nothing", day)
			}
		}
	}
}
