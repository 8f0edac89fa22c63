package swim

import (
	"slices"
	"time"
)

// prober holds the open probes and when the next begins.
type prober struct {
	probes     []*probe
	relays     []relay
	seq        uint32        // of the last probe, direct or indirect
	nextAt     time.Duration // when the next probe begins
	gossipAt   time.Duration // when updates are next sent beside probes
	recheck    []string      // members to be probed again, between those of the round
	rechecking bool          // the last probe was one of these
}

// probe is an open probe of this member's own.
type probe struct {
	seq        uint32
	target     string
	sentAt     time.Duration
	indirectAt time.Duration // when others are asked; 0 once they were
	endAt      time.Duration
	requested  int  // members asked to probe
	nacks      int  // of them that answered without an ack
	relayed    bool // an ack came by one of them
	acked      bool // the target's own ack came
}

// relay is an indirect probe for another member.
type relay struct {
	seq          uint32 // of the ping sent for it
	requesterSeq uint32 // of the request
	requester    string // address
	nackAt       time.Duration
	endAt        time.Duration
}

// wakeAt is when something is due next.
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

// recheckSoon lets a member be probed again out of turn.
func (p *prober) recheckSoon(name string) {
	if len(p.recheck) < maxRecheck && !slices.Contains(p.recheck, name) {
		p.recheck = append(p.recheck, name)
	}
}

// runProbes does what is due of probes: indirect ones, ends, nacks, gossip, and the next.
func (s *Swim) runProbes() {
	s.startIndirect()
	s.endProbes()
	s.runRelays()
	s.gossip()
	s.startProbe()
}

// startIndirect asks others to probe the targets whose direct ack is late.
func (s *Swim) startIndirect() {
	for _, p := range s.prober.probes {
		if p.indirectAt > 0 && s.now >= p.indirectAt && !p.acked && !p.relayed {
			s.requestIndirect(p)
		}
	}
}

// endProbes closes the probes that are acked or whose time is over.
func (s *Swim) endProbes() {
	var ended []*probe
	s.prober.probes = slices.DeleteFunc(s.prober.probes, func(p *probe) bool {
		over := p.acked || s.now >= p.endAt
		if over {
			ended = append(ended, p)
		}
		return over
	})
	for _, p := range ended {
		s.judge(p)
	}
}

// runRelays sends the nacks that are due, and drops the indirect probes whose time is over.
func (s *Swim) runRelays() {
	for i := range s.prober.relays {
		if r := &s.prober.relays[i]; r.nackAt > 0 && s.now >= r.nackAt {
			r.nackAt = 0
			s.send(r.requester, Message{Kind: Nack, Seq: r.requesterSeq})
		}
	}
	s.prober.relays = slices.DeleteFunc(s.prober.relays, func(r relay) bool { return s.now >= r.endAt })
}

// gossip sends updates to some members once a period, also while own probes are slowed down by the local health
// multiplier: refutations would else come too late.
func (s *Swim) gossip() {
	if s.now < s.prober.gossipAt || s.leaving {
		return
	}
	s.prober.gossipAt = s.now + s.cfg.Period
	for range s.cfg.Indirect - 1 {
		if len(s.broadcasts.items) == 0 {
			break
		}
		if m := s.members.pick(s.rng, reachable); m != nil {
			s.send(m.Addr, s.withUpdates(Message{Kind: Updates}, m))
		}
	}
}

// startProbe begins the probe of a period. One of the dead is pinged beside it, so that sides of a split find each other.
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
	s.quorum.stale = true // a link report may have expired, of which no event tells
}

// nextTarget is whose turn it is: every second time one of those to be rechecked, else the next of the round.
func (s *Swim) nextTarget() *member {
	p, l := &s.prober, &s.members
	p.rechecking = !p.rechecking
	if p.rechecking && len(p.recheck) > 0 {
		name := p.recheck[0]
		p.recheck = p.recheck[1:]
		if m := l.byName[name]; m != nil && reachable(m) {
			return m
		}
	}
	for range l.order {
		if l.next >= len(l.order) {
			l.next = 0
			s.rng.Shuffle(len(l.order), func(i, j int) { l.order[i], l.order[j] = l.order[j], l.order[i] })
		}
		m := l.byName[l.order[l.next]]
		l.next++
		if reachable(m) {
			return m
		}
	}
	return nil
}

// pingAny begins a probe of a random member that fits.
func (s *Swim) pingAny(fits func(*member) bool) {
	if m := s.members.pick(s.rng, fits); m != nil {
		s.ping(m)
	}
}

// ping begins a probe of a member.
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

// requestIndirect asks others to probe.
func (s *Swim) requestIndirect(p *probe) {
	p.indirectAt = 0
	m := s.members.byName[p.target]
	if m == nil || !reachable(m) {
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

// judge draws the conclusion from a probe that has ended.
func (s *Swim) judge(p *probe) {
	m := s.members.byName[p.target]
	if m == nil || !reachable(m) {
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
	s.prober.recheckSoon(m.Name)
	if p.relayed || m.heard > p.sentAt {
		m.unanswered = 0 // it is there: what fails is the link
		s.reportCut(m)
		return
	}
	if 2*p.nacks < p.requested || p.requested == 0 {
		s.degrade(1) // most of those asked did not answer either: the fault may be here
	}
	m.unanswered++
	if m.unanswered < 2 && s.cfg.Suspicion.MinPhi > 0 && m.phi(s.now) < s.cfg.Suspicion.MinPhi {
		return
	}
	u := m.Update
	u.State, u.By = Suspect, s.cfg.Self // or a confirmation, where others suspect it
	if m.State == Alive {
		s.counts.Suspicions++
	}
	s.applyUpdate(u, fromOther, "it answered neither us nor those we asked")
}

// ProbeTimeout is how long a direct ack may take before others are asked, as lengthened by the local health multiplier.
func (s *Swim) ProbeTimeout() time.Duration { return s.scaled(s.cfg.Timeout) }
