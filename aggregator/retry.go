package aggregator

import (
	"math"
	"slices"
	"time"
)

const (
	// retryTokensPerSend is how many tokens the first send of a part adds to the retry budget.
	retryTokensPerSend = 0.10
	// maxRetryTokens is how many tokens the retry budget holds at most.
	maxRetryTokens = 8.0
	// cheapRetryCost is how many tokens a retry costs whose last attempt brought little work; any other costs one.
	cheapRetryCost = 0.3
	// hedgeTailMultiple is how many tail latencies of its class a part may take before it is hedged.
	hedgeTailMultiple = 2.0
	// hedgeMedianMultiple is how many median latencies it may take; the later of the two counts.
	hedgeMedianMultiple = 4.0
	// ejectedHedgeMultiple is how many median latencies it may take at an ejected replica.
	ejectedHedgeMultiple = 1.5
	// minTailSamples is from how many samples on the tail latency is used.
	minTailSamples = 30
	// stragglerPartShare is the share of a query's parts that may be missing for a part to be hedged as a straggler.
	stragglerPartShare = 0.125
	// dedupMarginTicks is by how many ticks a repeat must begin before its deduplication ends.
	dedupMarginTicks = 4
)

// mayRetry tells whether the limits allow a part another attempt: fewer than Limits.MaxAttempts, the first included, and
// only where running twice does no harm.
func (a *Aggregator) mayRetry(p *part) bool {
	return len(p.attempts) == 0 || len(p.attempts) < a.settings.Limits.MaxAttempts && a.beginWithin(p) > 0
}

// beginWithin is within which time a further attempt must begin to run: any for a class that may be repeated freely, and
// until the deduplication ends for one whose repeats are dropped. It is 0 or less where no further attempt is safe.
func (a *Aggregator) beginWithin(p *part) time.Duration {
	c := &a.settings.Classes[p.query.class]
	firstRun, mayHaveRun := p.firstRun, p.mayHaveRun
	for _, t := range p.attempts {
		if t.open && (!mayHaveRun || t.sentAt < firstRun) {
			firstRun, mayHaveRun = t.sentAt, true
		}
	}
	switch {
	case !mayHaveRun || c.Effect == Safe:
		return math.MaxInt64
	case c.Effect == Keyed:
		return firstRun + c.DedupWindow - dedupMarginTicks*a.settings.Tick - a.now
	}
	return 0
}

// handleOverdue looks at a part with an open attempt. Where the attempt is overdue and another replica is clearly faster, it sends
// a hedged request, or cancels the attempt where hedging is not permitted, so that a retry follows. It returns when the
// part next needs attention.
func (a *Aggregator) handleOverdue(p *part) time.Duration {
	if at := a.hedgeAt(p); a.now < at {
		return at
	}
	limits, last := &a.settings.Limits, p.lastAttempt()
	if last.cancelled || p.openAttempts() > 1 || !a.mayRetry(p) || !limits.Hedging && !limits.CanCancel {
		return math.MaxInt64
	}
	r := a.pickReplica(p)
	p.cheapRetry = last.replica.outlier.ejected || last.call.silenceCounted
	if !a.hedgePays(p, r) || !a.withinRetryBudget(p) {
		return a.now + hedgeCheckTicks*a.settings.Tick
	}
	if !limits.Hedging {
		a.cancel(last)
		return a.now + cancelTicks*a.settings.Tick
	}
	a.spendRetryBudget(p)
	a.send(p, r)
	return a.hedgeAt(p)
}

// hedgePays tells whether an overdue part should go to r as well. Its replica must be failing, or must have answered what
// was sent later while nearly all other parts are in: the answer may then be lost. And r must be clearly faster, as where
// all replicas are slow they are loaded, and a further attempt adds to the load.
func (a *Aggregator) hedgePays(p *part, r *replica) bool {
	last := p.lastAttempt()
	pending := float64(p.query.progress().pending)
	overtaken := last.replica.latency.answeredSendAt >= last.sentAt && pending <= stragglerPartShare*float64(len(p.query.parts))
	if !p.cheapRetry && !overtaken {
		return false
	}
	return r != nil && !r.outlier.ejected && a.currentExcess(r) <= (a.now-last.sentAt).Seconds()/2
}

