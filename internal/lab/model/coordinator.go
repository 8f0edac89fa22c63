package model

import (
	"fmt"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/observations"
	"gullfall/internal/zones"
)

// coordinator runs the decision code of one coordinator: it hands over events and carries out actions.
type coordinator struct {
	model        *Model
	index        int
	incarnation  int // how often it was restarted; work of an earlier one is dropped
	aggregator   *aggregator.Aggregator
	zones        *zones.Tracker
	observations *observations.Table
	events       []aggregator.Event
	nextStep     time.Duration // when the decision code steps next; below 0 for never
	lastStep     time.Duration
	parts        map[string]*part
	queries      map[string]*query
	lastAnswer   map[string]time.Duration // by data node
	drainHeard   map[string]time.Duration // by data node: when this coordinator heard that it drains
}

// start starts the process, which knows nothing but the endpoint list.
func (k *coordinator) start() (err error) {
	m := k.model
	if k.aggregator, err = aggregator.New(m.config.settings(), m.config.Seed*1000+uint64(k.index)+uint64(k.incarnation)*77); err != nil {
		return err
	}
	k.events, k.nextStep = nil, -1
	k.parts, k.queries, k.lastAnswer, k.drainHeard = map[string]*part{}, map[string]*query{}, map[string]time.Duration{}, map[string]time.Duration{}
	if m.config.JudgeZones {
		if k.zones, err = zones.New(zones.Config{Seed: m.config.Seed*1000 + uint64(k.index)}); err != nil {
			return err
		}
		k.zones.SetListed(k.wall(), m.serving())
	}
	if m.config.Gossip {
		if k.observations, err = observations.New(observations.Config{Self: fmt.Sprint("c", k.index), WarmupTime: warmupTime}); err != nil {
			return err
		}
	}
	var list []aggregator.Member
	for _, n := range m.nodes {
		if n.state == aggregator.Serving {
			list = append(list, k.member(n, n.state, n.started))
		}
	}
	k.handle(aggregator.Event{Kind: aggregator.ListReplaced, Members: list})
	return nil
}

func (k *coordinator) wall() time.Time { return epoch.Add(k.model.now) }

// member is a data node as the decision code sees it: with its zone's state, and the start that others have observed, as in
// internal/coordinator.
func (k *coordinator) member(n *dataNode, state aggregator.State, started time.Duration) aggregator.Member {
	out := aggregator.Member{Replica: n.id, ShardSet: n.shardSet, Zone: n.zone, State: state, Started: started, Size: 1}
	if k.observations != nil {
		if v := k.observations.View(k.model.now, n.id); v.WarmupLeft > 0 {
			out.Started = max(out.Started, k.model.now-v.StartAge)
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

// handle queues events for the decision code, which steps a tick after its last step at the earliest.
func (k *coordinator) handle(list ...aggregator.Event) {
	k.events = append(k.events, list...)
	k.scheduleStep(max(k.model.now, k.lastStep+tick))
}

// scheduleStep lets the decision code step at a time, unless it does so before.
func (k *coordinator) scheduleStep(at time.Duration) {
	if k.nextStep >= 0 && k.nextStep <= at {
		return
	}
	k.nextStep = at
	incarnation := k.incarnation
	k.model.at(at, func() {
		if k.incarnation == incarnation && k.nextStep == at {
			k.step()
		}
	})
}

// step steps the decision code and carries out its actions.
func (k *coordinator) step() {
	m := k.model
	k.nextStep, k.lastStep = -1, m.now
	in := k.events
	k.events = nil
	if k.zones != nil {
		in = append(in, k.stepZones()...)
	}
	if len(in) == 0 {
		in = []aggregator.Event{{Kind: aggregator.Wakeup}}
	}
	for _, a := range k.aggregator.Step(m.now, in, nil) {
		switch a.Kind {
		case aggregator.Send:
			k.send(a)
		case aggregator.Cancel:
			if p := k.parts[a.Part]; p != nil && a.Attempt < len(p.attempts) {
				t := p.attempts[a.Attempt]
				t.job.cancelled = true
				m.after(tick, func() { k.endAttempt(t, aggregator.Cancelled) })
			}
		case aggregator.Answer:
			k.endQuery(a.Query, a.Complete)
		case aggregator.Reject, aggregator.Fail:
			k.endQuery(a.Query, false)
		case aggregator.Probe:
			k.probe(a.Replica)
		case aggregator.Wake:
			k.scheduleStep(m.now + max(a.After, tick))
		}
	}
}

// stepZones steps the judgement of zones, and returns what it changes for the decision code.
func (k *coordinator) stepZones() (out []aggregator.Event) {
	changes := k.zones.Step(k.wall())
	for _, c := range changes {
		if c.To == zones.Out && k.observations != nil {
			for _, id := range k.zones.Failing(k.wall(), c.Zone) {
				k.observe(id, observations.Failed)
			}
		}
		e := aggregator.Event{Kind: aggregator.ListChanged}
		for _, n := range k.model.nodes {
			if n.zone == c.Zone && n.state == aggregator.Serving {
				e.Members = append(e.Members, k.member(n, n.state, n.started))
			}
		}
		out = append(out, e)
	}
	for _, s := range k.zones.Statuses(k.wall()) {
		if s.State != zones.Healthy || s.Failing > 0 {
			k.scheduleStep(k.model.now + 100*time.Millisecond)
			break
		}
	}
	return out
}

// probe carries a health check to a data node and back.
func (k *coordinator) probe(replica string) {
	for _, n := range k.model.nodes {
		if n.id != replica {
			continue
		}
		end, takes := aggregator.OK, 2*k.model.config.NetworkDelay
		if n.down || n.overloaded {
			if end = aggregator.ConnectFailed; n.silent {
				end, takes = aggregator.TimedOut, 250*time.Millisecond
			}
		}
		incarnation := k.incarnation
		k.model.after(takes, func() {
			if k.incarnation == incarnation {
				k.handle(aggregator.Event{Kind: aggregator.ProbeEnded, Replica: replica, Outcome: end, Elapsed: takes})
			}
		})
	}
}
