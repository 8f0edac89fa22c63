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

// ErrInput marks a query that never reached the module: what was asked can't be understood.
var ErrInput = errors.New("bad query")

// ErrGone tells that the client left before the answer.
var ErrGone = errors.New("client gone")

// Query is what a client asks, as a front read it.
type Query struct {
	ID       string
	Class    string
	Tenant   string
	Retry    bool
	Deadline time.Time
	// IdempotencyKey goes with each attempt of each part of a keyed class, so that its holders drop a repeat. It is made
	// by the client and carried unread; classes of another effect do without.
	IdempotencyKey string
	Text           string // what each part carries
	Parts          []Part
	Received       *atomic.Int32 // counts the parts that have come, for who looks on; may be nil
}

// Part is one shard's share of a query.
type Part struct {
	Shard  int
	Weight float64
	Work   time.Duration // expected; 0 where not known
	Key    string
}

// Status is what a final answer says.
type Status int

// The verdicts.
const (
	Answered Status = iota + 1
	Rejected        // asking again is harmless
	Failed
)

// Answer is the one final answer of a query.
type Answer struct {
	Status     Status
	Complete   bool
	Values     []PartValue
	RetryAfter time.Duration // Refused: when to come back; 0 for no advice
}

// PartValue is the value of one part, as a data node gave it: its documents.
type PartValue struct {
	Shard int
	Docs  [][]byte
}

type query struct {
	Query
	parts      []*part
	reply      chan Answer
	receivedAt time.Time
	finished   bool
	closed     atomic.Bool // it is over, or its client has left: nothing of it may begin
}

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

// Execute takes a query and waits for its final answer. An error wraps ErrInput, where the query was not taken,
// or is ErrGone, where ctx ended first.
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
	size := 1 + len(request.Parts)
	c.mu.Lock()
	full := c.settings.Limits.MaxOpen > 0 && c.open >= c.settings.Limits.MaxOpen
	if !full {
		c.open += size
	}
	c.mu.Unlock()
	if full {
		c.noteOverload(q.receivedAt)
		return Answer{Status: Rejected, RetryAfter: c.RetryAfter()}, nil
	}
	inputs := []input{{query: q}}
	tenant, known := c.tenants[request.Tenant]
	if !known {
		tenant = -1
	}
	inputs[0].event = aggregator.Event{Kind: aggregator.QueryArrived, Query: q.ID, Class: c.classes[q.Class],
		Tenant: tenant, Count: len(q.Parts), Retry: q.Retry, TimeLeft: time.Until(q.Deadline)}
	for _, p := range request.Parts {
		made := &part{id: q.ID + "." + strconv.Itoa(p.Shard), query: q, shard: p.Shard}
		q.parts = append(q.parts, made)
		inputs = append(inputs, input{query: q, event: aggregator.Event{Kind: aggregator.PartArrived, Query: q.ID,
			Part: made.id, Shard: p.Shard, Weight: p.Weight, Work: p.Work, Key: p.Key}})
	}
	c.enqueue(inputs...)
	select {
	case answer := <-q.reply:
		return answer, nil
	case <-ctx.Done():
		q.closed.Store(true)
		c.enqueue(input{event: aggregator.Event{Kind: aggregator.ClientGone, Query: q.ID}, query: q})
		return Answer{}, ErrGone
	}
}

// RetryAfter is when who is turned away at the door may come back; 0 where the settings allow no such advice.
func (c *Coordinator) RetryAfter() time.Duration {
	if !c.settings.Limits.SendRetryAfter {
		return 0
	}
	return c.settings.Limits.MaxRetryAfter / 2
}

// Open counts the queries and parts held.
func (c *Coordinator) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// end gives a query its one final answer and forgets it. Attempts that are still out are the module's to
// cancel.
func (c *Coordinator) finish(q *query, answer Answer) {
	if q.finished {
		return
	}
	q.finished = true
	q.closed.Store(true)
	c.log.Debug("query ended", "query", q.ID, "class", q.Class, "verdict", answer.Status, "whole", answer.Complete,
		"parts", len(q.parts), "took", time.Since(q.receivedAt))
	delete(c.loop.queries.open, q.ID)
	c.release(q) // first: whoever has the answer finds nothing held
	q.reply <- answer
	for _, p := range q.parts {
		c.forget(p)
	}
}

// forget lets go of a part once its query is over and nothing of it is out.
func (c *Coordinator) forget(p *part) {
	if p.query.finished && !slices.ContainsFunc(p.attempts, func(a *Attempt) bool { return !a.ended }) {
		delete(c.loop.queries.parts, p.id)
	}
}

// tell logs a query that ends without an answer, with the parts that it lacks and their attempts.
func (c *Coordinator) logUnanswered(what string, q *query, why aggregator.Reason, now time.Time) {
	if why == aggregator.OverCapacity || why == aggregator.ForecastTooLate {
		c.noteOverload(now)
	}
	var missing []string
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
	c.log.Info(what, "query", q.ID, "class", q.Class, "why", causes[why], "after", now.Sub(q.receivedAt).Round(time.Millisecond),
		"left", q.Deadline.Sub(now).Round(time.Millisecond), "parts", len(q.parts), "missing", missing)
}

// causes are why the module gives a query up, in a word.
var causes = map[aggregator.Reason]string{aggregator.NoReplica: "no holder", aggregator.OverCapacity: "held", aggregator.ForecastTooLate: "forecast",
	aggregator.DeadlineExceeded: "late", aggregator.AttemptsExhausted: "spent", aggregator.QueryOfDeath: "wrecked"}

// free takes a query off the count of what is held.
func (c *Coordinator) release(q *query) {
	c.mu.Lock()
	c.open -= 1 + len(q.parts)
	c.mu.Unlock()
}
