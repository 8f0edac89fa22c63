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
	p := a.queryTable.parts[e.Part]
	var t *attempt
	if p != nil && e.Attempt >= 0 && e.Attempt < len(p.attempts) {
		t = p.attempts[e.Attempt]
	}
	if t == nil || !t.open {
		return
	}
	t.open = false
	r, took := t.replica, max(a.now-t.sentAt-a.pauseDetector.stepDelay, 0).Seconds()
	switch e.Outcome {
	case OK:
		a.attemptAnswered(t, took)
	case Errored, Reset, Unknown, ConnectFailed, ConnectTimeout:
		a.release(t)
		if e.Outcome == Reset && p.query.queryCanary.resets == 0 && a.onIdleConn(t) && took < a.baseLatency(p.query)/2 {
			// The connection was dead, neither the replica nor its query to blame: no strike, no cold start.
			a.recordDeadConn(t.connIdle)
			r.replicaConns.silentIdle, p.query.queryCanary.idleReset = t.connIdle, true
			break
		}
		if e.Outcome != Errored {
			r.replicaHealth.suspectedAt = a.now
			a.addProbeCredit(1)
		}
		if e.Outcome != Errored && e.Outcome != ConnectTimeout {
			a.queryOfDeathGuard.lastCrash = a.now
		}
		if e.Outcome == Reset {
			if p.query.queryCanary.resets++; p.query.queryCanary.idleReset {
				p.query.queryCanary.resets = queryOfDeathResets // on a new connection too
			}
		}
		r.outlierState.failingFast = e.Outcome == Errored
		a.addFailure(r)
		if e.Outcome == Reset || e.Outcome == ConnectFailed && r.outlierState.failures >= ejectionFailures {
			// A process that drops or refuses connections may have restarted before the list says so; one whose
			// connections come up late has not.
			r.slowStart.warming, r.slowStart.warmupStart = true, a.now
		}
	case ConnectionLost:
		a.release(t)
		// Nothing has died, and whatever else was out on the connection is no further sign.
		if r.outlierState.lostConnRound != a.round {
			r.outlierState.lostConnRound, r.outlierState.failingFast = a.round, true
			a.addFailure(r)
		}
	case Rejected:
		a.release(t)
		// A full queue is a wait of its own length, though none of our calls shows it: left alone for a while.
		r.outlierState.backoffUntil = a.now + time.Duration(rejectedBackoff*a.typicalLatency()*float64(time.Second))
		r.replicaLatency.excess, r.replicaLatency.excessAt = math.Max(a.currentExcess(r), a.maxObjective().Seconds()/2), a.now
		a.fleetLatency.fleetExcess, a.fleetLatency.fleetExcessAt = a.fleetLatency.fleetExcess+fleetSampleWeight*(r.replicaLatency.excess-a.fleetLatency.fleetExcess), a.now
	case NotSent:
		a.release(t)
	case TimedOut, Cancelled:
		a.recordAbandoned(t, took)
	}
	if !neverRan[e.Outcome] && !p.mayRun {
		p.mayRun, p.firstRun = true, t.sentAt
	}
	if e.Outcome != Cancelled {
		p.endedQuickly = e.Outcome != TimedOut
	}
	if p.query.ended && p.openAttempts() == 0 {
		delete(a.queryTable.parts, p.id)
	}
}

// answered counts an answer. An answer to a later attempt also settles the ghosts before it.
func (a *Aggregator) attemptAnswered(t *attempt, took float64) {
	r, p := t.replica, t.part
	for _, g := range slices.Clone(r.replicaCalls.inFlight) {
		if g == t || !g.open && g.sentAt <= t.sentAt {
			a.release(g)
		}
	}
	if limit := a.idleTimeout(); !t.newConn && limit > 0 && t.connIdle >= limit {
		a.addIdleEvidence(-idleAnswerEvidence) // idling that did no harm
	} else if t.newConn && r.replicaConns.silentIdle > 0 {
		// A call on an idle connection was lost, one on a new connection is answered: the connection was
		// to blame.
		a.recordDeadConn(r.replicaConns.silentIdle)
	}
	r.replicaConns.silentIdle, r.replicaConns.lastUse, r.replicaLatency.answeredSendAt = 0, a.now, max(r.replicaLatency.answeredSendAt, t.sentAt)
	if r.replicaLatency.lastAnswer > 0 && r.replicaLatency.lastAnswer < t.sentAt {
		a.fleetLatency.answerIntervals++
		a.fleetLatency.answerInterval += scale(math.Max(intervalSampleWeight, 1/float64(a.fleetLatency.answerIntervals)), a.now-r.replicaLatency.lastAnswer-a.fleetLatency.answerInterval)
	}
	a.fleetLatency.lastAnswer, r.replicaLatency.lastAnswer, r.replicaHealth.suspectedAt = a.now, a.now, 0
	r.outlierState.failures *= failureDecay
	a.recordLatency(t, took)
	if r.outlierState.ejected {
		// One good answer ends it, one more failure brings it back.
		r.outlierState.ejected, r.outlierState.failures = false, ejectionFailures-1
	}
	p.query.queryCanary.answered = true
	if !p.answered && !p.query.ended {
		p.answered = true
		a.cancelAttempts(p)
	}
}

