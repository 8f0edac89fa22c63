package maintenance

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Plan is an order for taking machines out: waves of machines that may be out at the same time within the limits. It is computed
// for the current state of the fleet. In operation a machine is taken out as soon as the limits permit, in this order, so the
// work ends no later than it would wave by wave.
type Plan struct {
	Waves   [][]string
	Bound   int       // lower bound on the number of waves of any order
	Exact   bool      // the number of waves is minimal: Bound was reached, or all other orders were searched
	Refused []Refusal // machines that cannot be taken out at all
}

// Refusal is a machine that cannot be taken out, and the limit that prevents it.
type Refusal struct{ Machine, Why string }

const (
	maxExactMachines = 20        // largest number of machines for which all orders are searched
	maxSearchSteps   = 2_000_000 // largest number of calls of waveSearch.place in this search
	maxRestarts      = 24        // further orders to try with first fit; fewer for many machines
	maxPlacements    = 40_000    // machines placed over all shuffled orders among them
)

// Plan finds an order for the machines. Equal inputs give equal orders. For more than maxExactMachines machines its time is
// proportional to machines times waves, for each of at most maxRestarts further orders.
func (f *Fleet) Plan(ids []string, l Limits, seed uint64) Plan {
	list, refused := f.selectMachines(ids, l)
	p := Plan{Refused: refused}
	if len(list) == 0 {
		p.Exact = true
		return p
	}
	p.Bound = f.lowerBound(list, l)
	// Sort by zone, then lighter machines first, then by shard set, so that one zone is finished before the next begins.
	slices.SortFunc(list, func(a, b *Machine) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Weight, b.Weight), cmp.Compare(a.ShardSet%f.Reach, b.ShardSet%f.Reach), cmp.Compare(a.ShardSet, b.ShardSet), cmp.Compare(a.ID, b.ID))
	})
	best := f.improve(f.firstFit(list, l), list, l, p.Bound, seed)
	p.Exact = len(best) == p.Bound
	if !p.Exact && len(list) <= maxExactMachines {
		best, p.Exact = f.searchWaves(list, l, p.Bound, best)
	}
	// Sort the waves by the zone of their first machine, so that zones follow one another.
	slices.SortStableFunc(best, func(a, b []*Machine) int { return cmp.Compare(a[0].Zone, b[0].Zone) })
	p.Waves = machineIDs(best)
	if p.Exact {
		p.Bound = len(best)
	}
	return p
}

// selectMachines returns the machines with the given ids without duplicates, and refuses those that cannot be taken out even alone.
func (f *Fleet) selectMachines(ids []string, l Limits) (list []*Machine, refused []Refusal) {
	seen, empty := map[string]bool{}, f.newOutSet(l)
	for _, id := range ids {
		if seen[id] {
			continue
		}
		seen[id] = true
		m := f.byID[id]
		if m == nil {
			refused = append(refused, Refusal{id, "no data node of this name is listed"})
		} else if why := empty.violation(m); why != "" {
			refused = append(refused, Refusal{id, why})
		} else {
			list = append(list, m)
		}
	}
	return list, refused
}

// improve tries first fit with further orders until the bound is reached: two sorted ones, then shuffled ones.
func (f *Fleet) improve(best [][]*Machine, list []*Machine, l Limits, bound int, seed uint64) [][]*Machine {
	random := rand.New(rand.NewPCG(seed, 3))
	order := slices.Clone(list)
	for restart := 0; len(best) > bound && restart < maxRestarts && (restart+1)*len(list) <= maxPlacements+2*len(list); restart++ {
		switch restart {
		case 0: // replicas of a shard one after the other, across zones
			slices.SortFunc(order, func(a, b *Machine) int {
				return cmp.Or(cmp.Compare(a.ShardSet%f.Reach, b.ShardSet%f.Reach), cmp.Compare(a.ShardSet, b.ShardSet), cmp.Compare(a.ID, b.ID))
			})
		case 1: // first fit decreasing
			slices.SortFunc(order, func(a, b *Machine) int {
				return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.ShardSet, b.ShardSet), cmp.Compare(a.ID, b.ID))
			})
		default:
			random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		}
		if waves := f.firstFit(order, l); len(waves) < len(best) {
			best = waves
		}
	}
	return best
}

func machineIDs(waves [][]*Machine) (ids [][]string) {
	for _, w := range waves {
		var names []string
		for _, m := range w {
			names = append(names, m.ID)
		}
		ids = append(ids, names)
	}
	return ids
}

// lowerBound returns a lower bound on the number of waves of any order, from the limits on the replicas of a shard, on the weight
// that is out, and on the number of machines that are out at once.
func (f *Fleet) lowerBound(list []*Machine, l Limits) int {
	bound := max(1, f.boundByShards(list, l), f.boundByWeight(list, l))
	if l.AtOnce > 0 {
		bound = max(bound, ceilDiv(len(list), l.AtOnce))
	}
	return bound
}

// boundByShards returns the lower bound from the replicas of each shard.
func (f *Fleet) boundByShards(list []*Machine, l Limits) (bound int) {
	healthy, all := map[int]int{}, map[int]int{}
	for _, m := range list {
		for _, s := range f.shardsOf[m.ShardSet] {
			all[s]++
			if m.Healthy {
				healthy[s]++
			}
		}
	}
	for s, n := range all {
		if spare := f.healthy[s] - l.Floor; healthy[s] > 0 && spare > 0 {
			bound = max(bound, ceilDiv(healthy[s], spare))
		}
		if l.PerShard > 0 {
			bound = max(bound, ceilDiv(n, l.PerShard))
		}
	}
	return bound
}

// boundByWeight returns the lower bound from the weight of the fleet and of each zone.
func (f *Fleet) boundByWeight(list []*Machine, l Limits) (bound int) {
	total, zones := 0.0, map[int]float64{}
	for _, m := range list {
		if m.Healthy {
			total += m.Weight
			zones[m.zoneIndex] += m.Weight
		}
	}
	include := func(weight, perWave float64) {
		if weight > 0 && perWave > 0 {
			bound = max(bound, int(math.Ceil(weight/perWave-1e-6)))
		}
	}
	if l.Share > 0 {
		include(total, l.Share*f.totalWeight-f.missingWeight)
	}
	if l.ZoneShare > 0 {
		for z, weight := range zones {
			include(weight, l.ZoneShare*f.zones[z].total-f.zones[z].missing)
		}
	}
	if l.Room > 0 {
		include(total, f.totalWeight-f.missingWeight-f.load/l.Room)
	}
	return bound
}

func ceilDiv(n, divisor int) int { return (n + divisor - 1) / divisor }

// firstFit puts each machine into the first wave that it fits.
func (f *Fleet) firstFit(list []*Machine, l Limits) (waves [][]*Machine) {
	var sets []*outSet
	first := 0 // the waves before this index already have Limits.AtOnce machines
	for _, m := range list {
		i := first
		for ; i < len(sets); i++ {
			if sets[i].violatedLimit(m).limit == 0 {
				break
			}
			if i == first && l.AtOnce > 0 && sets[i].count >= l.AtOnce {
				first++
			}
		}
		if i == len(sets) {
			sets, waves = append(sets, f.newOutSet(l)), append(waves, nil)
		}
		sets[i].add(m)
		waves[i] = append(waves[i], m)
	}
	return waves
}

// CheckWaves returns an error that names the first wave that exceeds a limit, and the machine that does not fit it.
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
			o.add(m)
		}
	}
	return nil
}
