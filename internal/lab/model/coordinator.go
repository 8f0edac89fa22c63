package model

import (
	"fmt"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/observations"
	"gullfall/internal/zones"
)

// coordinator drives the decision code of one coordinator: it passes events to it and performs the actions that it returns.
type coordinator struct {
	model          *Model
	index          int
	incarnation    int // number of restarts; callbacks of an earlier incarnation are dropped
	aggregator     *aggregator.Aggregator
	zones          *zones.Tracker
	observations   *observations.Table
	events         []aggregator.Event
	nextStep       time.Duration // time of the next scheduled step; negative if none is scheduled
	lastStep       time.Duration
	parts          map[string]*part
	queries        map[string]*query
	lastAnswerAt   map[string]time.Duration // by data node id
	drainLearnedAt map[string]time.Duration // by data node id: when this coordinator learned that the node is draining
}

// start starts the process with no state but the endpoint list.
func (k *coordinator) start() (err error) {
	m := k.model
	if k.aggregator, err = aggregator.New(m.config.settings(), m.config.Seed*1000+uint64(k.index)+uint64(k.incarnation)*77); err != nil {
		return err
	}
	k.events, k.nextStep = nil, -1
	k.parts, k.queries, k.lastAnswerAt, k.drainLearnedAt = map[string]*part{}, map[string]*query{}, map[string]time.Duration{}, map[string]time.Duration{}
	if m.config.TrackZones {
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

// member returns a data node as the decision code sees it. Like internal/coordinator, it applies the state of the node's zone and the
// start time that other coordinators have observed.
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

// handle queues events for the decision code and schedules its next step, at least one tick after the last.
func (k *coordinator) handle(list ...aggregator.Event) {
	k.events = append(k.events, list...)
	k.scheduleStep(max(k.model.now, k.lastStep+tick))
}

// scheduleStep schedules a step of the decision code, unless an earlier one is already scheduled.
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

// step passes the queued events to the decision code and performs its actions.
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

// stepZones steps the zone tracker and returns the resulting endpoint changes as events for the decision code.
func (k *coordinator) stepZones() (out []aggregator.Event) {
	changes := k.zones.Step(k.wall())
	for _, c := range changes {
		if c.To == zones.Out && k.observations != nil {
			for _, id := range k.zones.Failing(k.wall(), c.Zone) {
				k.recordObservation(id, observations.Failed)
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

// probe simulates a health check of a data node.
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
