package membership

// This file owns the account of which cells have sound data nodes, and of which priority. It must never count one
// that is only let in for need: then what is needed would depend on who was asked first.

import (
	"cmp"
	"slices"
)

// level is how many sound data nodes of one priority a cell has.
type level struct {
	priority uint16
	count    int
}

// cover is the account of all cells.
type cover struct {
	cells, shards, reach int
	levels               map[int][]level // by cell, by ascending priority
}

// add counts data nodes in or out. It tells whether the priorities that a cell offers have changed.
func (v *cover) add(cell int, priority uint16, by int) (changed bool) {
	list := v.levels[cell]
	i, found := slices.BinarySearchFunc(list, priority, func(l level, p uint16) int { return cmp.Compare(l.priority, p) })
	if !found {
		v.levels[cell] = slices.Insert(list, i, level{priority, by})
		return true
	}
	if list[i].count += by; list[i].count > 0 {
		return false
	}
	if list = slices.Delete(list, i, i+1); len(list) == 0 {
		delete(v.levels, cell)
	} else {
		v.levels[cell] = list
	}
	return true
}

// lacks tells whether some shard that a cell holds has no sound data node of a priority below the bound.
func (v *cover) lacks(cell int, bound int) bool {
	for back := range v.reach {
		first := ((cell-back)%v.cells + v.cells) % v.cells
		if first >= v.shards {
			continue // no shard begins at that cell
		}
		held := false
		for i := 0; i < v.reach && !held; i++ {
			list := v.levels[(first+i)%v.cells]
			held = len(list) > 0 && int(list[0].priority) < bound
		}
		if !held {
			return true
		}
	}
	return false
}

// near are the cells that hold a shard together with the given one.
func (v *cover) near(cell int) (list []int) {
	seen := map[int]bool{}
	for d := 1 - v.reach; d < v.reach; d++ {
		c := ((cell+d)%v.cells + v.cells) % v.cells
		if !seen[c] {
			seen[c], list = true, append(list, c)
		}
	}
	return list
}
