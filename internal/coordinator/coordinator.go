// Package coordinator puts the decision module behind a blocking facade. A front calls Execute and waits for the answer of its
// query; a dispatcher takes the commands for one data node (Pick) and reports how each attempt ended (Report). One event loop (Run)
// feeds what has happened to the module and carries out the actions that it returns. The package knows no wire and takes no decision
// of its own on replicas, retries or load; callers never see the module's events and actions.
package coordinator

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/membership"
)

// input is what has happened since the last Step.
type input struct {
	event   aggregator.Event
	attempt *Attempt
	outcome Outcome
	docs    [][]byte
	query   *query
	due     time.Time // not taken in before
}

// Coordinator is the facade. Its methods may be called from any goroutine, but for Run.
type Coordinator struct {
	settings aggregator.Settings
	seed     uint64
	log      *slog.Logger
	start    time.Time
	classes  map[string]int
	tenants  map[string]int
	notify   chan struct{}

	mu    sync.Mutex // guards what follows and nodes' fields; never held over Step
	inbox []input
	nodes map[string]*Node
	open  int // queries and parts held, those in the inbox included

	table           *membership.Table
	dispatchers     map[string]Dispatcher // by protocol
	hasCompleteList bool                  // some source has told a whole list
	zones           *zoneState            // nil where zones are not watched
	maintenance     *maintenanceState     // nil where machines are not taken out for work
	observer        atomic.Pointer[func(Observation)]
	reportedStarts  map[string]time.Time // of data nodes, as others tell; guarded by mu
	listVersion     uint64               // of the joined list; guarded by mu

	// The loop's own.
	module            *aggregator.Aggregator
	queries           map[string]*query
	parts             map[string]*part
	attempts          map[*Attempt]bool
	actions           []aggregator.Action
	delayed           []input // not due yet
	wakeAt            time.Time
	lastTick          time.Time
	moduleListVersion uint64 // the version of the list that the module knows
}

// New returns a coordinator for the settings. The seed settles the module's random choices. damping says who counts as present; its
// shard sets, shards and reach are taken from the settings.
func New(set aggregator.Settings, seed uint64, log *slog.Logger, damping membership.Config) (*Coordinator, error) {
	agg, err := aggregator.New(set, seed)
	if err != nil {
		return nil, err
	}
	damping.ShardSets, damping.Shards, damping.Reach = set.ShardSets, set.Shards, set.Reach
	table, err := membership.New(damping)
	if err != nil {
		return nil, err
	}
	c := &Coordinator{settings: set, seed: seed, log: log, start: time.Now(), classes: map[string]int{}, tenants: map[string]int{},
		notify: make(chan struct{}, 1), nodes: map[string]*Node{}, reportedStarts: map[string]time.Time{}, table: table, dispatchers: map[string]Dispatcher{}, module: agg, queries: map[string]*query{},
		parts: map[string]*part{}, attempts: map[*Attempt]bool{}}
	for i, class := range set.Classes {
		c.classes[class.Name] = i
	}
	for i, tenant := range set.Tenants {
		c.tenants[tenant.Name] = i
	}
	return c, nil
}

// clock turns a time into the module's clock, which starts at an hour so that a start before ours is above 0.
func (c *Coordinator) moduleClock(t time.Time) time.Duration { return t.Sub(c.start) + time.Hour }

// put adds inputs, all for the same Step.
func (c *Coordinator) enqueue(inputs ...input) {
	c.mu.Lock()
	c.inbox = append(c.inbox, inputs...)
	c.mu.Unlock()
	c.wakeUp()
}

// wakeUp lets the loop look at its inbox.
func (c *Coordinator) wakeUp() {
	select {
	case c.notify <- struct{}{}:
	default:
	}
}
