package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"gullfall/aggregator"
)

// Command is an instruction to a dispatcher for one data node. Exactly one field is set.
type Command struct {
	Call         []*Attempt // send these attempts as one call
	Cancel       *Attempt   // cancel this attempt at the data node, then report it as Cancelled
	RejectQueued bool       // report all attempts that are not sent yet as Overloaded
	Probe        bool       // check the data node's health, then call ReportProbe
	CloseIdle    bool       // close idle connections
}

// Dispatcher executes the commands for one data node until NextCommand returns nil.
type Dispatcher func(*Node)

// RegisterDispatcher sets the dispatcher for the data nodes of a protocol. It runs in one goroutine for each data node that receives
// commands. Data nodes of the protocol that are listed already are used from now on.
func (c *Coordinator) RegisterDispatcher(proto string, dispatch Dispatcher) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoints.dispatchers[proto] = dispatch
	event := aggregator.Event{Kind: aggregator.ListChanged}
	for _, m := range c.endpoints.table.List() {
		if m.Proto == proto && c.endpoints.nodes[m.ID] == nil {
			c.applyRecord(m)
			event.Members = append(event.Members, c.moduleMember(m))
		}
	}
	if len(event.Members) > 0 {
		c.inbox = append(c.inbox, input{event: event})
		c.wakeUp()
	}
}

// Node is a data node, as passed to its dispatcher. Coordinator.mu guards its non-atomic fields. newNode creates it.
type Node struct {
	id          string
	c           *Coordinator
	member      Member
	dispatch    Dispatcher
	dispatching bool // the dispatcher has been started
	commands    []*Command
	ready       chan struct{} // capacity 1: holds a token while NextCommand must check again
	inFlight    int           // attempts that have not ended
	retired     bool          // it has left the list; its dispatcher ends when no attempt is in flight

	excluded       atomic.Bool
	restartVersion atomic.Uint64 // version of the endpoint list with which its latest restart became known; 0 for none
	announced      atomic.Bool   // announced for maintenance: only usable while this coordinator is present
}

// newNode returns a data node. Each one has a dispatcher, so that commands can be posted to it at any time.
func newNode(c *Coordinator, id string, dispatch Dispatcher) *Node {
	return &Node{id: id, c: c, dispatch: dispatch, ready: make(chan struct{}, 1)}
}

// ID returns the data node's ID in the list.
func (n *Node) ID() string { return n.id }

// Addr returns the address at which the data node currently listens.
func (n *Node) Addr() string {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.member.Addr
}

// Excluded reports whether the data node is draining, gone or in maintenance, so that nothing more may be written to it, including
// queued calls.
func (n *Node) Excluded() bool { return n.excluded.Load() || n.announced.Load() && n.c.absent() }

// NextCommand waits for the next command and returns it. It returns nil when ctx is done, or when the data node has left the list and no
// attempt is in flight there.
func (n *Node) NextCommand(ctx context.Context) *Command {
	for {
		n.c.mu.Lock()
		if len(n.commands) > 0 {
			command := n.commands[0]
			n.commands = n.commands[1:]
			n.c.mu.Unlock()
			return command
		}
		if n.retired && n.inFlight == 0 {
			n.dispatching = false // a command that is posted later starts the dispatcher again
			n.c.mu.Unlock()
			return nil
		}
		n.c.mu.Unlock()
		select {
		case <-n.ready:
		case <-ctx.Done():
			return nil
		}
	}
}

// post queues commands for the dispatcher. The first command starts the dispatcher, since a list may contain far more data nodes than
// are ever used. It never blocks.
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

// addInFlight adds to the number of attempts in flight. The caller holds Coordinator.mu.
func (n *Node) addInFlight(delta int) {
	n.inFlight += delta
	if m := n.c.maintenance; m != nil {
		m.addInFlight(n.id, delta)
	}
	n.signal()
}

// signal makes NextCommand check for commands again. It never blocks.
func (n *Node) signal() {
	select {
	case n.ready <- struct{}{}:
	default:
	}
}

// exclude prevents new attempts at the data node and rejects those that are queued. The caller holds Coordinator.mu.
func (n *Node) exclude() {
	if !n.excluded.Swap(true) && n.dispatching {
		n.rejectQueued()
	}
}

