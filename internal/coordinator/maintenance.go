package coordinator

// This file owns what core makes of machines that are taken out for work: who may not be sent to, who only while this
// coordinator is present, who comes back cold, and what the fleet looks like from here. It must never decide who goes, nor
// say that nothing is out at a machine while an attempt there has no end.

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"gullfall/aggregator"
)

// Maintenance is what this coordinator knows of machines in work. The zero value lets everything be used.
type Maintenance struct {
	Excluded  map[string]bool   // by id: nothing may be sent there
	Addrs     map[string]bool   // by address, under whatever id
	Announced map[string]bool   // may be barred any time: to be sent to only while present
	Returned  map[string]uint64 // come back from work, by their turn: cold since this was told
	Unknown   bool              // nothing is known yet: all are to be sent to only while present
}

// workWatch is core's part of it. Its fields are guarded by Core.mu, but for the time; Core.work is set before Run and never
// after, so that where no machine is taken out nothing here takes the lock.
type maintenanceState struct {
	Maintenance
	returned     map[string]nodeReturn
	inFlight     map[string]int // attempts without an end, by data node
	health       map[string]*nodeEvidence
	present      atomic.Int64 // until when, by Core.clock
	lastOverload atomic.Int64 // when a query was turned away for want of room last, by Core.clock; 0 for never
	lapsed       bool         // as the module was told last
}

type nodeReturn struct {
	turn uint64
	at   time.Time
}

// seenNode is what was last seen of a data node.
type nodeEvidence struct {
	failures    int // failures in a row
	lastFailure time.Time
	utilization float64
}

// A data node that failed so often in a row, the last time so lately, is doubtful.
const (
	suspectAfter = 3
	suspectFor   = 5 * time.Second
)

// EnableMaintenance lets machines be taken out for work. It is called before Run, and nothing is sent anywhere until SetWork and Present
// have said more.
func (c *Coordinator) EnableMaintenance() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maintenance = &maintenanceState{Maintenance: Maintenance{Unknown: true}, returned: map[string]nodeReturn{}, inFlight: map[string]int{}, health: map[string]*nodeEvidence{}, lapsed: true}
}

// ExtendPresence lets announced machines be sent to until then. Every attempt that is begun by then has an end by its class's limit.
func (c *Coordinator) ExtendPresence(until time.Time) {
	c.maintenance.present.Store(int64(c.moduleClock(until)))
	c.wakeUp()
}

// pressedFor is how long users' queries go first after one was turned away: some aims, so that a burst's gaps don't count as room.
const overloadWindow = 2 * time.Second

// Overloaded tells whether a query was turned away for want of room just now.
func (c *Coordinator) Overloaded() bool {
	at := c.maintenance.lastOverload.Load()
	return at > 0 && c.moduleClock(time.Now())-time.Duration(at) < overloadWindow
}

// noRoom notes that a query was turned away for want of room.
func (c *Coordinator) noteOverload(now time.Time) {
	if c.maintenance != nil {
		c.maintenance.lastOverload.Store(int64(c.moduleClock(now)))
	}
}

// IsPresent tells whether announced machines may be sent to now.
func (c *Coordinator) IsPresent() bool { return !c.absent() }

// absent tells that announced machines may not be sent to now.
func (c *Coordinator) absent() bool {
	return c.maintenance != nil && int64(c.moduleClock(time.Now())) >= c.maintenance.present.Load()
}

// mayGo tells whether a data node is announced; the caller holds the lock.
func (c *Coordinator) isAnnounced(m Member) bool {
	return c.maintenance != nil && (c.maintenance.Unknown || c.maintenance.Announced[m.ID])
}

// inWork tells whether nothing may be sent to a data node; the caller holds the lock.
func (c *Coordinator) isExcluded(m Member) bool {
	return c.maintenance != nil && (c.maintenance.Excluded[m.ID] || c.maintenance.Addrs[m.Addr])
}

