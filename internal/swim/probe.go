package swim

import (
	"slices"
	"time"
)

// prober holds the open probes and the schedule of the next ones.
type prober struct {
	probes       []*probe
	relays       []relay
	seq          uint32        // sequence number of the last probe, direct or indirect
	nextAt       time.Duration // when the next probe begins
	gossipAt     time.Duration // when updates are next sent without a probe
	recheckQueue []string      // members to be probed again, in every second turn
	rechecking   bool          // alternates: in the turns where it is set, recheckQueue comes first
}

// probe is an open probe started by this member.
type probe struct {
	seq        uint32
	target     string
	sentAt     time.Duration
	indirectAt time.Duration // when other members are asked to probe; 0 once they were
	endAt      time.Duration
	requested  int  // number of other members asked to probe
	nacks      int  // nacks received from them
	relayedAck bool // one of them relayed an ack
	directAck  bool // the target acked directly
}

// relay is an open indirect probe on behalf of another member.
type relay struct {
	seq          uint32 // of the ping sent to the target
	requesterSeq uint32 // of the requester's PingReq
	requester    string // address of the requester
	nackAt       time.Duration
	endAt        time.Duration
}

// wakeAt returns when the next timer is due.
func (p *prober) wakeAt() time.Duration {
	at := min(p.nextAt, p.gossipAt)
	for _, open := range p.probes {
		if open.indirectAt > 0 {
			at = min(at, open.indirectAt)
		}
		at = min(at, open.endAt)
	}
	for _, r := range p.relays {
		if r.nackAt > 0 {
			at = min(at, r.nackAt)
		}
	}
	return at
}

// queueRecheck queues a member to be probed again out of turn.
func (p *prober) queueRecheck(name string) {
	if len(p.recheckQueue) < maxQueuedRechecks && !slices.Contains(p.recheckQueue, name) {
		p.recheckQueue = append(p.recheckQueue, name)
	}
}

// runProbes does what is due: indirect probes, the end of probes, nacks, gossip, and the next probe.
func (s *Swim) runProbes() {
	s.startIndirectProbes()
	s.endProbes()
	s.runRelays()
	s.gossip()
	s.startProbe()
}

// startIndirectProbes asks other members to probe the targets whose direct ack is late.
func (s *Swim) startIndirectProbes() {
	for _, p := range s.prober.probes {
		if p.indirectAt > 0 && s.now >= p.indirectAt && !p.directAck && !p.relayedAck {
			s.requestIndirect(p)
		}
	}
}

// endProbes closes the probes that were acked or have timed out.
func (s *Swim) endProbes() {
	var ended []*probe
	s.prober.probes = slices.DeleteFunc(s.prober.probes, func(p *probe) bool {
		done := p.directAck || s.now >= p.endAt
		if done {
			ended = append(ended, p)
		}
		return done
	})
	for _, p := range ended {
		s.evaluateProbe(p)
	}
}

// runRelays sends the nacks that are due, and drops the indirect probes that have timed out.
func (s *Swim) runRelays() {
	for i := range s.prober.relays {
		if r := &s.prober.relays[i]; r.nackAt > 0 && s.now >= r.nackAt {
			r.nackAt = 0
			s.send(r.requester, Message{Kind: Nack, Seq: r.requesterSeq})
		}
	}
	s.prober.relays = slices.DeleteFunc(s.prober.relays, func(r relay) bool { return s.now >= r.endAt })
}

// gossip sends updates to some members once a period, even while this member's probes are slowed down by the local health
// multiplier: otherwise refutations come too late.
func (s *Swim) gossip() {
	if s.now < s.prober.gossipAt || s.leaving {
		return
	}
	s.prober.gossipAt = s.now + s.cfg.Period
	for range s.cfg.Indirect - 1 {
		if len(s.broadcasts.items) == 0 {
			break
		}
		if m := s.members.pick(s.rng, aliveOrSuspect); m != nil {
			s.send(m.Addr, s.withUpdates(Message{Kind: Updates}, m))
		}
	}
}

