// Package virtualtime has the event queue of the lab's simulations. Events of one time come out in the order in which they were put in.
package virtualtime

import (
	"container/heap"
	"time"
)

// Queue holds future events. The zero value is empty; it is not safe for concurrent use.
type Queue[E any] struct {
	items     items[E]
	lastOrder int
}

// item is an event; order tells events of one time apart.
type item[E any] struct {
	at    time.Duration
	order int
	value E
}

// items is a heap.Interface with the earliest event first.
type items[E any] []item[E]

func (q items[E]) Len() int { return len(q) }
func (q items[E]) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
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
	q.lastOrder++
	heap.Push(&q.items, item[E]{at, q.lastOrder, e})
}

// Next removes the earliest event and returns it with its time; ok is false where there is none until then, which is included.
func (q *Queue[E]) Next(until time.Duration) (at time.Duration, e E, ok bool) {
	if len(q.items) == 0 || q.items[0].at > until {
		return 0, e, false
	}
	x := heap.Pop(&q.items).(item[E])
	return x.at, x.value, true
}
