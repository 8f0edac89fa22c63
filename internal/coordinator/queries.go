package coordinator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"gullfall/aggregator"
)

// ErrInput marks a query that can't be understood; it never reaches the module.
var ErrInput = errors.New("bad query")

// ErrGone says that the client left before the answer.
var ErrGone = errors.New("client gone")

// Query is a client's query, as a front read it.
type Query struct {
	ID       string
	Class    string
	Tenant   string
	Retry    bool // the client says that it sends the query again
	Deadline time.Time
	// IdempotencyKey goes with each attempt of each part of a keyed class, so that a data node can drop a repeat. The client makes
	// it, and it is passed on unread; other classes need none.
	IdempotencyKey string
	Text           string // what each part carries
	Parts          []Part
	Received       *atomic.Int32 // counts the parts that a data node has answered; may be nil
}

// Part is one shard's part of a query.
type Part struct {
	Shard  int
	Weight float64       // share of the answer, 0 to 1
	Work   time.Duration // expected; 0 where not known
	Key    string
}

// Status says how a query ended.
type Status int

// The statuses of a query.
const (
	Answered Status = iota + 1
	Rejected        // nothing was lost: it may be sent again
	Failed
)

// Answer is the one final answer of a query.
type Answer struct {
	Status     Status
	Complete   bool // the share of the weight that its class wants complete is there
	Values     []PartValue
	RetryAfter time.Duration // of a rejected one: when to come back; 0 for no advice
}

// PartValue is the value of one part, as a data node gave it: its documents.
type PartValue struct {
	Shard int
	Docs  [][]byte
}

// query is a Query that was accepted. Its fields belong to the event loop once it is enqueued, but for closed.
type query struct {
	Query
	parts      []*part
	reply      chan Answer
	receivedAt time.Time
	finished   bool        // its answer is out
	closed     atomic.Bool // it is finished, or its client has left: nothing of it may be sent any more
}

// part is a Part of an admitted query. Its id is the query's, a dot and the shard.
type part struct {
	id       string
	query    *query
	shard    int
	docs     [][]byte
	received bool // a data node has answered it
	attempts []*Attempt
}

// queryTable holds what is in progress. It belongs to the event loop.
type queryTable struct {
	open     map[string]*query // by id
	parts    map[string]*part  // by id; a part outlives its query until none of its attempts is in flight
	attempts map[*Attempt]bool // in flight
}

func newQueryTable() queryTable {
	return queryTable{open: map[string]*query{}, parts: map[string]*part{}, attempts: map[*Attempt]bool{}}
}

// add registers an attempt that is about to be sent.
func (t *queryTable) add(a *Attempt) {
	a.part.attempts = append(a.part.attempts, a)
	t.attempts[a] = true
}

// receive takes in the value of a part, the first time that it is answered while its query is open.
func (p *part) receive(docs [][]byte) {
	if p.query.finished || p.received {
		return
	}
	p.received, p.docs = true, docs
	if p.query.Received != nil {
		p.query.Received.Add(1)
	}
}

// Execute takes a query and waits for its final answer. An error wraps ErrInput where the query was not taken, or is ErrGone where
// ctx ended first.
func (c *Coordinator) Execute(ctx context.Context, request Query) (Answer, error) {
	if err := c.Validate(&request); err != nil {
		return Answer{}, err
	}
	if !request.Deadline.After(time.Now()) {
		return Answer{}, fmt.Errorf("%w: deadline has passed", ErrInput)
	}
	// No client waits for longer than its class's limit, whatever it says.
	if end := time.Now().Add(c.settings.Classes[c.classes[request.Class]].Deadline); request.Deadline.After(end) {
		request.Deadline = end
	}
	if !c.isKeyed(request.Class) {
		request.IdempotencyKey = ""
	}
	q := &query{Query: request, receivedAt: time.Now(), reply: make(chan Answer, 1)}
	if !c.reserve(q) {
		c.noteOverload(q.receivedAt)
		return Answer{Status: Rejected, RetryAfter: c.RetryAfter()}, nil
	}
	c.enqueue(c.arrivals(q)...)
	select {
	case answer := <-q.reply:
		return answer, nil
	case <-ctx.Done():
		q.closed.Store(true)
		c.enqueue(input{event: aggregator.Event{Kind: aggregator.ClientGone, Query: q.ID}, query: q})
		return Answer{}, ErrGone
	}
}

// size is what a query counts for in Limits.MaxOpen: itself and each of its parts.
func (q *query) size() int { return 1 + len(q.Parts) }

// reserve counts a query as open, unless as much is open as the settings allow.
func (c *Coordinator) reserve(q *query) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settings.Limits.MaxOpen > 0 && c.open >= c.settings.Limits.MaxOpen {
		return false
	}
	c.open += q.size()
	return true
}

