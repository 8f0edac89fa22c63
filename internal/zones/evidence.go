package zones

import (
	"sort"
	"time"
)

// node is the record of the evidence on one data node.
type node struct {
	lastFailure time.Time
	lastGood    time.Time
	fromPeer    bool // lastFailure was reported by another coordinator
	listed      bool
}

func (n *node) failing(now time.Time, window time.Duration) bool {
	return !n.lastFailure.IsZero() && now.Sub(n.lastFailure) < window && !n.lastGood.After(n.lastFailure)
}

// expired reports whether a data node is no longer listed and has no evidence within the window.
func (n *node) expired(now time.Time, window time.Duration) bool {
	return !n.listed && now.Sub(n.lastFailure) >= window && now.Sub(n.lastGood) >= window
}

// node returns the record of a data node and creates it if needed. The record of a data node that moved from another zone
// is dropped.
func (t *Tracker) node(zoneName, id string) *node {
	if formerZone, known := t.zoneOf[id]; known && formerZone != zoneName {
		delete(t.zones[formerZone].nodes, id)
	}
	t.zoneOf[id] = zoneName
	z := t.zone(zoneName)
	n := z.nodes[id]
	if n == nil {
		n = &node{}
		z.nodes[id] = n
	}
	return n
}

// SetListed replaces the set of listed data nodes, given as a map of ids to zones. Those no longer listed are observed as
// Removed. A stale list that still names a failed zone clears nothing, since only Good evidence does.
func (t *Tracker) SetListed(now time.Time, members map[string]string) {
	for id, zoneName := range members {
		t.node(zoneName, id).listed = true
	}
	for id, zoneName := range t.zoneOf {
		if _, ok := members[id]; ok {
			continue
		}
		if n := t.zones[zoneName].nodes[id]; n.listed {
			n.listed = false
			t.Observe(now, zoneName, id, Removed)
		}
	}
}

// Observe records evidence on one data node of a zone, seen at the given time. A failure no later than the last known
// failure, or an answer no later than the last known answer, changes nothing.
func (t *Tracker) Observe(at time.Time, zoneName, id string, e Evidence) {
	n := t.node(zoneName, id)
	if e == Good {
		if at.After(n.lastGood) {
			n.lastGood = at
		}
		return
	}
	if at.After(n.lastFailure) {
		n.lastFailure, n.fromPeer = at, e == PeerReport
	}
	if z := t.zones[zoneName]; at.After(z.lastFailure) {
		z.lastFailure = at
	}
}

// minUnanswered is the least time since a data node's last answer to any coordinator for a reported failure to count: a
// data node that others can reach answers one of them all the time, and those answers are reported too.
const minUnanswered = 1500 * time.Millisecond

// ObservePeer applies a report from another coordinator: failed is how long ago the data node failed there, and answered
// how long ago it last answered any coordinator, negative if unknown. The report counts as evidence at now if the zone is
// not already out, this coordinator got no answer from the data node within Window, and no coordinator reports an answer
// since the failure. The last condition keeps a coordinator that is itself cut off from a zone from taking the zone out at
// all others: without it, one coordinator losing its network shows as `zone out` across the whole fleet.
func (t *Tracker) ObservePeer(now time.Time, zoneName, id string, failed, answered time.Duration) {
	z := t.zones[zoneName]
	if z == nil || z.nodes[id] == nil || !t.Usable(zoneName) || now.Sub(z.nodes[id].lastGood) < t.cfg.Window {
		return
	}
	if answered < 0 || answered >= minUnanswered && answered > failed {
		t.Observe(now, zoneName, id, PeerReport)
	}
}

// Failing returns the sorted ids of a zone's data nodes that are failing by this coordinator's own evidence. Failures
// reported by other coordinators are left out, so that they are not reported back.
func (t *Tracker) Failing(now time.Time, zoneName string) (ids []string) {
	if z := t.zones[zoneName]; z != nil {
		for id, n := range z.nodes {
			if n.failing(now, t.cfg.Window) && !n.fromPeer {
				ids = append(ids, id)
			}
		}
	}
	sort.Strings(ids)
	return ids
}
