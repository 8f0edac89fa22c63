package aggregator

// Many aggregators on one fleet, stepped together: what one does that is harmless alone.

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestProbesOfAFleet: a data node answers so many probes a second and says no to more. Eighty nodes that each lost a
// part must not ask on and on, each no taken for a sign that calls for more; nor may a no cost a replica its parts.
func TestProbesOfAFleet(t *testing.T) {
	const nodes, answered = 80, 12
	set, all := fleetSettings(60, 3, nodes)
	var fleet []*harness
	for seed := range uint64(nodes) {
		b := newHarness(t, set, all...)
		b.aggregator, _ = New(set, seed)
		b.step(Event{Kind: ListCached, Members: all})
		b.step(asks("first", 3*time.Second, int(seed)%60)...)
		b.step(ended("first/0", 0, Reset))
		fleet = append(fleet, b)
	}
	probes, barred := 0, 0
	for second := range 5 {
		asked := map[string]int{}
		for i, b := range fleet {
			for j := range 2 {
				b.now += time.Second / 2
				id := fmt.Sprint("q", second, "-", j)
				shard := (7*i + 13*second + 29*j) % 60
				acts := b.step(asks(id, 3*time.Second, shard)...)
				var events []Event
				for _, p := range only(acts, Probe) {
					probes++
					e := Event{Kind: ProbeEnded, Replica: p.Replica, Outcome: OK}
					if asked[p.Replica]++; asked[p.Replica] > answered {
						e.Outcome = Errored
					}
					events = append(events, e)
				}
				b.step(events...)
				for _, s := range only(append(acts, b.after(100*ms)...), Send) {
					b.step(ended(s.Part, b.attempts[s.Part]-1, OK))
				}
			}
		}
	}
	for _, b := range fleet {
		for _, r := range b.aggregator.endpoints.replicas {
			if r.outlier.ejected {
				barred++
			}
		}
	}
	if probes > 2*nodes || barred > 0 {
		t.Errorf("%d probes after %d lost parts; %d replicas ejected though all answer", probes, nodes, barred)
	}
}

