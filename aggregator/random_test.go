package aggregator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestRulesHoldForRandomEvents checks, for random events, that the operators' rules hold according to records that the test
// keeps itself, and that memory stays bounded.
func TestRulesHoldForRandomEvents(t *testing.T) {
	for seed := range uint64(6) {
		set := testSettings()
		set.Limits.Hedging, set.Limits.Probes, set.Limits.Gossip = seed%2 == 0, seed%3 == 0, seed%2 == 1
		set.Classes[0].Effect, set.Classes[0].DedupWindow = Effect(seed%3), 300*ms
		applyRandomEvents(t, set, members("a", "b", "c"), seed)
	}
}

// TestRulesHoldForRandomEventsInALargeFleet checks the same for one of eighty aggregators with 120 replicas in two or three
// zones, with shared calls and every effect of a class.
func TestRulesHoldForRandomEventsInALargeFleet(t *testing.T) {
	for seed := range uint64(4) {
		set, all := fleetSettings(120, 2+int(seed%2), 80)
		for i := range all {
			all[i].Zone = fmt.Sprint("z", i%(2+int(seed%2)))
		}
		set.Zone = "z0"
		set.Limits.Hedging = seed%2 == 0
		set.Limits.MaxBatch, set.CallCost = 1+int(seed%3)*8, time.Duration(seed%3)*20*ms
		set.Classes[0].Effect, set.Classes[0].DedupWindow = Effect(seed%3), 300*ms
		applyRandomEvents(t, set, all, seed)
	}
}

// applyRandomEvents runs 6000 rounds of random events, including stray ones, and checks each action.
func applyRandomEvents(t *testing.T, set Settings, all []Member, seed uint64) {
	t.Helper()
	h := newHarness(t, set, all...)
	rng := rand.New(rand.NewPCG(seed, 1))
	type attempt struct {
		part string
		n    int
	}
	var sent []attempt
	due := map[string]time.Duration{}
	ran, openAttempts := map[string]bool{}, map[string]int{} // by part: may have run, attempts without an outcome
	reported := map[attempt]bool{}
	unsafe := set.Classes[0].Effect == Unsafe
	excluded := map[string]bool{}
	var probed []Event
	strayKinds := []EventKind{0, PartArrived, AttemptEnded, ClientGone, Wakeup, ListCallFailed, ProbeEnded, 77}
	for i := range 6000 {
		h.now += time.Duration(rng.IntN(30)) * ms
		if rng.IntN(300) == 0 {
			h.now += 2 * time.Second // the process pauses
		}
		events := probed
		probed = nil
		if rng.IntN(3) == 0 {
			id := fmt.Sprint(i)
			due[id] = h.now + time.Second
			events = append(events, queryEvents(id, time.Second, rng.IntN(set.Shards), rng.IntN(set.Shards))...)
		}
		if len(sent) > 0 && rng.IntN(4) > 0 {
			k := rng.IntN(len(sent))
			o := Outcome(rng.IntN(12))
			if events = append(events, attemptEnded(sent[k].part, sent[k].n, o)); !reported[sent[k]] {
				reported[sent[k]] = true
				openAttempts[sent[k].part]--
				ran[sent[k].part] = ran[sent[k].part] || o != Rejected && o != ConnectFailed && o != ConnectTimeout && o != NotSent
			}
			if rng.IntN(10) > 0 { // otherwise it is reported twice
				sent = append(sent[:k], sent[k+1:]...)
			}
		}
		if rng.IntN(50) == 0 {
			m := all[rng.IntN(len(all))]
			m.State, m.Started = State(rng.IntN(3)), h.now*time.Duration(rng.IntN(2))
			excluded[m.Replica] = m.State != Serving
			events = append(events, Event{Kind: ListChanged, Members: []Member{m}})
		}
		events = append(events, Event{Kind: strayKinds[rng.IntN(len(strayKinds))], Query: "none", Part: "none",
			Replica: "none", Attempt: -1, Class: -1, Shard: -5, Tenant: 77})
		if rng.IntN(20) == 0 {
			junk := make([]byte, rng.IntN(300))
			for k := range junk {
				junk[k] = byte(rng.IntN(256))
			}
			events = append(events, Event{Kind: GossipReceived, Data: junk})
		}
		for _, act := range h.step(events...) {
			switch act.Kind {
			case SendGossip:
				if !set.Limits.Gossip || len(act.Data) == 0 || len(act.Data) > 256 {
					t.Fatalf("seed %d: a message of %d bytes", seed, len(act.Data))
				}
			case Send:
				if unsafe && (ran[act.Part] || openAttempts[act.Part] > 0) {
					t.Fatalf("seed %d: %s may run twice", seed, act.Part)
				}
				openAttempts[act.Part]++
				sent = append(sent, attempt{act.Part, h.attempts[act.Part] - 1})
				if h.attempts[act.Part] > set.Limits.MaxAttempts {
					t.Fatalf("seed %d: %d attempts of %s", seed, h.attempts[act.Part], act.Part)
				}
				if excluded[act.Replica] {
					t.Fatalf("seed %d: sent to %s, which is draining or gone", seed, act.Replica)
				}
				if _, open := due[act.Part[:len(act.Part)-2]]; !open {
					t.Fatalf("seed %d: %s sent after its query ended", seed, act.Part)
				}
			case Probe:
				if rng.IntN(2) == 0 {
					probed = append(probed, Event{Kind: ProbeEnded, Replica: act.Replica, Outcome: Outcome(rng.IntN(5))})
				}
			case Answer, Reject, Fail:
				if _, open := due[act.Query]; !open && act.Query != "none" {
					t.Fatalf("seed %d: %s ended twice", seed, act.Query)
				}
				delete(due, act.Query)
				for _, part := range []string{act.Query + "/0", act.Query + "/1"} {
					if unsafe && act.Kind == Reject && (ran[part] || openAttempts[part] > 0) {
						t.Fatalf("seed %d: %s rejected though %s may have run", seed, act.Query, part)
					}
				}
			}
		}
		for id, end := range due {
			if end+30*ms < h.now {
				t.Fatalf("seed %d: %s was lost", seed, id)
			}
		}
	}
	if len(h.aggregator.queries.byID) > 100 || len(h.aggregator.queries.parts) > 3000 || len(h.aggregator.queries.live) > 100 {
		t.Errorf("seed %d: %d queries, %d parts held", seed, len(h.aggregator.queries.byID), len(h.aggregator.queries.parts))
	}
}
