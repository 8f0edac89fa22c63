package membership

import "time"

// schedule sets the timer of a node, adds it to the list of unclaimed nodes if no source claims it, and keeps that list
// within Config.MaxUnclaimed.
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
	if n.unclaimedElem == nil {
		n.unclaimedElem = t.unclaimed.PushBack(n)
	}
	t.setTimer(n, at)
	if t.unclaimed.Len() > t.cfg.MaxUnclaimed {
		t.forget(t.unclaimed.Front().Value.(*node))
	}
}

// nextChange returns when the suppression or the suspicion of a node ends, whichever is first; zero if there is neither.
func (n *node) nextChange(now time.Time) (at time.Time) {
	if n.damping.suppressedUntil.After(now) {
		at = n.damping.suppressedUntil
	}
	if s := n.suspicion; s.suspect && s.until.After(now) && (at.IsZero() || s.until.Before(at)) {
		at = s.until
	}
	return at
}

// forgetAt returns when an unclaimed node can be forgotten: a return after that counts as a new process, and the penalty
// has decayed.
func (t *Table) forgetAt(n *node) time.Time {
	at := n.process.goneAt.Add(t.cfg.ShortAbsence)
	if decayed := n.damping.decayedAt(&t.cfg); decayed.After(at) {
		at = decayed
	}
	return at
}

// forget removes an unclaimed node from the table.
func (t *Table) forget(n *node) {
	t.leaveUnclaimed(n)
	t.setTimer(n, time.Time{})
	delete(t.nodes, n.id)
}

// leaveUnclaimed removes a node from the list of unclaimed nodes, if it is in it. A node that is claimed again must leave
// it at once, before any other is published: otherwise the bound of that list could forget the node while it has claims,
// and the next change of a claim would panic on a nil node.
func (t *Table) leaveUnclaimed(n *node) {
	if n.unclaimedElem != nil {
		t.unclaimed.Remove(n.unclaimedElem)
		n.unclaimedElem = nil
	}
}
