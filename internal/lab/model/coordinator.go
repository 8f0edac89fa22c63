package model

// This file owns a coordinator of the model: it hands its module what happens and carries out what that says, and data nodes do the
// work. It must never send what the module did not.

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/observations"
	"gullfall/internal/zones"
)

// start begins a life: all that it knows is the list.
func (k *coordinator) start() (err error) {
	m := k.m
	if k.agg, err = aggregator.New(m.c.settings(), m.c.Seed*1000+uint64(k.index)+uint64(k.life)*77); err != nil {
		return err
	}
	k.inbox, k.due, k.since = nil, -1, m.now
	k.parts, k.queries, k.heard, k.drained = map[string]*part{}, map[string]*query{}, map[string]time.Duration{}, map[string]time.Duration{}
	if m.c.Verdicts {
		if k.zones, err = zones.New(zones.Config{Seed: m.c.Seed*1000 + uint64(k.index)}); err != nil {
			return err
		}
		k.zones.List(k.wall(), m.serving())
	}
	if m.c.Share {
		if k.learned, err = observations.New(observations.Config{Self: fmt.Sprint("c", k.index), WarmupTime: warm}); err != nil {
			return err
		}
	}
	var list []aggregator.Member
	for _, n := range m.nodes {
		if n.state == aggregator.Serving {
			list = append(list, k.member(n, n.state, n.started))
		}
	}
	k.put(aggregator.Event{Kind: aggregator.ListReplaced, Members: list})
	return nil
}

func (k *coordinator) wall() time.Time { return epoch.Add(k.m.now) }

// member is a data node as the module is told of it, with its zone's verdict and what others tell of its start, as core does.
func (k *coordinator) member(n *dataNode, state aggregator.State, started time.Duration) aggregator.Member {
	out := aggregator.Member{Replica: n.id, ShardSet: n.cell, Zone: n.zone, State: state, Started: started, Size: 1}
	if k.learned != nil {
		if v := k.learned.Of(k.m.now, n.id); v.WarmingFor > 0 {
			out.Started = max(out.Started, k.m.now-v.Started)
		}
	}
	if k.zones != nil {
		if out.State == aggregator.Serving && !k.zones.Usable(n.zone) {
			out.State = aggregator.Draining
		}
		if since, ok := k.zones.WarmingSince(n.zone); ok {
			out.Started = max(out.Started, since.Sub(epoch))
		}
	}
	return out
}

// put hands over what happened; the module's turn comes a tick after the last one at the soonest.
func (k *coordinator) put(list ...aggregator.Event) {
	k.inbox = append(k.inbox, list...)
	k.plan(max(k.m.now, k.last+tick))
}

func (k *coordinator) plan(at time.Duration) {
	if k.due >= 0 && k.due <= at {
		return
	}
	k.due = at
	life := k.life
	k.m.at(at, func() {
		if k.life == life && k.due == at {
			k.turn()
		}
	})
}

// turn steps the module.
func (k *coordinator) turn() {
	m := k.m
	k.due, k.last = -1, m.now
	in := k.inbox
	k.inbox = nil
	if k.zones != nil {
		in = append(in, k.verdicts()...)
	}
	if len(in) == 0 {
		in = []aggregator.Event{{Kind: aggregator.Wakeup}}
	}
	for _, a := range k.agg.Step(m.now, in, nil) {
		switch a.Kind {
		case aggregator.Send:
			k.send(a)
		case aggregator.Cancel:
			if p := k.parts[a.Part]; p != nil && a.Attempt < len(p.tries) {
				t := p.tries[a.Attempt]
				t.job.off = true
				m.after(tick, func() { k.ended(t, aggregator.Cancelled) })
			}
		case aggregator.Answer:
			k.final(a.Query, a.Complete)
		case aggregator.Reject, aggregator.Fail:
			k.final(a.Query, false)
		case aggregator.Probe:
			k.probe(a.Replica)
		case aggregator.Wake:
			k.plan(m.now + max(a.After, tick))
		}
	}
}

// verdicts takes the zones' verdicts, and returns what changed for the module.
func (k *coordinator) verdicts() (out []aggregator.Event) {
	changes := k.zones.Step(k.wall())
	for _, c := range changes {
		if c.To == zones.Out && k.learned != nil {
			for _, id := range k.zones.Failing(k.wall(), c.Zone) {
				k.observe(id, observations.Failed)
			}
		}
		e := aggregator.Event{Kind: aggregator.ListChanged}
		for _, n := range k.m.nodes {
			if n.zone == c.Zone && n.state == aggregator.Serving {
				e.Members = append(e.Members, k.member(n, n.state, n.started))
			}
		}
		out = append(out, e)
	}
	for _, s := range k.zones.All(k.wall()) {
		if s.State != zones.Healthy || s.Failing > 0 {
			k.plan(k.m.now + 100*time.Millisecond)
			break
		}
	}
	return out
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

func (k *coordinator) probe(replica string) {
	for _, n := range k.m.nodes {
		if n.id != replica {
			continue
		}
		end, takes := aggregator.OK, 2*k.m.c.Way
		if n.lost || n.fallen {
			if end = aggregator.ConnectFailed; n.silent {
				end, takes = aggregator.TimedOut, 250*time.Millisecond
			}
		}
		life := k.life
		k.m.after(takes, func() {
			if k.life == life {
				k.put(aggregator.Event{Kind: aggregator.ProbeEnded, Replica: replica, Outcome: end, Elapsed: takes})
			}
		})
	}
}

// take begins a part, or lets it wait; a cold data node that is sent too much falls over.
func (n *dataNode) take(m *Model, j *job) {
	k := j.a.c
	switch {
	case n.lost && n.silent:
		return
	case n.lost || n.fallen:
		m.after(m.c.Way, func() { k.ended(j.a, aggregator.ConnectFailed) })
		return
	}
	if n.started > 0 && m.now < n.started+warm {
		n.lately = slices.DeleteFunc(n.lately, func(a arrival) bool { return a.at < m.now-time.Second })
		n.lately = append(n.lately, arrival{m.now, j.work.Seconds()})
		sum := 0.0
		for _, a := range n.lately {
			sum += a.work
		}
		if sum > falls*n.capacity(m.now)*float64(m.c.Cores) {
			m.figures.Fell++
			m.refuse(n)
			n.fallen = true
			return
		}
	}
	n.queue = append(n.queue, j)
	n.next(m)
}

// next begins what waits while a core is free.
func (n *dataNode) next(m *Model) {
	for n.busy < m.c.Cores && len(n.queue) > 0 {
		j := n.queue[0]
		if n.queue = n.queue[1:]; j.off {
			continue
		}
		n.busy++
		life := n.life
		m.after(time.Duration(float64(j.work)/n.capacity(m.now)), func() {
			if n.life != life {
				return
			}
			n.busy--
			if !j.off {
				m.after(m.c.Way, func() { j.a.c.ended(j.a, aggregator.OK) })
			}
			n.next(m)
		})
	}
}

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
