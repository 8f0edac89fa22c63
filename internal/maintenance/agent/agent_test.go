package agent

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"gullfall/internal/maintenance"
	"gullfall/internal/observations"
)

// TestOthersObservations: reports of other coordinators make a machine unhealthy, never healthy, and its load known where it was
// not.
func TestOthersObservations(t *testing.T) {
	unknown := observations.View{Latency: -1, Utilization: -1}
	for _, c := range []struct {
		name string
		m    maintenance.Machine
		v    observations.View
		want maintenance.Machine
	}{
		{"nothing told", maintenance.Machine{Healthy: true, Util: 0.2}, unknown, maintenance.Machine{Healthy: true, Util: 0.2}},
		{"it fails for another", maintenance.Machine{Healthy: true}, observations.View{Suspect: true, Utilization: -1}, maintenance.Machine{}},
		{"it is cold to another", maintenance.Machine{Healthy: true}, observations.View{WarmupLeft: time.Second, Utilization: -1}, maintenance.Machine{}},
		{"well for others, and not here", maintenance.Machine{}, observations.View{Latency: 0.1, Utilization: -1}, maintenance.Machine{}},
		{"its load is known to another only", maintenance.Machine{Healthy: true}, observations.View{Utilization: 0.6}, maintenance.Machine{Healthy: true, Util: 0.6}},
		{"and here", maintenance.Machine{Healthy: true, Util: 0.3}, observations.View{Utilization: 0.6}, maintenance.Machine{Healthy: true, Util: 0.3}},
	} {
		if d := cmp.Diff(c.want, withObservations(c.m, c.v), cmpopts.IgnoreUnexported(maintenance.Machine{})); d != "" {
			t.Errorf("%s (-want +got)\n%s", c.name, d)
		}
	}
}
