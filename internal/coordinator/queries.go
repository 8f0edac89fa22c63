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

// ErrInvalidQuery is wrapped by the errors for invalid queries. Such queries never reach the decision module.
var ErrInvalidQuery = errors.New("bad query")

// ErrClientGone is returned if the client leaves before the query is answered.
var ErrClientGone = errors.New("client gone")

// Query is a client's query, as parsed by a protocol server.
type Query struct {
	ID       string
	Class    string
	Tenant   string
	Retry    bool // the client marked the query as a retry
	Deadline time.Time
	// IdempotencyKey is sent with each attempt of each part if the class is keyed, so that data nodes can discard duplicates. The client
	// generates it, and it is passed on unchanged; other classes don't need one.
	IdempotencyKey string
	Text           string // sent with each part
	Parts          []Part
	ReceivedParts  *atomic.Int32 // incremented for each part that is answered; may be nil
}

// Part is one shard's part of a query.
type Part struct {
	Shard        int
	Weight       float64       // share of the answer, 0 to 1
	ExpectedWork time.Duration // expected processing time; 0 if not known
	Key          string        // cache key, passed to the decision module
}

// Status is the final status of a query.
type Status int

// The statuses of a query.
const (
	Answered Status = iota + 1
	Rejected        // not answered, and nothing was lost: the client may send it again
	Failed
)

// Answer is the final answer to a query; each query gets exactly one.
type Answer struct {
	Status     Status
	Complete   bool // the answered parts reach the share of the weight that the class requires for a complete answer
	Values     []PartValue
	RetryAfter time.Duration // if rejected: how long to wait before a retry; 0 for no advice
}

// PartValue is the value of one part: the documents that a data node returned.
type PartValue struct {
	Shard int
	Docs  [][]byte
}

// query is a Query that was accepted. Once it is enqueued, only the event loop may access its fields, except closed.
type query struct {
	Query
	parts      []*part
	reply      chan Answer
	receivedAt time.Time
	finished   bool        // its answer has been delivered
	closed     atomic.Bool // it is finished or its client has left; no further attempts of it may be sent
}

// part is a Part of an accepted query. Its ID consists of the query's ID, a dot and the shard.
type part struct {
	id       string
	query    *query
	shard    int
	docs     [][]byte
	received bool // it has been answered
	attempts []*Attempt
}

// queryTable holds the queries, parts and attempts in progress. Only the event loop accesses it.
type queryTable struct {
	open     map[string]*query // unfinished queries, by ID
	parts    map[string]*part  // by ID; a part is kept after its query has finished until none of its attempts is in flight
	attempts map[*Attempt]bool // attempts in flight
}

func newQueryTable() queryTable {
	return queryTable{open: map[string]*query{}, parts: map[string]*part{}, attempts: map[*Attempt]bool{}}
}

// add registers an attempt that is about to be sent.
func (t *queryTable) add(a *Attempt) {
	a.part.attempts = append(a.part.attempts, a)
	t.attempts[a] = true
}

// receive stores the value of a part. Only the first answer that arrives before the query is finished counts.
func (p *part) receive(docs [][]byte) {
	if p.query.finished || p.received {
		return
	}
	p.received, p.docs = true, docs
	if p.query.ReceivedParts != nil {
		p.query.ReceivedParts.Add(1)
	}
}

// Execute executes a query and waits for its final answer. The error wraps ErrInvalidQuery if the query is invalid, and is
// ErrClientGone if ctx is done before there is an answer. If ctx is done already, the query is not begun.
func (c *Coordinator) Execute(ctx context.Context, request Query) (Answer, error) {
	if err := c.Validate(&request); err != nil {
		return Answer{}, err
	}
	if !request.Deadline.After(time.Now()) {
		return Answer{}, fmt.Errorf("%w: deadline has passed", ErrInvalidQuery)
	}
	if ctx.Err() != nil {
		return Answer{}, ErrClientGone
	}
	// The class limits the deadline that a client may ask for.
	if end := time.Now().Add(c.settings.Classes[c.classes[request.Class]].Deadline); request.Deadline.After(end) {
		request.Deadline = end
	}
	if !c.isKeyed(request.Class) {
		request.IdempotencyKey = ""
	}
	q := &query{Query: request, receivedAt: time.Now(), reply: make(chan Answer, 1)}
	if !c.reserve(q) {
		c.recordOverload(q.receivedAt)
		return Answer{Status: Rejected, RetryAfter: c.RetryAfter()}, nil
	}
	c.enqueue(c.arrivalInputs(q)...)
	select {
	case answer := <-q.reply:
		return answer, nil
	case <-ctx.Done():
		q.closed.Store(true)
		c.enqueue(input{event: aggregator.Event{Kind: aggregator.ClientGone, Query: q.ID}, query: q})
		return Answer{}, ErrClientGone
	}
}

