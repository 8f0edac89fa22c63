package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"gullfall/aggregator"
)

// Command is one thing that a dispatcher is to do at a data node; one field is set.
type Command struct {
	Call         []*Attempt // send these as one call
	Cancel       *Attempt   // cancel it at the data node, then report it as Cancelled
	RejectQueued bool       // report what is not sent yet as Overloaded
	Probe        bool       // check its health, then call ReportProbe
	CloseIdle    bool       // close idle connections
}

// Dispatcher serves one data node: it takes commands until Pick returns nil.
type Dispatcher func(*Node)

// RegisterDispatcher sets what serves the data nodes of a protocol, in one goroutine for each that is sent something. It is called
// before the first list.
func (c *Coordinator) RegisterDispatcher(proto string, dispatch Dispatcher) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoints.dispatchers[proto] = dispatch
}

// Node is a data node as its dispatcher sees it. Its fields are guarded by Coordinator.mu, but for the atomic ones.
type Node struct {
	id          string
	c           *Coordinator
	member      Member
	dispatch    Dispatcher
	dispatching bool // dispatch runs
	commands    []*Command
	ready       chan struct{} // holds one token while Pick has something to look at
	inFlight    int           // attempts without an end
	retired     bool          // it has left the list; its dispatcher ends once nothing is in flight

	excluded       atomic.Bool
	restartVersion atomic.Uint64 // version of the endpoints that brought its last start, where one was known before
	announced      atomic.Bool   // may go out for maintenance: usable only while this coordinator is present
}

// ID is the data node's name in its list.
func (n *Node) ID() string { return n.id }

// Addr is where the data node listens now.
func (n *Node) Addr() string {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.member.Addr
}

// Excluded reports whether the data node is draining, gone or out for maintenance: nothing more may be written to it, queued calls
// included.
func (n *Node) Excluded() bool { return n.excluded.Load() || n.announced.Load() && n.c.absent() }

// Pick waits for the next command. It returns nil once ctx has ended, or the data node has left the list and nothing there is in
// flight.
func (n *Node) Pick(ctx context.Context) *Command {
	for {
		n.c.mu.Lock()
		if len(n.commands) > 0 {
			command := n.commands[0]
			n.commands = n.commands[1:]
			n.c.mu.Unlock()
			return command
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

// post queues commands for the dispatcher, which is started by the first: a list may name far more data nodes than are ever used. It
// never blocks.
func (n *Node) post(commands ...*Command) {
	n.c.mu.Lock()
	n.commands = append(n.commands, commands...)
	if !n.dispatching {
		n.dispatching = true
		go n.dispatch(n)
	}
	n.c.mu.Unlock()
	n.signal()
}

// addInFlight changes the number of attempts in flight.
func (n *Node) addInFlight(by int) {
	n.c.mu.Lock()
	n.inFlight += by
	if m := n.c.maintenance; m != nil {
		m.addInFlight(n.id, by)
	}
	n.c.mu.Unlock()
	n.signal()
}

// signal lets Pick look again. It never blocks.
func (n *Node) signal() {
	select {
	case n.ready <- struct{}{}:
	default:
	}
}

// exclude lets nothing new begin at the data node; what is queued there is turned back. The caller holds Coordinator.mu.
func (n *Node) exclude() {
	if !n.excluded.Swap(true) && n.dispatching {
		n.rejectQueued()
	}
}

// rejectQueued has the dispatcher turn back what it has not sent yet. The caller holds Coordinator.mu.
func (n *Node) rejectQueued() {
	n.commands = append(n.commands, &Command{RejectQueued: true})
	n.signal()
}

// node finds a listed data node; nil for none.
func (c *Coordinator) node(id string) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endpoints.nodes[id]
}

// commandBatch gathers the commands of one step of the module, so that attempts at one data node share a call.
type commandBatch struct {
	maxCall  int                  // most attempts in a call
	calls    map[*Node]*Command   // the call that takes further attempts
	commands map[*Node][]*Command // in order
}

func newCommandBatch(maxCall int) *commandBatch {
	return &commandBatch{maxCall: max(1, maxCall), calls: map[*Node]*Command{}, commands: map[*Node][]*Command{}}
}

// add appends a command for a data node.
func (b *commandBatch) add(n *Node, command *Command) {
	b.commands[n] = append(b.commands[n], command)
}

// addAttempt puts an attempt into the open call to its data node, or into a new one.
func (b *commandBatch) addAttempt(a *Attempt) {
	call := b.calls[a.node]
	if call == nil || len(call.Call) >= b.maxCall {
		call = &Command{}
		b.calls[a.node] = call
		b.add(a.node, call)
	}
	call.Call = append(call.Call, a)
}

// post hands the commands to the dispatchers.
func (b *commandBatch) post() {
	for n, commands := range b.commands {
		n.post(commands...)
	}
}

// send makes an attempt of a part, as the module decided. At a data node that has left the list since, it ends at once as not
// connected.
func (c *Coordinator) send(now time.Time, action aggregator.Action, batch *commandBatch) {
	p, n := c.loop.queries.parts[action.Part], c.node(action.Replica)
	if p == nil {
		return
	}
	listed := n != nil
	if !listed {
		n = &Node{id: action.Replica, c: c, ready: make(chan struct{}, 1)}
	}
	a := c.newAttempt(now, p, n, action)
	c.loop.queries.add(a)
	c.log.Debug(LogAttemptBegun, "node", n.id, "part", a.ID, "number", a.number, "after", now.Sub(p.query.receivedAt))
	n.addInFlight(1)
	if !listed {
		c.Report(a, Result{Outcome: NotConnected})
		return
	}
	batch.addAttempt(a)
}

// cancel has an attempt cancelled at its data node; its end is reported once the data node has been told.
func (c *Coordinator) cancel(a *Attempt, reason aggregator.Outcome) {
	if a.ended || a.cancelReason != aggregator.Unknown {
		return
	}
	a.cancelReason = reason
	a.node.post(&Command{Cancel: a})
}

// probe has the health of a data node checked; the probe of one that has left the list fails at once.
func (c *Coordinator) probe(id string, batch *commandBatch) {
	n := c.node(id)
	if n == nil {
		c.enqueue(input{event: aggregator.Event{Kind: aggregator.ProbeEnded, Replica: id, Outcome: aggregator.ConnectFailed}})
		return
	}
	c.log.Debug("probe sent", "node", n.id)
	batch.add(n, &Command{Probe: true})
}
