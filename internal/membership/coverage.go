package membership

import (
	"cmp"
	"slices"
	"time"
)

// level is how many sound data nodes of one priority a shard set has.
type level struct {
	priority uint16
	count    int
}

// coverageEntry is how a node was counted in the coverage.
type coverageEntry struct {
	counted  bool
	shardSet int
	priority uint16
}

// coverage counts the sound data nodes of each shard set by priority. One that is listed only because a shard has no
// other is not counted: what is needed would else depend on the order of evaluation.
type coverage struct {
	shardSets, shards, reach int
	levels                   map[int][]level // by shard set, by ascending priority
}

// add counts data nodes in or out. It tells whether the priorities that a shard set offers have changed.
func (v *coverage) add(shardSet int, priority uint16, by int) (changed bool) {
	levels := v.levels[shardSet]
	i, found := slices.BinarySearchFunc(levels, priority, func(l level, p uint16) int { return cmp.Compare(l.priority, p) })
	if !found {
		v.levels[shardSet] = slices.Insert(levels, i, level{priority, by})
		return true
	}
	if levels[i].count += by; levels[i].count > 0 {
		return false
	}
	if levels = slices.Delete(levels, i, i+1); len(levels) == 0 {
		delete(v.levels, shardSet)
	} else {
		v.levels[shardSet] = levels
	}
	return true
}

// lacks tells whether some shard that a shard set holds has no sound data node of a priority below the bound.
func (v *coverage) lacks(shardSet int, bound int) bool {
	for back := range v.reach {
		shard := v.wrap(shardSet - back)
		if shard < v.shards && !v.covers(shard, bound) {
			return true
		}
	}
	return false
}

// covers tells whether a shard has a sound data node of a priority below the bound.
func (v *coverage) covers(shard int, bound int) bool {
	for i := range v.reach {
		if levels := v.levels[v.wrap(shard+i)]; len(levels) > 0 && int(levels[0].priority) < bound {
			return true
		}
	}
	return false
}

// near are the shard sets that hold a shard together with the given one.
func (v *coverage) near(shardSet int) (list []int) {
	seen := map[int]bool{}
	for d := 1 - v.reach; d < v.reach; d++ {
		s := v.wrap(shardSet + d)
		if !seen[s] {
			seen[s], list = true, append(list, s)
		}
	}
	return list
}

// wrap takes an index that is less than one round off into the range of shard sets.
func (v *coverage) wrap(i int) int { return (i%v.shardSets + v.shardSets) % v.shardSets }

// updateCoverage counts a node where it is sound, and marks those whose use the change may concern.
func (t *Table) updateCoverage(now time.Time, n *node) {
	entry := coverageEntry{counted: t.sound(now, n)}
	if n.owner != nil {
		entry.shardSet, entry.priority = n.owner.rec.ShardSet, n.owner.rec.Priority
	}
	former := n.counted
	if former == entry || !former.counted && !entry.counted {
		return
	}
	if former.counted && t.coverage.add(former.shardSet, former.priority, -1) {
		t.markDependents(former.shardSet)
	}
	if n.counted = entry; entry.counted && t.coverage.add(entry.shardSet, entry.priority, 1) {
		t.markDependents(entry.shardSet)
	}
}

// markDependents marks the nodes whose use depends on the coverage of a shard set.
func (t *Table) markDependents(shardSet int) {
	for _, s := range t.coverage.near(shardSet) {
		for n := range t.dependents[s] {
			t.toPublish.add(n)
		}
	}
}

// depend notes on which shard set's coverage the use of a node depends; -1 for none.
func (t *Table) depend(n *node, shardSet int) {
	if n.dependsOn == shardSet {
		return
	}
	if n.dependsOn >= 0 {
		if delete(t.dependents[n.dependsOn], n); len(t.dependents[n.dependsOn]) == 0 {
			delete(t.dependents, n.dependsOn)
		}
	}
	if n.dependsOn = shardSet; shardSet >= 0 {
		if t.dependents[shardSet] == nil {
			t.dependents[shardSet] = map[*node]bool{}
		}
		t.dependents[shardSet][n] = true
	}
}
