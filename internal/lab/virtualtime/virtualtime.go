// Package virtualtime provides the event queue of the lab's simulations. Events with equal times are returned in the order of insertion.
package virtualtime

import (
	"container/heap"
	"time"
)

// Queue holds future events. The zero value is an empty queue. It is not safe for concurrent use.
type Queue[E any] struct {
	items        items[E]
	lastSequence int
}

// item is a queued event. sequence is its insertion number, which orders events with equal times.
type item[E any] struct {
	at       time.Duration
	sequence int
	value    E
}

// items implements heap.Interface with the earliest event first.
type items[E any] []item[E]

func (q items[E]) Len() int { return len(q) }
func (q items[E]) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q items[E]) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *items[E]) Push(x any)   { *q = append(*q, x.(item[E])) }
func (q *items[E]) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = item[E]{}
	*q = old[:len(old)-1]
	return x
}

// Put adds an event at a virtual time.
func (q *Queue[E]) Put(at time.Duration, e E) {
	q.lastSequence++
	heap.Push(&q.items, item[E]{at, q.lastSequence, e})
}

// Next removes and returns the earliest event and its time. ok is false if there is no event at or before until.
func (q *Queue[E]) Next(until time.Duration) (at time.Duration, e E, ok bool) {
	if len(q.items) == 0 || q.items[0].at > until {
		return 0, e, false
	}
	x := heap.Pop(&q.items).(item[E])
	return x.at, x.value, true
}
