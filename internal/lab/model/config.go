package model

import (
	"time"

	"gullfall/aggregator"
)

// Config is a fleet, its load and its faults.
type Config struct {
	Coordinators int
	Zones        []string
	NodesPerZone int           // data nodes
	Cores        int           // of each data node
	Rate         float64       // queries a second at each coordinator
	Parts        int           // of a query; there are as many shards as data nodes in a zone
	Work         time.Duration // of a part on a warm data node, the median
	NetworkDelay time.Duration // network delay, one way, between any two processes
	ListLag      time.Duration // from a change of the endpoint list until coordinators hear of it, the mean
	Duration     time.Duration
	Seed         uint64

	JudgeZones   bool // coordinators judge zones as a whole (internal/zones)
	Gossip       bool // coordinators gossip their observations, each once a GossipPeriod
	GossipPeriod time.Duration

	Faults []Fault
}

// Fault is one thing that goes wrong. Times count from the start of the day.
type Fault struct {
	At, Until time.Duration
	Zone      string // fails as a whole; its data nodes come back at Until and warm up
	Silent    bool   // what is sent to the zone gets no answer; else it is refused
	Node      int    // without a zone: this data node drains, and a newly started one replaces it at Until
	Restart   int    // above 0: coordinator Restart-1 restarts at At and knows nothing but the endpoint list
}

// Figures are the result of a day.
type Figures struct {
	Asked    int       `json:"asked"`
	Served   float64   `json:"served"`    // share of queries answered completely within their latency objective
	Late     int       `json:"late"`      // queries answered completely, but later
	Refused  int       `json:"refused"`   // queries rejected, failed or answered in part
	Lost     int       `json:"lost"`      // queries without a final answer by their deadline
	Fell     int       `json:"fell"`      // data nodes that were overloaded while they warmed up, and failed
	Gone     int       `json:"gone"`      // attempts sent to data nodes that were down
	After    int       `json:"after"`     // attempts sent to a draining data node after its grace
	Twins    int       `json:"twins"`     // attempts sent while another of the same part was in flight
	Over     []float64 `json:"over_time"` // Served, by half second of arrival
	Attempts float64   `json:"attempts"`  // sent for each query, the mean
}

const (
	tick             = 10 * time.Millisecond
	latencyObjective = time.Second
	deadline         = 2 * time.Second
	drainGrace       = 2 * time.Second
	warmupTime       = 8 * time.Second
	initialCapacity  = 0.25 // share of its capacity that a newly started data node has
	overloadMultiple = 2.5  // times its capacity of a second: a data node that is sent more while it warms up fails
	sliceLength      = 500 * time.Millisecond
)

// settings are those of all coordinators.
func (c *Config) settings() aggregator.Settings {
	return aggregator.Settings{Aggregators: c.Coordinators, Tick: tick, ShardSets: c.NodesPerZone, Shards: c.NodesPerZone, Reach: 1,
		Classes: []aggregator.Class{{Name: "lookup", LatencyObjective: latencyObjective, Deadline: deadline, Priority: 1, LateShare: 0.3, CompleteShare: 1, MinShare: 1}},
		Rules:   aggregator.Rules{DrainGrace: drainGrace, OverloadMultiple: overloadMultiple, OverloadWindow: time.Second, InitialCapacity: initialCapacity, WarmupTime: warmupTime},
		Limits:  aggregator.Limits{MaxAttempts: 3, MaxBatch: 1, CanCancel: true, Probes: true, SendRetryAfter: true, MaxRetryAfter: 2 * time.Second}}
}
