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

// Aggregator decides for one front node. It is not safe for concurrent use.
type Aggregator struct {
	settings         Settings
	rng              *rand.Rand
	now              time.Duration
	round            int
	out              []Action
	replicaByName    map[string]*replica
	replicaByTag     map[uint16]*replica
	pendingGossip    []gossipEntry // not yet told to the other nodes
	gossipSentAt     time.Duration // when they last were
	replicas         []*replica
	shardSets        [][]*replica
	listed           bool
	queries          map[string]*query
	parts            map[string]*part
	live             []*query
	latencies        []latencyEstimate // two for each class, one a step
	tenantQueries    []slidingWindow   // what each asked
	tenantRetries    []slidingWindow   // and asked again
	priorities       recentValues      // worth for work of queries
	retryCredit      float64
	accepted         slidingWindow
	retries          slidingWindow
	wakeAt           time.Duration
	timePerCall      float64       // time a call takes for each call of ours that it joins, over the fleet
	medianExcess     float64       // excess of the fleet
	fleetExcess      float64       // excess of recent answers of any replica
	fleetExcessAt    time.Duration // and when
	panicMode        bool          // half the fleet is ejected
	staleView        bool          // under half of the fleet was heard lately
	lastAnswer       time.Duration // last answer of any replica
	probeCredit      float64       // earned by bad signs
	deadAfter        time.Duration // idle time after which connections were found dead
	deadConnAt       time.Duration // and when
	idleEvidence     float64       // signs that idle connections are dead, less those against it
	lastCrash        time.Duration // a replica last died without draining
	lastQueryOfDeath time.Duration // a query last broke what ran it
	pollFailed       bool          // the list is to be asked for
	pollAt           time.Duration // and when
	pollFailures     int           // list calls without an answer, in a row
	stepDelay        time.Duration // how late this turn came
	longestPause     time.Duration // longest standstill of this node lately
	lastPause        time.Duration // and when the last one ended
	answerInterval   time.Duration // usual time between two answers of one replica
	answerIntervals  int           // of which so many were seen
}

// New returns an aggregator for the settings; the seed settles its random choices.
func New(set Settings, seed uint64) (*Aggregator, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	set.Aggregators, set.Tick = max(set.Aggregators, 1), max(set.Tick, time.Millisecond)
	set.Limits.MaxAttempts, set.Limits.MaxBatch = max(set.Limits.MaxAttempts, 1), max(set.Limits.MaxBatch, 1)
	a := &Aggregator{
		settings: set, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), replicaByName: map[string]*replica{}, replicaByTag: map[uint16]*replica{},
		shardSets: make([][]*replica, set.ShardSets), queries: map[string]*query{}, parts: map[string]*part{},
		latencies: make([]latencyEstimate, 2*len(set.Classes)), tenantQueries: make([]slidingWindow, len(set.Tenants)),
		tenantRetries: make([]slidingWindow, len(set.Tenants)),
		retryCredit:   maxRetryCredit, wakeAt: -1, pollFailed: set.PollList, pollAt: math.MaxInt64,
	}
	for i := range a.latencies {
		a.latencies[i] = latencyEstimate{
			base: quantile{target: baseQuantile}, median: quantile{target: 0.5}, high: quantile{target: tailQuantile},
		}
	}
	return a, nil
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
