package agent

import (
	"testing"

	"gullfall/internal/lab/golden"
	"gullfall/internal/maintenance"
)

// TestStoredKeysUnchanged checks that the JSON keys of the stored plan and of a coordinator's record do not change.
func TestStoredKeysUnchanged(t *testing.T) {
	golden.JSON(t, "forms.json", map[string]any{
		"plan":   golden.Filled[maintenance.State](),
		"record": golden.Filled[record](),
	})
}
