package swim

// This file owns probes: who is probed when, by whom else, and what comes back. It must never blame a member for what our
// own lateness explains.

import (
	"slices"
	"time"
)

// probing ends probes and relays whose time is over, and begins the next.
func (s *Swim) runProbes() {
	for _, p := range s.probes {
		if p.indirectAt > 0 && s.now >= p.indirectAt && !p.acked && !p.relayed {
			s.requestIndirect(p)
		}
	}
	ended := []*probe{}
	s.probes = slices.DeleteFunc(s.probes, func(p *probe) bool {
		if p.acked || s.now >= p.endAt {
			ended = append(ended, p)
			return true
		}
		return false
	})
	for _, p := range ended {
		s.probeEnded(p)
	}
	for i := range s.relays {
		if r := &s.relays[i]; r.nackAt > 0 && s.now >= r.nackAt {
			r.nackAt = 0
			s.send(r.requester, Message{Kind: Nack, Seq: r.requesterSeq})
		}
	}
	s.relays = slices.DeleteFunc(s.relays, func(r relay) bool { return s.now >= r.endAt })
	if s.now >= s.gossipAt && !s.leaving {
		// However slow our own probes are, news goes its way: else a refutation comes too late.
		s.gossipAt = s.now + s.cfg.Period
		for range s.cfg.Indirect - 1 {
			if len(s.broadcasts) == 0 {
				break
			}
			if m := s.pick(func(m *member) bool { return m.State <= Suspect }); m != nil {
				s.send(m.Addr, s.withUpdates(Message{Kind: Updates}, m))
			}
		}
	}
	if s.now < s.probeAt || s.leaving {
		return
	}
	s.probeAt = s.now + s.scaled(s.cfg.Period)
	if m := s.nextTarget(); m != nil {
		s.ping(m)
	}
	// One of the dead, or a seed while we are alone, is asked beside it: so sides that were apart find each other.
	if s.stateCounts[Dead] > 0 {
		if m := s.pick(func(m *member) bool { return m.State == Dead }); m != nil {
			s.ping(m)
		}
	}
	s.quorumStale = true // silence changes what is reachable, and no event tells of it
}