// size returns how much a query counts towards Limits.MaxOpen: one for itself and one for each part.
func (q *query) size() int { return 1 + len(q.Parts) }

// reserve counts a query as open. It returns false and counts nothing if Limits.MaxOpen is already reached.
func (c *Coordinator) reserve(q *query) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settings.Limits.MaxOpen > 0 && c.open >= c.settings.Limits.MaxOpen {
		return false
	}
	c.open += q.size()
	return true
}

// release stops counting a query as open.
func (c *Coordinator) release(q *query) {
	c.mu.Lock()
	c.open -= q.size()
	c.mu.Unlock()
}

// arrivalInputs creates the parts of a query and returns the inputs that announce the query and its parts to the module.
func (c *Coordinator) arrivalInputs(q *query) []input {
	tenant, known := c.tenants[q.Tenant]
	if !known {
		tenant = -1
	}
	inputs := make([]input, 0, q.size())
	inputs = append(inputs, input{query: q, event: aggregator.Event{Kind: aggregator.QueryArrived, Query: q.ID, Class: c.classes[q.Class],
		Tenant: tenant, PartCount: len(q.Parts), Retry: q.Retry, TimeLeft: time.Until(q.Deadline)}})
	q.parts = make([]*part, 0, len(q.Parts))
	for _, p := range q.Parts {
		newPart := &part{id: q.ID + "." + strconv.Itoa(p.Shard), query: q, shard: p.Shard}
		q.parts = append(q.parts, newPart)
		inputs = append(inputs, input{query: q, event: aggregator.Event{Kind: aggregator.PartArrived, Query: q.ID,
			Part: newPart.id, Shard: p.Shard, Weight: p.Weight, Work: p.ExpectedWork, Key: p.Key}})
	}
	return inputs
}

// RetryAfter returns how long a client whose query is rejected on arrival should wait before a retry; 0 if the settings don't allow such
// advice.
func (c *Coordinator) RetryAfter() time.Duration {
	if !c.settings.Limits.SendRetryAfter {
		return 0
	}
	return c.settings.Limits.MaxRetryAfter / 2
}

// OpenCount returns the number of queries and parts in progress.
func (c *Coordinator) OpenCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// applyResult finishes a query with the result that the module's action specifies.
func (c *Coordinator) applyResult(now time.Time, q *query, action aggregator.Action) {
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

// values returns the values of the parts that have been answered, in the order of the query.
func (q *query) values() (values []PartValue) {
	for _, p := range q.parts {
		if p.received {
			values = append(values, PartValue{Shard: p.shard, Docs: p.docs})
		}
	}
	return values
}

// finish delivers the final answer of a query and removes the query. It leaves the cancellation of attempts in flight to the module.
func (c *Coordinator) finish(q *query, answer Answer) {
	if q.finished {
		return
	}
	q.finished = true
	q.closed.Store(true)
	c.log.Debug(LogQueryEnded, "query", q.ID, "class", q.Class, "status", answer.Status.String(), "complete", answer.Complete,
		"parts", len(q.parts), "took", time.Since(q.receivedAt))
	delete(c.loop.queries.open, q.ID)
	c.release(q) // before the reply, so that the query no longer counts as open when its caller has the answer
	q.reply <- answer
	for _, p := range q.parts {
		c.removeIfDone(p)
	}
}

// removeIfDone removes a part if its query is finished and none of its attempts is in flight.
func (c *Coordinator) removeIfDone(p *part) {
	if p.query.finished && !slices.ContainsFunc(p.attempts, func(a *Attempt) bool { return !a.ended }) {
		delete(c.loop.queries.parts, p.id)
	}
}

// logUnanswered logs a query that ends without an answer, with its missing parts and their attempts.
func (c *Coordinator) logUnanswered(message string, q *query, reason aggregator.Reason, now time.Time) {
	if reason == aggregator.OverCapacity || reason == aggregator.ForecastTooLate {
		c.recordOverload(now)
	}
	c.log.Info(message, "query", q.ID, "class", q.Class, "reason", reasonText(reason), "after", now.Sub(q.receivedAt).Round(time.Millisecond),
		"left", q.Deadline.Sub(now).Round(time.Millisecond), "parts", len(q.parts), "missing", q.describeMissing(now))
}

// describeMissing describes each unanswered part in one string: the shard, followed by the data node, state and age of each attempt.
func (q *query) describeMissing(now time.Time) (missing []string) {
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
