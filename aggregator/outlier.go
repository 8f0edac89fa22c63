package aggregator

import (
	"math"
	"slices"
	"time"
)

const (
	ejectionFailures = 2.0  // strikes that eject a replica
	failureDecay     = 0.6  // what an answer leaves of the strikes
	rejectedBackoff  = 2.0  // median latencies that a full replica is left alone
	silenceWeight    = 0.15 // of a reset, as a sign: most silent parts are only slow
)

// outcome takes in the end of an attempt. Anything not known to have kept the part from running counts as
// may-have-run; outcomes of unknown or ended attempts are skipped.
func (a *Aggregator) attemptEnded(e *Event) {
	p := a.queries.parts[e.Part]
	var t *attempt
	if p != nil && e.Attempt >= 0 && e.Attempt < len(p.attempts) {
		t = p.attempts[e.Attempt]
	}
	if t == nil || !t.open {
		return
	}
	t.open = false
	r, took := t.replica, max(a.now-t.sentAt-a.pauses.delay, 0).Seconds()
	switch e.Outcome {
	case OK:
		a.answerReceived(t, took)
	case Errored, Reset, Unknown, ConnectFailed, ConnectTimeout:
		a.release(t)
		if e.Outcome == Reset && p.query.canary.resets == 0 && a.onIdleConn(t) && took < a.baseLatency(p.query)/2 {
			// The connection was dead, neither the replica nor its query to blame: no strike, no cold start.
			a.recordDeadConn(t.connIdle)
			r.conns.silentIdle, p.query.canary.idleReset = t.connIdle, true
			break
		}
		if e.Outcome != Errored {
			r.health.suspectedAt = a.now
			a.addProbeCredit(1)
		}
		if e.Outcome != Errored && e.Outcome != ConnectTimeout {
			a.queryOfDeath.lastCrash = a.now
		}
		if e.Outcome == Reset {
			if p.query.canary.resets++; p.query.canary.idleReset {
				p.query.canary.resets = queryOfDeathResets // on a new connection too
			}
		}
		r.outlier.failingFast = e.Outcome == Errored
		a.addFailure(r)
		if e.Outcome == Reset || e.Outcome == ConnectFailed && r.outlier.failures >= ejectionFailures {
			// A process that drops or refuses connections may have restarted before the list says so; one whose
			// connections come up late has not.
			r.slowStart.active, r.slowStart.start = true, a.now
		}
	case ConnectionLost:
		a.release(t)
		// Nothing has died, and whatever else was out on the connection is no further sign.
		if r.outlier.lostConnRound != a.round {
			r.outlier.lostConnRound, r.outlier.failingFast = a.round, true
			a.addFailure(r)
		}
	case Rejected:
		a.release(t)
		// A full queue is a wait of its own length, though none of our calls shows it: left alone for a while.
		r.outlier.backoffUntil = a.now + time.Duration(rejectedBackoff*a.typicalLatency()*float64(time.Second))
		r.latency.excess, r.latency.excessAt = math.Max(a.currentExcess(r), a.maxObjective().Seconds()/2), a.now
		a.latency.excess, a.latency.excessAt = a.latency.excess+fleetSampleWeight*(r.latency.excess-a.latency.excess), a.now
	case NotSent:
		a.release(t)
	case TimedOut, Cancelled:
		a.recordAbandoned(t, took)
	}
	if !neverRan[e.Outcome] && !p.mayRun {
		p.mayRun, p.firstRun = true, t.sentAt
	}
	if e.Outcome != Cancelled {
		p.cheapRetry = e.Outcome != TimedOut
	}
	if p.query.ended && p.openAttempts() == 0 {
		delete(a.queries.parts, p.id)
	}
}

// answered counts an answer. An answer to a later attempt also settles the ghosts before it.
func (a *Aggregator) answerReceived(t *attempt, took float64) {
	r, p := t.replica, t.part
	for _, g := range slices.Clone(r.calls.inFlight) {
		if g == t || !g.open && g.sentAt <= t.sentAt {
			a.release(g)
		}
	}
	if limit := a.idleTimeout(); !t.newConn && limit > 0 && t.connIdle >= limit {
		a.addIdleEvidence(-idleAnswerEvidence) // idling that did no harm
	} else if t.newConn && r.conns.silentIdle > 0 {
		// A call on an idle connection was lost, one on a new connection is answered: the connection was
		// to blame.
		a.recordDeadConn(r.conns.silentIdle)
	}
	r.conns.silentIdle, r.conns.lastUse, r.latency.answeredSendAt = 0, a.now, max(r.latency.answeredSendAt, t.sentAt)
	if r.latency.lastAnswer > 0 && r.latency.lastAnswer < t.sentAt {
		a.latency.intervals++
		a.latency.answerInterval += scale(math.Max(intervalSampleWeight, 1/float64(a.latency.intervals)), a.now-r.latency.lastAnswer-a.latency.answerInterval)
	}
	a.latency.lastAnswer, r.latency.lastAnswer, r.health.suspectedAt = a.now, a.now, 0
	r.outlier.failures *= failureDecay
	a.recordLatency(t, took)
	if r.outlier.ejected {
		// One good answer ends it, one more failure brings it back.
		r.outlier.ejected, r.outlier.failures = false, ejectionFailures-1
	}
	p.query.canary.answered = true
	if !p.answered && !p.query.ended {
		p.answered = true
		a.cancelAttempts(p)
	}
}

