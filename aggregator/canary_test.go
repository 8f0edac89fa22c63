package aggregator

import (
	"fmt"
	"testing"
	"time"
)

// TestQueryOfDeathReachesFewReplicas checks that a query that crashes every replica that runs it reaches only a few more
// replicas once some have crashed, also when the client sends it again. A query that has had an answer continues after a
// reset.
func TestQueryOfDeathReachesFewReplicas(t *testing.T) {
	set, all := fleetSettings(30, 3, 40)
	set.Rules.OverloadMultiple = 0
	h := newHarness(t, set, all...)
	shards := make([]int, 20)
	for i := range shards {
		shards[i] = i
	}
	crashed := map[string]bool{}
	for try := range 3 {
		acts := h.step(queryEvents(fmt.Sprint("k", try), 3*time.Second, shards...)...)
		rejected := 0
		for range 20 {
			var events []Event
			rejected += len(actionsOf(acts, Reject))
			for _, s := range actionsOf(acts, Send) {
				if crashed[s.Replica] = true; h.attempts[s.Part] > 2 {
					t.Errorf("round %d: part %s was sent %d times", try, s.Part, h.attempts[s.Part])
				}
				events = append(events, attemptEnded(s.Part, h.attempts[s.Part]-1, Reset))
			}
			for _, s := range actionsOf(acts, Probe) {
				events = append(events, Event{Kind: ProbeEnded, Replica: s.Replica, Outcome: OK})
			}
			h.now += h.settings.Tick
			acts = h.step(append(events, Event{Kind: Wakeup})...)
		}
		if rejected != 1 {
			t.Errorf("round %d: %d rejections within a tenth of a second, want 1", try, rejected)
		}
		if h.now += 2 * time.Second; try == 0 {
			clear(crashed) // the crashes of the first query don't count: nothing announces them
		}
	}
	if len(crashed) > 4 {
		t.Errorf("the repeated query crashed %d replicas", len(crashed))
	}
	// A harmless query: one part is answered, and one is reset and sent again.
	h = newHarness(t, set, all...)
	h.step(queryEvents("s", 3*time.Second, 0, 15)...)
	h.step(attemptEnded("s/0", 0, OK))
	h.step(attemptEnded("s/1", 0, Reset))
	h.runFor(300 * ms)
	if h.attempts["s/1"] != 2 {
		t.Errorf("%d attempts of a part that was reset once, want 2", h.attempts["s/1"])
	}
}
