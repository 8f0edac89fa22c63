package swim

import "slices"

// receive applies one packet.
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
	s.applyAll(msg.Updates, msg.Links) // first, as answers depend on it
	switch msg.Kind {
	case Ping:
		if msg.Target == s.cfg.Self { // else it means a member that had this address before
			s.send(msg.From.Addr, s.withUpdates(Message{Kind: Ack, Seq: msg.Seq}, from))
		}
	case PingReq:
		s.receivePingReq(msg)
	case Ack:
		s.receiveAck(msg, from)
	case Nack:
		for _, p := range s.prober.probes {
			if p.seq == msg.Seq {
				p.nacks++
			}
		}
	case Reject, Updates: // nothing further
	}
}

// receivePingReq probes a member for another.
func (s *Swim) receivePingReq(msg *Message) {
	if msg.Target == s.cfg.Self {
		return
	}
	p := &s.prober
	p.seq++
	p.relays = append(p.relays, relay{
		seq:          p.seq,
		requesterSeq: msg.Seq,
		requester:    msg.From.Addr,
		nackAt:       s.now + s.cfg.Timeout*4/5, // before the requester's own time is over
		endAt:        s.now + s.cfg.Period,
	})
	if len(p.relays) > maxRelays {
		p.relays = p.relays[1:]
	}
	s.send(msg.Addr, Message{Kind: Ping, Seq: p.seq, Target: msg.Target})
}

// receiveAck applies an ack of a probe of this member's own, or passes on one of another's.
func (s *Swim) receiveAck(msg *Message, from *member) {
	for _, p := range s.prober.probes {
		if p.seq != msg.Seq {
			continue
		}
		if msg.Via == "" && from.Name == p.target {
			p.acked = true
			from.rtt, from.reached = s.now-p.sentAt, s.now
			from.missed, from.unanswered = 0, 0
			s.retractCut(from)
		} else if msg.Via != "" {
			p.relayed = true
		}
		return
	}
	for i, r := range s.prober.relays {
		if r.seq == msg.Seq {
			s.send(r.requester, Message{Kind: Ack, Seq: r.requesterSeq, Via: from.Name})
			s.prober.relays = slices.Delete(s.prober.relays, i, i+1)
			return
		}
	}
}

// markHeard notes a packet of a member's own.
func (s *Swim) markHeard(m *member) {
	if m.heard > 0 && s.now > m.heard {
		m.intervals.add((s.now - m.heard).Seconds())
	}
	m.heard = s.now
	if m.reportedCut == m.Name { // it was reported not to reach this member
		s.retractCut(m)
	}
}
