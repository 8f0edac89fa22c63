package main

import (
	"testing"

	"gullfall/internal/lab/golden"
	"gullfall/internal/maintenance/agent"
	"gullfall/internal/membership"
	"gullfall/internal/store"
)

// TestOutputForms: the command line's JSON output, the requests and responses on the admin socket, and the lists in the store keep
// the keys of earlier versions.
func TestOutputForms(t *testing.T) {
	golden.JSON(t, "forms.json", map[string]any{
		"dnssd line":      golden.Filled[outputLine](),
		"store":           golden.Filled[storeView](),
		"store note":      golden.Filled[note](),
		"store change":    golden.Filled[store.MemberChange](),
		"store status":    golden.Filled[store.Status](),
		"work word":       golden.Filled[workArgs](),
		"work ask":        golden.Filled[agent.Request](),
		"work view":       golden.Filled[agent.View](),
		"work planned":    golden.Filled[agent.PlanResult](),
		"duties try":      golden.Filled[agent.DutyAttempt](),
		"zones":           golden.Filled[[]zoneView](),
		"peers":           golden.Filled[peersView](),
		"peers forget":    golden.Filled[forgetResult](),
		"learned":         golden.Filled[[]learnedView](),
		"remembered list": golden.Filled[[]membership.Record](),
	})
}
