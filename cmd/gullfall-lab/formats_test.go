package main

import (
	"testing"

	"gullfall/internal/lab/explore"
	"gullfall/internal/lab/fleet"
	"gullfall/internal/lab/fleetlog"
	"gullfall/internal/lab/golden"
	"gullfall/internal/lab/workplan"
)

// TestReportJSONKeys checks that the JSON reports keep the keys of earlier versions.
func TestReportJSONKeys(t *testing.T) {
	golden.JSON(t, "forms.json", map[string]any{
		"demo classes":   golden.Filled[[]classReport](),
		"demo rules":     golden.Filled[[]rule](),
		"dnssd":          golden.Filled[dnssdReport](),
		"duties":         golden.Filled[dutiesReport](),
		"explore":        golden.Filled[explore.Report](),
		"fleet":          golden.Filled[fleetlog.Report](),
		"flight":         golden.Filled[flightReport](),
		"model":          golden.Filled[modelRow](),
		"peers":          golden.Filled[peersReport](),
		"peers sizes":    golden.Filled[sizeRow](),
		"plan":           golden.Filled[workplan.Row](),
		"replicate":      golden.Filled[replicateReport](),
		"work":           golden.Filled[workReport](),
		"zones":          golden.Filled[fleet.ZonePlay](),
		"zones cases":    golden.Filled[fleet.ZoneResult](),
		"zones one play": golden.Filled[zoneRun](),
	})
}
