package model

import (
	"time"

	"gullfall/aggregator"
)

// beginFault applies a fault at its time At.
func (m *Model) beginFault(f Fault) {
	switch {
	case f.Restart > 0:
		k := m.coordinators[f.Restart-1]
		k.incarnation++
		m.figures.Incomplete += len(k.queries) // clients get no answer from the process that ended
		if err := k.start(); err != nil {
			panic(err) // can't happen: the first start succeeded with the same settings
		}
	case f.Zone != "":
		for _, n := range m.nodes {
			switch {
			case n.zone != f.Zone:
			case f.Silent:
				n.goSilent()
			default:
				m.stopProcess(n)
			}
		}
	default:
		n := m.nodes[f.Node]
		n.state = aggregator.Draining
		m.announce(n)
	}
}

// endFault ends a fault at its time Until.
func (m *Model) endFault(f Fault) {
	if f.Zone != "" {
		for _, n := range m.nodes {
			if n.zone == f.Zone {
				n.down, n.overloaded, n.started, n.recentArrivals = false, false, m.now, nil
				m.announce(n)
			}
		}
		return
	}
	if f.Restart > 0 {
		return
	}
	n := m.nodes[f.Node]
	m.stopProcess(n)
	n.state = aggregator.Gone
	m.announce(n)
	next := &dataNode{id: n.id + "'", zone: n.zone, shardSet: n.shardSet, started: m.now}
	m.nodes = append(m.nodes, next)
	m.announce(next)
}

// stopProcess ends a data node's process: open connections are reset and new ones are refused.
func (m *Model) stopProcess(n *dataNode) {
	for _, a := range n.attempts {
		if !a.ended {
			m.after(m.config.NetworkDelay, func() { a.coordinator.endAttempt(a, aggregator.Reset) })
		}
	}
	n.goSilent()
	n.silent = false
}

// announce sends a change of the endpoint list to all coordinators, each after its own random delay.
func (m *Model) announce(n *dataNode) {
	state, started := n.state, n.started
	for _, k := range m.coordinators {
		m.after(time.Duration(float64(m.config.ListLag)*(0.5+m.rng.Float64())), func() {
			if state == aggregator.Draining {
				if _, known := k.drainLearnedAt[n.id]; !known {
					k.drainLearnedAt[n.id] = m.now
				}
			}
			k.handle(aggregator.Event{Kind: aggregator.ListChanged, Members: []aggregator.Member{k.member(n, state, started)}})
			if k.zones != nil {
				k.zones.SetListed(k.wall(), k.model.serving())
			}
			if k.observations != nil && state == aggregator.Serving && started > 0 {
				m.recordFactError(k.observations.ObserveStart(m.now, k.wall(), n.id, m.now-started))
			}
		})
	}
}

// serving returns the zones of the serving data nodes, by node id.
func (m *Model) serving() map[string]string {
	list := map[string]string{}
	for _, n := range m.nodes {
		if n.state == aggregator.Serving {
			list[n.id] = n.zone
		}
	}
	return list
}
