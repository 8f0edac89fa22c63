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
type workWatch struct {
	Maintenance
	back    map[string]comeback
	outs    map[string]int // attempts without an end, by data node
	seen    map[string]*seenNode
	present atomic.Int64 // until when, by Core.clock
	turned  atomic.Int64 // when a query was turned away for want of room last, by Core.clock; 0 for never
	lapsed  bool         // as the module was told last
}

type comeback struct {
	turn uint64
	at   time.Time
}

// seenNode is what was last seen of a data node.
type seenNode struct {
	bad  int // failures in a row
	last time.Time
	util float64
}

// A data node that failed so often in a row, the last time so lately, is doubtful.
const (
	doubtAfter = 3
	doubtFor   = 5 * time.Second
)

// EnableMaintenance lets machines be taken out for work. It is called before Run, and nothing is sent anywhere until SetWork and Present
// have said more.
func (c *Coordinator) EnableMaintenance() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.work = &workWatch{Maintenance: Maintenance{Unknown: true}, back: map[string]comeback{}, outs: map[string]int{}, seen: map[string]*seenNode{}, lapsed: true}
}

// ExtendPresence lets announced machines be sent to until then. Every attempt that is begun by then has an end by its class's limit.
func (c *Coordinator) ExtendPresence(until time.Time) {
	c.work.present.Store(int64(c.clock(until)))
	c.wakeUp()
}

// pressedFor is how long users' queries go first after one was turned away: some aims, so that a burst's gaps don't count as room.
const pressedFor = 2 * time.Second

// Overloaded tells whether a query was turned away for want of room just now.
func (c *Coordinator) Overloaded() bool {
	at := c.work.turned.Load()
	return at > 0 && c.clock(time.Now())-time.Duration(at) < pressedFor
}

// noRoom notes that a query was turned away for want of room.
func (c *Coordinator) noRoom(now time.Time) {
	if c.work != nil {
		c.work.turned.Store(int64(c.clock(now)))
	}
}

// IsPresent tells whether announced machines may be sent to now.
func (c *Coordinator) IsPresent() bool { return !c.absent() }

// absent tells that announced machines may not be sent to now.
func (c *Coordinator) absent() bool {
	return c.work != nil && int64(c.clock(time.Now())) >= c.work.present.Load()
}

// mayGo tells whether a data node is announced; the caller holds the lock.
func (c *Coordinator) mayGo(m Member) bool {
	return c.work != nil && (c.work.Unknown || c.work.Announced[m.ID])
}

// inWork tells whether nothing may be sent to a data node; the caller holds the lock.
func (c *Coordinator) inWork(m Member) bool {
	return c.work != nil && (c.work.Excluded[m.ID] || c.work.Addrs[m.Addr])
}

// SetMaintenance takes in what is known now. Once it returns nothing more is begun at a machine that it bars; what is out there ends
// there.
func (c *Coordinator) SetMaintenance(w Maintenance) {
	c.mu.Lock()
	now := time.Now()
	old := c.work.Maintenance
	c.work.Maintenance = w
	for id, turn := range w.Returned {
		if c.work.back[id].turn != turn {
			c.work.back[id] = comeback{turn, now}
		}
	}
	maps.DeleteFunc(c.work.back, func(id string, b comeback) bool { return now.Sub(b.at) > c.set.Rules.WarmupTime && w.Returned[id] == 0 })
	event := aggregator.Event{Kind: aggregator.ListChanged}
	for _, m := range c.table.List() {
		if old.Excluded[m.ID] == w.Excluded[m.ID] && old.Addrs[m.Addr] == w.Addrs[m.Addr] && old.Announced[m.ID] == w.Announced[m.ID] &&
			old.Unknown == w.Unknown && old.Returned[m.ID] == w.Returned[m.ID] {
			continue
		}
		c.apply(m)
		event.Members = append(event.Members, c.member(m))
	}
	if len(event.Members) > 0 {
		c.inbox = append(c.inbox, input{event: event})
	}
	c.mu.Unlock()
	c.wakeUp()
}

// workStep tells the module when announced machines may no longer be used, or may again, and when that is to be looked at next.
func (c *Coordinator) workStep(now time.Time) (event aggregator.Event, changed bool, next time.Time) {
	if c.work == nil {
		return event, false, next
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	until := time.Duration(c.work.present.Load())
	lapsed := c.clock(now) >= until
	if !lapsed {
		next = now.Add(until - c.clock(now))
	}
	if lapsed == c.work.lapsed {
		return event, false, next
	}
	c.work.lapsed = lapsed
	event.Kind = aggregator.ListChanged
	for _, m := range c.table.List() {
		if c.mayGo(m) {
			event.Members = append(event.Members, c.member(m))
			if n := c.nodes[m.ID]; lapsed && n != nil {
				n.orders = append(n.orders, &Command{RejectQueued: true}) // what is not begun is turned back
				n.signal()
			}
		}
	}
	return event, len(event.Members) > 0, next
}

// worked turns a member's state and start by the work on it; the caller holds the lock.
func (c *Coordinator) worked(m Member, out aggregator.Member) aggregator.Member {
	if c.work == nil {
		return out
	}
	if out.State == aggregator.Serving && (c.inWork(m) || c.mayGo(m) && c.work.lapsed) {
		out.State = aggregator.Draining
	}
	if b, ok := c.work.back[m.ID]; ok {
		out.Started = max(out.Started, c.clock(b.at))
	}
	return out
}

// workSaw notes what the end of an attempt or a probe says of a data node.
func (c *Coordinator) workSaw(n *Node, end Outcome, load map[string]float64, now time.Time) {
	if c.work == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.work.seen[n.id]
	if s == nil {
		s = &seenNode{}
		c.work.seen[n.id] = s
	}
	if u, ok := load["util"]; ok {
		s.util = u
	}
	switch end {
	case OK, Errored, Overloaded, ConnectionLost:
		s.bad = 0
	case NotConnected, ConnectTimeout, Reset:
		s.bad, s.last = s.bad+1, now
	}
}

// Idle tells whether nothing is out at a data node that may not be sent to, whatever became of its entry.
func (c *Coordinator) Idle(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.work == nil || !c.work.Excluded[id] {
		return false
	}
	n := c.nodes[id]
	return c.work.outs[id] == 0 && (n == nil || n.barred.Load())
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
	for _, m := range c.table.List() {
		l := NodeHealth{Member: m, WarmingUp: !m.Started.IsZero() && now.Sub(m.Started) < c.set.Rules.WarmupTime}
		if c.work != nil {
			if s := c.work.seen[m.ID]; s != nil {
				l.Utilization, l.Suspect = s.util, s.bad >= doubtAfter && now.Sub(s.last) < doubtFor
			}
			if b, ok := c.work.back[m.ID]; ok && now.Sub(b.at) < c.set.Rules.WarmupTime {
				l.WarmingUp = true
			}
		}
		if c.zones != nil && !c.zones.t.Usable(m.Zone) {
			l.Suspect = true
		}
		listed[m.ID] = true
		list = append(list, l)
	}
	if c.work != nil {
		maps.DeleteFunc(c.work.seen, func(id string, _ *seenNode) bool { return !listed[id] })
	}
	return slices.Clip(list)
}
