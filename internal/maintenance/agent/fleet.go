package agent

import (
	"gullfall/internal/coordinator"
	"gullfall/internal/maintenance"
	"gullfall/internal/observations"
)

// fleet returns the fleet as this coordinator sees it.
func (a *Agent) fleet() (*maintenance.Fleet, error) {
	var list []maintenance.Machine
	for _, n := range a.opts.Coordinator.DataNodes() {
		if n.State == coordinator.Gone {
			continue
		}
		m := maintenance.Machine{ID: n.ID, Addr: n.Addr, Zone: n.Zone, ShardSet: n.ShardSet, Weight: n.Weight, Serving: n.State == coordinator.Serving, Utilization: n.Utilization}
		if m.Healthy = m.Serving && !n.WarmingUp && !n.Suspect; !n.Started.IsZero() {
			m.Started = n.Started.UnixMilli()
		}
		if a.opts.Observations != nil {
			m = withObservations(m, a.opts.Observations(n.ID))
		}
		list = append(list, m)
	}
	return maintenance.NewFleet(a.opts.Layout, list)
}

// withObservations adds the reports of other coordinators to a machine. A machine that another coordinator sees as suspect or warming
// up is not healthy. A reported utilization is used only if none is known here.
func withObservations(m maintenance.Machine, v observations.View) maintenance.Machine {
	if m.Healthy = m.Healthy && !v.Suspect && v.WarmupLeft == 0; m.Utilization == 0 && v.Utilization > 0 {
		m.Utilization = v.Utilization
	}
	return m
}
