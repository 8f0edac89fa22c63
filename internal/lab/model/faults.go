package model

import (
	"time"

	"gullfall/aggregator"
)

// begin and end carry a fault out.
func (m *Model) begin(f Fault) {
	switch {
	case f.Restart > 0:
		k := m.coords[f.Restart-1]
		k.life++
		m.figures.Refused += len(k.queries) // they died with it
		if err := k.start(); err != nil {
			panic(err) // the same settings were taken before
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
		m.listed(n)
	}
}

func (m *Model) end(f Fault) {
	if f.Zone != "" {
		for _, n := range m.nodes {
			if n.zone == f.Zone {
				n.lost, n.fallen, n.started, n.lately = false, false, m.now, nil
				m.listed(n)
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
	m.listed(n)
	next := &dataNode{id: n.id + "'", zone: n.zone, cell: n.cell, started: m.now}
	m.nodes = append(m.nodes, next)
	m.listed(next)
}

// refuse ends a data node's process: what runs there is reset and what is sent there is refused.
func (m *Model) refuse(n *dataNode) {
	for _, a := range n.outs {
		if !a.over {
			m.after(m.c.Way, func() { a.c.ended(a, aggregator.Reset) })
		}
	}
	n.shutDown()
	n.silent = false
}

// listed tells all coordinators of a change, each when it hears of it.
func (m *Model) listed(n *dataNode) {
	state, started := n.state, n.started
	for _, k := range m.coords {
		m.after(time.Duration(float64(m.c.ListLag)*(0.5+m.rng.Float64())), func() {
			if state == aggregator.Draining {
				if _, known := k.drained[n.id]; !known {
					k.drained[n.id] = m.now
				}
			}
			k.put(aggregator.Event{Kind: aggregator.ListChanged, Members: []aggregator.Member{k.member(n, state, started)}})
			if k.zones != nil {
				k.zones.List(k.wall(), k.m.serving())
			}
			if k.learned != nil && state == aggregator.Serving && started > 0 {
				m.checkFact(k.learned.ObserveStart(m.now, k.wall(), n.id, m.now-started))
			}
		})
	}
}

func (m *Model) serving() map[string]string {
	list := map[string]string{}
	for _, n := range m.nodes {
		if n.state == aggregator.Serving {
			list[n.id] = n.zone
		}
	}
	return list
}
