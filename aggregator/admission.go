package aggregator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxRecentPriorities is the number of recent queries against which a new one is ranked.
	maxRecentPriorities = 128
	// priorityTolerance is the relative difference up to which two priorities count as equal.
	priorityTolerance = 0.01
	// admitShareLowest is the share of the time to the objective within which a query of the lowest rank must be expected.
	admitShareLowest = 0.50
	// admitShareHighest is the same for a query of the highest rank.
	admitShareHighest = 1.00
	// secondPhaseForecast is the duration of a query with a second phase, as a multiple of its first phase.
	secondPhaseForecast = 1.5
	// stragglerFactor is the additional wait for the last part for each e-fold of parts, in median excesses. It is below 1,
	// as the parts of one query are slow together.
	stragglerFactor = 0.75
	// shedMultiple is the smallest forecast, in base latencies, with which a part is left out of an answer.
	shedMultiple = 6.0
	// uncontendedShare is the share of Limits.MaxOpen that queries of any rank may fill; the rest is for those of high
	// rank.
	uncontendedShare = 0.8
	// minWork is the smallest work, in seconds, by which a priority is divided.
	minWork = 1e-3
	// fetchPartWork is the work of a part of the second phase, as a share of one of the first.
	fetchPartWork = 0.5
	// quotaWindow is the time window in which the queries of a tenant are counted.
	quotaWindow = 2 * time.Second
	// quotaBurst is the number of queries per quotaWindow by which a tenant may exceed its rate.
	quotaBurst = 3
	// maxTenantRetries is the number of retries per quotaWindow that are never held against a tenant.
	maxTenantRetries = 2
)

// admissionState holds the recent queries with which admission compares a new one.
type admissionState struct {
	tenantQueries []slidingWindow // by tenant
	tenantRetries []slidingWindow // by tenant; queries that a client had sent before
	priorities    recentPriorities
}

// admit decides whether a new query is served, and otherwise sets the reason of its rejection. It sheds load early: a query
// is admitted if its answer is expected within a share of its latency objective that grows with its rank, so the queries of
// lowest priority for their work are rejected first, and more of them the longer the wait is.
func (a *Aggregator) admit(q *query) bool {
	q.admitted = true
	rank := a.priorityRank(q)
	byForecast := a.forecastParts(q)
	wait := a.forecastQuery(q, byForecast)
	allowed := (admitShareLowest + (admitShareHighest-admitShareLowest)*rank) * (q.objective - a.now).Seconds()
	switch {
	case math.IsInf(wait, 1):
		q.rejection = NoReplica
	case a.overCapacity(rank):
		q.rejection = OverCapacity
	case wait > allowed:
		q.rejection = ForecastTooLate
	default:
		a.shedParts(q, byForecast)
		return true
	}
	return false
}

// overCapacity reports whether too many queries and parts are open to admit a query of the given rank.
func (a *Aggregator) overCapacity(rank float64) bool {
	limit := float64(a.settings.Limits.MaxOpen)
	return limit > 0 && float64(a.openCount()) > limit*(uncontendedShare+(1-uncontendedShare)*rank)
}

// forecastParts sets the forecast of each part of a query and returns the parts in order of their forecasts, soonest first.
func (a *Aggregator) forecastParts(q *query) []*part {
	for _, p := range q.parts {
		p.forecast = a.forecast(p)
	}
	byForecast := slices.Clone(q.parts)
	slices.SortFunc(byForecast, func(p, o *part) int { return cmp.Compare(p.forecast, o.forecast) })
	return byForecast
}

// forecastQuery returns how long a query is expected to take, in seconds, until the weight that it needs is answered; it is
// infinite if a required part has no replica.
func (a *Aggregator) forecastQuery(q *query, byForecast []*part) float64 {
	wait, sum := 0.0, 0.0
	for _, p := range byForecast {
		if sum < a.requiredShare(q) {
			wait, sum = p.forecast, sum+p.weight
		}
	}
	if math.IsInf(wait, 1) {
		return wait
	}
	wait += a.stragglerWait(q)
	if a.settings.Classes[q.class].SecondPhaseParts > 0 {
		wait *= secondPhaseForecast
	}
	return wait
}

// forecast returns the expected latency of a part at its best holder, in seconds. Ejected holders count only if there is no
// other.
func (a *Aggregator) forecast(p *part) float64 {
	best, bestEjected := math.Inf(1), math.Inf(1)
	for _, r := range a.holders(p.shard) {
		switch {
		case !a.usable(p, r):
		case r.outlier.ejected:
			bestEjected = math.Min(bestEjected, a.expectedLatency(p.query, r))
		default:
			best = math.Min(best, a.expectedLatency(p.query, r))
		}
	}
	if math.IsInf(best, 1) {
		return bestEjected
	}
	return best
}

