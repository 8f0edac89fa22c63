package aggregator

import (
	"math"
	"slices"
	"time"
)

// Step takes in the events of a round, in order, and appends the actions to out.
func (a *Aggregator) Step(now time.Duration, events []Event, out []Action) []Action {
	a.now, a.out = max(now, a.now), out
	a.round++
	a.detectPause()
	for i := range events {
		a.handle(&events[i])
	}
	a.pollEndpoints()
	a.reviewReplicas()
	next := a.endpoints.poller.nextPoll
	for _, q := range a.queries.live {
		next = min(next, a.advance(q))
	}
	a.queries.live = slices.DeleteFunc(a.queries.live, func(q *query) bool { return q.ended })
	a.publishGossip()
	a.scheduleWake(next)
	out, a.out = a.out, nil
	return out
}

// take hands an event to what it concerns.
func (a *Aggregator) handle(e *Event) {
	switch e.Kind {
	case QueryArrived:
		a.queryArrived(e)
	case PartArrived:
		a.partArrived(e)
	case AttemptEnded:
		a.attemptEnded(e)
	case ClientGone:
		if q := a.queries.byID[e.Query]; q != nil {
			a.closeQuery(q)
		}
	case ListChanged, ListReplaced, ListCached:
		a.updateEndpoints(e)
	case ProbeEnded:
		a.probeEnded(e)
	case GossipReceived:
		a.applyGossip(e)
	case ListCallFailed:
		a.endpoints.poller.failed = true
	}
}

// sleep asks to be woken at the earliest time that matters, unless that is arranged already.
func (a *Aggregator) scheduleWake(next time.Duration) {
	if next == math.MaxInt64 || a.wakeAt > a.now && a.wakeAt <= next {
		return
	}
	a.wakeAt = max(next, a.now+a.settings.Tick)
	a.out = append(a.out, Action{Kind: Wake, After: a.wakeAt - a.now})
}
