package membership

import (
	"fmt"
	"slices"
	"time"
)

// claim holds the last report of one source about a data node.
type claim struct {
	src         *sourceState
	rec         Record
	changedAt   time.Time // when its state, address or start last changed
	cached      bool      // from the list of an earlier run
	wasDraining bool      // if rec.State is Gone: it was Draining before
}

// freshness is the reliability of a claim by its age.
type freshness uint8

// The kinds of claims, the least reliable first.
const (
	fromCache freshness = iota // from the cached list of an earlier run
	stale                      // the lease of its source has expired
	fresh                      // reported, and within the lease
)

func (c *claim) freshness() freshness {
	switch {
	case c.cached:
		return fromCache
	case c.src.stale:
		return stale
	}
	return fresh
}

// precedes reports whether claim c rather than d owns a node; d may be nil.
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

// update applies a record and reports whether it changes the claim.
func (c *claim) update(now time.Time, rec Record, cached bool) (changed bool) {
	stillGone := rec.State == Gone && c.rec.State == Gone
	switch {
	case (rec == c.rec || stillGone) && cached == c.cached:
		return false
	case stillGone:
		c.cached = cached
		return true
	case rec.State != c.rec.State || rec.Addr != c.rec.Addr || !rec.Started.Equal(c.rec.Started):
		c.changedAt = now
	}
	if rec.State == Gone {
		c.wasDraining = c.rec.State == Draining
		c.rec.State = Gone // the other fields keep their last values
	} else {
		c.rec, c.wasDraining = rec, false
	}
	c.cached = cached
	return true
}

// applyRecord applies one record of a source's update to the source's claim.
func (t *Table) applyRecord(now time.Time, src *sourceState, rec Record, u *Update) {
	c := src.claims[rec.ID]
	if rec.ID == "" || c == nil && rec.State == Gone {
		return
	}
	if rec.State != Gone && (rec.ShardSet < 0 || rec.ShardSet >= t.cfg.ShardSets) {
		t.note(InvalidRecord, src, rec.ID, fmt.Sprintf("cell %d is not in the range 0 to %d", rec.ShardSet, t.cfg.ShardSets-1))
		if c == nil {
			return
		}
		rec = c.rec // the shards that it holds are unknown, so it gets no new parts
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

// addClaim adds a claim of a source on a node, and the node if it is new. It returns nil if the source names too many.
func (t *Table) addClaim(now time.Time, src *sourceState, id string) *claim {
	if len(src.claims) >= src.MaxNodes {
		t.note(TooManyNodes, src, id, fmt.Sprintf("more than %d data nodes", src.MaxNodes))
		return nil
	}
	c := &claim{src: src, changedAt: now}
	src.claims[id] = c
	n := t.nodes[id]
	if n == nil {
		n = &node{id: id, published: Record{ID: id, State: Gone}, dependsOn: -1, timer: timer{heapIndex: -1}}
		t.nodes[id] = n
	}
	t.leaveUnclaimed(n)
	n.claims = append(n.claims, c)
	return c
}

// dropClaim removes the claim of a source on a node. schedule moves a node without claims to the unclaimed ones.
func (t *Table) dropClaim(n *node, src *sourceState) {
	n.claims = slices.DeleteFunc(n.claims, func(c *claim) bool { return c.src == src })
	delete(src.claims, n.id)
}

func allGone(claims []*claim) bool {
	return !slices.ContainsFunc(claims, func(c *claim) bool { return c.rec.State.present() })
}

// resolve merges the claims on a node by the table under Claims in the package comment. It returns the claim that describes the
// node, nil if it is gone, and the state. It considers no other node, no damping and no evidence.
func resolve(claims []*claim) (ownerClaim *claim, state State) {
	ownerClaim = owner(claims)
	switch {
	case ownerClaim == nil:
		return nil, Gone
	case ownerClaim.rec.State == Draining:
		return ownerClaim, Draining
	}
	for _, c := range claims {
		if c != ownerClaim && c.drains(ownerClaim) {
			return ownerClaim, Draining
		}
	}
	return ownerClaim, Serving
}

// owner returns the claim that describes a node: the one that precedes all others or, if its state is gone, the first of
// the fresh ones that changed after it. It returns nil if the node is gone.
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
		if c.rec.State.present() && c.freshness() == fresh && c.changedAt.After(first.changedAt) && c.precedes(later) {
			later = c
		}
	}
	return later
}

// drains reports whether c drains a node that another claim, its owner, describes as serving.
func (c *claim) drains(ownerClaim *claim) bool {
	if c.freshness() != fresh || startedBefore(c.rec, ownerClaim.rec) {
		return false
	}
	return c.rec.State == Draining || c.rec.State == Gone && c.wasDraining && !c.changedAt.Before(ownerClaim.changedAt)
}

// startedBefore reports whether a describes a process that started before the one that b describes.
func startedBefore(a, b Record) bool {
	return !a.StartUnknown && !b.StartUnknown && a.Started.Before(b.Started)
}

// statedStart returns the start of a node as its claims state it: the owner's, or else the latest that any other states.
func statedStart(claims []*claim, ownerClaim *claim) (at time.Time, stated bool) {
	if !ownerClaim.rec.StartUnknown {
		return ownerClaim.rec.Started, true
	}
	for _, c := range claims {
		if c.rec.State.present() && !c.rec.StartUnknown && (!stated || c.rec.Started.After(at)) {
			at, stated = c.rec.Started, true
		}
	}
	return at, stated
}
