package swim

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// MinSuspicion is the least time of a suspicion: what a member may be paused for, and the time in which the suspicion
// reaches all and its refutation comes back.
func (s *Swim) MinSuspicion() time.Duration {
	// Gossip multiplies those that know an update by about three in a period.
	rounds := 1 + int(math.Ceil(math.Log(float64(s.members.size()+1))/math.Log(3)))
	least := time.Duration(s.cfg.Suspicion.MinMult * s.logMembers() * float64(s.cfg.Period))
	return max(least, s.cfg.MaxPause+time.Duration(rounds)*s.cfg.Period)
}

// confirm adds a member that suspects m, and sets when m is declared dead. The time shrinks with the logarithm of the
// confirmations, from MaxMult times the least to the least (Lifeguard, LHA-Suspicion).
func (s *Swim) confirm(m *member, by string) {
	needed := max(min(s.cfg.Indirect, s.members.size()-2), 0) // confirmations that take the time down to the least
	if !slices.Contains(m.suspectors, by) && len(m.suspectors) <= needed {
		if m.suspectors = append(m.suspectors, by); len(m.suspectors) > 1 {
			u := m.Update
			u.By = by
			s.broadcasts.addUpdate(u) // each confirmation is passed on, so that all come to the same time
		}
	}
	least := float64(s.MinSuspicion())
	longest := s.cfg.Suspicion.MaxMult * least
	lasts := longest - (longest-least)*math.Log(float64(len(m.suspectors)))/math.Log(float64(needed+1))
	if needed == 0 {
		lasts = least
	}
	m.deadAt = m.suspectedAt + time.Duration(max(least, lasts))
	s.members.checkBy(m.deadAt)
}

// endSuspicions declares dead those whose suspicion was not refuted in its time, and forgets those that left long ago.
func (s *Swim) endSuspicions() {
	if s.members.checkAt == 0 || s.now < s.members.checkAt {
		return
	}
	s.members.checkAt = 0
	var due []*member
	for _, m := range s.members.byName {
		var at time.Duration
		switch {
		case m != s.self && m.State == Suspect:
			at = m.deadAt
		case m != s.self && m.State == Left:
			at = m.since + s.cfg.ForgetAfter
		default:
			continue
		}
		if s.now >= at {
			due = append(due, m)
		} else {
			s.members.checkBy(at)
		}
	}
	slices.SortFunc(due, func(m, o *member) int { return cmp.Compare(m.Name, o.Name) })
	for _, m := range due {
		if m.State == Left {
			delete(s.members.byName, m.Name)
			s.members.counts[Left]--
			continue
		}
		u := m.Update
		u.State, u.By = Dead, s.cfg.Self
		s.counts.Deaths++
		lasted := (s.now - m.suspectedAt).Round(time.Millisecond)
		s.applyUpdate(u, fromOther, fmt.Sprintf("suspected for %v by %d, and not refuted", lasted, len(m.suspectors)))
	}
}
