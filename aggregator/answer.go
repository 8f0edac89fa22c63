package aggregator

import (
	"math"
	"time"
)

// weightTolerance is the most by which the weights of all parts may fall short of 1, as the wire format rounds them.
const weightTolerance = 5e-5

// advance advances one query and returns when it next needs attention.
func (a *Aggregator) advance(q *query) time.Duration {
	progress, times := q.progress(), a.timesOf(q)
	complete := q.phase == 0 && progress.weight >= a.settings.Classes[q.class].CompleteShare-weightTolerance
	switch {
	case q.ended:
	case a.now >= times.end:
		a.finishPhase(q, DeadlineExceeded)
	case len(q.parts) < q.partCount:
		return times.end
	case !q.admitted && !a.admit(q):
		a.rejectOrFail(q, q.rejection)
	case progress.pending == 0 || complete:
		a.finishPhase(q, AttemptsExhausted)
	case a.now >= times.early && a.prefersPartial(q, progress.weight),
		a.now >= times.late && a.usefulUntil(q) == q.objective:
		a.finishPhase(q, DeadlineExceeded)
	case q.canary.resets >= queryOfDeathResets && !q.canary.answered:
		a.queryOfDeath.lastFound = a.now
		a.rejectOrFail(q, QueryOfDeath)
	case a.now < times.early:
		return a.dispatchParts(q, times.early)
	case a.now < times.late:
		return a.dispatchParts(q, times.late)
	default:
		return a.dispatchParts(q, times.end)
	}
	return math.MaxInt64
}

// requiredShare returns the smallest share of the weight that may be answered, minus the tolerance. The second phase of a
// class without partial answers needs all its parts.
func (a *Aggregator) requiredShare(q *query) float64 {
	c := &a.settings.Classes[q.class]
	if q.phase > 0 && c.MinShare >= c.CompleteShare {
		return 1 - weightTolerance
	}
	return min(c.CompleteShare, c.MinShare) - weightTolerance
}

// finishPhase ends the current phase of a query with the answers received so far: with a complete answer, a partial one, or
// none for the given reason.
func (a *Aggregator) finishPhase(q *query, reason Reason) {
	c := &a.settings.Classes[q.class]
	progress := q.progress()
	if progress.weight < a.requiredShare(q) || len(q.parts) < q.partCount {
		a.rejectOrFail(q, reason)
		return
	}
	if q.phase == 0 && c.SecondPhaseParts > 0 {
		a.openSecondPhase(q, progress.weight >= c.CompleteShare-weightTolerance)
		return
	}
	complete := progress.weight >= c.CompleteShare-weightTolerance
	if q.phase > 0 {
		complete = progress.missing == 0 && q.firstPhaseComplete
	}
	a.emit(Action{Kind: Answer, Query: q.id, Complete: complete, Final: true})
	a.closeQuery(q)
}

// openSecondPhase answers the first phase of a query, which opens the second. If no time is left it rejects or fails the
// query instead, as a second phase that can't be answered would leave the query without an end.
func (a *Aggregator) openSecondPhase(q *query, complete bool) {
	if q.deadline-a.now <= deadlineMarginTicks*a.settings.Tick {
		a.rejectOrFail(q, DeadlineExceeded)
		return
	}
	answered := 0
	for _, p := range q.parts {
		if p.answered {
			answered++
		}
		a.dropPart(p)
	}
	q.phase, q.firstPhaseComplete, q.parts = 1, complete, nil
	q.partCount = min(a.settings.Classes[q.class].SecondPhaseParts, answered)
	a.emit(Action{Kind: Answer, Query: q.id, Complete: complete})
}

// rejectOrFail ends a query without an answer. It is rejected, which tells the client that and when it may retry, or failed
// if a part that must not run twice may have run.
func (a *Aggregator) rejectOrFail(q *query, reason Reason) {
	kind, retryAfter := Reject, time.Duration(0)
	for _, p := range q.parts {
		if a.settings.Classes[q.class].Effect != Safe && p.firstPossibleRun() != nil {
			kind = Fail
		}
	}
	if a.settings.Limits.SendRetryAfter && kind == Reject {
		seconds := a.latency.medianExcess + a.typicalLatency()*(1+a.rng.Float64())
		retryAfter = min(scale(seconds, time.Second), a.settings.Limits.MaxRetryAfter)
	}
	a.emit(Action{Kind: kind, Query: q.id, Reason: reason, After: retryAfter})
	a.closeQuery(q)
}

// answerable reports whether the parts that are answered or may still be answered suffice for an answer.
func (a *Aggregator) answerable(q *query) bool {
	sum := 0.0
	for _, p := range q.parts {
		if !p.abandoned {
			sum += p.weight
		}
	}
	return sum >= a.requiredShare(q)
}

// prefersPartial reports whether a partial answer with the given weight earns more now than a complete one after the
// latency objective.
func (a *Aggregator) prefersPartial(q *query, weight float64) bool {
	c := &a.settings.Classes[q.class]
	return weight >= c.MinShare && c.MinShare < c.CompleteShare && c.PartialShare*weight/c.CompleteShare > c.LateShare
}
