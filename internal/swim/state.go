package swim

// This file owns what is held of each member: which word is the newer, suspicions and their time, refutation, and news
// that is to be passed on. It must never let a word of anybody but the member itself raise its incarnation.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// newer tells whether a word overrides what is held.
func newer(u, held *Update) bool {
	if u.Incarnation != held.Incarnation {
		return u.Incarnation > held.Incarnation
	}
	return u.State > held.State
}

// known finds the sender of a message, taking it in where it is new; nil where it can't be a member.
func (s *Swim) sender(from *Update) *member {
	if from.Name == s.cfg.Self {
		if from.Process != s.cfg.Process {
			s.counts.Dropped++
			s.send(from.Addr, Message{Kind: Reject, Reason: s.nameConflict(from)})
		}
		return nil
	}
	if why := s.nameConflict(from); why != "" {
		s.counts.Dropped++
		s.send(from.Addr, Message{Kind: Reject, Reason: why})
		return nil
	}
	s.apply(*from, true, "it says so itself")
	return s.members[from.Name]
}

// clash tells why a process can't be the member that it says it is; empty where it can. One address has one process: who
// comes from the address of the one before has taken its place. From elsewhere the name is free once that one is dead or
// has left.
func (s *Swim) nameConflict(u *Update) string {
	m := s.members[u.Name]
	if m == nil || m.Process == u.Process || m != s.self && (m.Addr == u.Addr || m.State >= Dead) {
		return ""
	}
	return fmt.Sprintf("the name %q is in use by another process at %s; stop that one, or give this one a name of its own", u.Name, m.Addr)
}

// take takes in news.
func (s *Swim) applyAll(updates []Update, links []Link) {
	for _, u := range updates {
		if u.Name == s.cfg.Self {
			s.refute(u)
			continue
		}
		if s.nameConflict(&u) != "" {
			s.counts.Dropped++
			continue
		}
		why := "heard of it"
		if u.State == Suspect || u.State == Dead || u.State == Left {
			why = "so says " + u.By
			if u.By == "" {
				why = "it has said so"
			}
		}
		s.apply(u, false, why)
	}
	for _, l := range links {
		s.applyLink(l)
	}
}

// aboutUs refutes what is wrong of ourselves, under a higher incarnation.
func (s *Swim) refute(u Update) {
	if u.Process != s.cfg.Process && u.State == Alive && u.Incarnation <= s.self.Incarnation {
		return // the one before us, or another that will be refused
	}
	mine := s.self
	if !newer(&u, &mine.Update) || s.leaving {
		return
	}
	if u.Incarnation > mine.Incarnation+maxIncarnationJump {
		s.counts.Dropped++
		return
	}
	mine.Incarnation = max(mine.Incarnation, u.Incarnation) + 1
	if u.State == Suspect || u.State == Dead {
		s.counts.Refuted++
		s.degrade(1)
	}
	s.broadcast(mine.Update)
}

// apply takes in a word on another member, its own or somebody else's.
func (s *Swim) apply(u Update, itself bool, why string) {
	m := s.members[u.Name]
	if m == nil {
		if u.State == Left || len(s.members) >= maxMembers {
			return // nobody that we know is lost by it
		}
		m = &member{Update: u, since: s.now}
		m.State = Left // as it was for us
		m.Incarnation = 0
		s.members[u.Name] = m
		s.stateCounts[Left]++
		s.enrol(m)
		s.setState(m, u, true, why)
		return
	}
	if u.Incarnation > m.Incarnation+maxIncarnationJump {
		s.counts.Dropped++
		return
	}
	if u.Process != m.Process {
		// Another process has taken its place. Its own word counts from its start, when it has less behind it than the one
		// before; what others say counts where it is the newer, else the one before would come back by what goes round of it.
		if u.State != Alive || u.Incarnation <= m.Incarnation && (!itself || slices.Contains(m.formerProcesses, u.Process)) {
			if itself {
				s.broadcast(m.Update) // it hears what is held of it, and says more
			}
			return
		}
		if m.formerProcesses = append(m.formerProcesses, m.Process); len(m.formerProcesses) > 8 {
			m.formerProcesses = m.formerProcesses[1:]
		}
		u.Incarnation = max(u.Incarnation, m.Incarnation+1)
		m.intervals, m.missed, m.unanswered, m.heard, m.reached = intervalStats{}, 0, 0, 0, 0
		if m.State == Left {
			s.enrol(m)
		}
		s.setState(m, u, false, "another process has taken its place")
		return
	}
	if !newer(&u, &m.Update) {
		if u.State == Suspect && m.State == Suspect && u.Incarnation == m.Incarnation {
			s.confirm(m, u.By)
		}
		return
	}
	if m.State == Left {
		s.enrol(m)
	}
	s.setState(m, u, false, why)
}

