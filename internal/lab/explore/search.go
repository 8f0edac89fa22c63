package explore

import (
	"runtime"
	"sync"
)

// transition is an edge between canonical states.
type transition struct {
	to        state
	from      ref
	faultless bool
	known     ref // ref of the state that it leads to if that is in the table already, otherwise none
}

// expansion holds the successors that one worker found for its part of the frontier.
type expansion struct {
	transitions [shardCount][]transition // by the table shard of the state that they lead to
	violation   *brokenRule              // the first one found; nil if there is none
}

// brokenRule is a broken rule and the transition to the state that breaks it.
type brokenRule struct {
	rule string
	at   transition
}

// expand finds the successors of the frontier in parallel. It only reads the table.
func (e *explorer) expand(frontier []ref) []expansion {
	workers := min(runtime.GOMAXPROCS(0), len(frontier))
	found := make([]expansion, workers)
	var wg sync.WaitGroup
	for n := range workers {
		part := frontier[len(frontier)*n/workers : len(frontier)*(n+1)/workers]
		wg.Go(func() {
			var edges []edge
			for _, from := range part {
				edges = e.next(e.state(from), edges[:0])
				for i := range edges {
					e.follow(&found[n], from, &edges[i])
				}
			}
		})
	}
	wg.Wait()
	return found
}

// follow adds one edge to an expansion and checks its state if it is new. A fault edge to a known state is dropped: liveness uses only
// edges without a fault.
func (e *explorer) follow(x *expansion, from ref, edge *edge) {
	t := transition{canonical(edge.to), from, !edge.fault, none}
	i := shardOf(&t.to)
	known, ok := e.shards[i].index[t.to]
	switch {
	case ok && !t.faultless:
		return
	case ok:
		t.known = known
	case x.violation == nil:
		if rule := e.violation(&t.to); rule != "" {
			x.violation = &brokenRule{rule, t}
		}
	}
	x.transitions[i] = append(x.transitions[i], t)
}

// firstViolation returns the first violation in the order of the frontier, or nil if there is none.
func firstViolation(found []expansion) *brokenRule {
	for i := range found {
		if found[i].violation != nil {
			return found[i].violation
		}
	}
	return nil
}

// merge adds the expansions to the table and returns the new states.
func (e *explorer) merge(found []expansion) (frontier []ref) {
	var added [shardCount][]ref
	var wg sync.WaitGroup
	for i := range shardCount {
		wg.Go(func() { added[i] = e.mergeShard(i, found) })
	}
	wg.Wait()
	for i := range added {
		frontier = append(frontier, added[i]...)
	}
	return frontier
}

// mergeShard adds the transitions to states of one table shard and returns the new states.
func (e *explorer) mergeShard(i int, found []expansion) (added []ref) {
	s := &e.shards[i]
	for n := range found {
		for _, t := range found[n].transitions[i] {
			to, ok := t.known, t.known != none
			if !ok {
				to, ok = s.index[t.to]
			}
			if !ok {
				to = e.insert(t.to, t.from)
				added = append(added, to)
			}
			if t.faultless {
				s.faultless = append(s.faultless, reversedEdge{to, t.from})
			}
		}
	}
	return added
}
