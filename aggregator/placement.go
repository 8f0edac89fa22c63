package aggregator

// Which replica gets a part, whether it is sent again, and what a replica in slow start may be sent.

import (
	"math"
	"slices"
	"time"
)

const ( // in shares of what the settings state or the aggregator has observed
	extraRate     = 0.10  // further attempts earned by each first send, beside the rule's ration
	extraStore    = 8.0   // and saved up at most
	quickCost     = 0.3   // of one further attempt, for a retry after an attempt that ended quickly
	unlearned     = 0.1   // share of the aim that a part is taken to need before any was answered
	lastShare     = 0.125 // share of a query's parts: so few are worth a second copy on suspicion
	pressShare    = 0.3   // share of the aim in the forecast above which a shard is pressed
	farTimes      = 1.5   // a tie counts a replica of another zone as slower by this
	meanTimes     = 1.8   // latencies of light parts that the mean work of parts is taken for at most
	unlearnedWork = 0.2   // and the share of the aim before any was answered
	coldCalls     = 8.0   // calls of all nodes in a falling window among which chance evens out
	joinShare     = 0.25  // a shared call may fill this share of the time to the aim
	riskShare     = 0.12  // share of the fleet that a query may touch before its first answer
	scoutShare    = 0.12  // share of the aim that the rest waits for that answer
)

// choose picks the replica of a part's shard that would hold the fewest of our calls, the query's earlier
// parts counted; of equals the one that answers faster, else at random. An ejected replica, or one that
// has failed this part, is taken only where no other is usable.
func (a *Aggregator) choose(p *part) *replica {
	var best *replica
	var rank [3]float64
	holders := a.holders(p.shard)
	pressed := len(p.tries) == 0 && a.credit > extraStore/2 && a.set.Classes[p.q.class].Effect == Safe &&
		a.set.Limits.MaxAttempts > 2 && !slices.ContainsFunc(holders, func(r *replica) bool {
		return !r.ejected && a.usable(p, r) && a.expect(p.q, r) < pressShare*(p.q.aim-a.now).Seconds()
	})
	for _, r := range holders {
		if !a.usable(p, r) {
			continue
		}
		mine := a.order(p, r, pressed)
		if best == nil || slices.Compare(mine[:], rank[:]) < 0 {
			best, rank = r, mine
		}
	}
	return best
}

func (a *Aggregator) order(p *part, r *replica, pressed bool) (rank [3]float64) {
	trial := r.cleared && len(r.open) == 0 && len(p.tries) == 0 || pressed && r.leaky
	switch {
	case r.ejected && !trial:
		rank[0] = 1
	case !r.ejected && a.doubtful(r):
		rank[0] = 0.5
	}
	for _, t := range p.tries {
		if t.r == r {
			rank[0] += 2
		}
	}
	rank[1] = float64(r.calls + 1)
	join := a.joins(p, r)
	if join {
		rank[1]--
	}
	rank[2] = (a.excess(r) + a.others(r) + a.usual(p.q)) * (0.8 + 0.4*a.rng.Float64())
	if r.member.Zone != a.set.Zone {
		rank[2] *= farTimes
	}
	if r.seen > 0 && a.now-r.seen < a.freshness() {
		rank[2] *= 1 + r.load
	}
	if join {
		rank[2] = 0
	} else if a.set.CallCost > 0 {
		// Of equals, the one that can take most of the query's parts in one call.
		rank[2] /= float64(a.covers(p.q, r))
	}
	return rank
}

// joins tells whether a part would share the call that this round already sends to r.
func (a *Aggregator) joins(p *part, r *replica) bool {
	if r == nil || r.call == nil {
		return false
	}
	c := r.call
	return c.round == a.round && c.size < a.set.Limits.MaxBatch && a.set.CallCost > 0 &&
		c.work < joinShare*(p.q.aim-a.now).Seconds()
}

// usable is what the rules and the list leave: not draining or gone, no attempt of this part out, and
// within this front node's share of what a cold replica may be sent.
func (a *Aggregator) usable(p *part, r *replica) bool {
	if r.barred || a.now < r.shunned {
		return false
	}
	for _, t := range p.tries {
		if t.open && t.r == r {
			return false
		}
	}
	return !r.cold || a.slowStartRoom(p, r)
}

// expect is how long a part sent to r now may take: what r shows, or what its calls of ours will take at
// the pace at which calls have been answered. The pace sees a wave as it is sent, the excess only as it
// returns.
func (a *Aggregator) expect(q *query, r *replica) float64 {
	return math.Max(a.excess(r)+a.others(r)+a.usual(q), math.Max(r.pace, a.pace)*float64(r.calls+1))
}

