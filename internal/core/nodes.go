package core

// This file owns the list of data nodes and the orders that wait for each. A Fleet is what one source tells
// (discovery, DNS-SD); the core joins them into the one list that the module knows. It must never open a
// connection, nor let an order wait here for longer than its carrier takes to pick it up.

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"gullfall/aggregator"
)

// Carry serves one data node: it picks up orders until Pick says that there will be none.
type Carry func(*Node)

// Node is a data node as its carrier sees it.
type Node struct {
	id      string
	c       *Core
	fleet   *Fleet
	member  Member
	barred  atomic.Bool
	orders  []*Order
	ready   chan struct{}
	out     int  // attempts without an end
	retired bool // it has left the list; its carrier ends once nothing is out
}

// ID is the data node's name in its list.
func (n *Node) ID() string { return n.id }

// Addr is where the data node listens now.
func (n *Node) Addr() string {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.member.Addr
}

// Barred tells that the list says draining or gone: nothing more may be written to it, queued calls included.
func (n *Node) Barred() bool { return n.barred.Load() }

// Pick waits for the next order. It returns nil once the data node has left the list
// and nothing of it is out.
func (n *Node) Pick(ctx context.Context) *Order {
	for {
		n.c.mu.Lock()
		if len(n.orders) > 0 {
			o := n.orders[0]
			n.orders = n.orders[1:]
			n.c.mu.Unlock()
			return o
		}
		retired := n.retired && n.out == 0
		n.c.mu.Unlock()
		if retired {
			return nil
		}
		select {
		case <-n.ready:
		case <-ctx.Done():
			return nil
		}
	}
}

// post leaves orders for the carrier; it never blocks.
func (n *Node) post(list ...*Order) {
	n.c.mu.Lock()
	n.orders = append(n.orders, list...)
	n.c.mu.Unlock()
	n.signal()
}

// hold counts the attempts that are out.
func (n *Node) hold(by int) {
	n.c.mu.Lock()
	n.out += by
	n.c.mu.Unlock()
	n.signal()
}

func (n *Node) signal() {
	select {
	case n.ready <- struct{}{}:
	default:
	}
}

// Fleet is the list of one source.
type Fleet struct {
	c     *Core
	carry Carry
	nodes map[string]*Node
}

// Fleet adds a source whose data nodes are served by carry, one goroutine for each.
func (c *Core) Fleet(carry Carry) *Fleet {
	f := &Fleet{c: c, carry: carry, nodes: map[string]*Node{}}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleets = append(c.fleets, f)
	return f
}

// Change applies the entries that have changed.
func (f *Fleet) Change(members []Member) {
	event := aggregator.Event{Kind: aggregator.ListChanged}
	f.c.mu.Lock()
	for _, m := range members {
		if f.apply(m) {
			event.Members = append(event.Members, f.c.member(m))
		}
	}
	f.c.mu.Unlock()
	f.c.put(input{event: event})
}

// Replace applies a complete list: what it lacks is gone. A remembered list may be out of date.
func (f *Fleet) Replace(members []Member, remembered bool) {
	f.c.mu.Lock()
	missing := map[string]bool{}
	for id := range f.nodes {
		missing[id] = true
	}
	for _, m := range members {
		f.apply(m)
		delete(missing, m.ID)
	}
	for id := range missing {
		f.apply(Member{ID: id, State: Gone, Cell: f.nodes[id].member.Cell})
	}
	f.c.mu.Unlock()
	kind := aggregator.ListReplaced
	if remembered {
		kind = aggregator.ListRemembered
	}
	f.c.put(input{event: f.c.list(kind)})
}

// apply notes an entry, at once and ahead of the next Step, and starts or retires the data node's carrier. An
// entry of a data node that another source has named is not taken: it has one owner.
func (f *Fleet) apply(m Member) bool {
	n := f.nodes[m.ID]
	switch {
	case n == nil && (f.c.nodes[m.ID] != nil || m.State == Gone):
		return false
	case n == nil:
		n = &Node{id: m.ID, c: f.c, fleet: f, ready: make(chan struct{}, 1)}
		f.nodes[m.ID], f.c.nodes[m.ID] = n, n
		go f.carry(n)
	}
	n.member = m
	if bar := m.State != Serving; n.barred.Swap(bar) != bar && bar {
		n.orders = append(n.orders, &Order{Barred: true})
		n.signal()
	}
	if m.State == Gone {
		delete(f.nodes, m.ID)
		delete(f.c.nodes, m.ID)
		n.retired = true
		n.signal()
	}
	return true
}

// list is the joined list of all sources.
func (c *Core) list(kind aggregator.EventKind) aggregator.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	event := aggregator.Event{Kind: kind}
	for _, f := range c.fleets {
		for _, n := range f.nodes {
			event.Members = append(event.Members, c.member(n.member))
		}
	}
	slices.SortFunc(event.Members, func(a, b aggregator.Member) int { return cmp.Compare(a.Replica, b.Replica) })
	return event
}

// member turns an entry into the module's terms.
func (c *Core) member(m Member) aggregator.Member {
	out := aggregator.Member{Replica: m.ID, Cell: m.Cell, Zone: m.Zone, Size: m.Weight,
		State: []aggregator.State{aggregator.On, aggregator.Draining, aggregator.Gone}[m.State]}
	if !m.Started.IsZero() {
		out.Started = max(c.clock(m.Started), time.Nanosecond)
	}
	return out
}

// node finds a listed data node.
func (c *Core) node(id string) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[id]
}
