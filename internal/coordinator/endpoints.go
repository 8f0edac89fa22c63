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

// Source is one of the sources of the list of data nodes.
type Source struct {
	c      *Coordinator
	source *membership.Source
}

// Source adds a source; the list is joined from all.
func (c *Coordinator) Source(spec membership.Spec) *Source {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Source{c, c.endpoints.table.Source(spec)}
}

// Update takes in a message of the source.
func (s *Source) Update(u membership.Update) {
	kind := partialUpdate
	switch {
	case !u.Full || u.Basis == membership.Failed:
	case u.Cached:
		kind = cachedUpdate
	default:
		kind = completeUpdate
	}
	s.c.updateTable(kind, func(now time.Time) membership.Result { return s.source.Update(now, u) })
}

// Change takes in the records that have changed.
func (s *Source) Change(members []Member) { s.Update(membership.Update{Records: members}) }

// Replace takes in a complete list: what it lacks is gone. A cached list, of an earlier run, may be out of date.
func (s *Source) Replace(members []Member, cached bool) {
	s.Update(membership.Update{Full: true, Cached: cached, Records: members})
}

// Renew extends the lease of the source's records: nothing has changed there.
func (s *Source) Renew() { s.c.updateTable(partialUpdate, s.source.Renew) }

// SerialSeen takes in the serial that a DNS zone has now, and reports whether its list is to be fetched.
func (s *Source) SerialSeen(serial uint32) (fetch bool) {
	s.c.updateTable(partialUpdate, func(now time.Time) (r membership.Result) {
		fetch, r = s.source.SerialSeen(now, serial)
		return r
	})
	return fetch
}

// Claims are the records that the source now stands for; a list to be cached.
func (s *Source) Claims() []Member {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	return s.source.Claims()
}

// CoveredShards is how many shards have a serving data node now.
func (c *Coordinator) CoveredShards() (n int) {
	serving := c.servingShardSets()
	for shard := range c.settings.Shards {
		for i := range c.settings.Reach {
			if serving[(shard+i)%c.settings.ShardSets] {
				n++
				break
			}
		}
	}
	return n
}

// servingShardSets are the shard sets with a serving data node.
func (c *Coordinator) servingShardSets() map[int]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	serving := map[int]bool{}
	for _, m := range c.endpoints.table.List() {
		if m.State == Serving {
			serving[m.ShardSet] = true
		}
	}
	return serving
}

// updateKind says how much of the list an update covers.
type updateKind int

const (
	partialUpdate  updateKind = iota // some records
	cachedUpdate                     // all, from the cache of an earlier run
	completeUpdate                   // all
)

// updateTable lets the membership table decide and applies the result at once, ahead of the module's next step: nothing more goes to a
// data node that has just been excluded. The module gets the complete list where a source has sent one, else the changes.
func (c *Coordinator) updateTable(kind updateKind, decide func(now time.Time) membership.Result) {
	c.mu.Lock()
	now := time.Now()
	result := decide(now)
	changed := kind != partialUpdate || len(result.Changes) > 0
	if changed {
		c.updateZoneMembers(now)
	}
	c.endpoints.version++
	event := aggregator.Event{Kind: aggregator.ListChanged}
	for _, m := range result.Changes {
		c.applyRecord(m)
		event.Members = append(event.Members, c.moduleMember(m))
	}
	switch {
	case kind == cachedUpdate && !c.endpoints.complete:
		event = c.completeList(aggregator.ListCached)
	case kind == completeUpdate:
		c.endpoints.complete = true
		event = c.completeList(aggregator.ListReplaced)
	}
	if changed {
		c.inbox = append(c.inbox, input{event: event})
	}
	c.mu.Unlock()
	if changed {
		c.wakeUp()
	}
	c.notifyStarts(result.Changes, now)
	c.logNotes(result.Notes)
}

// membershipEvidence is what the outcomes say of a data node's presence; those that are missing say nothing.
var membershipEvidence = map[Outcome]membership.Evidence{
	OK:             membership.Answered,
	Errored:        membership.Answered,
	Overloaded:     membership.Rejected,
	NotConnected:   membership.ConnectionRefused,
	ConnectTimeout: membership.ConnectionRefused,
	Reset:          membership.ConnectionReset,
	ConnectionLost: membership.ConnectionReopened,
}

// observeForMembership passes the end of an attempt or a probe to the membership table, unless the data node has moved or gone since.
func (c *Coordinator) observeForMembership(n *Node, outcome Outcome) {
	e, known := membershipEvidence[outcome]
	if !known || n.Excluded() || c.node(n.id) != n {
		return
	}
	c.updateTable(partialUpdate, func(now time.Time) membership.Result { return c.endpoints.table.Observe(now, n.id, e) })
}

// applyRecord creates, updates or retires the data node of a record. One that has moved is served by a new dispatcher: nothing more goes
// to the old address, and what is in flight there ends there. The caller holds the lock.
func (c *Coordinator) applyRecord(m Member) {
	n := c.endpoints.nodes[m.ID]
	if n != nil && (m.State == Gone || n.member.Addr != m.Addr || n.member.Proto != m.Proto) {
		n.exclude()
		n.retired = true
		n.signal()
		delete(c.endpoints.nodes, m.ID)
		n = nil
	}
	if m.State == Gone {
		return
	}
	if n == nil {
		dispatch := c.endpoints.dispatchers[m.Proto]
		if dispatch == nil {
			c.log.Warn("no dispatcher for the data node's protocol", "node", m.ID, "proto", m.Proto)
			return
		}
		n = &Node{id: m.ID, c: c, dispatch: dispatch, ready: make(chan struct{}, 1)}
		c.endpoints.nodes[m.ID] = n
	}
	if m.Started.After(n.member.Started) && n.member.ID != "" {
		n.restartVersion.Store(c.endpoints.version)
	}
	n.member = m
	n.announced.Store(c.isAnnounced(m))
	if m.State != Serving || c.isExcluded(m) {
		n.exclude()
	} else {
		n.excluded.Store(false)
	}
}

// completeList is the joined list of all sources. The caller holds the lock.
func (c *Coordinator) completeList(kind aggregator.EventKind) aggregator.Event {
	return c.listEvent(kind, func(Member) bool { return true })
}

// listEvent is an event with the listed records that are wanted. The caller holds the lock.
func (c *Coordinator) listEvent(kind aggregator.EventKind, wanted func(Member) bool) aggregator.Event {
	event := aggregator.Event{Kind: kind}
	for _, m := range c.endpoints.table.List() {
		if wanted(m) {
			event.Members = append(event.Members, c.moduleMember(m))
		}
	}
	return event
}

// moduleStates maps the states of a record to the module's.
var moduleStates = [...]aggregator.State{Serving: aggregator.Serving, Draining: aggregator.Draining, Gone: aggregator.Gone}

// moduleMember turns a record into the module's terms, as changed by its zone, by maintenance and by what peers report. The caller holds
// the lock.
func (c *Coordinator) moduleMember(m Member) aggregator.Member {
	out := aggregator.Member{Replica: m.ID, ShardSet: m.ShardSet, Zone: m.Zone, Size: m.Weight, State: moduleStates[m.State]}
	if !m.Started.IsZero() {
		out.Started = max(c.moduleClock(m.Started), time.Nanosecond)
	}
	return c.adjustForMaintenance(m, c.adjustForZone(m, c.adjustForReportedStart(m, out)))
}
