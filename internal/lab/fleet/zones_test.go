package fleet_test

// The test runs the shorter cases of zone failures, each with five gullfall processes and twelve data nodes in three zones and a fault
// proxy between each coordinator and data node. `gullfall-lab zones --cases` runs all of them.

import (
	"context"
	"slices"
	"testing"
	"time"

	"gullfall/internal/lab/fleet"
)

func TestZonesBetweenProcesses(t *testing.T) {
	binary := buildProgram(t)
	short := []string{"silent", "split view", "two at once", "one stalled, one killed", "told by others", "told, and asked by nobody", "by an operator's word"}
	for _, c := range fleet.ZoneCases {
		if !slices.Contains(short, c.Name) {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(2*time.Minute))
			defer cancel()
			r, err := fleet.RunZoneCase(ctx, c, fleet.ZonesOptions{Coordinators: 5, PerZone: 4, Rate: 20, Binary: binary, Seed: 1})
			if err != nil || r.Broken != "" {
				t.Errorf("%s %v", r.Broken, err)
			}
			t.Logf("%+v", r)
		})
	}
}
