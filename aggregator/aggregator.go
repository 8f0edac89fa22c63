// Package aggregator decides what a coordinator of sharded queries does with them: which replica gets each part, when to
// retry, when to answer, and what to reject. It does no I/O, reads no clock, starts no goroutine and logs nothing: Step
// takes in what happened and returns what is to be done, and the same events with the same seed give the same actions.
// step.go lists the steps of a round; each rule stands in the file named for it, beside the state that it needs.
package aggregator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// randomStream selects the sequence of the random generator; the seed selects where it begins.
const randomStream = 0x9e3779b97f4a7c15

// Aggregator decides for one coordinator. It is not safe for concurrent use.
type Aggregator struct {
	settings     Settings
	rng          *rand.Rand
	now          time.Duration // of the current round
	round        int           // rounds so far
	out          []Action      // of the current round
	wakeAt       time.Duration // when the last wake asked for is due; below 0 for none
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

// New returns an aggregator for the settings; the seed determines its random choices. Settings that can't be served give a
// *SettingsError that names the first of them.
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
			byName:    map[string]*replica{},
			byTag:     map[uint16]*replica{},
			shardSets: make([][]*replica, set.ShardSets),
			poller:    endpointPoller{failed: set.PollList, nextPoll: math.MaxInt64},
		},
		queries: queryTable{byID: map[string]*query{}, parts: map[string]*part{}},
		latency: fleetLatency{classes: newLatencyEstimates(stepsPerQuery * len(set.Classes))},
		admission: admissionState{
			tenantQueries: make([]slidingWindow, len(set.Tenants)),
			tenantRetries: make([]slidingWindow, len(set.Tenants)),
		},
		retryBudget: retryBudget{tokens: maxRetryTokens},
	}, nil
}

// act appends an action to those of the round.
func (a *Aggregator) act(action Action) {
	a.out = append(a.out, action)
}

// scale is a share or a multiple of a duration.
func scale(factor float64, d time.Duration) time.Duration {
	return time.Duration(factor * float64(d))
}

// quartile sorts the list and returns its first, second or third quartile; 0 for an empty list.
func quartile(list []float64, quarters int) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)*quarters/4]
}

// valueName is the name of a value of an enumeration, or the type with the number where the value has no name.
func valueName(typeName string, names []string, value int) string {
	if value >= len(names) || names[value] == "" {
		return fmt.Sprintf("%s(%d)", typeName, value)
	}
	return names[value]
}
