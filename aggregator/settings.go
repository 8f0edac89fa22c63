package aggregator

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Effect is the harm done by running a part of a class more than once.
type Effect uint8

// Effects of a repeated part.
const (
	Safe   Effect = iota // idempotent: may be repeated freely
	Keyed                // data nodes drop repeats for Class.DedupWindow
	Unsafe               // must not run twice
)

var effectNames = [...]string{
	Safe:   "safe",
	Keyed:  "keyed",
	Unsafe: "unsafe",
}

func (e Effect) String() string { return valueName("Effect", effectNames[:], int(e)) }

// Class describes one class of query. Shares are fractions of 1.
type Class struct {
	Name             string
	LatencyObjective time.Duration // answers within it earn the full priority
	Deadline         time.Duration // how long the client waits, including all its retries
	DedupWindow      time.Duration // Keyed only: how long repeats are dropped, counted from the sending of the first attempt that may have run
	Effect           Effect
	Priority         float64 // value of a complete answer within the objective
	LateShare        float64 // share of Priority that an answer after the objective earns
	CompleteShare    float64 // share of the parts' weight that makes an answer complete
	MinShare         float64 // smallest share of the parts' weight that may be answered
	PartialShare     float64 // a partial answer of weight w earns Priority * PartialShare * w / CompleteShare
	SecondPhaseParts int     // maximum parts of a second phase, which only the simulator uses; 0 means one phase
}

// Tenant is a customer with a quota.
type Tenant struct {
	Name string
	Rate float64 // quota in queries per second, over all aggregators
}

// Limits holds what the deployment permits. The zero value of a permission denies it.
type Limits struct {
	MaxAttempts    int           // maximum attempts per part, the first included; below 1 means 1
	MaxOpen        int           // maximum number of open queries and parts together; 0 means no limit
	MaxBatch       int           // maximum parts per call; below 1 means 1
	CanCancel      bool          // attempts may be cancelled
	Hedging        bool          // a part may have two open attempts
	Probes         bool          // replicas may be probed
	Gossip         bool          // aggregators may send each other messages
	SendRetryAfter bool          // rejections tell the client when to retry
	MaxRetryAfter  time.Duration // upper bound of the retry time in a rejection
	ConnectTimeout time.Duration // time after which a connection that is not established counts as failed
	ConnIdle       time.Duration // time after which idle connections are closed; 0 if unknown
}

// Rules holds the values of the operators' rules. A zero value turns its rule off.
type Rules struct {
	DrainGrace       time.Duration // time after a replica was listed as draining from which nothing may be sent to it
	OverloadMultiple float64       // work above this multiple of its capacity overloads a replica in slow start
	OverloadWindow   time.Duration // time window in which OverloadMultiple applies
	InitialCapacity  float64       // capacity of a replica when it starts, as a fraction of 1
	WarmupTime       time.Duration // duration of slow start
	RetryWindow      time.Duration // sliding window in which RetryFloor and RetryRatio apply; 0 means no limit
	RetryFloor       float64       // retries per RetryWindow that are always allowed
	RetryRatio       float64       // further retries per accepted query or part
	PollInterval     time.Duration // the endpoint list must be polled at least this often
}

// Settings configures an aggregator. The zero value of a feature turns it off.
type Settings struct {
	Zone            string        // zone of this aggregator
	Aggregators     int           // number of coordinators that send to the fleet, each with one aggregator; below 1 means 1
	Tick            time.Duration // shortest time between rounds; below 1 ms means 1 ms
	Classes         []Class
	Tenants         []Tenant
	OverQuotaFactor float64 // factor on the priority of a query over its tenant's quota
	PriorityPerWork bool    // priorities are per unit of work, otherwise per query
	ShardSets       int     // number of shard sets; shard s is held by the sets s to s+Reach-1, modulo ShardSets
	Shards          int
	Reach           int           // number of shard sets that hold a shard
	CallCost        time.Duration // work of a call in addition to that of its parts; 0 means that parts do not share calls
	KeyCaches       bool          // replicas cache by Event.Key: a key served recently takes less work; not used by this package
	LateFailPrice   float64       // cost of failing a query late; not used by this package
	PollList        bool          // the endpoint list must be polled
	Limits          Limits
	Rules           Rules
}

// SettingsError reports invalid settings.
type SettingsError struct {
	Settings string // names of the settings; Settings.ShardSets is named Cells, as in the simulator's protocol
	Problem  string
}

func (e *SettingsError) Error() string { return e.Settings + ": " + e.Problem }

// validate returns a *SettingsError for the first invalid settings, or nil if all are valid.
func (set *Settings) validate() error {
	if set.ShardSets < 1 || set.Shards < 1 {
		return &SettingsError{"Cells, Shards", fmt.Sprintf("%d, %d: both must be above 0", set.ShardSets, set.Shards)}
	}
	if set.Reach < 1 || set.Reach > set.ShardSets {
		return &SettingsError{"Reach", fmt.Sprintf("%d is not between 1 and Cells (%d)", set.Reach, set.ShardSets)}
	}
	if len(set.Classes) == 0 {
		return &SettingsError{"Classes", "at least one class is required"}
	}
	for i := range set.Classes {
		if !set.Classes[i].valid() {
			return &SettingsError{fmt.Sprintf("Classes[%d]", i), "a value is negative, not finite or missing"}
		}
	}
	r, l := &set.Rules, &set.Limits
	shortest := min(r.DrainGrace, r.OverloadWindow, r.WarmupTime, r.RetryWindow, r.PollInterval, l.MaxRetryAfter, set.Tick, set.CallCost)
	if shortest < 0 || !nonNegativeFinite(r.OverloadMultiple, r.InitialCapacity, r.RetryFloor, r.RetryRatio, set.OverQuotaFactor) {
		return &SettingsError{"Rules, Limits", "a value is negative or not finite"}
	}
	return nil
}

// valid reports whether LatencyObjective and Deadline are above 0 and the other values are finite and at least 0.
func (c *Class) valid() bool {
	return c.LatencyObjective > 0 && c.Deadline > 0 && c.DedupWindow >= 0 && c.SecondPhaseParts >= 0 &&
		nonNegativeFinite(c.Priority, c.LateShare, c.CompleteShare, c.MinShare, c.PartialShare)
}

// nonNegativeFinite reports whether all values are finite and at least 0.
func nonNegativeFinite(values ...float64) bool {
	return !slices.ContainsFunc(values, func(x float64) bool { return !(x >= 0) || math.IsInf(x, 0) })
}

// maxObjective returns the longest latency objective of all classes.
func (a *Aggregator) maxObjective() (longest time.Duration) {
	for i := range a.settings.Classes {
		longest = max(longest, a.settings.Classes[i].LatencyObjective)
	}
	return longest
}
