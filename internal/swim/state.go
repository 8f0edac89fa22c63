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
func (s *Swim) known(from *Update) *member {
	if from.Name == s.c.Self {
		if from.Process != s.c.Process {
			s.counts.Dropped++
			s.send(from.Addr, Message{Kind: Reject, Reason: s.clash(from)})
		}
		return nil
	}
	if why := s.clash(from); why != "" {
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
func (s *Swim) clash(u *Update) string {
	m := s.members[u.Name]
	if m == nil || m.Process == u.Process || m != s.self && (m.Addr == u.Addr || m.State >= Dead) {
		return ""
	}
	return fmt.Sprintf("the name %q is in use by another process at %s; stop that one, or give this one a name of its own", u.Name, m.Addr)
}

// take takes in news.
func (s *Swim) take(updates []Update, links []Link) {
	for _, u := range updates {
		if u.Name == s.c.Self {
			s.aboutUs(u)
			continue
		}
		if s.clash(&u) != "" {
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
		s.linkWord(l)
	}
}

// aboutUs refutes what is wrong of ourselves, under a higher incarnation.
func (s *Swim) aboutUs(u Update) {
	if u.Process != s.c.Process && u.State == Alive && u.Incarnation <= s.self.Incarnation {
		return // the one before us, or another that will be refused
	}
	mine := s.self
	if !newer(&u, &mine.Update) || s.leaving {
		return
	}
	if u.Incarnation > mine.Incarnation+mostJump {
		s.counts.Dropped++
		return
	}
	mine.Incarnation = max(mine.Incarnation, u.Incarnation) + 1
	if u.State == Suspect || u.State == Dead {
		s.counts.Refuted++
		s.worse(1)
	}
	s.spread(mine.Update)
}

// apply takes in a word on another member, its own or somebody else's.
func (s *Swim) apply(u Update, itself bool, why string) {
	m := s.members[u.Name]
	if m == nil {
		if u.State == Left || len(s.members) >= mostMembers {
			return // nobody that we know is lost by it
		}
		m = &member{Update: u, since: s.now}
		m.State = Left // as it was for us
		m.Incarnation = 0
		s.members[u.Name] = m
		s.states[Left]++
		s.enrol(m)
		s.moved(m, u, true, why)
		return
	}
	if u.Incarnation > m.Incarnation+mostJump {
		s.counts.Dropped++
		return
	}
	if u.Process != m.Process {
		// Another process has taken its place. Its own word counts from its start, when it has less behind it than the one
		// before; what others say counts where it is the newer, else the one before would come back by what goes round of it.
		if u.State != Alive || u.Incarnation <= m.Incarnation && (!itself || slices.Contains(m.retired, u.Process)) {
			if itself {
				s.spread(m.Update) // it hears what is held of it, and says more
			}
			return
		}
		if m.retired = append(m.retired, m.Process); len(m.retired) > 8 {
			m.retired = m.retired[1:]
		}
		u.Incarnation = max(u.Incarnation, m.Incarnation+1)
		m.gaps, m.missed, m.vain, m.heard, m.reached = gaps{}, 0, 0, 0, 0
		if m.State == Left {
			s.enrol(m)
		}
		s.moved(m, u, false, "another process has taken its place")
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
	s.moved(m, u, false, why)
}

// enrol gives a member a place in the order of probes, anywhere, so that no two members probe in step.
func (s *Swim) enrol(m *member) {
	if m.ordered {
		return
	}
	m.ordered = true
	i := s.rng.IntN(len(s.order) + 1)
	if s.order = slices.Insert(s.order, i, m.Name); i < s.next {
		s.next++
	}
}

// moved makes a word the one that is held, and passes it on.
func (s *Swim) moved(m *member, u Update, fresh bool, why string) {
	was := m.State
	s.states[was]--
	s.states[u.State]++
	s.stale = true
	m.Update = u
	m.backers = nil
	if was != u.State || fresh {
		m.since = s.now
	}
	switch u.State {
	case Alive:
		m.vain = 0
	case Suspect:
		m.begun = s.now
		s.confirm(m, u.By)
		s.doubt(m) // our own word on it comes soon
	case Dead, Left:
		if u.State == Left {
			s.soon(s.now + s.c.ForgetAfter)
			if i := slices.Index(s.order, u.Name); i >= 0 {
				m.ordered = false
				if s.order = slices.Delete(s.order, i, i+1); i < s.next {
					s.next--
				}
			}
		}
		s.dropLinks(u.Name)
	}
	s.spread(u)
	if was != u.State || fresh {
		s.changed(Change{Name: u.Name, State: u.State, Was: was, New: fresh, Why: why})
	}
}

// Least is how long a suspicion lasts at least: what a member may be paused for, and the time in which the news of it
// reaches everybody and its refutation comes back.
func (s *Swim) MinSuspicion() time.Duration {
	rounds := 1 + int(math.Ceil(math.Log(float64(s.size()+1))/math.Log(3))) // news goes from one to two others in a period
	least := time.Duration(s.c.MinSuspicionMult * s.logN() * float64(s.c.Period))
	return max(least, s.c.MaxPause+time.Duration(rounds)*s.c.Period)
}

// confirm adds one who suspects. With each the time shrinks, from Beta times the least to the least.
func (s *Swim) confirm(m *member, by string) {
	most := max(min(s.c.Indirect, s.size()-2), 0)
	if !slices.Contains(m.backers, by) && len(m.backers) <= most {
		if m.backers = append(m.backers, by); len(m.backers) > 1 {
			u := m.Update
			u.By = by
			s.spread(u) // each confirmation is news, so that all come to the same time
		}
	}
	least := float64(s.MinSuspicion())
	longest := s.c.MaxSuspicionMult * least
	left := longest - (longest-least)*math.Log(float64(len(m.backers)))/math.Log(float64(most+1))
	if most == 0 {
		left = least
	}
	m.until = m.begun + time.Duration(max(least, left))
	s.soon(m.until)
}

// soon notes when suspicions must be looked at.
func (s *Swim) soon(at time.Duration) {
	if s.soonest == 0 || at < s.soonest {
		s.soonest = at
	}
}

// suspicions ends those whose time is over, and lets go of those that left long ago.
func (s *Swim) suspicions() {
	if s.soonest == 0 || s.now < s.soonest {
		return
	}
	s.soonest = 0
	var over []*member
	for _, m := range s.members {
		switch {
		case m == s.self:
		case m.State == Suspect && s.now >= m.until, m.State == Left && s.now >= m.since+s.c.ForgetAfter:
			over = append(over, m)
		case m.State == Suspect:
			s.soon(m.until)
		case m.State == Left:
			s.soon(m.since + s.c.ForgetAfter)
		}
	}
	slices.SortFunc(over, func(m, o *member) int { return cmp.Compare(m.Name, o.Name) })
	for _, m := range over {
		if m.State == Left {
			delete(s.members, m.Name)
			s.states[Left]--
			continue
		}
		u := m.Update
		u.State, u.By = Dead, s.c.Self
		s.counts.Deaths++
		s.apply(u, false, fmt.Sprintf("suspected for %v by %d, and not refuted", (s.now-m.begun).Round(time.Millisecond), len(m.backers)))
	}
}

// item is one word that is passed on with packets.
type item struct {
	update *Update
	link   *Link
	sent   int
	seq    int // of coming in: of equals the newest goes first
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
func (s *Swim) spread(u Update) {
	if s.queued[u.Name] > 0 { // most news is of members of whom there is none yet
		s.news = slices.DeleteFunc(s.news, func(i *item) bool {
			old := i.update != nil && i.update.Name == u.Name && !(i.update.State == Suspect && u.State == Suspect && i.update.By != u.By)
			if old {
				s.uncount(i)
			}
			return old
		})
	}
	s.queue(&item{update: &u})
}

func (s *Swim) queue(i *item) {
	s.counts.Queued++
	i.seq = s.counts.Queued
	// By sent, then the newest: a new one has been sent 0 times and goes in front.
	s.news = slices.Insert(s.news, 0, i)
	if i.update != nil {
		s.queued[i.update.Name]++
	}
	for len(s.news) > mostMembers {
		s.uncount(s.news[len(s.news)-1])
		s.news = s.news[:len(s.news)-1]
	}
}

// uncount notes that an item is no longer queued.
func (s *Swim) uncount(i *item) {
	if i.update == nil {
		return
	}
	if s.queued[i.update.Name]--; s.queued[i.update.Name] == 0 {
		delete(s.queued, i.update.Name)
	}
}

// load fills a message with news: what was passed on least first.
func (s *Swim) load(msg *Message, room int, to *member) {
	if len(s.news) == 0 {
		return
	}
	most := s.c.RetransmitMult * int(math.Ceil(s.logN()))
	loaded := 0
	for _, i := range s.news {
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
	sent := slices.Clone(s.news[:loaded])
	s.news = s.news[loaded:]
	for _, i := range sent {
		if i.sent >= most {
			s.uncount(i)
			continue
		}
		at, _ := slices.BinarySearchFunc(s.news, i, func(i, o *item) int {
			return cmp.Or(cmp.Compare(i.sent, o.sent), cmp.Compare(o.seq, i.seq))
		})
		s.news = slices.Insert(s.news, at, i)
	}
}
