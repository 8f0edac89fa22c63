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
	excessWeight = 0.3  // of a new sample in a replica's excess
	baseQuantile = 0.10 // of a class's latencies: what a part takes on an unloaded replica
	highQuantile = 0.95 // and what few exceed
	worthsKept   = 128  // recent queries that a new one is ranked among
	quantileStep = 0.02 // least share by which a quantile follows a new value
	admitLow     = 0.50 // share of the aim within which the least worthy query must be expected
	admitHigh    = 1.00 // and the worthiest
	straggling   = 0.75 // excesses of the fleet for each e-fold of parts: a query's parts are slow together
	chaseHigh    = 2.0  // high latencies after which a part stands out
	chaseMid     = 4.0  // and median latencies, whichever is later
	secondTimes  = 2.5  // high latencies of a part that are left for a second step, whose slowest part decides
	lateLeast    = 0.25 // late worth under which a query ends at its aim
	spareTimes   = 6.0  // usual latencies in the forecast above which an answer does without a part
	wreckLimit   = 2    // replicas that may break under a query without any answer
	roomShare    = 0.8  // share of the open queries and parts above which only worthy queries enter
	reserveShare = 0.2  // share of the class's deadline that is kept back for a standstill of this node
	stallAims    = 8.0  // longest aims for which a standstill is expected again
	rounding     = 5e-5 // by which all weights may fall short of 1: half of what the rules allow
	goneAims     = 40.0 // longest aims for which a replica that has left the list may come back as it was
	askShares    = 0.06 // share of the rule's time between list calls over which the first one is spread
)

// Step takes in the events of a round, in order, and appends the actions to out.
func (a *Aggregator) Step(now time.Duration, events []Event, out []Action) []Action {
	a.now, a.out = max(now, a.now), out
	a.round++
	a.noticeStandstill()
	for i := range events {
		a.take(&events[i])
	}
	a.requestList()
	a.reviewReplicas()
	next := a.askAt
	for _, q := range a.live {
		next = min(next, a.advance(q))
	}
	a.live = slices.DeleteFunc(a.live, func(q *query) bool { return q.ended })
	a.tellPeers()
	a.sleep(next)
	out, a.out = a.out, nil
	return out
}

// advance moves one query on and returns when it next needs attention.
func (a *Aggregator) advance(q *query) time.Duration {
	got, open, _ := q.weights()
	late, next := q.aim-3*a.set.Tick, q.end-2*a.set.Tick
	early := late - a.second(q)
	switch {
	case q.ended:
	case a.now >= next:
		a.settle(q, DeadlineExceeded)
	case len(q.parts) < q.want:
		return next
	case !q.admitted && !a.admit(q):
		a.giveUp(q, q.why)
	case open == 0 || q.step == 0 && got >= a.set.Classes[q.class].CompleteShare-rounding:
		a.settle(q, AttemptsExhausted)
	case a.now >= early && a.partialPays(q, got), a.now >= late && a.useful(q) == q.aim:
		a.settle(q, DeadlineExceeded)
	case q.wrecks >= wreckLimit && !q.answered:
		a.killed = a.now
		a.giveUp(q, QueryOfDeath)
	case a.now < early:
		return a.place(q, early)
	case a.now < late:
		return a.place(q, late)
	default:
		return a.place(q, next)
	}
	return math.MaxInt64
}

// place sends what a query may send now, part by part, and returns when it next needs attention.
func (a *Aggregator) place(q *query, next time.Duration) time.Duration {
	hold := a.now
	room, until := a.canaryLimit(q)
	for _, p := range q.parts {
		if !p.done && p.out() == 0 {
			hold = max(hold, a.now+a.probeHolders(p))
		}
	}
	for _, p := range q.parts {
		if p.done || p.lost {
			continue
		}
		if room <= 0 && p.out() == 0 && !a.joins(p, a.choose(p)) {
			next = min(next, max(a.now+a.set.Tick, until))
			continue
		}
		sent := len(p.tries)
		when, hopeless := a.sendOrRetry(p, hold)
		if n := len(p.tries); n > sent && p.tries[n-1].c.lead == p.tries[n-1] {
			room--
		}
		if p.lost = hopeless; hopeless && !a.reachable(q) {
			a.settle(q, AttemptsExhausted)
			return math.MaxInt64
		} else if !hopeless {
			next = min(next, when)
		}
	}
	return next
}