// hedgeAt is when the last attempt of a part is overdue.
func (a *Aggregator) hedgeAt(p *part) time.Duration {
	last := p.lastAttempt()
	wait := a.hedgeDelay(p.query)
	if last.replica.outlier.ejected {
		wait = math.Min(wait, a.latencyOf(p.query).median.value*ejectedHedgeMultiple)
	}
	return last.sentAt + scale(wait, time.Second)
}

// hedgeDelay is after how many seconds a part stands out among its class, half the latency objective at most, so that
// another attempt fits in before the objective.
func (a *Aggregator) hedgeDelay(q *query) float64 {
	estimate, objective := a.latencyOf(q), a.settings.Classes[q.class].LatencyObjective.Seconds()
	if estimate.tail.samples < minTailSamples {
		return objective / 2
	}
	return math.Min(math.Max(hedgeTailMultiple*estimate.tail.value, hedgeMedianMultiple*estimate.median.value), objective/2)
}

// retryBudget limits retries and hedged requests by a token bucket that first sends fill and further attempts empty, and
// where Rules.RetryWindow is set by the ratio of further attempts to accepted work in a sliding window.
//
// It guards against retry storms: without it, replicas that fail under load get up to Limits.MaxAttempts times the load.
// The engineer on call sees attempts grow while queries don't.
type retryBudget struct {
	tokens   float64
	accepted slidingWindow // queries and parts taken in
	retries  slidingWindow // retries and hedged requests sent
}

// retryCost is how many tokens the next attempt of a part costs.
func (p *part) retryCost() float64 {
	if p.cheapRetry {
		return cheapRetryCost
	}
	return 1
}

// withinRetryBudget tells whether the retry budget allows a further attempt of a part.
func (a *Aggregator) withinRetryBudget(p *part) bool {
	if rules := &a.settings.Rules; rules.RetryWindow > 0 {
		// A shorter window for what was accepted and a longer one for retries keep the ratio also in windows whose edges lie
		// within a tick of this one.
		accepted := a.retryBudget.accepted.countSince(a.now - rules.RetryWindow + a.settings.Tick)
		retries := a.retryBudget.retries.countSince(a.now - rules.RetryWindow - a.settings.Tick)
		if float64(retries+1) > rules.RetryFloor+rules.RetryRatio*float64(accepted) {
			return false
		}
	}
	return a.retryBudget.tokens >= p.retryCost()
}

// spendRetryBudget counts a send: a first one fills the budget, a further one is paid for. It returns false where the
// budget does not allow it.
func (a *Aggregator) spendRetryBudget(p *part) bool {
	if len(p.attempts) == 0 {
		a.retryBudget.tokens = math.Min(a.retryBudget.tokens+retryTokensPerSend, maxRetryTokens)
		return true
	}
	if !a.withinRetryBudget(p) {
		return false
	}
	a.retryBudget.tokens -= p.retryCost()
	if a.settings.Rules.RetryWindow > 0 {
		a.retryBudget.retries.add(a.now)
	}
	return true
}

// countAccepted counts a query or part taken in, where the ratio of retries depends on it.
func (a *Aggregator) countAccepted() {
	if a.settings.Rules.RetryWindow > 0 {
		a.retryBudget.accepted.add(a.now)
	}
}

// slidingWindow holds the times of events, in order.
type slidingWindow struct{ times []time.Duration }

func (w *slidingWindow) add(now time.Duration) {
	w.times = append(w.times, now)
}

// countSince counts the events from t on and forgets the earlier ones.
func (w *slidingWindow) countSince(t time.Duration) int {
	i, _ := slices.BinarySearch(w.times, t)
	w.times = append(w.times[:0], w.times[i:]...)
	return len(w.times)
}
