package membership

// This file owns what a node's claims come to: who owns it, in which state it is, and since when it runs. It must
// never look at another node, at damping or at what the coordinator sees.

import "time"

// claim is what one source last told of a data node.
type claim struct {
	src        *source
	rec        Record
	since      time.Time // when its state, address or start last changed
	remembered bool
	drained    bool // Gone: it drained before
}

// kind is how far a claim counts: 2 for fresh, 1 for stale, 0 for remembered.
func (c *claim) kind() int {
	switch {
	case c.remembered:
		return 0
	case c.src.stale:
		return 1
	}
	return 2
}

// before tells whether claim c owns rather than d.
func (c *claim) before(d *claim) bool {
	if d == nil {
		return true
	}
	if a, b := c.kind(), d.kind(); a != b {
		return a > b
	}
	if c.src.Rank != d.src.Rank {
		return c.src.Rank > d.src.Rank
	}
	return c.src.index < d.src.index
}

// verdict reads the table of the package's comment. It returns the claim that describes the node, nil where
// it is gone.
func verdict(claims []*claim) (by *claim, state State) {
	var owner *claim
	for _, c := range claims {
		if c.before(owner) {
			owner = c
		}
	}
	if owner == nil {
		return nil, Gone
	}
	if by = owner; owner.rec.State == Gone {
		by = nil
		for _, c := range claims {
			if c.rec.State != Gone && c.kind() == 2 && c.since.After(owner.since) && c.before(by) {
				by = c
			}
		}
		if by == nil {
			return nil, Gone
		}
	}
	if by.rec.State == Draining {
		return by, Draining
	}
	for _, c := range claims {
		if c == by || c.kind() < 2 {
			continue
		}
		switch {
		case c.rec.State == Draining && !earlier(c.rec, by.rec):
			return by, Draining
		case c.rec.State == Gone && c.drained && !c.since.Before(by.since) && !earlier(c.rec, by.rec):
			return by, Draining
		}
	}
	return by, Serving
}

// earlier tells whether a speaks of a process that ran before the one that b speaks of.
func earlier(a, b Record) bool {
	return !a.Unstated && !b.Unstated && a.Started.Before(b.Started)
}

// stated is the start of the node as its claims have it: the owner's, or else the latest that any other states.
func stated(claims []*claim, by *claim) (at time.Time, known bool) {
	if !by.rec.Unstated {
		return by.rec.Started, true
	}
	for _, c := range claims {
		if c.rec.State != Gone && !c.rec.Unstated && (!known || c.rec.Started.After(at)) {
			at, known = c.rec.Started, true
		}
	}
	return at, known
}
