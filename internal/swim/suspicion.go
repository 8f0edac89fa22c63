package swim

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// MinSuspicion returns the shortest duration of a suspicion: at least the longest tolerated pause, plus the time for the
// suspicion to reach all members and for the refutation to come back.
func (s *Swim) MinSuspicion() time.Duration {
	// Gossip about triples the number of members that know an update in each period.
	rounds := 1 + int(math.Ceil(math.Log(float64(s.members.size()+1))/math.Log(3)))
	scaledMin := time.Duration(s.cfg.Suspicion.MinMult * s.log10Members() * float64(s.cfg.Period))
	return max(scaledMin, s.cfg.MaxPause+time.Duration(rounds)*s.cfg.Period)
}

// confirm adds a member that suspects m, and sets when m is declared dead. The timeout shrinks with the logarithm of the number
// of confirmations, from MaxMult times the minimum to the minimum (Lifeguard, LHA-Suspicion).
func (s *Swim) confirm(m *member, by string) {
	needed := max(min(s.cfg.Indirect, s.members.size()-2), 0) // confirmations that shrink the timeout to the minimum
	if !slices.Contains(m.suspectors, by) && len(m.suspectors) <= needed {
		if m.suspectors = append(m.suspectors, by); len(m.suspectors) > 1 {
			u := m.Update
			u.By = by
			s.broadcasts.addUpdate(u) // each confirmation is gossiped, so that all members compute the same timeout
		}
	}
	minTimeout := float64(s.MinSuspicion())
	maxTimeout := s.cfg.Suspicion.MaxMult * minTimeout
	timeout := maxTimeout - (maxTimeout-minTimeout)*math.Log(float64(len(m.suspectors)))/math.Log(float64(needed+1))
	if needed == 0 {
		timeout = minTimeout
	}
	m.deadAt = m.suspectedAt + time.Duration(max(minTimeout, timeout))
	s.members.scheduleCheck(m.deadAt)
}

// endSuspicions declares members dead whose suspicion was not refuted in time, and forgets those that left ForgetAfter ago.
func (s *Swim) endSuspicions() {
	if s.members.nextCheckAt == 0 || s.now < s.members.nextCheckAt {
		return
	}
	s.members.nextCheckAt = 0
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
			s.members.scheduleCheck(at)
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
		s.applyUpdate(u, fromOther, fmt.Sprintf("suspected for %v by %d members, and not refuted", lasted, len(m.suspectors)))
	}
}
