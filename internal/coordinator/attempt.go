package coordinator

import (
	"time"

	"gullfall/aggregator"
)

// Outcome is how an attempt or a probe ended.
type Outcome int

// The outcomes that a dispatcher reports.
const (
	OK             Outcome = iota + 1
	Errored                // it may have run
	Overloaded             // rejected by the data node, or turned back here, and never begun
	NotConnected           // never written in full
	Reset                  // the connection ended after it was written
	Cancelled              // cancelled on command
	NotSent                // never sent, and no fault of the data node: nothing was left to send it with
	ConnectionLost         // its connection was lost or can't be used any more, but the data node is there
	ConnectTimeout         // never written in full: its connection did not come up in time
)

// Result is what a dispatcher reports of an attempt or a probe.
type Result struct {
	Outcome    Outcome
	Docs       [][]byte           // of an attempt that is OK
	LoadReport map[string]float64 // by name; nil where the data node sent none
}

// Attempt is one sending of a part to a data node.
type Attempt struct {
	ID             string // of the part
	Shard          int
	Text           string
	IdempotencyKey string    // of the query; empty where its class is not keyed
	Deadline       time.Time // an answer after it is of no use
	sendBefore     time.Time // it may not be sent later; zero for no such bound

	number       int // counts the attempts of its part from 0
	part         *part
	node         *Node
	listVersion  uint64 // of the endpoints that the module decided by
	sentAt       time.Time
	cancelReason aggregator.Outcome // Unknown while it is not to be cancelled
	ended        bool
	outcome      Outcome
}

// newAttempt makes the next attempt of a part, with the bounds that the action of the module sets.
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

// Sendable decides, at the moment in which an attempt's frame is written, whether it may still go out; much may have happened while it
// waited for a connection. One that may not is to be reported with the outcome returned.
//
//	its query has ended, or its client has left        NotSent
//	the data node is excluded                          Overloaded
//	it restarted, and the module did not know          NotSent: a data node that is warming up must not get a full share
//	its holders may have forgotten its key             Overloaded
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

// moduleOutcomes maps the outcomes to the module's.
var moduleOutcomes = map[Outcome]aggregator.Outcome{
	OK: aggregator.OK, Errored: aggregator.Errored, Overloaded: aggregator.Rejected,
	NotConnected: aggregator.ConnectFailed, Reset: aggregator.Reset, Cancelled: aggregator.TimedOut,
	NotSent: aggregator.NotSent, ConnectionLost: aggregator.ConnectionLost, ConnectTimeout: aggregator.ConnectTimeout,
}

// settleDelay is how long the message that ends an attempt may be on its way to the data node, or lie unread there.
const settleDelay = 5 * time.Millisecond

// Report takes in how an attempt ended; only the first report of an attempt counts. Where the data node learns of the end from us, by a
// cancellation or by a connection that we closed, the loop takes the report in later: a retry on another connection must not overtake
// that message, or the part would run twice at once.
func (c *Coordinator) Report(a *Attempt, r Result) {
	var due time.Time
	if r.Outcome == Cancelled || r.Outcome == Reset || r.Outcome == ConnectionLost {
		due = time.Now().Add(max(settleDelay, c.settings.Tick))
	}
	c.enqueue(input{attempt: a, outcome: r.Outcome, due: due, docs: r.Docs, event: aggregator.Event{Kind: aggregator.AttemptEnded, Part: a.ID,
		Attempt: a.number, Replica: a.node.id, Outcome: moduleOutcomes[r.Outcome], LoadReport: r.LoadReport}})
}

// ReportProbe takes in how a probe ended.
func (c *Coordinator) ReportProbe(n *Node, r Result) {
	c.observeOutcome(n, nil, r.Outcome, r.LoadReport, time.Now())
	c.log.Debug("probe ended", "node", n.id, "end", r.Outcome.String())
	c.enqueue(input{event: aggregator.Event{Kind: aggregator.ProbeEnded, Replica: n.id, Outcome: moduleOutcomes[r.Outcome],
		LoadReport: r.LoadReport}})
}

// observeOutcome passes the end of an attempt, or of a probe where a is nil, to all that judge data nodes.
func (c *Coordinator) observeOutcome(n *Node, a *Attempt, outcome Outcome, load map[string]float64, now time.Time) {
	c.observeForMembership(n, outcome)
	c.observeForZones(n, a, outcome, now)
	c.observeForMaintenance(n, outcome, load, now)
	c.notifyObserver(n, a, outcome, load, now)
}
