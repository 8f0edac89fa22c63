package coordinator

import (
	"time"

	"gullfall/aggregator"
)

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

var words = map[Outcome]string{OK: "ok", Errored: "err", Overloaded: "busy", NotConnected: "not connected",
	Reset: "reset", Cancelled: "given up", NotSent: "not sent", ConnectionLost: "cut", ConnectTimeout: "connect timeout"}

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