func (a *Aggregator) addFailure(r *replica) {
	r.outlierState.failures++
	if r.outlierState.ejected || r.outlierState.failures >= ejectionFailures {
		a.eject(r)
	}
}

// eject keeps a replica from first sends while others hold the shard. It comes back by trials, each
// failure doubling the pause.
func (a *Aggregator) eject(r *replica) {
	r.outlierState.ejected, r.outlierState.halfOpen = true, false
	r.outlierState.ejectionTime = min(max(2*r.outlierState.ejectionTime, a.observationLifetime()/2), 4*a.observationLifetime())
	r.outlierState.trialAt = a.now + r.outlierState.ejectionTime
}

// reviewReplicas looks over the fleet once a round: ghosts that have outlived any likely run are let go, and
// silence while peers answer counts like an error.
func (a *Aggregator) reviewReplicas() {
	var all, paces []float64
	present, out, heard := 0, 0, 0
	for _, r := range a.endpointList.replicas {
		if !r.excluded {
			if present++; r.outlierState.ejected {
				out++
			}
			if r.replicaLatency.lastAnswer > 0 && a.now-r.replicaLatency.lastAnswer < a.freshness() {
				heard++
			}
		}
	}
	// Where half the fleet is out by opinion it is load or the network, and the next opinion is not heard.
	a.fleetHealth.panicMode, a.fleetHealth.staleView = 2*out >= present, 2*heard < present
	for _, r := range a.endpointList.replicas {
		if r.slowStart.warming && a.now-r.slowStart.warmupStart >= a.settings.Rules.WarmupTime {
			r.slowStart.warming, r.slowStart.recentSends = false, nil
		}
		for _, t := range slices.Clone(r.replicaCalls.inFlight) {
			age := a.now - t.sentAt
			if !t.open && age > a.settings.Classes[t.part.query.class].LatencyObjective {
				a.release(t)
			}
			if !t.call.silenceCounted && r.replicaLatency.lastAnswer < t.sentAt && a.fleetLatency.lastAnswer > t.sentAt && age.Seconds() > a.hedgeDelay(t.part.query) {
				t.call.silenceCounted, r.outlierState.failingFast = true, false
				a.addProbeCredit(silenceWeight)
				if r.replicaConns.silentIdle = t.connIdle; t.newConn || t.connIdle < a.idleTimeout() {
					r.replicaConns.silentIdle = 0 // silence that no idling explains
					a.addIdleEvidence(-1)
				}
				if !a.fleetHealth.panicMode {
					a.addFailure(r)
				}
			}
		}
		// A probe asks whether it can be reached at all before a part is risked on it.
		if r.outlierState.ejected && !r.outlierState.halfOpen && a.now >= r.outlierState.trialAt && !r.excluded {
			if r.outlierState.trialAt, r.outlierState.halfOpen = a.now+r.outlierState.ejectionTime, !a.settings.Limits.Probes; !r.outlierState.halfOpen {
				a.out = append(a.out, Action{Kind: Probe, Replica: r.member.Replica})
			}
		}
		if !r.excluded && !r.outlierState.ejected {
			all = append(all, a.currentExcess(r))
			if r.replicaLatency.timePerCall > 0 {
				paces = append(paces, r.replicaLatency.timePerCall)
			}
		}
	}
	a.fleetLatency.medianExcess, a.fleetLatency.timePerCall = quartile(all, 2), quartile(paces, 3)
	a.endpointList.replicas = slices.DeleteFunc(a.endpointList.replicas, a.forget)
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