// startProbe starts the probe of a period. It also pings a dead member, so that the sides of a split find each other again.
func (s *Swim) startProbe() {
	if s.now < s.prober.nextAt || s.leaving {
		return
	}
	s.prober.nextAt = s.now + s.scaled(s.cfg.Period)
	if m := s.nextTarget(); m != nil {
		s.ping(m)
	}
	if s.members.counts[Dead] > 0 {
		s.pingAny(dead)
	}
	s.quorum.stale = true // a link report may have expired, for which there is no event
}

// nextTarget returns the member to probe next: every second time one to be rechecked, else the next in the probe order.
func (s *Swim) nextTarget() *member {
	p, l := &s.prober, &s.members
	p.rechecking = !p.rechecking
	if p.rechecking && len(p.recheckQueue) > 0 {
		name := p.recheckQueue[0]
		p.recheckQueue = p.recheckQueue[1:]
		if m := l.byName[name]; m != nil && aliveOrSuspect(m) {
			return m
		}
	}
	for range l.probeOrder {
		if l.nextIndex >= len(l.probeOrder) {
			l.nextIndex = 0
			s.rng.Shuffle(len(l.probeOrder), func(i, j int) { l.probeOrder[i], l.probeOrder[j] = l.probeOrder[j], l.probeOrder[i] })
		}
		m := l.byName[l.probeOrder[l.nextIndex]]
		l.nextIndex++
		if aliveOrSuspect(m) {
			return m
		}
	}
	return nil
}

// pingAny starts a probe of a random member that matches.
func (s *Swim) pingAny(matches func(*member) bool) {
	if m := s.members.pick(s.rng, matches); m != nil {
		s.ping(m)
	}
}

// ping starts a probe of a member.
func (s *Swim) ping(m *member) {
	s.prober.seq++
	s.counts.Probes++
	s.prober.probes = append(s.prober.probes, &probe{
		seq:        s.prober.seq,
		target:     m.Name,
		sentAt:     s.now,
		indirectAt: s.now + s.ProbeTimeout(),
		endAt:      s.now + s.scaled(s.cfg.Period),
	})
	s.send(m.Addr, s.withUpdates(Message{Kind: Ping, Seq: s.prober.seq, Target: m.Name}, m))
}

// requestIndirect asks up to Indirect random live members to probe the target of p.
func (s *Swim) requestIndirect(p *probe) {
	p.indirectAt = 0
	m := s.members.byName[p.target]
	if m == nil || !aliveOrSuspect(m) {
		return
	}
	s.counts.Indirect++
	chosen := []string{p.target}
	for range s.cfg.Indirect {
		r := s.members.pick(s.rng, func(r *member) bool { return r.State == Alive && !slices.Contains(chosen, r.Name) })
		if r == nil {
			break
		}
		chosen = append(chosen, r.Name)
		p.requested++
		s.send(r.Addr, s.withUpdates(Message{Kind: PingReq, Seq: p.seq, Target: m.Name, Addr: m.Addr}, r))
	}
}

// evaluateProbe updates the target of a probe that has ended: it may report the link as cut, or suspect the target.
func (s *Swim) evaluateProbe(p *probe) {
	m := s.members.byName[p.target]
	if m == nil || !aliveOrSuspect(m) {
		return
	}
	if p.directAck {
		s.improve()
		return
	}
	s.counts.Missed++
	if m.missedAcks++; m.missedAcks == 1 {
		m.firstMissedAt = p.sentAt
	}
	s.prober.queueRecheck(m.Name)
	if p.relayedAck || m.lastHeard > p.sentAt {
		m.unansweredProbes = 0 // the member is up, the link fails
		s.reportCut(m)
		return
	}
	if 2*p.nacks < p.requested || p.requested == 0 {
		s.degrade(1) // most of the members asked did not answer either: the fault may be local
	}
	m.unansweredProbes++
	if m.unansweredProbes < 2 && s.cfg.Suspicion.MinPhi > 0 && m.phi(s.now) < s.cfg.Suspicion.MinPhi {
		return
	}
	u := m.Update
	u.State, u.By = Suspect, s.cfg.Self // a confirmation if others already suspect it
	if m.State == Alive {
		s.counts.Suspicions++
	}
	s.applyUpdate(u, fromOther, "no answer to direct and indirect probes")
}

// ProbeTimeout returns how long a direct ack may take before indirect probes, lengthened by the local health multiplier.
func (s *Swim) ProbeTimeout() time.Duration { return s.scaled(s.cfg.Timeout) }
