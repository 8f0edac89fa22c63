package maintenance

import (
	"fmt"
	"slices"
	"time"
)

// Layout defines which shard sets hold a replica of shard s: s, s+1, ... s+Reach-1, modulo ShardSets.
type Layout struct{ ShardSets, Shards, Reach int }

// Machine is a data node as one coordinator sees it.
type Machine struct {
	ID, Addr, Zone string
	ShardSet       int
	Weight         float64
	Serving        bool    // listed as serving
	Healthy        bool    // serving, warmed up since its last start or return, not suspect, and not in a failing zone
	Utilization    float64 // utilization from 0 to 1; 0 if unknown
	Started        int64   // start of its process in Unix milliseconds; 0 if unknown
	zoneIndex      int     // index into Fleet.zones
}

// Limits bound how many machines may be unavailable at the same time. A machine counts as in work from its announcement until it is done
// or abandoned. The limits are hard: no plan and no move exceeds one. A data node that is warming up, suspect or in a failing zone
// does not count as a replica; otherwise a shard could be left with replicas that do not answer.
type Limits struct {
	Floor     int     // healthy replicas not in work that each shard keeps; at least 1
	PerShard  int     // replicas of one shard in work at the same time; 0 for no limit
	AtOnce    int     // machines in work at the same time; 0 for no limit
	Share     float64 // share of the fleet's weight that may be in work or unhealthy; 0 for no limit
	ZoneShare float64 // share of one zone's weight that may be in work or unhealthy; 0 for no limit
	Room      float64 // highest allowed utilization of the remaining machines; 0 for no limit
}

// Check returns an error if a limit is out of range.
func (l Limits) Check() error {
	if l.Floor < 1 || l.PerShard < 0 || l.AtOnce < 0 || !(l.Share >= 0 && l.Share < 1) || !(l.ZoneShare >= 0 && l.ZoneShare <= 1) || !(l.Room >= 0 && l.Room <= 1) {
		return fmt.Errorf("maintenance: invalid limits %+v: Floor must be at least 1, no value may be negative, Share must be below 1, ZoneShare and Room at most 1", l)
	}
	return nil
}

// Fleet is an immutable snapshot of all machines.
type Fleet struct {
	Layout
	Machines      []Machine
	byID          map[string]*Machine
	shardsOf      [][]int // shards that each shard set holds
	healthy       []int   // number of healthy replicas, by shard
	totalWeight   float64
	missingWeight float64 // weight of the machines that are not healthy
	zones         []zoneWeights
	load          float64 // sum of weight times utilization over the healthy machines
}

// zoneWeights holds the total weight of one zone and the weight of its unhealthy machines.
type zoneWeights struct{ total, missing float64 }

// NewFleet indexes the machines. Time and memory are linear in the number of machines and in shards times reach.
func NewFleet(layout Layout, machines []Machine) (*Fleet, error) {
	if layout.ShardSets < 1 || layout.Shards < 1 || layout.Reach < 1 || layout.Reach > layout.ShardSets {
		return nil, fmt.Errorf("maintenance: %d cells, %d shards, reach %d: each is 1 at least, the reach no more than the cells", layout.ShardSets, layout.Shards, layout.Reach)
	}
	f := &Fleet{Layout: layout, Machines: machines, byID: map[string]*Machine{}, shardsOf: make([][]int, layout.ShardSets), healthy: make([]int, layout.Shards)}
	zones := map[string]int{}
	for s := range layout.Shards {
		for i := range layout.Reach {
			set := (s + i) % layout.ShardSets
			f.shardsOf[set] = append(f.shardsOf[set], s)
		}
	}
	for i := range machines {
		m := &machines[i]
		if m.ShardSet < 0 || m.ShardSet >= layout.ShardSets {
			return nil, fmt.Errorf("maintenance: machine %s is of cell %d; there are %d", m.ID, m.ShardSet, layout.ShardSets)
		}
		f.byID[m.ID] = m
		index, known := zones[m.Zone]
		if !known {
			index = len(f.zones)
			zones[m.Zone], f.zones = index, append(f.zones, zoneWeights{})
		}
		m.zoneIndex = index
		z := &f.zones[index]
		f.totalWeight += m.Weight
		z.total += m.Weight
		if !m.Healthy {
			f.missingWeight += m.Weight
			z.missing += m.Weight
			continue
		}
		f.load += m.Weight * m.Utilization
		for _, s := range f.shardsOf[m.ShardSet] {
			f.healthy[s]++
		}
	}
	return f, nil
}

// Machine returns the machine with the given id, or nil if there is none.
func (f *Fleet) Machine(id string) *Machine { return f.byID[id] }

// outSet is a set of machines that are out at the same time, with the totals that are checked against the limits.
type outSet struct {
	fleet         *Fleet
	limits        Limits
	count         int
	missing       float64   // weight of the machines that were healthy
	missingByZone []float64 // the same, by zone
	inWork        []int     // number of machines, by shard
	healthyInWork []int     // number of machines that were healthy, by shard
}

func (f *Fleet) newOutSet(l Limits) *outSet {
	return &outSet{fleet: f, limits: l, missingByZone: make([]float64, len(f.zones)), inWork: make([]int, f.Shards), healthyInWork: make([]int, f.Shards)}
}

// weightTolerance absorbs rounding errors in summed weights.
const weightTolerance = 1e-9