// least is the share of the weight from which a step can be answered at all; weights may be rounded.
func (a *Aggregator) least(q *query) float64 {
	c := &a.set.Classes[q.class]
	if q.step > 0 && c.MinShare >= c.CompleteShare {
		return 1 - rounding
	}
	return min(c.CompleteShare, c.MinShare) - rounding
}

// settle ends a query with the best that is in: a whole answer, a partial one, or none.
func (a *Aggregator) settle(q *query, why Reason) {
	c := &a.set.Classes[q.class]
	got, _, missing := q.weights()
	whole := got >= c.CompleteShare-rounding
	if q.step > 0 {
		whole = missing == 0 && q.whole
	}
	if got < a.least(q) || len(q.parts) < q.want {
		a.giveUp(q, why)
		return
	}
	if q.step == 0 && c.FetchParts > 0 {
		if q.end-a.now <= 2*a.set.Tick {
			a.giveUp(q, DeadlineExceeded) // an answer now would open a second step and end nothing
			return
		}
		done := 0
		for _, p := range q.parts {
			if p.done {
				done++
			}
			a.drop(p)
		}
		q.step, q.whole, q.parts, q.want = 1, whole, nil, min(c.FetchParts, done)
		a.out = append(a.out, Action{Kind: Answer, Query: q.id, Complete: whole})
		return
	}
	a.out = append(a.out, Action{Kind: Answer, Query: q.id, Complete: whole, Final: true})
	a.close(q)
}

// giveUp ends a query without an answer, at once. A refusal says that asking again is harmless and when;
// where a part that must not be repeated freely may have run, only a failure is honest.
func (a *Aggregator) giveUp(q *query, why Reason) {
	kind, wait := Reject, time.Duration(0)
	for _, p := range q.parts {
		if a.set.Classes[q.class].Effect != Safe && (p.mayRun || p.out() > 0) {
			kind = Fail
		}
	}
	if a.set.Limits.SendRetryAfter && kind == Reject {
		s := a.median + a.typical()*(1+a.rng.Float64())
		wait = min(times(s, time.Second), a.set.Limits.MaxRetryAfter)
	}
	a.out = append(a.out, Action{Kind: kind, Query: q.id, Reason: why, After: wait})
	a.close(q)
}

