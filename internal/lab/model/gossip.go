package model

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"gullfall/aggregator"
)

const (
	gossipFanout   = 2  // coordinators to which one sends its facts each period
	maxGossipFacts = 55 // maximum number of facts in one message
)

// gossip sends a coordinator's facts to randomly selected others and schedules the next round.
func (m *Model) gossip(k *coordinator) {
	m.after(m.config.GossipPeriod, func() { m.gossip(k) })
	k.observations.Expire(m.now)
	facts := k.observations.Facts(m.now, maxGossipFacts)
	for range gossipFanout {
		to := m.coordinators[m.rng.IntN(len(m.coordinators))]
		if to == k {
			continue
		}
		m.after(m.config.NetworkDelay, func() {
			for _, f := range facts {
				m.recordFactError(to.observations.Merge(m.now, to.wall(), f))
			}
			to.applyObservations()
		})
	}
}

// applyObservations passes the observations of other coordinators to the decision code and the zone tracker, as internal/coordinator does.
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
