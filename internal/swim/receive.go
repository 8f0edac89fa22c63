package swim

import "slices"

// receive applies one packet.
func (s *Swim) receive(msg *Message) {
	from := s.resolveSender(&msg.From)
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
	s.applyAll(msg.Updates, msg.Links) // first, since answers depend on them
	switch msg.Kind {
	case Ping:
		if msg.Target == s.cfg.Self { // else it is meant for a member that had this address before
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
	case Reject, Updates: // nothing more to do
	}
}

// receivePingReq probes a member on behalf of the sender.
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
		nackAt:       s.now + s.cfg.Timeout*4/5, // before the requester's own probe ends
		endAt:        s.now + s.cfg.Period,
	})
	if len(p.relays) > maxRelays {
		p.relays = p.relays[1:]
	}
	s.send(msg.Addr, Message{Kind: Ping, Seq: p.seq, Target: msg.Target})
}

// receiveAck applies an ack to this member's own probe, or relays it to the member that asked for the probe.
func (s *Swim) receiveAck(msg *Message, from *member) {
	for _, p := range s.prober.probes {
		if p.seq != msg.Seq {
			continue
		}
		if msg.Via == "" && from.Name == p.target {
			p.directAck = true
			from.rtt, from.lastAck = s.now-p.sentAt, s.now
			from.missedAcks, from.unansweredProbes = 0, 0
			s.retractCut(from)
		} else if msg.Via != "" {
			p.relayedAck = true
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

// markHeard records that a packet from a member itself has arrived.
func (s *Swim) markHeard(m *member) {
	if m.lastHeard > 0 && s.now > m.lastHeard {
		m.intervals.add((s.now - m.lastHeard).Seconds())
	}
	m.lastHeard = s.now
	if m.reportedCut == m.Name { // this member reported the link from it as cut
		s.retractCut(m)
	}
}