// release ends what reserve began.
func (c *Coordinator) release(q *query) {
	c.mu.Lock()
	c.open -= q.size()
	c.mu.Unlock()
}

// arrivals makes the parts of a query, and the inputs that tell the module of it and of them.
func (c *Coordinator) arrivals(q *query) []input {
	tenant, known := c.tenants[q.Tenant]
	if !known {
		tenant = -1
	}
	inputs := make([]input, 0, q.size())
	inputs = append(inputs, input{query: q, event: aggregator.Event{Kind: aggregator.QueryArrived, Query: q.ID, Class: c.classes[q.Class],
		Tenant: tenant, Count: len(q.Parts), Retry: q.Retry, TimeLeft: time.Until(q.Deadline)}})
	q.parts = make([]*part, 0, len(q.Parts))
	for _, p := range q.Parts {
		made := &part{id: q.ID + "." + strconv.Itoa(p.Shard), query: q, shard: p.Shard}
		q.parts = append(q.parts, made)
		inputs = append(inputs, input{query: q, event: aggregator.Event{Kind: aggregator.PartArrived, Query: q.ID,
			Part: made.id, Shard: p.Shard, Weight: p.Weight, Work: p.Work, Key: p.Key}})
	}
	return inputs
}

// RetryAfter is when a client that is rejected on arrival may come back; 0 where the settings allow no such advice.
func (c *Coordinator) RetryAfter() time.Duration {
	if !c.settings.Limits.SendRetryAfter {
		return 0
	}
	return c.settings.Limits.MaxRetryAfter / 2
}

// Open counts the queries and parts in progress.
func (c *Coordinator) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// conclude ends a query as an action of the module says.
func (c *Coordinator) conclude(now time.Time, q *query, action aggregator.Action) {
	switch action.Kind {
	case aggregator.Answer:
		c.finish(q, Answer{Status: Answered, Complete: action.Complete, Values: q.values()})
	case aggregator.Reject:
		c.logUnanswered(LogQueryRejected, q, action.Reason, now)
		c.finish(q, Answer{Status: Rejected, RetryAfter: action.After})
	case aggregator.Fail:
		c.logUnanswered(LogQueryFailed, q, action.Reason, now)
		c.finish(q, Answer{Status: Failed})
	}
}

// values are the parts that have been answered, in the order of the query.
func (q *query) values() (values []PartValue) {
	for _, p := range q.parts {
		if p.received {
			values = append(values, PartValue{Shard: p.shard, Docs: p.docs})
		}
	}
	return values
}

// finish gives a query its one final answer and forgets it. Attempts that are still in flight are the module's to cancel.
func (c *Coordinator) finish(q *query, answer Answer) {
	if q.finished {
		return
	}
	q.finished = true
	q.closed.Store(true)
	c.log.Debug(LogQueryEnded, "query", q.ID, "class", q.Class, "status", answer.Status.String(), "complete", answer.Complete,
		"parts", len(q.parts), "took", time.Since(q.receivedAt))
	delete(c.loop.queries.open, q.ID)
	c.release(q) // before the reply: whoever has the answer finds nothing open
	q.reply <- answer
	for _, p := range q.parts {
		c.forget(p)
	}
}

// forget drops a part once its query is finished and none of its attempts is in flight.
func (c *Coordinator) forget(p *part) {
	if p.query.finished && !slices.ContainsFunc(p.attempts, func(a *Attempt) bool { return !a.ended }) {
		delete(c.loop.queries.parts, p.id)
	}
}

// logUnanswered logs a query that ends without an answer, with the parts that it lacks and their attempts.
func (c *Coordinator) logUnanswered(message string, q *query, reason aggregator.Reason, now time.Time) {
	if reason == aggregator.OverCapacity || reason == aggregator.ForecastTooLate {
		c.noteOverload(now)
	}
	c.log.Info(message, "query", q.ID, "class", q.Class, "reason", reasonText(reason), "after", now.Sub(q.receivedAt).Round(time.Millisecond),
		"left", q.Deadline.Sub(now).Round(time.Millisecond), "parts", len(q.parts), "missing", q.missing(now))
}

// missing describes the parts without an answer, one string each: the shard, then data node, state and age of each attempt.
func (q *query) missing(now time.Time) (missing []string) {
	for _, p := range q.parts {
		if p.received {
			continue
		}
		text := strconv.Itoa(p.shard)
		for _, a := range p.attempts {
			text += fmt.Sprintf(" %s %s %v", a.node.id, a.state(), now.Sub(a.sentAt).Round(time.Millisecond))
		}
		missing = append(missing, text)
	}
	return missing
}