// turn is whose turn it is: every second one of those that have just missed an ack, else the next of the round.
func (s *Swim) nextTarget() *member {
	if s.recheckTurn = !s.recheckTurn; s.recheckTurn && len(s.recheck) > 0 {
		name := s.recheck[0]
		s.recheck = s.recheck[1:]
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
	end := s.now + s.scaled(s.cfg.Period)
	s.probes = append(s.probes, &probe{seq: s.seq, target: m.Name, sentAt: s.now, indirectAt: s.now + s.scaled(s.cfg.Timeout), endAt: end})
	s.send(m.Addr, s.withUpdates(Message{Kind: Ping, Seq: s.seq, Target: m.Name}, m))
}

// laden adds news to a message for a member.
func (s *Swim) withUpdates(msg Message, to *member) Message {
	room := s.cfg.MaxUpdateBytes
	if to != nil && to.State != Alive {
		msg.Updates = append(msg.Updates, to.Update)
		room -= to.Update.size()
	}
	s.fillUpdates(&msg, room, to)
	return msg
}

// indirect asks others to probe.
func (s *Swim) requestIndirect(p *probe) {
	p.indirectAt = 0
	m := s.members[p.target]
	if m == nil || m.State > Suspect {
		return
	}
	s.counts.Indirect++
	chosen := []string{p.target}
	for range s.cfg.Indirect {
		r := s.pick(func(r *member) bool { return r.State == Alive && !slices.Contains(chosen, r.Name) })
		if r == nil {
			break
		}
		chosen = append(chosen, r.Name)
		p.requested++
		s.send(r.Addr, s.withUpdates(Message{Kind: PingReq, Seq: p.seq, Target: m.Name, Addr: m.Addr}, r))
	}
}

// ended judges a probe.
func (s *Swim) probeEnded(p *probe) {
	m := s.members[p.target]
	if m == nil || m.State > Suspect {
		return
	}
	if p.acked {
		s.improve()
		return
	}
	s.counts.Missed++
	if m.missed++; m.missed == 1 {
		m.missedAt = p.sentAt
	}
	if p.relayed || m.heard > p.sentAt {
		// It is there: what fails is the way between us.
		m.unanswered = 0
		s.recheckSoon(m)
		s.reportCut(m)
		return
	}
	if 2*p.nacks < p.requested || p.requested == 0 {
		s.degrade(1) // most of those asked did not answer either: it may be us
	}
	if m.unanswered++; m.unanswered < 2 && s.cfg.MinPhi > 0 && m.phi(s.now) < s.cfg.MinPhi {
		s.recheckSoon(m)
		return
	}
	s.recheckSoon(m)
	u := m.Update
	u.State, u.By = Suspect, s.cfg.Self // or a confirmation, where others suspect it
	if m.State == Alive {
		s.counts.Suspicions++
	}
	s.apply(u, false, "it answered neither us nor those we asked")
}

// doubt lets a member be probed again soon.
func (s *Swim) recheckSoon(m *member) {
	if len(s.recheck) < 64 && !slices.Contains(s.recheck, m.Name) {
		s.recheck = append(s.recheck, m.Name)
	}
}

// packet takes in one packet.
func (s *Swim) receive(msg *Message) {
	from := s.sender(&msg.From)
	if msg.Kind == Reject {
		s.rejection = msg.Reason
		return
	}
	if from == nil {
		return
	}
	if from.Process == msg.From.Process {
		s.markHeard(from)
	}
	s.applyAll(msg.Updates, msg.Links) // first: what we answer goes by it
	switch msg.Kind {
	case Ping:
		if msg.Target != s.cfg.Self {
			break // it means one that was here before
		}
		s.send(msg.From.Addr, s.withUpdates(Message{Kind: Ack, Seq: msg.Seq}, from))
	case PingReq:
		if msg.Target == s.cfg.Self {
			break
		}
		s.seq++
		s.relays = append(s.relays, relay{seq: s.seq, requesterSeq: msg.Seq, requester: msg.From.Addr, nackAt: s.now + s.cfg.Timeout*4/5, endAt: s.now + s.cfg.Period})
		if len(s.relays) > 1024 {
			s.relays = s.relays[1:]
		}
		s.send(msg.Addr, Message{Kind: Ping, Seq: s.seq, Target: msg.Target})
	case Ack:
		s.receiveAck(msg, from)
	case Nack:
		for _, p := range s.probes {
			if p.seq == msg.Seq {
				p.nacks++
			}
		}
	}
}

// acked takes in an answer to a probe of ours, or of another's.
func (s *Swim) receiveAck(msg *Message, from *member) {
	for _, p := range s.probes {
		if p.seq != msg.Seq {
			continue
		}
		if msg.Via == "" && from.Name == p.target {
			p.acked = true
			from.rtt, from.reached = s.now-p.sentAt, s.now
			from.missed, from.unanswered = 0, 0
			s.linkAcked(from)
		} else if msg.Via != "" {
			p.relayed = true
		}
		return
	}
	for i, r := range s.relays {
		if r.seq == msg.Seq {
			s.send(r.requester, Message{Kind: Ack, Seq: r.requesterSeq, Via: from.Name})
			s.relays = slices.Delete(s.relays, i, i+1)
			return
		}
	}
}

// hear notes a packet of a member's own.
func (s *Swim) markHeard(m *member) {
	if m.heard > 0 && s.now > m.heard {
		m.intervals.add((s.now - m.heard).Seconds())
	}
	m.heard = s.now
	s.linkHeard(m)
}

// exchanges begins a full exchange: with a seed that is no member we know, as there may be a side of the fleet that we do
// not, at pauses that double; else now and then with any member, the dead included.
func (s *Swim) runSync() {
	if s.now < s.syncAt || s.leaving {
		return
	}
	s.syncAt = s.now + s.cfg.SyncInterval/2 + s.randomUpTo(s.cfg.SyncInterval)
	to := ""
	if unseen := s.unknownSeeds(); len(unseen) > 0 {
		to = unseen[s.rng.IntN(len(unseen))]
		s.seedBackoff = min(max(2*s.seedBackoff, s.cfg.Period/2), s.cfg.SyncInterval)
		s.syncAt = s.now + s.seedBackoff/2 + s.randomUpTo(s.seedBackoff/2)
	} else if m := s.pick(func(m *member) bool { return m.State <= Dead && (m.State <= Suspect || s.rng.IntN(4) == 0) }); m != nil {
		to, s.seedBackoff = m.Addr, 0
	}
	if to == "" {
		return
	}
	f := s.fullState()
	s.actions = append(s.actions, Action{To: to, Full: &f})
}

// unseen are the seeds at which no member is that is there.
func (s *Swim) unknownSeeds() (list []string) {
	for _, addr := range s.cfg.Seeds {
		if addr == s.cfg.Addr {
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
func (s *Swim) fullState() Full {
	f := Full{From: s.self.Update}
	for _, name := range s.names() {
		f.Members = append(f.Members, s.members[name].Update)
	}
	f.Links = s.sortedLinks()
	return f
}

// full takes in another's knowledge, and answers with ours where it was asked for.
func (s *Swim) receiveFull(f *Full) {
	if f.Refused != "" {
		s.rejection = f.Refused
		return
	}
	from := s.sender(&f.From)
	if from == nil {
		if why := s.nameConflict(&f.From); why != "" && !f.Reply {
			s.actions = append(s.actions, Action{To: f.From.Addr, Full: &Full{From: s.self.Update, Reply: true, Refused: why}})
		}
		return
	}
	s.rejection = ""
	s.applyAll(f.Members, f.Links)
	if !f.Reply {
		a := s.fullState()
		a.Reply = true
		s.actions = append(s.actions, Action{To: f.From.Addr, Full: &a})
	}
}

// Patience is how long a probe may take before others are asked, as it is widened now.
func (s *Swim) ProbeTimeout() time.Duration { return s.scaled(s.cfg.Timeout) }
