package swim

import "time"

// Health is the local health multiplier beside 1: by how many times own times are lengthened now.
func (s *Swim) Health() int { return s.health }

// degrade and improve move the local health multiplier, between 0 and MaxHealth.
func (s *Swim) degrade(by int) { s.health = min(s.health+by, max(s.cfg.MaxHealth, 0)) }
func (s *Swim) improve()       { s.health = max(s.health-1, 0) }

// scaled is a time lengthened by the local health multiplier.
func (s *Swim) scaled(d time.Duration) time.Duration { return d * time.Duration(1+s.health) }

// checkPause detects that this step comes late: the process stood still or is starved. It guards against blaming others
// for what was not received meanwhile, which would show as `coordinator dead` for many members at once after a pause of
// one: open probes are void, and no time of the pause counts against anybody.
func (s *Swim) checkPause() {
	lag := s.now - s.wakeAt
	if lag < s.cfg.Period/2 || s.cfg.MaxHealth < 0 {
		return
	}
	s.counts.Pauses++
	s.degrade(1 + int(min(lag/s.cfg.Period, time.Duration(max(s.cfg.MaxHealth, 1)))))
	s.prober.probes, s.prober.relays = nil, nil
	s.prober.nextAt, s.prober.gossipAt = s.now, s.now
	for _, m := range s.members.byName {
		if m == s.self {
			continue
		}
		if m.heard > 0 {
			m.heard += lag
		}
		m.missed, m.unanswered = 0, 0
		if m.State == Suspect {
			m.deadAt += lag
			m.suspectedAt += lag
		}
	}
	s.members.checkAt = s.now + time.Millisecond // the times above have moved
	// A member that was away is the first to be suspected: it pings others at once, and learns so with the acks.
	for range s.cfg.Indirect {
		s.pingAny(reachable)
	}
}
