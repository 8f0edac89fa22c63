package maintenance

import (
	"cmp"
	"math"
	"slices"
)

// waveSearch is a branch-and-bound search that places machines into a given number of waves, in the order of its list.
type waveSearch struct {
	fleet    *Fleet
	limits   Limits
	machines []*Machine

	capacity    float64   // largest weight of one wave under Limits.Share
	restWeight  []float64 // total weight of the healthy machines from an index on
	leastWeight []float64 // smallest weight among them

	waves  []*outSet
	waveOf []int // wave of each machine
	steps  int   // calls of place so far, over all calls of find
}

// searchWaves searches for an order with fewer waves than best, and reports whether the search was complete.
func (f *Fleet) searchWaves(list []*Machine, l Limits, bound int, best [][]*Machine) (waves [][]*Machine, complete bool) {
	s := f.newWaveSearch(list, l)
	for count := bound; count < len(best); count++ {
		if s.find(count) {
			return s.result(), s.steps <= maxSearchSteps
		}
		if s.steps > maxSearchSteps {
			return best, false
		}
	}
	return best, true
}

func (f *Fleet) newWaveSearch(list []*Machine, l Limits) *waveSearch {
	s := &waveSearch{fleet: f, limits: l, machines: f.searchOrder(list), capacity: math.Inf(1)}
	if l.Share > 0 {
		s.capacity = l.Share*f.totalWeight - f.missingWeight + weightTolerance
	}
	s.restWeight, s.leastWeight = make([]float64, len(list)+1), make([]float64, len(list)+1)
	s.leastWeight[len(list)] = math.Inf(1)
	for i, m := range slices.Backward(s.machines) {
		if s.restWeight[i], s.leastWeight[i] = s.restWeight[i+1], s.leastWeight[i+1]; m.Healthy {
			s.restWeight[i], s.leastWeight[i] = s.restWeight[i]+m.Weight, min(s.leastWeight[i], m.Weight)
		}
	}
	return s
}

// searchOrder sorts machines that share shards with many others first, so that dead ends are found early. Interchangeable machines
// are adjacent.
func (f *Fleet) searchOrder(list []*Machine) []*Machine {
	list = slices.Clone(list)
	neighbours := map[*Machine]int{}
	for _, m := range list {
		for _, o := range list {
			if d := (m.ShardSet - o.ShardSet + f.ShardSets) % f.ShardSets; d < f.Reach || f.ShardSets-d < f.Reach {
				neighbours[m]++
			}
		}
	}
	slices.SortStableFunc(list, func(a, b *Machine) int {
		return cmp.Or(cmp.Compare(neighbours[b], neighbours[a]), cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.ShardSet, b.ShardSet), cmp.Compare(a.zoneIndex, b.zoneIndex))
	})
	return list
}

// find reports whether the machines fit into count waves.
func (s *waveSearch) find(count int) bool {
	s.waves, s.waveOf = make([]*outSet, count), make([]int, len(s.machines))
	for i := range s.waves {
		s.waves[i] = s.fleet.newOutSet(s.limits)
	}
	return s.place(0, 0)
}

// place places the machines from index i on and reports whether they fit. The waves below index used
// hold machines; the others are empty.
func (s *waveSearch) place(i, used int) bool {
	if i == len(s.machines) {
		return true
	}
	if s.steps++; s.steps > maxSearchSteps || s.exceedsCapacity(i) {
		return false
	}
	m, first := s.machines[i], 0
	if i > 0 && interchangeable(m, s.machines[i-1]) { // swapping the two gives an equivalent placement
		first = s.waveOf[i-1]
	}
	for w := first; w < min(used+1, len(s.waves)); w++ { // empty waves are equivalent, so only one is tried
		if s.waves[w].violatedLimit(m).limit != 0 {
			continue
		}
		s.waves[w].add(m)
		s.waveOf[i] = w
		if s.place(i+1, max(used, w+1)) {
			return true
		}
		s.waves[w].remove(m)
	}
	return false
}

// exceedsCapacity reports whether the machines from index i on weigh more than the waves have left.
func (s *waveSearch) exceedsCapacity(i int) bool {
	left := 0.0
	for _, wave := range s.waves {
		if free := s.capacity - wave.missing; free >= s.leastWeight[i] {
			left += free
		}
	}
	return left < s.restWeight[i]
}

func (s *waveSearch) result() [][]*Machine {
	found := make([][]*Machine, len(s.waves))
	for i, w := range s.waveOf {
		found[w] = append(found[w], s.machines[i])
	}
	return slices.DeleteFunc(found, func(w []*Machine) bool { return len(w) == 0 })
}

// interchangeable reports whether two machines are equivalent under every limit.
func interchangeable(a, b *Machine) bool {
	return a.ShardSet == b.ShardSet && a.Weight == b.Weight && a.zoneIndex == b.zoneIndex && a.Healthy == b.Healthy
}
