package maintenance

import (
	"fmt"
	"slices"
	"time"
)

// Layout says which shard sets have a replica of shard s: s, s+1, ... s+Reach-1, modulo ShardSets.
type Layout struct{ ShardSets, Shards, Reach int }

// Machine is a data node as one coordinator sees it.
type Machine struct {
	ID, Addr, Zone string
	ShardSet       int
	Weight         float64
	Serving        bool    // listed as such
	Healthy        bool    // serving, warmed up since its start or its return, not suspect, its zone does not fail
	Util           float64 // utilization, 0 to 1; 0 for unknown
	Started        int64   // of its process, Unix milliseconds; 0 for unknown
	zoneIndex      int     // into Fleet.zones
}

// Limits bound what is out of the fleet at once. They are hard: no order and no move breaks one. A data node that warms up, is
// suspect or in a failing zone does not count as a replica: else a shard could be left to replicas that don't answer.
type Limits struct {
	Floor     int     // healthy replicas outside work that each shard keeps; 1 at least
	PerShard  int     // replicas of one shard in work at once; 0 for no limit
	AtOnce    int     // machines in work at once; 0 for no limit
	Share     float64 // of the fleet's weight that may be missing, in work or unhealthy; 0 for no limit
	ZoneShare float64 // of one zone's weight; 0 for no limit
	Room      float64 // utilization that the rest may have; 0 for no limit
}

// Check returns an error for values out of range.
func (l Limits) Check() error {
	if l.Floor < 1 || l.PerShard < 0 || l.AtOnce < 0 || !(l.Share >= 0 && l.Share < 1) || !(l.ZoneShare >= 0 && l.ZoneShare <= 1) || !(l.Room >= 0 && l.Room <= 1) {
		return fmt.Errorf("maintenance: %+v: Floor is 1 at least, no figure is negative, shares are 1 at most", l)
	}
	return nil
}

// Fleet is all machines at one moment. It does not change.
type Fleet struct {
	Layout
	Machines      []Machine
	byID          map[string]*Machine
	shardsOf      [][]int // by shard set
	healthy       []int   // healthy replicas by shard
	totalWeight   float64
	missingWeight float64 // of machines that are not healthy
	zones         []zoneWeights
	load          float64 // weight times utilization of the healthy ones
}

// zoneWeights are the weights of one zone.
type zoneWeights struct{ total, missing float64 }

// NewFleet indexes machines; memory and time are linear in them and in the shards times the reach.
func NewFleet(lay Layout, machines []Machine) (*Fleet, error) {
	if lay.ShardSets < 1 || lay.Shards < 1 || lay.Reach < 1 || lay.Reach > lay.ShardSets {
		return nil, fmt.Errorf("maintenance: %d cells, %d shards, reach %d: each is 1 at least, the reach no more than the cells", lay.ShardSets, lay.Shards, lay.Reach)
	}
	f := &Fleet{Layout: lay, Machines: machines, byID: map[string]*Machine{}, shardsOf: make([][]int, lay.ShardSets), healthy: make([]int, lay.Shards)}
	zones := map[string]int{}
	for s := range lay.Shards {
		for i := range lay.Reach {
			cell := (s + i) % lay.ShardSets
			f.shardsOf[cell] = append(f.shardsOf[cell], s)
		}
	}
	for i := range machines {
		m := &machines[i]
		if m.ShardSet < 0 || m.ShardSet >= lay.ShardSets {
			return nil, fmt.Errorf("maintenance: machine %s is of cell %d; there are %d", m.ID, m.ShardSet, lay.ShardSets)
		}
		f.byID[m.ID] = m
		at, known := zones[m.Zone]
		if !known {
			at = len(f.zones)
			zones[m.Zone], f.zones = at, append(f.zones, zoneWeights{})
		}
		m.zoneIndex = at
		z := &f.zones[at]
		f.totalWeight += m.Weight
		z.total += m.Weight
		if !m.Healthy {
			f.missingWeight += m.Weight
			z.missing += m.Weight
			continue
		}
		f.load += m.Weight * m.Util
		for _, s := range f.shardsOf[m.ShardSet] {
			f.healthy[s]++
		}
	}
	return f, nil
}

// Machine returns the machine with an id; nil for none.
func (f *Fleet) Machine(id string) *Machine { return f.byID[id] }

