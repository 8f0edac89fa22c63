package coordinator

import (
	"time"
)

// Observation is an event at a data node that is reported to peers: the outcome of an attempt or a probe, a recent start, or its failure
// as part of a zone that went out.
type Observation struct {
	Node        string
	Failed      bool          // a connection was refused or reset, or the zone is out; otherwise the data node answered
	Latency     time.Duration // of an answered attempt; 0 if not known
	Utilization float64       // as reported by the data node; negative if it reported none
	Started     bool          // the data node started recently; only StartAge is set then
	StartAge    time.Duration // time since that start
}

// OnObservation sets the function that is called for each observation. It runs in the coordinator's goroutines and must not block.
func (c *Coordinator) OnObservation(f func(Observation)) { c.observer.Store(&f) }

// emitObservations passes observations to the observer, if one is set.
func (c *Coordinator) emitObservations(observations ...Observation) {
	if f := c.observer.Load(); f != nil {
		for _, o := range observations {
			(*f)(o)
		}
	}
}

// notifyObserver passes the outcome of an attempt, or of a probe if a is nil, to the observer. Cancelled attempts are not reported, since
// they say nothing about the data node.
func (c *Coordinator) notifyObserver(n *Node, a *Attempt, outcome Outcome, load map[string]float64, now time.Time) {
	o := Observation{Node: n.id, Utilization: -1}
	switch outcome {
	case OK, Errored, Overloaded:
		if u, ok := load["util"]; ok {
			o.Utilization = u
		}
		if outcome == OK && a != nil {
			o.Latency = now.Sub(a.sentAt)
		}
	case NotConnected, ConnectTimeout, Reset:
		o.Failed = true
	default:
		return
	}
	c.emitObservations(o)
}

// notifyStarts tells the observer about data nodes that started so recently that they are still warming up.
func (c *Coordinator) notifyStarts(changes []Member, now time.Time) {
	for _, m := range changes {
		if ago := now.Sub(m.Started); m.State == Serving && !m.Started.IsZero() && ago < c.settings.Rules.WarmupTime {
			c.emitObservations(Observation{Node: m.ID, Started: true, StartAge: ago, Utilization: -1})
		}
	}
}
