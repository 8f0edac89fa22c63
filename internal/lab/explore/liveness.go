package explore

import (
	"cmp"
	"slices"
)

// endStates lists the states that only an operator's order can leave.
func (e *explorer) endStates() (list []ref) {
	for i := range e.shards {
		for at := range e.shards[i].states {
			if e.plan(e.shards[i].states[at].plan).settled {
				list = append(list, newRef(i, at))
			}
		}
	}
	return list
}

// stuckState returns a state from which no goal can be reached without further faults, or none if there is no such state. It follows the
// reversed edges from the goals.
func (e *explorer) stuckState(goals []ref) ref {
	e.sortReversedEdges()
	reachesGoal := [shardCount][]bool{}
	for i := range e.shards {
		reachesGoal[i] = make([]bool, len(e.shards[i].states))
	}
	for _, r := range goals {
		reachesGoal[r.shard()][r.index()] = true
	}
	for queue := goals; len(queue) > 0; queue = queue[1:] {
		for _, edge := range e.reversedEdges(queue[0]) {
			if !reachesGoal[edge.from.shard()][edge.from.index()] {
				reachesGoal[edge.from.shard()][edge.from.index()] = true
				queue = append(queue, edge.from)
			}
		}
	}
	return firstUnset(&reachesGoal)
}

// sortReversedEdges sorts the edges of each shard by the state that they lead to, as reversedEdges requires.
func (e *explorer) sortReversedEdges() {
	for i := range e.shards {
		slices.SortStableFunc(e.shards[i].faultless, func(a, b reversedEdge) int { return cmp.Compare(a.to.index(), b.to.index()) })
	}
}

// reversedEdges returns the edges without a fault that lead to a state. The edges must be sorted.
func (e *explorer) reversedEdges(to ref) []reversedEdge {
	edges := e.shards[to.shard()].faultless
	first, _ := slices.BinarySearchFunc(edges, to, func(x reversedEdge, to ref) int { return cmp.Compare(x.to.index(), to.index()) })
	end := first
	for end < len(edges) && edges[end].to == to {
		end++
	}
	return edges[first:end]
}

// firstUnset returns the unmarked state with the lowest ref, or none if all are marked.
func firstUnset(marks *[shardCount][]bool) ref {
	first := none
	for i := range marks {
		if at := slices.Index(marks[i], false); at >= 0 {
			first = min(first, newRef(i, at))
		}
	}
	return first
}
