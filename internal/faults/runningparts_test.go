package faults

import "sync"

// runningParts holds the parts that a stand-in data node is executing on one connection, with the attempt numbers from its
// nodeScript.
type runningParts struct {
	mu      sync.Mutex
	numbers map[string]int // by part id
}

func (r *runningParts) add(id string, number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.numbers[id] = number
}

// settle calls end if the part is running, and reports whether it was. Each part is ended only once.
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

// settleAll calls end for every running part.
func (r *runningParts) settleAll(end func(number int)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, number := range r.numbers {
		delete(r.numbers, id)
		end(number)
	}
}
