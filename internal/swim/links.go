package swim

// This file owns who reaches whom: reports of links that are cut, the silence figure of each member, and the verdict on
// the whole. It must never call a member dead for a link.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// link is a report as it is held.
type heldLink struct {
	Link
	receivedAt time.Duration // when it came in
}

// Quorum is what is held of the fleet as a whole.
type Quorum struct {
	Kind     QuorumKind
	Here     int  // members that are there and that we reach, by others where need be, ourselves included
	Known    int  // members that have not left
	Majority bool // Here is more than half of Known
}

// QuorumState is the whole in a word.
type QuorumKind uint8

// The verdicts.
const (
	Connected QuorumKind = iota
	Split                 // several were lost together, or live ones are out of reach: there is another side
	Alone                 // nobody else is there
)

var quorumNames = [...]string{"connected", "split", "alone"}

func (k QuorumKind) String() string { return quorumNames[k] }

// key orders a pair of members and the reporter.
func (l *Link) key() [3]string { return [3]string{l.From, l.To, l.By} }

// life is how long a report holds that nobody renews: some rounds of probes.
func (s *Swim) linkLifetime() time.Duration { return 10*time.Duration(s.size())*s.cfg.Period + 20*s.cfg.Period }

// cutOff reports a link whose direct acks were missed several times in a row, though the member is there.
func (s *Swim) reportCut(m *member) {
	if m.missed < s.cfg.CutAfter || m.State > Suspect {
		return
	}
	l := Link{From: m.Name, To: s.cfg.Self, By: s.cfg.Self, Cut: true}
	if m.heard > m.missedAt {
		l.From, l.To = s.cfg.Self, m.Name // we still hear it: what we send is lost
	}
	if m.reportedCut != "" && m.reportedCut != l.From {
		s.retractCut(m)
	}
	if held := s.links[l.key()]; held != nil && held.Cut && s.now-held.receivedAt < s.linkLifetime()/2 {
		return
	}
	m.reportedCut = l.From
	s.linkVersion++
	l.Version = s.linkVersion
	s.applyLink(l)
}

// ackedLink and heardLink take back what a direct ack, or a packet heard, speaks against.
func (s *Swim) linkAcked(m *member) {
	if m.reportedCut != "" {
		s.retractCut(m)
	}
}

func (s *Swim) linkHeard(m *member) {
	if m.reportedCut == m.Name {
		s.retractCut(m)
	}
}

func (s *Swim) retractCut(m *member) {
	l := Link{From: m.reportedCut, To: s.cfg.Self, By: s.cfg.Self}
	if m.reportedCut == s.cfg.Self {
		l.To = m.Name
	}
	m.reportedCut = ""
	s.linkVersion++
	l.Version = s.linkVersion
	s.applyLink(l)
}

// linkWord takes in a report, and passes it on where it is newer.
func (s *Swim) applyLink(l Link) {
	if l.By != l.From && l.By != l.To || l.From == l.To || s.members[l.From] == nil || s.members[l.To] == nil {
		return
	}
	held := s.links[l.key()]
	if held == nil && len(s.links) >= maxLinks || held != nil && int32(l.Version-held.Version) <= 0 {
		return
	}
	if l.By == s.cfg.Self && int32(l.Version-s.linkVersion) > 0 {
		s.linkVersion = l.Version // our own words of before a restart
	}
	s.quorumStale = true
	was := s.Reachable(l.From, l.To)
	s.links[l.key()] = &heldLink{l, s.now}
	s.broadcasts = slices.DeleteFunc(s.broadcasts, func(i *queuedUpdate) bool { return i.link != nil && i.link.key() == l.key() })
	s.enqueue(&queuedUpdate{link: &l})
	if is := s.Reachable(l.From, l.To); is != was {
		s.emitChange(Change{Name: l.To, LinkFrom: l.From, Cut: !is, Why: "so says " + l.By})
	}
}

// dropLinks forgets the reports on a member that is gone.
func (s *Swim) dropLinks(name string) {
	for k := range s.links {
		if k[0] == name || k[1] == name {
			delete(s.links, k)
		}
	}
	if m := s.members[name]; m != nil {
		m.reportedCut, m.missed = "", 0
	}
}

// reports are all reports held, in order.
func (s *Swim) sortedLinks() []Link {
	var list []Link
	for _, l := range s.links {
		list = append(list, l.Link)
	}
	slices.SortFunc(list, func(l, o Link) int { return slices.Compare([]string{l.From, l.To, l.By}, []string{o.From, o.To, o.By}) })
	return list
}

// Reachable tells whether what one member sends reaches the other by itself, as far as anybody has said.
func (s *Swim) Reachable(from, to string) bool {
	for _, by := range []string{from, to} {
		if l := s.links[[3]string{from, to, by}]; l != nil && l.Cut && s.now-l.receivedAt < s.linkLifetime() {
			return false
		}
	}
	return true
}

// Member is what is held of one, for others.
type Member struct {
	Name, Addr  string
	State       State
	Partly      bool // alive, and cut from or by somebody who is there
	Incarnation uint64
	Since       time.Duration
	Suspectors  []string
	Phi         float64       // how unusual its silence is: 1 is one in ten, 2 one in a hundred
	Heard       time.Duration // last packet of its own; 0 for never
	Reached     time.Duration // last direct ack; 0 for never
	RTT         time.Duration // of that
	CutFrom     []string      // members whose packets do not reach it
	CutTo       []string      // and that its packets do not reach
}

