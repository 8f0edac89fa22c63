package coordinator

// This file owns the data nodes of the joined list and the orders that wait for each. What sources tell, and what is
// seen of data nodes, goes to the membership table; what that decides is applied here and passed on to the module. It
// must never open a connection, weigh one source against another, nor let an order wait here for longer than its
// carrier takes to pick it up.

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/membership"
)

// Member is one entry of a list of data nodes.
type Member = membership.Record

// State is what a list says of a data node.
type State = membership.State

// The states of a data node.
const (
	Serving  = membership.Serving
	Draining = membership.Draining
	Gone     = membership.Gone
)

// Dispatcher serves one data node: it picks up orders until Pick says that there will be none.
type Dispatcher func(*Node)

// Node is a data node as its carrier sees it.
type Node struct {
	id          string
	c           *Coordinator
	member      Member
	dispatch    Dispatcher
	dispatching bool // carry runs
	excluded    atomic.Bool
	commands    []*Command
	ready       chan struct{}
	inFlight    int  // attempts without an end
	retired     bool // it has left the list; its carrier ends once nothing is out

	restartVersion atomic.Uint64 // the version of the list that told of its last start, where one was known before
	announced      atomic.Bool   // may go out for work: to be sent to only while this coordinator is present
}

// ID is the data node's name in its list.
func (n *Node) ID() string { return n.id }

// Addr is where the data node listens now.
func (n *Node) Addr() string {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.member.Addr
}

// Excluded tells that the list says draining or gone: nothing more may be written to it, queued calls included.
func (n *Node) Excluded() bool { return n.excluded.Load() || n.announced.Load() && n.c.absent() }

// Pick waits for the next order. It returns nil once the data node has left the list
// and nothing of it is out.
func (n *Node) Pick(ctx context.Context) *Command {
	for {
		n.c.mu.Lock()
		if len(n.commands) > 0 {
			o := n.commands[0]
			n.commands = n.commands[1:]
			n.c.mu.Unlock()
			return o
		}
		retired := n.retired && n.inFlight == 0
		n.c.mu.Unlock()
		if retired {
			return nil
		}
		select {
		case <-n.ready:
		case <-ctx.Done():
			return nil
		}
	}
}

// post leaves orders for the carrier, which begins with the first: a list may name far more data nodes than are ever sent to. It never
// blocks.
func (n *Node) post(list ...*Command) {
	n.c.mu.Lock()
	n.commands = append(n.commands, list...)
	if !n.dispatching {
		n.dispatching = true
		go n.dispatch(n)
	}
	n.c.mu.Unlock()
	n.signal()
}

// hold counts the attempts that are out.
func (n *Node) addInFlight(by int) {
	n.c.mu.Lock()
	n.inFlight += by
	if w := n.c.maintenance; w != nil {
		if w.inFlight[n.id] += by; w.inFlight[n.id] == 0 {
			delete(w.inFlight, n.id)
		}
	}
	n.c.mu.Unlock()
	n.signal()
}

func (n *Node) signal() {
	select {
	case n.ready <- struct{}{}:
	default:
	}
}

// RegisterDispatcher names what serves the data nodes of a protocol, one goroutine for each that has been sent to. It comes before the first list.
func (c *Coordinator) RegisterDispatcher(proto string, carry Dispatcher) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatchers[proto] = carry
}

// Source is one of those that tell of data nodes.
type Source struct {
	c      *Coordinator
	source *membership.Source
}

// Source adds one to those that the list is joined from.
func (c *Coordinator) Source(spec membership.Spec) *Source {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Source{c, c.table.Source(spec)}
}

// Update takes in what the source has told.
func (s *Source) Update(u membership.Update) {
	s.c.updateTable(u.Full && u.Basis != membership.Failed, u.Cached, func(now time.Time) membership.Result { return s.source.Update(now, u) })
}

// Change takes in the entries that have changed.
func (s *Source) Change(members []Member) { s.Update(membership.Update{Records: members}) }

