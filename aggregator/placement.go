package aggregator

// Which replica gets a part, whether it is sent again, and what a replica in slow start may be sent.

import (
	"math"
	"slices"
	"time"
)

const ( // in shares of what the settings state or the aggregator has observed
	retryCreditPerSend  = 0.10  // further attempts earned by each first send, beside the rule's ration
	maxRetryCredit      = 8.0   // and saved up at most
	quickRetryCost      = 0.3   // of one further attempt, for a retry after an attempt that ended quickly
	assumedLatencyShare = 0.1   // share of the aim that a part is taken to need before any was answered
	stragglerPartShare  = 0.125 // share of a query's parts: so few are worth a second copy on suspicion
	pressedShare        = 0.3   // share of the aim in the forecast above which a shard is pressed
	otherZoneFactor     = 1.5   // a tie counts a replica of another zone as slower by this
	maxMeanOverBase     = 1.8   // latencies of light parts that the mean work of parts is taken for at most
	assumedWorkShare    = 0.2   // and the share of the aim before any was answered
	minWarmupCalls      = 8.0   // calls of all nodes in a falling window among which chance evens out
	maxSharedCallShare  = 0.25  // a shared call may fill this share of the time to the aim
	canaryFleetShare    = 0.12  // share of the fleet that a query may touch before its first answer
	canaryWaitShare     = 0.12  // share of the aim that the rest waits for that answer
)

// choose picks the replica of a part's shard that would hold the fewest of our calls, the query's earlier
// parts counted; of equals the one that answers faster, else at random. An ejected replica, or one that
// has failed this part, is taken only where no other is usable.
func (a *Aggregator) pickReplica(p *part) *replica {
	var best *replica
	var rank [3]float64
	holders := a.holders(p.shard)
	pressed := len(p.attempts) == 0 && a.retryCredit > maxRetryCredit/2 && a.settings.Classes[p.query.class].Effect == Safe &&
		a.settings.Limits.MaxAttempts > 2 && !slices.ContainsFunc(holders, func(r *replica) bool {
		return !r.ejected && a.usable(p, r) && a.expectedLatency(p.query, r) < pressedShare*(p.query.objective-a.now).Seconds()
	})
	for _, r := range holders {
		if !a.usable(p, r) {
			continue
		}
		mine := a.rankReplica(p, r, pressed)
		if best == nil || slices.Compare(mine[:], rank[:]) < 0 {
			best, rank = r, mine
		}
	}
	return best
}

func (a *Aggregator) rankReplica(p *part, r *replica, pressed bool) (rank [3]float64) {
	trial := r.halfOpen && len(r.inFlight) == 0 && len(p.attempts) == 0 || pressed && r.failingFast
	switch {
	case r.ejected && !trial:
		rank[0] = 1
	case !r.ejected && a.suspect(r):
		rank[0] = 0.5
	}
	for _, t := range p.attempts {
		if t.replica == r {
			rank[0] += 2
		}
	}
	rank[1] = float64(r.openCalls + 1)
	join := a.joinsCall(p, r)
	if join {
		rank[1]--
	}
	rank[2] = (a.currentExcess(r) + a.decayedPeerWork(r) + a.baseLatency(p.query)) * (0.8 + 0.4*a.rng.Float64())
	if r.member.Zone != a.settings.Zone {
		rank[2] *= otherZoneFactor
	}
	if r.lastProbeAnswer > 0 && a.now-r.lastProbeAnswer < a.freshness() {
		rank[2] *= 1 + r.reportedLoad
	}
	if join {
		rank[2] = 0
	} else if a.settings.CallCost > 0 {
		// Of equals, the one that can take most of the query's parts in one call.
		rank[2] /= float64(a.partsFor(p.query, r))
	}
	return rank
}

// joins tells whether a part would share the call that this round already sends to r.
func (a *Aggregator) joinsCall(p *part, r *replica) bool {
	if r == nil || r.currentCall == nil {
		return false
	}
	c := r.currentCall
	return c.round == a.round && c.size < a.settings.Limits.MaxBatch && a.settings.CallCost > 0 &&
		c.work < maxSharedCallShare*(p.query.objective-a.now).Seconds()
}

// usable is what the rules and the list leave: not draining or gone, no attempt of this part out, and
// within this front node's share of what a cold replica may be sent.
func (a *Aggregator) usable(p *part, r *replica) bool {
	if r.excluded || a.now < r.backoffUntil {
		return false
	}
	for _, t := range p.attempts {
		if t.open && t.replica == r {
			return false
		}
	}
	return !r.warming || a.slowStartAllows(p, r)
}

// expect is how long a part sent to r now may take: what r shows, or what its calls of ours will take at
// the pace at which calls have been answered. The pace sees a wave as it is sent, the excess only as it
// returns.
func (a *Aggregator) expectedLatency(q *query, r *replica) float64 {
	return math.Max(a.currentExcess(r)+a.decayedPeerWork(r)+a.baseLatency(q), math.Max(r.timePerCall, a.timePerCall)*float64(r.openCalls+1))
}

