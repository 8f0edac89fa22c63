package aggregator

import (
	"slices"
	"time"
)

const (
	// ejectionFailures is the failure count at which a replica is ejected. The count decays with each answer instead of
	// being reset, so that a replica that fails nearly always is ejected too.
	ejectionFailures = 2.0
	// failureDecay is the share of the failure count that remains after an answer.
	failureDecay = 0.6
	// rejectedBackoff is the time for which nothing is sent to a replica that reported that it is full, in median
	// latencies.
	rejectedBackoff = 2.0
	// unansweredWeight is the weight of an unanswered call in the probe credit, where a failed call counts 1: most
	// unanswered calls are only slow.
	unansweredWeight = 0.15
	// ejectionsPerLifetime is the number of shortest ejections that fit into the lifetime of an observation.
	ejectionsPerLifetime = 2
	// maxEjectionMultiple is the longest ejection, in lifetimes of an observation.
	maxEjectionMultiple = 4
)

// outlierState is the outlier ejection of one replica, in the terms of Envoy's outlier detection: consecutive failures,
// ejection, and an ejection time that grows with each further ejection.
type outlierState struct {
	decayedFailures float64 // failure count; each answer multiplies it by failureDecay
	failingFast     bool    // its last failure was a quick error
	lostConnRound   int     // round that last counted a lost connection
	ejected         bool
	halfOpen        bool          // while ejected: a trial part may be sent
	trialAt         time.Duration // while ejected: when it becomes half open or is probed
	ejectionTime    time.Duration // duration of the last ejection
	backoffUntil    time.Duration // it reported that it is full; nothing is sent before then
}

// addFailure counts a failure of a replica, and ejects it once the count reaches ejectionFailures, or at once if it is
// ejected already.
func (a *Aggregator) addFailure(r *replica) {
	r.outlier.decayedFailures++
	if r.outlier.ejected || r.outlier.decayedFailures >= ejectionFailures {
		a.eject(r)
	}
}

// eject ejects a replica or prolongs its ejection: it gets first sends only if no other holder is usable. Each ejection
// lasts twice as long as the previous one, within bounds; then a trial part, or a probe where the deployment permits it,
// shows whether the replica has recovered.
func (a *Aggregator) eject(r *replica) {
	lifetime := a.observationLifetime()
	r.outlier.ejected, r.outlier.halfOpen = true, false
	r.outlier.ejectionTime = min(max(2*r.outlier.ejectionTime, lifetime/ejectionsPerLifetime), maxEjectionMultiple*lifetime)
	r.outlier.trialAt = a.now + r.outlier.ejectionTime
}

// updateReplicas updates the state of all replicas, once a round.
func (a *Aggregator) updateReplicas() {
	a.updateFleetHealth()
	for _, r := range a.endpoints.replicas {
		a.endSlowStart(r)
		a.checkInFlight(r)
		a.startTrial(r)
	}
	a.updateFleetLatency()
	a.endpoints.replicas = slices.DeleteFunc(a.endpoints.replicas, a.evict)
}

// updateFleetHealth sets panic mode and the stale view.
//
// Panic mode, a term of Envoy's, prevents ejecting a whole fleet: once half of the replicas are ejected, the cause is the
// load or network that they share, and further unanswered calls are not counted as failures. Otherwise all replicas
// would be ejected although none is broken.
func (a *Aggregator) updateFleetHealth() {
	listed, ejected, answering := 0, 0, 0
	for _, r := range a.endpoints.replicas {
		if r.excluded {
			continue
		}
		listed++
		if r.outlier.ejected {
			ejected++
		}
		if r.latency.lastAnswer > 0 && a.now-r.latency.lastAnswer < a.freshness() {
			answering++
		}
	}
	a.health.panicMode, a.health.staleView = 2*ejected >= listed, 2*answering < listed
}

// checkInFlight releases abandoned attempts that their replica no longer works on, and counts a call without an answer as a
// failure if other replicas answer.
func (a *Aggregator) checkInFlight(r *replica) {
	if len(r.calls.inFlight) == 0 {
		return
	}
	for _, t := range slices.Clone(r.calls.inFlight) {
		age := a.now - t.sentAt
		if !t.open && age > a.settings.Classes[t.part.query.class].LatencyObjective {
			a.release(t)
		}
		onlyThisUnanswered := r.latency.lastAnswer < t.sentAt && a.latency.lastAnswer > t.sentAt
		if !t.call.unansweredCounted && onlyThisUnanswered && age.Seconds() > a.hedgeDelay(t.part.query) {
			a.recordUnanswered(t)
		}
	}
}

// recordUnanswered records a call without an answer.
func (a *Aggregator) recordUnanswered(t *attempt) {
	t.call.unansweredCounted, t.replica.outlier.failingFast = true, false
	a.addProbeCredit(unansweredWeight)
	a.recordConnUnanswered(t)
	if !a.health.panicMode {
		a.addFailure(t.replica)
	}
}

// startTrial ends the waiting time of an ejected replica: it is probed, and becomes half open once the probe is answered.
// Where probes are not permitted it becomes half open at once.
func (a *Aggregator) startTrial(r *replica) {
	if !r.outlier.ejected || r.outlier.halfOpen || a.now < r.outlier.trialAt || r.excluded {
		return
	}
	r.outlier.trialAt, r.outlier.halfOpen = a.now+r.outlier.ejectionTime, !a.settings.Limits.Probes
	if a.settings.Limits.Probes {
		a.emit(Action{Kind: Probe, Replica: r.member.Replica})
	}
}
