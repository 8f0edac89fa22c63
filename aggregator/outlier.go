package aggregator

import (
	"slices"
	"time"
)

const (
	// ejectionFailures is how many failures eject a replica. They are counted with decay: an answer between leaves a share of them,
	// so that a replica that fails nearly always is ejected too.
	ejectionFailures = 2.0
	// failureDecay is the share of the counted failures that an answer leaves.
	failureDecay = 0.6
	// rejectedBackoff is for how many median latencies a replica is left alone that said it is full.
	rejectedBackoff = 2.0
	// silenceWeight is how much a silent call counts toward probes, where a failed one counts 1: most silent ones are slow.
	silenceWeight = 0.15
	// ejectionsPerLifetime is how many of the shortest ejections the lifetime of observations holds.
	ejectionsPerLifetime = 2
	// maxEjectionMultiple is the longest ejection as a multiple of the lifetime of observations.
	maxEjectionMultiple = 4
)

// outlierState is the outlier ejection of one replica, in the terms of Envoy's outlier detection: consecutive failures,
// ejection, and ejection time that grows with each further ejection.
type outlierState struct {
	decayedFailures float64 // an answer leaves failureDecay of them
	failingFast     bool    // its last failure was a quick error
	lostConnRound   int     // the round that last counted a lost connection
	ejected         bool
	halfOpen        bool          // while ejected: a trial part may be sent
	trialAt         time.Duration // while ejected: when it becomes half open or is probed
	ejectionTime    time.Duration // of the last ejection
	backoffUntil    time.Duration // it said that it is full, so nothing is sent before
}

// addFailure counts a failure of a replica and ejects it after ejectionFailures in a row, or at the first one while it is
// ejected.
func (a *Aggregator) addFailure(r *replica) {
	r.outlier.decayedFailures++
	if r.outlier.ejected || r.outlier.decayedFailures >= ejectionFailures {
		a.eject(r)
	}
}

// eject ejects a replica, or prolongs its ejection: it gets first sends only where no other holder is usable. Each ejection
// lasts twice as long as the one before, within bounds; then a trial part, or a probe where the deployment permits them,
// tells whether it is well again.
func (a *Aggregator) eject(r *replica) {
	lifetime := a.observationLifetime()
	r.outlier.ejected, r.outlier.halfOpen = true, false
	r.outlier.ejectionTime = min(max(2*r.outlier.ejectionTime, lifetime/ejectionsPerLifetime), maxEjectionMultiple*lifetime)
	r.outlier.trialAt = a.now + r.outlier.ejectionTime
}

// reviewReplicas reviews all replicas, once a round.
func (a *Aggregator) reviewReplicas() {
	a.reviewFleet()
	for _, r := range a.endpoints.replicas {
		a.endSlowStart(r)
		a.reviewInFlight(r)
		a.startTrial(r)
	}
	a.updateFleetLatency()
	a.endpoints.replicas = slices.DeleteFunc(a.endpoints.replicas, a.forget)
}

// reviewFleet sets panic mode and stale view.
//
// Panic mode, a term of Envoy's, guards against ejecting a whole fleet: with half of the replicas ejected, what they have
// in common is load or the network, and further silence is not held against them. The engineer on call would else see all
// replicas ejected although none is broken.
func (a *Aggregator) reviewFleet() {
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

// reviewInFlight releases attempts given up that their replica no longer works on, and counts as a failure a call that got
// no answer while other replicas answer.
func (a *Aggregator) reviewInFlight(r *replica) {
	if len(r.calls.inFlight) == 0 {
		return
	}
	for _, t := range slices.Clone(r.calls.inFlight) {
		age := a.now - t.sentAt
		if !t.open && age > a.settings.Classes[t.part.query.class].LatencyObjective {
			a.release(t)
		}
		onlyItIsSilent := r.latency.lastAnswer < t.sentAt && a.latency.lastAnswer > t.sentAt
		if !t.call.silenceCounted && onlyItIsSilent && age.Seconds() > a.hedgeDelay(t.part.query) {
			a.countSilence(t)
		}
	}
}

// countSilence counts a call without an answer.
func (a *Aggregator) countSilence(t *attempt) {
	t.call.silenceCounted, t.replica.outlier.failingFast = true, false
	a.addProbeCredit(silenceWeight)
	a.recordConnSilence(t)
	if !a.health.panicMode {
		a.addFailure(t.replica)
	}
}

// startTrial ends the wait of an ejected replica: it is probed, and half open once the probe is answered. Where probes are
// not permitted it is half open at once.
func (a *Aggregator) startTrial(r *replica) {
	if !r.outlier.ejected || r.outlier.halfOpen || a.now < r.outlier.trialAt || r.excluded {
		return
	}
	r.outlier.trialAt, r.outlier.halfOpen = a.now+r.outlier.ejectionTime, !a.settings.Limits.Probes
	if a.settings.Limits.Probes {
		a.act(Action{Kind: Probe, Replica: r.member.Replica})
	}
}
