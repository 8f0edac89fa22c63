package aggregator

import (
	"math"
	"time"
)

// neverRan holds the outcomes of attempts that the replica never began to run.
var neverRan = map[Outcome]bool{Rejected: true, ConnectFailed: true, ConnectTimeout: true, NotSent: true}

// attemptEnded processes the outcome of an attempt. Outcomes of unknown or ended attempts are ignored.
func (a *Aggregator) attemptEnded(e *Event) {
	t := a.findAttempt(e)
	if t == nil || !t.open {
		return
	}
	t.open, t.mayHaveRun = false, !neverRan[e.Outcome]
	took := max(a.now-t.sentAt-a.pauses.delay, 0).Seconds()
	a.applyOutcome(t, e.Outcome, took)

	p := t.part
	if e.Outcome != Cancelled {
		p.cheapRetry = e.Outcome != TimedOut
	}
	if p.query.ended && p.openAttempts() == 0 {
		delete(a.queries.parts, p.id)
	}
}

func (a *Aggregator) findAttempt(e *Event) *attempt {
	p := a.queries.parts[e.Part]
	if p == nil || e.Attempt < 0 || e.Attempt >= len(p.attempts) {
		return nil
	}
	return p.attempts[e.Attempt]
}

// applyOutcome updates the state of the replica with an outcome; took is how long the attempt was open, in seconds.
func (a *Aggregator) applyOutcome(t *attempt, outcome Outcome, took float64) {
	switch outcome {
	case OK:
		a.answerReceived(t, took)
	case Errored, Reset, Unknown, ConnectFailed, ConnectTimeout:
		a.release(t)
		if outcome == Reset && a.isIdleConnReset(t, took) {
			a.recordIdleConnReset(t)
		} else {
			a.attemptFailed(t, outcome)
		}
	case ConnectionLost:
		a.release(t)
		a.connectionLost(t.replica)
	case Rejected:
		a.release(t)
		a.replicaFull(t.replica)
	case NotSent:
		a.release(t)
	case TimedOut, Cancelled:
		a.recordAbandoned(t, took)
	}
}

// answerReceived records an answer, ends the ejection of its replica and cancels the other attempts of the part.
func (a *Aggregator) answerReceived(t *attempt, took float64) {
	r, p := t.replica, t.part
	a.releaseAnswered(t)
	a.recordConnAnswer(t)
	a.recordAnswerTime(t)
	r.health.suspectedAt = 0
	r.outlier.decayedFailures *= failureDecay
	a.recordLatency(t, took)
	if r.outlier.ejected {
		// One answer ends the ejection; one more failure ejects the replica again.
		r.outlier.ejected, r.outlier.decayedFailures = false, ejectionFailures-1
	}
	p.query.canary.answered = true
	if !p.answered && !p.query.ended {
		p.answered = true
		a.cancelAttempts(p)
	}
}

// attemptFailed records a failure caused by the replica or by its query.
func (a *Aggregator) attemptFailed(t *attempt, outcome Outcome) {
	r, canary := t.replica, &t.part.query.canary
	if outcome != Errored {
		r.health.suspectedAt = a.now
		a.addProbeCredit(1)
	}
	if outcome != Errored && outcome != ConnectTimeout {
		a.queryOfDeath.lastCrash = a.now
	}
	if outcome == Reset {
		canary.resets++
		if canary.idleReset {
			canary.resets = queryOfDeathResets // reset on a new connection too, so the idle one was not the cause
		}
	}
	r.outlier.failingFast = outcome == Errored
	a.addFailure(r)
	if outcome == Reset || outcome == ConnectFailed && r.outlier.decayedFailures >= ejectionFailures {
		a.suspectRestart(r)
	}
}

// connectionLost records the loss of a connection to a live replica as one failure, however many attempts were open on the
// connection.
func (a *Aggregator) connectionLost(r *replica) {
	if r.outlier.lostConnRound != a.round {
		r.outlier.lostConnRound, r.outlier.failingFast = a.round, true
		a.addFailure(r)
	}
}

// replicaFull records a rejection by a full replica. Its queue is a long wait that no open call shows, so it gets nothing
// for a while and counts as slow.
func (a *Aggregator) replicaFull(r *replica) {
	r.outlier.backoffUntil = a.now + scale(rejectedBackoff*a.typicalLatency(), time.Second)
	r.latency.excess, r.latency.excessAt = math.Max(a.currentExcess(r), a.maxObjective().Seconds()/2), a.now
	a.addFleetExcess(r.latency.excess)
}
