package model

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"gullfall/aggregator"
)

// gossipFanout is to how many coordinators one sends its facts each period, and gossipFacts the most that it sends to each.
const (
	gossipFanout = 2
	gossipFacts  = 55
)

// gossip sends a coordinator's facts to others, once a period.
func (m *Model) gossip(k *coordinator) {
	m.after(m.config.GossipPeriod, func() { m.gossip(k) })
	k.observations.Expire(m.now)
	facts := k.observations.Facts(m.now, gossipFacts)
	for range gossipFanout {
		to := m.coordinators[m.rng.IntN(len(m.coordinators))]
		if to == k {
			continue
		}
		m.after(m.config.NetworkDelay, func() {
			for _, f := range facts {
				m.checkFact(to.observations.Merge(m.now, to.wall(), f))
			}
			to.applyObservations()
		})
	}
}

// applyObservations hands what others have observed to the decision code and the judgement of zones, as in internal/coordinator.
func (k *coordinator) applyObservations() {
	all := k.observations.Views(k.model.now)
	e := aggregator.Event{Kind: aggregator.ListChanged}
	for _, id := range slices.Sorted(maps.Keys(all)) {
		v := all[id]
		for _, n := range k.model.nodes {
			if n.id != id || n.state != aggregator.Serving {
				continue
			}
			if v.WarmupLeft > 0 && k.model.now-v.StartAge > n.started+2*time.Second {
				e.Members = append(e.Members, k.member(n, n.state, n.started))
			}
			if k.zones != nil && v.Suspect && v.FailedBy != fmt.Sprint("c", k.index) {
				k.zones.ObservePeer(k.wall(), n.zone, id, v.FailedAge, v.AnsweredAge)
			}
		}
	}
	if len(e.Members) > 0 || k.zones != nil {
		k.handle(e)
	}
}
