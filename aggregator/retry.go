package aggregator

import (
	"math"
	"slices"
	"time"
)

const (
	retryCreditPerSend  = 0.10  // further attempts earned by each first send, beside the rule's ration
	maxRetryCredit      = 8.0   // and saved up at most
	quickRetryCost      = 0.3   // of one further attempt, for a retry after an attempt that ended quickly
	hedgeTailMultiple   = 2.0   // high latencies after which a part stands out
	hedgeMedianMultiple = 4.0   // and median latencies, whichever is later
	stragglerPartShare  = 0.125 // share of a query's parts: so few are worth a second copy on suspicion
)

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
	p.cheapRetry = last.replica.outlier.ejected || last.call.silenceCounted
	// Answers to what was sent later are in: this one may be lost, and holds up a query that has the rest.
	_, left, _ := p.query.weights()
	chase := p.cheapRetry || last.replica.latency.answeredSendAt >= last.sentAt && float64(left) <= stragglerPartShare*float64(len(p.query.parts))
	if !chase || r == nil || r.outlier.ejected || a.currentExcess(r) > (a.now-last.sentAt).Seconds()/2 || !a.withinRetryBudget(p) {
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

// patience is how long a part may take before it stands out.
func (a *Aggregator) hedgeDelay(q *query) float64 {
	s, aim := a.latencyOf(q), a.settings.Classes[q.class].LatencyObjective.Seconds()
	if s.tail.samples < 30 {
		return aim / 2
	}
	return math.Min(math.Max(hedgeTailMultiple*s.tail.value, hedgeMedianMultiple*s.median.value), aim/2)
}

// overdue is when the last attempt of a part should be answered by another: once it stands out among its
// class, early enough that another fits in before the aim.
func (a *Aggregator) hedgeAt(p *part) time.Duration {
	t, q := p.attempts[len(p.attempts)-1], p.query
	wait := a.hedgeDelay(q)
	if t.replica.outlier.ejected {
		wait = math.Min(wait, a.latencyOf(q).median.value*1.5)
	}
	return t.sentAt + scale(wait, time.Second)
}

// cost is what a further attempt takes from the store: less where the last one spent little of a replica.
func (p *part) retryCost() float64 {
	if p.cheapRetry {
		return quickRetryCost
	}
	return 1
}

// withinRetryBudget tells whether a further attempt is within the rule's ration and what has been saved up.
func (a *Aggregator) withinRetryBudget(p *part) bool {
	if b := a.settings.Rules; b.RetryWindow > 0 {
		taken := a.retryBudget.accepted.countSince(a.now - b.RetryWindow + a.settings.Tick)
		extras := a.retryBudget.retries.countSince(a.now - b.RetryWindow - a.settings.Tick)
		if float64(extras+1) > b.RetryFloor+b.RetryRatio*float64(taken) {
			return false
		}
	}
	return a.retryBudget.tokens >= p.retryCost()
}

// spendRetryBudget books a send: first sends earn, further ones pay.
func (a *Aggregator) spendRetryBudget(p *part) bool {
	if len(p.attempts) == 0 {
		a.retryBudget.tokens = math.Min(a.retryBudget.tokens+retryCreditPerSend, maxRetryCredit)
		return true
	}
	if !a.withinRetryBudget(p) {
		return false
	}
	a.retryBudget.tokens -= p.retryCost()
	if a.settings.Rules.RetryWindow > 0 {
		a.retryBudget.retries.times = append(a.retryBudget.retries.times, a.now)
	}
	return true
}

// count notes a query or part taken, where further attempts are rationed by them.
func (a *Aggregator) countAccepted() {
	if a.settings.Rules.RetryWindow > 0 {
		a.retryBudget.accepted.times = append(a.retryBudget.accepted.times, a.now)
	}
}

// window counts stamps within a sliding span.
type slidingWindow struct{ times []time.Duration }

func (w *slidingWindow) countSince(t time.Duration) int {
	i, _ := slices.BinarySearch(w.times, t)
	w.times = append(w.times[:0], w.times[i:]...)
	return len(w.times)
}

// retryBudget limits retries and hedged requests: a token bucket that first sends fill, and where the settings state one
// the ration of a sliding window.
type retryBudget struct {
	tokens   float64       // tokens
	accepted slidingWindow // queries and parts taken
	retries  slidingWindow // retries and hedged requests sent
}
