// Package coordinator puts the decision module behind a facade in blocking style. It owns the open queries, the
// values of their parts, the one final answer of each, and the only loop that calls the module's Step. A
// front asks (Ask) and waits for the answer; a carrier picks up what a data node is to be sent (Pick) and
// reports how it ended (Report); Tick moves time. It must never know a wire, block in the loop, decide
// what the module decides, or let a caller see the module's events and actions.
package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/membership"
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

// Outcome is how an attempt or a probe ended.
type Outcome int

// The outcomes that a carrier reports.
const (
	OK             Outcome = iota + 1
	Errored                // it may have run
	Overloaded             // turned away unseen
	NotConnected           // never written whole
	Reset                  // the connection ended after it was written
	Cancelled              // given up as ordered
	NotSent                // never sent, and no fault of the data node: nothing was left to send it with
	ConnectionLost         // its connection was lost or is of no more use, but the data node is there
	ConnectTimeout         // never written whole: its connection did not come up in time
)

// Result goes with a Report.
type Result struct {
	Outcome    Outcome
	Docs       [][]byte
	LoadReport map[string]float64
}

// Attempt is one sending of a part to a data node. Its Deadline is when the answer is of no more use.
type Attempt struct {
	ID             string
	Shard          int
	Text           string
	IdempotencyKey string // of the query; empty where its class is not keyed
	Deadline       time.Time
	sendBefore     time.Time // after it, the attempt may not be begun any more; zero for no such bound

	number       int
	part         *part
	node         *Node
	listVersion  uint64 // the list that the module decided by
	sentAt       time.Time
	cancelReason aggregator.Outcome // of a drop that was ordered
	ended        bool
	outcome      Outcome
}

// Sendable decides, at the moment in which an attempt's frame is written, whether it may still go out; much may have
// happened while it waited for a connection. One that may not is to be reported with the outcome returned.
//
//	its query has ended, or its client has left          NotSent
//	the list says draining or gone                       Busy
//	the list says of a restart that the module had not   NotSent: its share of a slow start was not looked at
//	a repeat may no longer be dropped by its holders     Busy
func (a *Attempt) Sendable(now time.Time) (outcome Outcome, ok bool) {
	switch {
	case a.part.query.closed.Load():
		return NotSent, false
	case a.node.Excluded():
		return Overloaded, false
	case a.node.restartVersion.Load() > a.listVersion:
		return NotSent, false
	case !a.sendBefore.IsZero() && now.After(a.sendBefore):
		return Overloaded, false
	}
	return 0, true
}

// Command is one thing that a carrier is to do at a data node; one field is set.
type Command struct {
	Call         []*Attempt // to be sent as one call
	Cancel       *Attempt   // to be given up at the data node, then reported as Dropped
	RejectQueued bool       // what is not begun is to be turned back, as Busy
	Probe        bool       // to be answered by Probed
	CloseIdle    bool       // idle connections are to be closed
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
	received bool
	attempts []*Attempt
}

// input is what has happened since the last Step.
type input struct {
	event   aggregator.Event
	attempt *Attempt
	outcome Outcome
	docs    [][]byte
	query   *query
	due     time.Time // not taken in before
}

// Coordinator is the facade. Its methods may be called from any goroutine, but for Run.
type Coordinator struct {
	settings aggregator.Settings
	seed     uint64
	log      *slog.Logger
	start    time.Time
	classes  map[string]int
	tenants  map[string]int
	notify   chan struct{}

	mu    sync.Mutex // guards what follows and nodes' fields; never held over Step
	inbox []input
	nodes map[string]*Node
	open  int // queries and parts held, those in the inbox included

	table           *membership.Table
	dispatchers     map[string]Dispatcher // by protocol
	hasCompleteList bool                  // some source has told a whole list
	zones           *zoneState            // nil where zones are not watched
	maintenance     *maintenanceState     // nil where machines are not taken out for work
	observer        atomic.Pointer[func(Observation)]
	reportedStarts  map[string]time.Time // of data nodes, as others tell; guarded by mu
	listVersion     uint64               // of the joined list; guarded by mu

	// The loop's own.
	module            *aggregator.Aggregator
	queries           map[string]*query
	parts             map[string]*part
	attempts          map[*Attempt]bool
	actions           []aggregator.Action
	delayed           []input // not due yet
	wakeAt            time.Time
	lastTick          time.Time
	moduleListVersion uint64 // the version of the list that the module knows
}