// stragglerWait returns how many seconds later than a typical part the last part that a query needs may be answered. The
// largest of n exponential waits averages ln n mean waits, and the forecast of a part already includes one of them. It uses
// the median replica: rejections would not relieve a few slow ones.
func (a *Aggregator) stragglerWait(q *query) float64 {
	missableShare := max(1-a.requiredShare(q), 1/float64(max(len(q.parts), 1)))
	return stragglerFactor * a.latency.medianExcess * math.Max(-math.Log(missableShare)-1, 0)
}

// shedParts abandons the parts that the answer can do without and that are expected late, the slowest first: they would
// take capacity from queries that need all their parts. Half of the weight that may be missing is kept for parts that fail.
// The fewer aggregators share the load, the better each of them knows it, so a part expected well within the objective is
// then sent.
func (a *Aggregator) shedParts(q *query, byForecast []*part) {
	c, rest := &a.settings.Classes[q.class], 1.0
	if c.PartialShare == 0 || c.SecondPhaseParts > 0 {
		return
	}
	late := math.Max(shedMultiple*a.baseLatency(q), a.visibleShare()*admitShareLowest*(q.objective-a.now).Seconds())
	for _, p := range slices.Backward(byForecast) {
		if p.forecast < late || rest-p.weight < (c.MinShare+c.CompleteShare)/2 {
			return
		}
		p.abandoned, rest = true, rest-p.weight
	}
}

// priorityRank returns the rank of a query among the recent ones by priority for its work, from 0 (lowest) to 1 (highest).
func (a *Aggregator) priorityRank(q *query) float64 {
	q.priority = a.settings.Classes[q.class].Priority
	if !a.settings.PriorityPerWork {
		q.priority /= math.Max(a.queryWork(q), minWork)
	}
	if a.countAgainstQuota(q) {
		q.priority *= a.settings.OverQuotaFactor
	}
	position := a.admission.priorities.add(q.priority)
	if position.total == 0 {
		return 1
	}
	return (position.lower + position.equal*a.rng.Float64()) / position.total
}

// queryWork returns the expected work of a query over all its phases, in seconds.
func (a *Aggregator) queryWork(q *query) float64 {
	work := float64(len(q.parts)) * a.baseLatency(q)
	if fetch := a.settings.Classes[q.class].SecondPhaseParts; fetch > 0 {
		work *= 1 + fetchPartWork*float64(fetch)/float64(max(len(q.parts), 1))
	}
	return work
}

// countAgainstQuota counts a query of a tenant and reports whether it exceeds the tenant's rate, or is a retry of a tenant
// most of whose queries are retries.
func (a *Aggregator) countAgainstQuota(q *query) bool {
	if q.tenant < 0 || q.tenant >= len(a.admission.tenantQueries) {
		return false
	}
	queries, retries := &a.admission.tenantQueries[q.tenant], &a.admission.tenantRetries[q.tenant]
	queries.add(a.now)
	if q.retry {
		retries.add(a.now)
	}
	rate, since := a.settings.Tenants[q.tenant].Rate/float64(a.settings.Aggregators), a.now-quotaWindow
	queryCount, retryCount := float64(queries.countSince(since)), float64(retries.countSince(since))
	mostlyRetries := q.retry && retryCount > maxTenantRetries && 2*retryCount > queryCount
	return queryCount > quotaWindow.Seconds()*rate+quotaBurst || mostlyRetries
}

// recentPriorities holds the priorities of the most recent queries.
type recentPriorities struct {
	values []float64
	seen   int // number of queries so far
}

// priorityPosition holds the number of recent priorities below a new one, equal to it, and in total.
type priorityPosition struct{ lower, equal, total float64 }

// add adds a priority and returns its position among those before it.
func (r *recentPriorities) add(priority float64) (position priorityPosition) {
	for _, earlier := range r.values {
		switch {
		case earlier < priority*(1-priorityTolerance):
			position.lower++
		case earlier < priority*(1+priorityTolerance):
			position.equal++
		}
	}
	position.total = float64(len(r.values))
	if len(r.values) < maxRecentPriorities {
		r.values = append(r.values, priority)
	} else {
		r.values[r.seen%maxRecentPriorities] = priority
	}
	r.seen++
	return position
}
