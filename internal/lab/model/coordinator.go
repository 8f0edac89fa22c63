package model

import (
	"fmt"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/observations"
	"gullfall/internal/zones"
)

type coordinator struct {
	m       *Model
	index   int
	life    int // how often it was started
	agg     *aggregator.Aggregator
	zones   *zones.Tracker
	learned *observations.Table
	since   time.Duration
	inbox   []aggregator.Event
	due     time.Duration // of the next turn; below 0 for none
	last    time.Duration
	parts   map[string]*part
	queries map[string]*query
	heard   map[string]time.Duration // by data node: its last answer
	drained map[string]time.Duration // and when a drain of it was heard
}

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
