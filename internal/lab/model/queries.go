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

type query struct {
	id      string
	arrived time.Duration
	over    bool
}

type part struct {
	id    string
	q     *query
	work  time.Duration
	tries []*attempt
}

type attempt struct {
	c      *coordinator
	part   *part
	number int
	node   *dataNode
	begun  time.Duration
	over   bool
	job    *job
}

// ask takes a query in.
func (k *coordinator) ask() {
	m := k.m
	m.number++
	q := &query{id: fmt.Sprint("q", m.number), arrived: m.elapsed()}
	k.queries[q.id] = q
	m.asked[int(q.arrived/slice)]++
	in := []aggregator.Event{{Kind: aggregator.QueryArrived, Query: q.id, Tenant: -1, Count: m.c.Parts, TimeLeft: limit}}
	first := m.rng.IntN(m.c.PerZone)
	for i := range m.c.Parts {
		// Work is drawn once for the part: it takes as long wherever it is done.
		work := time.Duration(float64(m.c.Work) * math.Exp(0.5*m.rng.NormFloat64()))
		p := &part{id: fmt.Sprint(q.id, ".", i), q: q, work: work}
		k.parts[p.id] = p
		in = append(in, aggregator.Event{Kind: aggregator.PartArrived, Query: q.id, Part: p.id, Shard: (first + i) % m.c.PerZone, Weight: 1 / float64(m.c.Parts)})
	}
	k.put(in...)
	life := k.life
	m.after(limit, func() {
		if k.life == life && !q.over {
			m.figures.Lost++
			k.forget(q)
		}
	})
}

// final takes in a query's one answer.
func (k *coordinator) final(id string, whole bool) {
	q := k.queries[id]
	if q == nil {
		return
	}
	switch {
	case !whole:
		k.m.figures.Refused++
	case k.m.elapsed()-q.arrived <= aim:
		k.m.served[int(q.arrived/slice)]++
	default:
		k.m.figures.Late++
	}
	k.forget(q)
}

func (k *coordinator) forget(q *query) {
	q.over = true
	delete(k.queries, q.id)
	for i := range k.m.c.Parts {
		id := fmt.Sprint(q.id, ".", i)
		if p := k.parts[id]; p != nil && !slices.ContainsFunc(p.tries, func(a *attempt) bool { return !a.over }) {
			delete(k.parts, id)
		}
	}
}

// send carries an attempt to its data node.
func (k *coordinator) send(s aggregator.Action) {
	m, p := k.m, k.parts[s.Part]
	var n *dataNode
	for _, x := range m.nodes {
		if x.id == s.Replica {
			n = x
		}
	}
	if p == nil || n == nil {
		return
	}
	for _, t := range p.tries {
		if !t.over {
			m.figures.Twins++
		}
	}
	if at, told := k.drained[n.id]; told && m.now > at+grace {
		m.figures.After++
	}
	a := &attempt{c: k, part: p, number: len(p.tries), node: n, begun: m.now}
	a.job = &job{a: a, work: p.work}
	p.tries = append(p.tries, a)
	if len(n.outs) > 64 {
		n.outs = slices.DeleteFunc(n.outs, func(a *attempt) bool { return a.over })
	}
	n.outs = append(n.outs, a)
	m.sent++
	if n.lost {
		m.figures.Gone++
	}
	m.after(m.c.Way, func() { n.take(m, a.job) })
	m.after(max(s.After, tick), func() {
		a.job.off = true
		k.ended(a, aggregator.TimedOut)
	})
}

// ended takes in the end of an attempt, the first one told.
func (k *coordinator) ended(a *attempt, end aggregator.Outcome) {
	if a.over {
		return
	}
	a.over = true
	if k.parts[a.part.id] != a.part { // of an earlier life
		return
	}
	m, n := k.m, a.node
	if k.learned != nil {
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
		case end == aggregator.TimedOut, end == aggregator.Cancelled && k.heard[n.id] < a.begun:
			k.zones.Observe(k.wall(), n.zone, n.id, zones.TimedOut)
		}
	}
	if end == aggregator.OK {
		k.heard[n.id] = m.now
	}
	k.put(aggregator.Event{Kind: aggregator.AttemptEnded, Part: a.part.id, Attempt: a.number, Replica: n.id, Outcome: end, Elapsed: m.now - a.begun})
	if a.part.q.over {
		k.forget(a.part.q)
	}
}

// observe writes a fact about a data node that the coordinator has just observed itself.
func (k *coordinator) observe(id string, f observations.Field) {
	k.m.checkFact(k.learned.Observe(k.m.now, k.wall(), id, f, 0))
}
