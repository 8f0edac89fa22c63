package model

import (
	"time"

	"gullfall/aggregator"
)

// beginFault carries out what happens at a fault's At.
func (m *Model) beginFault(f Fault) {
	switch {
	case f.Restart > 0:
		k := m.coordinators[f.Restart-1]
		k.incarnation++
		m.figures.Refused += len(k.queries) // clients get no answer from a process that ended
		if err := k.start(); err != nil {
			panic(err) // the first start had the same settings
		}
	case f.Zone != "":
		for _, n := range m.nodes {
			switch {
			case n.zone != f.Zone:
			case f.Silent:
				n.shutDown()
			default:
				m.refuse(n)
			}
		}
	default:
		n := m.nodes[f.Node]
		n.state = aggregator.Draining
		m.announce(n)
	}
}

// endFault carries out what happens at a fault's Until.
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
	m.refuse(n)
	n.state = aggregator.Gone
	m.announce(n)
	next := &dataNode{id: n.id + "'", zone: n.zone, shardSet: n.shardSet, started: m.now}
	m.nodes = append(m.nodes, next)
	m.announce(next)
}

// refuse ends a data node's process: what runs there is reset and what is sent there is refused.
func (m *Model) refuse(n *dataNode) {
	for _, a := range n.attempts {
		if !a.ended {
			m.after(m.config.NetworkDelay, func() { a.coordinator.endAttempt(a, aggregator.Reset) })
		}
	}
	n.shutDown()
	n.silent = false
}

// announce tells all coordinators of a change of the endpoint list, each after a delay of its own.
func (m *Model) announce(n *dataNode) {
	state, started := n.state, n.started
	for _, k := range m.coordinators {
		m.after(time.Duration(float64(m.config.ListLag)*(0.5+m.rng.Float64())), func() {
			if state == aggregator.Draining {
				if _, known := k.drainHeard[n.id]; !known {
					k.drainHeard[n.id] = m.now
				}
			}
			k.handle(aggregator.Event{Kind: aggregator.ListChanged, Members: []aggregator.Member{k.member(n, state, started)}})
			if k.zones != nil {
				k.zones.SetListed(k.wall(), k.model.serving())
			}
			if k.observations != nil && state == aggregator.Serving && started > 0 {
				m.checkFact(k.observations.ObserveStart(m.now, k.wall(), n.id, m.now-started))
			}
		})
	}
}

// serving returns the zones of the data nodes that serve, by id.
func (m *Model) serving() map[string]string {
	list := map[string]string{}
	for _, n := range m.nodes {
		if n.state == aggregator.Serving {
			list[n.id] = n.zone
		}
	}
	return list
}
