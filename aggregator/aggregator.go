// Package aggregator decides what the root node of a sharded search service does with its queries: which
// replica gets each part, when to try again, when to reply, and what to reject. Step is its only entry; each rule
// stands in a file of its own.
package aggregator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// randomStream selects the sequence of the random generator; the seed selects where it begins.
const randomStream = 0x9e3779b97f4a7c15

// Aggregator decides for one front node. It is not safe for concurrent use.
type Aggregator struct {
	settings     Settings
	rng          *rand.Rand
	now          time.Duration // of the round in hand
	round        int
	out          []Action
	wakeAt       time.Duration // when the wake that was asked for is due; below 0 for none
	endpoints    endpointList
	queries      queryTable
	latency      fleetLatency
	health       fleetHealth
	idleConns    idleConnEstimate
	admission    admissionState
	retryBudget  retryBudget
	queryOfDeath queryOfDeathGuard
	pauses       pauseDetector
	outbox       gossipOutbox
}

// New returns an aggregator for the settings; the seed settles its random choices. It returns an error that names the first
// setting that can't be served.
func New(set Settings, seed uint64) (*Aggregator, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	set.Aggregators, set.Tick = max(set.Aggregators, 1), max(set.Tick, time.Millisecond)
	set.Limits.MaxAttempts, set.Limits.MaxBatch = max(set.Limits.MaxAttempts, 1), max(set.Limits.MaxBatch, 1)
	return &Aggregator{
		settings: set,
		rng:      rand.New(rand.NewPCG(seed, randomStream)),
		wakeAt:   -1,
		endpoints: endpointList{
			byName: map[string]*replica{}, byTag: map[uint16]*replica{}, shardSets: make([][]*replica, set.ShardSets),
			poller: endpointPoller{failed: set.PollList, nextPoll: math.MaxInt64},
		},
		queries: queryTable{byID: map[string]*query{}, parts: map[string]*part{}},
		latency: fleetLatency{classes: newLatencyEstimates(stepsPerQuery * len(set.Classes))},
		admission: admissionState{
			tenantQueries: make([]slidingWindow, len(set.Tenants)), tenantRetries: make([]slidingWindow, len(set.Tenants)),
		},
		retryBudget: retryBudget{tokens: maxRetryCredit},
	}, nil
}

// times is a share or a multiple of a span.
func scale(share float64, span time.Duration) time.Duration {
	return time.Duration(share * float64(span))
}

// at returns the value that quarters quarters of the list lie under, 0 for an empty list.
func quartile(list []float64, quarters int) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)*quarters/4]
}
