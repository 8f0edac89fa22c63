package aggregator

import (
	"time"
)

// query is one open query.
type query struct {
	id                string
	class             int
	tenant            int  // below 0 for none
	retry             bool // the client has sent it before
	parts             []*part
	partCount         int // parts of the step
	step              int // 0 or 1
	admitted          bool
	ended             bool
	firstStepComplete bool
	arrived           time.Duration
	canary            queryCanary
	rejection         Reason        // why admission rejected it
	objective         time.Duration // an answer until then earns the full priority
	deadline          time.Duration // the client's deadline less the reserve
	priority          float64       // per work
}

type part struct {
	id           string
	query        *query
	shard        int
	weight       float64
	work         float64
	attempts     []*attempt
	answered     bool
	abandoned    bool    // no further attempt is allowed
	forecast     float64 // forecast at its query's admission, seconds
	mayRun       bool
	firstRun     time.Duration // when the first attempt that may have run was sent
	cheapRetry bool          // the last attempt ended by itself, or its replica was ejected
}

func (p *part) openAttempts() (n int) {
	for _, t := range p.attempts {
		if t.open {
			n++
		}
	}
	return n
}

// arrive takes a query; one of a class that the settings lack is refused.
func (a *Aggregator) queryArrived(e *Event) {
	if a.queries.byID[e.Query] != nil {
		return
	}
	a.countAccepted()
	q := &query{id: e.Query, class: e.Class, tenant: e.Tenant, partCount: e.Count, retry: e.Retry, arrived: a.now}
	if e.Class < 0 || e.Class >= len(a.settings.Classes) {
		q.ended = true
		a.out = append(a.out, Action{Kind: Reject, Query: q.id})
		return
	}
	left := max(0, e.TimeLeft)
	q.deadline = a.now + left - a.reserve(q.class, left)
	q.objective = min(q.deadline, a.now+a.settings.Classes[e.Class].LatencyObjective)
	a.queries.byID[q.id] = q
	a.queries.live = append(a.queries.live, q)
}

// addPart adds a part to its query. Parts of no query, known parts and shards out of range are skipped.
func (a *Aggregator) partArrived(e *Event) {
	q := a.queries.byID[e.Query]
	a.countAccepted()
	if q == nil || a.queries.parts[e.Part] != nil || e.Shard < 0 || e.Shard >= a.settings.Shards {
		return
	}
	p := &part{id: e.Part, query: q, shard: e.Shard, weight: e.Weight, work: e.Work.Seconds()}
	q.parts = append(q.parts, p)
	a.queries.parts[p.id] = p
}

// weights sums the weight that is in and counts the parts that may still come and those that are not in.
func (q *query) weights() (got float64, open, missing int) {
	for _, p := range q.parts {
		switch {
		case p.answered:
			got += p.weight
			continue
		case !p.abandoned:
			open++
		}
		missing++
	}
	return got, open, missing
}

// open counts the queries and parts held.
func (a *Aggregator) heldCount() (n int) {
	for _, q := range a.queries.live {
		if !q.ended {
			n += 1 + len(q.parts)
		}
	}
	return n
}

// close forgets a query and calls off what it has out.
func (a *Aggregator) closeQuery(q *query) {
	q.ended = true
	delete(a.queries.byID, q.id)
	for _, p := range q.parts {
		a.dropPart(p)
	}
}

// drop forgets a part once nothing of it is out.
func (a *Aggregator) dropPart(p *part) {
	a.cancelAttempts(p)
	if p.openAttempts() == 0 {
		delete(a.queries.parts, p.id)
	}
}

// cancelRest calls off what a part has out.
func (a *Aggregator) cancelAttempts(p *part) {
	for _, t := range p.attempts {
		if t.open && !t.abandoned && a.settings.Limits.CanCancel {
			t.abandoned = true
			a.out = append(a.out, Action{Kind: Cancel, Part: p.id, Attempt: t.index})
		}
	}
}

// queryTable holds the open queries and the parts that have attempts in flight.
type queryTable struct {
	byID  map[string]*query
	parts map[string]*part
	live  []*query // in order of arrival; ended ones are removed at the end of a round
}
