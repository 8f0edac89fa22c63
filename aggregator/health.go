package aggregator

// What the ends of attempts and probes say of a replica and its connections: outlier ejection.

import (
	"math"
	"slices"
	"time"
)

const ( // in shares of what the settings state or the aggregator has observed
	ejectionFailures     = 2.0  // strikes that eject a replica
	failureDecay         = 0.6  // what an answer leaves of the strikes
	fleetSampleWeight    = 0.05 // of a new sample in the fleet's excess
	rejectedBackoff      = 2.0  // median latencies that a full replica is left alone
	answerIntervalsKept  = 3.0  // times between two answers of a replica for which what was heard of it holds
	intervalSampleWeight = 0.01 // of a new sample in that time
	fullViewAggregators  = 3.0  // nodes up to which each sees all that there is to see
	probesPerFailure     = 12.0 // by each bad sign, spent by probing holders before a part
	silenceWeight        = 0.15 // of a reset, as a sign: most silent parts are only slow
	deadConnLifetime     = 8.0  // longest aims for which idle connections found dead are closed before use
	freshnessShare       = 0.4  // share of the longest aim after which a replica must be heard again, on guard
	deadConnEvidence     = 2.0  // signs of dead idle connections, less those against, from which they are closed
	minIdleShare         = 0.1  // share of the longest aim above which a connection counts as idle
	idleAnswerEvidence   = 0.25 // what an answer on a long idle connection counts against
	probeWaitShare       = 0.04 // share of the aim that a part waits for the probes of its holders
)

// neverRan are the outcomes of attempts that their replica has not begun.
var neverRan = map[Outcome]bool{Rejected: true, ConnectFailed: true, ConnectTimeout: true, NotSent: true}

// outcome takes in the end of an attempt. Anything not known to have kept the part from running counts as
// may-have-run; outcomes of unknown or ended attempts are skipped.
func (a *Aggregator) attemptEnded(e *Event) {
	p := a.parts[e.Part]
	var t *attempt
	if p != nil && e.Attempt >= 0 && e.Attempt < len(p.attempts) {
		t = p.attempts[e.Attempt]
	}
	if t == nil || !t.open {
		return
	}
	t.open = false
	r, took := t.replica, max(a.now-t.sentAt-a.stepDelay, 0).Seconds()
	switch e.Outcome {
	case OK:
		a.attemptAnswered(t, took)
	case Errored, Reset, Unknown, ConnectFailed, ConnectTimeout:
		a.release(t)
		if e.Outcome == Reset && p.query.resets == 0 && a.onIdleConn(t) && took < a.baseLatency(p.query)/2 {
			// The connection was dead, neither the replica nor its query to blame: no strike, no cold start.
			a.recordDeadConn(t.connIdle)
			r.silentIdle, p.query.idleReset = t.connIdle, true
			break
		}
		if e.Outcome != Errored {
			r.suspectedAt = a.now
			a.addProbeCredit(1)
		}
		if e.Outcome != Errored && e.Outcome != ConnectTimeout {
			a.lastCrash = a.now
		}
		if e.Outcome == Reset {
			if p.query.resets++; p.query.idleReset {
				p.query.resets = queryOfDeathResets // on a new connection too
			}
		}
		r.failingFast = e.Outcome == Errored
		a.addFailure(r)
		if e.Outcome == Reset || e.Outcome == ConnectFailed && r.failures >= ejectionFailures {
			// A process that drops or refuses connections may have restarted before the list says so; one whose
			// connections come up late has not.
			r.warming, r.warmupStart = true, a.now
		}
	case ConnectionLost:
		a.release(t)
		// Nothing has died, and whatever else was out on the connection is no further sign.
		if r.lostConnRound != a.round {
			r.lostConnRound, r.failingFast = a.round, true
			a.addFailure(r)
		}
	case Rejected:
		a.release(t)
		// A full queue is a wait of its own length, though none of our calls shows it: left alone for a while.
		r.backoffUntil = a.now + time.Duration(rejectedBackoff*a.typicalLatency()*float64(time.Second))
		r.excess, r.excessAt = math.Max(a.currentExcess(r), a.maxObjective().Seconds()/2), a.now
		a.fleetExcess, a.fleetExcessAt = a.fleetExcess+fleetSampleWeight*(r.excess-a.fleetExcess), a.now
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
		delete(a.parts, p.id)
	}
}

