package membership

import "time"

// process is what is known of the process behind a data node's id: since when it runs and whether a return may be
// another one's.
type process struct {
	seen     bool   // it was listed before; the other fields hold from then
	lastAddr string // where it was listed last
	start    time.Time
	stated   time.Time // the start as a source stated it
	isStated bool
	statedBy *source // nil where the statement was cached
	goneAt   time.Time
	lost     bool // its connections failed, and it has not answered since
}

// identify settles since when a node runs, by the second table of the package's comment.
func (t *Table) identify(now time.Time, n *node, former State) {
	p, rec := &n.process, n.owner.rec
	moved := p.lastAddr != "" && p.lastAddr != rec.Addr
	formerStart, seen := p.start, p.seen
	if at, stated := statedStart(n.claims, n.owner); stated {
		p.takeStatement(now, at, n.owner)
	} else if !seen {
		p.start = t.unstatedStart(now, n)
	} else if moved || t.mayBeAnother(now, p, former) {
		p.start, p.lost = now, false
	}
	p.seen = true
	if seen && p.start.After(formerStart) {
		n.suspicion, p.lost = suspicion{}, false
		t.note(Restarted, n.owner.src, n.id, "")
	}
	if moved && former.present() {
		t.note(Moved, n.owner.src, n.id, p.lastAddr+" to "+rec.Addr)
	}
	p.lastAddr = rec.Addr
}

// takeStatement takes over a stated start. Where the same source states an earlier one than before, its clock went
// back, and the start is now.
func (p *process) takeStatement(now, at time.Time, by *claim) {
	from := by.src
	if by.cached {
		from = nil
	}
	known := p.seen && p.isStated
	switch {
	case known && at.Equal(p.stated): // the same process
	case known && at.Before(p.stated) && from != nil && from == p.statedBy:
		p.start = now
	default:
		p.start = at
	}
	p.stated, p.isStated, p.statedBy = at, true, from
}

// mayBeAnother tells whether a node that has come back to its address, and whose start nobody states, may be another
// process than the one that was listed before.
func (t *Table) mayBeAnother(now time.Time, p *process, former State) bool {
	return !former.present() && (p.lost || now.Sub(p.goneAt) > t.cfg.ShortAbsence)
}

// unstatedStart is the start of a node that was not known before and whose start nobody states.
func (t *Table) unstatedStart(now time.Time, n *node) time.Time {
	if a := t.addrs[n.owner.rec.Addr]; a != nil && a.holder != nil && a.holder != n {
		if by, _ := resolve(a.holder.claims); by != nil && by.src != n.owner.src {
			return a.holder.process.start // two sources have two names for one process
		}
		return now
	}
	if n.owner.src.complete {
		return now
	}
	return time.Time{} // it may have run for long before this coordinator
}
