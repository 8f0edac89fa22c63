package explore

import (
	"strings"
	"testing"
)

// TestNoReachableStateBreaksARule explores all states within small limits: no state may break a rule, and the
// request must be able to end from each.
func TestNoReachableStateBreaksARule(t *testing.T) {
	for _, l := range []Limits{
		{Machines: 3, Sends: 2, States: 1_000_000},
		{Machines: 2, Faults: 1, Sends: 1, States: 1_000_000},
		{Machines: 2, Orders: 2, Sends: 1, States: 1_000_000},
	} {
		r := Explore(l, None)
		if r.BrokenRule != "" || !r.Complete || r.EndStates == 0 {
			t.Errorf("%+v: broken rule %q, complete %v, %d end states\n%s", l, r.BrokenRule, r.Complete, r.EndStates, strings.Join(r.Path, "\n"))
		}
		t.Logf("%+v: %d states, %d events deep, in %v", l, r.States, r.Distance, r.Elapsed)
	}
}

// TestSeededBugsAreFound checks that the explorer finds each seeded bug within small limits.
func TestSeededBugsAreFound(t *testing.T) {
	for _, bug := range Bugs {
		found := false
		for _, l := range []Limits{{Machines: 2, Faults: 1, Sends: 1, States: 1_000_000}, {Machines: 2, Faults: 1, Orders: 1, Sends: 1, States: 2_000_000}} {
			r := Explore(l, bug)
			if found = r.BrokenRule != ""; found {
				t.Logf("%s: %s after %d events (%d states in %v)", bug, r.BrokenRule, len(r.Path), r.States, r.Elapsed)
				break
			}
		}
		if !found {
			t.Errorf("seeded bug not found: %s", bug)
		}
	}
}
