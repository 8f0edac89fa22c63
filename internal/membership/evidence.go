package membership

import "time"

// suspicion is the coordinator's own evidence against a data node. A suspect stays listed, but does not count as healthy:
// it keeps no other node on standby.
type suspicion struct {
	failures   int // consecutive connections refused or reset
	rejections int // consecutive parts rejected
	suspect    bool
	until      time.Time // of a suspect: when the suspicion ends without new evidence
}

// Observe applies an observation of a data node. It is ignored if the node is not listed.
func (t *Table) Observe(now time.Time, id string, e Evidence) Result {
	n := t.nodes[id]
	if n == nil || !n.published.State.present() || e == Answered && n.hasNoFailures() {
		return Result{}
	}
	t.advance(now)
	s := &n.suspicion
	wasSuspect := s.suspect
	switch e {
	case Answered:
		s.failures, s.rejections, s.suspect = 0, 0, false
		n.process.connLost = false
	case Rejected:
		s.failures, s.rejections = 0, s.rejections+1
	case ConnectionRefused, ConnectionReset:
		s.failures++
		n.process.connLost = true
	case ConnectionReopened: // shows that the process runs, but not that it is healthy
	}
	if s.failures >= t.cfg.SuspectAfterFailures || s.rejections >= t.cfg.SuspectAfterRejections {
		s.suspect, s.until = true, now.Add(t.cfg.SuspectFor)
	}
	switch {
	case s.suspect && !wasSuspect:
		t.note(Suspected, nil, id, "")
	case wasSuspect && !s.suspect:
		t.note(Cleared, nil, id, "")
	}
	t.toEvaluate.add(n)
	return t.finish(now)
}

// hasNoFailures reports whether there is no evidence against a node that an answer would clear.
func (n *node) hasNoFailures() bool {
	s := n.suspicion
	return s.failures+s.rejections == 0 && !s.suspect && !n.process.connLost
}

// expireSuspicion clears a suspect whose suspicion has expired.
func (t *Table) expireSuspicion(now time.Time, n *node) {
	if n.suspicion.suspect && !now.Before(n.suspicion.until) {
		n.suspicion = suspicion{}
		t.note(Cleared, nil, n.id, "no news")
	}
}
