package model

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"gullfall/aggregator"
)

// tell passes a coordinator's facts to two others, and what it holds by others' word to its own verdicts; once a period.
func (m *Model) tell(k *coordinator) {
	m.after(m.c.Period, func() { m.tell(k) })
	k.learned.Step(m.now)
	facts := k.learned.Facts(m.now, 55)
	for range 2 {
		to := m.coords[m.rng.IntN(len(m.coords))]
		if to == k {
			continue
		}
		m.after(m.c.Way, func() {
			for _, f := range facts {
				m.checkFact(to.learned.Merge(m.now, to.wall(), f))
			}
			to.hear()
		})
	}
}

// hear makes use of what others have told, as core does.
func (k *coordinator) hear() {
	all := k.learned.All(k.m.now)
	e := aggregator.Event{Kind: aggregator.ListChanged}
	for _, id := range slices.Sorted(maps.Keys(all)) {
		v := all[id]
		for _, n := range k.m.nodes {
			if n.id != id || n.state != aggregator.Serving {
				continue
			}
			if v.WarmingFor > 0 && k.m.now-v.Started > n.started+2*time.Second {
				e.Members = append(e.Members, k.member(n, n.state, n.started))
			}
			if k.zones != nil && v.Suspect && v.FailedBy != fmt.Sprint("c", k.index) {
				k.zones.ObservePeer(k.wall(), n.zone, id, v.Failed, v.Answered)
			}
		}
	}
	if len(e.Members) > 0 || k.zones != nil {
		k.put(e)
	}
}
