package aggregator

import (
	"fmt"
	"testing"
	"time"
)

// TestObservationHoldsUntilTheNextAnswer checks that an aggregator with little traffic, which gets an answer of a replica
// only every few objectives, remembers a slow replica until the next one.
func TestObservationHoldsUntilTheNextAnswer(t *testing.T) {
	set := testSettings()
	f := newReactingFleet(t, set, func(r string) (Outcome, time.Duration) {
		if r == "a" {
			return OK, 300 * ms
		}
		return OK, 20 * ms
	})
	f.run(20*time.Second, 2*time.Second) // each answers every 6 s
	f.run(180*time.Second, 2*time.Second)
	if got := f.sends["a"]; got > 15 {
		t.Errorf("the slow replica of three got %d of 90 parts", got)
	}
}

// TestAbandonedAttemptsCauseRejections checks that, while a replica leaves all parts unanswered, most further queries are
// rejected rather than admitted because nothing is open any more. Later queries are admitted again.
func TestAbandonedAttemptsCauseRejections(t *testing.T) {
	set := testSettings()
	set.ShardSets, set.Shards, set.Reach = 1, 1, 1
	h := newHarness(t, set, Member{Replica: "a"})
	for i := range 40 { // warm up the latency estimates
		for _, s := range actionsOf(h.step(queryEvents(fmt.Sprint("first", i), 3*time.Second, 0)...), Send) {
			h.now += 20 * ms
			h.step(attemptEnded(s.Part, 0, OK))
		}
	}
	for i := range 2 { // the first one alone does not count
		acts := h.step(queryEvents(fmt.Sprint("lost", i), 3*time.Second, 0)...)
		if len(actionsOf(acts, Send)) != 1 {
			t.Fatalf("query %d was not admitted: %+v", i, acts)
		}
		acts = h.runFor(time.Second)
		for _, c := range actionsOf(acts, Cancel) {
			h.step(attemptEnded(c.Part, c.Attempt, TimedOut))
		}
		if len(actionsOf(acts, Reject)) != 1 {
			t.Fatalf("unanswered query %d ended with %+v", i, acts)
		}
	}
	sent := 0
	for i := range 10 {
		sent += len(actionsOf(h.step(queryEvents(fmt.Sprint("soon", i), 3*time.Second, 0)...), Send))
	}
	if sent > 3 {
		t.Errorf("%d of 10 queries were admitted right after the abandoned attempts", sent)
	}
	h.runFor(5 * time.Second)
	if acts := h.step(queryEvents("later", 3*time.Second, 0)...); len(actionsOf(acts, Send)) != 1 {
		t.Errorf("a query long after the abandoned attempts was not admitted: %+v", acts)
	}
}
