package membership

import (
	"fmt"
	"slices"
	"time"
)

// claim is what one source last reported of a data node.
type claim struct {
	src     *source
	rec     Record
	since   time.Time // when its state, address or start last changed
	cached  bool      // from the list of an earlier run
	drained bool      // where it is Gone: it was draining before
}

// freshness is how far a claim counts.
type freshness uint8

// The kinds of claims, the least reliable first.
const (
	remembered freshness = iota // from the cached list of an earlier run
	stale                       // the lease of its source has run out
	fresh                       // reported, and within the lease
)

func (c *claim) freshness() freshness {
	switch {
	case c.cached:
		return remembered
	case c.src.stale:
		return stale
	}
	return fresh
}

// precedes tells whether claim c owns a node rather than d, which may be nil.
func (c *claim) precedes(d *claim) bool {
	if d == nil {
		return true
	}
	if a, b := c.freshness(), d.freshness(); a != b {
		return a > b
	}
	if c.src.Rank != d.src.Rank {
		return c.src.Rank > d.src.Rank
	}
	return c.src.index < d.src.index
}

// update takes over a record, and tells whether it says anything new.
func (c *claim) update(now time.Time, rec Record, cached bool) (changed bool) {
	stillGone := rec.State == Gone && c.rec.State == Gone
	switch {
	case (rec == c.rec || stillGone) && cached == c.cached:
		return false
	case stillGone:
		c.cached = cached
		return true
	case rec.State != c.rec.State || rec.Addr != c.rec.Addr || !rec.Started.Equal(c.rec.Started):
		c.since = now
	}
	if rec.State == Gone {
		c.drained = c.rec.State == Draining
		c.rec.State = Gone // the other fields still describe what it was
	} else {
		c.rec, c.drained = rec, false
	}
	c.cached = cached
	return true
}

// applyRecord notes what an update of a source says of one data node.
func (t *Table) applyRecord(now time.Time, src *source, rec Record, u *Update) {
	c := src.claims[rec.ID]
	if rec.ID == "" || c == nil && rec.State == Gone {
		return
	}
	if rec.State != Gone && (rec.ShardSet < 0 || rec.ShardSet >= t.cfg.ShardSets) {
		t.note(Unfit, src, rec.ID, fmt.Sprintf("cell %d is not within 0 and %d", rec.ShardSet, t.cfg.ShardSets-1))
		if c == nil {
			return
		}
		rec = c.rec // which shards it holds now is not known, so it gets nothing new
		rec.State = Draining
	}
	if c == nil {
		if c = t.addClaim(now, src, rec.ID); c == nil {
			return
		}
	}
	if c.update(now, rec, u.Cached) {
		t.toEvaluate.add(t.nodes[rec.ID])
	}
}

// addClaim adds a claim of a source on a node, and the node where it is new. It returns nil where the source names too
// many.
func (t *Table) addClaim(now time.Time, src *source, id string) *claim {
	if len(src.claims) >= src.MaxNodes {
		t.note(Excess, src, id, fmt.Sprintf("over %d data nodes", src.MaxNodes))
		return nil
	}
	c := &claim{src: src, since: now}
	src.claims[id] = c
	n := t.nodes[id]
	if n == nil {
		n = &node{id: id, published: Record{ID: id, State: Gone}, dependsOn: -1, timer: timer{position: -1}}
		t.nodes[id] = n
	}
	t.leavePast(n)
	n.claims = append(n.claims, c)
	return c
}

// unclaim drops what a source says of a node. One that nobody names any more becomes one of the past.
func (t *Table) unclaim(n *node, src *source) {
	n.claims = slices.DeleteFunc(n.claims, func(c *claim) bool { return c.src == src })
	delete(src.claims, n.id)
}

func allGone(claims []*claim) bool {
	return !slices.ContainsFunc(claims, func(c *claim) bool { return c.rec.State.present() })
}

// resolve joins the claims on a node by the first table of the package's comment. It returns the claim that describes
// the node, nil where it is gone, and the state. It looks at no other node, at no damping and at no evidence.
func resolve(claims []*claim) (by *claim, state State) {
	by = owner(claims)
	switch {
	case by == nil:
		return nil, Gone
	case by.rec.State == Draining:
		return by, Draining
	}
	for _, c := range claims {
		if c != by && c.drains(by) {
			return by, Draining
		}
	}
	return by, Serving
}

// owner is the claim that describes a node: the one that precedes all others or, where that says gone, the first of
// the fresh ones that changed after it. It is nil where the node is gone.
func owner(claims []*claim) *claim {
	var first *claim
	for _, c := range claims {
		if c.precedes(first) {
			first = c
		}
	}
	if first == nil || first.rec.State.present() {
		return first
	}
	var later *claim
	for _, c := range claims {
		if c.rec.State.present() && c.freshness() == fresh && c.since.After(first.since) && c.precedes(later) {
			later = c
		}
	}
	return later
}

// drains tells whether another claim than the describing one drains the node.
func (c *claim) drains(by *claim) bool {
	if c.freshness() != fresh || startedBefore(c.rec, by.rec) {
		return false
	}
	return c.rec.State == Draining || c.rec.State == Gone && c.drained && !c.since.Before(by.since)
}

// startedBefore tells whether a speaks of a process that ran before the one that b speaks of.
func startedBefore(a, b Record) bool {
	return !a.Unstated && !b.Unstated && a.Started.Before(b.Started)
}

// statedStart is the start of the node as its claims have it: the describing one's, or else the latest that any other
// states.
func statedStart(claims []*claim, by *claim) (at time.Time, stated bool) {
	if !by.rec.Unstated {
		return by.rec.Started, true
	}
	for _, c := range claims {
		if c.rec.State.present() && !c.rec.Unstated && (!stated || c.rec.Started.After(at)) {
			at, stated = c.rec.Started, true
		}
	}
	return at, stated
}
