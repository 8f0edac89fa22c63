package coordinator

// This file owns what core tells of data nodes to whoever passes it on to other coordinators. It must never wait for that.

import "time"

// Observation is what the end of an attempt or a probe shows of a data node, or the list of its start, or a zone's verdict of all that fails there.
type Observation struct {
	Node        string
	Failed      bool          // a refused or reset connection, or whatever its zone was left for; else it answered
	Latency     time.Duration // of an answered attempt; 0 where not known
	Utilization float64       // as it reported; below 0 where it did not
	Started     bool          // it has lately; then nothing else is said
	Ago         time.Duration // since then
}

// OnObservation has f told of each from now on. It is called on core's own goroutines and must not block.
func (c *Coordinator) OnObservation(f func(Observation)) { c.observer.Store(&f) }

// sighted passes on how an attempt or a probe ended; a is nil for a probe. An attempt that was given up says nothing.
func (c *Coordinator) notifyObserver(n *Node, a *Attempt, end Outcome, load map[string]float64, now time.Time) {
	f := c.observer.Load()
	if f == nil {
		return
	}
	s := Observation{Node: n.id, Utilization: -1}
	switch end {
	case OK, Errored, Overloaded:
		if u, ok := load["util"]; ok {
			s.Utilization = u
		}
		if end == OK && a != nil {
			s.Latency = now.Sub(a.sentAt)
		}
	case NotConnected, ConnectTimeout, Reset:
		s.Failed = true
	default:
		return
	}
	(*f)(s)
}
