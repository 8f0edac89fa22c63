package membership

import (
	"container/heap"
	"time"
)

// timer is the time at which a node must be evaluated next.
type timer struct {
	at        time.Time
	heapIndex int // in the heap; -1 if the timer is not set
}

// setTimer sets the timer of a node, or clears it if the time is zero.
func (t *Table) setTimer(n *node, at time.Time) {
	set := n.timer.heapIndex >= 0
	switch {
	case at.IsZero() && set:
		heap.Remove(&t.timers, n.timer.heapIndex)
	case at.IsZero():
	case set:
		n.timer.at = at
		heap.Fix(&t.timers, n.timer.heapIndex)
	default:
		n.timer.at = at
		heap.Push(&t.timers, n)
	}
}

// runTimers marks the nodes whose timers have expired for evaluation, and forgets the unclaimed ones among them.
func (t *Table) runTimers(now time.Time) {
	for len(t.timers) > 0 && !now.Before(t.timers[0].timer.at) {
		n := heap.Pop(&t.timers).(*node)
		t.expireSuspicion(now, n)
		if n.unclaimedElem != nil && len(n.claims) == 0 {
			t.forget(n)
			continue
		}
		t.toEvaluate.add(n)
	}
}

// timers is a heap of nodes, ordered by the time of their timers.
type timers []*node

func (h timers) Len() int           { return len(h) }
func (h timers) Less(i, j int) bool { return h[i].timer.at.Before(h[j].timer.at) }
func (h timers) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timer.heapIndex, h[j].timer.heapIndex = i, j
}

// Push implements heap.Interface.
func (h *timers) Push(x any) {
	n := x.(*node)
	n.timer.heapIndex = len(*h)
	*h = append(*h, n)
}

// Pop implements heap.Interface.
func (h *timers) Pop() any {
	last := len(*h) - 1
	n := (*h)[last]
	*h = (*h)[:last]
	n.timer.heapIndex = -1
	return n
}