// limitViolation is the limit that a machine would exceed.
type limitViolation struct {
	limit uint8 // 0 for none
	shard int   // set for limitFloor and limitPerShard
}

const (
	limitAtOnce = 1 + iota
	limitFloor
	limitPerShard
	limitShare
	limitZoneShare
	limitUtilization
)

// violatedLimit returns the limit that a machine would exceed together with the machines of the set. It is monotone: a machine that
// does not fit a set does not fit any superset.
func (o *outSet) violatedLimit(m *Machine) limitViolation {
	if o.limits.AtOnce > 0 && o.count >= o.limits.AtOnce {
		return limitViolation{limitAtOnce, 0}
	}
	for _, s := range o.fleet.shardsOf[m.ShardSet] {
		// Taking out an unhealthy machine removes no replica, but below the floor it may be the replica that recovers first.
		if left := o.fleet.healthy[s] - o.healthyInWork[s]; left < o.limits.Floor || m.Healthy && left == o.limits.Floor {
			return limitViolation{limitFloor, s}
		}
		if o.limits.PerShard > 0 && o.inWork[s] >= o.limits.PerShard {
			return limitViolation{limitPerShard, s}
		}
	}
	if !m.Healthy {
		return limitViolation{}
	}
	if o.limits.Share > 0 && o.fleet.missingWeight+o.missing+m.Weight > o.limits.Share*o.fleet.totalWeight+weightTolerance {
		return limitViolation{limitShare, 0}
	}
	if z := &o.fleet.zones[m.zoneIndex]; o.limits.ZoneShare > 0 && z.missing+o.missingByZone[m.zoneIndex]+m.Weight > o.limits.ZoneShare*z.total+weightTolerance {
		return limitViolation{limitZoneShare, 0}
	}
	if o.limits.Room > 0 && o.fleet.load > o.limits.Room*(o.fleet.totalWeight-o.fleet.missingWeight-o.missing-m.Weight)+weightTolerance {
		return limitViolation{limitUtilization, 0}
	}
	return limitViolation{}
}

// violation describes the limit that violated returns; it is empty if the machine fits.
func (o *outSet) violation(m *Machine) string {
	h := o.violatedLimit(m)
	switch h.limit {
	case limitAtOnce:
		return fmt.Sprintf("%d machines are in work, as many as may be at once", o.count)
	case limitFloor:
		return fmt.Sprintf("shard %d has %d sound replicas and keeps %d", h.shard, o.fleet.healthy[h.shard]-o.healthyInWork[h.shard], o.limits.Floor)
	case limitPerShard:
		return fmt.Sprintf("shard %d has %d replicas in work, as many as may be at once", h.shard, o.inWork[h.shard])
	case limitShare:
		return fmt.Sprintf("%.3g of the fleet's weight of %.3g would be missing; %.0f%% may be", o.fleet.missingWeight+o.missing+m.Weight, o.fleet.totalWeight, 100*o.limits.Share)
	case limitZoneShare:
		z := &o.fleet.zones[m.zoneIndex]
		return fmt.Sprintf("%.3g of zone %q's weight of %.3g would be missing; %.0f%% may be", z.missing+o.missingByZone[m.zoneIndex]+m.Weight, m.Zone, z.total, 100*o.limits.ZoneShare)
	case limitUtilization:
		left := o.fleet.totalWeight - o.fleet.missingWeight - o.missing - m.Weight
		return fmt.Sprintf("what remains would be %.0f%% busy; %.0f%% may be", 100*o.fleet.load/max(left, weightTolerance), 100*o.limits.Room)
	}
	return ""
}

// add counts a machine as out.
func (o *outSet) add(m *Machine) { o.change(m, 1) }

// remove undoes add.
func (o *outSet) remove(m *Machine) { o.change(m, -1) }

// change adds a machine to the totals if delta is 1, and subtracts it if delta is -1.
func (o *outSet) change(m *Machine, delta int) {
	o.count += delta
	for _, s := range o.fleet.shardsOf[m.ShardSet] {
		o.inWork[s] += delta
		if m.Healthy {
			o.healthyInWork[s] += delta
		}
	}
	if m.Healthy {
		o.missing += float64(delta) * m.Weight
		o.missingByZone[m.zoneIndex] += float64(delta) * m.Weight
	}
}

// ShardsBelowFloor returns the shards that have fewer healthy replicas than the floor when the given machines are out.
func (f *Fleet) ShardsBelowFloor(l Limits, ids []string) (shards []int) {
	o := f.newOutSet(l)
	for _, id := range ids {
		if m := f.byID[id]; m != nil {
			o.add(m)
		}
	}
	for s := range f.healthy {
		if f.healthy[s]-o.healthyInWork[s] < l.Floor {
			shards = append(shards, s)
		}
	}
	return shards
}

// DailyRange is a daily time range in the local time of the coordinator that makes the moves.
type DailyRange struct{ From, To time.Duration } // offsets from midnight; the range spans midnight if To is before From

// inHours reports whether a time is within one of the ranges.
func inHours(hours []DailyRange, wall time.Time) bool {
	at := time.Duration(wall.Hour())*time.Hour + time.Duration(wall.Minute())*time.Minute
	return slices.ContainsFunc(hours, func(h DailyRange) bool {
		if h.From <= h.To {
			return at >= h.From && at < h.To
		}
		return at >= h.From || at < h.To
	})
}
