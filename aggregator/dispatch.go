package aggregator

import (
	"math"
	"time"
)

const (
	// noReplicaRetryTicks is the number of ticks after which a part without a usable replica is tried again.
	noReplicaRetryTicks = 2
	// cancelWaitTicks is the number of ticks after which the outcome of a cancelled attempt is expected.
	cancelWaitTicks = 2
	// hedgeCheckTicks is the number of ticks after which hedging of an overdue part is reconsidered.
	hedgeCheckTicks = 4
)

// dispatchParts sends the parts of a query that may be sent now and returns when the query next needs attention, at next at
// the latest.
func (a *Aggregator) dispatchParts(q *query, next time.Duration) time.Duration {
	canaries, until := a.canaryLimit(q)
	hold := a.holdForProbes(q)
	for _, p := range q.parts {
		if p.answered || p.abandoned {
			continue
		}
		if canaries <= 0 && p.openAttempts() == 0 && !a.joinsCall(p, a.pickReplica(p)) {
			next = min(next, max(a.now+a.settings.Tick, until))
			continue
		}
		sent := len(p.attempts)
		when, exhausted := a.dispatchPart(p, hold)
		if len(p.attempts) > sent && p.lastAttempt().call.first == p.lastAttempt() {
			canaries--
		}
		if !exhausted {
			next = min(next, when)
			continue
		}
		p.abandoned = true
		if !a.answerable(q) {
			a.finishPhase(q, AttemptsExhausted)
			return math.MaxInt64
		}
	}
	return next
}

// holdForProbes probes the holders of the parts that wait to be sent, where needed, and returns until when the parts wait
// for the replies.
func (a *Aggregator) holdForProbes(q *query) time.Duration {
	hold := a.now
	for _, p := range q.parts {
		if !p.answered && p.openAttempts() == 0 {
			hold = max(hold, a.now+a.probeHolders(p))
		}
	}
	return hold
}

// dispatchPart sends a part without an open attempt, no earlier than hold, or hedges an overdue one. It returns when the
// part next needs attention, and whether its attempts are exhausted.
func (a *Aggregator) dispatchPart(p *part, hold time.Duration) (next time.Duration, exhausted bool) {
	if p.openAttempts() > 0 {
		return a.handleOverdue(p), false
	}
	if !a.mayRetry(p) {
		return 0, true
	}
	if hold > a.now {
		return hold, false
	}
	if r := a.pickReplica(p); r != nil && a.spendRetryBudget(p) {
		a.send(p, r)
		return a.hedgeTime(p), false
	}
	return a.now + noReplicaRetryTicks*a.settings.Tick, false
}

// send sends a part to r. The attempt's timeout is how long an answer is of use; afterwards the replica may skip the part.
func (a *Aggregator) send(p *part, r *replica) {
	closedIdle, beginWithin := a.closeIdleConns(p, r), a.beginWithin(p)
	t := a.recordAttempt(p, r, closedIdle)
	t.call.work += a.baseLatency(p.query)
	work := a.expectedWork(p)
	a.recordGossip(r, gossipSent, scale(work, time.Second))
	if r.slowStart.active {
		a.spendSlowStartAllowance(r, work)
	}
	end := a.usefulUntil(p.query) - objectiveMarginTicks*a.settings.Tick
	a.emit(Action{
		Kind: Send, Part: p.id, Replica: r.member.Replica, After: max(end-a.now, time.Microsecond), BeginWithin: beginWithin,
	})
}

func (p *part) lastAttempt() *attempt {
	return p.attempts[len(p.attempts)-1]
}
