package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/zones"
)

// zoneInterval is how often the states of zones are updated while some zone is not healthy or some data node fails. Their rules then
// hold to a tenth of a second, and a healthy fleet costs nothing.
const zoneInterval = 100 * time.Millisecond

// zoneLogInterval is the shortest time between two log lines of one zone and state, so that a zone that flaps does not fill the log.
const zoneLogInterval = time.Second

// zoneState is the coordinator's part in the states of zones. Its fields are guarded by Coordinator.mu.
type zoneState struct {
	tracker            *zones.Tracker
	loggedAt           map[zoneLine]time.Time // when such a change was last logged
	suppressed         map[zoneLine]int       // changes since that were not logged
	lastAnswer         map[string]time.Time   // by data node: of an attempt or a probe
	lastConnectionLoss map[string]time.Time   // by data node: of a connection that could be opened again
}

// zoneLine is a kind of log line: a zone went into a state.
type zoneLine struct {
	zone string
	to   zones.State
}

// WatchZones lets zones that fail as a whole be left, and returned to at the pace of slow start. It is called before Run. Without it each
// data node is judged alone, as on the platform.
func (c *Coordinator) WatchZones(cfg zones.Config) error {
	tracker, err := zones.New(cfg)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zones = &zoneState{
		tracker:            tracker,
		loggedAt:           map[zoneLine]time.Time{},
		suppressed:         map[zoneLine]int{},
		lastAnswer:         map[string]time.Time{},
		lastConnectionLoss: map[string]time.Time{},
	}
	return nil
}

// Zones gives the states of all zones; nil where zones are not watched.
func (c *Coordinator) Zones() []zones.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.zones == nil {
		return nil
	}
	return c.zones.tracker.All(time.Now())
}

// DrainZones makes the zones that an operator has drained exactly those named. They are left whatever the evidence says; those that are
// no longer named return at the pace of slow start. Naming a zone is an error where zones are not watched.
func (c *Coordinator) DrainZones(names []string) error {
	c.mu.Lock()
	if c.zones == nil {
		c.mu.Unlock()
		if len(names) == 0 {
			return nil
		}
		return fmt.Errorf("zones.drained: %v: zones are not watched; set zones.enabled in the deploy file", names)
	}
	changes := c.zones.setDrained(time.Now(), names)
	if len(changes) > 0 {
		c.inbox = append(c.inbox, input{event: c.zoneListEvent(changes)})
	}
	c.mu.Unlock()
	for _, ch := range changes {
		c.log.Warn("zone "+ch.To.String(), "zone", ch.Zone, "was", ch.From.String(), "why", ch.Reason)
	}
	c.wakeUp()
	return nil
}

// setDrained drains the zones named and undrains all others.
func (z *zoneState) setDrained(now time.Time, names []string) (changes []zones.Change) {
	named := map[string]bool{}
	for _, name := range names {
		named[name] = true
	}
	for _, s := range z.tracker.All(now) {
		if s.Drained && !named[s.Zone] {
			changes = append(changes, z.tracker.Undrain(now, s.Zone))
		}
	}
	for _, name := range names {
		if !z.tracker.Drained(name) {
			changes = append(changes, z.tracker.Drain(now, name))
		}
	}
	return changes
}

// zoneEvidence is what the outcomes alone say of a zone; those that are missing depend on what else was seen.
var zoneEvidence = map[Outcome]zones.Evidence{
	OK:             zones.Good,
	Errored:        zones.Good,
	NotConnected:   zones.Refused,
	ConnectTimeout: zones.Refused,
	Reset:          zones.Refused,
}

// observeForZones passes the end of an attempt, or of a probe where a is nil, to the tracker of zones. The caller does not hold the lock.
func (c *Coordinator) observeForZones(n *Node, a *Attempt, outcome Outcome, now time.Time) {
	if c.zones == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, known := c.zones.evidence(n.id, a, outcome, now); known {
		c.zones.tracker.Observe(now, n.member.Zone, n.id, e)
	}
}

// evidence is what the end of an attempt or a probe at a data node says of its zone; not known where it says nothing.
//
// A cancelled attempt is a timeout where its time ran out. It is one too where the module cancelled it and the data node has answered
// nothing since it was sent: the module sends the part elsewhere before its time runs out, so a zone that swallows what it is sent would
// else give no evidence at all. While the data node answers others, a cancellation says nothing: most come with the end of a query.
//
// A lost connection that can be opened again is a refusal only where what was sent on the new one is lost too, with no answer between:
// such a data node takes connections and resets each.
func (z *zoneState) evidence(node string, a *Attempt, outcome Outcome, now time.Time) (e zones.Evidence, known bool) {
	e, known = zoneEvidence[outcome]
	switch {
	case outcome == OK || outcome == Errored || outcome == Overloaded:
		z.lastAnswer[node] = now
	case a == nil:
	case outcome == ConnectionLost:
		lost := z.lastConnectionLoss[node]
		z.lastConnectionLoss[node] = now
		if !lost.IsZero() && a.sentAt.After(lost) && z.lastAnswer[node].Before(lost) {
			return zones.Refused, true
		}
	case outcome != Cancelled:
	case a.cancelReason == aggregator.TimedOut, a.cancelReason == aggregator.Cancelled && z.lastAnswer[node].Before(a.sentAt):
		return zones.TimedOut, true
	}
	return e, known
}