// New returns a coordinator for the settings. The seed settles the module's random choices. damping says who counts as present; its
// shard sets, shards and reach are taken from the settings.
func New(set aggregator.Settings, seed uint64, log *slog.Logger, damping membership.Config) (*Coordinator, error) {
	agg, err := aggregator.New(set, seed)
	if err != nil {
		return nil, err
	}
	damping.ShardSets, damping.Shards, damping.Reach = set.ShardSets, set.Shards, set.Reach
	table, err := membership.New(damping)
	if err != nil {
		return nil, err
	}
	c := &Coordinator{settings: set, seed: seed, log: log, start: time.Now(), classes: map[string]int{}, tenants: map[string]int{},
		notify: make(chan struct{}, 1), nodes: map[string]*Node{}, reportedStarts: map[string]time.Time{}, table: table, dispatchers: map[string]Dispatcher{}, module: agg, queries: map[string]*query{},
		parts: map[string]*part{}, attempts: map[*Attempt]bool{}}
	for i, class := range set.Classes {
		c.classes[class.Name] = i
	}
	for i, tenant := range set.Tenants {
		c.tenants[tenant.Name] = i
	}
	return c, nil
}

// clock turns a time into the module's clock, which starts at an hour so that a start before ours is above 0.
func (c *Coordinator) moduleClock(t time.Time) time.Duration { return t.Sub(c.start) + time.Hour }

// put adds inputs, all for the same Step.
func (c *Coordinator) enqueue(inputs ...input) {
	c.mu.Lock()
	c.inbox = append(c.inbox, inputs...)
	c.mu.Unlock()
	c.wakeUp()
}

// wakeUp lets the loop look at its inbox.
func (c *Coordinator) wakeUp() {
	select {
	case c.notify <- struct{}{}:
	default:
	}
}

// weightSlack is by how much weights may miss 1 for being rounded.
const weightTolerance = 1e-3

// Validate finds what can't be asked, whatever its deadline; the error wraps ErrInput and its message is for the client.
func (c *Coordinator) Validate(q *Query) error {
	if _, known := c.classes[q.Class]; !known {
		return fmt.Errorf("%w: unknown class %q", ErrInput, q.Class)
	}
	if _, known := c.tenants[q.Tenant]; !known && len(c.tenants) > 0 {
		return fmt.Errorf("%w: unknown owner %q", ErrInput, q.Tenant)
	}
	if q.ID == "" || len(q.ID) > 128 {
		return fmt.Errorf("%w: id of %d bytes", ErrInput, len(q.ID))
	}
	for _, r := range q.ID {
		if r <= ' ' || r > '~' {
			return fmt.Errorf("%w: id %q", ErrInput, q.ID)
		}
	}
	if err := c.checkKey(q); err != nil {
		return err
	}
	if len(q.Parts) == 0 {
		return fmt.Errorf("%w: no shards", ErrInput)
	}
	seen, sum := map[int]bool{}, 0.0
	for _, p := range q.Parts {
		if p.Shard < 0 || p.Shard >= c.settings.Shards || seen[p.Shard] {
			return fmt.Errorf("%w: unknown or repeated shard %d", ErrInput, p.Shard)
		}
		if !(p.Weight >= 0 && p.Weight <= 1) || p.Work < 0 {
			return fmt.Errorf("%w: weight or cost of shard %d", ErrInput, p.Shard)
		}
		seen[p.Shard], sum = true, sum+p.Weight
	}
	if math.Abs(sum-1) > weightTolerance {
		return fmt.Errorf("%w: weights add up to %g", ErrInput, sum)
	}
	return nil
}

