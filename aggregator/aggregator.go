// Package aggregator makes the decisions of a coordinator of sharded queries: which replica gets each part, when to retry
// or hedge, when to answer, and what to reject. It does no I/O, reads no clock, starts no goroutine and logs nothing: Step
// takes events and returns actions, and the same events with the same seed give the same actions. step.go lists the steps
// of a round; each rule is in the file named after it, together with its state.
package aggregator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// randomStream is the second seed word of the random generator; the first is the seed given to New.
const randomStream = 0x9e3779b97f4a7c15

// Aggregator holds the decision state of one coordinator. It is not safe for concurrent use.
type Aggregator struct {
	settings     Settings
	rng          *rand.Rand
	now          time.Duration // time of the current round
	round        int           // number of rounds so far
	out          []Action      // actions of the current round
	wakeAt       time.Duration // due time of the last requested wake; negative for none
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

// New returns an aggregator for the settings; seed determines its random choices. Invalid settings give a *SettingsError
// that names the first invalid one.
func New(settings Settings, seed uint64) (*Aggregator, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	settings.Aggregators, settings.Tick = max(settings.Aggregators, 1), max(settings.Tick, time.Millisecond)
	settings.Limits.MaxAttempts, settings.Limits.MaxBatch = max(settings.Limits.MaxAttempts, 1), max(settings.Limits.MaxBatch, 1)
	return &Aggregator{
		settings: settings,
		rng:      rand.New(rand.NewPCG(seed, randomStream)),
		wakeAt:   -1,
		endpoints: endpointList{
			byName:    map[string]*replica{},
			byTag:     map[uint16]*replica{},
			shardSets: make([][]*replica, settings.ShardSets),
			poller:    endpointPoller{failed: settings.PollList, nextPoll: math.MaxInt64},
		},
		queries: queryTable{byID: map[string]*query{}, parts: map[string]*part{}},
		latency: fleetLatency{classes: newLatencyEstimates(maxPhases * len(settings.Classes))},
		admission: admissionState{
			tenantQueries: make([]slidingWindow, len(settings.Tenants)),
			tenantRetries: make([]slidingWindow, len(settings.Tenants)),
		},
		retryBudget: retryBudget{tokens: maxRetryTokens},
	}, nil
}

// emit appends an action to those of the round.
func (a *Aggregator) emit(action Action) {
	a.out = append(a.out, action)
}

// scale returns d multiplied by factor.
func scale(factor float64, d time.Duration) time.Duration {
	return time.Duration(factor * float64(d))
}

// quartile sorts the list and returns its first, second or third quartile, or 0 for an empty list.
func quartile(list []float64, quarters int) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)*quarters/4]
}

// valueName returns the name of an enumeration value, or the type name with the number where the value has no name.
func valueName(typeName string, names []string, value int) string {
	if value >= len(names) || names[value] == "" {
		return fmt.Sprintf("%s(%d)", typeName, value)
	}
	return names[value]
}