// Replace takes in a complete list: what it lacks is gone. A remembered list may be out of date.
func (s *Source) Replace(members []Member, remembered bool) {
	s.Update(membership.Update{Full: true, Cached: remembered, Records: members})
}

// Renew renews the lease of what the source has told: nothing has changed there.
func (s *Source) Renew() { s.c.updateTable(false, false, s.source.Renew) }

// SerialSeen takes in the serial that a zone has now, and tells whether its list is to be fetched.
func (s *Source) SerialSeen(serial uint32) (fetch bool) {
	s.c.updateTable(false, false, func(now time.Time) (r membership.Result) {
		fetch, r = s.source.SerialSeen(now, serial)
		return r
	})
	return fetch
}

// Claims are the records that the source now stands for; a list to be remembered.
func (s *Source) Claims() []Member {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	return s.source.Claims()
}

// CoveredShards is how many shards have a serving data node now.
func (c *Coordinator) CoveredShards() (n int) {
	c.mu.Lock()
	cells := map[int]bool{}
	for _, m := range c.table.List() {
		if m.State == Serving {
			cells[m.ShardSet] = true
		}
	}
	c.mu.Unlock()
	for shard := range c.settings.Shards {
		for i := range c.settings.Reach {
			if cells[(shard+i)%c.settings.ShardSets] {
				n++
				break
			}
		}
	}
	return n
}

// join lets the membership table decide, applies what it has decided at once, ahead of the next Step, and passes it
// on to the module: the whole list, where a source has told one, or what has changed.
func (c *Coordinator) updateTable(full, remembered bool, decide func(now time.Time) membership.Result) {
	c.mu.Lock()
	now := time.Now()
	r := decide(now)
	if len(r.Changes) > 0 || full {
		c.updateZoneMembers(now)
	}
	c.listVersion++
	var started []Observation
	event := aggregator.Event{Kind: aggregator.ListChanged}
	for _, m := range r.Changes {
		c.applyRecord(m)
		event.Members = append(event.Members, c.moduleMember(m))
		if ago := now.Sub(m.Started); m.State == Serving && !m.Started.IsZero() && ago < c.settings.Rules.WarmupTime {
			started = append(started, Observation{Node: m.ID, Started: true, Ago: ago, Utilization: -1})
		}
	}
	switch {
	case full && remembered && !c.hasCompleteList:
		event = c.completeList(aggregator.ListCached)
	case full && !remembered:
		c.hasCompleteList = true
		event = c.completeList(aggregator.ListReplaced)
	}
	news := full || len(r.Changes) > 0
	if news {
		c.inbox = append(c.inbox, input{event: event})
	}
	c.mu.Unlock()
	if news {
		c.wakeUp()
	}
	if f := c.observer.Load(); f != nil {
		for _, s := range started {
			(*f)(s)
		}
	}
	c.logNotes(r.Notes)
}

// warnings are the notes that someone should look at.
var warningCauses = map[membership.Cause]bool{membership.Held: true, membership.Emptied: true, membership.WentBack: true,
	membership.Stale: true, membership.Lapsed: true, membership.Suppressed: true, membership.Excess: true, membership.Unfit: true}

// mostLines is how many lines one change of the list may cost; beyond, what happened alike to several is told in one.
const maxNoteLines = 50

func (c *Coordinator) logNotes(notes []membership.Note) {
	if len(notes) <= maxNoteLines {
		for _, n := range notes {
			c.logNote(n)
		}
		return
	}
	type alike struct {
		what   membership.Cause
		source string
	}
	count := map[alike]int{}
	for _, n := range notes {
		if n.ID != "" {
			count[alike{n.Cause, n.Source}]++
		}
	}
	for _, n := range notes {
		switch k := (alike{n.Cause, n.Source}); {
		case n.ID == "" || count[k] == 1:
			c.logNote(n)
		case count[k] > 1:
			level := slog.LevelInfo
			if warningCauses[n.Cause] {
				level = slog.LevelWarn
			}
			c.log.Log(context.Background(), level, "data nodes "+string(n.Cause), "count", count[k], "source", n.Source, "first", n.ID)
			count[k] = 0
		}
	}
}

