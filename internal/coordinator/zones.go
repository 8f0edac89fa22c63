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

// zoneInterval is the interval at which zone states are updated while a zone is not healthy or a data node fails. The durations in the
// rules of package zones are therefore accurate to 0.1 s, and a healthy fleet causes no updates.
const zoneInterval = 100 * time.Millisecond

// zoneLogInterval is the minimum time between two log lines for the same zone and new state, so that a flapping zone does not flood the
// log.
const zoneLogInterval = time.Second

// zoneWatch holds the zone tracker and the coordinator's own data about zones. Coordinator.mu guards its fields.
type zoneWatch struct {
	tracker            *zones.Tracker
	loggedAt           map[zoneLogKey]time.Time // when the change of a zone to a state was last logged
	suppressed         map[zoneLogKey]int       // number of such changes since then that were not logged
	lastAnswer         map[string]time.Time     // last answer to an attempt or a probe, by data node
	lastConnectionLoss map[string]time.Time     // last loss of a connection that could be reopened, by data node
}

// zoneLogKey identifies the log lines about one kind of change: that of a zone to a state.
type zoneLogKey struct {
	zone string
	to   zones.State
}

// WatchZones enables the detection of zones that fail as a whole: nothing is sent to such a zone, and after its recovery its load grows at
// the rate of slow start. It must be called before Run. If it is not called, the health of each data node is
// tracked individually.
func (c *Coordinator) WatchZones(cfg zones.Config) error {
	tracker, err := zones.New(cfg)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zones = &zoneWatch{
		tracker:            tracker,
		loggedAt:           map[zoneLogKey]time.Time{},
		suppressed:         map[zoneLogKey]int{},
		lastAnswer:         map[string]time.Time{},
		lastConnectionLoss: map[string]time.Time{},
	}
	return nil
}

// Zones returns the status of all zones, or nil if zones are not watched.
func (c *Coordinator) Zones() []zones.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.zones == nil {
		return nil
	}
	return c.zones.tracker.Statuses(time.Now())
}

// DrainZones sets the zones that an operator has drained to exactly those named. They are out whatever the evidence says; zones that are
// no longer named return at the rate of slow start. It is an error to name a zone if zones are not watched.
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