// mostKey is the longest idempotency key, in bytes.
const maxKeyLength = 128

// keyed tells whether the holders of a class's parts drop a repeat by the query's key.
func (c *Coordinator) isKeyed(class string) bool {
	return c.settings.Classes[c.classes[class]].Effect == aggregator.Keyed
}

// checkKey refuses a query of a keyed class whose key is missing, or is not one that each wire carries unchanged: the
// frames' list of a part ends at a space, and its entries at a comma. A key in another class is the client's own affair.
func (c *Coordinator) checkKey(q *Query) error {
	if !c.isKeyed(q.Class) {
		return nil
	}
	if q.IdempotencyKey == "" {
		return fmt.Errorf("%w: class %q needs an idempotency key, the same for each retry of a query", ErrInput, q.Class)
	}
	if len(q.IdempotencyKey) > maxKeyLength {
		return fmt.Errorf("%w: idempotency key of %d bytes; %d are allowed", ErrInput, len(q.IdempotencyKey), maxKeyLength)
	}
	for _, r := range q.IdempotencyKey {
		if r <= ' ' || r > '~' || r == ',' {
			return fmt.Errorf("%w: idempotency key %q; visible ASCII without commas is allowed", ErrInput, q.IdempotencyKey)
		}
	}
	return nil
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

var moduleOutcomes = map[Outcome]aggregator.Outcome{
	OK: aggregator.OK, Errored: aggregator.Errored, Overloaded: aggregator.Rejected,
	NotConnected: aggregator.ConnectFailed, Reset: aggregator.Reset, Cancelled: aggregator.TimedOut,
	NotSent: aggregator.NotSent, ConnectionLost: aggregator.ConnectionLost, ConnectTimeout: aggregator.ConnectTimeout,
}

// settleTime is how long what tells a data node of the end of an attempt may be on its way, or lie unread there.
const settleDelay = 5 * time.Millisecond

// Report tells how an attempt ended; only the first report of an attempt counts. The end of one that the data
// node learns from us, by a give-up or by a connection that we closed, is taken in later: what tells of it is on
// its way until then, and a further attempt must not overtake it on another connection.
func (c *Coordinator) Report(a *Attempt, r Result) {
	var due time.Time
	if r.Outcome == Cancelled || r.Outcome == Reset || r.Outcome == ConnectionLost {
		due = time.Now().Add(max(settleDelay, c.settings.Tick))
	}
	c.enqueue(input{attempt: a, outcome: r.Outcome, due: due, docs: r.Docs, event: aggregator.Event{Kind: aggregator.AttemptEnded, Part: a.ID,
		Attempt: a.number, Replica: a.node.id, Outcome: moduleOutcomes[r.Outcome], LoadReport: r.LoadReport}})
}

// ReportProbe tells how a probe ended.
func (c *Coordinator) ReportProbe(n *Node, r Result) {
	c.observeForMembership(n, r.Outcome)
	c.observeForZones(n, nil, r.Outcome, time.Now())
	c.observeForMaintenance(n, r.Outcome, r.LoadReport, time.Now())
	c.notifyObserver(n, nil, r.Outcome, r.LoadReport, time.Now())
	c.log.Debug("probe ended", "node", n.id, "end", words[r.Outcome])
	c.enqueue(input{event: aggregator.Event{Kind: aggregator.ProbeEnded, Replica: n.id, Outcome: moduleOutcomes[r.Outcome],
		LoadReport: r.LoadReport}})
}

// Run is the loop: it steps about once a tick while there is something to take in, until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.notify:
		case <-timer.C:
		}
		// What comes within a tick is gathered, so that parts of several queries can share a call.
		if wait := time.Until(c.lastTick.Add(c.settings.Tick)); wait > 0 {
			time.Sleep(wait)
		}
		timer.Reset(time.Until(c.Tick(time.Now())))
	}
}

