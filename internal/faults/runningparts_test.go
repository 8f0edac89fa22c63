package faults

import "sync"

// runningParts are the parts that a data node's stand-in has begun on one connection and not ended, each under the number that its
// script gave it.
type runningParts struct {
	mu      sync.Mutex
	numbers map[string]int // by the part's id
}

func (r *runningParts) add(id string, number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.numbers[id] = number
}

// settle calls end for a part that runs, and reports whether it did. A part is ended once.
func (r *runningParts) settle(id string, end func(number int)) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	number, runs := r.numbers[id]
	if runs {
		delete(r.numbers, id)
		end(number)
	}
	return runs
}

// settleAll calls end for every part that runs.
func (r *runningParts) settleAll(end func(number int)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, number := range r.numbers {
		delete(r.numbers, id)
		end(number)
	}
}