// rejectQueued makes the dispatcher reject all attempts that it has not sent yet. The caller holds Coordinator.mu.
func (n *Node) rejectQueued() {
	n.commands = append(n.commands, &Command{RejectQueued: true})
	n.signal()
}

// node returns the listed data node with an ID, or nil.
func (c *Coordinator) node(id string) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endpoints.nodes[id]
}

// acquire returns the data node with an ID, with one more attempt in flight, so that its dispatcher stays until the attempt has ended. If the
// data node is not listed, or has left the list since the module's decision, the attempt will end with NotConnected.
func (c *Coordinator) acquire(id string) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.endpoints.nodes[id]
	if n == nil {
		n = newNode(c, id, c.dispatchUnlisted)
		n.retired = true
	}
	n.addInFlight(1)
	return n
}

// dispatchUnlisted is the dispatcher of a data node that is not listed: it reports each attempt as NotConnected.
func (c *Coordinator) dispatchUnlisted(n *Node) {
	for command := n.NextCommand(context.Background()); command != nil; command = n.NextCommand(context.Background()) {
		for _, a := range command.Call {
			c.Report(a, Result{Outcome: NotConnected})
		}
	}
}

// commandBatch collects the commands of one step of the decision module, so that attempts at the same data node share a call.
type commandBatch struct {
	maxCall  int                  // maximum number of attempts in a call
	calls    map[*Node]*Command   // the latest call of each data node, to which attempts are added
	commands map[*Node][]*Command // in the order of execution
}

func newCommandBatch(maxCall int) *commandBatch {
	return &commandBatch{maxCall: max(1, maxCall), calls: map[*Node]*Command{}, commands: map[*Node][]*Command{}}
}

// add adds a command for a data node.
func (b *commandBatch) add(n *Node, command *Command) {
	b.commands[n] = append(b.commands[n], command)
}

// addAttempt adds an attempt to the latest call to its data node, or to a new call if there is none or it is full.
func (b *commandBatch) addAttempt(a *Attempt) {
	call := b.calls[a.node]
	if call == nil || len(call.Call) >= b.maxCall {
		call = &Command{}
		b.calls[a.node] = call
		b.add(a.node, call)
	}
	call.Call = append(call.Call, a)
}

// cancel adds the cancellation of an attempt behind the commands for its data node, among which may be the call with the attempt. If there
// are none, it is queued at once.
func (b *commandBatch) cancel(a *Attempt) {
	command := &Command{Cancel: a}
	if len(b.commands[a.node]) > 0 {
		b.add(a.node, command)
		return
	}
	a.node.post(command)
}

// post queues the commands for their dispatchers.
func (b *commandBatch) post() {
	for n, commands := range b.commands {
		n.post(commands...)
	}
}

// send starts an attempt of a part, as the module decided.
func (c *Coordinator) send(now time.Time, action aggregator.Action, batch *commandBatch) {
	p := c.loop.queries.parts[action.Part]
	if p == nil {
		return
	}
	n := c.acquire(action.Replica)
	a := c.newAttempt(now, p, n, action)
	c.loop.queries.add(a)
	c.log.Debug(LogAttemptBegun, "node", n.id, "part", a.ID, "number", a.number, "after", now.Sub(p.query.receivedAt))
	batch.addAttempt(a)
}

// cancel requests the cancellation of an attempt that an earlier step has sent. Its dispatcher reports its end after it has notified the
// data node.
func (c *Coordinator) cancel(a *Attempt, reason aggregator.Outcome) {
	if a.beginCancel(reason) {
		a.node.post(&Command{Cancel: a})
	}
}

// beginCancel records why an attempt is cancelled. It returns false if the attempt has ended or is being cancelled already.
func (a *Attempt) beginCancel(reason aggregator.Outcome) bool {
	if a.ended || a.cancelReason != aggregator.Unknown {
		return false
	}
	a.cancelReason = reason
	return true
}

// probe requests a health check of a data node. If the data node has left the list, the probe fails immediately.
func (c *Coordinator) probe(id string, batch *commandBatch) {
	n := c.node(id)
	if n == nil {
		c.enqueue(input{event: aggregator.Event{Kind: aggregator.ProbeEnded, Replica: id, Outcome: aggregator.ConnectFailed}})
		return
	}
	c.log.Debug("probe sent", "node", n.id)
	batch.add(n, &Command{Probe: true})
}
