package coordinator

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"gullfall/aggregator"
)

// Maintenance describes which data nodes are in maintenance or announced for it, as far as this coordinator knows. The zero value allows
// the use of all data nodes. The coordinator is present, which allows the use of announced data nodes, until the time that ExtendPresence
// sets.
type Maintenance struct {
	Excluded      map[string]bool   // by ID: nothing may be sent there
	ExcludedAddrs map[string]bool   // by address, whatever the ID: nothing may be sent there
	Announced     map[string]bool   // by ID: may be excluded at any time, so only usable while this coordinator is present
	Returned      map[string]uint64 // by ID: number of the maintenance that it returned from; it warms up from when this coordinator learns of it
	Unknown       bool              // nothing is known yet: all data nodes are only usable while this coordinator is present
}

// maintenanceState holds the current Maintenance and the coordinator's own data about it. Coordinator.mu guards its non-atomic fields.
type maintenanceState struct {
	Maintenance
	returned        map[string]nodeReturn
	inFlight        map[string]int // attempts that have not ended, by data node; kept after its record is removed
	health          map[string]*nodeEvidence
	absenceReported bool // the decision module was told that announced data nodes are not usable

	presentUntil atomic.Int64 // time on the module's clock until which this coordinator is present
	lastOverload atomic.Int64 // time on the module's clock at which a query was last rejected for lack of capacity; 0 for never
}

// nodeReturn is the return of a data node from maintenance.
type nodeReturn struct {
	number uint64    // number of the maintenance, from Maintenance.Returned
	at     time.Time // when this coordinator learned of the return
}

// nodeEvidence is the recent evidence that attempts and probes gave about a data node.
type nodeEvidence struct {
	failures    int // consecutive
	lastFailure time.Time
	utilization float64
}

// A data node is suspect after suspectFailures consecutive failures, until suspectDuration after the last of them.
const (
	suspectFailures = 3
	suspectDuration = 5 * time.Second
)

// suspect reports whether the data node has recently failed several times in a row.
func (e *nodeEvidence) suspect(now time.Time) bool {
	return e.failures >= suspectFailures && now.Sub(e.lastFailure) < suspectDuration
}

// EnableMaintenance enables the maintenance of machines. It must be called before Run. Nothing is sent to any data node until
// SetMaintenance or ExtendPresence allows it.
func (c *Coordinator) EnableMaintenance() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maintenance = &maintenanceState{
		Maintenance:     Maintenance{Unknown: true},
		returned:        map[string]nodeReturn{},
		inFlight:        map[string]int{},
		health:          map[string]*nodeEvidence{},
		absenceReported: true,
	}
}

// ExtendPresence allows the use of announced data nodes until the given time. Attempts sent before then end by the deadline of their
// class.
func (c *Coordinator) ExtendPresence(until time.Time) {
	c.maintenance.presentUntil.Store(int64(c.moduleClock(until)))
	c.wakeUp()
}

// overloadWindow is the time for which a rejection counts as overload. It bridges the gaps within a burst, which would otherwise
// look like free capacity.
const overloadWindow = 2 * time.Second

// Overloaded reports whether a query was rejected for lack of capacity within overloadWindow.
func (c *Coordinator) Overloaded() bool {
	at := c.maintenance.lastOverload.Load()
	return at > 0 && c.moduleClock(time.Now())-time.Duration(at) < overloadWindow
}

// recordOverload records that a query was rejected for lack of capacity.
func (c *Coordinator) recordOverload(now time.Time) {
	if c.maintenance != nil {
		c.maintenance.lastOverload.Store(int64(c.moduleClock(now)))
	}
}

// IsPresent reports whether this coordinator is present, so that announced data nodes may be used.
func (c *Coordinator) IsPresent() bool { return !c.absent() }

// absent reports whether this coordinator is not present, so that announced data nodes must not be used.
func (c *Coordinator) absent() bool {
	return c.maintenance != nil && int64(c.moduleClock(time.Now())) >= c.maintenance.presentUntil.Load()
}

// isAnnounced reports whether a data node may be excluded for maintenance at any time. The caller holds the lock.
func (c *Coordinator) isAnnounced(m Member) bool {
	return c.maintenance != nil && (c.maintenance.Unknown || c.maintenance.Announced[m.ID])
}

// isExcluded reports whether a data node is in maintenance. The caller holds the lock.
func (c *Coordinator) isExcluded(m Member) bool {
	return c.maintenance != nil && (c.maintenance.Excluded[m.ID] || c.maintenance.ExcludedAddrs[m.Addr])
}

// SetMaintenance replaces the maintenance information. After it has returned, no new attempt starts at an excluded machine; attempts that
// are in flight there end there.
func (c *Coordinator) SetMaintenance(m Maintenance) {
	c.mu.Lock()
	now := time.Now()
	old := c.maintenance.Maintenance
	c.maintenance.Maintenance = m
	c.maintenance.updateReturns(now, c.settings.Rules.WarmupTime)
	event := aggregator.Event{Kind: aggregator.ListChanged}
	for _, member := range c.endpoints.table.List() {
		if !old.equalFor(&m, member) {
			c.applyRecord(member)
			event.Members = append(event.Members, c.moduleMember(member))
		}
	}
	if len(event.Members) > 0 {
		c.inbox = append(c.inbox, input{event: event})
	}
	c.mu.Unlock()
	c.wakeUp()
}

