package coordinator

import (
	"time"

	"gullfall/aggregator"
	"gullfall/internal/membership"
)

// Member is one entry of the list of data nodes.
type Member = membership.Record

// State is the listed state of a data node.
type State = membership.State

// The states of a data node.
const (
	Serving  = membership.Serving
	Draining = membership.Draining
	Gone     = membership.Gone
)

// endpoints is the list of data nodes, merged from all sources. Coordinator.mu guards its fields.
type endpoints struct {
	table          *membership.Table
	dispatchers    map[string]Dispatcher // by protocol
	nodes          map[string]*Node      // the listed data nodes, by ID
	complete       bool                  // a source has sent a complete list that was not cached
	reportedStarts map[string]time.Time  // start times reported by peers, by data node ID
	version        uint64                // number of updates
}

func newEndpoints(table *membership.Table) endpoints {
	return endpoints{table: table, dispatchers: map[string]Dispatcher{}, nodes: map[string]*Node{}, reportedStarts: map[string]time.Time{}}
}

// Source is one source of the list of data nodes.
type Source struct {
	c      *Coordinator
	source *membership.Source
}

// AddSource adds a source. The list is merged from all sources.
func (c *Coordinator) AddSource(spec membership.Spec) *Source {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Source{c, c.endpoints.table.AddSource(spec)}
}

// Update applies an update from the source.
func (s *Source) Update(u membership.Update) {
	kind := partialUpdate
	switch {
	case !u.Full || u.Reliability == membership.Failed:
	case u.Cached:
		kind = cachedUpdate
	default:
		kind = completeUpdate
	}
	s.c.updateTable(kind, func(now time.Time) membership.Result { return s.source.Update(now, u) })
}

// ApplyChanges applies changed records.
func (s *Source) ApplyChanges(members []Member) { s.Update(membership.Update{Records: members}) }

// ReplaceList applies a complete list: data nodes that it does not contain are gone. A cached list was saved by an earlier run and may be
// out of date.
func (s *Source) ReplaceList(members []Member, cached bool) {
	s.Update(membership.Update{Full: true, Cached: cached, Records: members})
}

// Renew extends the lease of the source's records after the source has confirmed that they are unchanged.
func (s *Source) Renew() { s.c.updateTable(partialUpdate, s.source.Renew) }

// CheckSerial records the current serial of a DNS zone, and reports whether the zone's list must be fetched.
func (s *Source) CheckSerial(serial uint32) (fetch bool) {
	s.c.updateTable(partialUpdate, func(now time.Time) (r membership.Result) {
		fetch, r = s.source.CheckSerial(now, serial)
		return r
	})
	return fetch
}

// Records returns the records that the source currently contributes to the list, to be cached for the next run.
func (s *Source) Records() []Member {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	return s.source.Claims()
}

// CoveredShards returns the number of shards that have at least one serving data node.
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

// servingShardSets returns the shard sets that have a serving data node.
func (c *Coordinator) servingShardSets() map[int]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	serving := map[int]bool{}
	for _, m := range c.endpoints.table.List() {
		if m.State == Serving && c.endpoints.nodes[m.ID] != nil {
			serving[m.ShardSet] = true
		}
	}
	return serving
}

// updateKind is the scope of an update to the list.
type updateKind int

const (
	partialUpdate  updateKind = iota // some records
	cachedUpdate                     // the complete list, from the cache of an earlier run
	completeUpdate                   // the complete list
)

// updateTable updates the membership table and applies the result immediately, before the decision module's next step, so that nothing more
// is sent to a data node that has just been excluded. The module receives the complete list if a source has sent one, otherwise the
// changes.
func (c *Coordinator) updateTable(kind updateKind, update func(now time.Time) membership.Result) {
	c.mu.Lock()
	now := time.Now()
	result := update(now)
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

// membershipEvidence maps outcomes to evidence of whether a data node is alive. Outcomes that are missing give no evidence.
var membershipEvidence = map[Outcome]membership.Evidence{
	OK:             membership.Answered,
	Errored:        membership.Answered,
	Overloaded:     membership.Rejected,
	NotConnected:   membership.ConnectionRefused,
	ConnectTimeout: membership.ConnectionRefused,
	Reset:          membership.ConnectionReset,
	ConnectionLost: membership.ConnectionReopened,
}

// observeForMembership passes the outcome of an attempt or a probe to the membership table, unless the data node has moved or left the
// list since.
func (c *Coordinator) observeForMembership(n *Node, outcome Outcome) {
	e, known := membershipEvidence[outcome]
	if !known || n.Excluded() || c.node(n.id) != n {
		return
	}
	c.updateTable(partialUpdate, func(now time.Time) membership.Result { return c.endpoints.table.Observe(now, n.id, e) })
}

// applyRecord creates, updates or retires the data node of a record. A data node whose address or protocol has changed gets a new
// dispatcher: nothing more is sent to the old address, and attempts in flight there end there. One without a dispatcher for its protocol
// does not exist for the module. The caller holds the lock.
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
			return // RegisterDispatcher applies the record again
		}
		n = newNode(c, m.ID, dispatch)
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

// completeList returns an event with all listed data nodes. The caller holds the lock.
func (c *Coordinator) completeList(kind aggregator.EventKind) aggregator.Event {
	return c.listEvent(kind, func(Member) bool { return true })
}

// listEvent returns an event with the listed records that the filter accepts. The caller holds the lock.
func (c *Coordinator) listEvent(kind aggregator.EventKind, include func(Member) bool) aggregator.Event {
	event := aggregator.Event{Kind: kind}
	for _, m := range c.endpoints.table.List() {
		if c.endpoints.nodes[m.ID] != nil && include(m) {
			event.Members = append(event.Members, c.moduleMember(m))
		}
	}
	return event
}

// moduleStates maps the states of records to those of the decision module.
var moduleStates = [...]aggregator.State{Serving: aggregator.Serving, Draining: aggregator.Draining, Gone: aggregator.Gone}

// moduleMember converts a record to the module's type, adjusted for start times that peers reported, for the state of its zone and for
// maintenance. A data node that was retired or has no dispatcher is gone for the module. The caller holds the lock.
func (c *Coordinator) moduleMember(m Member) aggregator.Member {
	member := aggregator.Member{Replica: m.ID, ShardSet: m.ShardSet, Zone: m.Zone, Size: m.Weight, State: moduleStates[m.State]}
	if c.endpoints.nodes[m.ID] == nil {
		member.State = aggregator.Gone
	}
	if !m.Started.IsZero() {
		member.Started = max(c.moduleClock(m.Started), time.Nanosecond)
	}
	return c.adjustForMaintenance(m, c.adjustForZone(m, c.adjustForReportedStart(m, member)))
}
