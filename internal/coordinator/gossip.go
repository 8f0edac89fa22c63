package coordinator

// This file owns what other coordinators tell of data nodes, and what core makes of it: a start that the list has not told yet, and
// failures as evidence on a zone. It must never let another's word outweigh what this coordinator has seen itself, nor hold on to it for
// longer than a start or a piece of evidence counts.

import (
	"time"

	"gullfall/aggregator"
)

// PeerReport is what others tell of a data node.
type PeerReport struct {
	Node      string
	Failing   bool          // for another coordinator
	Failed    time.Duration // how long ago
	Answered  time.Duration // how long ago it last answered anybody; below 0 where not known
	WarmingUp bool          // it started, or came back
	Started   time.Duration // how long ago
}

// startSlack is by how much a start that is told has to be later than the one known to be another: what is told grows younger on its
// way, by the way's time.
const startTolerance = 2 * time.Second

// ApplyPeerReports takes in what others tell. A start counts where it is later than the one known: whoever is held for cold is spared. Whether a
// failure is evidence on its zone is internal/zones' to say.
func (c *Coordinator) ApplyPeerReports(list []PeerReport) {
	now := time.Now()
	c.mu.Lock()
	defer c.wakeUp()
	defer c.mu.Unlock()
	event := aggregator.Event{Kind: aggregator.ListChanged}
	listed := map[string]Member{}
	for _, m := range c.endpoints.table.List() {
		listed[m.ID] = m
	}
	for id, at := range c.endpoints.reportedStarts {
		if m, ok := listed[id]; !ok || m.State == Gone || now.Sub(at) > c.settings.Rules.WarmupTime {
			delete(c.endpoints.reportedStarts, id)
		}
	}
	for _, t := range list {
		m, ok := listed[t.Node]
		if !ok || m.State == Gone {
			continue
		}
		if at := now.Add(-t.Started); t.WarmingUp && t.Started < c.settings.Rules.WarmupTime && at.After(m.Started.Add(startTolerance)) && at.After(c.endpoints.reportedStarts[t.Node].Add(startTolerance)) {
			c.endpoints.reportedStarts[t.Node] = at
			event.Members = append(event.Members, c.moduleMember(m))
		}
		if t.Failing && c.zones != nil {
			c.zones.tracker.ObservePeer(now, m.Zone, t.Node, t.Failed, t.Answered)
		}
	}
	if len(event.Members) > 0 {
		c.inbox = append(c.inbox, input{event: event})
	}
}

// toldStart turns a member's start by what others tell; the caller holds the lock.
func (c *Coordinator) adjustForReportedStart(m Member, out aggregator.Member) aggregator.Member {
	if at, ok := c.endpoints.reportedStarts[m.ID]; ok {
		out.Started = max(out.Started, c.moduleClock(at))
	}
	return out
}
