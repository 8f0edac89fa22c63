package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"gullfall/internal/coordinator"
)

const (
	// lateConnectFactor times the connect timeout is how long a connection may take to come up. What waited for it is
	// turned back after one connect timeout; what comes next can use it.
	lateConnectFactor = 8
	// extraConnIdleTimeout is how long a data node's second connection, and any further, is kept idle.
	extraConnIdleTimeout = 2 * time.Second
	// idleMarginDiv: a connection is closed this part of the peer's idle timeout before the peer would close it.
	idleMarginDiv = 8
	// slotPollDiv and minSlotPoll set how often a connection without a descriptor looks for one.
	slotPollDiv = 32
	minSlotPoll = time.Millisecond
)

// connState is the state of a connection to a data node.
type connState int

const (
	connWaiting    connState = iota // for a descriptor
	connConnecting                  // it comes up
	connLate                        // it still comes up after the connect timeout; nothing waits for it
	connReady                       // it is open
	connClosed                      // it has ended, or is about to be opened anew
)

func (s connState) String() string {
	switch s {
	case connWaiting:
		return "waiting"
	case connConnecting:
		return "connecting"
	case connLate:
		return "late"
	case connReady:
		return "ready"
	case connClosed:
		return "closed"
	}
	return fmt.Sprintf("connState(%d)", int(s))
}

// nodeConn is one connection to a data node. Its goroutine, in run, is the only one that writes to it, and it alone settles
// what is out on it when it ends. The lock of its pool guards its fields.
type nodeConn struct {
	pool       *nodePool
	wake       chan struct{} // tells the writer to look at queue and state
	state      connState
	hasSlot    bool               // it holds a descriptor
	netConn    net.Conn           // the last that was opened; nil before
	cancelDial context.CancelFunc // nil while no attempt to open it runs

	queue    []queuedFrame
	attempts attemptTable
	probes   []*probe // written, in the order of their answers

	wroteFrame   bool      // a frame went out since it was opened last
	inFrame      bool      // a frame has begun to come in
	abandoned    bool      // closed from our side with attempts out: they may have run, and it need not be opened anew for them
	unresponsive bool      // an attempt on it was cancelled, and nothing was received since that was sent
	lastReceived time.Time // when the last frame came
	lastUsed     time.Time // when the last frame came or went
}

func newNodeConn(np *nodePool, now time.Time) *nodeConn {
	return &nodeConn{pool: np, wake: make(chan struct{}, 1), attempts: newAttemptTable(), lastUsed: now}
}

// accepts tells whether the connection can take a call. One stream stays free, since behind the last one frames wait unread,
// cancels included. The caller holds the lock.
func (c *nodeConn) accepts(call []*coordinator.Attempt, now time.Time) bool {
	if c.state == connClosed || c.state == connLate || c.unresponsive || c.inFrame {
		return false
	}
	if len(c.attempts.pending)+len(call) > max(c.pool.Streams-1, len(call)) || c.idleExpired(now) {
		return false
	}
	return !slices.ContainsFunc(call, func(a *coordinator.Attempt) bool { return c.attempts.conflicts(a.ID) })
}

// isIdle tells whether an open or coming connection carries nothing. The caller holds the lock.
func (c *nodeConn) isIdle() bool {
	return c.state != connClosed && len(c.attempts.pending) == 0 && len(c.queue) == 0 && !c.probing()
}

// idleExpired tells whether the peer may be about to close the connection. The caller holds the lock.
func (c *nodeConn) idleExpired(now time.Time) bool {
	return c.pool.IdleTimeout > 0 && len(c.attempts.pending) == 0 && !now.Before(c.idleDeadline())
}

// idleDeadline is when an idle connection is closed: well before the peer does so, and soon where an earlier connection to
// the same data node can be used. The caller holds the lock.
func (c *nodeConn) idleDeadline() time.Time {
	timeout := c.pool.IdleTimeout - c.pool.IdleTimeout/idleMarginDiv
	for _, earlier := range c.pool.conns {
		if earlier == c {
			break
		}
		if earlier.state != connClosed && !earlier.unresponsive {
			timeout = min(timeout, extraConnIdleTimeout)
		}
	}
	return c.lastUsed.Add(timeout)
}

// close ends the connection; its writer settles the rest. The caller holds the lock.
func (c *nodeConn) close() {
	c.state = connClosed
	if c.netConn != nil {
		_ = c.netConn.Close()
	}
	if c.cancelDial != nil {
		c.cancelDial()
	}
	c.wakeWriter()
}

