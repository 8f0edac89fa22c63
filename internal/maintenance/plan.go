package maintenance

// This file owns the order in which machines go: waves that may be out together, as few as can be found, and how few there
// can't be. It must never give an order of which a wave breaks a limit.
//
// The waves are those of a fleet as it stands; as it runs, a machine goes as soon as the limits let it, in this order, so that
// the fleet is done no later than wave by wave.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Plan is an order.
type Plan struct {
	Waves   [][]string
	Bound   int       // no order has fewer waves
	Exact   bool      // neither has any other than these: Bound was reached, or all others were tried
	Refused []Refusal // machines that can't go at all
}

// Refusal is a machine that can't go, and the limit that forbids it.
type Refusal struct{ Machine, Why string }

const (
	maxExactMachines = 20        // machines for which all orders are tried
	maxSearchNodes   = 2_000_000 // of that search
	maxRestarts      = 24        // orders tried beyond, seeded; fewer where they are long
	maxPlacements    = 40_000    // machines placed in all of them
)

// Plan finds an order for machines. Equal inputs give equal orders. Beyond 20 machines its time grows with the machines
// times the waves of each of at most 24 tries.
func (f *Fleet) Plan(ids []string, l Limits, seed uint64) Plan {
	var p Plan
	var list []*Machine
	seen, nobody := map[string]bool{}, f.newOutSet(l)
	for _, id := range ids {
		m := f.byID[id]
		switch {
		case seen[id]:
			continue
		case m == nil:
			p.Refused = append(p.Refused, Refusal{id, "no data node of this name is listed"})
		default:
			if why := nobody.violation(m); why != "" {
				p.Refused = append(p.Refused, Refusal{id, why})
			} else {
				list = append(list, m)
			}
		}
		seen[id] = true
	}
	if len(list) == 0 {
		p.Exact = true
		return p
	}
	p.Bound = f.lowerBound(list, l)
	// Machines of one zone and neighbouring cells first, the slow before the fast: a zone is done before the next is begun.
	slices.SortFunc(list, func(a, b *Machine) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Weight, b.Weight), cmp.Compare(a.ShardSet%f.Reach, b.ShardSet%f.Reach), cmp.Compare(a.ShardSet, b.ShardSet), cmp.Compare(a.ID, b.ID))
	})
	best := f.firstFit(list, l)
	chance := rand.New(rand.NewPCG(seed, 3))
	order := slices.Clone(list)
	for try := 0; len(best) > p.Bound && try < maxRestarts && (try+1)*len(list) <= maxPlacements+2*len(list); try++ {
		switch try {
		case 0: // replicas of a shard behind each other, over all zones
			slices.SortFunc(order, func(a, b *Machine) int {
				return cmp.Or(cmp.Compare(a.ShardSet%f.Reach, b.ShardSet%f.Reach), cmp.Compare(a.ShardSet, b.ShardSet), cmp.Compare(a.ID, b.ID))
			})
		case 1: // the heavy first, as bins are packed
			slices.SortFunc(order, func(a, b *Machine) int {
				return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.ShardSet, b.ShardSet), cmp.Compare(a.ID, b.ID))
			})
		default:
			chance.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		}
		if waves := f.firstFit(order, l); len(waves) < len(best) {
			best = waves
		}
	}
	p.Exact = len(best) == p.Bound
	if !p.Exact && len(list) <= maxExactMachines {
		best, p.Exact = f.search(list, l, p.Bound, best)
	}
	// One zone after the other, as far as waves are of one: by the zone of each wave's first.
	slices.SortStableFunc(best, func(a, b []*Machine) int { return cmp.Compare(a[0].Zone, b[0].Zone) })
	for _, w := range best {
		var names []string
		for _, m := range w {
			names = append(names, m.ID)
		}
		p.Waves = append(p.Waves, names)
	}
	if p.Exact {
		p.Bound = len(best)
	}
	return p
}

// bound is how many waves there are at least: by each shard, by the number, and by the weights of the fleet and each zone.
func (f *Fleet) lowerBound(list []*Machine, l Limits) int {
	most, sound, all := 1, map[int]int{}, map[int]int{}
	weight, zones := 0.0, map[int]float64{}
	for _, m := range list {
		for _, s := range f.shardsOf[m.ShardSet] {
			all[s]++
			if m.Healthy {
				sound[s]++
			}
		}
		if m.Healthy {
			weight += m.Weight
			zones[m.zoneIndex] += m.Weight
		}
	}
	for s, n := range all {
		if k := f.healthy[s] - l.Floor; sound[s] > 0 && k > 0 {
			most = max(most, (sound[s]+k-1)/k)
		}
		if l.PerShard > 0 {
			most = max(most, (n+l.PerShard-1)/l.PerShard)
		}
	}
	if l.AtOnce > 0 {
		most = max(most, (len(list)+l.AtOnce-1)/l.AtOnce)
	}
	by := func(weight, room float64) {
		if weight > 0 && room > 0 {
			most = max(most, int(math.Ceil(weight/room-1e-6)))
		}
	}
	if l.Share > 0 {
		by(weight, l.Share*f.totalWeight-f.missingWeight)
	}
	if l.ZoneShare > 0 {
		for z, w := range zones {
			by(w, l.ZoneShare*f.zones[z].total-f.zones[z].missing)
		}
	}
	if l.Room > 0 {
		by(weight, f.totalWeight-f.missingWeight-f.load/l.Room)
	}
	return most
}

