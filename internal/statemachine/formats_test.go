package statemachine

import (
	"testing"

	"gullfall/internal/lab/golden"
)

// TestLogAndSnapshotFormats checks that entries of the replicated log, their results and a snapshot of the state keep their JSON
// keys: members of one store may run different versions, and each reads what an earlier one wrote.
func TestLogAndSnapshotFormats(t *testing.T) {
	golden.JSON(t, "forms.json", map[string]any{
		"command":  golden.Filled[Command](),
		"result":   golden.Filled[Result](),
		"snapshot": golden.Filled[snapshotData](),
	})
}
