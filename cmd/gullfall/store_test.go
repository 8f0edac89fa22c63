package main

import (
	"testing"
	"time"

	"gullfall/internal/swim"
)

// TestRemovalProposal: a member is proposed for removal once it has been dead, gone or unknown for longer than
// proposeRemovalAfter.
func TestRemovalProposal(t *testing.T) {
	now := time.Hour
	seen := map[string]swim.Member{
		"here":    {State: swim.Alive, Since: time.Second},
		"suspect": {State: swim.Suspect, Since: time.Second},
		"just":    {State: swim.Dead, Since: now - proposeRemovalAfter},
		"dead":    {State: swim.Dead, Since: now - proposeRemovalAfter - time.Second},
		"left":    {State: swim.Left, Since: time.Second},
	}
	for _, c := range []struct {
		name       string
		now        time.Duration
		state, why string
	}{
		{"here", now, "alive", ""},
		{"suspect", now, "suspect", ""},
		{"just", now, "dead", ""},
		{"dead", now, "dead", "dead for 10m1s"},
		{"left", now, "left", "left for 59m59s"},
		{"nobody", now, "unknown", "forgotten, or not seen since this coordinator started"},
		{"nobody", proposeRemovalAfter, "unknown", ""},
	} {
		if state, why := removalProposal(seen, c.name, c.now); state != c.state || why != c.why {
			t.Errorf("%s at %v: %q, %q; want %q, %q", c.name, c.now, state, why, c.state, c.why)
		}
	}
}