// SetMaintenance takes in what is known now. Once it returns nothing more is begun at a machine that it bars; what is out there ends
// there.
func (c *Coordinator) SetMaintenance(w Maintenance) {
	c.mu.Lock()
	now := time.Now()
	old := c.maintenance.Maintenance
	c.maintenance.Maintenance = w
	for id, turn := range w.Returned {
		if c.maintenance.returned[id].turn != turn {
			c.maintenance.returned[id] = nodeReturn{turn, now}
		}
	}
	maps.DeleteFunc(c.maintenance.returned, func(id string, b nodeReturn) bool {
		return now.Sub(b.at) > c.settings.Rules.WarmupTime && w.Returned[id] == 0
	})
	event := aggregator.Event{Kind: aggregator.ListChanged}
	for _, m := range c.endpoints.table.List() {
		if old.Excluded[m.ID] == w.Excluded[m.ID] && old.Addrs[m.Addr] == w.Addrs[m.Addr] && old.Announced[m.ID] == w.Announced[m.ID] &&
			old.Unknown == w.Unknown && old.Returned[m.ID] == w.Returned[m.ID] {
			continue
		}
		c.applyRecord(m)
		event.Members = append(event.Members, c.moduleMember(m))
	}
	if len(event.Members) > 0 {
		c.inbox = append(c.inbox, input{event: event})
	}
	c.mu.Unlock()
	c.wakeUp()
}

// workStep tells the module when announced machines may no longer be used, or may again, and when that is to be looked at next.
func (c *Coordinator) stepMaintenance(now time.Time) (event aggregator.Event, changed bool, next time.Time) {
	if c.maintenance == nil {
		return event, false, next
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	until := time.Duration(c.maintenance.present.Load())
	lapsed := c.moduleClock(now) >= until
	if !lapsed {
		next = now.Add(until - c.moduleClock(now))
	}
	if lapsed == c.maintenance.lapsed {
		return event, false, next
	}
	c.maintenance.lapsed = lapsed
	event.Kind = aggregator.ListChanged
	for _, m := range c.endpoints.table.List() {
		if c.isAnnounced(m) {
			event.Members = append(event.Members, c.moduleMember(m))
			if n := c.endpoints.nodes[m.ID]; lapsed && n != nil {
				n.commands = append(n.commands, &Command{RejectQueued: true}) // what is not begun is turned back
				n.signal()
			}
		}
	}
	return event, len(event.Members) > 0, next
}

// worked turns a member's state and start by the work on it; the caller holds the lock.
func (c *Coordinator) adjustForMaintenance(m Member, out aggregator.Member) aggregator.Member {
	if c.maintenance == nil {
		return out
	}
	if out.State == aggregator.Serving && (c.isExcluded(m) || c.isAnnounced(m) && c.maintenance.lapsed) {
		out.State = aggregator.Draining
	}
	if b, ok := c.maintenance.returned[m.ID]; ok {
		out.Started = max(out.Started, c.moduleClock(b.at))
	}
	return out
}

// workSaw notes what the end of an attempt or a probe says of a data node.
func (c *Coordinator) observeForMaintenance(n *Node, end Outcome, load map[string]float64, now time.Time) {
	if c.maintenance == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.maintenance.health[n.id]
	if s == nil {
		s = &nodeEvidence{}
		c.maintenance.health[n.id] = s
	}
	if u, ok := load["util"]; ok {
		s.utilization = u
	}
	switch end {
	case OK, Errored, Overloaded, ConnectionLost:
		s.failures = 0
	case NotConnected, ConnectTimeout, Reset:
		s.failures, s.lastFailure = s.failures+1, now
	}
}

// Idle tells whether nothing is out at a data node that may not be sent to, whatever became of its entry.
func (c *Coordinator) Idle(id string) bool {
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
	Suspect     bool // it failed several times in a row just now, or its zone is left
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
		l := NodeHealth{Member: m, WarmingUp: !m.Started.IsZero() && now.Sub(m.Started) < c.settings.Rules.WarmupTime}
		if c.maintenance != nil {
			if s := c.maintenance.health[m.ID]; s != nil {
				l.Utilization, l.Suspect = s.utilization, s.failures >= suspectAfter && now.Sub(s.lastFailure) < suspectFor
			}
			if b, ok := c.maintenance.returned[m.ID]; ok && now.Sub(b.at) < c.settings.Rules.WarmupTime {
				l.WarmingUp = true
			}
		}
		if c.zones != nil && !c.zones.tracker.Usable(m.Zone) {
			l.Suspect = true
		}
		listed[m.ID] = true
		list = append(list, l)
	}
	if c.maintenance != nil {
		maps.DeleteFunc(c.maintenance.health, func(id string, _ *nodeEvidence) bool { return !listed[id] })
	}
	return slices.Clip(list)
}