// enrol gives a member a place in the order of probes, anywhere, so that no two members probe in step.
func (s *Swim) enrol(m *member) {
	if m.enrolled {
		return
	}
	m.enrolled = true
	i := s.rng.IntN(len(s.order) + 1)
	if s.order = slices.Insert(s.order, i, m.Name); i < s.next {
		s.next++
	}
}

// moved makes a word the one that is held, and passes it on.
func (s *Swim) setState(m *member, u Update, fresh bool, why string) {
	was := m.State
	s.stateCounts[was]--
	s.stateCounts[u.State]++
	s.quorumStale = true
	m.Update = u
	m.suspectors = nil
	if was != u.State || fresh {
		m.since = s.now
	}
	switch u.State {
	case Alive:
		m.unanswered = 0
	case Suspect:
		m.suspectedAt = s.now
		s.confirm(m, u.By)
		s.recheckSoon(m) // our own word on it comes soon
	case Dead, Left:
		if u.State == Left {
			s.scheduleCheck(s.now + s.cfg.ForgetAfter)
			if i := slices.Index(s.order, u.Name); i >= 0 {
				m.enrolled = false
				if s.order = slices.Delete(s.order, i, i+1); i < s.next {
					s.next--
				}
			}
		}
		s.dropLinks(u.Name)
	}
	s.broadcast(u)
	if was != u.State || fresh {
		s.emitChange(Change{Name: u.Name, State: u.State, Was: was, New: fresh, Why: why})
	}
}

// Least is how long a suspicion lasts at least: what a member may be paused for, and the time in which the news of it
// reaches everybody and its refutation comes back.
func (s *Swim) MinSuspicion() time.Duration {
	rounds := 1 + int(math.Ceil(math.Log(float64(s.size()+1))/math.Log(3))) // news goes from one to two others in a period
	least := time.Duration(s.cfg.MinSuspicionMult * s.logN() * float64(s.cfg.Period))
	return max(least, s.cfg.MaxPause+time.Duration(rounds)*s.cfg.Period)
}

// confirm adds one who suspects. With each the time shrinks, from Beta times the least to the least.
func (s *Swim) confirm(m *member, by string) {
	most := max(min(s.cfg.Indirect, s.size()-2), 0)
	if !slices.Contains(m.suspectors, by) && len(m.suspectors) <= most {
		if m.suspectors = append(m.suspectors, by); len(m.suspectors) > 1 {
			u := m.Update
			u.By = by
			s.broadcast(u) // each confirmation is news, so that all come to the same time
		}
	}
	least := float64(s.MinSuspicion())
	longest := s.cfg.MaxSuspicionMult * least
	left := longest - (longest-least)*math.Log(float64(len(m.suspectors)))/math.Log(float64(most+1))
	if most == 0 {
		left = least
	}
	m.deadAt = m.suspectedAt + time.Duration(max(least, left))
	s.scheduleCheck(m.deadAt)
}

// soon notes when suspicions must be looked at.
func (s *Swim) scheduleCheck(at time.Duration) {
	if s.suspicionCheckAt == 0 || at < s.suspicionCheckAt {
		s.suspicionCheckAt = at
	}
}

// suspicions ends those whose time is over, and lets go of those that left long ago.
func (s *Swim) runSuspicions() {
	if s.suspicionCheckAt == 0 || s.now < s.suspicionCheckAt {
		return
	}
	s.suspicionCheckAt = 0
	var over []*member
	for _, m := range s.members {
		switch {
		case m == s.self:
		case m.State == Suspect && s.now >= m.deadAt, m.State == Left && s.now >= m.since+s.cfg.ForgetAfter:
			over = append(over, m)
		case m.State == Suspect:
			s.scheduleCheck(m.deadAt)
		case m.State == Left:
			s.scheduleCheck(m.since + s.cfg.ForgetAfter)
		}
	}
	slices.SortFunc(over, func(m, o *member) int { return cmp.Compare(m.Name, o.Name) })
	for _, m := range over {
		if m.State == Left {
			delete(s.members, m.Name)
			s.stateCounts[Left]--
			continue
		}
		u := m.Update
		u.State, u.By = Dead, s.cfg.Self
		s.counts.Deaths++
		s.apply(u, false, fmt.Sprintf("suspected for %v by %d, and not refuted", (s.now-m.suspectedAt).Round(time.Millisecond), len(m.suspectors)))
	}
}

