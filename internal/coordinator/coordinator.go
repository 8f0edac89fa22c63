// Package coordinator wraps the decision module (package aggregator, "the module" below) in a blocking API. A protocol server calls Execute
// and waits for the answer to its query; a dispatcher receives the commands for one data node (NextCommand) and reports the outcome of each
// attempt (Report). One event loop (Run) passes events to the module and executes the actions that it returns. The package is independent
// of the wire protocols and makes no decisions about replicas, retries or load; callers never see the module's events and actions.
package coordinator

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/membership"
)

// input is an event that waits to be passed to the module, with the data that the event loop needs to process it.
type input struct {
	event   aggregator.Event
	attempt *Attempt  // AttemptEnded: the attempt
	outcome Outcome   // AttemptEnded: its outcome
	docs    [][]byte  // AttemptEnded: the part's value
	query   *query    // QueryArrived, PartArrived, ClientGone: the query
	due     time.Time // earliest time at which the loop processes it; zero for immediately
}

// Coordinator executes queries on the listed data nodes. Its methods are safe for concurrent use, except that only one goroutine may
// call Run, or Tick instead of it.
type Coordinator struct {
	settings aggregator.Settings
	seed     uint64 // for the module's random choices
	log      *slog.Logger
	start    time.Time
	classes  map[string]int // index in settings.Classes, by name
	tenants  map[string]int // index in settings.Tenants, by name
	notify   chan struct{}  // capacity 1: holds a token while the loop has work
	observer atomic.Pointer[func(Observation)]

	// mu guards the following fields up to loop, and the non-atomic fields of each Node. It is not held while the module's Step runs.
	mu          sync.Mutex
	inbox       []input
	open        int // queries and parts in progress, including those in the inbox
	endpoints   endpoints
	zones       *zoneWatch        // set before Run; nil if zones are not watched
	maintenance *maintenanceState // set before Run; nil if maintenance is not enabled

	loop eventLoop // only used by the goroutine of the event loop
}

// New returns a coordinator for the settings. The seed determines the module's random choices. membershipConfig configures the
// membership table; its ShardSets, Shards and Reach are overwritten from the settings.
func New(settings aggregator.Settings, seed uint64, log *slog.Logger, membershipConfig membership.Config) (*Coordinator, error) {
	module, err := aggregator.New(settings, seed)
	if err != nil {
		return nil, err
	}
	membershipConfig.ShardSets, membershipConfig.Shards, membershipConfig.Reach = settings.ShardSets, settings.Shards, settings.Reach
	table, err := membership.New(membershipConfig)
	if err != nil {
		return nil, err
	}
	c := &Coordinator{
		settings:  settings,
		seed:      seed,
		log:       log,
		start:     time.Now(),
		classes:   make(map[string]int, len(settings.Classes)),
		tenants:   make(map[string]int, len(settings.Tenants)),
		notify:    make(chan struct{}, 1),
		endpoints: newEndpoints(table),
		loop:      eventLoop{module: module, queries: newQueryTable()},
	}
	for i, class := range settings.Classes {
		c.classes[class.Name] = i
	}
	for i, tenant := range settings.Tenants {
		c.tenants[tenant.Name] = i
	}
	return c, nil
}

// moduleClock converts a time to the module's clock. That clock starts at one hour, so that a data node that started up to an hour
// before this process still has a positive start time.
func (c *Coordinator) moduleClock(t time.Time) time.Duration { return t.Sub(c.start) + time.Hour }

// enqueue adds inputs to the inbox; all of them reach the module in the same step.
func (c *Coordinator) enqueue(inputs ...input) {
	c.mu.Lock()
	c.inbox = append(c.inbox, inputs...)
	c.mu.Unlock()
	c.wakeUp()
}

// wakeUp makes the event loop run its next tick. It never blocks.
func (c *Coordinator) wakeUp() {
	select {
	case c.notify <- struct{}{}:
	default:
	}
}