// excess is what a part sent to r now must expect above the usual: recent answers, or the age of the
// oldest attempt since the last answer, which tells of a pause or a hang before any answer does. An older
// one that others have overtaken tells of its part, not of r.
func (a *Aggregator) excess(r *replica) float64 {
	x := a.faded(r)
	for _, t := range r.open {
		if t.open && r.heard < t.at {
			x = math.Max(x, (a.now-t.at).Seconds()-a.usual(t.p.q))
			break
		}
	}
	return x
}

// usual is the latency of a part on an unloaded replica, in seconds; a share of the aim until learned.
func (a *Aggregator) usual(q *query) float64 {
	if s := a.stat(q); s.base.n > 0 {
		return s.base.v
	}
	return unlearned * a.set.Classes[q.class].LatencyObjective.Seconds()
}

// send starts an attempt. Its time-out is the time in which an answer is of use; servers may skip the
// rest.
func (a *Aggregator) send(p *part, r *replica) {
	q, fresh, begin := p.q, a.refresh(p, r), a.begin(p)
	a.book(p, r, fresh).c.work += a.usual(q)
	a.note(r, newsSent, times(a.expectedWork(p), time.Second))
	if r.cold {
		r.room -= a.expectedWork(p)
		r.sent = append(r.sent, load{a.now, a.expectedWork(p)})
		r.thrown, r.die = a.now, a.rng.Float64()
	}
	end := a.useful(q) - 3*a.set.Tick
	a.out = append(a.out, Action{Kind: Send, Part: p.id, Replica: r.member.Replica,
		After: max(end-a.now, time.Microsecond), BeginWithin: begin})
}

// sendOrRetry sends a part that has nothing out, or chases one whose attempt is overdue.
func (a *Aggregator) sendOrRetry(p *part, hold time.Duration) (next time.Duration, hopeless bool) {
	if p.out() == 0 {
		if !a.repeatable(p) {
			return 0, true
		}
		if hold > a.now {
			return hold, false
		}
		if r := a.choose(p); r != nil && a.spendRetryBudget(p) {
			a.send(p, r)
			return a.overdue(p), false
		}
		return a.now + 2*a.set.Tick, false
	}
	when := a.overdue(p)
	if a.now < when {
		return when, false
	}
	last := p.tries[len(p.tries)-1]
	if last.dropped || p.out() > 1 || !a.repeatable(p) || !a.set.Limits.Hedging && !a.set.Limits.CanCancel {
		return math.MaxInt64, false
	}
	// Where all are slow it is load, and a further attempt adds to it: another must be clearly faster.
	r := a.choose(p)
	p.quick = last.r.ejected || last.c.judged
	// Answers to what was sent later are in: this one may be lost, and holds up a query that has the rest.
	_, left, _ := p.q.weights()
	chase := p.quick || last.r.passed >= last.at && float64(left) <= lastShare*float64(len(p.q.parts))
	if !chase || r == nil || r.ejected || a.excess(r) > (a.now-last.at).Seconds()/2 || !a.withinRetryBudget(p) {
		return a.now + 4*a.set.Tick, false
	}
	if a.set.Limits.Hedging {
		a.spendRetryBudget(p)
		a.send(p, r)
		return a.overdue(p), false
	}
	last.dropped = true
	a.out = append(a.out, Action{Kind: Cancel, Part: p.id, Attempt: last.n})
	return a.now + 2*a.set.Tick, false
}

// repeatable tells whether the rules allow p another attempt at all: the cap, and the class's effect.
func (a *Aggregator) repeatable(p *part) bool {
	return len(p.tries) == 0 || len(p.tries) < a.set.Limits.MaxAttempts && a.begin(p) > 0
}

// begin is how long a further attempt may still begin: in a keyed class, for as long as a repeat is dropped.
func (a *Aggregator) begin(p *part) time.Duration {
	c := &a.set.Classes[p.q.class]
	since, may := p.firstRun, p.mayRun
	for _, t := range p.tries {
		if t.open && (!may || t.at < since) {
			since, may = t.at, true
		}
	}
	switch {
	case !may || c.Effect == Safe:
		return math.MaxInt64
	case c.Effect == Keyed:
		return since + c.DedupWindow - 4*a.set.Tick - a.now
	}
	return 0
}

