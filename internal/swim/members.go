package swim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// member is the record of one member. Times are on this member's clock.
type member struct {
	Update
	announced    bool          // a Change was emitted for this member
	since        time.Duration // start of its state
	inProbeOrder bool          // it is in memberList.probeOrder

	suspectedAt time.Duration // Suspect: start of the suspicion
	deadAt      time.Duration // Suspect: when it is declared dead if it does not refute
	suspectors  []string      // Suspect: the members that suspect it

	lastHeard time.Duration // last packet from the member itself; 0 for never
	lastAck   time.Duration // last direct ack from it; 0 for never
	rtt       time.Duration // round-trip time of that ack
	intervals intervalStats // of its packets

	missedAcks       int           // consecutive probes without a direct ack
	firstMissedAt    time.Duration // when the first of them was sent
	unansweredProbes int           // consecutive probes without any ack, direct or indirect

	formerProcesses []uint64 // earlier processes under this name: updates on them are outdated
	reportedCut     string   // Link.From of the link to or from it that this member reports as cut; empty for none
}

// aliveOrSuspect reports whether a member is alive or suspect; only such members are probed and sent updates.
func aliveOrSuspect(m *member) bool { return m.State <= Suspect }

func dead(m *member) bool { return m.State == Dead }

// memberList holds the members and the order in which they are probed.
type memberList struct {
	byName      map[string]*member // this member included
	probeOrder  []string           // names of all members but this one and those that have left
	nextIndex   int                // index in probeOrder of the next member to probe
	counts      [Left + 1]int      // number of other members by state
	nextCheckAt time.Duration      // when the next suspicion ends or the next member that has left is forgotten; 0 for never
}

// size returns the number of members that have not left, this one included.
func (l *memberList) size() int { return len(l.probeOrder) + 1 }

// addToProbeOrder inserts a member at a random place in the probe order, so that no two members probe in the same order.
func (l *memberList) addToProbeOrder(m *member, rng *rand.Rand) {
	if m.inProbeOrder {
		return
	}
	m.inProbeOrder = true
	i := rng.IntN(len(l.probeOrder) + 1)
	if l.probeOrder = slices.Insert(l.probeOrder, i, m.Name); i < l.nextIndex {
		l.nextIndex++
	}
}

// removeFromProbeOrder removes a member that has left from the probe order.
func (l *memberList) removeFromProbeOrder(m *member) {
	i := slices.Index(l.probeOrder, m.Name)
	if i < 0 {
		return
	}
	m.inProbeOrder = false
	if l.probeOrder = slices.Delete(l.probeOrder, i, i+1); i < l.nextIndex {
		l.nextIndex--
	}
}

// pick returns a random member of the probe order that matches; nil if there is none.
func (l *memberList) pick(rng *rand.Rand, matches func(*member) bool) *member {
	if len(l.probeOrder) == 0 {
		return nil
	}
	for range maxRandomTries {
		if m := l.byName[l.probeOrder[rng.IntN(len(l.probeOrder))]]; matches(m) {
			return m
		}
	}
	from := rng.IntN(len(l.probeOrder))
	for i := range l.probeOrder {
		if m := l.byName[l.probeOrder[(from+i)%len(l.probeOrder)]]; matches(m) {
			return m
		}
	}
	return nil
}

// scheduleCheck schedules the next check of suspicions at a time or earlier.
func (l *memberList) scheduleCheck(at time.Duration) {
	if l.nextCheckAt == 0 || at < l.nextCheckAt {
		l.nextCheckAt = at
	}
}

// origin tells who stated an update.
type origin uint8

const (
	fromOther  origin = iota
	fromItself        // the member that the update is about
)

// resolveSender applies the statement of a message's sender on itself and returns the record of the sender. It returns nil for
// this process itself, and for a process that can't be a member, to which it sends a Reject.
func (s *Swim) resolveSender(from *Update) *member {
	reason := s.nameConflict(from)
	if from.Name == s.cfg.Self && from.Process == s.cfg.Process {
		return nil
	}
	if from.Name == s.cfg.Self || reason != "" {
		s.counts.Dropped++
		s.send(from.Addr, Message{Kind: Reject, Reason: reason})
		return nil
	}
	s.applyUpdate(*from, fromItself, "announced by the member itself")
	return s.members.byName[from.Name]
}

// nameConflict returns why a process can't be the member that it claims to be; empty if it can. A process at the address of the
// former one has replaced it, since one address has one process. At another address, the name is free once the former one is
// dead or has left. This guards against two coordinators under one name that keep refuting each other; the second one shows
// `refused by the other coordinators`.
func (s *Swim) nameConflict(u *Update) string {
	m := s.members.byName[u.Name]
	if m == nil || m.Process == u.Process || m != s.self && (m.Addr == u.Addr || m.State >= Dead) {
		return ""
	}
	return fmt.Sprintf("the name %q is in use by another process at %s; stop that one, or give this one a name of its own", u.Name, m.Addr)
}

