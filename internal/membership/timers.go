package membership

import (
	"container/heap"
	"time"
)

// timer is when a node must be looked at next.
type timer struct {
	at       time.Time
	position int // in the heap; -1 where it is not set
}

// setTimer sets or, at the zero time, clears the time at which a node is looked at next.
func (t *Table) setTimer(n *node, at time.Time) {
	set := n.timer.position >= 0
	switch {
	case at.IsZero() && set:
		heap.Remove(&t.timers, n.timer.position)
	case at.IsZero():
	case set:
		n.timer.at = at
		heap.Fix(&t.timers, n.timer.position)
	default:
		n.timer.at = at
		heap.Push(&t.timers, n)
	}
}

// runTimers marks the nodes whose time has come, and forgets those of the past.
func (t *Table) runTimers(now time.Time) {
	for len(t.timers) > 0 && !now.Before(t.timers[0].timer.at) {
		n := heap.Pop(&t.timers).(*node)
		t.endSuspicion(now, n)
		if n.past != nil && len(n.claims) == 0 {
			t.forget(n)
			continue
		}
		t.toEvaluate.add(n)
	}
}

// timers is a heap of nodes by the time at which they are looked at next.
type timers []*node

func (h timers) Len() int           { return len(h) }
func (h timers) Less(i, j int) bool { return h[i].timer.at.Before(h[j].timer.at) }
func (h timers) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timer.position, h[j].timer.position = i, j
}

// Push implements heap.Interface.
func (h *timers) Push(x any) {
	n := x.(*node)
	n.timer.position = len(*h)
	*h = append(*h, n)
}

// Pop implements heap.Interface.
func (h *timers) Pop() any {
	last := len(*h) - 1
	n := (*h)[last]
	*h = (*h)[:last]
	n.timer.position = -1
	return n
}
