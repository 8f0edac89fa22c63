package model

import (
	"time"

	"gullfall/aggregator"
)

// Config describes a simulated fleet, its load and its faults.
type Config struct {
	Coordinators int
	Zones        []string
	NodesPerZone int           // data nodes in each zone
	Cores        int           // processors of each data node
	Rate         float64       // queries a second at each coordinator
	Parts        int           // parts of each query; there are as many shards as data nodes in a zone
	Work         time.Duration // median processing time of a part on a data node that has warmed up
	NetworkDelay time.Duration // one-way network delay between any two processes
	ListLag      time.Duration // mean delay until a coordinator learns of a change of the endpoint list
	Duration     time.Duration // time during which queries arrive
	Seed         uint64

	TrackZones   bool // coordinators track the health of whole zones (internal/zones)
	Gossip       bool // each coordinator gossips its observations once a GossipPeriod
	GossipPeriod time.Duration

	Faults []Fault
}

// Fault is one injected fault. Its times are relative to the start of the day.
type Fault struct {
	At, Until time.Duration
	Zone      string // this zone fails; its data nodes return at Until and warm up
	Silent    bool   // requests to the failed zone get no answer; otherwise connections are refused
	Node      int    // if Zone is empty: this data node drains, and a newly started one replaces it at Until
	Restart   int    // if above 0: coordinator Restart-1 restarts at At and knows only the endpoint list
}

// Figures are the results of a simulated day.
type Figures struct {
	Arrived            int       `json:"asked"`     // queries that arrived
	Served             float64   `json:"served"`    // share of queries answered completely within their latency objective
	Late               int       `json:"late"`      // queries answered completely after their latency objective
	Incomplete         int       `json:"refused"`   // queries that were rejected, failed or were answered partially
	Lost               int       `json:"lost"`      // queries without a final answer by their deadline
	Overloaded         int       `json:"fell"`      // data nodes that failed because of overload during warm-up
	SentToDown         int       `json:"gone"`      // attempts sent to data nodes that were down
	SentAfterGrace     int       `json:"after"`     // attempts sent to a draining data node after its grace period
	ConcurrentAttempts int       `json:"twins"`     // attempts sent while another attempt of the same part was in flight
	ServedOverTime     []float64 `json:"over_time"` // Served for each half second, by time of arrival
	Attempts           float64   `json:"attempts"`  // mean number of attempts for each query
}

const (
	tick             = 10 * time.Millisecond
	latencyObjective = time.Second
	deadline         = 2 * time.Second
	drainGrace       = 2 * time.Second
	warmupTime       = 8 * time.Second
	initialCapacity  = 0.25 // share of its full capacity that a newly started data node has
	overloadMultiple = 2.5  // a warming data node fails if the work of one second exceeds its capacity by this factor
	sliceLength      = 500 * time.Millisecond
)

// settings returns the aggregator settings, which are the same for all coordinators.
func (c *Config) settings() aggregator.Settings {
	return aggregator.Settings{Aggregators: c.Coordinators, Tick: tick, ShardSets: c.NodesPerZone, Shards: c.NodesPerZone, Reach: 1,
		Classes: []aggregator.Class{{Name: "lookup", LatencyObjective: latencyObjective, Deadline: deadline, Priority: 1, LateShare: 0.3, CompleteShare: 1, MinShare: 1}},
		Rules:   aggregator.Rules{DrainGrace: drainGrace, OverloadMultiple: overloadMultiple, OverloadWindow: time.Second, InitialCapacity: initialCapacity, WarmupTime: warmupTime},
		Limits:  aggregator.Limits{MaxAttempts: 3, MaxBatch: 1, CanCancel: true, Probes: true, SendRetryAfter: true, MaxRetryAfter: 2 * time.Second}}
}
