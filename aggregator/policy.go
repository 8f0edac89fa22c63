package aggregator

// How a round goes: events are taken in, then each open query is let in or turned away, moved on, and ended.
// The types that it works on (Settings, Event, Action) are in aggregator.go.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const ( // in shares of what the settings state or the aggregator has observed
	excessSampleWeight  = 0.3  // of a new sample in a replica's excess
	baseQuantile        = 0.10 // of a class's latencies: what a part takes on an unloaded replica
	tailQuantile        = 0.95 // and what few exceed
	recentPriorities    = 128  // recent queries that a new one is ranked among
	minQuantileStep     = 0.02 // least share by which a quantile follows a new value
	admitShareLowest    = 0.50 // share of the aim within which the least worthy query must be expected
	admitShareHighest   = 1.00 // and the worthiest
	stragglerFactor     = 0.75 // excesses of the fleet for each e-fold of parts: a query's parts are slow together
	hedgeTailMultiple   = 2.0  // high latencies after which a part stands out
	hedgeMedianMultiple = 4.0  // and median latencies, whichever is later
	secondStepMultiple  = 2.5  // high latencies of a part that are left for a second step, whose slowest part decides
	minLateShare        = 0.25 // late worth under which a query ends at its aim
	shedMultiple        = 6.0  // usual latencies in the forecast above which an answer does without a part
	queryOfDeathResets  = 2    // replicas that may break under a query without any answer
	uncontendedShare    = 0.8  // share of the open queries and parts above which only worthy queries enter
	reserveShare        = 0.2  // share of the class's deadline that is kept back for a standstill of this node
	pauseLifetime       = 8.0  // longest aims for which a standstill is expected again
	weightTolerance     = 5e-5 // by which all weights may fall short of 1: half of what the rules allow
	removedLifetime     = 40.0 // longest aims for which a replica that has left the list may come back as it was
	firstPollShare      = 0.06 // share of the rule's time between list calls over which the first one is spread
)

// Step takes in the events of a round, in order, and appends the actions to out.
func (a *Aggregator) Step(now time.Duration, events []Event, out []Action) []Action {
	a.now, a.out = max(now, a.now), out
	a.round++
	a.detectPause()
	for i := range events {
		a.handle(&events[i])
	}
	a.pollEndpoints()
	a.reviewReplicas()
	next := a.pollAt
	for _, q := range a.live {
		next = min(next, a.advance(q))
	}
	a.live = slices.DeleteFunc(a.live, func(q *query) bool { return q.ended })
	a.publishGossip()
	a.scheduleWake(next)
	out, a.out = a.out, nil
	return out
}

// advance moves one query on and returns when it next needs attention.
func (a *Aggregator) advance(q *query) time.Duration {
	got, open, _ := q.weights()
	late, next := q.objective-3*a.settings.Tick, q.deadline-2*a.settings.Tick
	early := late - a.secondStepTime(q)
	switch {
	case q.ended:
	case a.now >= next:
		a.settle(q, DeadlineExceeded)
	case len(q.parts) < q.partCount:
		return next
	case !q.admitted && !a.admit(q):
		a.giveUp(q, q.rejection)
	case open == 0 || q.step == 0 && got >= a.settings.Classes[q.class].CompleteShare-weightTolerance:
		a.settle(q, AttemptsExhausted)
	case a.now >= early && a.prefersPartial(q, got), a.now >= late && a.usefulUntil(q) == q.objective:
		a.settle(q, DeadlineExceeded)
	case q.resets >= queryOfDeathResets && !q.answered:
		a.lastQueryOfDeath = a.now
		a.giveUp(q, QueryOfDeath)
	case a.now < early:
		return a.dispatchParts(q, early)
	case a.now < late:
		return a.dispatchParts(q, late)
	default:
		return a.dispatchParts(q, next)
	}
	return math.MaxInt64
}

// place sends what a query may send now, part by part, and returns when it next needs attention.
func (a *Aggregator) dispatchParts(q *query, next time.Duration) time.Duration {
	hold := a.now
	room, until := a.canaryLimit(q)
	for _, p := range q.parts {
		if !p.answered && p.openAttempts() == 0 {
			hold = max(hold, a.now+a.probeHolders(p))
		}
	}
	for _, p := range q.parts {
		if p.answered || p.abandoned {
			continue
		}
		if room <= 0 && p.openAttempts() == 0 && !a.joinsCall(p, a.pickReplica(p)) {
			next = min(next, max(a.now+a.settings.Tick, until))
			continue
		}
		sent := len(p.attempts)
		when, hopeless := a.sendOrRetry(p, hold)
		if n := len(p.attempts); n > sent && p.attempts[n-1].call.first == p.attempts[n-1] {
			room--
		}
		if p.abandoned = hopeless; hopeless && !a.answerable(q) {
			a.settle(q, AttemptsExhausted)
			return math.MaxInt64
		} else if !hopeless {
			next = min(next, when)
		}
	}
	return next
}

