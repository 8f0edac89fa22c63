package aggregator

import (
	"math"
	"time"
)

const (
	fullViewAggregators = 3.0  // nodes up to which each sees all that there is to see
	probesPerFailure    = 12.0 // by each bad sign, spent by probing holders before a part
	freshnessShare      = 0.4  // share of the longest aim after which a replica must be heard again, on guard
	probeWaitShare      = 0.04 // share of the aim that a part waits for the probes of its holders
)

// probed takes in the answer to a probe. One that fails is as bad a sign as a part that fails.
func (a *Aggregator) probeEnded(e *Event) {
	r := a.endpoints.byName[e.Replica]
	if r == nil {
		return
	}
	if e.Outcome == Errored {
		// It answers, and will not say more: it is probed by many. That is no sign against it.
		r.health.lastProbeAnswer, r.health.suspectedAt = a.now, 0
		return
	}
	if e.Outcome != OK {
		r.health.suspectedAt = a.now
		a.addProbeCredit(1)
		if r.outlier.ejected && !r.outlier.halfOpen {
			a.eject(r)
		} else {
			a.addFailure(r)
		}
		return
	}
	r.health.lastProbeAnswer, r.health.suspectedAt, r.health.reportedLoad = a.now, 0, 0
	// What it says that it holds, the larger figure where one may include the other, tells ties while fresh.
	if x := max(e.LoadReport["inflight"], e.LoadReport["queue"]); x > 0 && x < math.MaxInt32 {
		r.health.reportedLoad = x
	}
	r.outlier.halfOpen = r.outlier.halfOpen || r.outlier.ejected
}

// addProbeCredit notes a bad sign: a reset, a failed connect or probe, a silence. It puts the node on guard
// by earning probes; they run out soon where all of them come back.
func (a *Aggregator) addProbeCredit(weight float64) {
	a.health.probeCredit = math.Min(a.health.probeCredit+a.visibleShare()*weight*probesPerFailure, a.visibleShare()*float64(len(a.endpoints.replicas)))
}

// visibleShare is how much of what there is to see this node sees itself: all where there are few nodes.
func (a *Aggregator) visibleShare() float64 {
	return math.Min(1, fullViewAggregators/float64(a.settings.Aggregators))
}

// freshness is how long what was heard of a replica holds.
func (a *Aggregator) freshness() time.Duration { return scale(freshnessShare, a.maxObjective()) }

// doubtful tells whether a replica failed a part or a probe, or owed an answer, a short while ago.
func (a *Aggregator) suspect(r *replica) bool {
	return r.health.suspectedAt > 0 && a.now-r.health.suspectedAt < a.maxObjective()
}

// probeHolders asks the holders of a part that were not heard lately whether they answer at all, and tells
// how long to wait for that. It acts on guard only: a node that seldom sends a replica a part learns of its
// death too late from the parts themselves. A replica that owes its answer by then is doubted, not ejected.
func (a *Aggregator) probeHolders(p *part) (wait time.Duration) {
	if !a.settings.Limits.Probes || !a.health.staleView || a.health.probeCredit < 1 || a.now-p.query.arrived > p.query.objective-a.now {
		return 0
	}
	patience := scale(probeWaitShare, a.settings.Classes[p.query.class].LatencyObjective)
	for _, r := range a.holders(p.shard) {
		if r.excluded || r.outlier.ejected || !a.suspect(r) && a.now-max(r.health.lastProbeAnswer, r.latency.lastAnswer) < a.freshness() {
			continue
		}
		if r.health.lastProbe <= max(r.health.lastProbeAnswer, r.latency.lastAnswer) || a.now-r.health.lastProbe > a.freshness() {
			r.health.lastProbe = a.now
			a.health.probeCredit--
			a.out = append(a.out, Action{Kind: Probe, Replica: r.member.Replica})
		}
		if left := r.health.lastProbe + patience - a.now; left > 0 {
			wait = max(wait, left)
		} else {
			r.health.suspectedAt = a.now
		}
	}
	return wait
}

// replicaHealth is what the health checks of one replica show.
type replicaHealth struct {
	lastProbe       time.Duration // when a probe was last sent ahead of a part
	lastProbeAnswer time.Duration
	suspectedAt     time.Duration // when it failed a probe or a part, or owed an answer to a probe; 0 once it answers
	reportedLoad    float64       // requests that its last load report said it holds
}

// fleetHealth is what this aggregator knows of the fleet's health.
type fleetHealth struct {
	panicMode   bool    // half of the replicas are ejected, so further ejections are not believed
	staleView   bool    // under half of the replicas have answered lately
	probeCredit float64 // probes that may be sent ahead of parts
}
