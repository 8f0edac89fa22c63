package platform

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"gullfall/internal/coordinator"
)

// errNoDescriptor reports a connection for which no descriptor became free in time.
var errNoDescriptor = errors.New("no descriptor available")

// ConnPool owns the connections to all data nodes and the descriptors that they hold. Its exported fields must be set before
// first use.
type ConnPool struct {
	Coordinator    *coordinator.Coordinator
	Log            *slog.Logger
	Dial           func(ctx context.Context, addr string) (net.Conn, error)
	Streams        int           // limit on concurrent parts on one connection
	ConnectTimeout time.Duration // limit for a dial, for writing a frame, and for answering a health check
	IdleTimeout    time.Duration // after which the peer closes an idle connection; 0 if unknown
	Descriptors    chan struct{} // semaphore of descriptors: one element for each connection

	// mu guards pools. It is locked before the mutex of a nodePool.
	mu    sync.Mutex
	pools map[*nodePool]bool
}

// Dispatch executes the commands of the coordinator for one data node, until the data node has left the list.
func (p *ConnPool) Dispatch(n *coordinator.Node) {
	np := &nodePool{ConnPool: p, node: n}
	p.register(np)
	defer p.unregister(np)
	for {
		command := n.NextCommand(context.Background())
		switch {
		case command == nil:
			np.closeIdle()
			return
		case command.Call != nil:
			np.send(command.Call)
		case command.Cancel != nil:
			np.cancel(command.Cancel)
		case command.RejectQueued:
			np.rejectUnsent()
		case command.Probe:
			np.sendProbe()
		case command.CloseIdle:
			np.closeIdle()
		}
	}
}

// register makes the connections to a data node visible to closeLeastRecentlyUsed.
func (p *ConnPool) register(np *nodePool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pools == nil {
		p.pools = map[*nodePool]bool{}
	}
	p.pools[np] = true
}

// unregister undoes register.
func (p *ConnPool) unregister(np *nodePool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pools, np)
}

// closeLeastRecentlyUsed closes the least recently used idle connection to free its descriptor. If there are more data nodes
// than descriptors, the data nodes thus take turns. The caller must not hold the lock of a nodePool.
func (p *ConnPool) closeLeastRecentlyUsed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := p.leastRecentlyUsed()
	if oldest == nil {
		return
	}
	oldest.pool.mu.Lock()
	defer oldest.pool.mu.Unlock()
	if oldest.isIdle() {
		oldest.close()
	}
}

// leastRecentlyUsed returns the least recently used idle connection, nil if none is idle. The caller holds p.mu.
func (p *ConnPool) leastRecentlyUsed() (oldest *nodeConn) {
	var used time.Time
	for np := range p.pools {
		np.mu.Lock()
		for _, c := range np.conns {
			evictable := (c.state == connReady || c.state == connLate) && c.isIdle()
			if evictable && (oldest == nil || c.lastUsed.Before(used)) {
				oldest, used = c, c.lastUsed
			}
		}
		np.mu.Unlock()
	}
	return oldest
}

// nodePool holds the connections to one data node.
type nodePool struct {
	*ConnPool
	node *coordinator.Node

	// mu guards conns and the fields of each connection.
	mu    sync.Mutex
	conns []*nodeConn
}

// acquire returns a connection that can take a call, and starts a new one if there is none. The caller holds np.mu.
func (np *nodePool) acquire(call []*coordinator.Attempt) *nodeConn {
	now := time.Now()
	for _, c := range np.conns {
		if c.accepts(call, now) {
			return c
		}
	}
	c := newNodeConn(np, now)
	select {
	case np.Descriptors <- struct{}{}:
		c.hasDescriptor = true
	default: // run waits for a descriptor instead
	}
	np.conns = append(np.conns, c)
	go c.run()
	return c
}

// send queues a call on a connection that can take it.
func (np *nodePool) send(call []*coordinator.Attempt) {
	np.mu.Lock()
	defer np.mu.Unlock()
	c := np.acquire(call)
	f := queuedFrame{}
	for _, a := range call {
		pending := &pendingAttempt{Attempt: a}
		c.attempts.pending[a.ID] = pending
		f.call = append(f.call, pending)
	}
	c.enqueue(f)
}

// cancel cancels an attempt. If it was not begun, it is only dropped. Otherwise a cancel frame is queued, or the connection is
// closed if all of its streams are in use: the data node would not read the frame.
func (np *nodePool) cancel(a *coordinator.Attempt) {
	np.mu.Lock()
	defer np.mu.Unlock()
	for _, c := range np.conns {
		pending := c.attempts.pending[a.ID]
		if pending == nil || pending.Attempt != a {
			continue
		}
		if !pending.begun() {
			delete(c.attempts.pending, a.ID)
			np.Coordinator.Report(a, coordinator.Result{Outcome: coordinator.Cancelled})
			return
		}
		pending.cancelling = true
		if c.lastReceived.Before(pending.begunAt) {
			c.unresponsive = true
		}
		if len(c.attempts.pending) >= np.Streams {
			c.abandoned = true
			c.close()
			return
		}
		c.enqueue(queuedFrame{cancel: pending})
		return
	}
}

// rejectUnsent reports all queued attempts as overloaded, so that they are sent to another data node.
func (np *nodePool) rejectUnsent() {
	np.mu.Lock()
	defer np.mu.Unlock()
	for _, c := range np.conns {
		for id, pending := range c.attempts.pending {
			if !pending.begun() {
				delete(c.attempts.pending, id)
				np.Coordinator.Report(pending.Attempt, coordinator.Result{Outcome: coordinator.Overloaded})
			}
		}
	}
}

// closeIdle closes all idle connections.
func (np *nodePool) closeIdle() {
	np.mu.Lock()
	defer np.mu.Unlock()
	for _, c := range np.conns {
		if c.isIdle() {
			c.close()
		}
	}
}
