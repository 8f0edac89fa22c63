package swim

import (
	"cmp"
	"slices"
	"time"
)

// Member describes one member.
type Member struct {
	Name, Addr  string
	State       State
	Partly      bool // alive, and cut from or by somebody who is there
	Incarnation uint64
	Since       time.Duration // of the state
	Suspectors  []string
	Phi         float64       // how unusual its silence is: 1 is one in ten, 2 one in a hundred
	Heard       time.Duration // last packet of its own; 0 for never
	Reached     time.Duration // last direct ack; 0 for never
	RTT         time.Duration // of that
	CutFrom     []string      // members whose packets do not reach it
	CutTo       []string      // members that its packets do not reach
}

// Members lists all that are known, by name, those that have left included.
func (s *Swim) Members() []Member {
	var list []Member
	for _, m := range s.members.byName {
		v := Member{Name: m.Name, Addr: m.Addr, State: m.State, Incarnation: m.Incarnation, Since: m.since,
			Suspectors: slices.Clone(m.suspectors), Heard: m.heard, Reached: m.reached, RTT: m.rtt}
		if m != s.self {
			v.Phi = m.phi(s.now)
		}
		list = append(list, v)
	}
	slices.SortFunc(list, func(m, o Member) int { return cmp.Compare(m.Name, o.Name) })
	byName := map[string]*Member{}
	for i := range list {
		byName[list[i].Name] = &list[i]
	}
	for _, l := range s.links.sorted() {
		from, to := byName[l.From], byName[l.To]
		// A report on a member that had left may come late and outlive its record.
		if from == nil || to == nil || from.State > Suspect || to.State > Suspect || s.Reachable(l.From, l.To) {
			continue
		}
		if !slices.Contains(from.CutTo, l.To) {
			from.CutTo, to.CutFrom = append(from.CutTo, l.To), append(to.CutFrom, l.From)
		}
		from.Partly, to.Partly = from.State == Alive, to.State == Alive
	}
	return list
}

// State is the state of a member; not known where it never was, or has been forgotten.
func (s *Swim) State(name string) (state State, known bool) {
	m := s.members.byName[name]
	if m == nil {
		return 0, false
	}
	return m.State, true
}