// explain logs why the list changes, or does not.
func (c *Coordinator) logNote(n membership.Note) {
	level := slog.LevelInfo
	if warningCauses[n.Cause] {
		level = slog.LevelWarn
	}
	var args []any
	msg := string(n.Cause)
	if n.ID != "" {
		msg = "data node " + msg
		args = append(args, "node", n.ID)
	}
	if n.Source != "" {
		args = append(args, "source", n.Source)
	}
	if n.Detail != "" {
		args = append(args, "why", n.Detail)
	}
	c.log.Log(context.Background(), level, msg, args...)
}

var membershipEvidence = map[Outcome]membership.Evidence{OK: membership.Answered, Errored: membership.Answered,
	Overloaded: membership.Rejected, NotConnected: membership.ConnectionRefused, ConnectTimeout: membership.ConnectionRefused, Reset: membership.ConnectionReset, ConnectionLost: membership.ConnectionReopened}

// saw passes on what the end of an attempt or a probe says of a data node; not of one that has since moved or gone.
func (c *Coordinator) observeForMembership(n *Node, end Outcome) {
	e, known := membershipEvidence[end]
	if !known || n.Excluded() || c.node(n.id) != n {
		return
	}
	c.updateTable(false, false, func(now time.Time) membership.Result { return c.table.Observe(now, n.id, e) })
}

// apply notes an entry, and starts or retires the data node's carrier. One that has moved is served by a new carrier:
// nothing more goes to the old address, and what is out there ends there.
func (c *Coordinator) applyRecord(m Member) {
	n := c.nodes[m.ID]
	if n != nil && (m.State == Gone || n.member.Addr != m.Addr || n.member.Proto != m.Proto) {
		n.setExcluded(true)
		n.retired = true
		n.signal()
		delete(c.nodes, m.ID)
		n = nil
	}
	if m.State == Gone {
		return
	}
	if n == nil {
		carry := c.dispatchers[m.Proto]
		if carry == nil {
			c.log.Warn("no carrier for the data node's protocol", "node", m.ID, "proto", m.Proto)
			return
		}
		n = &Node{id: m.ID, c: c, dispatch: carry, ready: make(chan struct{}, 1)}
		c.nodes[m.ID] = n
	}
	if m.Started.After(n.member.Started) && n.member.ID != "" {
		n.restartVersion.Store(c.listVersion)
	}
	n.member = m
	n.announced.Store(c.isAnnounced(m))
	n.setExcluded(m.State != Serving || c.isExcluded(m))
}

// bar sets whether anything new may be begun at the data node; what waits for it there is to be turned back. The
// caller holds the lock.
func (n *Node) setExcluded(bar bool) {
	if n.excluded.Swap(bar) != bar && bar && n.dispatching {
		n.commands = append(n.commands, &Command{RejectQueued: true})
		n.signal()
	}
}

// whole is the joined list of all sources. The caller holds the lock.
func (c *Coordinator) completeList(kind aggregator.EventKind) aggregator.Event {
	event := aggregator.Event{Kind: kind}
	for _, m := range c.table.List() {
		event.Members = append(event.Members, c.moduleMember(m))
	}
	return event
}

// member turns an entry into the module's terms.
func (c *Coordinator) moduleMember(m Member) aggregator.Member {
	out := aggregator.Member{Replica: m.ID, ShardSet: m.ShardSet, Zone: m.Zone, Size: m.Weight,
		State: []aggregator.State{aggregator.Serving, aggregator.Draining, aggregator.Gone}[m.State]}
	if !m.Started.IsZero() {
		out.Started = max(c.moduleClock(m.Started), time.Nanosecond)
	}
	return c.adjustForMaintenance(m, c.adjustForZone(m, c.adjustForReportedStart(m, out)))
}

// node finds a listed data node.
func (c *Coordinator) node(id string) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[id]
}