// equalFor reports whether m and other treat a data node in the same way.
func (m *Maintenance) equalFor(other *Maintenance, member Member) bool {
	id, addr := member.ID, member.Addr
	return m.Excluded[id] == other.Excluded[id] && m.ExcludedAddrs[addr] == other.ExcludedAddrs[addr] && m.Announced[id] == other.Announced[id] &&
		m.Unknown == other.Unknown && m.Returned[id] == other.Returned[id]
}

// updateReturns records when this coordinator learned of each return, and removes returns that are no longer listed once their data node
// has warmed up.
func (s *maintenanceState) updateReturns(now time.Time, warmup time.Duration) {
	for id, number := range s.Returned {
		if s.returned[id].number != number {
			s.returned[id] = nodeReturn{number, now}
		}
	}
	maps.DeleteFunc(s.returned, func(id string, r nodeReturn) bool { return now.Sub(r.at) > warmup && s.Returned[id] == 0 })
}

// stepMaintenance checks whether this coordinator's presence has ended or begun. It returns an event that tells the module, if there was a
// change, and the time of the next check.
func (c *Coordinator) stepMaintenance(now time.Time) (events []aggregator.Event, next time.Time) {
	if c.maintenance == nil {
		return nil, time.Time{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	until := time.Duration(c.maintenance.presentUntil.Load())
	absent := c.moduleClock(now) >= until
	if !absent {
		next = now.Add(until - c.moduleClock(now))
	}
	if absent == c.maintenance.absenceReported {
		return nil, next
	}
	c.maintenance.absenceReported = absent
	event := c.listEvent(aggregator.ListChanged, c.isAnnounced)
	if len(event.Members) == 0 {
		return nil, next
	}
	if absent {
		for _, m := range c.endpoints.table.List() {
			if n := c.endpoints.nodes[m.ID]; n != nil && c.isAnnounced(m) {
				n.rejectQueued()
			}
		}
	}
	return []aggregator.Event{event}, next
}

// adjustForMaintenance marks a data node as draining if maintenance makes it unusable, and sets its start to its return from maintenance
// if that is later. The caller holds the lock.
func (c *Coordinator) adjustForMaintenance(m Member, adjusted aggregator.Member) aggregator.Member {
	if c.maintenance == nil {
		return adjusted
	}
	if adjusted.State == aggregator.Serving && (c.isExcluded(m) || c.isAnnounced(m) && c.maintenance.absenceReported) {
		adjusted.State = aggregator.Draining
	}
	if r, ok := c.maintenance.returned[m.ID]; ok {
		adjusted.Started = max(adjusted.Started, c.moduleClock(r.at))
	}
	return adjusted
}

// addInFlight adds to the number of attempts in flight at a data node. The caller holds Coordinator.mu.
func (s *maintenanceState) addInFlight(id string, delta int) {
	if s.inFlight[id] += delta; s.inFlight[id] == 0 {
		delete(s.inFlight, id)
	}
}

// observeForMaintenance records the outcome of an attempt or a probe as evidence about the data node.
func (c *Coordinator) observeForMaintenance(n *Node, outcome Outcome, load map[string]float64, now time.Time) {
	if c.maintenance == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.maintenance.health[n.id]
	if e == nil {
		e = &nodeEvidence{}
		c.maintenance.health[n.id] = e
	}
	if u, ok := load["util"]; ok {
		e.utilization = u
	}
	switch outcome {
	case OK, Errored, Overloaded, ConnectionLost:
		e.failures = 0
	case NotConnected, ConnectTimeout, Reset:
		e.failures, e.lastFailure = e.failures+1, now
	}
}

// DrainedForMaintenance reports whether a data node is in maintenance and no attempt is in flight there, even if its record was removed.
func (c *Coordinator) DrainedForMaintenance(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.maintenance == nil || !c.maintenance.Excluded[id] {
		return false
	}
	n := c.endpoints.nodes[id]
	return c.maintenance.inFlight[id] == 0 && (n == nil || n.excluded.Load())
}

// NodeHealth is the record of a data node and its health as seen by this coordinator.
type NodeHealth struct {
	Member
	Suspect     bool // it recently failed several times in a row, or its zone is out
	WarmingUp   bool
	Utilization float64 // last value that it reported
}

// DataNodes returns all listed data nodes with their health as seen by this coordinator.
func (c *Coordinator) DataNodes() []NodeHealth {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var list []NodeHealth
	listed := map[string]bool{}
	for _, m := range c.endpoints.table.List() {
		listed[m.ID] = true
		list = append(list, c.nodeHealth(now, m))
	}
	if c.maintenance != nil {
		maps.DeleteFunc(c.maintenance.health, func(id string, _ *nodeEvidence) bool { return !listed[id] })
	}
	return slices.Clip(list)
}

// nodeHealth returns the health of a data node as seen by this coordinator. The caller holds the lock.
func (c *Coordinator) nodeHealth(now time.Time, m Member) NodeHealth {
	warmup := c.settings.Rules.WarmupTime
	health := NodeHealth{Member: m, WarmingUp: !m.Started.IsZero() && now.Sub(m.Started) < warmup}
	if c.maintenance != nil {
		if e := c.maintenance.health[m.ID]; e != nil {
			health.Utilization, health.Suspect = e.utilization, e.suspect(now)
		}
		if r, ok := c.maintenance.returned[m.ID]; ok && now.Sub(r.at) < warmup {
			health.WarmingUp = true
		}
	}
	if c.zones != nil && !c.zones.tracker.Usable(m.Zone) {
		health.Suspect = true
	}
	return health
}