func (a *Aggregator) addFailure(r *replica) {
	r.outlier.failures++
	if r.outlier.ejected || r.outlier.failures >= ejectionFailures {
		a.eject(r)
	}
}

// eject keeps a replica from first sends while others hold the shard. It comes back by trials, each
// failure doubling the pause.
func (a *Aggregator) eject(r *replica) {
	r.outlier.ejected, r.outlier.halfOpen = true, false
	r.outlier.ejectionTime = min(max(2*r.outlier.ejectionTime, a.observationLifetime()/2), 4*a.observationLifetime())
	r.outlier.trialAt = a.now + r.outlier.ejectionTime
}

// reviewReplicas looks over the fleet once a round: ghosts that have outlived any likely run are let go, and
// silence while peers answer counts like an error.
func (a *Aggregator) reviewReplicas() {
	var all, paces []float64
	present, out, heard := 0, 0, 0
	for _, r := range a.endpoints.replicas {
		if !r.excluded {
			if present++; r.outlier.ejected {
				out++
			}
			if r.latency.lastAnswer > 0 && a.now-r.latency.lastAnswer < a.freshness() {
				heard++
			}
		}
	}
	// Where half the fleet is out by opinion it is load or the network, and the next opinion is not heard.
	a.health.panicMode, a.health.staleView = 2*out >= present, 2*heard < present
	for _, r := range a.endpoints.replicas {
		if r.slowStart.active && a.now-r.slowStart.start >= a.settings.Rules.WarmupTime {
			r.slowStart.active, r.slowStart.sends = false, nil
		}
		for _, t := range slices.Clone(r.calls.inFlight) {
			age := a.now - t.sentAt
			if !t.open && age > a.settings.Classes[t.part.query.class].LatencyObjective {
				a.release(t)
			}
			if !t.call.silenceCounted && r.latency.lastAnswer < t.sentAt && a.latency.lastAnswer > t.sentAt && age.Seconds() > a.hedgeDelay(t.part.query) {
				t.call.silenceCounted, r.outlier.failingFast = true, false
				a.addProbeCredit(silenceWeight)
				if r.conns.silentIdle = t.connIdle; t.newConn || t.connIdle < a.idleTimeout() {
					r.conns.silentIdle = 0 // silence that no idling explains
					a.addIdleEvidence(-1)
				}
				if !a.health.panicMode {
					a.addFailure(r)
				}
			}
		}
		// A probe asks whether it can be reached at all before a part is risked on it.
		if r.outlier.ejected && !r.outlier.halfOpen && a.now >= r.outlier.trialAt && !r.excluded {
			if r.outlier.trialAt, r.outlier.halfOpen = a.now+r.outlier.ejectionTime, !a.settings.Limits.Probes; !r.outlier.halfOpen {
				a.out = append(a.out, Action{Kind: Probe, Replica: r.member.Replica})
			}
		}
		if !r.excluded && !r.outlier.ejected {
			all = append(all, a.currentExcess(r))
			if r.latency.timePerCall > 0 {
				paces = append(paces, r.latency.timePerCall)
			}
		}
	}
	a.latency.medianExcess, a.latency.timePerCall = quartile(all, 2), quartile(paces, 3)
	a.endpoints.replicas = slices.DeleteFunc(a.endpoints.replicas, a.forget)
}

// outlierState is the outlier ejection of one replica.
type outlierState struct {
	failures      float64 // consecutive failures; an answer takes off a part
	failingFast   bool    // its last failure was a quick error
	lostConnRound int     // the round that last counted a lost connection
	ejected       bool
	halfOpen      bool          // while ejected: a trial part may be sent
	trialAt       time.Duration // while ejected: no trial before
	ejectionTime  time.Duration // how long the next ejection lasts at least
	backoffUntil  time.Duration // it said that it is full; nothing is sent to it before
}
