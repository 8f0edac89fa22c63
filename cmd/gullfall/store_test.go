package main

import (
	"testing"
	"time"

	"gullfall/internal/swim"
)

// TestProposal: who is proposed for removal from the store, and why.
func TestProposal(t *testing.T) {
	now := time.Hour
	seen := map[string]swim.Member{
		"here":    {State: swim.Alive, Since: time.Second},
		"suspect": {State: swim.Suspect, Since: time.Second},
		"just":    {State: swim.Dead, Since: now - goneAfter},
		"dead":    {State: swim.Dead, Since: now - goneAfter - time.Second},
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
		{"nobody", goneAfter, "unknown", ""},
	} {
		if state, why := proposal(seen, c.name, c.now); state != c.state || why != c.why {
			t.Errorf("%s at %v: %q, %q; want %q, %q", c.name, c.now, state, why, c.state, c.why)
		}
	}
}
