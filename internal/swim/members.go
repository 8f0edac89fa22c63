package swim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// member is what is known of one member. Times are of this member's clock.
type member struct {
	Update
	announced bool          // a Change was emitted for it
	since     time.Duration // of its state
	enrolled  bool          // it is in the order of probes

	suspectedAt time.Duration // Suspect: when that began
	deadAt      time.Duration // Suspect: when it is declared dead
	suspectors  []string      // Suspect: who says so

	heard     time.Duration // last packet of its own; 0 for never
	reached   time.Duration // last direct ack; 0 for never
	rtt       time.Duration // of that
	intervals intervalStats // between its packets

	missed     int           // direct acks in a row
	missedAt   time.Duration // the first of them
	unanswered int           // probes in a row that nobody answered, direct or indirect

	formerProcesses []uint64 // under this name: updates on them that still go round are old
	reportedCut     string   // From of the link to or from it that this member reports as cut; empty for none
}

// reachable tells whether a member is to be talked to: it is alive or suspect.
func reachable(m *member) bool { return m.State <= Suspect }

func dead(m *member) bool { return m.State == Dead }

// memberList holds the members and the order in which they are probed.
type memberList struct {
	byName  map[string]*member // this one included
	order   []string           // of probes: all but this one and those that have left
	next    int                // in order: whose turn it is
	counts  [Left + 1]int      // other members by state
	checkAt time.Duration      // when a suspicion ends, or one that has left is forgotten; 0 for never
}

// size counts the members that have not left, this one included.
func (l *memberList) size() int { return len(l.order) + 1 }

// enrol gives a member a random place in the order of probes, so that no two members probe in step.
func (l *memberList) enrol(m *member, rng *rand.Rand) {
	if m.enrolled {
		return
	}
	m.enrolled = true
	i := rng.IntN(len(l.order) + 1)
	if l.order = slices.Insert(l.order, i, m.Name); i < l.next {
		l.next++
	}
}

// withdraw takes a member that has left out of the order of probes.
func (l *memberList) withdraw(m *member) {
	i := slices.Index(l.order, m.Name)
	if i < 0 {
		return
	}
	m.enrolled = false
	if l.order = slices.Delete(l.order, i, i+1); i < l.next {
		l.next--
	}
}

// pick draws one of the enrolled members that fits; nil for none.
func (l *memberList) pick(rng *rand.Rand, fits func(*member) bool) *member {
	if len(l.order) == 0 {
		return nil
	}
	for range pickTries {
		if m := l.byName[l.order[rng.IntN(len(l.order))]]; fits(m) {
			return m
		}
	}
	from := rng.IntN(len(l.order))
	for i := range l.order {
		if m := l.byName[l.order[(from+i)%len(l.order)]]; fits(m) {
			return m
		}
	}
	return nil
}

// checkBy notes that suspicions must be looked at by a time.
func (l *memberList) checkBy(at time.Duration) {
	if l.checkAt == 0 || at < l.checkAt {
		l.checkAt = at
	}
}

// origin is who states an update.
type origin uint8

const (
	fromOther  origin = iota
	fromItself        // the member that it is about
)

// sender finds the sender of a message and adds it where it is new; nil where it can't be a member: it
// gets a Reject then.
func (s *Swim) sender(from *Update) *member {
	reason := s.nameConflict(from)
	if from.Name == s.cfg.Self && from.Process == s.cfg.Process {
		return nil
	}
	if from.Name == s.cfg.Self || reason != "" {
		s.counts.Dropped++
		s.send(from.Addr, Message{Kind: Reject, Reason: reason})
		return nil
	}
	s.applyUpdate(*from, fromItself, "it says so itself")
	return s.members.byName[from.Name]
}

