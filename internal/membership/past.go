package membership

import "time"

// schedule sets when a node is looked at next, moves one that nobody names to the past, and keeps the past within
// Config.MaxForgotten.
func (t *Table) schedule(now time.Time, n *node) {
	if len(n.claims) > 0 {
		t.setTimer(n, n.nextChange(now))
		return
	}
	at := t.forgetAt(n)
	if !at.After(now) {
		t.forget(n)
		return
	}
	if n.past == nil {
		n.past = t.past.PushBack(n)
	}
	t.setTimer(n, at)
	if t.past.Len() > t.cfg.MaxForgotten {
		t.forget(t.past.Front().Value.(*node))
	}
}

// nextChange is when suppression or suspicion of a node ends; zero where neither lies ahead.
func (n *node) nextChange(now time.Time) (at time.Time) {
	if n.damping.until.After(now) {
		at = n.damping.until
	}
	if s := n.suspicion; s.suspect && s.until.After(now) && (at.IsZero() || s.until.Before(at)) {
		at = s.until
	}
	return at
}

// forgetAt is when nothing needs to be known of a node of the past any more: a return after that is a new process's, and
// its penalty has decayed.
func (t *Table) forgetAt(n *node) time.Time {
	at := n.process.goneAt.Add(t.cfg.ShortAbsence)
	if decayed := n.damping.decayedAt(&t.cfg); decayed.After(at) {
		at = decayed
	}
	return at
}

// forget drops a node of the past.
func (t *Table) forget(n *node) {
	t.leavePast(n)
	t.setTimer(n, time.Time{})
	delete(t.nodes, n.id)
}

// leavePast takes a node out of the past, where it is one. A node that is named again leaves at once, before any other
// is published: the bound of the past would else forget it while it has claims, and the next change of them would end
// the process with a nil node.
func (t *Table) leavePast(n *node) {
	if n.past != nil {
		t.past.Remove(n.past)
		n.past = nil
	}
}