// excess is what a part sent to r now must expect above the usual: recent answers, or the age of the
// oldest attempt since the last answer, which tells of a pause or a hang before any answer does. An older
// one that others have overtaken tells of its part, not of r.
func (a *Aggregator) currentExcess(r *replica) float64 {
	x := a.decayedExcess(r)
	for _, t := range r.inFlight {
		if t.open && r.lastAnswer < t.sentAt {
			x = math.Max(x, (a.now-t.sentAt).Seconds()-a.baseLatency(t.part.query))
			break
		}
	}
	return x
}

// usual is the latency of a part on an unloaded replica, in seconds; a share of the aim until learned.
func (a *Aggregator) baseLatency(q *query) float64 {
	if s := a.latencyOf(q); s.base.samples > 0 {
		return s.base.value
	}
	return assumedLatencyShare * a.settings.Classes[q.class].LatencyObjective.Seconds()
}

// send starts an attempt. Its time-out is the time in which an answer is of use; servers may skip the
// rest.
func (a *Aggregator) send(p *part, r *replica) {
	q, fresh, begin := p.query, a.closeIdleConns(p, r), a.beginWithin(p)
	a.recordAttempt(p, r, fresh).call.work += a.baseLatency(q)
	a.recordGossip(r, gossipSent, scale(a.expectedWork(p), time.Second))
	if r.warming {
		r.allowance -= a.expectedWork(p)
		r.recentSends = append(r.recentSends, sentWork{a.now, a.expectedWork(p)})
		r.drawnAt, r.draw = a.now, a.rng.Float64()
	}
	end := a.usefulUntil(q) - 3*a.settings.Tick
	a.out = append(a.out, Action{Kind: Send, Part: p.id, Replica: r.member.Replica,
		After: max(end-a.now, time.Microsecond), BeginWithin: begin})
}

// sendOrRetry sends a part that has nothing out, or chases one whose attempt is overdue.
func (a *Aggregator) sendOrRetry(p *part, hold time.Duration) (next time.Duration, hopeless bool) {
	if p.openAttempts() == 0 {
		if !a.mayRetry(p) {
			return 0, true
		}
		if hold > a.now {
			return hold, false
		}
		if r := a.pickReplica(p); r != nil && a.spendRetryBudget(p) {
			a.send(p, r)
			return a.hedgeAt(p), false
		}
		return a.now + 2*a.settings.Tick, false
	}
	when := a.hedgeAt(p)
	if a.now < when {
		return when, false
	}
	last := p.attempts[len(p.attempts)-1]
	if last.abandoned || p.openAttempts() > 1 || !a.mayRetry(p) || !a.settings.Limits.Hedging && !a.settings.Limits.CanCancel {
		return math.MaxInt64, false
	}
	// Where all are slow it is load, and a further attempt adds to it: another must be clearly faster.
	r := a.pickReplica(p)
	p.endedQuickly = last.replica.ejected || last.call.silenceCounted
	// Answers to what was sent later are in: this one may be lost, and holds up a query that has the rest.
	_, left, _ := p.query.weights()
	chase := p.endedQuickly || last.replica.answeredSendAt >= last.sentAt && float64(left) <= stragglerPartShare*float64(len(p.query.parts))
	if !chase || r == nil || r.ejected || a.currentExcess(r) > (a.now-last.sentAt).Seconds()/2 || !a.withinRetryBudget(p) {
		return a.now + 4*a.settings.Tick, false
	}
	if a.settings.Limits.Hedging {
		a.spendRetryBudget(p)
		a.send(p, r)
		return a.hedgeAt(p), false
	}
	last.abandoned = true
	a.out = append(a.out, Action{Kind: Cancel, Part: p.id, Attempt: last.index})
	return a.now + 2*a.settings.Tick, false
}

// repeatable tells whether the rules allow p another attempt at all: the cap, and the class's effect.
func (a *Aggregator) mayRetry(p *part) bool {
	return len(p.attempts) == 0 || len(p.attempts) < a.settings.Limits.MaxAttempts && a.beginWithin(p) > 0
}

// begin is how long a further attempt may still begin: in a keyed class, for as long as a repeat is dropped.
func (a *Aggregator) beginWithin(p *part) time.Duration {
	c := &a.settings.Classes[p.query.class]
	since, may := p.firstRun, p.mayRun
	for _, t := range p.attempts {
		if t.open && (!may || t.sentAt < since) {
			since, may = t.sentAt, true
		}
	}
	switch {
	case !may || c.Effect == Safe:
		return math.MaxInt64
	case c.Effect == Keyed:
		return since + c.DedupWindow - 4*a.settings.Tick - a.now
	}
	return 0
}

