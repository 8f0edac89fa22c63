package aggregator

import (
	"time"
)

// queryTable holds the open queries, and the parts of open queries or with attempts in flight.
type queryTable struct {
	byID  map[string]*query
	parts map[string]*part
	live  []*query // in order of arrival; ended ones are removed at the end of a round
}

// query is one query that a client has sent.
type query struct {
	id                string
	class             int  // index into Settings.Classes
	tenant            int  // index into Settings.Tenants; below 0 for none
	retry             bool // the client has sent it before
	parts             []*part
	partCount         int // parts of the current step, of which some may not have arrived
	phase             int // 0 or 1
	admitted          bool
	ended             bool
	firstStepComplete bool // the first step was answered in full
	arrived           time.Duration
	canary            queryCanary
	rejection         Reason        // why admission rejected it
	objective         time.Duration // an answer until then earns the full priority
	deadline          time.Duration // the client's deadline less the reserve
	priority          float64       // of its class, for its work and its tenant's quota
}

// part is the part of a query that one shard answers.
type part struct {
	id         string
	query      *query
	shard      int
	weight     float64 // share of the query's answer
	work       float64 // expected work in seconds; 0 where not known
	attempts   []*attempt
	answered   bool
	abandoned  bool          // no further attempt is made
	forecast   float64       // how long it was expected to take as its query was admitted, in seconds
	mayHaveRun bool          // an attempt ended that may have run
	firstRun   time.Duration // when the first such attempt was sent
	cheapRetry bool          // its last attempt ended by itself, or its replica was ejected, so a retry brings little work
}

func (p *part) openAttempts() (n int) {
	for _, t := range p.attempts {
		if t.open {
			n++
		}
	}
	return n
}

// queryProgress is how far the current step of a query is.
type queryProgress struct {
	weight  float64 // of the parts that are answered
	pending int     // parts that may still be answered
	missing int     // parts that are not answered, abandoned ones included
}

func (q *query) progress() (progress queryProgress) {
	for _, p := range q.parts {
		if p.answered {
			progress.weight += p.weight
			continue
		}
		if !p.abandoned {
			progress.pending++
		}
		progress.missing++
	}
	return progress
}

// queryArrived opens a query; one of a class that the settings lack is rejected.
func (a *Aggregator) queryArrived(e *Event) {
	if a.queries.byID[e.Query] != nil {
		return
	}
	a.countAccepted()
	q := &query{id: e.Query, class: e.Class, tenant: e.Tenant, partCount: e.Count, retry: e.Retry, arrived: a.now}
	if e.Class < 0 || e.Class >= len(a.settings.Classes) {
		q.ended = true
		a.act(Action{Kind: Reject, Query: q.id})
		return
	}
	left := max(0, e.TimeLeft)
	q.deadline = a.now + left - a.reserve(q.class, left)
	q.objective = min(q.deadline, a.now+a.settings.Classes[e.Class].LatencyObjective)
	a.queries.byID[q.id] = q
	a.queries.live = append(a.queries.live, q)
}

// partArrived adds a part to its query. Parts of no query, known parts and shards out of range are skipped.
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

// openCount is how many queries and parts are open; Limits.MaxOpen bounds it.
func (a *Aggregator) openCount() (n int) {
	for _, q := range a.queries.live {
		if !q.ended {
			n += 1 + len(q.parts)
		}
	}
	return n
}

// closeQuery removes a query and cancels its open attempts.
func (a *Aggregator) closeQuery(q *query) {
	q.ended = true
	delete(a.queries.byID, q.id)
	for _, p := range q.parts {
		a.dropPart(p)
	}
}

// dropPart cancels the open attempts of a part and removes it; a part with open attempts stays until the last has ended.
func (a *Aggregator) dropPart(p *part) {
	a.cancelAttempts(p)
	if p.openAttempts() == 0 {
		delete(a.queries.parts, p.id)
	}
}

// cancelAttempts cancels the open attempts of a part, where the deployment permits it.
func (a *Aggregator) cancelAttempts(p *part) {
	for _, t := range p.attempts {
		if t.open && !t.cancelled && a.settings.Limits.CanCancel {
			a.cancel(t)
		}
	}
}

func (a *Aggregator) cancel(t *attempt) {
	t.cancelled = true
	a.act(Action{Kind: Cancel, Part: t.part.id, Attempt: t.index})
}
