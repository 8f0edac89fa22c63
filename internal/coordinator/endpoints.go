package coordinator

import (
	"time"

	"gullfall/aggregator"
	"gullfall/internal/membership"
)

// Member is one record of a list of data nodes.
type Member = membership.Record

// State is what a list says of a data node.
type State = membership.State

// The states of a data node.
const (
	Serving  = membership.Serving
	Draining = membership.Draining
	Gone     = membership.Gone
)

// endpoints is the list of data nodes as joined from all sources. Its fields are guarded by Coordinator.mu.
type endpoints struct {
	table          *membership.Table
	dispatchers    map[string]Dispatcher // by protocol
	nodes          map[string]*Node      // those listed, by id
	complete       bool                  // some source has sent a complete list that was not cached
	reportedStarts map[string]time.Time  // by id, as peers report them
	version        uint64                // counts the updates
}

func newEndpoints(table *membership.Table) endpoints {
	return endpoints{table: table, dispatchers: map[string]Dispatcher{}, nodes: map[string]*Node{}, reportedStarts: map[string]time.Time{}}
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
	return &Source{c, c.endpoints.table.Source(spec)}
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
	for _, m := range c.endpoints.table.List() {
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
	c.endpoints.version++
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
	case full && remembered && !c.endpoints.complete:
		event = c.completeList(aggregator.ListCached)
	case full && !remembered:
		c.endpoints.complete = true
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

var membershipEvidence = map[Outcome]membership.Evidence{OK: membership.Answered, Errored: membership.Answered,
	Overloaded: membership.Rejected, NotConnected: membership.ConnectionRefused, ConnectTimeout: membership.ConnectionRefused, Reset: membership.ConnectionReset, ConnectionLost: membership.ConnectionReopened}

// saw passes on what the end of an attempt or a probe says of a data node; not of one that has since moved or gone.
func (c *Coordinator) observeForMembership(n *Node, end Outcome) {
	e, known := membershipEvidence[end]
	if !known || n.Excluded() || c.node(n.id) != n {
		return
	}
	c.updateTable(false, false, func(now time.Time) membership.Result { return c.endpoints.table.Observe(now, n.id, e) })
}

// apply notes an entry, and starts or retires the data node's carrier. One that has moved is served by a new carrier:
// nothing more goes to the old address, and what is out there ends there.
func (c *Coordinator) applyRecord(m Member) {
	n := c.endpoints.nodes[m.ID]
	if n != nil && (m.State == Gone || n.member.Addr != m.Addr || n.member.Proto != m.Proto) {
		n.setExcluded(true)
		n.retired = true
		n.signal()
		delete(c.endpoints.nodes, m.ID)
		n = nil
	}
	if m.State == Gone {
		return
	}
	if n == nil {
		carry := c.endpoints.dispatchers[m.Proto]
		if carry == nil {
			c.log.Warn("no carrier for the data node's protocol", "node", m.ID, "proto", m.Proto)
			return
		}
		n = &Node{id: m.ID, c: c, dispatch: carry, ready: make(chan struct{}, 1)}
		c.endpoints.nodes[m.ID] = n
	}
	if m.Started.After(n.member.Started) && n.member.ID != "" {
		n.restartVersion.Store(c.endpoints.version)
	}
	n.member = m
	n.announced.Store(c.isAnnounced(m))
	n.setExcluded(m.State != Serving || c.isExcluded(m))
}

// whole is the joined list of all sources. The caller holds the lock.
func (c *Coordinator) completeList(kind aggregator.EventKind) aggregator.Event {
	event := aggregator.Event{Kind: kind}
	for _, m := range c.endpoints.table.List() {
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
