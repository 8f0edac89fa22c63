package explore

import (
	"cmp"
	"slices"
)

// endStates lists the states in which nothing is left to do but by an operator.
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

// unable returns a state from which none of the given ones can be reached without further faults; none where there is no such state. It
// follows the edges backwards from the given states.
func (e *explorer) unable(goals []ref) ref {
	e.sortReversedEdges()
	able := [shardCount][]bool{}
	for i := range e.shards {
		able[i] = make([]bool, len(e.shards[i].states))
	}
	for _, r := range goals {
		able[r.shard()][r.index()] = true
	}
	for queue := goals; len(queue) > 0; queue = queue[1:] {
		for _, edge := range e.reversedEdges(queue[0]) {
			if !able[edge.from.shard()][edge.from.index()] {
				able[edge.from.shard()][edge.from.index()] = true
				queue = append(queue, edge.from)
			}
		}
	}
	return firstUnset(&able)
}

func (e *explorer) sortReversedEdges() {
	for i := range e.shards {
		slices.SortStableFunc(e.shards[i].faultless, func(a, b reversedEdge) int { return cmp.Compare(a.to.index(), b.to.index()) })
	}
}

// reversedEdges returns the edges without a fault that lead to a state. They must be sorted.
func (e *explorer) reversedEdges(to ref) []reversedEdge {
	edges := e.shards[to.shard()].faultless
	first, _ := slices.BinarySearchFunc(edges, to, func(x reversedEdge, to ref) int { return cmp.Compare(x.to.index(), to.index()) })
	end := first
	for end < len(edges) && edges[end].to == to {
		end++
	}
	return edges[first:end]
}

// firstUnset returns the state with the lowest index in any shard that isn't marked; none where all are.
func firstUnset(marks *[shardCount][]bool) ref {
	first := none
	for i := range marks {
		if at := slices.Index(marks[i], false); at >= 0 {
			first = min(first, newRef(i, at))
		}
	}
	return first
}
