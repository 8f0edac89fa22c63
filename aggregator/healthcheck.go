package aggregator

import (
	"math"
	"time"
)

const (
	// fullViewAggregators is up to how many aggregators each one sees all that there is to see of the fleet.
	fullViewAggregators = 3.0
	// probesPerFailure is how many probes a failure allows.
	probesPerFailure = 12.0
	// freshnessShare is for which share of the longest latency objective an answer counts as recent.
	freshnessShare = 0.4
	// probeWaitShare is for which share of its latency objective a part waits for the probes of its holders.
	probeWaitShare = 0.04
)

// replicaHealth is what the health checks of one replica show.
type replicaHealth struct {
	lastProbe       time.Duration // when a probe was last sent ahead of a part
	lastProbeAnswer time.Duration
	suspectedAt     time.Duration // when it last failed a probe or a part, or left a probe unanswered; 0 once it answers
	reportedLoad    float64       // requests that it held by its last load report
}

// fleetHealth is what this aggregator knows of the health of all replicas.
type fleetHealth struct {
	panicMode   bool    // half of the replicas are ejected, so silence is no reason for further ejections
	staleView   bool    // under half of the replicas have answered lately
	probeCredit float64 // probes that may be sent ahead of parts
}

// probeEnded takes in the outcome of a probe. A failed probe counts like a failed part.
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
		// It answers and rejects the probe, as many probe it: no sign against it.
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

// reportedLoad is how many requests a replica says it holds: the larger figure, as one may include the other. Absurd
// reports count as none.
func reportedLoad(report map[string]float64) float64 {
	if load := max(report["inflight"], report["queue"]); load > 0 && load < math.MaxInt32 {
		return load
	}
	return 0
}

// addProbeCredit allows further probes after a failure of the given weight. The credit is bounded, so that probes end soon
// where all of them are answered.
func (a *Aggregator) addProbeCredit(weight float64) {
	visible := a.visibleShare()
	a.health.probeCredit = math.Min(a.health.probeCredit+visible*weight*probesPerFailure, visible*float64(len(a.endpoints.replicas)))
}

// visibleShare is the share of what there is to see of the fleet that this aggregator sees itself.
func (a *Aggregator) visibleShare() float64 {
	return math.Min(1, fullViewAggregators/float64(a.settings.Aggregators))
}

// freshness is for how long an answer of a replica counts as recent.
func (a *Aggregator) freshness() time.Duration { return scale(freshnessShare, a.maxObjective()) }

// suspect tells whether a replica has failed a part or a probe, or left a probe unanswered, within the longest objective.
func (a *Aggregator) suspect(r *replica) bool {
	return r.health.suspectedAt > 0 && a.now-r.health.suspectedAt < a.maxObjective()
}

// probeHolders probes the holders of a part that have not answered lately and returns how long the part waits for that.
//
// It guards against parts lost on a dead replica: an aggregator that seldom sends a replica a part learns of its death from
// the loss of parts, while the endpoint list still says that it serves; the engineer on call sees time-outs that all
// aggregators have in turn. Probes are sent only after failures and while few replicas have answered lately, and early in a
// query. A replica that leaves a probe unanswered is suspected, not ejected.
func (a *Aggregator) probeHolders(p *part) (wait time.Duration) {
	if !a.settings.Limits.Probes || !a.health.staleView || a.health.probeCredit < 1 || a.now-p.query.arrived > p.query.objective-a.now {
		return 0
	}
	timeout := scale(probeWaitShare, a.settings.Classes[p.query.class].LatencyObjective)
	for _, r := range a.holders(p.shard) {
		lastSign := max(r.health.lastProbeAnswer, r.latency.lastAnswer)
		if r.excluded || r.outlier.ejected || !a.suspect(r) && a.now-lastSign < a.freshness() {
			continue
		}
		if r.health.lastProbe <= lastSign || a.now-r.health.lastProbe > a.freshness() {
			r.health.lastProbe = a.now
			a.health.probeCredit--
			a.act(Action{Kind: Probe, Replica: r.member.Replica})
		}
		if left := r.health.lastProbe + timeout - a.now; left > 0 {
			wait = max(wait, left)
		} else {
			r.health.suspectedAt = a.now
		}
	}
	return wait
}
