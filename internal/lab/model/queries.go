package model

import (
	"fmt"
	"math"
	"slices"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/observations"
	"gullfall/internal/zones"
)

// query is a client's query at a coordinator.
type query struct {
	id      string
	arrived time.Duration
	ended   bool
}

// part is the part of a query for one shard.
type part struct {
	id       string
	query    *query
	work     time.Duration
	attempts []*attempt
}

// attempt is one attempt to process a part on a data node.
type attempt struct {
	coordinator *coordinator
	part        *part
	number      int
	node        *dataNode
	started     time.Duration
	ended       bool
	job         *job
}

// startQuery passes a new query and its parts to the decision code.
func (k *coordinator) startQuery() {
	m := k.model
	m.lastQuery++
	q := &query{id: fmt.Sprint("q", m.lastQuery), arrived: m.elapsed()}
	k.queries[q.id] = q
	m.arrivedBySlice[int(q.arrived/sliceLength)]++
	in := []aggregator.Event{{Kind: aggregator.QueryArrived, Query: q.id, Tenant: -1, PartCount: m.config.Parts, TimeLeft: deadline}}
	first := m.rng.IntN(m.config.NodesPerZone)
	for i := range m.config.Parts {
		// Drawn once for the part, so that each of its attempts has the same work.
		work := time.Duration(float64(m.config.Work) * math.Exp(0.5*m.rng.NormFloat64()))
		p := &part{id: fmt.Sprint(q.id, ".", i), query: q, work: work}
		k.parts[p.id] = p
		in = append(in, aggregator.Event{Kind: aggregator.PartArrived, Query: q.id, Part: p.id, Shard: (first + i) % m.config.NodesPerZone, Weight: 1 / float64(m.config.Parts)})
	}
	k.handle(in...)
	incarnation := k.incarnation
	m.after(deadline, func() {
		if k.incarnation == incarnation && !q.ended {
			m.figures.Lost++
			k.removeQuery(q)
		}
	})
}

// endQuery ends a query and counts it by its result: incomplete, in time or late.
func (k *coordinator) endQuery(id string, complete bool) {
	q := k.queries[id]
	if q == nil {
		return
	}
	switch {
	case !complete:
		k.model.figures.Incomplete++
	case k.model.elapsed()-q.arrived <= latencyObjective:
		k.model.servedBySlice[int(q.arrived/sliceLength)]++
	default:
		k.model.figures.Late++
	}
	k.removeQuery(q)
}

// removeQuery marks a query as ended and removes those of its parts that have no attempt in flight.
func (k *coordinator) removeQuery(q *query) {
	q.ended = true
	delete(k.queries, q.id)
	for i := range k.model.config.Parts {
		id := fmt.Sprint(q.id, ".", i)
		if p := k.parts[id]; p != nil && !slices.ContainsFunc(p.attempts, func(a *attempt) bool { return !a.ended }) {
			delete(k.parts, id)
		}
	}
}

// send sends a part to a data node.
func (k *coordinator) send(s aggregator.Action) {
	m, p := k.model, k.parts[s.Part]
	var n *dataNode
	for _, x := range m.nodes {
		if x.id == s.Replica {
			n = x
		}
	}
	if p == nil || n == nil {
		return
	}
	for _, t := range p.attempts {
		if !t.ended {
			m.figures.ConcurrentAttempts++
		}
	}
	if at, drains := k.drainLearnedAt[n.id]; drains && m.now > at+drainGrace {
		m.figures.SentAfterGrace++
	}
	a := &attempt{coordinator: k, part: p, number: len(p.attempts), node: n, started: m.now}
	a.job = &job{attempt: a, work: p.work}
	p.attempts = append(p.attempts, a)
	if len(n.attempts) > 64 {
		n.attempts = slices.DeleteFunc(n.attempts, func(a *attempt) bool { return a.ended })
	}
	n.attempts = append(n.attempts, a)
	m.attemptsSent++
	if n.down {
		m.figures.SentToDown++
	}
	m.after(m.config.NetworkDelay, func() { n.receive(m, a.job) })
	m.after(max(s.After, tick), func() {
		a.job.cancelled = true
		k.endAttempt(a, aggregator.TimedOut)
	})
}

// endAttempt passes the first outcome of an attempt to the decision code, the zone tracker and the observations; later ones are ignored.
func (k *coordinator) endAttempt(a *attempt, end aggregator.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	if k.parts[a.part.id] != a.part { // an attempt of an earlier incarnation
		return
	}
	m, n := k.model, a.node
	if k.observations != nil {
		switch end {
		case aggregator.OK:
			k.recordObservation(n.id, observations.Answered)
		case aggregator.ConnectFailed, aggregator.Reset:
			k.recordObservation(n.id, observations.Failed)
		}
	}
	if k.zones != nil {
		switch {
		case end == aggregator.OK:
			k.zones.Observe(k.wall(), n.zone, n.id, zones.Good)
		case end == aggregator.ConnectFailed || end == aggregator.Reset:
			k.zones.Observe(k.wall(), n.zone, n.id, zones.Refused)
		case end == aggregator.TimedOut, end == aggregator.Cancelled && k.lastAnswerAt[n.id] < a.started:
			k.zones.Observe(k.wall(), n.zone, n.id, zones.TimedOut)
		}
	}
	if end == aggregator.OK {
		k.lastAnswerAt[n.id] = m.now
	}
	k.handle(aggregator.Event{Kind: aggregator.AttemptEnded, Part: a.part.id, Attempt: a.number, Replica: n.id, Outcome: end, Elapsed: m.now - a.started})
	if a.part.query.ended {
		k.removeQuery(a.part.query)
	}
}

// recordObservation records a fact about a data node that the coordinator itself has just observed.
func (k *coordinator) recordObservation(id string, f observations.Field) {
	k.model.recordFactError(k.observations.Observe(k.model.now, k.wall(), id, f, 0))
}
