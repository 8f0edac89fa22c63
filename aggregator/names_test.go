package aggregator

import (
	"fmt"
	"strings"
	"testing"
)

// TestEveryValueHasAName checks that the values of the enumerations have distinct names and that unknown values print as
// numbers.
func TestEveryValueHasAName(t *testing.T) {
	for typeName, c := range map[string]struct {
		first, last int
		text        func(value int) string
	}{
		"Effect":     {int(Safe), int(Unsafe), func(v int) string { return Effect(v).String() }},
		"State":      {int(Serving), int(Gone), func(v int) string { return State(v).String() }},
		"Outcome":    {int(Unknown), int(ConnectTimeout), func(v int) string { return Outcome(v).String() }},
		"EventKind":  {int(QueryArrived), int(GossipReceived), func(v int) string { return EventKind(v).String() }},
		"ActionKind": {int(Send), int(SendGossip), func(v int) string { return ActionKind(v).String() }},
		"Reason":     {int(NoReplica), int(QueryOfDeath), func(v int) string { return Reason(v).String() }},
	} {
		seen := map[string]bool{}
		for v := c.first; v <= c.last; v++ {
			name := c.text(v)
			if name == "" || seen[name] || strings.Contains(name, "(") {
				t.Errorf("%s %d has the name %q", typeName, v, name)
			}
			seen[name] = true
		}
		if got, want := c.text(c.last+1), fmt.Sprintf("%s(%d)", typeName, c.last+1); got != want {
			t.Errorf("a value beyond the last of %s prints as %q, want %q", typeName, got, want)
		}
	}
}
