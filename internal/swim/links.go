package swim

import (
	"slices"
	"time"
)

// linkKey identifies a report by the direction between two members and the one of them that reports it.
type linkKey struct{ from, to, by string }

func (l *Link) key() linkKey { return linkKey{l.From, l.To, l.By} }

// linkReport is a stored link report.
type linkReport struct {
	Link
	receivedAt time.Duration
}

// linkTable holds the link reports of all members.
type linkTable struct {
	reports map[linkKey]*linkReport
	version uint32 // of this member's last report
}

// sorted returns all stored reports, sorted by key.
func (r *linkTable) sorted() []Link {
	var list []Link
	for _, l := range r.reports {
		list = append(list, l.Link)
	}
	slices.SortFunc(list, func(l, o Link) int {
		return slices.Compare([]string{l.From, l.To, l.By}, []string{o.From, o.To, o.By})
	})
	return list
}

// linkLifetime returns how long a report is valid without renewal: several rounds of probes.
func (s *Swim) linkLifetime() time.Duration {
	return 10*time.Duration(s.members.size())*s.cfg.Period + 20*s.cfg.Period
}

// activeCut reports whether a stored report says that the link is cut and has not expired.
func (s *Swim) activeCut(l *linkReport) bool {
	return l != nil && l.Cut && s.now-l.receivedAt < s.linkLifetime()
}

// reportCut reports a link as cut after CutAfter consecutive missed direct acks of an alive or suspect member.
func (s *Swim) reportCut(m *member) {
	if m.missedAcks < s.cfg.CutAfter || !aliveOrSuspect(m) {
		return
	}
	l := Link{From: m.Name, To: s.cfg.Self, By: s.cfg.Self, Cut: true}
	if m.lastHeard > m.firstMissedAt {
		l.From, l.To = s.cfg.Self, m.Name // its packets arrive, so those sent to it are lost
	}
	if m.reportedCut != l.From {
		s.retractCut(m)
	}
	if stored := s.links.reports[l.key()]; stored != nil && stored.Cut && s.now-stored.receivedAt < s.linkLifetime()/2 {
		return
	}
	m.reportedCut = l.From
	s.reportLink(l)
}

// retractCut retracts this member's report on the link to or from another, if there is one.
func (s *Swim) retractCut(m *member) {
	if m.reportedCut == "" {
		return
	}
	l := Link{From: m.reportedCut, To: s.cfg.Self, By: s.cfg.Self}
	if m.reportedCut == s.cfg.Self {
		l.To = m.Name
	}
	m.reportedCut = ""
	s.reportLink(l)
}

// reportLink issues a report by this member.
func (s *Swim) reportLink(l Link) {
	s.links.version++
	l.Version = s.links.version
	s.applyLink(l)
}

// applyLink stores and gossips a report if it is newer than the stored one.
func (s *Swim) applyLink(l Link) {
	if l.By != l.From && l.By != l.To || l.From == l.To || s.members.byName[l.From] == nil || s.members.byName[l.To] == nil {
		return
	}
	stored := s.links.reports[l.key()]
	if stored == nil && len(s.links.reports) >= maxLinks || stored != nil && int32(l.Version-stored.Version) <= 0 {
		return
	}
	if l.By == s.cfg.Self && int32(l.Version-s.links.version) > 0 {
		s.links.version = l.Version // this member's own report from before a restart
	}
	s.quorum.stale = true
	former := s.Reachable(l.From, l.To)
	s.links.reports[l.key()] = &linkReport{l, s.now}
	s.broadcasts.addLink(l)
	if now := s.Reachable(l.From, l.To); now != former {
		s.emitChange(Change{Name: l.To, LinkFrom: l.From, Cut: !now, Reason: "reported by " + l.By})
	}
}

// dropLinks drops the reports on links of a member that is dead or has left.
func (s *Swim) dropLinks(m *member) {
	for k := range s.links.reports {
		if k.from == m.Name || k.to == m.Name {
			delete(s.links.reports, k)
		}
	}
	m.reportedCut, m.missedAcks = "", 0
}

// Reachable reports whether packets of one member reach the other, according to the reports of both.
func (s *Swim) Reachable(from, to string) bool {
	return !s.activeCut(s.links.reports[linkKey{from, to, from}]) && !s.activeCut(s.links.reports[linkKey{from, to, to}])
}
