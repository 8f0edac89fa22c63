package aggregator

import (
	"math"
	"time"
)

const (
	weightTolerance = 5e-5 // by which all weights may fall short of 1: half of what the rules allow
)

// advance moves one query on and returns when it next needs attention.
func (a *Aggregator) advance(q *query) time.Duration {
	got, open, _ := q.weights()
	late, next := q.objective-3*a.settings.Tick, q.deadline-2*a.settings.Tick
	early := late - a.secondStepTime(q)
	switch {
	case q.ended:
	case a.now >= next:
		a.settle(q, DeadlineExceeded)
	case len(q.parts) < q.partCount:
		return next
	case !q.admitted && !a.admit(q):
		a.giveUp(q, q.rejection)
	case open == 0 || q.step == 0 && got >= a.settings.Classes[q.class].CompleteShare-weightTolerance:
		a.settle(q, AttemptsExhausted)
	case a.now >= early && a.prefersPartial(q, got), a.now >= late && a.usefulUntil(q) == q.objective:
		a.settle(q, DeadlineExceeded)
	case q.canary.resets >= queryOfDeathResets && !q.canary.answered:
		a.queryOfDeath.lastFound = a.now
		a.giveUp(q, QueryOfDeath)
	case a.now < early:
		return a.dispatchParts(q, early)
	case a.now < late:
		return a.dispatchParts(q, late)
	default:
		return a.dispatchParts(q, next)
	}
	return math.MaxInt64
}

// least is the share of the weight from which a step can be answered at all; weights may be rounded.
func (a *Aggregator) requiredShare(q *query) float64 {
	c := &a.settings.Classes[q.class]
	if q.step > 0 && c.MinShare >= c.CompleteShare {
		return 1 - weightTolerance
	}
	return min(c.CompleteShare, c.MinShare) - weightTolerance
}

// settle ends a query with the best that is in: a whole answer, a partial one, or none.
func (a *Aggregator) settle(q *query, why Reason) {
	c := &a.settings.Classes[q.class]
	got, _, missing := q.weights()
	whole := got >= c.CompleteShare-weightTolerance
	if q.step > 0 {
		whole = missing == 0 && q.firstStepComplete
	}
	if got < a.requiredShare(q) || len(q.parts) < q.partCount {
		a.giveUp(q, why)
		return
	}
	if q.step == 0 && c.FetchParts > 0 {
		if q.deadline-a.now <= 2*a.settings.Tick {
			a.giveUp(q, DeadlineExceeded) // an answer now would open a second step and end nothing
			return
		}
		done := 0
		for _, p := range q.parts {
			if p.answered {
				done++
			}
			a.dropPart(p)
		}
		q.step, q.firstStepComplete, q.parts, q.partCount = 1, whole, nil, min(c.FetchParts, done)
		a.out = append(a.out, Action{Kind: Answer, Query: q.id, Complete: whole})
		return
	}
	a.out = append(a.out, Action{Kind: Answer, Query: q.id, Complete: whole, Final: true})
	a.closeQuery(q)
}

// giveUp ends a query without an answer, at once. A refusal says that asking again is harmless and when;
// where a part that must not be repeated freely may have run, only a failure is honest.
func (a *Aggregator) giveUp(q *query, why Reason) {
	kind, wait := Reject, time.Duration(0)
	for _, p := range q.parts {
		if a.settings.Classes[q.class].Effect != Safe && (p.mayRun || p.openAttempts() > 0) {
			kind = Fail
		}
	}
	if a.settings.Limits.SendRetryAfter && kind == Reject {
		s := a.latency.medianExcess + a.typicalLatency()*(1+a.rng.Float64())
		wait = min(scale(s, time.Second), a.settings.Limits.MaxRetryAfter)
	}
	a.out = append(a.out, Action{Kind: kind, Query: q.id, Reason: why, After: wait})
	a.closeQuery(q)
}

// reachable tells whether the parts that are in or may still come can make an answer.
func (a *Aggregator) answerable(q *query) bool {
	sum := 0.0
	for _, p := range q.parts {
		if !p.abandoned {
			sum += p.weight
		}
	}
	return sum >= a.requiredShare(q)
}

// partialPays tells whether a partial answer now beats a whole one after the aim.
func (a *Aggregator) prefersPartial(q *query, got float64) bool {
	c := &a.settings.Classes[q.class]
	return got >= c.MinShare && c.MinShare < c.CompleteShare && c.PartialShare*got/c.CompleteShare > c.LateShare
}
