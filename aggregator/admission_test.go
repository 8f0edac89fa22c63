package aggregator

import (
	"fmt"
	"testing"
	"time"
)

// TestQueryWithoutUsableReplicaIsRejectedAtOnce checks that a query is rejected in its first round if a replica that it
// needs may not be used.
func TestQueryWithoutUsableReplicaIsRejectedAtOnce(t *testing.T) {
	set, all := fleetSettings(3, 1, 1000)
	all[0].Started = 100*time.Second - ms
	rejected := 0
	for i := range 20 {
		set.Rules.OverloadMultiple = 0.1
		h := newHarness(t, set, all...)
		rejected += len(actionsOf(h.step(queryEvents(fmt.Sprint(i), time.Second, 0)...), Reject))
	}
	if rejected < 18 {
		t.Errorf("%d of 20 queries rejected at once", rejected)
	}
}

// TestRetriesOfATenantThatMostlyRetriesRankLower checks that the retries of a tenant most of whose queries are retries rank
// below the first attempts of others, and that a single retry does not.
func TestRetriesOfATenantThatMostlyRetriesRankLower(t *testing.T) {
	for _, c := range []struct {
		repeats    int
		otherFirst bool // the other tenant's query has the higher priority
	}{{1, false}, {6, true}} {
		set := testSettings()
		set.Tenants, set.OverQuotaFactor = []Tenant{{Name: "x", Rate: 100}, {Name: "y", Rate: 100}}, 0.05
		h := newHarness(t, set, members("a", "b", "c")...)
		newQuery := func(tenant int, retry bool) *query {
			return &query{tenant: tenant, retry: retry, parts: []*part{{}}}
		}
		for range 4 {
			h.aggregator.priorityRank(newQuery(1, false))
		}
		for range c.repeats {
			h.aggregator.priorityRank(newQuery(0, true))
		}
		retried, other := newQuery(0, true), newQuery(1, false)
		h.aggregator.priorityRank(retried)
		h.aggregator.priorityRank(other)
		if got := retried.priority < other.priority; got != c.otherFirst {
			t.Errorf("after %d repeats: priority %v against %v", c.repeats, retried.priority, other.priority)
		}
	}
}

// TestQueryOfManyPartsIsRejectedUnderLoad checks that, if the whole fleet has queues, a query of many parts is rejected
// because not all of them are expected in time, while a query of a single part is admitted. If only a few replicas are
// slow, both are admitted.
func TestQueryOfManyPartsIsRejectedUnderLoad(t *testing.T) {
	for _, busy := range []bool{true, false} {
		set, all := fleetSettings(30, 3, 1)
		h := newHarness(t, set, all...)
		for i := range 300 {
			id := fmt.Sprint(i)
			h.step(queryEvents(id, time.Second, i%30)...)
			took := 30 * ms
			if late := actionsOf(h.last, Send); i > 60 && len(late) > 0 && (busy || late[0].Replica == "r1") {
				took = 150 * ms
			}
			h.runFor(took)
			h.step(attemptEnded(id+"/0", 0, OK))
		}
		many := make([]int, 100)
		for i := range many {
			many[i] = i % 30
		}
		rejected := len(actionsOf(h.step(queryEvents("many", time.Second, many...)...), Reject)) == 1
		if rejected != busy {
			t.Errorf("busy %v: rejection of the query of many parts: %v", busy, rejected)
		}
		if len(actionsOf(h.step(queryEvents("one", time.Second, 1)...), Reject)) > 0 {
			t.Errorf("busy %v: the query of one part was rejected", busy)
		}
	}
}

// TestLatePartIsShed checks that, if all holders of a shard are slow, a query that permits partial answers leaves out its
// part there and is answered as soon as the others are in. The part is sent if the query needs all its parts, if no replica
// is slow, or if only three aggregators share the load and so expect the part within the objective.
func TestLatePartIsShed(t *testing.T) {
	for _, c := range []struct {
		minShare    float64
		slow        bool
		aggregators int
		parts       int
		complete    bool
	}{{0.5, true, 80, 3, false}, {0.5, false, 80, 4, true}, {1, true, 80, 4, true}, {0.5, true, 3, 4, true}} {
		set, all := fleetSettings(4, 1, c.aggregators)
		set.Limits.Probes = false
		set.Classes[0].MinShare, set.Classes[0].PartialShare = c.minShare, 0.9
		h := newHarness(t, set, all...)
		for i := range 20 { // one shard each; the last one is slow
			h.step(queryEvents(fmt.Sprint(i), 3*time.Second, i%4)...)
			if h.now += 20 * ms; i%4 == 3 && c.slow {
				h.now += 400 * ms
			}
			h.step(attemptEnded(fmt.Sprint(i, "/0"), 0, OK))
		}
		sent := actionsOf(h.step(queryEvents("q", 3*time.Second, 0, 1, 2, 3)...), Send)
		h.now += 20 * ms
		var in []Event
		for _, s := range sent {
			in = append(in, attemptEnded(s.Part, 0, OK))
		}
		answers := actionsOf(h.step(in...), Answer)
		if len(sent) != c.parts || len(answers) != 1 || answers[0].Complete != c.complete {
			t.Errorf("minShare %.1f, slow %v, %d aggregators: %d parts sent, want %d; answers %+v", c.minShare, c.slow, c.aggregators, len(sent), c.parts, answers)
		}
	}
}

// TestOverloadIsShedAndEnds checks that queries are rejected at once with a retry time while the load exceeds the capacity,
// and that all are answered again when the load ends.
func TestOverloadIsShedAndEnds(t *testing.T) {
	load := 0
	f := newReactingFleet(t, testSettings(), nil)
	f.react = func(string) (Outcome, time.Duration) { return OK, time.Duration(50+load) * ms }
	f.run(3*time.Second, 20*ms)
	load = 900
	rejected := actionsOf(f.run(4*time.Second, 20*ms), Reject)
	if len(rejected) < 50 {
		t.Errorf("%d of 200 queries rejected under overload", len(rejected))
	}
	for _, r := range rejected {
		if r.After <= 0 {
			t.Fatalf("query %s rejected without a retry time", r.Query)
		}
	}
	load = 0
	f.run(5*time.Second, 20*ms)
	if answers := actionsOf(f.run(2*time.Second, 20*ms), Answer); len(answers) < 90 {
		t.Errorf("%d of 100 queries answered after the load ended", len(answers))
	}
}