// outSet is a set of machines that are out together, and what they take from the limits.
type outSet struct {
	fleet         *Fleet
	limits        Limits
	count         int
	missing       float64   // weight of those that were healthy
	missingByZone []float64 // the same by zone
	inWork        []int     // machines by shard
	healthyInWork []int     // of them, those that were healthy
}

func (f *Fleet) newOutSet(l Limits) *outSet {
	return &outSet{fleet: f, limits: l, missingByZone: make([]float64, len(f.zones)), inWork: make([]int, f.Shards), healthyInWork: make([]int, f.Shards)}
}

// weightTolerance is the rounding error of summed weights.
const weightTolerance = 1e-9

// limitHit is the limit that a machine would break.
type limitHit struct {
	limit uint8 // 0 for none
	shard int   // of limitFloor and limitPerShard
}

const (
	limitAtOnce = 1 + iota
	limitFloor
	limitPerShard
	limitShare
	limitZoneShare
	limitRoom
)

// violated returns the limit that forbids a machine to be out beside those of the set. It is monotone: what does not fit beside a
// set does not fit beside a larger one.
func (o *outSet) violated(m *Machine) limitHit {
	if o.limits.AtOnce > 0 && o.count >= o.limits.AtOnce {
		return limitHit{limitAtOnce, 0}
	}
	for _, s := range o.fleet.shardsOf[m.ShardSet] {
		// An unhealthy machine takes no replica away. But where others are missing, it may be the one that recovers soonest.
		if left := o.fleet.healthy[s] - o.healthyInWork[s]; left < o.limits.Floor || m.Healthy && left == o.limits.Floor {
			return limitHit{limitFloor, s}
		}
		if o.limits.PerShard > 0 && o.inWork[s] >= o.limits.PerShard {
			return limitHit{limitPerShard, s}
		}
	}
	if !m.Healthy {
		return limitHit{}
	}
	if o.limits.Share > 0 && o.fleet.missingWeight+o.missing+m.Weight > o.limits.Share*o.fleet.totalWeight+weightTolerance {
		return limitHit{limitShare, 0}
	}
	if z := &o.fleet.zones[m.zoneIndex]; o.limits.ZoneShare > 0 && z.missing+o.missingByZone[m.zoneIndex]+m.Weight > o.limits.ZoneShare*z.total+weightTolerance {
		return limitHit{limitZoneShare, 0}
	}
	if o.limits.Room > 0 && o.fleet.load > o.limits.Room*(o.fleet.totalWeight-o.fleet.missingWeight-o.missing-m.Weight)+weightTolerance {
		return limitHit{limitRoom, 0}
	}
	return limitHit{}
}

// violation returns violated in words; empty where the machine fits.
func (o *outSet) violation(m *Machine) string {
	h := o.violated(m)
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
	case limitRoom:
		left := o.fleet.totalWeight - o.fleet.missingWeight - o.missing - m.Weight
		return fmt.Sprintf("what remains would be %.0f%% busy; %.0f%% may be", 100*o.fleet.load/max(left, weightTolerance), 100*o.limits.Room)
	}
	return ""
}

// add adds a machine.
func (o *outSet) add(m *Machine) { o.change(m, 1) }

// remove removes a machine that was added.
func (o *outSet) remove(m *Machine) { o.change(m, -1) }

// change counts a machine once more, or once less where by is -1.
func (o *outSet) change(m *Machine, by int) {
	o.count += by
	for _, s := range o.fleet.shardsOf[m.ShardSet] {
		o.inWork[s] += by
		if m.Healthy {
			o.healthyInWork[s] += by
		}
	}
	if m.Healthy {
		o.missing += float64(by) * m.Weight
		o.missingByZone[m.zoneIndex] += float64(by) * m.Weight
	}
}

// ShardsBelowFloor lists the shards that have fewer healthy replicas outside a set of machines than the floor.
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

// Hours are a time of each day, by the clock of the coordinator that makes the moves.
type Hours struct{ From, To time.Duration } // since midnight; past midnight where To is before From

// inHours tells whether a time is within some of the hours.
func inHours(hours []Hours, wall time.Time) bool {
	at := time.Duration(wall.Hour())*time.Hour + time.Duration(wall.Minute())*time.Minute
	return slices.ContainsFunc(hours, func(h Hours) bool {
		if h.From <= h.To {
			return at >= h.From && at < h.To
		}
		return at >= h.From || at < h.To
	})
}
