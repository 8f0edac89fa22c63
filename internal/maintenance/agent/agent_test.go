package agent

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"gullfall/internal/maintenance"
	"gullfall/internal/observations"
)

// TestWithObservations checks that reports of other coordinators can make a machine unhealthy but never healthy, and supply its
// utilization only if it is unknown here.
func TestWithObservations(t *testing.T) {
	unknown := observations.View{Latency: -1, Utilization: -1}
	for _, c := range []struct {
		name string
		m    maintenance.Machine
		v    observations.View
		want maintenance.Machine
	}{
		{"no reports", maintenance.Machine{Healthy: true, Utilization: 0.2}, unknown, maintenance.Machine{Healthy: true, Utilization: 0.2}},
		{"suspect at another coordinator", maintenance.Machine{Healthy: true}, observations.View{Suspect: true, Utilization: -1}, maintenance.Machine{}},
		{"warming up at another coordinator", maintenance.Machine{Healthy: true}, observations.View{WarmupLeft: time.Second, Utilization: -1}, maintenance.Machine{}},
		{"healthy elsewhere but not here", maintenance.Machine{}, observations.View{Latency: 0.1, Utilization: -1}, maintenance.Machine{}},
		{"utilization known only elsewhere", maintenance.Machine{Healthy: true}, observations.View{Utilization: 0.6}, maintenance.Machine{Healthy: true, Utilization: 0.6}},
		{"utilization known here and elsewhere", maintenance.Machine{Healthy: true, Utilization: 0.3}, observations.View{Utilization: 0.6}, maintenance.Machine{Healthy: true, Utilization: 0.3}},
	} {
		if d := cmp.Diff(c.want, withObservations(c.m, c.v), cmpopts.IgnoreUnexported(maintenance.Machine{})); d != "" {
			t.Errorf("%s (-want +got)\n%s", c.name, d)
		}
	}
}
