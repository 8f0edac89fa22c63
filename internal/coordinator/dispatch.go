package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"gullfall/aggregator"
)

// Command is one thing that a carrier is to do at a data node; one field is set.
type Command struct {
	Call         []*Attempt // to be sent as one call
	Cancel       *Attempt   // to be given up at the data node, then reported as Dropped
	RejectQueued bool       // what is not begun is to be turned back, as Busy
	Probe        bool       // to be answered by Probed
	CloseIdle    bool       // idle connections are to be closed
}

// send books an attempt into the call that this round makes to its replica, or into a new one.
func (c *Coordinator) send(now time.Time, act aggregator.Action, round map[*Node]*Command, orders map[*Node][]*Command) {
	p, n := c.loop.queries.parts[act.Part], c.node(act.Replica)
	if p == nil {
		return
	}
	a := &Attempt{ID: p.id, Shard: p.shard, Text: p.query.Text, IdempotencyKey: p.query.IdempotencyKey, Deadline: now.Add(act.After), number: len(p.attempts),
		part: p, node: n, listVersion: c.loop.listVersion, sentAt: now}
	if act.After <= 0 || a.Deadline.After(p.query.Deadline) {
		a.Deadline = p.query.Deadline
	}
	if act.BeginWithin < time.Until(p.query.Deadline) {
		a.sendBefore = now.Add(act.BeginWithin)
	}
	p.attempts = append(p.attempts, a)
	c.loop.queries.attempts[a] = true
	c.log.Debug("attempt begun", "node", act.Replica, "part", a.ID, "number", a.number, "after", now.Sub(p.query.receivedAt))
	if n != nil {
		n.addInFlight(1)
	} else {
		a.node = &Node{id: act.Replica, c: c, ready: make(chan struct{}, 1)}
		a.node.addInFlight(1)
		c.Report(a, Result{Outcome: NotConnected})
		return
	}
	o := round[n]
	if o == nil || len(o.Call) >= max(1, c.settings.Limits.MaxBatch) {
		o = &Command{}
		round[n] = o
		orders[n] = append(orders[n], o)
	}
	o.Call = append(o.Call, a)
}

// drop orders that an attempt be given up; its end is reported once the data node was told.
func (c *Coordinator) cancel(a *Attempt, why aggregator.Outcome) {
	if a.ended || a.cancelReason != aggregator.Unknown {
		return
	}
	a.cancelReason = why
	a.node.post(&Command{Cancel: a})
}

// Dispatcher serves one data node: it picks up orders until Pick says that there will be none.
type Dispatcher func(*Node)

// Node is a data node as its carrier sees it.
type Node struct {
	id          string
	c           *Coordinator
	member      Member
	dispatch    Dispatcher
	dispatching bool // carry runs
	excluded    atomic.Bool
	commands    []*Command
	ready       chan struct{}
	inFlight    int  // attempts without an end
	retired     bool // it has left the list; its carrier ends once nothing is out

	restartVersion atomic.Uint64 // the version of the list that told of its last start, where one was known before
	announced      atomic.Bool   // may go out for work: to be sent to only while this coordinator is present
}

// ID is the data node's name in its list.
func (n *Node) ID() string { return n.id }

// Addr is where the data node listens now.
func (n *Node) Addr() string {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.member.Addr
}

// Excluded tells that the list says draining or gone: nothing more may be written to it, queued calls included.
func (n *Node) Excluded() bool { return n.excluded.Load() || n.announced.Load() && n.c.absent() }

// Pick waits for the next order. It returns nil once the data node has left the list
// and nothing of it is out.
func (n *Node) Pick(ctx context.Context) *Command {
	for {
		n.c.mu.Lock()
		if len(n.commands) > 0 {
			o := n.commands[0]
			n.commands = n.commands[1:]
			n.c.mu.Unlock()
			return o
		}
		retired := n.retired && n.inFlight == 0
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

// post leaves orders for the carrier, which begins with the first: a list may name far more data nodes than are ever sent to. It never
// blocks.
func (n *Node) post(list ...*Command) {
	n.c.mu.Lock()
	n.commands = append(n.commands, list...)
	if !n.dispatching {
		n.dispatching = true
		go n.dispatch(n)
	}
	n.c.mu.Unlock()
	n.signal()
}

// hold counts the attempts that are out.
func (n *Node) addInFlight(by int) {
	n.c.mu.Lock()
	n.inFlight += by
	if w := n.c.maintenance; w != nil {
		if w.inFlight[n.id] += by; w.inFlight[n.id] == 0 {
			delete(w.inFlight, n.id)
		}
	}
	n.c.mu.Unlock()
	n.signal()
}

func (n *Node) signal() {
	select {
	case n.ready <- struct{}{}:
	default:
	}
}

// RegisterDispatcher names what serves the data nodes of a protocol, one goroutine for each that has been sent to. It comes before the first list.
func (c *Coordinator) RegisterDispatcher(proto string, carry Dispatcher) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoints.dispatchers[proto] = carry
}

// bar sets whether anything new may be begun at the data node; what waits for it there is to be turned back. The
// caller holds the lock.
func (n *Node) setExcluded(bar bool) {
	if n.excluded.Swap(bar) != bar && bar && n.dispatching {
		n.commands = append(n.commands, &Command{RejectQueued: true})
		n.signal()
	}
}

// node finds a listed data node.
func (c *Coordinator) node(id string) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endpoints.nodes[id]
}
