package swim

import "time"

// Health returns the local health multiplier minus 1; at 0 this member's timeouts are not lengthened.
func (s *Swim) Health() int { return s.health }

// degrade and improve raise and lower the local health multiplier, minus 1, between 0 and MaxHealth.
func (s *Swim) degrade(by int) { s.health = min(s.health+by, max(s.cfg.MaxHealth, 0)) }
func (s *Swim) improve()       { s.health = max(s.health-1, 0) }

// scaled returns a duration lengthened by the local health multiplier.
func (s *Swim) scaled(d time.Duration) time.Duration { return d * time.Duration(1+s.health) }

// checkPause detects that this step comes late because the process was paused or got no CPU. It drops all open probes and
// moves all times by the pause, so that other members are not blamed for packets not received meanwhile. Without it, a pause
// of one member shows as `coordinator dead` for many members at once.
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
		if m.lastHeard > 0 {
			m.lastHeard += lag
		}
		m.missedAcks, m.unansweredProbes = 0, 0
		if m.State == Suspect {
			m.deadAt += lag
			m.suspectedAt += lag
		}
	}
	s.members.nextCheckAt = s.now + time.Millisecond // deadlines above have moved
	// A member that was paused may be suspected itself: it pings others at once and learns that with the acks.
	for range s.cfg.Indirect {
		s.pingAny(aliveOrSuspect)
	}
}
