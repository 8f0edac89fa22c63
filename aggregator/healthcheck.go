package aggregator

import (
	"math"
	"time"
)

const (
	// fullViewAggregators is the number of aggregators up to which each one observes the whole fleet.
	fullViewAggregators = 3.0
	// probesPerFailure is the number of probes that a failure allows.
	probesPerFailure = 12.0
	// freshnessShare is the age up to which an answer counts as recent, as a share of the longest latency objective.
	freshnessShare = 0.4
	// probeWaitShare is the time that a part waits for probes of its holders, as a share of its latency objective.
	probeWaitShare = 0.04
)

// replicaHealth holds the results of the health checks of one replica.
type replicaHealth struct {
	lastProbe       time.Duration // when it was last probed ahead of a part
	lastProbeAnswer time.Duration
	suspectedAt     time.Duration // when it last failed a probe or a part, or left a probe unanswered; 0 once it answers
	reportedLoad    float64       // number of requests in its last load report
}

// fleetHealth is the health of all replicas as this aggregator sees it.
type fleetHealth struct {
	panicMode   bool    // at least half of the replicas are ejected, so unanswered calls cause no further ejections
	staleView   bool    // fewer than half of the replicas have answered recently
	probeCredit float64 // number of probes that may be sent ahead of parts
}

// probeEnded processes the outcome of a probe. A failed probe counts like a failed part.
func (a *Aggregator) probeEnded(e *Event) {
	r := a.endpoints.byName[e.Replica]
	if r == nil {
		return
	}
	switch e.Outcome {
	case OK:
		r.health.lastProbeAnswer, r.health.suspectedAt, r.health.reportedLoad = a.now, 0, reportedLoad(e.LoadReport)
		r.outlier.halfOpen = r.outlier.halfOpen || r.outlier.ejected
	case Errored:
		// The replica answers but rejects the probe because too many aggregators probe it. That is not a failure.
		r.health.lastProbeAnswer, r.health.suspectedAt = a.now, 0
	default:
		r.health.suspectedAt = a.now
		a.addProbeCredit(1)
		if r.outlier.ejected && !r.outlier.halfOpen {
			a.eject(r)
		} else {
			a.addFailure(r)
		}
	}
}

// reportedLoad returns the number of requests in a load report: the larger of its values, as one may include the other.
// Implausible values count as 0.
func reportedLoad(report map[string]float64) float64 {
	if load := max(report["inflight"], report["queue"]); load > 0 && load < math.MaxInt32 {
		return load
	}
	return 0
}

// addProbeCredit allows further probes after a failure of the given weight. The credit is bounded, so that probing ends
// soon if all probes are answered.
func (a *Aggregator) addProbeCredit(weight float64) {
	visible := a.visibleShare()
	a.health.probeCredit = math.Min(a.health.probeCredit+visible*weight*probesPerFailure, visible*float64(len(a.endpoints.replicas)))
}

// visibleShare returns the share of the observable state of the fleet that this aggregator sees itself.
func (a *Aggregator) visibleShare() float64 {
	return math.Min(1, fullViewAggregators/float64(a.settings.Aggregators))
}

// freshness returns how long an answer of a replica counts as recent.
func (a *Aggregator) freshness() time.Duration { return scale(freshnessShare, a.maxObjective()) }

// suspect reports whether a replica failed a part or a probe, or left a probe unanswered, within the longest latency
// objective.
func (a *Aggregator) suspect(r *replica) bool {
	return r.health.suspectedAt > 0 && a.now-r.health.suspectedAt < a.maxObjective()
}

// probeHolders probes the holders of a part that have not answered recently and returns how long the part waits for the
// replies.
//
// It prevents losing parts on a dead replica: an aggregator that seldom sends a replica a part learns of its death from
// lost parts while the endpoint list still says that it serves, so queries time out at one aggregator after the other.
// Probes are sent only after failures, while few replicas have answered recently, and early in a query. A replica that
// leaves a probe unanswered is suspected, not ejected.
func (a *Aggregator) probeHolders(p *part) (wait time.Duration) {
	if !a.settings.Limits.Probes || !a.health.staleView || a.health.probeCredit < 1 || a.now-p.query.arrived > p.query.objective-a.now {
		return 0
	}
	timeout := scale(probeWaitShare, a.settings.Classes[p.query.class].LatencyObjective)
	for _, r := range a.holders(p.shard) {
		lastAnswer := max(r.health.lastProbeAnswer, r.latency.lastAnswer)
		if r.excluded || r.outlier.ejected || !a.suspect(r) && a.now-lastAnswer < a.freshness() {
			continue
		}
		if r.health.lastProbe <= lastAnswer || a.now-r.health.lastProbe > a.freshness() {
			r.health.lastProbe = a.now
			a.health.probeCredit--
			a.emit(Action{Kind: Probe, Replica: r.member.Replica})
		}
		if left := r.health.lastProbe + timeout - a.now; left > 0 {
			wait = max(wait, left)
		} else {
			r.health.suspectedAt = a.now
		}
	}
	return wait
}
