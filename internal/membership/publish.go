package membership

import "time"

// anyPriority is a bound above all priorities.
const anyPriority = 1 << 16

// listing is the intended list entry of a node.
type listing struct {
	rec       Record
	reason    Cause // why it differs from the claims; empty if it does not
	dependsOn int   // the shard set whose coverage decides on it; -1 for none
}

// decideListing returns how a node is to be listed: a serving one is listed as draining while its return is suppressed or
// while data nodes of lower priority values suffice, unless a shard would be left without a healthy data node.
func (t *Table) decideListing(now time.Time, n *node) listing {
	l := listing{rec: Record{ID: n.id, State: Gone}, dependsOn: -1}
	switch {
	case n.owner == nil:
		return l
	case t.isAlias(n):
		l.reason = Aliased
		return l
	}
	l.rec = n.owner.rec
	l.rec.State, l.rec.Started, l.rec.StartUnknown = n.state, n.process.start, false
	if n.state != Serving {
		return l
	}
	suppressed, hasPriority := n.damping.suppressed(now), l.rec.Priority > 0
	if suppressed || hasPriority {
		l.dependsOn = l.rec.ShardSet
	}
	switch {
	case suppressed && t.coverage.hasUncoveredShard(l.rec.ShardSet, anyPriority):
		l.reason = Needed
	case suppressed:
		l.reason, l.rec.State = Suppressed, Draining
	case hasPriority && !t.coverage.hasUncoveredShard(l.rec.ShardSet, int(l.rec.Priority)):
		l.reason, l.rec.State = Standby, Draining
	}
	return l
}

// publish updates the list for one node and sets the node's timer.
func (t *Table) publish(now time.Time, n *node) {
	l := t.decideListing(now, n)
	t.setDependency(n, l.dependsOn)
	t.noteChange(n, l)
	if l.rec != n.published {
		switch former, present := n.published.State.present(), l.rec.State.present(); {
		case present && !former:
			t.listed++
		case former && !present:
			t.listed--
		}
		n.published = l.rec
		t.result.Changes = append(t.result.Changes, l.rec)
	}
	t.schedule(now, n)
}

// noteChange adds notes on a change of how a node is listed, with the reason.
func (t *Table) noteChange(n *node, l listing) {
	var src *sourceState
	if n.owner != nil {
		src = n.owner.src
	}
	state := l.rec.State
	switch {
	case l.reason != n.reason && l.reason != "":
		t.note(l.reason, src, n.id, "")
	case n.reason == Suppressed || n.reason == Needed:
		if l.reason == "" && state.present() {
			t.note(Reused, src, n.id, "")
		}
	case n.reason == Standby && state == Serving:
		t.note(Active, src, n.id, "")
	}
	switch {
	case n.published.State == state || l.reason != "":
	case state == Gone:
		t.note(Removed, src, n.id, "")
	case state == Draining:
		t.note(Drained, src, n.id, "")
	case n.published.State == Gone:
		t.note(Listed, src, n.id, l.rec.Addr)
	}
	n.reason = l.reason
}
