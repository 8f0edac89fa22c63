package membership

import (
	"slices"
	"time"
)

// address holds the nodes that claim one address.
type address struct {
	claimants []*node
	holder    *node // the claimant that is listed; the others are aliases
}

// claimAddress records the address that a node claims; "" for none.
func (t *Table) claimAddress(now time.Time, n *node, addr string) {
	if a := t.addrs[n.addr]; a != nil && n.addr != addr {
		a.claimants = slices.DeleteFunc(a.claimants, func(o *node) bool { return o == n })
		t.chooseHolder(n.addr, a)
	}
	if addr != n.addr {
		n.addrSince = now
	}
	if n.addr = addr; addr == "" {
		return
	}
	a := t.addrs[addr]
	if a == nil {
		a = &address{}
		t.addrs[addr] = a
	}
	if !slices.Contains(a.claimants, n) {
		a.claimants = append(a.claimants, n)
	}
	t.chooseHolder(addr, a)
}

// chooseHolder selects the claimant of an address that is listed.
func (t *Table) chooseHolder(addr string, a *address) {
	var best *node
	for _, n := range a.claimants {
		if best == nil || n.outranks(best) {
			best = n
		}
	}
	if former := a.holder; former != best {
		a.holder = best
		if former != nil {
			t.toEvaluate.add(former)
		}
		if former != nil && best != nil {
			t.note(Replaced, best.owner.src, best.id, "replaces "+former.id+" at "+addr)
		}
		if best != nil {
			t.toEvaluate.add(best)
		}
	}
	if len(a.claimants) == 0 {
		delete(t.addrs, addr)
	}
}

// outranks reports whether n rather than o is listed if both claim an address.
func (n *node) outranks(o *node) bool {
	if a, b := n.owner.freshness(), o.owner.freshness(); a != b {
		return a > b
	}
	if n.owner.src.Rank != o.owner.src.Rank {
		return n.owner.src.Rank > o.owner.src.Rank
	}
	if !n.addrSince.Equal(o.addrSince) {
		return n.addrSince.After(o.addrSince)
	}
	return n.id < o.id
}

// isAlias reports whether another node is listed at the address of n.
func (t *Table) isAlias(n *node) bool {
	a := t.addrs[n.addr]
	return n.owner != nil && a != nil && a.holder != n
}
