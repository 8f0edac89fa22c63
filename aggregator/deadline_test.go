package aggregator

import (
	"testing"
	"time"
)

// TestQueryEndsEarlyEnoughForAPause checks that a query ends early enough to survive a pause of the process of up to a fifth
// of the deadline, or as long as an earlier one.
func TestQueryEndsEarlyEnoughForAPause(t *testing.T) {
	for _, earlierPause := range []time.Duration{0, 800 * ms} {
		set := testSettings()
		set.Classes[0].LateShare = 0.9
		h := newHarness(t, set, members("a", "b", "c")...)
		if earlierPause > 0 {
			h.step(queryEvents("first", 3*time.Second, 0)...)
			h.now += actionsOf(h.last, Wake)[0].After + earlierPause
			h.step(Event{Kind: Wakeup})
		}
		start := h.now
		h.step(queryEvents("q", 2*time.Second, 1)...)
		for i := 0; h.aggregator.queries.byID["q"] != nil && i < 1000; i++ {
			h.runFor(set.Tick)
		}
		if left := start + 2*time.Second - h.now; left < max(600*ms, earlierPause) {
			t.Errorf("earlier pause %v: the query ended %v before its deadline", earlierPause, left)
		}
	}
}
