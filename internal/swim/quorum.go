package swim

import (
	"slices"
	"time"
)

// Quorum is how much of the fleet this member is together with.
type Quorum struct {
	Kind     QuorumKind
	Here     int  // members that are there and reached, by others where need be, this one included
	Known    int  // members that have not left
	Majority bool // Here is more than half of Known
}

// QuorumKind is the state of the fleet in a word.
type QuorumKind uint8

// The kinds.
const (
	Connected QuorumKind = iota
	Split                // several were lost together, or live ones are out of reach: there is another side
	Alone                // nobody else is there
)

var quorumNames = [...]string{"connected", "split", "alone"}

func (k QuorumKind) String() string { return quorumNames[k] }

// quorumWatch is the quorum that was last notified.
type quorumWatch struct {
	last  Quorum
	stale bool // it may have changed since
}

// checkQuorum notifies of a quorum that has changed.
func (s *Swim) checkQuorum() {
	if !s.quorum.stale {
		return
	}
	s.quorum.stale = false
	if q := s.Quorum(); q.Kind != s.quorum.last.Kind || q.Majority != s.quorum.last.Majority {
		s.quorum.last = q
		s.emitChange(Change{Quorum: q})
	}
}

// Quorum tells how much of the fleet this member is together with, counted along links that carry both ways.
func (s *Swim) Quorum() Quorum {
	q := Quorum{Known: s.members.size(), Here: 1}
	cuts := s.cutsByMember()
	if len(cuts) == 0 && s.members.counts[Dead] == 0 { // as it is nearly always
		q.Here, q.Majority = q.Known, true
		return q
	}
	live := 1
	var lost []time.Duration
	for _, name := range s.members.order {
		if m := s.members.byName[name]; dead(m) {
			lost = append(lost, m.since)
		} else {
			live++
		}
	}
	q.Here = s.countReached(cuts)
	q.Majority = 2*q.Here > q.Known
	switch {
	case q.Here == 1 && q.Known > 1:
		q.Kind = Alone
	case q.Here < live || s.lostTogether(lost):
		q.Kind = Split
	}
	return q
}

// cutsByMember counts the reports of cut links by the members at their ends.
func (s *Swim) cutsByMember() map[string]int {
	cuts := map[string]int{}
	for k, l := range s.links.held {
		if s.holds(l) {
			cuts[k.from]++
			cuts[k.to]++
		}
	}
	return cuts
}

// countReached counts the live members that are reached along links that carry both ways, this one included. A member
// without a cut link is reached by every other that has none; only the others need a search.
func (s *Swim) countReached(cuts map[string]int) int {
	var uncut, rest []string
	for _, name := range s.members.order {
		switch {
		case dead(s.members.byName[name]):
		case cuts[name] == 0:
			uncut = append(uncut, name)
		default:
			rest = append(rest, name)
		}
	}
	bothWays := func(a, b string) bool { return s.Reachable(a, b) && s.Reachable(b, a) }
	reached := 1
	seen := map[string]bool{s.cfg.Self: true}
	for queue := []string{s.cfg.Self}; len(queue) > 0; {
		at := queue[0]
		queue = queue[1:]
		if len(uncut) > 0 && (cuts[at] == 0 || bothWays(at, uncut[0])) {
			reached += len(uncut)
			queue, uncut = append(queue, uncut...), nil
		}
		for _, name := range rest {
			if !seen[name] && bothWays(at, name) {
				seen[name] = true
				reached++
				queue = append(queue, name)
			}
		}
	}
	return reached
}

// lostTogether tells whether two members died so shortly after each other that a split is more likely than two crashes.
func (s *Swim) lostTogether(lost []time.Duration) bool {
	slices.Sort(lost)
	within := time.Duration(s.cfg.Suspicion.MaxMult * float64(s.MinSuspicion()))
	for i := 1; i < len(lost); i++ {
		if lost[i]-lost[i-1] < within {
			return true
		}
	}
	return false
}
