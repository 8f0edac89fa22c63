package swim

// This file owns probes: who is probed when, by whom else, and what comes back. It must never blame a member for what our
// own lateness explains.

import (
	"slices"
	"time"
)

// probing ends probes and relays whose time is over, and begins the next.
func (s *Swim) probing() {
	for _, p := range s.probes {
		if p.indirect > 0 && s.now >= p.indirect && !p.direct && !p.relayed {
			s.indirect(p)
		}
	}
	ended := []*probe{}
	s.probes = slices.DeleteFunc(s.probes, func(p *probe) bool {
		if p.direct || s.now >= p.end {
			ended = append(ended, p)
			return true
		}
		return false
	})
	for _, p := range ended {
		s.ended(p)
	}
	for i := range s.relays {
		if r := &s.relays[i]; r.nack > 0 && s.now >= r.nack {
			r.nack = 0
			s.send(r.to, Message{Kind: Nack, Seq: r.theirs})
		}
	}
	s.relays = slices.DeleteFunc(s.relays, func(r relay) bool { return s.now >= r.end })
	if s.now >= s.newsAt && !s.leaving {
		// However slow our own probes are, news goes its way: else a refutation comes too late.
		s.newsAt = s.now + s.c.Period
		for range s.c.Indirect - 1 {
			if len(s.news) == 0 {
				break
			}
			if m := s.pick(func(m *member) bool { return m.State <= Suspect }); m != nil {
				s.send(m.Addr, s.laden(Message{Kind: Updates}, m))
			}
		}
	}
	if s.now < s.probeAt || s.leaving {
		return
	}
	s.probeAt = s.now + s.wide(s.c.Period)
	if m := s.turn(); m != nil {
		s.ping(m)
	}
	// One of the dead, or a seed while we are alone, is asked beside it: so sides that were apart find each other.
	if s.states[Dead] > 0 {
		if m := s.pick(func(m *member) bool { return m.State == Dead }); m != nil {
			s.ping(m)
		}
	}
	s.stale = true // silence changes what is reachable, and no event tells of it
}

// turn is whose turn it is: every second one of those that have just missed an ack, else the next of the round.
func (s *Swim) turn() *member {
	if s.again = !s.again; s.again && len(s.doubted) > 0 {
		name := s.doubted[0]
		s.doubted = s.doubted[1:]
		if m := s.members[name]; m != nil && m.State <= Suspect {
			return m
		}
	}
	for range s.order {
		if s.next >= len(s.order) {
			s.next = 0
			s.rng.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
		}
		m := s.members[s.order[s.next]]
		s.next++
		if m.State <= Suspect {
			return m
		}
	}
	return nil
}

// ping begins a probe of a member, with what it must hear first: that it is suspected or dead.
func (s *Swim) ping(m *member) {
	s.seq++
	s.counts.Probes++
	end := s.now + s.wide(s.c.Period)
	s.probes = append(s.probes, &probe{seq: s.seq, name: m.Name, at: s.now, indirect: s.now + s.wide(s.c.Timeout), end: end})
	s.send(m.Addr, s.laden(Message{Kind: Ping, Seq: s.seq, Target: m.Name}, m))
}

// laden adds news to a message for a member.
func (s *Swim) laden(msg Message, to *member) Message {
	room := s.c.MaxUpdateBytes
	if to != nil && to.State != Alive {
		msg.Updates = append(msg.Updates, to.Update)
		room -= to.Update.size()
	}
	s.load(&msg, room, to)
	return msg
}

// indirect asks others to probe.
func (s *Swim) indirect(p *probe) {
	p.indirect = 0
	m := s.members[p.name]
	if m == nil || m.State > Suspect {
		return
	}
	s.counts.Indirect++
	chosen := []string{p.name}
	for range s.c.Indirect {
		r := s.pick(func(r *member) bool { return r.State == Alive && !slices.Contains(chosen, r.Name) })
		if r == nil {
			break
		}
		chosen = append(chosen, r.Name)
		p.asked++
		s.send(r.Addr, s.laden(Message{Kind: PingReq, Seq: p.seq, Target: m.Name, Addr: m.Addr}, r))
	}
}

// ended judges a probe.
func (s *Swim) ended(p *probe) {
	m := s.members[p.name]
	if m == nil || m.State > Suspect {
		return
	}
	if p.direct {
		s.better()
		return
	}
	s.counts.Missed++
	if m.missed++; m.missed == 1 {
		m.missedAt = p.at
	}
	if p.relayed || m.heard > p.at {
		// It is there: what fails is the way between us.
		m.vain = 0
		s.doubt(m)
		s.cutOff(m)
		return
	}
	if 2*p.nacks < p.asked || p.asked == 0 {
		s.worse(1) // most of those asked did not answer either: it may be us
	}
	if m.vain++; m.vain < 2 && s.c.MinPhi > 0 && m.phi(s.now) < s.c.MinPhi {
		s.doubt(m)
		return
	}
	s.doubt(m)
	u := m.Update
	u.State, u.By = Suspect, s.c.Self // or a confirmation, where others suspect it
	if m.State == Alive {
		s.counts.Suspicions++
	}
	s.apply(u, false, "it answered neither us nor those we asked")
}