// answered counts an answer. An answer to a later attempt also settles the ghosts before it.
func (a *Aggregator) attemptAnswered(t *attempt, took float64) {
	r, p := t.replica, t.part
	for _, g := range slices.Clone(r.inFlight) {
		if g == t || !g.open && g.sentAt <= t.sentAt {
			a.release(g)
		}
	}
	if limit := a.idleTimeout(); !t.newConn && limit > 0 && t.connIdle >= limit {
		a.addIdleEvidence(-idleAnswerEvidence) // idling that did no harm
	} else if t.newConn && r.silentIdle > 0 {
		// A call on an idle connection was lost, one on a new connection is answered: the connection was
		// to blame.
		a.recordDeadConn(r.silentIdle)
	}
	r.silentIdle, r.lastUse, r.answeredSendAt = 0, a.now, max(r.answeredSendAt, t.sentAt)
	if r.lastAnswer > 0 && r.lastAnswer < t.sentAt {
		a.answerIntervals++
		a.answerInterval += scale(math.Max(intervalSampleWeight, 1/float64(a.answerIntervals)), a.now-r.lastAnswer-a.answerInterval)
	}
	a.lastAnswer, r.lastAnswer, r.suspectedAt = a.now, a.now, 0
	r.failures *= failureDecay
	a.recordLatency(t, took)
	if r.ejected {
		// One good answer ends it, one more failure brings it back.
		r.ejected, r.failures = false, ejectionFailures-1
	}
	p.query.answered = true
	if !p.answered && !p.query.ended {
		p.answered = true
		a.cancelAttempts(p)
	}
}

func (a *Aggregator) addFailure(r *replica) {
	r.failures++
	if r.ejected || r.failures >= ejectionFailures {
		a.eject(r)
	}
}

// eject keeps a replica from first sends while others hold the shard. It comes back by trials, each
// failure doubling the pause.
func (a *Aggregator) eject(r *replica) {
	r.ejected, r.halfOpen = true, false
	r.ejectionTime = min(max(2*r.ejectionTime, a.observationLifetime()/2), 4*a.observationLifetime())
	r.trialAt = a.now + r.ejectionTime
}

// reviewReplicas looks over the fleet once a round: ghosts that have outlived any likely run are let go, and
// silence while peers answer counts like an error.
func (a *Aggregator) reviewReplicas() {
	var all, paces []float64
	present, out, heard := 0, 0, 0
	for _, r := range a.replicas {
		if !r.excluded {
			if present++; r.ejected {
				out++
			}
			if r.lastAnswer > 0 && a.now-r.lastAnswer < a.freshness() {
				heard++
			}
		}
	}
	// Where half the fleet is out by opinion it is load or the network, and the next opinion is not heard.
	a.panicMode, a.staleView = 2*out >= present, 2*heard < present
	for _, r := range a.replicas {
		if r.warming && a.now-r.warmupStart >= a.settings.Rules.WarmupTime {
			r.warming, r.recentSends = false, nil
		}
		for _, t := range slices.Clone(r.inFlight) {
			age := a.now - t.sentAt
			if !t.open && age > a.settings.Classes[t.part.query.class].LatencyObjective {
				a.release(t)
			}
			if !t.call.silenceCounted && r.lastAnswer < t.sentAt && a.lastAnswer > t.sentAt && age.Seconds() > a.hedgeDelay(t.part.query) {
				t.call.silenceCounted, r.failingFast = true, false
				a.addProbeCredit(silenceWeight)
				if r.silentIdle = t.connIdle; t.newConn || t.connIdle < a.idleTimeout() {
					r.silentIdle = 0 // silence that no idling explains
					a.addIdleEvidence(-1)
				}
				if !a.panicMode {
					a.addFailure(r)
				}
			}
		}
		// A probe asks whether it can be reached at all before a part is risked on it.
		if r.ejected && !r.halfOpen && a.now >= r.trialAt && !r.excluded {
			if r.trialAt, r.halfOpen = a.now+r.ejectionTime, !a.settings.Limits.Probes; !r.halfOpen {
				a.out = append(a.out, Action{Kind: Probe, Replica: r.member.Replica})
			}
		}
		if !r.excluded && !r.ejected {
			all = append(all, a.currentExcess(r))
			if r.timePerCall > 0 {
				paces = append(paces, r.timePerCall)
			}
		}
	}
	a.medianExcess, a.timePerCall = quartile(all, 2), quartile(paces, 3)
	a.replicas = slices.DeleteFunc(a.replicas, a.forget)
}

// probed takes in the answer to a probe. One that fails is as bad a sign as a part that fails.
func (a *Aggregator) probeEnded(e *Event) {
	r := a.replicaByName[e.Replica]
	if r == nil {
		return
	}
	if e.Outcome == Errored {
		// It answers, and will not say more: it is probed by many. That is no sign against it.
		r.lastProbeAnswer, r.suspectedAt = a.now, 0
		return
	}
	if e.Outcome != OK {
		r.suspectedAt = a.now
		a.addProbeCredit(1)
		if r.ejected && !r.halfOpen {
			a.eject(r)
		} else {
			a.addFailure(r)
		}
		return
	}
	r.lastProbeAnswer, r.suspectedAt, r.reportedLoad = a.now, 0, 0
	// What it says that it holds, the larger figure where one may include the other, tells ties while fresh.
	if x := max(e.LoadReport["inflight"], e.LoadReport["queue"]); x > 0 && x < math.MaxInt32 {
		r.reportedLoad = x
	}
	r.halfOpen = r.halfOpen || r.ejected
}

