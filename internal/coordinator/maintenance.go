package coordinator

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"gullfall/aggregator"
)

// Maintenance is what this coordinator knows of machines that go out for maintenance. The zero value lets everything be used.
type Maintenance struct {
	Excluded  map[string]bool   // by id: nothing may be sent there
	Addrs     map[string]bool   // by address, under whatever id: nothing may be sent there
	Announced map[string]bool   // by id: may be excluded any time, so usable only while this coordinator is present
	Returned  map[string]uint64 // by id, in which turn it came back; it warms up since this coordinator learned of it
	Unknown   bool              // nothing is known yet: all data nodes are usable only while this coordinator is present
}

// maintenanceState is the coordinator's part in maintenance. Its fields are guarded by Coordinator.mu, but for the atomic ones.
type maintenanceState struct {
	Maintenance
	returned     map[string]nodeReturn
	inFlight     map[string]int // attempts without an end, by data node; they outlive its record
	health       map[string]*nodeEvidence
	absenceKnown bool // the module knows announced data nodes as not usable

	presentUntil atomic.Int64 // by the module's clock
	lastOverload atomic.Int64 // by the module's clock, when a query was rejected for want of capacity; 0 for never
}

// nodeReturn is the return of a data node from maintenance.
type nodeReturn struct {
	turn uint64
	at   time.Time // when this coordinator learned of it
}

// nodeEvidence is what attempts and probes last showed of a data node.
type nodeEvidence struct {
	failures    int // in a row
	lastFailure time.Time
	utilization float64
}

// A data node is suspect after so many failures in a row, for so long after the last.
const (
	suspectAfter = 3
	suspectFor   = 5 * time.Second
)

// suspect reports whether the data node failed repeatedly just now.
func (e *nodeEvidence) suspect(now time.Time) bool {
	return e.failures >= suspectAfter && now.Sub(e.lastFailure) < suspectFor
}

// EnableMaintenance lets machines be taken out for maintenance. It is called before Run; nothing is sent anywhere until SetMaintenance
// and ExtendPresence have said more.
func (c *Coordinator) EnableMaintenance() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maintenance = &maintenanceState{
		Maintenance:  Maintenance{Unknown: true},
		returned:     map[string]nodeReturn{},
		inFlight:     map[string]int{},
		health:       map[string]*nodeEvidence{},
		absenceKnown: true,
	}
}

// ExtendPresence lets announced data nodes be used until then. Every attempt that is sent by then ends within its class's limit.
func (c *Coordinator) ExtendPresence(until time.Time) {
	c.maintenance.presentUntil.Store(int64(c.moduleClock(until)))
	c.wakeUp()
}

// overloadWindow is how long a rejection counts as overload. It spans the gaps of a burst, which would else look like free capacity.
const overloadWindow = 2 * time.Second

// Overloaded reports whether a query was rejected for want of capacity just now.
func (c *Coordinator) Overloaded() bool {
	at := c.maintenance.lastOverload.Load()
	return at > 0 && c.moduleClock(time.Now())-time.Duration(at) < overloadWindow
}

// noteOverload records that a query was rejected for want of capacity.
func (c *Coordinator) noteOverload(now time.Time) {
	if c.maintenance != nil {
		c.maintenance.lastOverload.Store(int64(c.moduleClock(now)))
	}
}

// IsPresent reports whether announced data nodes may be used now.
func (c *Coordinator) IsPresent() bool { return !c.absent() }

// absent reports whether announced data nodes may not be used now.
func (c *Coordinator) absent() bool {
	return c.maintenance != nil && int64(c.moduleClock(time.Now())) >= c.maintenance.presentUntil.Load()
}

// isAnnounced reports whether a data node may go out for maintenance. The caller holds the lock.
func (c *Coordinator) isAnnounced(m Member) bool {
	return c.maintenance != nil && (c.maintenance.Unknown || c.maintenance.Announced[m.ID])
}

// isExcluded reports whether a data node is out for maintenance. The caller holds the lock.
func (c *Coordinator) isExcluded(m Member) bool {
	return c.maintenance != nil && (c.maintenance.Excluded[m.ID] || c.maintenance.Addrs[m.Addr])
}

// SetMaintenance takes in what is known now. Once it returns nothing new begins at a machine that it excludes; what is in flight there
// ends there.
func (c *Coordinator) SetMaintenance(m Maintenance) {
	c.mu.Lock()
	now := time.Now()
	old := c.maintenance.Maintenance
	c.maintenance.Maintenance = m
	c.maintenance.updateReturns(now, c.settings.Rules.WarmupTime)
	event := aggregator.Event{Kind: aggregator.ListChanged}
	for _, member := range c.endpoints.table.List() {
		if !old.alike(&m, member) {
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

// alike reports whether both say the same of a data node.
func (m *Maintenance) alike(o *Maintenance, member Member) bool {
	id, addr := member.ID, member.Addr
	return m.Excluded[id] == o.Excluded[id] && m.Addrs[addr] == o.Addrs[addr] && m.Announced[id] == o.Announced[id] &&
		m.Unknown == o.Unknown && m.Returned[id] == o.Returned[id]
}

// updateReturns notes when this coordinator learned of each return, and forgets those that are no longer named once their data node has
// warmed up.
func (s *maintenanceState) updateReturns(now time.Time, warmup time.Duration) {
	for id, turn := range s.Returned {
		if s.returned[id].turn != turn {
			s.returned[id] = nodeReturn{turn, now}
		}
	}
	maps.DeleteFunc(s.returned, func(id string, r nodeReturn) bool { return now.Sub(r.at) > warmup && s.Returned[id] == 0 })
}

// stepMaintenance notices that this coordinator's presence has ended, or begun. It returns the event that tells the module, if anything
// changed, and when presence is to be looked at again.
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
	if absent == c.maintenance.absenceKnown {
		return nil, next
	}
	c.maintenance.absenceKnown = absent
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

// adjustForMaintenance makes a data node that is out for maintenance draining, and one that came back a data node that started with its
// return. The caller holds the lock.
func (c *Coordinator) adjustForMaintenance(m Member, out aggregator.Member) aggregator.Member {
	if c.maintenance == nil {
		return out
	}
	if out.State == aggregator.Serving && (c.isExcluded(m) || c.isAnnounced(m) && c.maintenance.absenceKnown) {
		out.State = aggregator.Draining
	}
	if r, ok := c.maintenance.returned[m.ID]; ok {
		out.Started = max(out.Started, c.moduleClock(r.at))
	}
	return out
}

// addInFlight changes the number of attempts in flight at a data node. The caller holds Coordinator.mu.
func (s *maintenanceState) addInFlight(id string, by int) {
	if s.inFlight[id] += by; s.inFlight[id] == 0 {
		delete(s.inFlight, id)
	}
}

// observeForMaintenance notes what the end of an attempt or a probe says of a data node.
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

// DrainedForMaintenance reports whether a data node is out for maintenance and nothing is in flight there, whatever became of its record.
func (c *Coordinator) DrainedForMaintenance(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.maintenance == nil || !c.maintenance.Excluded[id] {
		return false
	}
	n := c.endpoints.nodes[id]
	return c.maintenance.inFlight[id] == 0 && (n == nil || n.excluded.Load())
}

// NodeHealth is a data node as this coordinator sees it.
type NodeHealth struct {
	Member
	Suspect     bool // it failed several times in a row just now, or its zone is out
	WarmingUp   bool
	Utilization float64 // as it reported last
}

// DataNodes is all data nodes as this coordinator sees them.
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

// nodeHealth is a data node as this coordinator sees it. The caller holds the lock.
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
