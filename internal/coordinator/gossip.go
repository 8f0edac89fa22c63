package coordinator

import (
	"maps"
	"time"

	"gullfall/aggregator"
)

// PeerReport summarizes the reports of other coordinators about a data node. Its durations are ages.
type PeerReport struct {
	Node        string
	Failing     bool          // it fails for another coordinator
	FailedAge   time.Duration // time since that failure
	AnsweredAge time.Duration // time since it last answered any coordinator; negative if not known
	WarmingUp   bool          // it started or returned recently
	StartAge    time.Duration // time since that start or return
}

// startTolerance is the minimum by which a reported start must be later than the known start to count as a different start. A report
// contains the age at the time of sending, so the same start appears later by the delay of the report.
const startTolerance = 2 * time.Second

// ApplyPeerReports applies reports of other coordinators. A data node with a later start than the known one warms up at this coordinator
// too. Failures are passed to the zone tracker, which weighs them against this coordinator's own evidence.
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
	c.endpoints.pruneReportedStarts(now, listed, c.settings.Rules.WarmupTime)
	for _, r := range reports {
		m, ok := listed[r.Node]
		if !ok {
			continue
		}
		if c.isNewStart(now, m, r) {
			c.endpoints.reportedStarts[r.Node] = now.Add(-r.StartAge)
			event.Members = append(event.Members, c.moduleMember(m))
		}
		if r.Failing && c.zones != nil {
			c.zones.tracker.ObservePeer(now, m.Zone, r.Node, r.FailedAge, r.AnsweredAge)
		}
	}
	if len(event.Members) > 0 {
		c.inbox = append(c.inbox, input{event: event})
	}
}

// pruneReportedStarts removes the reported starts of data nodes that are no longer listed or have warmed up.
func (e *endpoints) pruneReportedStarts(now time.Time, listed map[string]Member, warmup time.Duration) {
	maps.DeleteFunc(e.reportedStarts, func(id string, at time.Time) bool {
		_, ok := listed[id]
		return !ok || now.Sub(at) > warmup
	})
}

// isNewStart reports whether a report contains a start that neither the list nor an earlier report contained, and that is so recent that
// the data node is still warming up. The caller holds the lock.
func (c *Coordinator) isNewStart(now time.Time, m Member, r PeerReport) bool {
	if !r.WarmingUp || r.StartAge >= c.settings.Rules.WarmupTime {
		return false
	}
	at := now.Add(-r.StartAge)
	return at.After(m.Started.Add(startTolerance)) && at.After(c.endpoints.reportedStarts[m.ID].Add(startTolerance))
}

// adjustForReportedStart replaces the start of a data node by the start that peers reported, if that is later. The caller holds the lock.
func (c *Coordinator) adjustForReportedStart(m Member, adjusted aggregator.Member) aggregator.Member {
	if at, ok := c.endpoints.reportedStarts[m.ID]; ok {
		adjusted.Started = max(adjusted.Started, c.moduleClock(at))
	}
	return adjusted
}