// coldFleet steps eighty nodes that share three replicas of a shard, one of them just started, for ten falling windows.
// Each asks now and then, or all at once as together says; if idle, after so many windows without a query, and with no
// other holder left. It returns the work sent to the cold replica in each window,
// as a share of what it may be sent, and the parts of a call there.
func coldFleet(t *testing.T, together bool, idle int) (shares []float64, perCall float64) {
	const nodes, part = 80, 20 * ms
	set := testSettings()
	set.ShardSets, set.Shards, set.Reach, set.Aggregators = 1, 2, 1, nodes
	set.Limits.MaxBatch, set.CallCost = 8, 4*ms
	set.Rules.WarmupTime = 20 * time.Second
	var fleet []*harness
	for seed := range uint64(nodes) {
		b := newHarness(t, set)
		b.aggregator, _ = New(set, seed)
		b.step(Event{Kind: ListCached, Members: []Member{{Replica: "a"}, {Replica: "b"}}})
		for i := range 5 { // it learns how long a part takes
			b.step(asks(fmt.Sprint("first", i), 3*time.Second, 0)...)
			b.now += part
			b.step(ended(fmt.Sprint("first", i, "/0"), 0, OK))
		}
		b.step(Event{Kind: ListChanged, Members: []Member{{Replica: "cold", Started: b.now}}})
		if idle > 0 {
			b.step(Event{Kind: ListChanged, Members: []Member{{Replica: "a", State: Gone}, {Replica: "b", State: Gone}}})
		}
		fleet = append(fleet, b)
	}
	start := fleet[0].now
	parts, calls := 0, 0
	sent := make([]float64, 10)
	for step := range int(10*set.Rules.OverloadWindow/ms) / 100 {
		for i, b := range fleet {
			b.now = start + time.Duration(step)*100*ms
			if asks := (step+i)%10 == 0; step < 10*idle || !together && !asks || together && step%5 != 0 {
				continue
			}
			acts := b.step(asks(fmt.Sprint("q", step), 3*time.Second, 0, 1)...)
			called := false
			b.now += part
			for _, s := range only(acts, Send) {
				if s.Replica == "cold" {
					sent[time.Duration(step)*100*ms/set.Rules.OverloadWindow] += part.Seconds()
					parts, called = parts+1, true
				}
				b.step(ended(s.Part, b.attempts[s.Part]-1, OK))
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

// TestColdReplicaOfAFleet: a replica that has just started gets its share of the traffic from the start, though each of
// eighty nodes may send it a part in some windows only, and whole calls where these are few enough. It is never pushed
// over, also where all nodes are asked in the same moment.
func TestColdReplicaOfAFleet(t *testing.T) {
	for _, together := range []bool{false, true} {
		shares, perCall := coldFleet(t, together, 0)
		sum := 0.0
		for i, s := range shares {
			if s > 1 {
				t.Errorf("together %v: window %d: %.2f of what it stands", together, i, s)
			}
			sum += s
		}
		if mean := sum / float64(len(shares)); mean < 0.33 || perCall < 1.5 {
			t.Errorf("together %v: on average %.2f of what it may be sent, in calls of %.1f parts", together, mean, perCall)
		}
		t.Logf("together %v: %.2f, %.2f parts a call", together, shares, perCall)
	}
}

// TestSeldomHeard: a node with a small share of the traffic hears a replica every few aims only. What it has seen of a
// slow one must hold until then.
func TestSeldomHeard(t *testing.T) {
	set := testSettings()
	f := newFleet(t, set, func(r string) (Outcome, time.Duration) {
		if r == "a" {
			return OK, 300 * ms
		}
		return OK, 20 * ms
	})
	f.run(20*time.Second, 2*time.Second) // each is heard every 6 s
	f.run(180*time.Second, 2*time.Second)
	if got := f.got["a"]; got > 15 {
		t.Errorf("the slow replica of three got %d of 90 parts", got)
	}
}

// TestPressedPartIsSpared: where all holders of a shard are slow, a query that can be answered in part does without its
// part and is answered as soon as the rest is in. One that needs all its parts sends it, and so do both where none is slow, or
// where three nodes know the load and expect the part within the aim.
func TestPressedPartIsSpared(t *testing.T) {
	for _, c := range []struct {
		floor float64
		slow  bool
		nodes int
		parts int
		whole bool
	}{{0.5, true, 80, 3, false}, {0.5, false, 80, 4, true}, {1, true, 80, 4, true}, {0.5, true, 3, 4, true}} {
		set, all := fleetSettings(4, 1, c.nodes)
		set.Limits.Probes = false
		set.Classes[0].MinShare, set.Classes[0].PartialShare = c.floor, 0.9
		b := newHarness(t, set, all...)
		for i := range 20 { // one shard each, the last of which is slow
			b.step(asks(fmt.Sprint(i), 3*time.Second, i%4)...)
			if b.now += 20 * ms; i%4 == 3 && c.slow {
				b.now += 400 * ms
			}
			b.step(ended(fmt.Sprint(i, "/0"), 0, OK))
		}
		sent := only(b.step(asks("q", 3*time.Second, 0, 1, 2, 3)...), Send)
		b.now += 20 * ms
		var in []Event
		for _, s := range sent {
			in = append(in, ended(s.Part, 0, OK))
		}
		answers := only(b.step(in...), Answer)
		if len(sent) != c.parts || len(answers) != 1 || answers[0].Complete != c.whole {
			t.Errorf("floor %.1f, slow %v, %d nodes: %d parts sent, want %d; answers %+v", c.floor, c.slow, c.nodes, len(sent), c.parts, answers)
		}
	}
}

// TestColdReplicaAfterAPause: nodes that have saved up their shares and are then all asked at once, with no other holder
// left, still don't push a replica over that can do one unit of work at a time.
func TestColdReplicaAfterAPause(t *testing.T) {
	for idle := 1; idle < 8; idle++ {
		shares, _ := coldFleet(t, true, idle)
		if most := slices.Max(shares); most > 1 || shares[idle] == 0 {
			t.Errorf("idle for %d windows: then %.2f of what it stands, want some and no more than 1", idle, shares[idle:])
		}
	}
}