// Tick takes in what has happened, steps the module, carries out what it says, and returns when it must be
// called again if nothing happens before. Only one goroutine may call it.
func (c *Coordinator) Tick(now time.Time) (next time.Time) {
	c.lastTick = now
	c.mu.Lock()
	due := c.table.Next()
	c.mu.Unlock()
	if !due.IsZero() && !now.Before(due) {
		c.updateTable(false, false, c.table.Tick)
	}
	c.mu.Lock()
	inbox := append(c.delayed, c.inbox...)
	c.delayed, c.inbox = nil, nil
	c.mu.Unlock()
	var events []aggregator.Event
	for i := range inbox {
		if inbox[i].due.After(now) {
			c.delayed = append(c.delayed, inbox[i])
		} else if c.accept(&inbox[i], now) {
			events = append(events, inbox[i].event)
		}
	}
	lists, rest := []aggregator.Event{}, []aggregator.Event{}
	for _, e := range events {
		if isList(e.Kind) {
			lists = append(lists, e)
		} else {
			rest = append(rest, e)
		}
	}
	lists = append(lists, c.takeListEvents()...)
	// After the lists, which were told before and by what held then: the latest word on a data node counts.
	zoned, changed, zoneNext := c.stepZones(now)
	if changed {
		lists = append(lists, zoned)
	}
	lapsed, changed, workNext := c.stepMaintenance(now)
	if changed {
		lists = append(lists, lapsed)
	}
	events = append(lists, rest...)
	for _, q := range c.queries {
		if !now.Before(q.Deadline) {
			// The module ends queries earlier; this is the backstop that no query outlives its client.
			c.log.Error("query outlived by its deadline", "query", q.ID)
			c.finish(q, Answer{Status: Failed})
			events = append(events, aggregator.Event{Kind: aggregator.ClientGone, Query: q.ID})
		}
	}
	for a := range c.attempts {
		if a.cancelReason == aggregator.Unknown && !now.Before(a.Deadline) {
			c.cancel(a, aggregator.TimedOut)
		}
	}
	if len(events) == 0 && !c.wakeAt.IsZero() && !now.Before(c.wakeAt) {
		events = append(events, aggregator.Event{Kind: aggregator.Wakeup})
	}
	if !c.wakeAt.IsZero() && !now.Before(c.wakeAt) {
		c.wakeAt = time.Time{}
	}
	if len(events) > 0 {
		c.stepModule(now, events)
	}
	next = now.Add(time.Minute)
	if !c.wakeAt.IsZero() && c.wakeAt.Before(next) {
		next = c.wakeAt
	}
	for _, t := range []time.Time{zoneNext, workNext} {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	c.mu.Lock()
	if due = c.table.Next(); !due.IsZero() && due.Before(next) {
		next = due
	}
	c.mu.Unlock()
	for i := range c.delayed {
		if c.delayed[i].due.Before(next) {
			next = c.delayed[i].due
		}
	}
	for _, q := range c.queries {
		if q.Deadline.Before(next) {
			next = q.Deadline
		}
	}
	for a := range c.attempts {
		if a.cancelReason == aggregator.Unknown && a.Deadline.Before(next) {
			next = a.Deadline
		}
	}
	return next
}

// lists takes out of the inbox what has just changed in the list, by what was seen in this very round: an attempt that
// follows one that failed is to go by it.
func (c *Coordinator) takeListEvents() (events []aggregator.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.moduleListVersion = c.listVersion
	c.inbox = slices.DeleteFunc(c.inbox, func(in input) bool {
		if isList(in.event.Kind) {
			events = append(events, in.event)
			return true
		}
		return false
	})
	return events
}

func isList(k aggregator.EventKind) bool {
	return k == aggregator.ListChanged || k == aggregator.ListReplaced || k == aggregator.ListCached
}

// accept applies an input to the core's own accounts and tells whether the module is to hear of it.
func (c *Coordinator) accept(in *input, now time.Time) bool {
	switch in.event.Kind {
	case aggregator.QueryArrived:
		if c.queries[in.query.ID] != nil || slices.ContainsFunc(in.query.parts, func(p *part) bool { return c.parts[p.id] != nil }) {
			// Ids are new for each request; a second of the same, while the first is open or a part of it still out,
			// would mix up the parts of both.
			in.query.finished = true
			c.release(in.query)
			in.query.reply <- Answer{Status: Failed}
			return false
		}
		c.queries[in.query.ID] = in.query
		in.event.TimeLeft = in.query.Deadline.Sub(now)
	case aggregator.PartArrived:
		if in.query.finished {
			return false
		}
		for _, p := range in.query.parts {
			if p.id == in.event.Part {
				c.parts[p.id] = p
			}
		}
	case aggregator.ClientGone:
		if in.query.finished {
			return false
		}
		c.finish(in.query, Answer{Status: Failed})
	case aggregator.AttemptEnded:
		a := in.attempt
		if a.ended {
			return false
		}
		a.ended, a.outcome = true, in.outcome
		c.log.Debug("attempt ended", "node", a.node.id, "part", a.ID, "end", words[in.outcome], "load", in.event.LoadReport["util"], "took", now.Sub(a.sentAt))
		delete(c.attempts, a)
		a.node.addInFlight(-1)
		c.observeForMembership(a.node, in.outcome)
		c.observeForZones(a.node, a, in.outcome, now)
		c.observeForMaintenance(a.node, in.outcome, in.event.LoadReport, now)
		c.notifyObserver(a.node, a, in.outcome, in.event.LoadReport, now)
		if in.event.Outcome == aggregator.TimedOut && a.cancelReason != aggregator.Unknown {
			in.event.Outcome = a.cancelReason
		}
		if in.event.Outcome == aggregator.OK && !a.part.query.finished && !a.part.received {
			a.part.received, a.part.docs = true, in.docs
			if a.part.query.Received != nil {
				a.part.query.Received.Add(1)
			}
		}
		c.forget(a.part)
	}
	return true
}

// step calls the module and carries out its actions. A module that panics is started anew, with the list as
// it stands; the queries that it held fail.
func (c *Coordinator) stepModule(now time.Time, events []aggregator.Event) {
	defer func() {
		if r := recover(); r != nil {
			c.log.Error("decision module panicked; started anew", "cause", r)
			c.module, _ = aggregator.New(c.settings, c.seed)
			for _, q := range c.queries {
				c.finish(q, Answer{Status: Failed})
			}
			for a := range c.attempts {
				c.cancel(a, aggregator.Cancelled)
			}
			c.wakeAt = time.Time{}
			c.mu.Lock()
			c.inbox = append(c.inbox, input{event: c.completeList(aggregator.ListReplaced)})
			c.mu.Unlock()
			c.wakeUp()
		}
	}()
	c.actions = c.module.Step(c.moduleClock(now), events, c.actions[:0])
	round := map[*Node]*Command{}
	orders := map[*Node][]*Command{}
	for _, a := range c.actions {
		switch a.Kind {
		case aggregator.Send:
			c.send(now, a, round, orders)
		case aggregator.Cancel:
			if p := c.parts[a.Part]; p != nil && a.Attempt < len(p.attempts) {
				c.cancel(p.attempts[a.Attempt], aggregator.Cancelled)
			}
		case aggregator.Answer:
			if q := c.queries[a.Query]; q != nil {
				answer := Answer{Status: Answered, Complete: a.Complete}
				for _, p := range q.parts {
					if p.received {
						answer.Values = append(answer.Values, PartValue{Shard: p.shard, Docs: p.docs})
					}
				}
				c.finish(q, answer)
			}
		case aggregator.Reject:
			if q := c.queries[a.Query]; q != nil {
				c.logUnanswered("query refused", q, a.Reason, now)
				c.finish(q, Answer{Status: Rejected, RetryAfter: a.After})
			}
		case aggregator.Fail:
			if q := c.queries[a.Query]; q != nil {
				c.logUnanswered("query failed", q, a.Reason, now)
				c.finish(q, Answer{Status: Failed})
			}
		case aggregator.Probe, aggregator.CloseIdle:
			if n := c.node(a.Replica); n != nil {
				if a.Kind == aggregator.Probe {
					c.log.Debug("probe sent", "node", n.id)
				}
				orders[n] = append(orders[n], &Command{Probe: a.Kind == aggregator.Probe,
					CloseIdle: a.Kind == aggregator.CloseIdle})
			} else if a.Kind == aggregator.Probe {
				c.enqueue(input{event: aggregator.Event{Kind: aggregator.ProbeEnded, Replica: a.Replica,
					Outcome: aggregator.ConnectFailed}})
			}
		case aggregator.Wake:
			c.wakeAt = now.Add(a.After)
		}
	}
	for n, list := range orders {
		n.post(list...)
	}
}

// send books an attempt into the call that this round makes to its replica, or into a new one.
func (c *Coordinator) send(now time.Time, act aggregator.Action, round map[*Node]*Command, orders map[*Node][]*Command) {
	p, n := c.parts[act.Part], c.node(act.Replica)
	if p == nil {
		return
	}
	a := &Attempt{ID: p.id, Shard: p.shard, Text: p.query.Text, IdempotencyKey: p.query.IdempotencyKey, Deadline: now.Add(act.After), number: len(p.attempts),
		part: p, node: n, listVersion: c.moduleListVersion, sentAt: now}
	if act.After <= 0 || a.Deadline.After(p.query.Deadline) {
		a.Deadline = p.query.Deadline
	}
	if act.BeginWithin < time.Until(p.query.Deadline) {
		a.sendBefore = now.Add(act.BeginWithin)
	}
	p.attempts = append(p.attempts, a)
	c.attempts[a] = true
	c.log.Debug("attempt begun", "node", act.Replica, "part", a.ID, "number", a.number, "after", now.Sub(p.query.receivedAt))
	if n != nil {
		n.addInFlight(1)
	} else {
		a.node = &Node{id: act.Replica, c: c, ready: make(chan struct{}, 1)}
		a.node.addInFlight(1)
		c.Report(a, Result{Outcome: NotConnected})
		return
	}
	o := round[n]
	if o == nil || len(o.Call) >= max(1, c.settings.Limits.MaxBatch) {
		o = &Command{}
		round[n] = o
		orders[n] = append(orders[n], o)
	}
	o.Call = append(o.Call, a)
}

// drop orders that an attempt be given up; its end is reported once the data node was told.
func (c *Coordinator) cancel(a *Attempt, why aggregator.Outcome) {
	if a.ended || a.cancelReason != aggregator.Unknown {
		return
	}
	a.cancelReason = why
	a.node.post(&Command{Cancel: a})
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
	delete(c.queries, q.ID)
	c.release(q) // first: whoever has the answer finds nothing held
	q.reply <- answer
	for _, p := range q.parts {
		c.forget(p)
	}
}

// forget lets go of a part once its query is over and nothing of it is out.
func (c *Coordinator) forget(p *part) {
	if p.query.finished && !slices.ContainsFunc(p.attempts, func(a *Attempt) bool { return !a.ended }) {
		delete(c.parts, p.id)
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

var words = map[Outcome]string{OK: "ok", Errored: "err", Overloaded: "busy", NotConnected: "not connected",
	Reset: "reset", Cancelled: "given up", NotSent: "not sent", ConnectionLost: "cut", ConnectTimeout: "connect timeout"}

// causes are why the module gives a query up, in a word.
var causes = map[aggregator.Reason]string{aggregator.NoReplica: "no holder", aggregator.OverCapacity: "held", aggregator.ForecastTooLate: "forecast",
	aggregator.DeadlineExceeded: "late", aggregator.AttemptsExhausted: "spent", aggregator.QueryOfDeath: "wrecked"}

// state is what became of an attempt, in a word.
func (a *Attempt) state() string {
	switch {
	case a.ended:
		return words[a.outcome]
	case a.cancelReason != aggregator.Unknown:
		return "being given up"
	}
	return "out"
}

// free takes a query off the count of what is held.
func (c *Coordinator) release(q *query) {
	c.mu.Lock()
	c.open -= 1 + len(q.parts)
	c.mu.Unlock()
}
