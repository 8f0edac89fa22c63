package aggregator

import (
	"math"
	"slices"
	"time"
)

const (
	// retryTokensPerSend is the number of tokens that the first send of a part adds to the retry budget.
	retryTokensPerSend = 0.10
	// maxRetryTokens is the capacity of the retry budget, in tokens.
	maxRetryTokens = 8.0
	// cheapRetryCost is the cost, in tokens, of a retry after an attempt that caused little work; any other retry costs 1.
	cheapRetryCost = 0.3
	// hedgeTailMultiple is the age, in tail latencies of its class, at which a part is hedged.
	hedgeTailMultiple = 2.0
	// hedgeMedianMultiple is the same in median latencies. The later of the two applies, or half the latency objective if
	// that is earlier.
	hedgeMedianMultiple = 4.0
	// ejectedHedgeMultiple is the age, in median latencies, at which a part at an ejected replica is hedged.
	ejectedHedgeMultiple = 1.5
	// minTailSamples is the number of samples from which the tail latency is used.
	minTailSamples = 30
	// stragglerPartShare is the largest share of a query's parts that may be pending for a part to be hedged as a
	// straggler.
	stragglerPartShare = 0.125
	// dedupMarginTicks is the number of ticks before the end of the deduplication window by which a repeat must begin.
	dedupMarginTicks = 4
)

// mayRetry reports whether the limits allow a part another attempt: it has had fewer than Limits.MaxAttempts, the first
// included, and running it twice does no harm.
func (a *Aggregator) mayRetry(p *part) bool {
	return len(p.attempts) == 0 || len(p.attempts) < a.settings.Limits.MaxAttempts && a.beginWithin(p) > 0
}

// beginWithin returns the time within which a further attempt must begin to run: unlimited for a class that may be repeated
// freely, and the rest of the deduplication window for one whose repeats are dropped. The window counts from the earliest
// attempt that may have run, even if a later one ended first. At 0 or less no further attempt is safe.
func (a *Aggregator) beginWithin(p *part) time.Duration {
	c, first := &a.settings.Classes[p.query.class], p.firstPossibleRun()
	switch {
	case first == nil || c.Effect == Safe:
		return math.MaxInt64
	case c.Effect == Keyed:
		return first.sentAt + c.DedupWindow - dedupMarginTicks*a.settings.Tick - a.now
	}
	return 0
}

// handleOverdue handles a part with an open attempt. If the attempt is overdue and another replica is clearly faster, it
// sends a hedged request, or cancels the attempt where hedging is not permitted, so that a retry follows. It returns when
// the part next needs attention.
func (a *Aggregator) handleOverdue(p *part) time.Duration {
	if at := a.hedgeTime(p); a.now < at {
		return at
	}
	limits, last := &a.settings.Limits, p.lastAttempt()
	if last.cancelled || p.openAttempts() > 1 || !a.mayRetry(p) || !limits.Hedging && !limits.CanCancel {
		return math.MaxInt64
	}
	r := a.pickReplica(p)
	p.cheapRetry = last.replica.outlier.ejected || last.call.unansweredCounted
	if !a.shouldHedge(p, r) || !a.withinRetryBudget(p) {
		return a.now + hedgeCheckTicks*a.settings.Tick
	}
	if !limits.Hedging {
		a.cancel(last)
		return a.now + cancelWaitTicks*a.settings.Tick
	}
	a.spendRetryBudget(p)
	a.send(p, r)
	return a.hedgeTime(p)
}

// shouldHedge reports whether an overdue part should also go to r. Its replica must be failing, or must have answered a
// part sent later while nearly all other parts of the query are answered, as the answer may then be lost. r must be clearly
// faster: if all replicas are slow they are loaded, and a further attempt adds to the load.
func (a *Aggregator) shouldHedge(p *part, r *replica) bool {
	last := p.lastAttempt()
	pending := float64(p.query.progress().pending)
	overtaken := last.replica.latency.answeredSendAt >= last.sentAt && pending <= stragglerPartShare*float64(len(p.query.parts))
	if !p.cheapRetry && !overtaken {
		return false
	}
	return r != nil && !r.outlier.ejected && a.currentExcess(r) <= (a.now-last.sentAt).Seconds()/2
}

// hedgeTime returns when the last attempt of a part is overdue.
func (a *Aggregator) hedgeTime(p *part) time.Duration {
	last := p.lastAttempt()
	wait := a.hedgeDelay(p.query)
	if last.replica.outlier.ejected {
		wait = math.Min(wait, a.latencyOf(p.query).median.value*ejectedHedgeMultiple)
	}
	return last.sentAt + scale(wait, time.Second)
}

// hedgeDelay returns the age, in seconds, from which a part is an outlier of its class. It is at most half the latency
// objective, so that another attempt fits in before the objective.
func (a *Aggregator) hedgeDelay(q *query) float64 {
	estimate, objective := a.latencyOf(q), a.settings.Classes[q.class].LatencyObjective.Seconds()
	if estimate.tail.samples < minTailSamples {
		return objective / 2
	}
	return math.Min(math.Max(hedgeTailMultiple*estimate.tail.value, hedgeMedianMultiple*estimate.median.value), objective/2)
}

// retryBudget limits retries and hedged requests with a token bucket, which first sends fill and further attempts drain,
// and, if Rules.RetryWindow is set, by the ratio of further attempts to accepted work in a sliding window.
//
// It prevents retry storms: without it, replicas that fail under load get up to Limits.MaxAttempts times the load. In
// such a storm the number of attempts grows while that of queries does not.
type retryBudget struct {
	tokens   float64
	accepted slidingWindow // accepted queries and parts
	retries  slidingWindow // retries and hedged requests sent
}

// retryCost returns the cost of the next attempt of a part, in tokens.
func (p *part) retryCost() float64 {
	if p.cheapRetry {
		return cheapRetryCost
	}
	return 1
}

// withinRetryBudget reports whether the retry budget allows a further attempt of a part.
func (a *Aggregator) withinRetryBudget(p *part) bool {
	if rules := &a.settings.Rules; rules.RetryWindow > 0 {
		// Counting accepted work over a shorter window and retries over a longer one keeps the ratio in every window whose
		// edges lie within a tick of this one.
		accepted := a.retryBudget.accepted.countSince(a.now - rules.RetryWindow + a.settings.Tick)
		retries := a.retryBudget.retries.countSince(a.now - rules.RetryWindow - a.settings.Tick)
		if float64(retries+1) > rules.RetryFloor+rules.RetryRatio*float64(accepted) {
			return false
		}
	}
	return a.retryBudget.tokens >= p.retryCost()
}

// spendRetryBudget accounts for a send: a first send adds tokens, a further one costs tokens. It returns false if the
// budget does not allow the send.
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

// countAccepted counts an accepted query or part, if the ratio of retries depends on it.
func (a *Aggregator) countAccepted() {
	if a.settings.Rules.RetryWindow > 0 {
		a.retryBudget.accepted.add(a.now)
	}
}

// slidingWindow holds the times of recent events, in order.
type slidingWindow struct{ times []time.Duration }

func (w *slidingWindow) add(now time.Duration) {
	w.times = append(w.times, now)
}

// countSince returns the number of events at or after t and drops the earlier ones.
func (w *slidingWindow) countSince(t time.Duration) int {
	i, _ := slices.BinarySearch(w.times, t)
	w.times = append(w.times[:0], w.times[i:]...)
	return len(w.times)
}
