package coordinator

import (
	"maps"
	"time"

	"gullfall/aggregator"
)

// PeerReport is what other coordinators report of a data node. Its times are ages.
type PeerReport struct {
	Node      string
	Failing   bool          // for another coordinator
	Failed    time.Duration // since it failed
	Answered  time.Duration // since it last answered any coordinator; below 0 where not known
	WarmingUp bool          // it started, or came back
	Started   time.Duration // since it did
}

// startTolerance is by how much a reported start has to be later than the known one to be another start. A report counts the age when it
// was sent, so the same start seems later by the time that the report took.
const startTolerance = 2 * time.Second

// ApplyPeerReports takes in what other coordinators report. A start later than the known one makes a data node warm up here too.
// Failures go to the tracker of zones, which weighs them against what was seen here.
func (c *Coordinator) ApplyPeerReports(reports []PeerReport) {
	now := time.Now()
	c.mu.Lock()
	defer c.wakeUp()
	defer c.mu.Unlock()
	event := aggregator.Event{Kind: aggregator.ListChanged}
	listed := map[string]Member{}
	for _, m := range c.endpoints.table.List() {
		if m.State != Gone {
			listed[m.ID] = m
		}
	}
	c.endpoints.forgetReportedStarts(now, listed, c.settings.Rules.WarmupTime)
	for _, r := range reports {
		m, ok := listed[r.Node]
		if !ok {
			continue
		}
		if c.isNewStart(now, m, r) {
			c.endpoints.reportedStarts[r.Node] = now.Add(-r.Started)
			event.Members = append(event.Members, c.moduleMember(m))
		}
		if r.Failing && c.zones != nil {
			c.zones.tracker.ObservePeer(now, m.Zone, r.Node, r.Failed, r.Answered)
		}
	}
	if len(event.Members) > 0 {
		c.inbox = append(c.inbox, input{event: event})
	}
}

// forgetReportedStarts drops the reported starts of data nodes that are no longer listed or have warmed up.
func (e *endpoints) forgetReportedStarts(now time.Time, listed map[string]Member, warmup time.Duration) {
	maps.DeleteFunc(e.reportedStarts, func(id string, at time.Time) bool {
		_, ok := listed[id]
		return !ok || now.Sub(at) > warmup
	})
}

// isNewStart reports whether a report is of a start that neither the list nor another report has brought, and that is so recent that the data
// node is still warming up. The caller holds the lock.
func (c *Coordinator) isNewStart(now time.Time, m Member, r PeerReport) bool {
	if !r.WarmingUp || r.Started >= c.settings.Rules.WarmupTime {
		return false
	}
	at := now.Add(-r.Started)
	return at.After(m.Started.Add(startTolerance)) && at.After(c.endpoints.reportedStarts[m.ID].Add(startTolerance))
}

// adjustForReportedStart makes a data node start when peers report it, if that is later than listed. The caller holds the lock.
func (c *Coordinator) adjustForReportedStart(m Member, out aggregator.Member) aggregator.Member {
	if at, ok := c.endpoints.reportedStarts[m.ID]; ok {
		out.Started = max(out.Started, c.moduleClock(at))
	}
	return out
}