// firstFit puts each machine into the first wave that it fits into.
func (f *Fleet) firstFit(list []*Machine, l Limits) (waves [][]*Machine) {
	var sets []*outSet
	first := 0 // waves before it are full by number
	for _, m := range list {
		i := first
		for ; i < len(sets); i++ {
			if sets[i].violated(m).limit == 0 {
				break
			}
			if i == first && l.AtOnce > 0 && sets[i].count >= l.AtOnce {
				first++
			}
		}
		if i == len(sets) {
			sets, waves = append(sets, f.newOutSet(l)), append(waves, nil)
		}
		sets[i].put(m, 1)
		waves[i] = append(waves[i], m)
	}
	return waves
}

// search tries all orders of fewer waves than the best, by branch and bound, and tells whether it got through.
func (f *Fleet) search(list []*Machine, l Limits, bound int, best [][]*Machine) ([][]*Machine, bool) {
	// Who shares most with others first: dead ends are met early. Machines that are alike stand together.
	list = slices.Clone(list)
	shares := map[*Machine]int{}
	for _, m := range list {
		for _, o := range list {
			if d := (m.ShardSet - o.ShardSet + f.ShardSets) % f.ShardSets; d < f.Reach || f.ShardSets-d < f.Reach {
				shares[m]++
			}
		}
	}
	alike := func(a, b *Machine) bool {
		return a.ShardSet == b.ShardSet && a.Weight == b.Weight && a.zoneIndex == b.zoneIndex && a.Healthy == b.Healthy
	}
	slices.SortStableFunc(list, func(a, b *Machine) int {
		return cmp.Or(cmp.Compare(shares[b], shares[a]), cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.ShardSet, b.ShardSet), cmp.Compare(a.zoneIndex, b.zoneIndex))
	})
	// What is still to be placed must find room by the fleet's share: its weight, and the least of a machine from each place on.
	room := math.Inf(1)
	if l.Share > 0 {
		room = l.Share*f.totalWeight - f.missingWeight + weightTolerance
	}
	rest, least := make([]float64, len(list)+1), make([]float64, len(list)+1)
	least[len(list)] = math.Inf(1)
	for i, m := range slices.Backward(list) {
		if rest[i], least[i] = rest[i+1], least[i+1]; m.Healthy {
			rest[i], least[i] = rest[i]+m.Weight, min(least[i], m.Weight)
		}
	}
	nodes := 0
	for k := bound; k < len(best); k++ {
		sets := make([]*outSet, k)
		for i := range sets {
			sets[i] = f.newOutSet(l)
		}
		hopeless := func(i int) bool {
			left := 0.0
			for _, o := range sets {
				if free := room - o.missing; free >= least[i] {
					left += free
				}
			}
			return left < rest[i]
		}
		where := make([]int, len(list))
		var place func(i, used int) bool
		place = func(i, used int) bool {
			if i == len(list) {
				return true
			}
			if nodes++; nodes > maxSearchNodes || hopeless(i) {
				return false
			}
			first := 0
			if i > 0 && alike(list[i], list[i-1]) { // which of two that are alike goes sooner is one
				first = where[i-1]
			}
			for w := first; w < min(used+1, k); w++ { // empty waves are alike
				if sets[w].violated(list[i]).limit != 0 {
					continue
				}
				sets[w].put(list[i], 1)
				where[i] = w
				if place(i+1, max(used, w+1)) {
					return true
				}
				sets[w].put(list[i], -1)
			}
			return false
		}
		if place(0, 0) {
			found := make([][]*Machine, k)
			for i, w := range where {
				found[w] = append(found[w], list[i])
			}
			return slices.DeleteFunc(found, func(w []*Machine) bool { return len(w) == 0 }), nodes <= maxSearchNodes
		}
		if nodes > maxSearchNodes {
			return best, false
		}
	}
	return best, true
}

// Breaks tells which wave of an order breaks a limit; nil for none.
func (f *Fleet) CheckWaves(waves [][]string, l Limits) error {
	for i, w := range waves {
		o := f.newOutSet(l)
		for _, id := range w {
			m := f.byID[id]
			if m == nil {
				return fmt.Errorf("wave %d: no machine %s", i, id)
			}
			if why := o.violation(m); why != "" {
				return fmt.Errorf("wave %d: %s: %s", i, id, why)
			}
			o.put(m, 1)
		}
	}
	return nil
}