// withinRetryBudget tells whether a further attempt is within the rule's ration and what has been saved up.
func (a *Aggregator) withinRetryBudget(p *part) bool {
	if b := a.settings.Rules; b.RetryWindow > 0 {
		taken := a.accepted.countSince(a.now - b.RetryWindow + a.settings.Tick)
		extras := a.retries.countSince(a.now - b.RetryWindow - a.settings.Tick)
		if float64(extras+1) > b.RetryFloor+b.RetryRatio*float64(taken) {
			return false
		}
	}
	return a.retryCredit >= p.retryCost()
}

// spendRetryBudget books a send: first sends earn, further ones pay.
func (a *Aggregator) spendRetryBudget(p *part) bool {
	if len(p.attempts) == 0 {
		a.retryCredit = math.Min(a.retryCredit+retryCreditPerSend, maxRetryCredit)
		return true
	}
	if !a.withinRetryBudget(p) {
		return false
	}
	a.retryCredit -= p.retryCost()
	if a.settings.Rules.RetryWindow > 0 {
		a.retries.times = append(a.retries.times, a.now)
	}
	return true
}

// canaryLimit is how many parts of a query may go out now. A query that breaks what runs it shows nothing
// before, so until a part is answered it may touch a small share of the fleet, and one replica while on guard
// or once a part was reset. It also spares a fleet that fails for other reasons; it costs a part's latency.
func (a *Aggregator) canaryLimit(q *query) (room int, until time.Duration) {
	until = q.firstSend + scale(canaryWaitShare, a.settings.Classes[q.class].LatencyObjective)
	shaken := q.resets > 0 || q.idleReset
	if a.lastCrash == 0 && !shaken || q.answered || q.firstSend > 0 && !shaken && a.now >= until {
		return math.MaxInt32, until
	}
	room = max(1, int(canaryFleetShare*float64(len(a.replicas))))
	if a.lastQueryOfDeath > 0 && a.now-a.lastQueryOfDeath < a.settings.Rules.WarmupTime || shaken {
		room = 1
	}
	for _, p := range q.parts {
		for _, t := range p.attempts {
			if t.open && t.call.first == t {
				room--
			}
		}
	}
	return room, until
}

// startSlowStart notes a start. A replica that appears without a time of start has started about now.
func (a *Aggregator) startSlowStart(r *replica, started time.Duration, unknown bool) {
	if unknown {
		started = a.now
	}
	if started > 0 && a.now-started < a.settings.Rules.WarmupTime {
		r.warming, r.warmupStart = true, max(started, r.warmupStart)
		r.ejected, r.failures, r.excess = false, 0, 0
	}
}

// slowStartRoom presumes one unit of work at a time, the slowest ramp and the other front nodes sending as
// much. Where a node's share is less than a part, it accrues and may be saved up for two falling windows.
// Calls are then rationed by chance: a die thrown anew with each one, and each window, says how much of it
// must have accrued, so that nodes don't send in step, and what is sent ahead is paid later. The die counts
// one window's share at most, as all may have saved. A call holds more parts while all nodes' room is large.
func (a *Aggregator) slowStartAllows(p *part, r *replica) bool {
	b := a.settings.Rules
	if b.OverloadMultiple == 0 || b.OverloadWindow == 0 {
		return true
	}
	grown := min(1, max(0, (a.now-r.warmupStart).Seconds()/math.Max(b.WarmupTime.Seconds(), 1e-3)))
	all := b.OverloadMultiple * (b.InitialCapacity + (1-b.InitialCapacity)*grown) * b.OverloadWindow.Seconds()
	room, work := all/float64(a.settings.Aggregators), a.expectedWork(p)
	r.recentSends = slices.DeleteFunc(r.recentSends, func(l sentWork) bool { return l.sentAt < a.now-b.OverloadWindow })
	sum := 0.0
	for _, l := range r.recentSends {
		sum += l.work
	}
	if r.accruedAt < r.warmupStart {
		r.accruedAt, r.allowance = r.warmupStart, 0
	}
	r.allowance = math.Min(r.allowance+room*(a.now-r.accruedAt).Seconds()/b.OverloadWindow.Seconds(), 2*room)
	if r.accruedAt = a.now; a.now >= r.drawnAt+b.OverloadWindow {
		r.drawnAt, r.draw = a.now, a.rng.Float64()
	}
	if room < work {
		most := max(1, int(all/(minWarmupCalls*work)))
		return a.joinsCall(p, r) && r.currentCall.size < most ||
			math.Min(r.allowance, room) >= work*float64(min(most, a.partsFor(p.query, r)))*r.draw
	}
	return sum+work*r.draw <= room
}

// expectedWork is the mean work that a part is expected to bring, its call included. That of
// light parts is known from an unloaded replica; the median holds the wait under load too, and is bounded.
func (a *Aggregator) expectedWork(p *part) float64 {
	mean := a.baseLatency(p.query)
	if s := a.latencyOf(p.query); s.median.samples > 0 {
		mean = min(max(mean, s.median.value), maxMeanOverBase*mean)
	} else {
		mean = max(mean, assumedWorkShare*a.settings.Classes[p.query.class].LatencyObjective.Seconds())
	}
	return math.Max(mean, p.work) + a.settings.CallCost.Seconds()
}
