package membership

import "time"

// suspicion is what the coordinator's own evidence says against a data node. A suspect stays listed, but does not count
// as sound: no other node is left unused for it.
type suspicion struct {
	failures   int // connections refused or reset, in a row
	rejections int // parts rejected, in a row
	suspect    bool
	until      time.Time // of a suspect: when suspicion ends without news
}

// Observe applies what the coordinator sees of a data node. It counts only for one that is listed.
func (t *Table) Observe(now time.Time, id string, e Evidence) Result {
	n := t.nodes[id]
	if n == nil || !n.published.State.present() || e == Answered && n.blameless() {
		return Result{}
	}
	t.advance(now)
	s := &n.suspicion
	former := s.suspect
	switch e {
	case Answered:
		s.failures, s.rejections, s.suspect = 0, 0, false
		n.process.lost = false
	case Rejected:
		s.failures, s.rejections = 0, s.rejections+1
	case ConnectionRefused, ConnectionReset:
		s.failures++
		n.process.lost = true
	case ConnectionReopened: // the process is there, and says nothing of its health
	}
	if s.failures >= t.cfg.SuspectAfter || s.rejections >= t.cfg.RejectsToSuspect {
		s.suspect, s.until = true, now.Add(t.cfg.SuspectFor)
	}
	switch {
	case s.suspect && !former:
		t.note(Suspected, nil, id, "")
	case former && !s.suspect:
		t.note(Cleared, nil, id, "")
	}
	t.toEvaluate.add(n)
	return t.finish(now)
}

// blameless tells whether there is nothing against a node that an answer would clear.
func (n *node) blameless() bool {
	s := n.suspicion
	return s.failures+s.rejections == 0 && !s.suspect && !n.process.lost
}

// endSuspicion clears a suspect whose time has run out.
func (t *Table) endSuspicion(now time.Time, n *node) {
	if n.suspicion.suspect && !now.Before(n.suspicion.until) {
		n.suspicion = suspicion{}
		t.note(Cleared, nil, n.id, "no news")
	}
}
