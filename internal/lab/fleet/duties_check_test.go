package fleet

import (
	"testing"

	"gullfall/internal/maintenance/agent"
)

// TestDutyHistory checks that the checker reports two holders at the same time, two holders of one token and an accepted write under
// an old token, and counts handovers; a write under an old token that the store rejected is no violation.
func TestDutyHistory(t *testing.T) {
	try := func(who string, at int64, token, index uint64, accepted bool) agent.DutyAttempt {
		x := agent.DutyAttempt{Duty: "d", Who: who, Holds: true, At: at, Token: token, Accepted: accepted, Index: index}
		if !accepted {
			x.Why = "rejected"
		}
		return x
	}
	for _, c := range []struct {
		name                               string
		attempts                           []agent.DutyAttempt
		double, stale, refused, handedOver int
	}{
		{"consecutive holders", []agent.DutyAttempt{try("a", 1, 1, 1, true), try("a", 5, 1, 2, true), try("b", 9, 2, 3, true), {Duty: "d", Who: "a", At: 9}}, 0, 0, 0, 1},
		{"write under an old token is rejected", []agent.DutyAttempt{try("a", 1, 1, 1, true), try("b", 9, 2, 3, true), try("a", 5, 1, 4, false)}, 0, 0, 1, 1},
		{"two holders at the same time", []agent.DutyAttempt{try("a", 1, 1, 1, true), try("b", 4, 2, 3, true), try("a", 5, 1, 2, true)}, 1, 0, 0, 0},
		{"two holders of one token", []agent.DutyAttempt{try("a", 1, 1, 1, true), try("b", 2, 1, 2, true)}, 1, 0, 0, 0},
		{"write under an old token is accepted", []agent.DutyAttempt{try("a", 1, 1, 4, true), try("b", 9, 2, 3, true)}, 0, 1, 0, 1},
	} {
		var h DutyHistory
		for _, x := range c.attempts {
			h.Add(x)
		}
		if v := h.Check(); v.Double != c.double || v.Stale != c.stale || v.Refused != c.refused || len(v.Handovers) != c.handedOver {
			t.Errorf("%s: %+v", c.name, v)
		}
	}
}
