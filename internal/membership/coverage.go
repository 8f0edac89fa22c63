package membership

import (
	"cmp"
	"slices"
	"time"
)

// level is the number of healthy data nodes of one priority in a shard set.
type level struct {
	priority uint16
	count    int
}

// coverageEntry records how a node is counted in the coverage.
type coverageEntry struct {
	counted  bool
	shardSet int
	priority uint16
}

// coverage counts the healthy data nodes of each shard set by priority. One that is used despite suppression,
// because a shard has no other, is not counted: otherwise the result would depend on the order of evaluation.
type coverage struct {
	shardSets, shards, reach int
	levels                   map[int][]level // by shard set, by ascending priority
}

// add changes the number of data nodes of one priority. It reports whether the set of priorities in the shard set changed.
func (v *coverage) add(shardSet int, priority uint16, delta int) (changed bool) {
	levels := v.levels[shardSet]
	i, found := slices.BinarySearchFunc(levels, priority, func(l level, p uint16) int { return cmp.Compare(l.priority, p) })
	if !found {
		v.levels[shardSet] = slices.Insert(levels, i, level{priority, delta})
		return true
	}
	if levels[i].count += delta; levels[i].count > 0 {
		return false
	}
	if levels = slices.Delete(levels, i, i+1); len(levels) == 0 {
		delete(v.levels, shardSet)
	} else {
		v.levels[shardSet] = levels
	}
	return true
}

// hasUncoveredShard reports whether some shard of a shard set has no healthy data node of a priority below the bound.
func (v *coverage) hasUncoveredShard(shardSet int, bound int) bool {
	for back := range v.reach {
		shard := v.wrap(shardSet - back)
		if shard < v.shards && !v.covers(shard, bound) {
			return true
		}
	}
	return false
}

// covers reports whether a shard has a healthy data node of a priority below the bound.
func (v *coverage) covers(shard int, bound int) bool {
	for i := range v.reach {
		if levels := v.levels[v.wrap(shard+i)]; len(levels) > 0 && int(levels[0].priority) < bound {
			return true
		}
	}
	return false
}

// overlapping returns the shard sets that share a shard with the given one, itself included.
func (v *coverage) overlapping(shardSet int) (list []int) {
	seen := map[int]bool{}
	for d := 1 - v.reach; d < v.reach; d++ {
		s := v.wrap(shardSet + d)
		if !seen[s] {
			seen[s], list = true, append(list, s)
		}
	}
	return list
}

// wrap returns an index modulo the number of shard sets, never below 0.
func (v *coverage) wrap(i int) int { return (i%v.shardSets + v.shardSets) % v.shardSets }

// updateCoverage counts a node if it is healthy, and marks the nodes whose use the change may affect.
func (t *Table) updateCoverage(now time.Time, n *node) {
	entry := coverageEntry{counted: t.healthy(now, n)}
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
	for _, s := range t.coverage.overlapping(shardSet) {
		for n := range t.dependents[s] {
			t.toPublish.add(n)
		}
	}
}

// setDependency records the shard set whose coverage decides whether a node is used; -1 for none.
func (t *Table) setDependency(n *node, shardSet int) {
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
