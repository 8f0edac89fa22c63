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

// query is a client's query at one coordinator.
type query struct {
	id      string
	arrived time.Duration
	ended   bool
}

// part is a part of a query, for one shard.
type part struct {
	id       string
	query    *query
	work     time.Duration
	attempts []*attempt
}

// attempt is one sending of a part to a data node.
type attempt struct {
	coordinator *coordinator
	part        *part
	number      int
	node        *dataNode
	started     time.Duration
	ended       bool
	job         *job
}

// startQuery takes in a query of a client.
func (k *coordinator) startQuery() {
	m := k.model
	m.lastQuery++
	q := &query{id: fmt.Sprint("q", m.lastQuery), arrived: m.elapsed()}
	k.queries[q.id] = q
	m.arrivedBySlice[int(q.arrived/sliceLength)]++
	in := []aggregator.Event{{Kind: aggregator.QueryArrived, Query: q.id, Tenant: -1, PartCount: m.config.Parts, TimeLeft: deadline}}
	first := m.rng.IntN(m.config.NodesPerZone)
	for i := range m.config.Parts {
		// Work is drawn once for the part: it takes as long wherever it is done.
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
			k.forget(q)
		}
	})
}

// endQuery counts the answer of a query, which is complete or not.
func (k *coordinator) endQuery(id string, complete bool) {
	q := k.queries[id]
	if q == nil {
		return
	}
	switch {
	case !complete:
		k.model.figures.Refused++
	case k.model.elapsed()-q.arrived <= latencyObjective:
		k.model.servedBySlice[int(q.arrived/sliceLength)]++
	default:
		k.model.figures.Late++
	}
	k.forget(q)
}

// forget ends a query, and drops those of its parts that have nothing in flight.
func (k *coordinator) forget(q *query) {
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
			m.figures.Twins++
		}
	}
	if at, drains := k.drainHeard[n.id]; drains && m.now > at+drainGrace {
		m.figures.After++
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
		m.figures.Gone++
	}
	m.after(m.config.NetworkDelay, func() { n.receive(m, a.job) })
	m.after(max(s.After, tick), func() {
		a.job.cancelled = true
		k.endAttempt(a, aggregator.TimedOut)
	})
}

// endAttempt hands the outcome of an attempt to the decision code and its observers; later outcomes of it are ignored.
func (k *coordinator) endAttempt(a *attempt, end aggregator.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	if k.parts[a.part.id] != a.part { // of an earlier incarnation
		return
	}
	m, n := k.model, a.node
	if k.observations != nil {
		switch end {
		case aggregator.OK:
			k.observe(n.id, observations.Answered)
		case aggregator.ConnectFailed, aggregator.Reset:
			k.observe(n.id, observations.Failed)
		}
	}
	if k.zones != nil {
		switch {
		case end == aggregator.OK:
			k.zones.Observe(k.wall(), n.zone, n.id, zones.Good)
		case end == aggregator.ConnectFailed || end == aggregator.Reset:
			k.zones.Observe(k.wall(), n.zone, n.id, zones.Refused)
		case end == aggregator.TimedOut, end == aggregator.Cancelled && k.lastAnswer[n.id] < a.started:
			k.zones.Observe(k.wall(), n.zone, n.id, zones.TimedOut)
		}
	}
	if end == aggregator.OK {
		k.lastAnswer[n.id] = m.now
	}
	k.handle(aggregator.Event{Kind: aggregator.AttemptEnded, Part: a.part.id, Attempt: a.number, Replica: n.id, Outcome: end, Elapsed: m.now - a.started})
	if a.part.query.ended {
		k.forget(a.part.query)
	}
}

// observe writes a fact about a data node that the coordinator has just observed itself.
func (k *coordinator) observe(id string, f observations.Field) {
	k.model.checkFact(k.observations.Observe(k.model.now, k.wall(), id, f, 0))
}
