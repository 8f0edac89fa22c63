package membership

import "time"

// process holds what is known of the process behind a data node's id: when it started, and whether a data node that returns
// may be another process.
type process struct {
	seen           bool   // it was listed before; the other fields are valid only then
	lastAddr       string // address at which it was last listed
	start          time.Time
	statedStart    time.Time // the start as a source stated it
	hasStatedStart bool
	statedBy       *sourceState // nil if the claim that stated it was cached
	goneAt         time.Time
	connLost       bool // its connections failed, and it has not answered since
}

// updateStart determines when a node's process started, by the table under Identity in the package comment.
func (t *Table) updateStart(now time.Time, n *node, former State) {
	p, rec := &n.process, n.owner.rec
	moved := p.lastAddr != "" && p.lastAddr != rec.Addr
	formerStart, seen := p.start, p.seen
	if at, stated := statedStart(n.claims, n.owner); stated {
		p.applyStatedStart(now, at, n.owner)
	} else if !seen {
		p.start = t.assumedStart(now, n)
	} else if moved || t.mayHaveRestarted(now, p, former) {
		p.start, p.connLost = now, false
	}
	p.seen = true
	if seen && p.start.After(formerStart) {
		n.suspicion, p.connLost = suspicion{}, false
		t.note(Restarted, n.owner.src, n.id, "")
	}
	if moved && former.present() {
		t.note(Moved, n.owner.src, n.id, p.lastAddr+" to "+rec.Addr)
	}
	p.lastAddr = rec.Addr
}

// applyStatedStart applies a stated start. If a source states an earlier start than it did before, its clock went back,
// and the start is now.
func (p *process) applyStatedStart(now, at time.Time, ownerClaim *claim) {
	src := ownerClaim.src
	if ownerClaim.cached {
		src = nil
	}
	known := p.seen && p.hasStatedStart
	switch {
	case known && at.Equal(p.statedStart): // the same process
	case known && at.Before(p.statedStart) && src != nil && src == p.statedBy:
		p.start = now
	default:
		p.start = at
	}
	p.statedStart, p.hasStatedStart, p.statedBy = at, true, src
}

// mayHaveRestarted reports whether a node that has returned to its address, and whose start no claim states, may be
// another process than the one listed before.
func (t *Table) mayHaveRestarted(now time.Time, p *process, former State) bool {
	return !former.present() && (p.connLost || now.Sub(p.goneAt) > t.cfg.ShortAbsence)
}

// assumedStart returns the assumed start of a node that was not listed before and whose start no claim states.
func (t *Table) assumedStart(now time.Time, n *node) time.Time {
	if a := t.addrs[n.owner.rec.Addr]; a != nil && a.holder != nil && a.holder != n {
		if ownerClaim, _ := resolve(a.holder.claims); ownerClaim != nil && ownerClaim.src != n.owner.src {
			return a.holder.process.start // two sources name the same process under two ids
		}
		return now
	}
	if n.owner.src.fullListSeen {
		return now
	}
	return time.Time{} // it may have started long before this coordinator
}
