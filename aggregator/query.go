package aggregator

import (
	"time"
)

// queryTable holds the open queries, and the parts that belong to open queries or have open attempts.
type queryTable struct {
	byID  map[string]*query
	parts map[string]*part
	live  []*query // in order of arrival; ended ones are removed at the end of a round
}

// query is the state of one client query.
type query struct {
	id                 string
	class              int  // index into Settings.Classes
	tenant             int  // index into Settings.Tenants; below 0 for none
	retry              bool // the client has sent it before
	parts              []*part
	partCount          int // parts of the current phase, some of which may not have arrived
	phase              int // index of the current phase, 0 or 1
	admitted           bool
	ended              bool
	firstPhaseComplete bool // the first phase was answered completely
	arrived            time.Duration
	canary             queryCanary
	rejection          Reason        // why admission rejected it
	objective          time.Duration // answers until then earn the full priority
	deadline           time.Duration // the client's deadline minus the pause reserve
	priority           float64       // priority of its class, adjusted for its work and its tenant's quota
}

// part is the portion of a query that one shard answers.
type part struct {
	id         string
	query      *query
	shard      int
	weight     float64 // share of the query's answer
	work       float64 // expected work in seconds; 0 if unknown
	attempts   []*attempt
	answered   bool
	abandoned  bool    // no further attempt is made
	forecast   float64 // latency expected at admission, in seconds
	cheapRetry bool    // its last attempt ended by itself or its replica is failing, so a retry adds little work
}

// firstPossibleRun returns the earliest attempt that may have run, or nil. The order in which attempts end doesn't matter: an
// open attempt may have run too.
func (p *part) firstPossibleRun() *attempt {
	for _, t := range p.attempts { // in order of sending
		if t.open || t.mayHaveRun {
			return t
		}
	}
	return nil
}

func (p *part) openAttempts() (n int) {
	for _, t := range p.attempts {
		if t.open {
			n++
		}
	}
	return n
}

// queryProgress is the progress of the current phase of a query.
type queryProgress struct {
	weight  float64 // sum over the answered parts
	pending int     // parts that may still be answered
	missing int     // unanswered parts, abandoned ones included
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

// queryArrived opens a query, or rejects one whose class is not in the settings.
func (a *Aggregator) queryArrived(e *Event) {
	if a.queries.byID[e.Query] != nil {
		return
	}
	a.countAccepted()
	q := &query{id: e.Query, class: e.Class, tenant: e.Tenant, partCount: e.PartCount, retry: e.Retry, arrived: a.now}
	if e.Class < 0 || e.Class >= len(a.settings.Classes) {
		q.ended = true
		a.emit(Action{Kind: Reject, Query: q.id})
		return
	}
	left := max(0, e.TimeLeft)
	q.deadline = a.now + left - a.pauseReserve(q.class, left)
	q.objective = min(q.deadline, a.now+a.settings.Classes[e.Class].LatencyObjective)
	a.queries.byID[q.id] = q
	a.queries.live = append(a.queries.live, q)
}

// partArrived adds a part to its query. It ignores parts of unknown queries, known parts and shards out of range.
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

// openCount returns the number of open queries and their parts, which Limits.MaxOpen bounds.
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

// dropPart cancels the open attempts of a part and removes it; one with open attempts is removed when the last has ended.
func (a *Aggregator) dropPart(p *part) {
	a.cancelAttempts(p)
	if p.openAttempts() == 0 {
		delete(a.queries.parts, p.id)
	}
}

// cancelAttempts cancels the open attempts of a part, if the deployment permits it.
func (a *Aggregator) cancelAttempts(p *part) {
	for _, t := range p.attempts {
		if t.open && !t.cancelled && a.settings.Limits.CanCancel {
			a.cancel(t)
		}
	}
}

func (a *Aggregator) cancel(t *attempt) {
	t.cancelled = true
	a.emit(Action{Kind: Cancel, Part: t.part.id, Attempt: t.index})
}
