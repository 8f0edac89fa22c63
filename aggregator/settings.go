package aggregator

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Effect says what harm repeating a part of a class does.
type Effect uint8

// The effects.
const (
	Safe   Effect = iota // idempotent: may be repeated freely
	Keyed                // data nodes drop a repeat for Class.DedupWindow
	Unsafe               // must not run twice
)

var effectNames = [...]string{
	Safe:   "safe",
	Keyed:  "keyed",
	Unsafe: "unsafe",
}

func (e Effect) String() string { return valueName("Effect", effectNames[:], int(e)) }

// Class is one class of query. Shares are of 1.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer within it earns the full priority
	Deadline         time.Duration // how long the client waits, over all its retries
	DedupWindow      time.Duration // Keyed only: how long a repeat is dropped, from the first send that may have run
	Effect           Effect
	Priority         float64 // weight of an answer
	LateShare        float64 // share of the priority that an answer after the objective earns
	CompleteShare    float64 // share of the parts' weight that makes an answer complete
	MinShare         float64 // smallest share of the weight that may be answered
	PartialShare     float64 // share of the priority that a partial answer earns, times its share of CompleteShare
	FetchParts       int     // parts of a second phase, which only the simulator has: its first answer opens it; 0 means one phase
}

// Tenant is a customer with a quota.
type Tenant struct {
	Name string
	Rate float64 // queries a second within its quota, over all aggregators
}

// Limits is what the deployment permits. The zero value of a permission means that it is not given.
type Limits struct {
	MaxAttempts    int           // most attempts of a part, the first included; below 1 means 1
	MaxOpen        int           // queries and parts open at once; 0 means no limit
	MaxBatch       int           // most parts in a call; below 1 means 1
	CanCancel      bool          // attempts may be cancelled
	Hedging        bool          // a part may have two attempts open
	Probes         bool          // replicas may be probed
	Gossip         bool          // aggregators may send each other messages
	SendRetryAfter bool          // a rejection tells the client when to retry
	MaxRetryAfter  time.Duration // the latest time that a rejection tells
	ConnectTimeout time.Duration // after which a connection that is not up counts as failed
	ConnIdle       time.Duration // idle connections are closed after it; 0 where not known
}

// Rules holds the figures of the rules that the operators set. The zero value of a figure means that its rule is off.
type Rules struct {
	DrainGrace       time.Duration // how soon after a replica was listed as draining nothing more may be sent to it
	OverloadMultiple float64       // work beyond this multiple of its capacity overloads a replica in slow start
	OverloadWindow   time.Duration // over which time OverloadMultiple counts
	InitialCapacity  float64       // capacity of a replica as it starts, as a share of 1
	WarmupTime       time.Duration // how long slow start lasts
	RetryWindow      time.Duration // over which time the ratio of retries holds; 0 means no ratio
	RetryFloor       float64       // retries in RetryWindow that are always allowed
	RetryRatio       float64       // further retries for each query or part taken in
	PollInterval     time.Duration // within it the endpoint list must be polled
}

// Settings is the configuration of an aggregator. The zero value of a feature means that it is off.
type Settings struct {
	Zone            string        // of this aggregator
	Aggregators     int           // how many aggregators share the fleet; below 1 means 1
	Tick            time.Duration // shortest time between rounds; below 1 ms means 1 ms
	Classes         []Class
	Tenants         []Tenant
	OverQuotaFactor float64 // what the priority of a query over its tenant's quota is multiplied by
	PriorityPerWork bool    // priorities are stated per work, else for a whole query
	ShardSets       int     // shard s is held by the shard sets s to s+Reach-1, modulo ShardSets
	Shards          int
	Reach           int
	CallCost        time.Duration // work of a call beside that of its parts; 0 means that calls are not shared
	KeyCaches       bool          // a replica serves a key that it has just served with less work
	LateFailPrice   float64
	PollList        bool // the endpoint list must be polled
	Limits          Limits
	Rules           Rules
}

// SettingsError reports settings that can't be served.
type SettingsError struct {
	Settings string // the names of the settings; Cells is Settings.ShardSets, as the simulator's replies have it
	Problem  string
}

func (e *SettingsError) Error() string { return e.Settings + ": " + e.Problem }

// validate returns a *SettingsError for the first settings that can't be served.
func (set *Settings) validate() error {
	if set.ShardSets < 1 || set.Shards < 1 {
		return &SettingsError{"Cells, Shards", fmt.Sprintf("%d, %d: both must be above 0", set.ShardSets, set.Shards)}
	}
	if set.Reach < 1 || set.Reach > set.ShardSets {
		return &SettingsError{"Reach", fmt.Sprintf("%d is not within 1 and Cells (%d)", set.Reach, set.ShardSets)}
	}
	if len(set.Classes) == 0 {
		return &SettingsError{"Classes", "none"}
	}
	for i := range set.Classes {
		if !set.Classes[i].valid() {
			return &SettingsError{fmt.Sprintf("Classes[%d]", i), "a figure is negative, not finite or missing"}
		}
	}
	r, l := &set.Rules, &set.Limits
	shortest := min(r.DrainGrace, r.OverloadWindow, r.WarmupTime, r.RetryWindow, r.PollInterval, l.MaxRetryAfter, set.Tick, set.CallCost)
	if shortest < 0 || !finite(r.OverloadMultiple, r.InitialCapacity, r.RetryFloor, r.RetryRatio, set.OverQuotaFactor) {
		return &SettingsError{"Rules, Limits", "a figure is negative or not finite"}
	}
	return nil
}

func (c *Class) valid() bool {
	return c.LatencyObjective > 0 && c.Deadline > 0 && c.DedupWindow >= 0 && c.FetchParts >= 0 &&
		finite(c.Priority, c.LateShare, c.CompleteShare, c.MinShare, c.PartialShare)
}

// finite tells whether all figures are 0 or above and finite.
func finite(figures ...float64) bool {
	return !slices.ContainsFunc(figures, func(x float64) bool { return !(x >= 0) || math.IsInf(x, 0) })
}

// maxObjective is the longest latency objective of any class.
func (a *Aggregator) maxObjective() (longest time.Duration) {
	for i := range a.settings.Classes {
		longest = max(longest, a.settings.Classes[i].LatencyObjective)
	}
	return longest
}