// nameConflict tells why a process can't be the member that it says it is; empty where it can. One address has one
// process: one that comes from the address of the former has taken its place. From elsewhere the name is free once the
// former is dead or has left. It guards against two coordinators under one name that each refute what the other says,
// which shows at the second one as `refused by the other coordinators`.
func (s *Swim) nameConflict(u *Update) string {
	m := s.members.byName[u.Name]
	if m == nil || m.Process == u.Process || m != s.self && (m.Addr == u.Addr || m.State >= Dead) {
		return ""
	}
	return fmt.Sprintf("the name %q is in use by another process at %s; stop that one, or give this one a name of its own", u.Name, m.Addr)
}

// applyAll applies the updates and link reports of a packet or exchange.
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

// reason is why an update that came from another member counts.
func (u *Update) reason() string {
	switch {
	case u.State == Alive || u.State > Left:
		return "heard of it"
	case u.By == "":
		return "it has said so"
	}
	return "so says " + u.By
}

// refute answers what is wrong of this member itself, under a higher incarnation.
func (s *Swim) refute(u Update) {
	if u.Process != s.cfg.Process && u.State == Alive && u.Incarnation <= s.self.Incarnation {
		return // the process before this one, or another that will be rejected
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

// applyUpdate applies an update on another member.
func (s *Swim) applyUpdate(u Update, by origin, why string) {
	m := s.members.byName[u.Name]
	switch {
	case m == nil:
		s.addMember(u, why)
	case u.Incarnation > m.Incarnation+maxIncarnationJump:
		s.counts.Dropped++
	case u.Process != m.Process:
		s.replaceProcess(m, u, by)
	case u.newer(&m.Update):
		if m.State == Left {
			s.members.enrol(m, s.rng)
		}
		s.setState(m, u, why)
	case u.State == Suspect && m.State == Suspect && u.Incarnation == m.Incarnation:
		s.confirm(m, u.By)
	}
}

// addMember adds a member that was not known. One that has left already is not missed.
func (s *Swim) addMember(u Update, why string) {
	if u.State == Left || len(s.members.byName) >= maxMembers {
		return
	}
	m := &member{Update: u, since: s.now}
	m.State, m.Incarnation = Left, 0 // as it was to this member
	s.members.byName[u.Name] = m
	s.members.counts[Left]++
	s.members.enrol(m, s.rng)
	s.setState(m, u, why)
}

// replaceProcess applies an update on another process under the name of a member. Its own statement counts from its start,
// when its incarnation may be lower than that of the process before; what others state counts where it is newer, else the
// process before would come back by the updates on it that still go round.
func (s *Swim) replaceProcess(m *member, u Update, by origin) {
	former := by == fromOther || slices.Contains(m.formerProcesses, u.Process)
	if u.State != Alive || u.Incarnation <= m.Incarnation && former {
		if by == fromItself {
			s.broadcasts.addUpdate(m.Update) // it learns what is held of it, and refutes that
		}
		return
	}
	if m.formerProcesses = append(m.formerProcesses, m.Process); len(m.formerProcesses) > maxFormer {
		m.formerProcesses = m.formerProcesses[1:]
	}
	u.Incarnation = max(u.Incarnation, m.Incarnation+1)
	m.intervals, m.missed, m.unanswered, m.heard, m.reached = intervalStats{}, 0, 0, 0, 0
	if m.State == Left {
		s.members.enrol(m, s.rng)
	}
	s.setState(m, u, "another process has taken its place")
}

// setState makes an update the one that is held of a member, and passes it on.
func (s *Swim) setState(m *member, u Update, why string) {
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
		m.unanswered = 0
	case Suspect:
		m.suspectedAt = s.now
		s.confirm(m, u.By)
		s.prober.recheckSoon(m.Name) // so that this member comes to its own judgement
	case Dead:
		s.dropLinks(m)
	case Left:
		s.members.checkBy(s.now + s.cfg.ForgetAfter)
		s.members.withdraw(m)
		s.dropLinks(m)
	}
	s.broadcasts.addUpdate(u)
	if former != u.State {
		s.emitChange(Change{Name: u.Name, State: u.State, Was: former, New: isNew, Why: why})
	}
}
