package aggregator

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestNothingIsSentToADrainingReplica checks that nothing is sent to a replica once the endpoint list says that it is
// draining or gone, or does not contain it.
func TestNothingIsSentToADrainingReplica(t *testing.T) {
	for name, e := range map[string]Event{
		"draining": {Kind: ListChanged, Members: []Member{{Replica: "a", State: Draining}}},
		"gone":     {Kind: ListChanged, Members: []Member{{Replica: "a", State: Gone}}},
		"absent":   {Kind: ListReplaced, Members: []Member{{Replica: "b", ShardSet: 1}, {Replica: "c", ShardSet: 2}}},
	} {
		h := newHarness(t, testSettings(), members("a", "b", "c")...)
		h.step(e)
		for i := range 20 {
			for _, s := range actionsOf(h.step(queryEvents(fmt.Sprint(i), 3*time.Second, 0)...), Send) {
				if s.Replica == "a" {
					t.Errorf("%s: a part was sent to the replica", name)
				}
			}
		}
	}
}

// TestFailedPollIsRepeated checks that an idle aggregator polls the endpoint list soon after its start and after each
// failure, requests a wake for it, stays well within the interval that the operators' rules require, and that aggregators
// don't poll together.
func TestFailedPollIsRepeated(t *testing.T) {
	var times [][]time.Duration
	for seed := range uint64(20) {
		set := testSettings()
		set.PollList, set.Rules.PollInterval = true, 10*time.Second
		a, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		now := 50 * time.Second
		events := []Event{{Kind: ListCached, Members: members("a", "b", "c")}}
		var polled []time.Duration
		for len(polled) < 6 {
			acts := a.Step(now, events, nil)
			events = []Event{{Kind: Wakeup}}
			if len(actionsOf(acts, PollEndpoints)) > 0 {
				polled = append(polled, now)
				now += 300 * ms
				events = []Event{{Kind: ListCallFailed}}
				continue
			}
			wakes := actionsOf(acts, Wake)
			if len(wakes) == 0 {
				t.Fatalf("seed %d: no wake after %d polls", seed, len(polled))
			}
			now += wakes[0].After
			if last := append([]time.Duration{50 * time.Second}, polled...); now-last[len(last)-1] > 3*time.Second {
				t.Fatalf("seed %d: %v without a poll", seed, now-last[len(last)-1])
			}
		}
		times = append(times, polled)
	}
	for i := range 6 {
		var at []time.Duration
		for _, polled := range times {
			at = append(at, polled[i])
		}
		if slices.Sort(at); at[len(at)-1]-at[0] < 300*ms {
			t.Errorf("poll %d of 20 aggregators comes within %v", i, at[len(at)-1]-at[0])
		}
	}
}

// TestRemovedReplicasAreEvicted checks that memory does not grow with the number of queries, nor with that of replicas,
// which come under new names for as long as a process runs. A replica that was listed recently or has an attempt in flight is
// kept.
func TestRemovedReplicasAreEvicted(t *testing.T) {
	h := newHarness(t, testSettings(), members("a", "b", "c")...)
	for i := range 500 {
		was, is := fmt.Sprint("r", i), fmt.Sprint("r", i+1)
		fresh := members(is)[0]
		fresh.ShardSet = i % h.aggregator.settings.ShardSets
		old := Member{Replica: was, ShardSet: (i + h.aggregator.settings.ShardSets - 1) % h.aggregator.settings.ShardSets, State: Gone}
		h.step(Event{Kind: ListChanged, Members: []Member{old, fresh}})
		h.now += 10 * time.Second
		q := fmt.Sprint("q", i)
		for _, s := range actionsOf(h.step(queryEvents(q, time.Second, i%h.aggregator.settings.Shards)...), Send) {
			h.step(Event{Kind: AttemptEnded, Part: s.Part, Replica: s.Replica, Outcome: OK})
		}
	}
	a := h.aggregator
	held := 0
	for _, set := range a.endpoints.shardSets {
		held += len(set)
	}
	// The replicas of the last 40 s and the listed one, besides the three of the first list.
	if most := 4 + 5; len(a.endpoints.replicas) > most || len(a.endpoints.byName) > most || len(a.endpoints.byTag) > most || held > most {
		t.Errorf("%d replicas, %d names, %d tags, %d in shard sets", len(a.endpoints.replicas), len(a.endpoints.byName), len(a.endpoints.byTag), held)
	}
	if len(a.retryBudget.accepted.times)+len(a.retryBudget.retries.times)+len(a.queries.byID)+len(a.queries.parts)+len(a.queries.live) > 0 {
		t.Errorf("%d accepted, %d retries, %d queries, %d parts", len(a.retryBudget.accepted.times), len(a.retryBudget.retries.times), len(a.queries.byID), len(a.queries.parts))
	}
	sent := actionsOf(h.step(queryEvents("last", time.Hour, 0)...), Send)[0]
	h.step(Event{Kind: ListReplaced})
	h.now += time.Second
	h.step(Event{Kind: Wakeup})
	if a.endpoints.byName[sent.Replica] == nil {
		t.Error("a replica with an attempt in flight was evicted")
	}
	h.step(Event{Kind: AttemptEnded, Part: sent.Part, Replica: sent.Replica, Outcome: OK})
	h.now += time.Minute
	h.step(Event{Kind: Wakeup})
	if len(a.endpoints.replicas) > 0 {
		t.Errorf("%d replicas are kept after an empty list", len(a.endpoints.replicas))
	}
}