// applyAll applies the updates and link reports of a packet or of a full state.
func (s *Swim) applyAll(updates []Update, links []Link) {
	for _, u := range updates {
		switch {
		case u.Name == s.cfg.Self:
			s.refute(u)
		case s.nameConflict(&u) != "":
			s.counts.Dropped++
		default:
			s.applyUpdate(u, fromOther, u.reason())
		}
	}
	for _, l := range links {
		s.applyLink(l)
	}
}

// reason returns the cause given in the Change for an update received from another member.
func (u *Update) reason() string {
	switch {
	case u.State == Alive || u.State > Left:
		return "learned from another member"
	case u.By == "":
		return "announced by the member itself"
	}
	return "reported by " + u.By
}

// refute answers a wrong update on this member with a higher incarnation.
func (s *Swim) refute(u Update) {
	if u.Process != s.cfg.Process && u.State == Alive && u.Incarnation <= s.self.Incarnation {
		return // on the previous process, or on another one that will be rejected
	}
	if !u.newer(&s.self.Update) || s.leaving {
		return
	}
	if u.Incarnation > s.self.Incarnation+maxIncarnationJump {
		s.counts.Dropped++
		return
	}
	s.self.Incarnation = max(s.self.Incarnation, u.Incarnation) + 1
	if u.State == Suspect || u.State == Dead {
		s.counts.Refuted++
		s.degrade(1)
	}
	s.broadcasts.addUpdate(s.self.Update)
}

// applyUpdate applies an update on another member; reason is the cause given in the Change.
func (s *Swim) applyUpdate(u Update, source origin, reason string) {
	m := s.members.byName[u.Name]
	switch {
	case m == nil:
		s.addMember(u, reason)
	case u.Incarnation > m.Incarnation+maxIncarnationJump:
		s.counts.Dropped++
	case u.Process != m.Process:
		s.replaceProcess(m, u, source)
	case u.newer(&m.Update):
		if m.State == Left {
			s.members.addToProbeOrder(m, s.rng)
		}
		s.setState(m, u, reason)
	case u.State == Suspect && m.State == Suspect && u.Incarnation == m.Incarnation:
		s.confirm(m, u.By)
	}
}

// addMember adds an unknown member. One that has already left is not added.
func (s *Swim) addMember(u Update, reason string) {
	if u.State == Left || len(s.members.byName) >= maxMembers {
		return
	}
	m := &member{Update: u, since: s.now}
	m.State, m.Incarnation = Left, 0 // an unknown member counts as one that has left
	s.members.byName[u.Name] = m
	s.members.counts[Left]++
	s.members.addToProbeOrder(m, s.rng)
	s.setState(m, u, reason)
}

// replaceProcess applies an update on another process under the name of a member. The process's own statement counts from its
// start, when its incarnation may be lower than that of the previous process. Statements of others count only if they are
// newer: otherwise updates on the previous process that are still being gossiped would bring it back.
func (s *Swim) replaceProcess(m *member, u Update, source origin) {
	mustBeNewer := source == fromOther || slices.Contains(m.formerProcesses, u.Process)
	if u.State != Alive || u.Incarnation <= m.Incarnation && mustBeNewer {
		if source == fromItself {
			s.broadcasts.addUpdate(m.Update) // the process learns the stored update, and refutes it
		}
		return
	}
	if m.formerProcesses = append(m.formerProcesses, m.Process); len(m.formerProcesses) > maxFormerProcesses {
		m.formerProcesses = m.formerProcesses[1:]
	}
	u.Incarnation = max(u.Incarnation, m.Incarnation+1)
	m.intervals, m.missedAcks, m.unansweredProbes, m.lastHeard, m.lastAck = intervalStats{}, 0, 0, 0, 0
	if m.State == Left {
		s.members.addToProbeOrder(m, s.rng)
	}
	s.setState(m, u, "replaced by another process")
}

// setState stores an update as the current one on a member, and gossips it.
func (s *Swim) setState(m *member, u Update, reason string) {
	former, isNew := m.State, !m.announced
	s.members.counts[former]--
	s.members.counts[u.State]++
	s.quorum.stale = true
	m.Update, m.announced = u, true
	m.suspectors = nil
	if former != u.State {
		m.since = s.now
	}
	switch u.State {
	case Alive:
		m.unansweredProbes = 0
	case Suspect:
		m.suspectedAt = s.now
		s.confirm(m, u.By)
		s.prober.queueRecheck(m.Name) // so that this member confirms or clears the suspicion itself
	case Dead:
		s.dropLinks(m)
	case Left:
		s.members.scheduleCheck(s.now + s.cfg.ForgetAfter)
		s.members.removeFromProbeOrder(m)
		s.dropLinks(m)
	}
	s.broadcasts.addUpdate(u)
	if former != u.State {
		s.emitChange(Change{Name: u.Name, State: u.State, Previous: former, New: isNew, Reason: reason})
	}
}
