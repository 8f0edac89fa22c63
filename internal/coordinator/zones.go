package coordinator

// This file owns what core passes to the zones' verdicts and what it makes of them: evidence of attempts, probes and
// the list goes in; a zone that is out is handed to the module as draining, a returning one as cold since its return
// began. It must never decide a verdict, nor bar a carrier for a zone's sake: what is out at a data node of a zone
// that is left ends there under the module's rules.

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/zones"
)

// zoneTick is how often verdicts are taken while some zone is not healthy or some data node fails: often enough that
// Confirm and Quiet hold to a tenth of a second, seldom enough to cost nothing at rest.
const zoneInterval = 100 * time.Millisecond

// zoneLogEvery bounds the log lines of one zone and verdict: a zone that flaps is told into each verdict once a second
// at most, with the changes that were not told; a zone that goes doubtful and then out is told both.
const zoneLogInterval = time.Second

// zoneWatch is core's part of the zones' verdicts. Its fields are guarded by Core.mu; Core.zones itself is set before
// Run and never after, so that where zones are not watched nothing here takes the lock.
type zoneState struct {
	tracker            *zones.Tracker
	loggedAt           map[string]time.Time // when a change of the zone was last logged
	suppressed         map[string]int       // by zone and verdict
	lastAnswer         map[string]time.Time // by data node: when it last answered an attempt or a probe
	lastConnectionLoss map[string]time.Time // and when a connection to it was last lost and could be opened again
}

// WatchZones lets zones that fail as a whole be left and returned to at a pace. It is called before Run; without it
// each data node is judged alone, as on the platform.
func (c *Coordinator) WatchZones(cfg zones.Config) error {
	t, err := zones.New(cfg)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zones = &zoneState{tracker: t, loggedAt: map[string]time.Time{}, suppressed: map[string]int{}, lastAnswer: map[string]time.Time{},
		lastConnectionLoss: map[string]time.Time{}}
	return nil
}

// Zones gives the verdicts of all zones; nil where zones are not watched.
func (c *Coordinator) Zones() []zones.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.zones == nil {
		return nil
	}
	return c.zones.tracker.All(time.Now())
}

// DrainZones makes the zones drained by an operator's word exactly those named: they are left whatever the guard
// says, and those drained before that are no longer named return at a pace.
func (c *Coordinator) DrainZones(names []string) error {
	c.mu.Lock()
	if c.zones == nil {
		c.mu.Unlock()
		if len(names) == 0 {
			return nil
		}
		return fmt.Errorf("zones.drained: %v: zones are not watched; set zones.enabled in the deploy file", names)
	}
	now := time.Now()
	named := map[string]bool{}
	var changes []zones.Change
	for _, z := range names {
		named[z] = true
	}
	for _, s := range c.zones.tracker.All(now) {
		if s.Drained && !named[s.Zone] {
			changes = append(changes, c.zones.tracker.Undrain(now, s.Zone))
		}
	}
	for _, z := range names {
		if !c.zones.tracker.Drained(z) {
			changes = append(changes, c.zones.tracker.Drain(now, z))
		}
	}
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

var zoneEvidence = map[Outcome]zones.Evidence{OK: zones.Good, Errored: zones.Good, NotConnected: zones.Refused, ConnectTimeout: zones.Refused,
	Reset: zones.Refused}

// zoneSaw passes on what the end of an attempt or a probe says of a data node's zone. An attempt given up because its
// time ran out is a timeout. So is one that the module gave up when nothing had been heard from the data node since
// the attempt was sent: a data node that swallows what it is sent never lets an attempt run out, for the module tries
// the part elsewhere first, and without this a silent zone would give no evidence at all. Given up while the data node
// answered others, an attempt says nothing: the module gives attempts up when their query ends for other reasons. A
// connection that was lost and is open again says nothing either, until what is sent on the new one is lost as well with no
// answer between: a data node that takes connections and resets each is no better than one that refuses. The caller holds
// no lock; a is nil for a probe.
func (c *Coordinator) observeForZones(n *Node, a *Attempt, end Outcome, now time.Time) {
	if c.zones == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e, known := zoneEvidence[end]
	switch {
	case end == OK || end == Errored || end == Overloaded:
		c.zones.lastAnswer[n.id] = now
	case end == ConnectionLost && a != nil:
		if last := c.zones.lastConnectionLoss[n.id]; !last.IsZero() && a.sentAt.After(last) && c.zones.lastAnswer[n.id].Before(last) {
			e, known = zones.Refused, true
		}
		c.zones.lastConnectionLoss[n.id] = now
	case end != Cancelled || a == nil:
	case a.cancelReason == aggregator.TimedOut, a.cancelReason == aggregator.Cancelled && c.zones.lastAnswer[n.id].Before(a.sentAt):
		e, known = zones.TimedOut, true
	}
	if known {
		c.zones.tracker.Observe(now, n.member.Zone, n.id, e)
	}
}

// zoneList passes on which data nodes serve, by zone; the caller holds the lock.
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
	for id := range c.zones.lastAnswer {
		if _, ok := serving[id]; !ok {
			delete(c.zones.lastAnswer, id)
		}
	}
	for id := range c.zones.lastConnectionLoss {
		if _, ok := serving[id]; !ok {
			delete(c.zones.lastConnectionLoss, id)
		}
	}
}

