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

// input is something that has happened since the last step of the module, with its event.
type input struct {
	event   aggregator.Event
	attempt *Attempt  // AttemptEnded: which
	outcome Outcome   // AttemptEnded: how
	docs    [][]byte  // AttemptEnded: the part's value
	query   *query    // QueryArrived, PartArrived, ClientGone: which
	due     time.Time // the loop takes it in no sooner; zero for at once
}

// Coordinator is the facade. Its methods may be called from any goroutine; Run, and Tick in its place, from one only.
type Coordinator struct {
	settings aggregator.Settings
	seed     uint64 // of the module's random choices
	log      *slog.Logger
	start    time.Time
	classes  map[string]int // index in settings.Classes, by name
	tenants  map[string]int // index in settings.Tenants, by name
	notify   chan struct{}  // holds one token while the loop has something to look at
	observer atomic.Pointer[func(Observation)]

	// mu guards what follows up to loop, and the fields of each Node that are not atomic. It is never held over the module's Step.
	mu          sync.Mutex
	inbox       []input
	open        int // queries and parts in progress, those in the inbox included
	endpoints   endpoints
	zones       *zoneState        // set before Run; nil where zones are not watched
	maintenance *maintenanceState // set before Run; nil where machines are not taken out for maintenance

	loop eventLoop // used by the loop's goroutine only
}

// New returns a coordinator for the settings. The seed determines the module's random choices. damping says who counts as present;
// its shard sets, shards and reach are taken from the settings.
func New(set aggregator.Settings, seed uint64, log *slog.Logger, damping membership.Config) (*Coordinator, error) {
	module, err := aggregator.New(set, seed)
	if err != nil {
		return nil, err
	}
	damping.ShardSets, damping.Shards, damping.Reach = set.ShardSets, set.Shards, set.Reach
	table, err := membership.New(damping)
	if err != nil {
		return nil, err
	}
	c := &Coordinator{
		settings:  set,
		seed:      seed,
		log:       log,
		start:     time.Now(),
		classes:   make(map[string]int, len(set.Classes)),
		tenants:   make(map[string]int, len(set.Tenants)),
		notify:    make(chan struct{}, 1),
		endpoints: newEndpoints(table),
		loop:      eventLoop{module: module, queries: newQueryTable()},
	}
	for i, class := range set.Classes {
		c.classes[class.Name] = i
	}
	for i, tenant := range set.Tenants {
		c.tenants[tenant.Name] = i
	}
	return c, nil
}

// moduleClock turns a time into the module's clock. That begins at one hour, so that a data node that started before this
// process still has a start above 0.
func (c *Coordinator) moduleClock(t time.Time) time.Duration { return t.Sub(c.start) + time.Hour }

// enqueue adds inputs, all for the same step of the module.
func (c *Coordinator) enqueue(inputs ...input) {
	c.mu.Lock()
	c.inbox = append(c.inbox, inputs...)
	c.mu.Unlock()
	c.wakeUp()
}

// wakeUp lets the loop look at its inbox. It never blocks.
func (c *Coordinator) wakeUp() {
	select {
	case c.notify <- struct{}{}:
	default:
	}
}