// doubt lets a member be probed again soon.
func (s *Swim) doubt(m *member) {
	if len(s.doubted) < 64 && !slices.Contains(s.doubted, m.Name) {
		s.doubted = append(s.doubted, m.Name)
	}
}

// packet takes in one packet.
func (s *Swim) packet(msg *Message) {
	from := s.known(&msg.From)
	if msg.Kind == Reject {
		s.refused = msg.Reason
		return
	}
	if from == nil {
		return
	}
	if from.Process == msg.From.Process {
		s.hear(from)
	}
	s.take(msg.Updates, msg.Links) // first: what we answer goes by it
	switch msg.Kind {
	case Ping:
		if msg.Target != s.c.Self {
			break // it means one that was here before
		}
		s.send(msg.From.Addr, s.laden(Message{Kind: Ack, Seq: msg.Seq}, from))
	case PingReq:
		if msg.Target == s.c.Self {
			break
		}
		s.seq++
		s.relays = append(s.relays, relay{seq: s.seq, theirs: msg.Seq, to: msg.From.Addr, nack: s.now + s.c.Timeout*4/5, end: s.now + s.c.Period})
		if len(s.relays) > 1024 {
			s.relays = s.relays[1:]
		}
		s.send(msg.Addr, Message{Kind: Ping, Seq: s.seq, Target: msg.Target})
	case Ack:
		s.acked(msg, from)
	case Nack:
		for _, p := range s.probes {
			if p.seq == msg.Seq {
				p.nacks++
			}
		}
	}
}

// acked takes in an answer to a probe of ours, or of another's.
func (s *Swim) acked(msg *Message, from *member) {
	for _, p := range s.probes {
		if p.seq != msg.Seq {
			continue
		}
		if msg.Via == "" && from.Name == p.name {
			p.direct = true
			from.rtt, from.reached = s.now-p.at, s.now
			from.missed, from.vain = 0, 0
			s.ackedLink(from)
		} else if msg.Via != "" {
			p.relayed = true
		}
		return
	}
	for i, r := range s.relays {
		if r.seq == msg.Seq {
			s.send(r.to, Message{Kind: Ack, Seq: r.theirs, Via: from.Name})
			s.relays = slices.Delete(s.relays, i, i+1)
			return
		}
	}
}

// hear notes a packet of a member's own.
func (s *Swim) hear(m *member) {
	if m.heard > 0 && s.now > m.heard {
		m.gaps.add((s.now - m.heard).Seconds())
	}
	m.heard = s.now
	s.heardLink(m)
}

// exchanges begins a full exchange: with a seed that is no member we know, as there may be a side of the fleet that we do
// not, at pauses that double; else now and then with any member, the dead included.
func (s *Swim) exchanges() {
	if s.now < s.fullAt || s.leaving {
		return
	}
	s.fullAt = s.now + s.c.SyncInterval/2 + s.share(s.c.SyncInterval)
	to := ""
	if unseen := s.unseen(); len(unseen) > 0 {
		to = unseen[s.rng.IntN(len(unseen))]
		s.seedWait = min(max(2*s.seedWait, s.c.Period/2), s.c.SyncInterval)
		s.fullAt = s.now + s.seedWait/2 + s.share(s.seedWait/2)
	} else if m := s.pick(func(m *member) bool { return m.State <= Dead && (m.State <= Suspect || s.rng.IntN(4) == 0) }); m != nil {
		to, s.seedWait = m.Addr, 0
	}
	if to == "" {
		return
	}
	f := s.all()
	s.out = append(s.out, Action{To: to, Full: &f})
}

// unseen are the seeds at which no member is that is there.
func (s *Swim) unseen() (list []string) {
	for _, addr := range s.c.Seeds {
		if addr == s.c.Addr {
			continue
		}
		known := false
		for _, m := range s.members {
			known = known || m.Addr == addr && m.State <= Suspect
		}
		if !known {
			list = append(list, addr)
		}
	}
	return list
}

// all is what we know.
func (s *Swim) all() Full {
	f := Full{From: s.self.Update}
	for _, name := range s.names() {
		f.Members = append(f.Members, s.members[name].Update)
	}
	f.Links = s.reports()
	return f
}

// full takes in another's knowledge, and answers with ours where it was asked for.
func (s *Swim) full(f *Full) {
	if f.Refused != "" {
		s.refused = f.Refused
		return
	}
	from := s.known(&f.From)
	if from == nil {
		if why := s.clash(&f.From); why != "" && !f.Reply {
			s.out = append(s.out, Action{To: f.From.Addr, Full: &Full{From: s.self.Update, Reply: true, Refused: why}})
		}
		return
	}
	s.refused = ""
	s.take(f.Members, f.Links)
	if !f.Reply {
		a := s.all()
		a.Reply = true
		s.out = append(s.out, Action{To: f.From.Addr, Full: &a})
	}
}

// Patience is how long a probe may take before others are asked, as it is widened now.
func (s *Swim) ProbeTimeout() time.Duration { return s.wide(s.c.Timeout) }
