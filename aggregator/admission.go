package aggregator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	maxRecentPriorities  = 128  // recent queries that a new one is ranked among
	admitShareLowest  = 0.50 // share of the aim within which the least worthy query must be expected
	admitShareHighest = 1.00 // and the worthiest
	stragglerFactor   = 0.75 // excesses of the fleet for each e-fold of parts: a query's parts are slow together
	shedMultiple      = 6.0  // usual latencies in the forecast above which an answer does without a part
	uncontendedShare  = 0.8  // share of the open queries and parts above which only worthy queries enter
)

// admit decides on a new query. It is let in if it can be expected within a share of its aim that grows
// with its worth for the work, compared with the queries seen lately; so load that can't be served is
// turned away early, the least worthy first, and more of it the longer the wait has grown.
func (a *Aggregator) admit(q *query) bool {
	q.admitted = true
	rank := a.priorityRank(q)
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
	if m := float64(a.settings.Limits.MaxOpen); m > 0 && float64(a.heldCount()) > m*(uncontendedShare+(1-uncontendedShare)*rank) {
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
		case r.outlier.ejected:
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
func (a *Aggregator) priorityRank(q *query) float64 {
	c := &a.settings.Classes[q.class]
	worth := c.Priority
	if !a.settings.PriorityPerWork {
		work := float64(len(q.parts)) * a.baseLatency(q)
		if c.FetchParts > 0 {
			work *= 1 + 0.5*float64(c.FetchParts)/float64(max(len(q.parts), 1))
		}
		worth /= math.Max(work, 1e-3)
	}
	if q.tenant >= 0 && q.tenant < len(a.admission.tenantQueries) {
		w, again := &a.admission.tenantQueries[q.tenant], &a.admission.tenantRetries[q.tenant]
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
	below, equal, n := a.admission.priorities.compareAndAdd(worth)
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
	return stragglerFactor * a.latency.medianExcess * math.Max(-math.Log(missed)-1, 0)
}

// recent holds the latest values of a stream.
type recentPriorities struct {
	values []float64
	seen   int
}

// place adds x and counts how many of the n values before it lie below it, and how many equal it.
func (r *recentPriorities) compareAndAdd(x float64) (below, equal, n float64) {
	for _, w := range r.values {
		switch {
		case w < x*0.99:
			below++
		case w < x*1.01:
			equal++
		}
	}
	n = float64(len(r.values))
	if len(r.values) < maxRecentPriorities {
		r.values = append(r.values, x)
	} else {
		r.values[r.seen%maxRecentPriorities] = x
	}
	r.seen++
	return below, equal, n
}

// admissionState is what admission compares a new query with.
type admissionState struct {
	tenantQueries []slidingWindow
	tenantRetries []slidingWindow // of the tenants' queries those that a client had sent before
	priorities    recentPriorities    // of the queries seen lately
}
