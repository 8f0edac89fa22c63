package aggregator

import (
	"slices"
	"time"
)

// call is one request to a replica, which may carry attempts of several parts.
type call struct {
	round             int // round that sent it
	size              int // attempts that it carries
	openAttempts      int
	work              float64  // sum of the base latencies of its parts, in seconds
	first             *attempt // the attempt that opened it
	unansweredCounted bool     // its missing answer was counted as a failure
}

// attempt is one send of a part to a replica.
type attempt struct {
	part         *part
	replica      *replica
	call         *call
	index        int // among the attempts of its part
	sentAt       time.Duration
	callPosition int           // open calls to the replica when it was sent, its own included
	open         bool          // no outcome yet
	mayHaveRun   bool          // it has ended with an outcome after which the replica may have run it
	newConn      bool          // sent on a new connection
	connIdle     time.Duration // how long the connections to the replica had been unused
	cancelled    bool          // a Cancel was issued, so its answer is of no use
}

// replicaCalls holds this aggregator's calls to one replica.
type replicaCalls struct {
	// inFlight holds the attempts that the replica may be working on, in order of sending. Abandoned attempts stay in it
	// for a while.
	inFlight []*attempt
	open     int   // calls with at least one attempt in flight
	current  *call // last call, which further parts of its round may join
}

// joinsCall reports whether a part would share the call that this round already sends to r. A call may grow up to
// maxSharedCallShare of the time to the latency objective.
func (a *Aggregator) joinsCall(p *part, r *replica) bool {
	if r == nil || r.calls.current == nil {
		return false
	}
	c := r.calls.current
	return c.round == a.round && c.size < a.settings.Limits.MaxBatch && a.settings.CallCost > 0 &&
		c.work < maxSharedCallShare*(p.query.objective-a.now).Seconds()
}

// needsNewCall reports whether the last call can't carry a part sent to r.
func (a *Aggregator) needsNewCall(p *part, r *replica) bool {
	if a.joinsCall(p, r) {
		return false
	}
	c := r.calls.current
	return c == nil || c.round != a.round || c.size >= a.settings.Limits.MaxBatch || a.settings.CallCost == 0
}

// recordAttempt records an attempt at r that is sent now. closedIdle says whether the idle connections to r were closed.
func (a *Aggregator) recordAttempt(p *part, r *replica, closedIdle bool) *attempt {
	if a.needsNewCall(p, r) {
		r.calls.current = &call{round: a.round}
		r.calls.open++
	}
	c := r.calls.current
	if c.openAttempts == 0 && c.size > 0 {
		r.calls.open++
	}
	t := &attempt{
		part: p, replica: r, call: c, index: len(p.attempts), sentAt: a.now, open: true, callPosition: r.calls.open,
		newConn: closedIdle || a.connExpired(r), connIdle: a.now - r.conns.lastUse,
	}
	if c.size++; c.size == 1 {
		c.first = t
	}
	c.openAttempts++
	if p.query.canary.firstSend == 0 {
		p.query.canary.firstSend = a.now
	}
	r.conns.lastUse = a.now
	p.attempts = append(p.attempts, t)
	r.calls.inFlight = append(r.calls.inFlight, t)
	return t
}

// release removes an attempt from those in flight.
func (a *Aggregator) release(t *attempt) {
	calls := &t.replica.calls
	i := slices.Index(calls.inFlight, t)
	if i < 0 {
		return
	}
	calls.inFlight = slices.Delete(calls.inFlight, i, i+1)
	if t.call.openAttempts--; t.call.openAttempts == 0 {
		calls.open--
	}
}

// releaseAnswered releases an answered attempt, and the abandoned attempts that were sent no later, which the replica has
// processed by then.
func (a *Aggregator) releaseAnswered(t *attempt) {
	for _, o := range slices.Clone(t.replica.calls.inFlight) {
		if o == t || !o.open && o.sentAt <= t.sentAt {
			a.release(o)
		}
	}
}
