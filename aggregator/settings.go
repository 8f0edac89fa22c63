package aggregator

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Effect says what repeating a part does.
type Effect uint8

// The effects a class can have.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // holders drop a repeat for Class.Memory
	Unsafe               // must never run twice
)

// Class is one class of query.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer inside it earns the full worth
	Deadline         time.Duration // the client's patience over all its tries
	DedupWindow      time.Duration // Keyed only: how long a repeat is dropped, from the first send that may have run
	Effect           Effect
	Priority         float64
	LateShare        float64 // share of the worth after the aim
	CompleteShare    float64 // share of the weight that makes a whole answer
	MinShare         float64 // smallest share that may be answered
	PartialShare     float64 // share of the worth that a partial answer earns, times its share of the need
	FetchParts       int     // parts of the second step; 0 means one step
}

// Tenant is a customer and the rate within its share, over all aggregators.
type Tenant struct {
	Name string
	Rate float64
}

// Limits is what the deployment permits.
type Limits struct {
	MaxAttempts    int  // most attempts of a part
	MaxOpen        int  // queries and parts held at once; 0 means no limit
	MaxBatch       int  // most parts in a call
	CanCancel      bool // attempts may be cancelled
	Hedging        bool // a part may have two attempts out
	Probes         bool // replicas may be probed
	Gossip         bool // front nodes may send each other messages
	SendRetryAfter bool // clients hear a return time
	MaxRetryAfter  time.Duration
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // idle connections close after this; 0 where not known
}

// Rules holds the figures of the rules.
type Rules struct {
	DrainGrace       time.Duration
	OverloadMultiple float64 // a cold replica falls above this multiple of its capacity
	OverloadWindow   time.Duration
	InitialCapacity  float64 // capacity of a replica as it starts, as a share
	WarmupTime       time.Duration
	RetryWindow      time.Duration // 0 means further attempts are not rationed
	RetryFloor       float64
	RetryRatio       float64
	PollInterval     time.Duration
}

// Settings is all that an aggregator is told at start. The zero value of a feature means it is off.
type Settings struct {
	Zone            string
	Aggregators     int // how many front nodes share the fleet
	Tick            time.Duration
	Classes         []Class
	Tenants         []Tenant
	OverQuotaFactor float64
	PriorityPerWork bool
	ShardSets       int // shard s is held by cells s, s+1, ... s+Reach-1, modulo Cells
	Shards          int
	Reach           int
	CallCost        time.Duration
	KeyCaches       bool // a replica serves a key it has just served with less work
	LateFailPrice   float64
	PollList        bool // the list must be asked for
	Limits          Limits
	Rules           Rules
}

// check names the first figure that can't be served.
func (set Settings) validate() error {
	if set.ShardSets < 1 || set.Shards < 1 {
		//lint:ignore ST1005 the message begins with the name of the key
		return fmt.Errorf("Cells, Shards: %d, %d: both must be above 0", set.ShardSets, set.Shards)
	}
	if set.Reach < 1 || set.Reach > set.ShardSets {
		//lint:ignore ST1005 the message begins with the name of the key
		return fmt.Errorf("Reach: %d is not within 1 and Cells (%d)", set.Reach, set.ShardSets)
	}
	if len(set.Classes) == 0 {
		//lint:ignore ST1005 the message begins with the name of the key
		return errors.New("Classes: none")
	}
	bad := func(xs ...float64) bool {
		return slices.ContainsFunc(xs, func(x float64) bool { return !(x >= 0) || math.IsInf(x, 0) })
	}
	for i, c := range set.Classes {
		if c.LatencyObjective <= 0 || c.Deadline <= 0 || c.DedupWindow < 0 || c.FetchParts < 0 ||
			bad(c.Priority, c.LateShare, c.CompleteShare, c.MinShare, c.PartialShare) {
			//lint:ignore ST1005 the message begins with the name of the key
			return fmt.Errorf("Classes[%d]: a figure is negative, not finite or missing", i)
		}
	}
	r, l := set.Rules, set.Limits
	if min(r.DrainGrace, r.OverloadWindow, r.WarmupTime, r.RetryWindow, r.PollInterval, l.MaxRetryAfter, set.Tick,
		set.CallCost) < 0 || bad(r.OverloadMultiple, r.InitialCapacity, r.RetryFloor, r.RetryRatio, set.OverQuotaFactor) {
		return errors.New("Rules, Limits: a figure is negative or not finite")
	}
	return nil
}

// longAim is the longest aim of any class.
func (a *Aggregator) maxObjective() (aim time.Duration) {
	for _, c := range a.settings.Classes {
		aim = max(aim, c.LatencyObjective)
	}
	return aim
}
