// Package workplan measures the maintenance plans of internal/maintenance over random fleets: the number of waves against the lower
// bound, the time to compute a plan, and how many fewer waves it has than plans of one machine at a time or zone by zone under the same
// limits.
package workplan

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gullfall/internal/maintenance"
)

// Row is the result for the fleets of one size.
type Row struct {
	Machines   int     `json:"machines"`
	Fleets     int     `json:"fleets"`
	Waves      float64 `json:"waves"`        // mean
	Bound      float64 `json:"bound"`        // mean lower bound of the number of waves
	WorstGap   float64 `json:"worst_gap"`    // waves/bound - 1 of the worst fleet
	Exact      int     `json:"exact"`        // fleets whose plan is proven to have the fewest waves
	PlanMS     float64 `json:"plan_ms"`      // longest time to compute a plan, in milliseconds
	OneByOne   float64 `json:"one_by_one"`   // mean waves with one machine at a time
	ZoneByZone float64 `json:"zone_by_zone"` // mean waves by zoneByZone
	Sooner     float64 `json:"sooner"`       // ZoneByZone / Waves
	Broken     int     `json:"broken"`       // plans that break a limit
}

// zoneCount is the number of zones of each fleet.
const zoneCount = 3

// randomFleet returns a fleet, its limits, and its machines' ids in random order. Each shard is on three adjacent shard sets; machines
// of three weights are spread over shard sets and zones, and on average one in thirty is unhealthy.
func randomFleet(n int, random *rand.Rand) (*maintenance.Fleet, maintenance.Limits, []string, error) {
	shardSets := max(4, n/6)
	var list []maintenance.Machine
	var ids []string
	busy := 0.2 + 0.4*random.Float64()
	for i := range n {
		m := maintenance.Machine{ID: fmt.Sprint("m", i), Addr: fmt.Sprint("m", i), ShardSet: i % shardSets, Zone: string(rune('a' + (i/shardSets+i)%zoneCount)),
			Weight: []float64{1, 1, 2, 0.7}[random.IntN(4)], Serving: true, Healthy: random.IntN(30) > 0, Utilization: busy * (0.8 + 0.4*random.Float64()), Started: 1}
		list, ids = append(list, m), append(ids, m.ID)
	}
	random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	f, err := maintenance.NewFleet(maintenance.Layout{ShardSets: shardSets, Shards: shardSets, Reach: 3}, list)
	return f, maintenance.Limits{Floor: 1 + int((0.3+0.3*random.Float64())*float64(3*(n/shardSets))), Share: 0.25 + 0.25*random.Float64(), ZoneShare: 0.5, Room: 0.85}, ids, err
}

// Measure plans maintenance of random fleets of one size. It returns an error if no machine of a fleet can be taken out.
func Measure(machines, fleets int, seed uint64) (r Row, err error) {
	r.Machines, r.Fleets = machines, fleets
	random := rand.New(rand.NewPCG(seed, uint64(machines)))
	for range fleets {
		f, l, ids, err := randomFleet(machines, random)
		if err != nil {
			return r, err
		}
		begun := time.Now()
		p := f.Plan(ids, l, seed)
		r.PlanMS = max(r.PlanMS, float64(time.Since(begun).Microseconds())/1000)
		if len(p.Waves) == 0 {
			return r, fmt.Errorf("none of %d machines can be taken out: %v", machines, p.Refused[0])
		}
		if f.CheckWaves(p.Waves, l) != nil {
			r.Broken++
		}
		var machineIDs []string
		for _, w := range p.Waves {
			machineIDs = append(machineIDs, w...)
		}
		byZone := zoneByZone(f, l, machineIDs)
		if f.CheckWaves(byZone, l) != nil {
			r.Broken++
		}
		r.Waves += float64(len(p.Waves)) / float64(fleets)
		r.Bound += float64(p.Bound) / float64(fleets)
		r.OneByOne += float64(len(machineIDs)) / float64(fleets)
		r.ZoneByZone += float64(len(byZone)) / float64(fleets)
		r.WorstGap = max(r.WorstGap, float64(len(p.Waves))/float64(p.Bound)-1)
		if p.Exact {
			r.Exact++
		}
	}
	r.Sooner = r.ZoneByZone / r.Waves
	return r, nil
}

// zoneByZone returns the plan that an operator would make by hand: one zone after the other, the machines of each in the order of their
// ids, and each wave extended as long as the limits allow.
func zoneByZone(f *maintenance.Fleet, l maintenance.Limits, ids []string) (waves [][]string) {
	ids = slices.Clone(ids)
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(f.Machine(a).Zone, f.Machine(b).Zone), cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
	})
	var wave []string
	for _, id := range ids {
		if len(wave) > 0 && (f.Machine(wave[0]).Zone != f.Machine(id).Zone || f.CheckWaves([][]string{append(slices.Clip(wave), id)}, l) != nil) {
			waves, wave = append(waves, wave), nil
		}
		wave = append(wave, id)
	}
	return append(waves, wave)
}
