package coordinator

import (
	"time"
)

// Observation is something seen of a data node that peers may want to know: how an attempt or a probe ended, that it started lately, or
// that it failed while its zone went out.
type Observation struct {
	Node        string
	Failed      bool          // its connection was refused or reset, or its zone is out; else it answered
	Latency     time.Duration // of an answered attempt; 0 where not known
	Utilization float64       // as it reported; below 0 where it did not
	Started     bool          // it started lately; then only Ago counts
	Ago         time.Duration // since its start
}

// OnObservation has f called for each from now on. It runs on the coordinator's own goroutines and must not block.
func (c *Coordinator) OnObservation(f func(Observation)) { c.observer.Store(&f) }

// observed hands observations to the observer, if there is one.
func (c *Coordinator) observed(observations ...Observation) {
	if f := c.observer.Load(); f != nil {
		for _, o := range observations {
			(*f)(o)
		}
	}
}

// notifyObserver passes on how an attempt or a probe ended; a is nil for a probe. An attempt that was cancelled says nothing.
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
	c.observed(o)
}

// notifyStarts passes on which data nodes have started so lately that they warm up.
func (c *Coordinator) notifyStarts(changes []Member, now time.Time) {
	for _, m := range changes {
		if ago := now.Sub(m.Started); m.State == Serving && !m.Started.IsZero() && ago < c.settings.Rules.WarmupTime {
			c.observed(Observation{Node: m.ID, Started: true, Ago: ago, Utilization: -1})
		}
	}
}