// updateZoneMembers tells the tracker which data nodes serve, by zone. The caller holds the lock.
func (c *Coordinator) updateZoneMembers(now time.Time) {
	if c.zones == nil {
		return
	}
	serving := map[string]string{}
	for _, m := range c.endpoints.table.List() {
		if m.State == Serving {
			serving[m.ID] = m.Zone
		}
	}
	c.zones.tracker.List(now, serving)
	left := func(id string, _ time.Time) bool {
		_, serves := serving[id]
		return !serves
	}
	maps.DeleteFunc(c.zones.lastAnswer, left)
	maps.DeleteFunc(c.zones.lastConnectionLoss, left)
}

// stepZones updates the states of zones. It returns the event that hands the module what changed, if anything, and when the states must
// be updated again. The caller does not hold the lock.
func (c *Coordinator) stepZones(now time.Time) (events []aggregator.Event, next time.Time) {
	if c.zones == nil {
		return nil, time.Time{}
	}
	c.mu.Lock()
	changes := c.zones.tracker.Step(now)
	if len(changes) > 0 {
		events = append(events, c.zoneListEvent(changes))
	}
	lines := c.zones.logLines(now, changes)
	failures := c.zones.failures(now, changes)
	if !c.zones.settled(now) {
		next = now.Add(zoneInterval)
	}
	c.mu.Unlock()
	for _, line := range lines {
		line.log(c.log)
	}
	// Peers hear of failures only once their zone is out: one attempt without an answer proves nothing.
	c.observed(failures...)
	return events, next
}

// zoneChange is a change that is to be logged, with how many of its kind were not.
type zoneChange struct {
	zones.Change
	suppressed int
}

// logLines are the changes to be logged; the others are counted.
func (z *zoneState) logLines(now time.Time, changes []zones.Change) (lines []zoneChange) {
	for _, ch := range changes {
		kind := zoneLine{ch.Zone, ch.To}
		if now.Sub(z.loggedAt[kind]) < zoneLogInterval {
			z.suppressed[kind]++
			continue
		}
		z.loggedAt[kind] = now
		lines = append(lines, zoneChange{ch, z.suppressed[kind]})
		delete(z.suppressed, kind)
	}
	return lines
}

func (ch zoneChange) log(log *slog.Logger) {
	level := slog.LevelInfo
	if ch.To == zones.Out {
		level = slog.LevelWarn
	}
	log.Log(context.Background(), level, "zone "+ch.To.String(), "zone", ch.Zone, "was", ch.From.String(), "why", ch.Reason,
		"untold", ch.suppressed)
}

// failures are the data nodes that fail in the zones that have just gone out.
func (z *zoneState) failures(now time.Time, changes []zones.Change) (failures []Observation) {
	for _, ch := range changes {
		if ch.To != zones.Out {
			continue
		}
		for _, id := range z.tracker.Failing(now, ch.Zone) {
			failures = append(failures, Observation{Node: id, Failed: true, Utilization: -1})
		}
	}
	return failures
}

// settled reports whether all zones are healthy and no data node fails.
func (z *zoneState) settled(now time.Time) bool {
	for _, s := range z.tracker.All(now) {
		if s.State != zones.Healthy || s.Failing > 0 {
			return false
		}
	}
	return true
}

// zoneListEvent hands the module the data nodes of the zones that changed. The caller holds the lock.
func (c *Coordinator) zoneListEvent(changes []zones.Change) aggregator.Event {
	changed := map[string]bool{}
	for _, ch := range changes {
		changed[ch.Zone] = true
	}
	return c.listEvent(aggregator.ListChanged, func(m Member) bool { return changed[m.Zone] })
}

// adjustForZone makes a data node of a zone that is out draining, and one of a zone that returns a data node that started with the
// return. What is in flight there goes on under the module's rules. The caller holds the lock.
func (c *Coordinator) adjustForZone(m Member, out aggregator.Member) aggregator.Member {
	if c.zones == nil {
		return out
	}
	if out.State == aggregator.Serving && !c.zones.tracker.Usable(m.Zone) {
		out.State = aggregator.Draining
	}
	if since, ok := c.zones.tracker.WarmingSince(m.Zone); ok {
		out.Started = max(out.Started, c.moduleClock(since))
	}
	return out
}