// admit decides on a new query. It is let in if it can be expected within a share of its aim that grows
// with its worth for the work, compared with the queries seen lately; so load that can't be served is
// turned away early, the least worthy first, and more of it the longer the wait has grown.
func (a *Aggregator) admit(q *query) bool {
	q.admitted = true
	rank := a.rank(q)
	for _, p := range q.parts {
		p.wait = a.forecast(p)
	}
	soonest := slices.Clone(q.parts)
	slices.SortFunc(soonest, func(p, o *part) int { return cmp.Compare(p.wait, o.wait) })
	wait, sum := 0.0, 0.0
	for _, p := range soonest {
		if sum < a.least(q) {
			wait, sum = p.wait, sum+p.weight
		}
	}
	if q.why = NoReplica; math.IsInf(wait, 1) {
		return false
	}
	if wait += a.stragglerWait(q); a.set.Classes[q.class].FetchParts > 0 {
		wait *= 1.5
	}
	q.why = OverCapacity
	if m := float64(a.set.Limits.MaxOpen); m > 0 && float64(a.open()) > m*(roomShare+(1-roomShare)*rank) {
		return false
	}
	q.why = ForecastTooLate
	if wait > (admitLow+(admitHigh-admitLow)*rank)*(q.aim-a.now).Seconds() {
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
	c, rest := &a.set.Classes[q.class], 1.0
	if c.PartialShare == 0 || c.FetchParts > 0 {
		return
	}
	pressed := math.Max(spareTimes*a.usual(q), a.visibleShare()*admitLow*(q.aim-a.now).Seconds())
	for _, p := range slices.Backward(soonest) {
		if p.wait < pressed || rest-p.weight < (c.MinShare+c.CompleteShare)/2 {
			return
		}
		p.lost, rest = true, rest-p.weight
	}
}

// forecast is how long a part may take at the best holder, an ejected one only where there is no other.
func (a *Aggregator) forecast(p *part) float64 {
	best, spare := math.Inf(1), math.Inf(1)
	for _, r := range a.holders(p.shard) {
		switch {
		case !a.usable(p, r):
		case r.ejected:
			spare = math.Min(spare, a.expect(p.q, r))
		default:
			best = math.Min(best, a.expect(p.q, r))
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
	c := &a.set.Classes[q.class]
	worth := c.Priority
	if !a.set.PriorityPerWork {
		work := float64(len(q.parts)) * a.usual(q)
		if c.FetchParts > 0 {
			work *= 1 + 0.5*float64(c.FetchParts)/float64(max(len(q.parts), 1))
		}
		worth /= math.Max(work, 1e-3)
	}
	if q.tenant >= 0 && q.tenant < len(a.tenants) {
		w, again := &a.tenants[q.tenant], &a.again[q.tenant]
		if w.at = append(w.at, a.now); q.retry {
			again.at = append(again.at, a.now)
		}
		share, since := a.set.Tenants[q.tenant].Rate/float64(a.set.Aggregators), a.now-2*time.Second
		// Where most of what a tenant asks is asked again, its retries count as over its share.
		asked, repeats := float64(w.since(since)), float64(again.since(since))
		if asked > 2*share+3 || q.retry && repeats > 2 && 2*repeats > asked {
			worth *= a.set.OverQuotaFactor
		}
	}
	q.worth = worth
	below, equal, n := a.worths.place(worth)
	if n == 0 {
		return 1
	}
	return (below + equal*a.rng.Float64()) / n
}

// stragglerWait is by how much the last part that a query needs may come after a typical one. The largest of
// n waits that fall off exponentially lies ln n means above none, and the forecast of a part holds one. It
// goes by what the median replica shows: a few slow or pausing ones are no load that refusals would ease.
func (a *Aggregator) stragglerWait(q *query) float64 {
	missed := max(1-a.least(q), 1/float64(max(len(q.parts), 1)))
	return straggling * a.median * math.Max(-math.Log(missed)-1, 0)
}

// reserve is what is kept back of a query's time. A node that stands still past the end of a query has lost
// it, and the first standstill comes unannounced; after one, the next may be as long. It costs answers that
// would come in the last moment of a short try.
func (a *Aggregator) reserve(class int, left time.Duration) time.Duration {
	return min(max(times(reserveShare, a.set.Classes[class].Deadline), a.stall+a.stall/8), left/2)
}

// useful is how long an answer is worth its work. A late answer is worth little; while the whole fleet is
// slow, what it takes is taken from queries that could still be in time, and a jam would feed on it.
func (a *Aggregator) useful(q *query) time.Duration {
	if c := &a.set.Classes[q.class]; c.LateShare < lateLeast || a.median > a.typical() {
		return q.aim
	}
	return q.end
}

// second is the time that the second step of a query may take, where one is still to come: a partial answer
// that leaves no time for it is worth nothing.
func (a *Aggregator) second(q *query) time.Duration {
	c := &a.set.Classes[q.class]
	if q.step > 0 || c.FetchParts == 0 {
		return 0
	}
	if s := &a.learned[2*q.class+1]; s.high.n > 0 {
		return min(times(secondTimes*s.high.v, time.Second), c.LatencyObjective/2)
	}
	return c.LatencyObjective / 4
}

// partialPays tells whether a partial answer now beats a whole one after the aim.
func (a *Aggregator) partialPays(q *query, got float64) bool {
	c := &a.set.Classes[q.class]
	return got >= c.MinShare && c.MinShare < c.CompleteShare && c.PartialShare*got/c.CompleteShare > c.LateShare
}

// patience is how long a part may take before it stands out.
func (a *Aggregator) patience(q *query) float64 {
	s, aim := a.stat(q), a.set.Classes[q.class].LatencyObjective.Seconds()
	if s.high.n < 30 {
		return aim / 2
	}
	return math.Min(math.Max(chaseHigh*s.high.v, chaseMid*s.mid.v), aim/2)
}

// overdue is when the last attempt of a part should be answered by another: once it stands out among its
// class, early enough that another fits in before the aim.
func (a *Aggregator) overdue(p *part) time.Duration {
	t, q := p.tries[len(p.tries)-1], p.q
	wait := a.patience(q)
	if t.r.ejected {
		wait = math.Min(wait, a.stat(q).mid.v*1.5)
	}
	return t.at + times(wait, time.Second)
}

// noticeStandstill notes whether this node itself stood still: its turn comes later than the wake that it
// asked for. What ended meanwhile is told late, and its latency counts without the delay.
func (a *Aggregator) noticeStandstill() {
	if a.lag = 0; a.now-a.stalled > times(stallAims, a.longAim()) {
		a.stall = 0
	}
	if a.wake < 0 || a.now < a.wake {
		return
	}
	if lag := a.now - a.wake; lag > 4*a.set.Tick {
		a.lag, a.stall, a.stalled = lag, max(lag, a.stall), a.now
	}
	a.wake = -1
}

// requestList subscribes to the list where it must be asked for: at the start, and after each refusal with a
// pause that doubles up to a quarter of the time after which the drain rule takes what is listed as told.
// Pauses are drawn at random, so that nodes that start together don't ask in step.
func (a *Aggregator) requestList() {
	if a.asking {
		a.asking = false
		share := askShares * math.Exp2(float64(a.refusals)) * a.rng.Float64()
		a.askAt = a.now + times(share, max(a.set.Rules.PollInterval, a.longAim()))
		a.refusals = min(a.refusals+1, 2)
	}
	if a.now >= a.askAt {
		a.askAt = math.MaxInt64
		a.out = append(a.out, Action{Kind: PollEndpoints})
	}
}

// updateList brings the fleet up to date. What it says of draining is binding at once, well within the grace;
// that a replica runs is a hint only.
func (a *Aggregator) updateList(e *Event) {
	if e.Kind != ListChanged {
		for _, r := range a.fleet {
			r.barred = true
			r.leave(a.now)
		}
	}
	for _, m := range e.Members {
		if m.ShardSet < 0 || m.ShardSet >= a.set.ShardSets {
			continue
		}
		r := a.byName[m.Replica]
		if r == nil {
			r = &replica{member: m, tag: tagOf(m.Replica)}
			a.byName[m.Replica], a.byTag[r.tag] = r, r
			a.fleet = append(a.fleet, r)
			a.cells[m.ShardSet] = append(a.cells[m.ShardSet], r)
			a.startSlowStart(r, m.Started, a.listed && m.Started == 0)
		} else if m.Started > r.member.Started {
			a.startSlowStart(r, m.Started, false)
		}
		if r.member.State == Serving && m.State == Gone {
			a.broke = a.now
		}
		a.rehouse(r, m.ShardSet)
		if r.member, r.barred = m, m.State != Serving; m.State == Gone {
			r.leave(a.now)
		} else {
			r.left = 0
		}
	}
	a.listed, a.refusals = true, 0
}

// tellPeers tells the other nodes, where it may, what this one has sent and seen: at once after a send, else
// now and then. A message costs its bytes for each receiver.
func (a *Aggregator) tellPeers() {
	if len(a.news) > 0 && (a.news[len(a.news)-1].kind == newsSent || a.now-a.shared > 10*a.set.Tick) {
		a.out = append(a.out, Action{Kind: SendGossip, Data: pack(a.news, a.longAim())})
		a.news, a.shared = a.news[:0], a.now
	}
}

// takePeerNews takes in what another node sent and saw. These are hints of listed replicas, for ties and
// the forecast; what this node has just heard of a replica itself comes first, and no hint ejects.
func (a *Aggregator) takePeerNews(e *Event) {
	for _, n := range unpack(e.Data, a.longAim()) {
		r := a.byTag[n.tag]
		switch {
		case r == nil:
		case n.kind == newsSent:
			r.others, r.othersAt = a.others(r)+n.span.Seconds(), a.now
		case r.heard == 0 || a.now-r.heard > a.freshness():
			r.excess, r.sampled = a.faded(r)+excessWeight/2*(n.span.Seconds()-a.faded(r)), a.now
		}
	}
}