// withinRetryBudget tells whether a further attempt is within the rule's ration and what has been saved up.
func (a *Aggregator) withinRetryBudget(p *part) bool {
	if b := a.set.Rules; b.RetryWindow > 0 {
		taken := a.taken.since(a.now - b.RetryWindow + a.set.Tick)
		extras := a.extras.since(a.now - b.RetryWindow - a.set.Tick)
		if float64(extras+1) > b.RetryFloor+b.RetryRatio*float64(taken) {
			return false
		}
	}
	return a.credit >= p.cost()
}

// spendRetryBudget books a send: first sends earn, further ones pay.
func (a *Aggregator) spendRetryBudget(p *part) bool {
	if len(p.tries) == 0 {
		a.credit = math.Min(a.credit+extraRate, extraStore)
		return true
	}
	if !a.withinRetryBudget(p) {
		return false
	}
	a.credit -= p.cost()
	if a.set.Rules.RetryWindow > 0 {
		a.extras.at = append(a.extras.at, a.now)
	}
	return true
}

// canaryLimit is how many parts of a query may go out now. A query that breaks what runs it shows nothing
// before, so until a part is answered it may touch a small share of the fleet, and one replica while on guard
// or once a part was reset. It also spares a fleet that fails for other reasons; it costs a part's latency.
func (a *Aggregator) canaryLimit(q *query) (room int, until time.Duration) {
	until = q.sent + times(scoutShare, a.set.Classes[q.class].LatencyObjective)
	shaken := q.wrecks > 0 || q.jolted
	if a.broke == 0 && !shaken || q.answered || q.sent > 0 && !shaken && a.now >= until {
		return math.MaxInt32, until
	}
	room = max(1, int(riskShare*float64(len(a.fleet))))
	if a.killed > 0 && a.now-a.killed < a.set.Rules.WarmupTime || shaken {
		room = 1
	}
	for _, p := range q.parts {
		for _, t := range p.tries {
			if t.open && t.c.lead == t {
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
	if started > 0 && a.now-started < a.set.Rules.WarmupTime {
		r.cold, r.born = true, max(started, r.born)
		r.ejected, r.strikes, r.excess = false, 0, 0
	}
}

// slowStartRoom presumes one unit of work at a time, the slowest ramp and the other front nodes sending as
// much. Where a node's share is less than a part, it accrues and may be saved up for two falling windows.
// Calls are then rationed by chance: a die thrown anew with each one, and each window, says how much of it
// must have accrued, so that nodes don't send in step, and what is sent ahead is paid later. The die counts
// one window's share at most, as all may have saved. A call holds more parts while all nodes' room is large.
func (a *Aggregator) slowStartRoom(p *part, r *replica) bool {
	b := a.set.Rules
	if b.OverloadMultiple == 0 || b.OverloadWindow == 0 {
		return true
	}
	grown := min(1, max(0, (a.now-r.born).Seconds()/math.Max(b.WarmupTime.Seconds(), 1e-3)))
	all := b.OverloadMultiple * (b.InitialCapacity + (1-b.InitialCapacity)*grown) * b.OverloadWindow.Seconds()
	room, work := all/float64(a.set.Aggregators), a.expectedWork(p)
	r.sent = slices.DeleteFunc(r.sent, func(l load) bool { return l.at < a.now-b.OverloadWindow })
	sum := 0.0
	for _, l := range r.sent {
		sum += l.work
	}
	if r.accrued < r.born {
		r.accrued, r.room = r.born, 0
	}
	r.room = math.Min(r.room+room*(a.now-r.accrued).Seconds()/b.OverloadWindow.Seconds(), 2*room)
	if r.accrued = a.now; a.now >= r.thrown+b.OverloadWindow {
		r.thrown, r.die = a.now, a.rng.Float64()
	}
	if room < work {
		most := max(1, int(all/(coldCalls*work)))
		return a.joins(p, r) && r.call.size < most ||
			math.Min(r.room, room) >= work*float64(min(most, a.covers(p.q, r)))*r.die
	}
	return sum+work*r.die <= room
}

// expectedWork is the mean work that a part is expected to bring, its call included. That of
// light parts is known from an unloaded replica; the median holds the wait under load too, and is bounded.
func (a *Aggregator) expectedWork(p *part) float64 {
	mean := a.usual(p.q)
	if s := a.stat(p.q); s.mid.n > 0 {
		mean = min(max(mean, s.mid.v), meanTimes*mean)
	} else {
		mean = max(mean, unlearnedWork*a.set.Classes[p.q.class].LatencyObjective.Seconds())
	}
	return math.Max(mean, p.work) + a.set.CallCost.Seconds()
}