// wakeWriter makes the writer look at queue and state.
func (c *nodeConn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run opens the connection, writes what is queued, and settles what is out at the end. A connection that breaks under
// attempts is opened anew at once: whether that succeeds tells a data node that has died from one that only lost a
// connection, and what was not begun goes out on the new one.
func (c *nodeConn) run() {
	var nc net.Conn
	err := c.acquireSlot()
	if err == nil {
		nc, err = c.dial()
	}
	for err == nil {
		var reader sync.WaitGroup
		reader.Go(func() { c.readFrames(nc) })
		err = c.writeFrames(nc)
		_ = nc.Close()
		reader.Wait()
		if !c.shouldReconnect(err) {
			break
		}
		if nc, err = c.dial(); err == nil {
			c.reconnected()
		}
	}
	c.finish(err)
}

// acquireSlot waits for a descriptor, for as long as a connection may take to come up. It looks for an idle connection to
// close over and over: one that was in use as the wait began may become idle before it ends.
func (c *nodeConn) acquireSlot() error {
	if c.hasSlot {
		return nil
	}
	timeout := time.NewTimer(c.pool.ConnectTimeout)
	defer timeout.Stop()
	poll := time.NewTicker(max(c.pool.ConnectTimeout/slotPollDiv, minSlotPoll))
	defer poll.Stop()
	for {
		c.pool.closeLeastRecentlyUsed()
		select {
		case c.pool.Connections <- struct{}{}:
			c.hasSlot = true
			return nil
		case <-poll.C:
		case <-timeout.C:
			c.pool.Log.Warn("no descriptor left for a connection", "node", c.pool.node.ID())
			return errNoDescriptor
		}
	}
}

// dial opens the connection. A first one that was reset says nothing of the data node yet.
func (c *nodeConn) dial() (net.Conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(lateConnectFactor*c.pool.ConnectTimeout))
	defer cancel()
	c.dialBegins(cancel)
	overdue := time.AfterFunc(c.pool.ConnectTimeout, c.connectOverdue)
	defer overdue.Stop()
	nc, err := c.pool.Dial(ctx, c.pool.node.Addr())
	if errors.Is(err, syscall.ECONNRESET) {
		nc, err = c.pool.Dial(ctx, c.pool.node.Addr())
	}
	conns := c.dialEnds(nc, err)
	c.pool.Log.Debug("connection opened", "node", c.pool.node.ID(), "held", conns, "cause", err)
	return nc, err
}

// dialBegins notes that the connection comes up. One that is opened anew stays closed until that has succeeded.
func (c *nodeConn) dialBegins(cancel context.CancelFunc) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.cancelDial = cancel
	if c.state == connWaiting {
		c.state = connConnecting
	}
}

// dialEnds notes how an attempt to open the connection ended, and returns how many connections its data node has. One that
// was closed meanwhile stays so.
func (c *nodeConn) dialEnds(nc net.Conn, err error) (conns int) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.cancelDial = nil
	if c.state == connLate {
		c.state = connConnecting
	}
	if err == nil {
		c.netConn, c.lastUsed = nc, time.Now()
		if c.state == connConnecting {
			c.state = connReady
		}
	}
	return len(c.pool.conns)
}

// connectOverdue turns back what has waited for the connection for the connect timeout. The connection goes on coming up,
// unless another one of the same data node does so already: dials that take long hold no more than one descriptor each node.
func (c *nodeConn) connectOverdue() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.cancelDial == nil {
		return
	}
	c.failAll(coordinator.ConnectTimeout, coordinator.Reset)
	if slices.ContainsFunc(c.pool.conns, func(o *nodeConn) bool { return o.state == connLate }) {
		c.close()
		return
	}
	if c.state != connClosed {
		c.state = connLate
	}
}

// failAll reports all that waits for the connection or is out on it: what was not begun ends as unsent, what was as begun.
// The caller holds the lock.
func (c *nodeConn) failAll(unsent, begun coordinator.Outcome) {
	for id, pending := range c.attempts.pending {
		delete(c.attempts.pending, id)
		if pending.begun() {
			c.fail(pending, begun)
		} else {
			c.fail(pending, unsent)
		}
	}
	for _, f := range c.queue {
		if f.probe != nil {
			c.endProbe(f.probe, coordinator.Result{Outcome: unsent})
		}
	}
	for _, p := range c.probes {
		c.endProbe(p, coordinator.Result{Outcome: coordinator.Reset})
	}
	c.queue, c.probes = nil, nil
}

// fail reports an attempt that ended with its connection. The caller holds the lock.
func (c *nodeConn) fail(pending *pendingAttempt, outcome coordinator.Outcome) {
	if pending.cancelling {
		outcome = coordinator.Cancelled
	}
	c.pool.Coordinator.Report(pending.Attempt, coordinator.Result{Outcome: outcome})
}

// shouldReconnect tells whether a connection that ended is to be opened anew: it carries attempts, and the data node took
// what was written to it. So each reconnect follows some progress, and a data node that closes at once gets no storm of them.
func (c *nodeConn) shouldReconnect(err error) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	wrote := c.wroteFrame
	c.wroteFrame = false
	for _, pending := range c.attempts.pending {
		lost := pending.cancelling || c.abandoned && pending.begun()
		if !lost {
			return wrote && !errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
	return false
}

// reconnected goes on with a new connection. What was out on the old one is lost: it may have run.
func (c *nodeConn) reconnected() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.Log.Info("connection to data node was lost and reopened", "node", c.pool.node.ID(), "parts", len(c.attempts.pending))
	for id, pending := range c.attempts.pending {
		if pending.begun() {
			delete(c.attempts.pending, id)
			c.fail(pending, coordinator.ConnectionLost)
		}
	}
	for _, p := range c.probes {
		c.enqueue(queuedFrame{probe: p})
	}
	c.probes = nil
	c.attempts.reset()
	c.state, c.inFrame, c.abandoned, c.unresponsive = connReady, false, false, false
	c.lastUsed = time.Now()
}

// finish reports what was out as the connection ended, and gives its descriptor back.
func (c *nodeConn) finish(err error) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.state = connClosed
	c.pool.conns = slices.DeleteFunc(c.pool.conns, func(o *nodeConn) bool { return o == c })
	if len(c.attempts.pending) > 0 {
		c.pool.Log.Info("connection to data node ended", "node", c.pool.node.ID(), "parts", len(c.attempts.pending), "cause", err)
	}
	unsent, begun := coordinator.NotConnected, coordinator.Reset
	switch {
	case errors.Is(err, errNoDescriptor):
		unsent = coordinator.NotSent
	case errors.Is(err, context.DeadlineExceeded):
		unsent = coordinator.ConnectTimeout
	}
	if c.abandoned {
		begun = coordinator.ConnectionLost
	}
	c.failAll(unsent, begun)
	if c.hasSlot {
		<-c.pool.Connections
	}
}
