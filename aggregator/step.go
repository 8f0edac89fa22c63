package aggregator

import (
	"math"
	"slices"
	"time"
)

// Step runs one round at the time now: it processes the events in order, decides, and appends the resulting actions to out,
// in order. now is a duration on any steady clock; if it goes back, no time has passed.
func (a *Aggregator) Step(now time.Duration, events []Event, out []Action) []Action {
	a.now, a.out = max(now, a.now), out
	a.round++

	a.detectPause()
	for i := range events {
		a.handle(&events[i])
	}
	a.pollEndpoints()
	a.updateReplicas()
	next := a.advanceQueries()
	a.publishGossip()
	a.scheduleWake(next)

	out, a.out = a.out, nil
	return out
}

// handle passes an event to the rule that it concerns.
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

// advanceQueries advances every open query and returns the latest time at which the next round is due.
func (a *Aggregator) advanceQueries() time.Duration {
	next := a.endpoints.poller.nextPoll
	for _, q := range a.queries.live {
		next = min(next, a.advance(q))
	}
	a.queries.live = slices.DeleteFunc(a.queries.live, func(q *query) bool { return q.ended })
	return next
}

// scheduleWake requests a wake at the time next, unless an earlier one is pending.
func (a *Aggregator) scheduleWake(next time.Duration) {
	if next == math.MaxInt64 || a.wakeAt > a.now && a.wakeAt <= next {
		return
	}
	a.wakeAt = max(next, a.now+a.settings.Tick)
	a.emit(Action{Kind: Wake, After: a.wakeAt - a.now})
}