// item is one word that is passed on with packets.
type queuedUpdate struct {
	update *Update
	link   *Link
	sent   int
	order    int // of coming in: of equals the newest goes first
}

// size is what an update takes in a packet at most, see docs/formats/gossip.md.
func (u *Update) size() int { return 24 + len(u.Name) + len(u.Addr) + len(u.By) }

func (l *Link) size() int { return 12 + len(l.From) + len(l.To) + len(l.By) }

// Size is what a message takes on the wire at most, without its seal.
func (m *Message) Size() int {
	n := 16 + m.From.size() + len(m.Target) + len(m.Addr) + len(m.Via) + len(m.Reason)
	for i := range m.Updates {
		n += m.Updates[i].size()
	}
	for i := range m.Links {
		n += m.Links[i].size()
	}
	return n
}

// Size is what an exchange takes on the wire at most, without its seal.
func (f *Full) Size() int {
	n := 16 + f.From.size() + len(f.Refused)
	for i := range f.Members {
		n += f.Members[i].size()
	}
	for i := range f.Links {
		n += f.Links[i].size()
	}
	return n
}

// spread queues a word. An older word on the same is no longer passed on; suspicions of several are.
func (s *Swim) broadcast(u Update) {
	if s.queuedByMember[u.Name] > 0 { // most news is of members of whom there is none yet
		s.broadcasts = slices.DeleteFunc(s.broadcasts, func(i *queuedUpdate) bool {
			old := i.update != nil && i.update.Name == u.Name && !(i.update.State == Suspect && u.State == Suspect && i.update.By != u.By)
			if old {
				s.dequeued(i)
			}
			return old
		})
	}
	s.enqueue(&queuedUpdate{update: &u})
}

func (s *Swim) enqueue(i *queuedUpdate) {
	s.counts.Queued++
	i.order = s.counts.Queued
	// By sent, then the newest: a new one has been sent 0 times and goes in front.
	s.broadcasts = slices.Insert(s.broadcasts, 0, i)
	if i.update != nil {
		s.queuedByMember[i.update.Name]++
	}
	for len(s.broadcasts) > maxMembers {
		s.dequeued(s.broadcasts[len(s.broadcasts)-1])
		s.broadcasts = s.broadcasts[:len(s.broadcasts)-1]
	}
}

// uncount notes that an item is no longer queued.
func (s *Swim) dequeued(i *queuedUpdate) {
	if i.update == nil {
		return
	}
	if s.queuedByMember[i.update.Name]--; s.queuedByMember[i.update.Name] == 0 {
		delete(s.queuedByMember, i.update.Name)
	}
}

// load fills a message with news: what was passed on least first.
func (s *Swim) fillUpdates(msg *Message, room int, to *member) {
	if len(s.broadcasts) == 0 {
		return
	}
	most := s.cfg.RetransmitMult * int(math.Ceil(s.logN()))
	loaded := 0
	for _, i := range s.broadcasts {
		n := 0
		if i.update != nil {
			n = i.update.size()
		} else {
			n = i.link.size()
		}
		if n > room {
			break
		}
		room -= n
		i.sent++
		loaded++
		if i.update != nil {
			msg.Updates = append(msg.Updates, *i.update)
		} else {
			msg.Links = append(msg.Links, *i.link)
		}
	}
	// What was passed on goes back to its place, or is done; the rest is in order already.
	sent := slices.Clone(s.broadcasts[:loaded])
	s.broadcasts = s.broadcasts[loaded:]
	for _, i := range sent {
		if i.sent >= most {
			s.dequeued(i)
			continue
		}
		at, _ := slices.BinarySearchFunc(s.broadcasts, i, func(i, o *queuedUpdate) int {
			return cmp.Or(cmp.Compare(i.sent, o.sent), cmp.Compare(o.order, i.order))
		})
		s.broadcasts = slices.Insert(s.broadcasts, at, i)
	}
}
