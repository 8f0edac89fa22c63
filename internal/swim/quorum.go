package swim

import (
	"slices"
	"time"
)

// Quorum describes how much of the fleet this member is connected to.
type Quorum struct {
	Kind      QuorumKind
	Connected int  // live members connected to this one, directly or through others, this one included
	Total     int  // members that have not left
	Majority  bool // Connected is more than half of Total
}

// QuorumKind classifies how the fleet is connected.
type QuorumKind uint8

// The kinds of quorum.
const (
	Connected QuorumKind = iota
	Split                // several members died together, or live ones are out of reach: the fleet is partitioned
	Isolated             // no other member is connected
)

var quorumNames = [...]string{"connected", "split", "alone"}

func (k QuorumKind) String() string { return quorumNames[k] }

// quorumWatch tracks changes of the quorum.
type quorumWatch struct {
	notified Quorum // last notified
	stale    bool   // the quorum may have changed since
}

// checkQuorum emits a change if the kind or the majority of the quorum has changed.
func (s *Swim) checkQuorum() {
	if !s.quorum.stale {
		return
	}
	s.quorum.stale = false
	if q := s.Quorum(); q.Kind != s.quorum.notified.Kind || q.Majority != s.quorum.notified.Majority {
		s.quorum.notified = q
		s.emitChange(Change{Quorum: q})
	}
}

// Quorum returns how much of the fleet this member is connected to, over links that work both ways.
func (s *Swim) Quorum() Quorum {
	q := Quorum{Total: s.members.size(), Connected: 1}
	cuts := s.cutsByMember()
	if len(cuts) == 0 && s.members.counts[Dead] == 0 { // the usual case, which needs no search
		q.Connected, q.Majority = q.Total, true
		return q
	}
	live := 1
	var diedAt []time.Duration
	for _, name := range s.members.probeOrder {
		if m := s.members.byName[name]; dead(m) {
			diedAt = append(diedAt, m.since)
		} else {
			live++
		}
	}
	q.Connected = s.countConnected(cuts)
	q.Majority = 2*q.Connected > q.Total
	switch {
	case q.Connected == 1 && q.Total > 1:
		q.Kind = Isolated
	case q.Connected < live || s.diedTogether(diedAt):
		q.Kind = Split
	}
	return q
}

// cutsByMember returns the number of valid reports of cut links by the members at their ends.
func (s *Swim) cutsByMember() map[string]int {
	cuts := map[string]int{}
	for k, l := range s.links.reports {
		if s.activeCut(l) {
			cuts[k.from]++
			cuts[k.to]++
		}
	}
	return cuts
}

// countConnected returns the number of live members that are connected over links that work both ways, this one included. All
// members without a cut link reach each other; only the others need a search.
func (s *Swim) countConnected(cuts map[string]int) int {
	var withoutCuts, withCuts []string
	for _, name := range s.members.probeOrder {
		switch {
		case dead(s.members.byName[name]):
		case cuts[name] == 0:
			withoutCuts = append(withoutCuts, name)
		default:
			withCuts = append(withCuts, name)
		}
	}
	bothWays := func(a, b string) bool { return s.Reachable(a, b) && s.Reachable(b, a) }
	connected := 1
	seen := map[string]bool{s.cfg.Self: true}
	for queue := []string{s.cfg.Self}; len(queue) > 0; {
		current := queue[0]
		queue = queue[1:]
		if len(withoutCuts) > 0 && (cuts[current] == 0 || bothWays(current, withoutCuts[0])) {
			connected += len(withoutCuts)
			queue, withoutCuts = append(queue, withoutCuts...), nil
		}
		for _, name := range withCuts {
			if !seen[name] && bothWays(current, name) {
				seen[name] = true
				connected++
				queue = append(queue, name)
			}
		}
	}
	return connected
}

// diedTogether reports whether two members died so shortly after each other that a split is likelier than two crashes.
func (s *Swim) diedTogether(diedAt []time.Duration) bool {
	slices.Sort(diedAt)
	within := time.Duration(s.cfg.Suspicion.MaxMult * float64(s.MinSuspicion()))
	for i := 1; i < len(diedAt); i++ {
		if diedAt[i]-diedAt[i-1] < within {
			return true
		}
	}
	return false
}