// least is the share of the weight from which a step can be answered at all; weights may be rounded.
func (a *Aggregator) requiredShare(q *query) float64 {
	c := &a.settings.Classes[q.class]
	if q.step > 0 && c.MinShare >= c.CompleteShare {
		return 1 - weightTolerance
	}
	return min(c.CompleteShare, c.MinShare) - weightTolerance
}

// settle ends a query with the best that is in: a whole answer, a partial one, or none.
func (a *Aggregator) settle(q *query, why Reason) {
	c := &a.settings.Classes[q.class]
	got, _, missing := q.weights()
	whole := got >= c.CompleteShare-weightTolerance
	if q.step > 0 {
		whole = missing == 0 && q.firstStepComplete
	}
	if got < a.requiredShare(q) || len(q.parts) < q.partCount {
		a.giveUp(q, why)
		return
	}
	if q.step == 0 && c.FetchParts > 0 {
		if q.deadline-a.now <= 2*a.settings.Tick {
			a.giveUp(q, DeadlineExceeded) // an answer now would open a second step and end nothing
			return
		}
		done := 0
		for _, p := range q.parts {
			if p.answered {
				done++
			}
			a.dropPart(p)
		}
		q.step, q.firstStepComplete, q.parts, q.partCount = 1, whole, nil, min(c.FetchParts, done)
		a.out = append(a.out, Action{Kind: Answer, Query: q.id, Complete: whole})
		return
	}
	a.out = append(a.out, Action{Kind: Answer, Query: q.id, Complete: whole, Final: true})
	a.closeQuery(q)
}

// giveUp ends a query without an answer, at once. A refusal says that asking again is harmless and when;
// where a part that must not be repeated freely may have run, only a failure is honest.
func (a *Aggregator) giveUp(q *query, why Reason) {
	kind, wait := Reject, time.Duration(0)
	for _, p := range q.parts {
		if a.settings.Classes[q.class].Effect != Safe && (p.mayRun || p.openAttempts() > 0) {
			kind = Fail
		}
	}
	if a.settings.Limits.SendRetryAfter && kind == Reject {
		s := a.medianExcess + a.typicalLatency()*(1+a.rng.Float64())
		wait = min(scale(s, time.Second), a.settings.Limits.MaxRetryAfter)
	}
	a.out = append(a.out, Action{Kind: kind, Query: q.id, Reason: why, After: wait})
	a.closeQuery(q)
}

// admit decides on a new query. It is let in if it can be expected within a share of its aim that grows
// with its worth for the work, compared with the queries seen lately; so load that can't be served is
// turned away early, the least worthy first, and more of it the longer the wait has grown.
func (a *Aggregator) admit(q *query) bool {
	q.admitted = true
	rank := a.rank(q)
	for _, p := range q.parts {
		p.forecast = a.forecast(p)
	}
	soonest := slices.Clone(q.parts)
	slices.SortFunc(soonest, func(p, o *part) int { return cmp.Compare(p.forecast, o.forecast) })
	wait, sum := 0.0, 0.0
	for _, p := range soonest {
		if sum < a.requiredShare(q) {
			wait, sum = p.forecast, sum+p.weight
		}
	}
	if q.rejection = NoReplica; math.IsInf(wait, 1) {
		return false
	}
	if wait += a.stragglerWait(q); a.settings.Classes[q.class].FetchParts > 0 {
		wait *= 1.5
	}
	q.rejection = OverCapacity
	if m := float64(a.settings.Limits.MaxOpen); m > 0 && float64(a.heldItems()) > m*(uncontendedShare+(1-uncontendedShare)*rank) {
		return false
	}
	q.rejection = ForecastTooLate
	if wait > (admitShareLowest+(admitShareHighest-admitShareLowest)*rank)*(q.objective-a.now).Seconds() {
		return false
	}
	a.shedParts(q, soonest)
	return true
}

// shedParts leaves out at once the parts that an answer can do without and whose holders are all pressed, the
// slowest first. They would come late or not at all, and take what queries need that must have all their
// parts. Half of what may be missing is kept for parts that fail. Where few nodes share the load, each knows
// it from its own parts, and one that is expected within the aim comes; of many, each hears of a jam late.
func (a *Aggregator) shedParts(q *query, soonest []*part) {
	c, rest := &a.settings.Classes[q.class], 1.0
	if c.PartialShare == 0 || c.FetchParts > 0 {
		return
	}
	pressed := math.Max(shedMultiple*a.baseLatency(q), a.visibleShare()*admitShareLowest*(q.objective-a.now).Seconds())
	for _, p := range slices.Backward(soonest) {
		if p.forecast < pressed || rest-p.weight < (c.MinShare+c.CompleteShare)/2 {
			return
		}
		p.abandoned, rest = true, rest-p.weight
	}
}