// zoneStep takes the verdicts that are due and returns the event that hands the module what changed, and when the
// verdicts must be taken again; the caller holds no lock.
func (c *Coordinator) stepZones(now time.Time) (event aggregator.Event, changed bool, next time.Time) {
	if c.zones == nil {
		return event, false, time.Time{}
	}
	c.mu.Lock()
	changes := c.zones.tracker.Step(now)
	if len(changes) > 0 {
		event, changed = c.zoneListEvent(changes), true
	}
	var lines []zones.Change
	for _, ch := range changes {
		key := ch.Zone + "\x00" + ch.To.String()
		if now.Sub(c.zones.loggedAt[key]) < zoneLogInterval {
			c.zones.suppressed[key]++
			continue
		}
		c.zones.loggedAt[key] = now
		lines = append(lines, ch)
	}
	untold := map[string]int{}
	for _, ch := range lines {
		key := ch.Zone + "\x00" + ch.To.String()
		untold[key] = c.zones.suppressed[key]
		delete(c.zones.suppressed, key)
	}
	var failing []string
	for _, ch := range changes {
		if ch.To == zones.Out {
			failing = append(failing, c.zones.tracker.Failing(now, ch.Zone)...)
		}
	}
	settled := true
	for _, s := range c.zones.tracker.All(now) {
		if s.State != zones.Healthy || s.Failing > 0 {
			settled = false
		}
	}
	c.mu.Unlock()
	for _, ch := range lines {
		level := slog.LevelInfo
		if ch.To == zones.Out {
			level = slog.LevelWarn
		}
		c.log.Log(context.Background(), level, "zone "+ch.To.String(), "zone", ch.Zone, "was", ch.From.String(), "why", ch.Reason,
			"untold", untold[ch.Zone+"\x00"+ch.To.String()])
	}
	// What was seen there is told once it is clear, as a silence is not by one attempt.
	if f := c.observer.Load(); f != nil {
		for _, id := range failing {
			(*f)(Observation{Node: id, Failed: true, Utilization: -1})
		}
	}
	if !settled {
		next = now.Add(zoneInterval)
	}
	return event, changed, next
}

// zoneMembers is the list event that hands the module the data nodes of the zones that changed; the caller holds
// the lock.
func (c *Coordinator) zoneListEvent(changes []zones.Change) aggregator.Event {
	of := map[string]bool{}
	for _, ch := range changes {
		of[ch.Zone] = true
	}
	event := aggregator.Event{Kind: aggregator.ListChanged}
	for _, m := range c.endpoints.table.List() {
		if of[m.Zone] {
			event.Members = append(event.Members, c.moduleMember(m))
		}
	}
	return event
}

// zoned turns a member's state and start by its zone's verdict; the caller holds the lock.
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
