package model

import (
	"time"

	"gullfall/aggregator"
)

// Config is a fleet and its day.
type Config struct {
	Coordinators int
	Zones        []string
	PerZone      int           // data nodes
	Cores        int           // of each
	Rate         float64       // queries a second at each coordinator
	Parts        int           // of a query; shards are as many as cells
	Work         time.Duration // of a part, at the median
	Way          time.Duration // one way between any two
	ListLag      time.Duration // until a change of the list is heard
	For          time.Duration
	Seed         uint64

	Verdicts bool // zones are left as a whole
	Share    bool // coordinators tell each other what they learn, each Period
	Period   time.Duration

	Faults []Fault
}

// Fault is what befalls the fleet.
type Fault struct {
	At, Until time.Duration
	Zone      string // is lost; it comes back cold
	Silent    bool   // what is sent there is lost, else refused
	Node      int    // without a zone: this data node drains, and a cold one is in its place at Until
	Restart   int    // above 0: coordinator Restart-1 starts anew at At and knows nothing but the list
}

// Figures are what came of a day.
type Figures struct {
	Asked    int       `json:"asked"`
	Served   float64   `json:"served"`    // share of queries answered whole within their aim
	Late     int       `json:"late"`      // answered whole, later
	Refused  int       `json:"refused"`   // or failed, or answered in part
	Lost     int       `json:"lost"`      // no final answer in its time
	Fell     int       `json:"fell"`      // cold data nodes pushed over
	Gone     int       `json:"gone"`      // attempts at what was lost
	After    int       `json:"after"`     // sent to a data node later than the grace after its drain was heard
	Twins    int       `json:"twins"`     // attempts of one part out together
	Over     []float64 `json:"over_time"` // Served by each half second of arrival
	Attempts float64   `json:"attempts"`  // sent for each query
}

const (
	tick  = 10 * time.Millisecond
	aim   = time.Second
	limit = 2 * time.Second
	grace = 2 * time.Second
	warm  = 8 * time.Second
	cold  = 0.25 // share of its capacity with which a data node starts
	falls = 2.5  // times of what it can do, for a second: then it falls over
	slice = 500 * time.Millisecond
)

// settings are what all coordinators are told.
func (c *Config) settings() aggregator.Settings {
	return aggregator.Settings{Aggregators: c.Coordinators, Tick: tick, ShardSets: c.PerZone, Shards: c.PerZone, Reach: 1,
		Classes: []aggregator.Class{{Name: "lookup", LatencyObjective: aim, Deadline: limit, Priority: 1, LateShare: 0.3, CompleteShare: 1, MinShare: 1}},
		Rules:   aggregator.Rules{DrainGrace: grace, OverloadMultiple: falls, OverloadWindow: time.Second, InitialCapacity: cold, WarmupTime: warm},
		Limits:  aggregator.Limits{MaxAttempts: 3, MaxBatch: 1, CanCancel: true, Probes: true, SendRetryAfter: true, MaxRetryAfter: 2 * time.Second}}
}
