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
	// lateConnectFactor is the time limit for establishing a connection, in connect timeouts. What waits for the connection
	// fails after one connect timeout; later calls can still use it.
	lateConnectFactor = 8
	// extraConnIdleTimeout is the idle timeout of any connection to a data node beyond the first.
	extraConnIdleTimeout = 2 * time.Second
	// idleMarginDiv sets the safety margin before the peer's idle timeout, as a fraction 1/idleMarginDiv of it.
	idleMarginDiv = 8
	// descriptorPollDiv and minDescriptorPoll set the polling interval of a connection that waits for a descriptor: the connect
	// timeout divided by descriptorPollDiv, but at least minDescriptorPoll.
	descriptorPollDiv = 32
	minDescriptorPoll = time.Millisecond
)

// connState is the state of a connection to a data node.
type connState int

const (
	connWaiting    connState = iota // waiting for a descriptor
	connConnecting                  // being established
	connLate                        // still being established after the connect timeout; nothing waits for it
	connReady                       // open
	connClosed                      // ended, or about to be reopened
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

// nodeConn is one connection to a data node. Its goroutine, in run, is the only one that writes to it, and the only one that
// reports the attempts in flight on it when it ends. The lock of its pool guards its fields.
type nodeConn struct {
	pool          *nodePool
	wake          chan struct{} // signals the writer to check queue and state
	state         connState
	hasDescriptor bool               // it holds a descriptor
	netConn       net.Conn           // most recently opened connection; nil before the first
	cancelDial    context.CancelFunc // nil while no dial is in progress

	queue    []queuedFrame
	attempts attemptTable
	probes   []*probe // written, in the order in which answers are expected

	wroteFrame   bool      // a frame was written since the last dial
	inFrame      bool      // a frame is partly received
	abandoned    bool      // closed by us with attempts in flight, which may have run; not reopened for them
	unresponsive bool      // an attempt was cancelled, and nothing has been received since it was sent
	lastReceived time.Time // when the last frame was received
	lastUsed     time.Time // when the last frame was received or written
}

func newNodeConn(np *nodePool, now time.Time) *nodeConn {
	return &nodeConn{pool: np, wake: make(chan struct{}, 1), attempts: newAttemptTable(), lastUsed: now}
}

// accepts reports whether the connection can take a call. One stream stays free, because a data node with all streams of a
// connection in use reads no further frames from it, not even cancels. The caller holds the lock.
func (c *nodeConn) accepts(call []*coordinator.Attempt, now time.Time) bool {
	if c.state == connClosed || c.state == connLate || c.unresponsive || c.inFrame {
		return false
	}
	if len(c.attempts.pending)+len(call) > max(c.pool.Streams-1, len(call)) || c.idleExpired(now) {
		return false
	}
	return !slices.ContainsFunc(call, func(a *coordinator.Attempt) bool { return c.attempts.conflicts(a.ID) })
}

// isIdle reports whether a connection that is open or being established carries nothing. The caller holds the lock.
func (c *nodeConn) isIdle() bool {
	return c.state != connClosed && len(c.attempts.pending) == 0 && len(c.queue) == 0 && !c.probing()
}

// idleExpired reports whether the peer may be about to close the connection for being idle. The caller holds the lock.
func (c *nodeConn) idleExpired(now time.Time) bool {
	return c.pool.IdleTimeout > 0 && len(c.attempts.pending) == 0 && !now.Before(c.idleDeadline())
}

// idleDeadline returns when an idle connection is to be closed: well before the peer closes it, and within
// extraConnIdleTimeout if an earlier connection to the same data node is usable. The caller holds the lock.
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

// close closes the connection; run then reports what was in flight. The caller holds the lock.
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

// wakeWriter makes the writer check queue and state.
func (c *nodeConn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run opens the connection, writes queued frames, and at the end reports the attempts and health checks in flight. A connection
// that breaks while it carries attempts is reopened at once: success distinguishes a data node that only lost a connection from
// one that has died, and the attempts not yet begun are sent on the new connection.
func (c *nodeConn) run() {
	var nc net.Conn
	err := c.acquireDescriptor()
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

// acquireDescriptor waits for a descriptor, at most for the connect timeout. It polls for an idle connection to close, because one
// that was in use when the wait began may become idle before it ends.
func (c *nodeConn) acquireDescriptor() error {
	if c.hasDescriptor {
		return nil
	}
	timeout := time.NewTimer(c.pool.ConnectTimeout)
	defer timeout.Stop()
	poll := time.NewTicker(max(c.pool.ConnectTimeout/descriptorPollDiv, minDescriptorPoll))
	defer poll.Stop()
	for {
		c.pool.closeLeastRecentlyUsed()
		select {
		case c.pool.Connections <- struct{}{}:
			c.hasDescriptor = true
			return nil
		case <-poll.C:
		case <-timeout.C:
			c.pool.Log.Warn("no descriptor left for a connection", "node", c.pool.node.ID())
			return errNoDescriptor
		}
	}
}

// dial opens the connection. It retries once after a reset, which alone does not show that the data node is down.
func (c *nodeConn) dial() (net.Conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(lateConnectFactor*c.pool.ConnectTimeout))
	defer cancel()
	c.dialStarted(cancel)
	overdue := time.AfterFunc(c.pool.ConnectTimeout, c.connectOverdue)
	defer overdue.Stop()
	nc, err := c.pool.Dial(ctx, c.pool.node.Addr())
	if errors.Is(err, syscall.ECONNRESET) {
		nc, err = c.pool.Dial(ctx, c.pool.node.Addr())
	}
	conns := c.dialEnded(nc, err)
	c.pool.Log.Debug("connection opened", "node", c.pool.node.ID(), "held", conns, "cause", err)
	return nc, err
}

// dialStarted records that a dial is in progress. A connection that is reopened stays in connClosed until the dial has succeeded.
func (c *nodeConn) dialStarted(cancel context.CancelFunc) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.cancelDial = cancel
	if c.state == connWaiting {
		c.state = connConnecting
	}
}

// dialEnded records the result of a dial, and returns the number of connections to the data node. A connection that was closed
// meanwhile stays closed.
func (c *nodeConn) dialEnded(nc net.Conn, err error) (conns int) {
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

// connectOverdue fails the attempts and health checks that have waited for the connection for the whole connect timeout. The dial
// continues, unless another late dial to the same data node is already in progress: slow dials hold at most one descriptor for
// each data node.
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

// failAll reports every attempt and health check that waits for the connection or is in flight on it: those not begun with
// outcome unsent, begun attempts with outcome begun. The caller holds the lock.
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

// fail reports an attempt that ended with its connection; a cancelled one counts as cancelled. The caller holds the lock.
func (c *nodeConn) fail(pending *pendingAttempt, outcome coordinator.Outcome) {
	if pending.cancelling {
		outcome = coordinator.Cancelled
	}
	c.pool.Coordinator.Report(pending.Attempt, coordinator.Result{Outcome: outcome})
}

// shouldReconnect reports whether a connection that ended must be reopened: it carries attempts, and the data node accepted
// what was written to it. Since each reconnect requires progress, a data node that closes at once causes no reconnect storm.
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

// reconnected switches to a new connection. Attempts in flight on the old one are reported as lost, since they may have run.
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

// finish reports what was in flight when the connection ended, and releases the descriptor.
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
	if c.hasDescriptor {
		<-c.pool.Connections
	}
}
