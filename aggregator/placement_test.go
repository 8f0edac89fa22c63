package aggregator

import (
	"testing"
	"time"
)

// TestPartsOfAQueryAreSpread checks that the parts of a query go to the replicas with the fewest open calls of this
// aggregator.
func TestPartsOfAQueryAreSpread(t *testing.T) {
	a, err := New(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	events := []Event{{Kind: ListCached, Members: members("a", "b", "c")},
		{Kind: QueryArrived, Query: "q", Tenant: -1, PartCount: 3, TimeLeft: 3 * time.Second}}
	for i, id := range []string{"p0", "p1", "p2"} {
		events = append(events, Event{Kind: PartArrived, Query: "q", Part: id, Shard: i, Weight: 1.0 / 3})
	}
	used := map[string]int{}
	for _, act := range a.Step(time.Second, events, nil) {
		if act.Kind == Send {
			used[act.Replica]++
		}
	}
	for _, r := range []string{"a", "b", "c"} {
		if used[r] != 1 {
			t.Errorf("replica %s got %d parts, want 1", r, used[r])
		}
	}
}