// setDrained drains the named zones and undrains all others.
func (z *zoneWatch) setDrained(now time.Time, names []string) (changes []zones.Change) {
	named := map[string]bool{}
	for _, name := range names {
		named[name] = true
	}
	for _, s := range z.tracker.Statuses(now) {
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

// zoneEvidence maps outcomes to evidence about a zone. ConnectionLost and Cancelled give evidence only together with earlier observations
// (see evidence); Overloaded and NotSent give none.
var zoneEvidence = map[Outcome]zones.Evidence{
	OK:             zones.Good,
	Errored:        zones.Good,
	NotConnected:   zones.Refused,
	ConnectTimeout: zones.Refused,
	Reset:          zones.Refused,
}

// observeForZones passes the outcome of an attempt, or of a probe if a is nil, to the zone tracker. The caller does not hold the lock.
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

// evidence returns the evidence that the outcome of an attempt or a probe at a data node gives about its zone; known is false if it gives
// none.
//
// A cancelled attempt counts as a timeout if its deadline passed. It also counts as a timeout if the decision module cancelled it and the
// data node has answered nothing since it was sent: the module retries a part on another data node before its deadline, so a zone that
// accepts requests but never answers would otherwise give no evidence at all. While the data node answers other attempts, a cancellation
// gives no evidence, since most attempts are cancelled because their query ended.
//
// The loss of a connection that can be reopened counts as a refusal only if an attempt sent on the new connection is lost too, with no
// answer in between: such a data node accepts connections and resets each of them.
func (z *zoneWatch) evidence(node string, a *Attempt, outcome Outcome, now time.Time) (e zones.Evidence, known bool) {
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

// updateZoneMembers passes the serving data nodes and their zones to the tracker. The caller holds the lock.
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
	c.zones.tracker.SetListed(now, serving)
	notServing := func(id string, _ time.Time) bool {
		_, serves := serving[id]
		return !serves
	}
	maps.DeleteFunc(c.zones.lastAnswer, notServing)
	maps.DeleteFunc(c.zones.lastConnectionLoss, notServing)
}

// stepZones updates the states of zones. It returns an event that tells the decision module about changes, if there are any, and the time
// at which the states must be updated again. The caller does not hold the lock.
func (c *Coordinator) stepZones(now time.Time) (events []aggregator.Event, next time.Time) {
	if c.zones == nil {
		return nil, time.Time{}
	}
	c.mu.Lock()
	changes := c.zones.tracker.Step(now)
	if len(changes) > 0 {
		events = append(events, c.zoneListEvent(changes))
	}
	lines := c.zones.changesToLog(now, changes)
	failures := c.zones.failures(now, changes)
	if !c.zones.allHealthy(now) {
		next = now.Add(zoneInterval)
	}
	c.mu.Unlock()
	for _, line := range lines {
		line.log(c.log)
	}
	// Failures are reported to peers only once their zone is out, since a single unanswered attempt is no proof of a failure.
	c.emitObservations(failures...)
	return events, next
}

// loggedChange is a change to be logged, with the number of earlier changes of the same kind that were not logged.
type loggedChange struct {
	zones.Change
	suppressed int
}

// changesToLog returns the changes to be logged, and counts the others.
func (z *zoneWatch) changesToLog(now time.Time, changes []zones.Change) (lines []loggedChange) {
	for _, ch := range changes {
		kind := zoneLogKey{ch.Zone, ch.To}
		if now.Sub(z.loggedAt[kind]) < zoneLogInterval {
			z.suppressed[kind]++
			continue
		}
		z.loggedAt[kind] = now
		lines = append(lines, loggedChange{ch, z.suppressed[kind]})
		delete(z.suppressed, kind)
	}
	return lines
}

func (ch loggedChange) log(log *slog.Logger) {
	level := slog.LevelInfo
	if ch.To == zones.Out {
		level = slog.LevelWarn
	}
	log.Log(context.Background(), level, "zone "+ch.To.String(), "zone", ch.Zone, "was", ch.From.String(), "why", ch.Reason,
		"untold", ch.suppressed)
}

// failures returns an observation for each failing data node of the zones that have just gone out.
func (z *zoneWatch) failures(now time.Time, changes []zones.Change) (failures []Observation) {
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

// allHealthy reports whether all zones are healthy and no data node is failing.
func (z *zoneWatch) allHealthy(now time.Time) bool {
	for _, s := range z.tracker.Statuses(now) {
		if s.State != zones.Healthy || s.Failing > 0 {
			return false
		}
	}
	return true
}

// zoneListEvent returns an event with the data nodes of the changed zones. The caller holds the lock.
func (c *Coordinator) zoneListEvent(changes []zones.Change) aggregator.Event {
	changed := map[string]bool{}
	for _, ch := range changes {
		changed[ch.Zone] = true
	}
	return c.listEvent(aggregator.ListChanged, func(m Member) bool { return changed[m.Zone] })
}

// adjustForZone marks a data node as draining if its zone is out, and sets its start to the start of its zone's recovery if the zone is
// recovering and that is later. The decision module's rules for draining data nodes apply to attempts in flight there. The caller holds
// the lock.
func (c *Coordinator) adjustForZone(m Member, adjusted aggregator.Member) aggregator.Member {
	if c.zones == nil {
		return adjusted
	}
	if adjusted.State == aggregator.Serving && !c.zones.tracker.Usable(m.Zone) {
		adjusted.State = aggregator.Draining
	}
	if since, ok := c.zones.tracker.WarmingSince(m.Zone); ok {
		adjusted.Started = max(adjusted.Started, c.moduleClock(since))
	}
	return adjusted
}