// addProbeCredit notes a bad sign: a reset, a failed connect or probe, a silence. It puts the node on guard
// by earning probes; they run out soon where all of them come back.
func (a *Aggregator) addProbeCredit(weight float64) {
	a.probeCredit = math.Min(a.probeCredit+a.visibleShare()*weight*probesPerFailure, a.visibleShare()*float64(len(a.replicas)))
}

// visibleShare is how much of what there is to see this node sees itself: all where there are few nodes.
func (a *Aggregator) visibleShare() float64 {
	return math.Min(1, fullViewAggregators/float64(a.settings.Aggregators))
}

// freshness is how long what was heard of a replica holds.
func (a *Aggregator) freshness() time.Duration { return scale(freshnessShare, a.maxObjective()) }

// doubtful tells whether a replica failed a part or a probe, or owed an answer, a short while ago.
func (a *Aggregator) suspect(r *replica) bool {
	return r.suspectedAt > 0 && a.now-r.suspectedAt < a.maxObjective()
}

// probeHolders asks the holders of a part that were not heard lately whether they answer at all, and tells
// how long to wait for that. It acts on guard only: a node that seldom sends a replica a part learns of its
// death too late from the parts themselves. A replica that owes its answer by then is doubted, not ejected.
func (a *Aggregator) probeHolders(p *part) (wait time.Duration) {
	if !a.settings.Limits.Probes || !a.staleView || a.probeCredit < 1 || a.now-p.query.arrived > p.query.objective-a.now {
		return 0
	}
	patience := scale(probeWaitShare, a.settings.Classes[p.query.class].LatencyObjective)
	for _, r := range a.holders(p.shard) {
		if r.excluded || r.ejected || !a.suspect(r) && a.now-max(r.lastProbeAnswer, r.lastAnswer) < a.freshness() {
			continue
		}
		if r.lastProbe <= max(r.lastProbeAnswer, r.lastAnswer) || a.now-r.lastProbe > a.freshness() {
			r.lastProbe = a.now
			a.probeCredit--
			a.out = append(a.out, Action{Kind: Probe, Replica: r.member.Replica})
		}
		if left := r.lastProbe + patience - a.now; left > 0 {
			wait = max(wait, left)
		} else {
			r.suspectedAt = a.now
		}
	}
	return wait
}

// idleLimit is the time without use after which connections were lately found dead, 0 for none.
func (a *Aggregator) idleTimeout() time.Duration {
	if (a.now - a.deadConnAt).Seconds() > deadConnLifetime*a.maxObjective().Seconds() {
		a.deadAfter, a.idleEvidence = 0, 0
	}
	return a.deadAfter
}

// idled tells whether an attempt was sent on a connection that had been out of use for a while.
func (a *Aggregator) onIdleConn(t *attempt) bool {
	return !t.newConn && t.callPosition == 1 && t.connIdle > scale(minIdleShare, a.maxObjective())
}

// deadIdle counts a sign that connections out of use for gap are dead.
func (a *Aggregator) recordDeadConn(gap time.Duration) {
	a.addIdleEvidence(1)
	if a.deadConnAt = a.now; a.deadAfter == 0 || gap < a.deadAfter {
		a.deadAfter = gap
	}
}

// blameIdle counts signs that idle connections are dead, or against it; enough of the latter clear them.
func (a *Aggregator) addIdleEvidence(sign float64) {
	if a.idleEvidence = math.Min(a.idleEvidence+sign, 2*deadConnEvidence); a.idleEvidence <= -deadConnEvidence {
		a.deadAfter, a.idleEvidence = 0, 0
	}
}

// refresh closes the idle connections to r before a part is sent where they may be dead: a call on one
// was lost, or they have idled as long as others that were; at the first sign already for a part that may
// not run twice. It costs a handshake.
func (a *Aggregator) closeIdleConns(p *part, r *replica) bool {
	limit, enough := a.idleTimeout(), deadConnEvidence
	if a.settings.Classes[p.query.class].Effect == Unsafe {
		enough = 1
	}
	suspect := r.silentIdle > 0 || p.query.idleReset || limit > 0 && a.idleEvidence >= enough && a.now-r.lastUse >= limit
	if len(r.inFlight) > 0 || !suspect {
		return false
	}
	a.out = append(a.out, Action{Kind: CloseIdle, Replica: r.member.Replica})
	return true
}
