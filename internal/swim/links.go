package swim

import (
	"slices"
	"time"
)

// linkKey is a direction between two members, and the one of them that reports it.
type linkKey struct{ from, to, by string }

func (l *Link) key() linkKey { return linkKey{l.From, l.To, l.By} }

// heldLink is a report as it is held.
type heldLink struct {
	Link
	receivedAt time.Duration
}

// linkReports holds the reports of all members on links.
type linkReports struct {
	held    map[linkKey]*heldLink
	version uint32 // of this member's last report
}

// sorted are all reports held, in order.
func (r *linkReports) sorted() []Link {
	var list []Link
	for _, l := range r.held {
		list = append(list, l.Link)
	}
	slices.SortFunc(list, func(l, o Link) int {
		return slices.Compare([]string{l.From, l.To, l.By}, []string{o.From, o.To, o.By})
	})
	return list
}

// linkLifetime is how long a report holds that is not renewed: some rounds of probes.
func (s *Swim) linkLifetime() time.Duration {
	return 10*time.Duration(s.members.size())*s.cfg.Period + 20*s.cfg.Period
}

// holds tells whether a report says that the link is cut and has not expired.
func (s *Swim) holds(l *heldLink) bool {
	return l != nil && l.Cut && s.now-l.receivedAt < s.linkLifetime()
}

// reportCut reports a link whose direct acks were missed several times in a row, though the member is there.
func (s *Swim) reportCut(m *member) {
	if m.missed < s.cfg.CutAfter || !reachable(m) {
		return
	}
	l := Link{From: m.Name, To: s.cfg.Self, By: s.cfg.Self, Cut: true}
	if m.heard > m.missedAt {
		l.From, l.To = s.cfg.Self, m.Name // its packets come: those sent to it are lost
	}
	if m.reportedCut != l.From {
		s.retractCut(m)
	}
	if held := s.links.held[l.key()]; held != nil && held.Cut && s.now-held.receivedAt < s.linkLifetime()/2 {
		return
	}
	m.reportedCut = l.From
	s.reportLink(l)
}

// retractCut takes back what this member reports of a link to or from another.
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

// reportLink makes a report of this member's own.
func (s *Swim) reportLink(l Link) {
	s.links.version++
	l.Version = s.links.version
	s.applyLink(l)
}

// applyLink applies a report, and passes it on where it is newer than what is held.
func (s *Swim) applyLink(l Link) {
	if l.By != l.From && l.By != l.To || l.From == l.To || s.members.byName[l.From] == nil || s.members.byName[l.To] == nil {
		return
	}
	held := s.links.held[l.key()]
	if held == nil && len(s.links.held) >= maxLinks || held != nil && int32(l.Version-held.Version) <= 0 {
		return
	}
	if l.By == s.cfg.Self && int32(l.Version-s.links.version) > 0 {
		s.links.version = l.Version // a report by this member from before a restart
	}
	s.quorum.stale = true
	former := s.Reachable(l.From, l.To)
	s.links.held[l.key()] = &heldLink{l, s.now}
	s.broadcasts.addLink(l)
	if now := s.Reachable(l.From, l.To); now != former {
		s.emitChange(Change{Name: l.To, LinkFrom: l.From, Cut: !now, Why: "so says " + l.By})
	}
}

// dropLinks forgets the reports on a member that is gone.
func (s *Swim) dropLinks(m *member) {
	for k := range s.links.held {
		if k.from == m.Name || k.to == m.Name {
			delete(s.links.held, k)
		}
	}
	m.reportedCut, m.missed = "", 0
}

// Reachable tells whether packets of one member reach the other, as far as either reports.
func (s *Swim) Reachable(from, to string) bool {
	return !s.holds(s.links.held[linkKey{from, to, from}]) && !s.holds(s.links.held[linkKey{from, to, to}])
}