// forecast is how long a part may take at the best holder, an ejected one only where there is no other.
func (a *Aggregator) forecast(p *part) float64 {
	best, spare := math.Inf(1), math.Inf(1)
	for _, r := range a.holders(p.shard) {
		switch {
		case !a.usable(p, r):
		case r.ejected:
			spare = math.Min(spare, a.expectedLatency(p.query, r))
		default:
			best = math.Min(best, a.expectedLatency(p.query, r))
		}
	}
	if math.IsInf(best, 1) {
		return spare
	}
	return best
}

// rank places a query among the recent ones by worth for work, from 0 (least) to 1. What a tenant asks
// above its share counts for little.
func (a *Aggregator) rank(q *query) float64 {
	c := &a.settings.Classes[q.class]
	worth := c.Priority
	if !a.settings.PriorityPerWork {
		work := float64(len(q.parts)) * a.baseLatency(q)
		if c.FetchParts > 0 {
			work *= 1 + 0.5*float64(c.FetchParts)/float64(max(len(q.parts), 1))
		}
		worth /= math.Max(work, 1e-3)
	}
	if q.tenant >= 0 && q.tenant < len(a.tenantQueries) {
		w, again := &a.tenantQueries[q.tenant], &a.tenantRetries[q.tenant]
		if w.times = append(w.times, a.now); q.retry {
			again.times = append(again.times, a.now)
		}
		share, since := a.settings.Tenants[q.tenant].Rate/float64(a.settings.Aggregators), a.now-2*time.Second
		// Where most of what a tenant asks is asked again, its retries count as over its share.
		asked, repeats := float64(w.countSince(since)), float64(again.countSince(since))
		if asked > 2*share+3 || q.retry && repeats > 2 && 2*repeats > asked {
			worth *= a.settings.OverQuotaFactor
		}
	}
	q.priority = worth
	below, equal, n := a.priorities.compareAndAdd(worth)
	if n == 0 {
		return 1
	}
	return (below + equal*a.rng.Float64()) / n
}

// stragglerWait is by how much the last part that a query needs may come after a typical one. The largest of
// n waits that fall off exponentially lies ln n means above none, and the forecast of a part holds one. It
// goes by what the median replica shows: a few slow or pausing ones are no load that refusals would ease.
func (a *Aggregator) stragglerWait(q *query) float64 {
	missed := max(1-a.requiredShare(q), 1/float64(max(len(q.parts), 1)))
	return stragglerFactor * a.medianExcess * math.Max(-math.Log(missed)-1, 0)
}

// reserve is what is kept back of a query's time. A node that stands still past the end of a query has lost
// it, and the first standstill comes unannounced; after one, the next may be as long. It costs answers that
// would come in the last moment of a short try.
func (a *Aggregator) reserve(class int, left time.Duration) time.Duration {
	return min(max(scale(reserveShare, a.settings.Classes[class].Deadline), a.longestPause+a.longestPause/8), left/2)
}

// useful is how long an answer is worth its work. A late answer is worth little; while the whole fleet is
// slow, what it takes is taken from queries that could still be in time, and a jam would feed on it.
func (a *Aggregator) usefulUntil(q *query) time.Duration {
	if c := &a.settings.Classes[q.class]; c.LateShare < minLateShare || a.medianExcess > a.typicalLatency() {
		return q.objective
	}
	return q.deadline
}

// second is the time that the second step of a query may take, where one is still to come: a partial answer
// that leaves no time for it is worth nothing.
func (a *Aggregator) secondStepTime(q *query) time.Duration {
	c := &a.settings.Classes[q.class]
	if q.step > 0 || c.FetchParts == 0 {
		return 0
	}
	if s := &a.latencies[2*q.class+1]; s.high.samples > 0 {
		return min(scale(secondStepMultiple*s.high.value, time.Second), c.LatencyObjective/2)
	}
	return c.LatencyObjective / 4
}

// partialPays tells whether a partial answer now beats a whole one after the aim.
func (a *Aggregator) prefersPartial(q *query, got float64) bool {
	c := &a.settings.Classes[q.class]
	return got >= c.MinShare && c.MinShare < c.CompleteShare && c.PartialShare*got/c.CompleteShare > c.LateShare
}

// patience is how long a part may take before it stands out.
func (a *Aggregator) hedgeDelay(q *query) float64 {
	s, aim := a.latencyOf(q), a.settings.Classes[q.class].LatencyObjective.Seconds()
	if s.high.samples < 30 {
		return aim / 2
	}
	return math.Min(math.Max(hedgeTailMultiple*s.high.value, hedgeMedianMultiple*s.median.value), aim/2)
}