// Members lists all that are known, by name, those that have left included.
func (s *Swim) Members() []Member {
	var list []Member
	for _, m := range s.members {
		v := Member{Name: m.Name, Addr: m.Addr, State: m.State, Incarnation: m.Incarnation, Since: m.since,
			Suspectors: slices.Clone(m.suspectors), Phi: m.phi(s.now), Heard: m.heard, Reached: m.reached, RTT: m.rtt}
		if m == s.self {
			v.Phi = 0
		}
		list = append(list, v)
	}
	slices.SortFunc(list, func(m, o Member) int { return cmp.Compare(m.Name, o.Name) })
	at := map[string]int{}
	for i := range list {
		at[list[i].Name] = i
	}
	for _, l := range s.sortedLinks() {
		if s.Reachable(l.From, l.To) || s.members[l.From].State > Suspect || s.members[l.To].State > Suspect {
			continue
		}
		from, to := &list[at[l.From]], &list[at[l.To]]
		if !slices.Contains(from.CutTo, l.To) {
			from.CutTo, to.CutFrom = append(from.CutTo, l.To), append(to.CutFrom, l.From)
		}
		from.Partly, to.Partly = from.State == Alive, to.State == Alive
	}
	return list
}

// Holds is what is held of a member; not known where it never was, or has been forgotten.
func (s *Swim) State(name string) (state State, known bool) {
	m := s.members[name]
	if m == nil {
		return 0, false
	}
	return m.State, true
}

// Quorum is what is held of the whole: Here is counted along links that carry both ways.
func (s *Swim) Quorum() Quorum {
	v := Quorum{Known: s.size(), Here: 1}
	cut := map[string]int{}
	for k, l := range s.links {
		if l.Cut && s.now-l.receivedAt < s.linkLifetime() {
			cut[k[0]]++
			cut[k[1]]++
		}
	}
	if len(cut) == 0 && s.stateCounts[Dead] == 0 { // as it is nearly always
		v.Here, v.Majority = v.Known, true
		return v
	}
	// Who has no cut link is reached by everybody else without one; only the others need a walk.
	var plain, rest []string
	var lost []time.Duration
	live := 1
	for _, name := range s.order {
		switch m := s.members[name]; {
		case m.State == Dead:
			lost = append(lost, m.since)
		case cut[name] == 0:
			plain = append(plain, name)
			live++
		default:
			rest = append(rest, name)
			live++
		}
	}
	both := func(a, b string) bool { return s.Reachable(a, b) && s.Reachable(b, a) }
	seen := map[string]bool{s.cfg.Self: true}
	for todo := []string{s.cfg.Self}; len(todo) > 0; {
		at := todo[0]
		todo = todo[1:]
		if len(plain) > 0 && (cut[at] == 0 || both(at, plain[0])) {
			v.Here += len(plain)
			todo, plain = append(todo, plain...), nil
		}
		for _, name := range rest {
			if !seen[name] && both(at, name) {
				seen[name] = true
				v.Here++
				todo = append(todo, name)
			}
		}
	}
	v.Majority = 2*v.Here > v.Known
	slices.Sort(lost)
	together := false
	for i := 1; i < len(lost); i++ {
		together = together || lost[i]-lost[i-1] < time.Duration(s.cfg.MaxSuspicionMult*float64(s.MinSuspicion()))
	}
	switch {
	case v.Here == 1 && v.Known > 1:
		v.Kind = Alone
	case v.Here < live || together:
		v.Kind = Split
	}
	return v
}

// judge tells of a verdict that has changed.
func (s *Swim) updateQuorum() {
	if !s.quorumStale {
		return
	}
	s.quorumStale = false
	if v := s.Quorum(); v.Kind != s.quorum.Kind || v.Majority != s.quorum.Majority {
		s.quorum = v
		s.emitChange(Change{Quorum: v})
	}
}

// gaps are the usual silences between two packets of a member, in seconds.
type intervalStats struct {
	count             int
	mean, variance float64
}

func (g *intervalStats) add(x float64) {
	g.count++
	w := math.Max(1/float64(g.count), 0.05)
	d := x - g.mean
	g.mean += w * d
	g.variance = (1 - w) * (g.variance + w*d*d)
}

// phi is how unusual the silence of a member is now: minus the logarithm of the chance that a longer one was to be
// expected, after the accrual detector of Hayashibara (2004). 0 where too little was heard of it.
func (m *member) phi(now time.Duration) float64 {
	if m.intervals.count < 3 || m.heard == 0 {
		if m.heard == 0 {
			return math.Inf(1) // nothing speaks for it
		}
		return 0
	}
	dev := math.Max(math.Sqrt(m.intervals.variance), m.intervals.mean/4)
	y := ((now - m.heard).Seconds() - m.intervals.mean) / math.Max(dev, 1e-6)
	e := math.Exp(-y * (1.5976 + 0.070566*y*y)) // the normal tail, approximated
	if y > 0 {
		return math.Min(-math.Log10(e/(1+e)), 99)
	}
	return -math.Log10(1 - 1/(1+e))
}
