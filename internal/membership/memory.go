package membership

// This file owns what is kept of nodes that are gone, and the times at which a node must be looked at again. It must
// never keep more than Config.MaxPast nodes that nobody claims, nor forget one that a source still names.

import (
	"container/heap"
	"slices"
	"time"
)

// unclaim drops what a source says of a node. One that nobody names any more becomes one of the past.
func (t *Table) unclaim(n *node, src *source) {
	n.claims = slices.DeleteFunc(n.claims, func(c *claim) bool { return c.src == src })
	delete(src.claims, n.id)
}

// arm sets a node's alarm, moves it between past and present, and keeps the past within its bound.
func (t *Table) arm(now time.Time, n *node) {
	var at time.Time
	early := func(d time.Time) {
		if d.After(now) && (at.IsZero() || d.Before(at)) {
			at = d
		}
	}
	early(n.damp.until)
	if n.doubtful {
		early(n.doubtEnd)
	}
	if len(n.claims) > 0 {
		if n.past != nil {
			t.past.Remove(n.past)
			n.past = nil
		}
		t.alarm(n, at)
		return
	}
	at = n.gone.Add(t.cfg.ShortAbsence)
	if f := n.damp.forgotten(&t.cfg); f.After(at) {
		at = f
	}
	if !at.After(now) {
		t.forget(n)
		return
	}
	if n.past == nil {
		n.past = t.past.PushBack(n)
	}
	t.alarm(n, at)
	if t.past.Len() > t.cfg.MaxForgotten {
		t.forget(t.past.Front().Value.(*node))
	}
}

// forget lets go of a node of the past.
func (t *Table) forget(n *node) {
	if n.past != nil {
		t.past.Remove(n.past)
		n.past = nil
	}
	t.alarm(n, time.Time{})
	delete(t.nodes, n.id)
}

// alarm sets or, at the zero time, clears the time at which a node is looked at again.
func (t *Table) alarm(n *node, at time.Time) {
	switch {
	case at.IsZero() && n.pos >= 0:
		heap.Remove(&t.alarms, n.pos)
	case at.IsZero():
	case n.pos >= 0:
		n.wake = at
		heap.Fix(&t.alarms, n.pos)
	default:
		n.wake = at
		heap.Push(&t.alarms, n)
	}
}

// alarms is a heap of nodes by the time at which they are looked at again.
type alarms []*node

func (a alarms) Len() int           { return len(a) }
func (a alarms) Less(i, j int) bool { return a[i].wake.Before(a[j].wake) }
func (a alarms) Swap(i, j int)      { a[i], a[j] = a[j], a[i]; a[i].pos, a[j].pos = i, j }

// Push is heap's.
func (a *alarms) Push(x any) { n := x.(*node); n.pos = len(*a); *a = append(*a, n) }

// Pop is heap's.
func (a *alarms) Pop() any {
	n := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	n.pos = -1
	return n
}
