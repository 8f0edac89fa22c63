package aggregator

import (
	"fmt"
	"testing"
	"time"
)

// TestPartWaitsForProbesAfterAFailure checks that after a failure a part waits for probes of the holders that have not
// answered recently and avoids one that does not reply, and that no probe is sent before a failure.
func TestPartWaitsForProbesAfterAFailure(t *testing.T) {
	set, all := fleetSettings(6, 2, 3)
	h := newHarness(t, set, all...)
	if acts := h.step(queryEvents("calm", 3*time.Second, 0)...); len(actionsOf(acts, Probe)) > 0 || len(actionsOf(acts, Send)) != 1 {
		t.Fatalf("before a failure: %v", acts)
	}
	h.step(attemptEnded("calm/0", 0, Reset))
	h.runFor(2 * time.Second)
	sentToLive := 0
	for i := range 10 {
		id := fmt.Sprint("q", i)
		acts := h.step(queryEvents(id, 3*time.Second, 3)...)
		var events []Event
		for _, p := range actionsOf(acts, Probe) {
			if p.Replica != "r3" { // r3 is dead but still listed as serving
				events = append(events, Event{Kind: ProbeEnded, Replica: p.Replica, Outcome: OK})
			} else {
				events = append(events, Event{Kind: ProbeEnded, Replica: p.Replica, Outcome: TimedOut})
			}
		}
		acts = append(acts, h.step(events...)...)
		for _, s := range actionsOf(append(acts, h.runFor(100*ms)...), Send) {
			if s.Replica == "r4" {
				sentToLive++
			}
			h.step(attemptEnded(s.Part, h.attempts[s.Part]-1, OK))
		}
		h.now += time.Second
	}
	if sentToLive != 10 {
		t.Errorf("%d of 10 parts went to the live holder, want all", sentToLive)
	}
}

// TestInvalidLoadReportsAreIgnored checks that invalid load reports and probes of unknown replicas have no effect.
func TestInvalidLoadReportsAreIgnored(t *testing.T) {
	set, all := fleetSettings(6, 2, 40)
	h := newHarness(t, set, all...)
	inf := 1e308
	for _, x := range []float64{-1, inf * 10, -inf * 10, inf*10 - inf*10, 1e300} {
		h.step(Event{Kind: ProbeEnded, Replica: "r1", Outcome: OK, LoadReport: map[string]float64{"inflight": x, "other": x}},
			Event{Kind: ProbeEnded, Replica: "gone", Outcome: OK})
		if load := h.aggregator.endpoints.byName["r1"].health.reportedLoad; load != 0 {
			t.Errorf("a report of %v gave a load of %v", x, load)
		}
	}
}

// TestRejectedProbesCauseNoFurtherProbes checks, for eighty aggregators that each lose a part while a data node answers only a
// few probes a second and rejects the rest, that the rejections neither lead to further probes nor keep parts from a
// replica.
func TestRejectedProbesCauseNoFurtherProbes(t *testing.T) {
	const aggregators, answered = 80, 12
	set, all := fleetSettings(60, 3, aggregators)
	var fleet []*harness
	for seed := range uint64(aggregators) {
		h := newHarness(t, set, all...)
		h.aggregator, _ = New(set, seed)
		h.step(Event{Kind: ListCached, Members: all})
		h.step(queryEvents("first", 3*time.Second, int(seed)%60)...)
		h.step(attemptEnded("first/0", 0, Reset))
		fleet = append(fleet, h)
	}
	probes, ejected := 0, 0
	for second := range 5 {
		probed := map[string]int{}
		for i, h := range fleet {
			for j := range 2 {
				h.now += time.Second / 2
				id := fmt.Sprint("q", second, "-", j)
				shard := (7*i + 13*second + 29*j) % 60
				acts := h.step(queryEvents(id, 3*time.Second, shard)...)
				var events []Event
				for _, p := range actionsOf(acts, Probe) {
					probes++
					e := Event{Kind: ProbeEnded, Replica: p.Replica, Outcome: OK}
					if probed[p.Replica]++; probed[p.Replica] > answered {
						e.Outcome = Errored
					}
					events = append(events, e)
				}
				h.step(events...)
				for _, s := range actionsOf(append(acts, h.runFor(100*ms)...), Send) {
					h.step(attemptEnded(s.Part, h.attempts[s.Part]-1, OK))
				}
			}
		}
	}
	for _, h := range fleet {
		for _, r := range h.aggregator.endpoints.replicas {
			if r.outlier.ejected {
				ejected++
			}
		}
	}
	if probes > 2*aggregators || ejected > 0 {
		t.Errorf("%d probes after %d lost parts; %d replicas ejected though all answer", probes, aggregators, ejected)
	}
}
