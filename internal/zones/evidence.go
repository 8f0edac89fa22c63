package zones

import (
	"sort"
	"time"
)

// node is the evidence on one data node.
type node struct {
	lastFailure time.Time
	lastGood    time.Time
	fromPeer    bool // the last failure was reported by another coordinator
	listed      bool
}

func (n *node) failing(now time.Time, window time.Duration) bool {
	return !n.lastFailure.IsZero() && now.Sub(n.lastFailure) < window && !n.lastGood.After(n.lastFailure)
}

// expired tells whether a data node that is not listed any more has no evidence within the window.
func (n *node) expired(now time.Time, window time.Duration) bool {
	return !n.listed && now.Sub(n.lastFailure) >= window && now.Sub(n.lastGood) >= window
}

// node returns the evidence on a data node, which begins here where there is none. Evidence on one that moved to another
// zone is dropped.
func (t *Tracker) node(zoneName, id string) *node {
	if former, known := t.zoneOf[id]; known && former != zoneName {
		delete(t.zones[former].nodes, id)
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

// List takes over the data nodes that the list names now, by id to zone. Those that it no longer names count as Removed; a
// list that comes late and still names a failed zone clears nothing, as only Good evidence clears.
func (t *Tracker) List(now time.Time, members map[string]string) {
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

// Observe applies evidence on one data node of a zone, as it was seen at a time. Evidence older than what is known of its
// kind changes nothing.
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

// minUnanswered is for how long no coordinator may have reported an answer of a data node for a reported failure to
// count: a data node that others reach answers one of them all the time, which reports that too.
const minUnanswered = 1500 * time.Millisecond

// ObservePeer applies a report of another coordinator: a data node failed there, failed ago, and last answered any
// coordinator answered ago; below 0 where that is not known. It counts as evidence from now on, where the zone is not out
// already, this coordinator has no answer of the data node within Window, and no coordinator reports an answer since. The
// last condition keeps a coordinator that is itself cut off from a zone from taking it out at all others, which would
// show as `zone out` at the whole fleet after one coordinator lost its network.
func (t *Tracker) ObservePeer(now time.Time, zoneName, id string, failed, answered time.Duration) {
	z := t.zones[zoneName]
	if z == nil || z.nodes[id] == nil || !t.Usable(zoneName) || now.Sub(z.nodes[id].lastGood) < t.cfg.Window {
		return
	}
	if answered < 0 || answered >= minUnanswered && answered > failed {
		t.Observe(now, zoneName, id, PeerReport)
	}
}

// Failing lists, by id, the data nodes of a zone that fail by this coordinator's own evidence. What others reported is
// left out: it is not to be reported back to them.
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
