package aggregator

import (
	"math"
	"slices"
	"time"
)

const (
	pressedShare       = 0.3  // share of the aim in the forecast above which a shard is pressed
	otherZoneFactor    = 1.5  // a tie counts a replica of another zone as slower by this
	maxSharedCallShare = 0.25 // a shared call may fill this share of the time to the aim
)

type call struct {
	round, size, openAttempts int
	work                      float64
	first                     *attempt
	silenceCounted            bool // its silence has been counted
}

type attempt struct {
	part         *part
	replica      *replica
	call         *call
	index        int
	sentAt       time.Duration
	callPosition int           // calls of ours at the replica as it was sent
	open         bool          // no outcome yet
	newConn      bool          // sent on a new connection
	connIdle     time.Duration // since the replica's connections were last used
	abandoned    bool          // cancelled, or out when its query ended
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

// choose picks the replica of a part's shard that would hold the fewest of our calls, the query's earlier
// parts counted; of equals the one that answers faster, else at random. An ejected replica, or one that
// has failed this part, is taken only where no other is usable.
func (a *Aggregator) pickReplica(p *part) *replica {
	var best *replica
	var rank [3]float64
	holders := a.holders(p.shard)
	pressed := len(p.attempts) == 0 && a.retryBudget.tokens > maxRetryCredit/2 && a.settings.Classes[p.query.class].Effect == Safe &&
		a.settings.Limits.MaxAttempts > 2 && !slices.ContainsFunc(holders, func(r *replica) bool {
		return !r.outlier.ejected && a.usable(p, r) && a.expectedLatency(p.query, r) < pressedShare*(p.query.objective-a.now).Seconds()
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
	trial := r.outlier.halfOpen && len(r.calls.inFlight) == 0 && len(p.attempts) == 0 || pressed && r.outlier.failingFast
	switch {
	case r.outlier.ejected && !trial:
		rank[0] = 1
	case !r.outlier.ejected && a.suspect(r):
		rank[0] = 0.5
	}
	for _, t := range p.attempts {
		if t.replica == r {
			rank[0] += 2
		}
	}
	rank[1] = float64(r.calls.open + 1)
	join := a.joinsCall(p, r)
	if join {
		rank[1]--
	}
	rank[2] = (a.currentExcess(r) + a.decayedPeerWork(r) + a.baseLatency(p.query)) * (0.8 + 0.4*a.rng.Float64())
	if r.member.Zone != a.settings.Zone {
		rank[2] *= otherZoneFactor
	}
	if r.health.lastProbeAnswer > 0 && a.now-r.health.lastProbeAnswer < a.freshness() {
		rank[2] *= 1 + r.health.reportedLoad
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
	if r == nil || r.calls.current == nil {
		return false
	}
	c := r.calls.current
	return c.round == a.round && c.size < a.settings.Limits.MaxBatch && a.settings.CallCost > 0 &&
		c.work < maxSharedCallShare*(p.query.objective-a.now).Seconds()
}

// usable is what the rules and the list leave: not draining or gone, no attempt of this part out, and
// within this front node's share of what a cold replica may be sent.
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

// covers counts the parts of a query still to be placed that r could take in one call.
func (a *Aggregator) partsFor(q *query, r *replica) (n int) {
	for _, p := range q.parts {
		if len(p.attempts) == 0 && (r.member.ShardSet-p.shard%a.settings.ShardSets+a.settings.ShardSets)%a.settings.ShardSets < a.settings.Reach {
			n++
		}
	}
	return min(max(n, 1), a.settings.Limits.MaxBatch)
}

// send starts an attempt. Its time-out is the time in which an answer is of use; servers may skip the
// rest.
func (a *Aggregator) send(p *part, r *replica) {
	q, fresh, begin := p.query, a.closeIdleConns(p, r), a.beginWithin(p)
	a.recordAttempt(p, r, fresh).call.work += a.baseLatency(q)
	a.recordGossip(r, gossipSent, scale(a.expectedWork(p), time.Second))
	if r.slowStart.active {
		r.slowStart.allowance -= a.expectedWork(p)
		r.slowStart.sends = append(r.slowStart.sends, sentWork{a.now, a.expectedWork(p)})
		r.slowStart.drawnAt, r.slowStart.draw = a.now, a.rng.Float64()
	}
	end := a.usefulUntil(q) - 3*a.settings.Tick
	a.out = append(a.out, Action{Kind: Send, Part: p.id, Replica: r.member.Replica,
		After: max(end-a.now, time.Microsecond), BeginWithin: begin})
}

// book counts an attempt at r in the call that joins allows, else in a new one.
func (a *Aggregator) recordAttempt(p *part, r *replica, fresh bool) *attempt {
	if !a.joinsCall(p, r) && (r.calls.current == nil || r.calls.current.round != a.round || r.calls.current.size >= a.settings.Limits.MaxBatch ||
		a.settings.CallCost == 0) {
		r.calls.current = &call{round: a.round}
		r.calls.open++
	}
	if r.calls.current.openAttempts == 0 && r.calls.current.size > 0 {
		r.calls.open++
	}
	if r.conns.lastUse == 0 || a.settings.Limits.ConnIdle > 0 && a.now-r.conns.lastUse >= a.settings.Limits.ConnIdle {
		fresh = true
	}
	t := &attempt{part: p, replica: r, call: r.calls.current, index: len(p.attempts), sentAt: a.now, open: true, callPosition: r.calls.open, newConn: fresh,
		connIdle: a.now - r.conns.lastUse}
	if t.call.size++; t.call.size == 1 {
		t.call.first = t
	}
	t.call.openAttempts++
	if p.query.canary.firstSend == 0 {
		p.query.canary.firstSend = a.now
	}
	r.conns.lastUse = a.now
	p.attempts = append(p.attempts, t)
	r.calls.inFlight = append(r.calls.inFlight, t)
	return t
}

// release takes an attempt off its replica's count.
func (a *Aggregator) release(t *attempt) {
	if i := slices.Index(t.replica.calls.inFlight, t); i >= 0 {
		t.replica.calls.inFlight = slices.Delete(t.replica.calls.inFlight, i, i+1)
		if t.call.openAttempts--; t.call.openAttempts == 0 {
			t.replica.calls.open--
		}
	}
}

// replicaCalls are this aggregator's calls to one replica.
type replicaCalls struct {
	inFlight []*attempt // in order of sending, those given up whose replica may still work on them included
	open     int        // calls with at least one attempt in flight
	current  *call      // the call that parts of this round may join
}
