package aggregator

import (
	"cmp"
	"slices"
)

const (
	// slowHolderShare is the share of the time to the objective from which the expected latency of a part at a holder
	// counts as slow.
	slowHolderShare = 0.3
	// otherZoneFactor is the factor on the expected latency of a replica in another zone.
	otherZoneFactor = 1.5
	// maxSharedCallShare is the share of the time to the objective that the parts of a call may fill for another part to
	// join.
	maxSharedCallShare = 0.25
	// minLatencyNoise and latencyNoise are the minimum and the range of the random factor on a replica's expected latency,
	// which keeps aggregators with the same information from all picking the same replica.
	minLatencyNoise = 0.8
	latencyNoise    = 0.4

	ejectedPenalty = 1.0 // for an ejected replica
	suspectPenalty = 0.5 // for a replica that is suspected to be down
	failedPenalty  = 2.0 // for each earlier attempt of the part at the replica
)

// placementRank orders the replicas that may take a part; the lowest rank is picked.
type placementRank struct {
	penalty float64 // 0 for a replica in good standing
	calls   float64 // this aggregator's open calls, including the one for the part
	latency float64 // expected latency in seconds, with random noise
}

func (r *placementRank) compare(o *placementRank) int {
	if c := cmp.Compare(r.penalty, o.penalty); c != 0 {
		return c
	}
	if c := cmp.Compare(r.calls, o.calls); c != 0 {
		return c
	}
	return cmp.Compare(r.latency, o.latency)
}

// pickReplica returns the holder of a part's shard with the lowest rank, or nil if none is usable.
//
// Ranking by the open calls of this aggregator, which include the parts already placed in this round, places the parts of a
// query as a batch, as in Ousterhout et al., "Sparrow: Distributed, Low Latency Scheduling" (SOSP 2013). Observed latencies
// take the place of Sparrow's probes for queue lengths.
func (a *Aggregator) pickReplica(p *part) *replica {
	var best *replica
	var bestRank placementRank
	holders := a.holders(p.shard)
	allowTrial := a.allowTrial(p, holders)
	for _, r := range holders {
		if !a.usable(p, r) {
			continue
		}
		rank := a.rankReplica(p, r, allowTrial)
		if best == nil || rank.compare(&bestRank) < 0 {
			best, bestRank = r, rank
		}
	}
	return best
}

// allowTrial reports whether all holders of a part are so slow that an ejected one that fails fast is worth a trial: a
// failure costs little time, the part can be sent again, and more than half of the retry budget is left.
func (a *Aggregator) allowTrial(p *part, holders []*replica) bool {
	if len(p.attempts) > 0 || a.retryBudget.tokens <= maxRetryTokens/2 ||
		a.settings.Classes[p.query.class].Effect != Safe || a.settings.Limits.MaxAttempts <= 2 {
		return false
	}
	limit := slowHolderShare * (p.query.objective - a.now).Seconds()
	return !slices.ContainsFunc(holders, func(r *replica) bool {
		return !r.outlier.ejected && a.usable(p, r) && a.expectedLatency(p.query, r) < limit
	})
}

// rankReplica ranks a replica for a part: by its standing, then by its open calls, then by its expected latency.
func (a *Aggregator) rankReplica(p *part, r *replica, allowTrial bool) placementRank {
	rank := placementRank{penalty: a.placementPenalty(p, r, allowTrial), calls: float64(r.calls.open + 1)}
	rank.latency = (a.currentExcess(r) + a.decayedPeerWork(r) + a.baseLatency(p.query)) *
		(minLatencyNoise + latencyNoise*a.rng.Float64())
	if r.member.Zone != a.settings.Zone {
		rank.latency *= otherZoneFactor
	}
	if r.health.lastProbeAnswer > 0 && a.now-r.health.lastProbeAnswer < a.freshness() {
		rank.latency *= 1 + r.health.reportedLoad
	}
	if a.joinsCall(p, r) {
		rank.calls--
		rank.latency = 0
	} else if a.settings.CallCost > 0 {
		// Among equals, prefer the replica that can take most of the query's parts in one call.
		rank.latency /= float64(a.batchableParts(p.query, r))
	}
	return rank
}

// placementPenalty returns the penalty of a replica for a part, by its standing. A half-open replica gets a trial part as
// if it were in good standing; with allowTrial, so does one that fails fast.
func (a *Aggregator) placementPenalty(p *part, r *replica, allowTrial bool) (penalty float64) {
	halfOpenTrial := r.outlier.halfOpen && len(r.calls.inFlight) == 0 && len(p.attempts) == 0
	trial := halfOpenTrial || allowTrial && r.outlier.failingFast
	switch {
	case r.outlier.ejected && !trial:
		penalty = ejectedPenalty
	case !r.outlier.ejected && a.suspect(r):
		penalty = suspectPenalty
	}
	for _, t := range p.attempts {
		if t.replica == r {
			penalty += failedPenalty
		}
	}
	return penalty
}

// usable reports whether a part may be sent to r at all: r is neither draining nor gone nor in backoff, has no open attempt
// of the part, and, if it is in slow start, may be sent more.
func (a *Aggregator) usable(p *part, r *replica) bool {
	if r.excluded || a.now < r.outlier.backoffUntil {
		return false
	}
	for _, t := range p.attempts {
		if t.open && t.replica == r {
			return false
		}
	}
	return !r.slowStart.active || a.slowStartAllows(p, r)
}

// batchableParts returns how many unsent parts of a query r could take in one call, at least 1.
func (a *Aggregator) batchableParts(q *query, r *replica) (n int) {
	sets := a.settings.ShardSets
	for _, p := range q.parts {
		if len(p.attempts) == 0 && (r.member.ShardSet-p.shard%sets+sets)%sets < a.settings.Reach {
			n++
		}
	}
	return min(max(n, 1), a.settings.Limits.MaxBatch)
}