// overdue is when the last attempt of a part should be answered by another: once it stands out among its
// class, early enough that another fits in before the aim.
func (a *Aggregator) hedgeAt(p *part) time.Duration {
	t, q := p.attempts[len(p.attempts)-1], p.query
	wait := a.hedgeDelay(q)
	if t.replica.ejected {
		wait = math.Min(wait, a.latencyOf(q).median.value*1.5)
	}
	return t.sentAt + scale(wait, time.Second)
}

// noticeStandstill notes whether this node itself stood still: its turn comes later than the wake that it
// asked for. What ended meanwhile is told late, and its latency counts without the delay.
func (a *Aggregator) detectPause() {
	if a.stepDelay = 0; a.now-a.lastPause > scale(pauseLifetime, a.maxObjective()) {
		a.longestPause = 0
	}
	if a.wakeAt < 0 || a.now < a.wakeAt {
		return
	}
	if lag := a.now - a.wakeAt; lag > 4*a.settings.Tick {
		a.stepDelay, a.longestPause, a.lastPause = lag, max(lag, a.longestPause), a.now
	}
	a.wakeAt = -1
}

// requestList subscribes to the list where it must be asked for: at the start, and after each refusal with a
// pause that doubles up to a quarter of the time after which the drain rule takes what is listed as told.
// Pauses are drawn at random, so that nodes that start together don't ask in step.
func (a *Aggregator) pollEndpoints() {
	if a.pollFailed {
		a.pollFailed = false
		share := firstPollShare * math.Exp2(float64(a.pollFailures)) * a.rng.Float64()
		a.pollAt = a.now + scale(share, max(a.settings.Rules.PollInterval, a.maxObjective()))
		a.pollFailures = min(a.pollFailures+1, 2)
	}
	if a.now >= a.pollAt {
		a.pollAt = math.MaxInt64
		a.out = append(a.out, Action{Kind: PollEndpoints})
	}
}

// updateList brings the fleet up to date. What it says of draining is binding at once, well within the grace;
// that a replica runs is a hint only.
func (a *Aggregator) updateList(e *Event) {
	if e.Kind != ListChanged {
		for _, r := range a.replicas {
			r.excluded = true
			r.markRemoved(a.now)
		}
	}
	for _, m := range e.Members {
		if m.ShardSet < 0 || m.ShardSet >= a.settings.ShardSets {
			continue
		}
		r := a.replicaByName[m.Replica]
		if r == nil {
			r = &replica{member: m, tag: replicaTag(m.Replica)}
			a.replicaByName[m.Replica], a.replicaByTag[r.tag] = r, r
			a.replicas = append(a.replicas, r)
			a.shardSets[m.ShardSet] = append(a.shardSets[m.ShardSet], r)
			a.startSlowStart(r, m.Started, a.listed && m.Started == 0)
		} else if m.Started > r.member.Started {
			a.startSlowStart(r, m.Started, false)
		}
		if r.member.State == Serving && m.State == Gone {
			a.lastCrash = a.now
		}
		a.moveShardSet(r, m.ShardSet)
		if r.member, r.excluded = m, m.State != Serving; m.State == Gone {
			r.markRemoved(a.now)
		} else {
			r.removedAt = 0
		}
	}
	a.listed, a.pollFailures = true, 0
}

// tellPeers tells the other nodes, where it may, what this one has sent and seen: at once after a send, else
// now and then. A message costs its bytes for each receiver.
func (a *Aggregator) publishGossip() {
	if len(a.pendingGossip) > 0 && (a.pendingGossip[len(a.pendingGossip)-1].kind == gossipSent || a.now-a.gossipSentAt > 10*a.settings.Tick) {
		a.out = append(a.out, Action{Kind: SendGossip, Data: encodeGossip(a.pendingGossip, a.maxObjective())})
		a.pendingGossip, a.gossipSentAt = a.pendingGossip[:0], a.now
	}
}

// takePeerNews takes in what another node sent and saw. These are hints of listed replicas, for ties and
// the forecast; what this node has just heard of a replica itself comes first, and no hint ejects.
func (a *Aggregator) applyGossip(e *Event) {
	for _, n := range decodeGossip(e.Data, a.maxObjective()) {
		r := a.replicaByTag[n.tag]
		switch {
		case r == nil:
		case n.kind == gossipSent:
			r.peerWork, r.peerWorkAt = a.decayedPeerWork(r)+n.span.Seconds(), a.now
		case r.lastAnswer == 0 || a.now-r.lastAnswer > a.freshness():
			r.excess, r.excessAt = a.decayedExcess(r)+excessSampleWeight/2*(n.span.Seconds()-a.decayedExcess(r)), a.now
		}
	}
}
