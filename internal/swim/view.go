package swim

import (
	"cmp"
	"slices"
	"time"
)

// Member describes one member as this one sees it.
type Member struct {
	Name, Addr         string
	State              State
	PartiallyReachable bool // alive, but the link from or to another live member is cut
	Incarnation        uint64
	Since              time.Duration // start of the state
	Suspectors         []string      // Suspect: the members that suspect it
	Phi                float64       // suspicion level of its silence: 1 has a probability of 1 in 10, 2 of 1 in 100
	Heard              time.Duration // last packet from the member itself; 0 for never
	Reached            time.Duration // last direct ack from it; 0 for never
	RTT                time.Duration // round-trip time of that ack
	CutFrom            []string      // members whose packets do not reach it
	CutTo              []string      // members that its packets do not reach
}

// Members returns all known members, sorted by name, including this one and those that have left.
func (s *Swim) Members() []Member {
	var list []Member
	for _, m := range s.members.byName {
		v := Member{Name: m.Name, Addr: m.Addr, State: m.State, Incarnation: m.Incarnation, Since: m.since,
			Suspectors: slices.Clone(m.suspectors), Heard: m.lastHeard, Reached: m.lastAck, RTT: m.rtt}
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
		// A report may arrive after a member has left, and outlive the record of the member.
		if from == nil || to == nil || from.State > Suspect || to.State > Suspect || s.Reachable(l.From, l.To) {
			continue
		}
		if !slices.Contains(from.CutTo, l.To) {
			from.CutTo, to.CutFrom = append(from.CutTo, l.To), append(to.CutFrom, l.From)
		}
		from.PartiallyReachable, to.PartiallyReachable = from.State == Alive, to.State == Alive
	}
	return list
}

// State returns the state of a member; known is false if it was never known or has been forgotten.
func (s *Swim) State(name string) (state State, known bool) {
	m := s.members.byName[name]
	if m == nil {
		return 0, false
	}
	return m.State, true
}
