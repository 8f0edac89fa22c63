package coordinator

import (
	"time"

	"gullfall/aggregator"
)

// Outcome is the result of an attempt or a probe.
type Outcome int

// The outcomes that a dispatcher reports.
const (
	OK             Outcome = iota + 1
	Errored                // the data node returned an error; the part may have run
	Overloaded             // rejected by the data node or held back by this process; the part never started
	NotConnected           // no connection: the request was never written in full
	Reset                  // the connection ended after the request was written
	Cancelled              // cancelled by a Cancel command
	NotSent                // never sent for a local reason, such as no free file descriptor; not the data node's fault
	ConnectionLost         // the connection was lost or is no longer usable, but the data node is alive
	ConnectTimeout         // the connection was not established in time: the request was never written in full
)

// Result is a dispatcher's report about an attempt or a probe.
type Result struct {
	Outcome    Outcome
	Docs       [][]byte           // the part's value, if an attempt ended OK
	LoadReport map[string]float64 // load metrics by name; nil if the data node sent none
}

// Attempt is one request for a part to a data node.
type Attempt struct {
	ID             string // ID of the part
	Shard          int
	Text           string
	IdempotencyKey string    // the query's key; empty if its class is not keyed
	Deadline       time.Time // an answer after it is useless: the attempt is cancelled then
	sendBefore     time.Time // latest time at which it may be sent; zero for no limit

	number       int // index among the attempts of its part, from 0
	part         *part
	node         *Node
	listVersion  uint64 // version of the endpoint list that the decision module used for this attempt
	sentAt       time.Time
	cancelReason aggregator.Outcome // Unknown until it is cancelled
	ended        bool
	outcome      Outcome
}

// newAttempt returns the next attempt of a part, with the time limits that the decision module's action sets.
func (c *Coordinator) newAttempt(now time.Time, p *part, n *Node, action aggregator.Action) *Attempt {
	q := p.query
	a := &Attempt{ID: p.id, Shard: p.shard, Text: q.Text, IdempotencyKey: q.IdempotencyKey, Deadline: now.Add(action.After),
		number: len(p.attempts), part: p, node: n, listVersion: c.loop.listVersion, sentAt: now}
	if action.After <= 0 || a.Deadline.After(q.Deadline) {
		a.Deadline = q.Deadline
	}
	if action.BeginWithin < time.Until(q.Deadline) {
		a.sendBefore = now.Add(action.BeginWithin)
	}
	return a
}

// Sendable reports whether an attempt may still be sent. The dispatcher calls it right before it writes the request, since conditions
// may have changed while the attempt waited for a connection. If ok is false, the attempt must be reported with the returned outcome:
//
//	the query has ended, or its client has left         NotSent
//	the data node is excluded                           Overloaded
//	the data node restarted after the module's decision NotSent: a data node that is warming up must not get a full share
//	data nodes may no longer remember the query's key   Overloaded
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

// moduleOutcomes maps outcomes to those of the decision module.
var moduleOutcomes = map[Outcome]aggregator.Outcome{
	OK: aggregator.OK, Errored: aggregator.Errored, Overloaded: aggregator.Rejected,
	NotConnected: aggregator.ConnectFailed, Reset: aggregator.Reset, Cancelled: aggregator.TimedOut,
	NotSent: aggregator.NotSent, ConnectionLost: aggregator.ConnectionLost, ConnectTimeout: aggregator.ConnectTimeout,
}

// settleDelay is the time allowed for the message that ends an attempt to reach the data node and be read there.
const settleDelay = 5 * time.Millisecond

// Report records the result of an attempt; only the first report of an attempt counts. If the data node learns of the end from this
// process, through a cancellation or a closed connection, the loop processes the report after a delay: a retry on another connection
// must not overtake that message, or the part would run twice at the same time.
func (c *Coordinator) Report(a *Attempt, r Result) {
	var due time.Time
	if r.Outcome == Cancelled || r.Outcome == Reset || r.Outcome == ConnectionLost {
		due = time.Now().Add(max(settleDelay, c.settings.Tick))
	}
	c.enqueue(input{attempt: a, outcome: r.Outcome, due: due, docs: r.Docs, event: aggregator.Event{Kind: aggregator.AttemptEnded, Part: a.ID,
		Attempt: a.number, Replica: a.node.id, Outcome: moduleOutcomes[r.Outcome], LoadReport: r.LoadReport}})
}

// ReportProbe records the result of a probe.
func (c *Coordinator) ReportProbe(n *Node, r Result) {
	c.observeOutcome(n, nil, r.Outcome, r.LoadReport, time.Now())
	c.log.Debug("probe ended", "node", n.id, "end", r.Outcome.String())
	c.enqueue(input{event: aggregator.Event{Kind: aggregator.ProbeEnded, Replica: n.id, Outcome: moduleOutcomes[r.Outcome],
		LoadReport: r.LoadReport}})
}

// observeOutcome passes the outcome of an attempt, or of a probe if a is nil, to everything that tracks the health of data nodes.
func (c *Coordinator) observeOutcome(n *Node, a *Attempt, outcome Outcome, load map[string]float64, now time.Time) {
	c.observeForMembership(n, outcome)
	c.observeForZones(n, a, outcome, now)
	c.observeForMaintenance(n, outcome, load, now)
	c.notifyObserver(n, a, outcome, load, now)
}
