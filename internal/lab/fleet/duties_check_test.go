package fleet

import (
	"testing"

	"gullfall/internal/maintenance/agent"
)

// TestDutyHistory: the checker finds two holders at one moment, two of one token, and a write under an old token, and counts
// hand-overs; a claim that was turned back is none.
func TestDutyHistory(t *testing.T) {
	try := func(who string, at int64, token, index uint64, accepted bool) agent.DutyAttempt {
		x := agent.DutyAttempt{Duty: "d", Who: who, Holds: true, At: at, Token: token, Accepted: accepted, Index: index}
		if !accepted {
			x.Why = "turned back"
		}
		return x
	}
	for _, c := range []struct {
		name                               string
		all                                []agent.DutyAttempt
		double, stale, refused, handedOver int
	}{
		{"one after the other", []agent.DutyAttempt{try("a", 1, 1, 1, true), try("a", 5, 1, 2, true), try("b", 9, 2, 3, true), {Duty: "d", Who: "a", At: 9}}, 0, 0, 0, 1},
		{"an old write is turned back", []agent.DutyAttempt{try("a", 1, 1, 1, true), try("b", 9, 2, 3, true), try("a", 5, 1, 4, false)}, 0, 0, 1, 1},
		{"both at once", []agent.DutyAttempt{try("a", 1, 1, 1, true), try("b", 4, 2, 3, true), try("a", 5, 1, 2, true)}, 1, 0, 0, 0},
		{"one token", []agent.DutyAttempt{try("a", 1, 1, 1, true), try("b", 2, 1, 2, true)}, 1, 0, 0, 0},
		{"an old write is taken", []agent.DutyAttempt{try("a", 1, 1, 4, true), try("b", 9, 2, 3, true)}, 0, 1, 0, 1},
	} {
		var h DutyHistory
		for _, x := range c.all {
			h.Add(x)
		}
		if v := h.Check(); v.Double != c.double || v.Stale != c.stale || v.Refused != c.refused || len(v.Handovers) != c.handedOver {
			t.Errorf("%s: %+v", c.name, v)
		}
	}
}
