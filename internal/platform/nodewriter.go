package platform

import (
	"net"
	"time"

	"gullfall/internal/coordinator"
)

// writeFrameTimeout limits how long writing a frame may take. The time left in a call is computed when its frame is encoded,
// and may exceed the true value by at most 150 ms once the frame is written.
const writeFrameTimeout = 140 * time.Millisecond

// queuedFrame is a frame waiting to be written. Exactly one field is set.
type queuedFrame struct {
	call   []*pendingAttempt
	cancel *pendingAttempt
	probe  *probe
}

// enqueue queues a frame for the writer. The limit on parts per connection bounds the queue. The caller holds the lock.
func (c *nodeConn) enqueue(f queuedFrame) {
	c.queue = append(c.queue, f)
	c.wakeWriter()
}

// writeFrames writes queued frames until the connection is closed, when it returns nil, or a write fails.
func (c *nodeConn) writeFrames(nc net.Conn) error {
	for {
		f, data, open := c.nextFrame()
		if !open {
			return nil
		}
		if data == nil {
			continue
		}
		// If setting the deadline fails, the connection is closed and the write fails too.
		_ = nc.SetWriteDeadline(time.Now().Add(min(c.pool.ConnectTimeout, writeFrameTimeout)))
		_, err := nc.Write(data)
		c.frameWritten(f, err)
		if err != nil {
			return err
		}
	}
}

// nextFrame removes a frame from the queue, or waits if the queue is empty. data is nil if it waited or if the frame has become
// obsolete. open reports whether the connection remains open.
func (c *nodeConn) nextFrame() (f queuedFrame, data []byte, open bool) {
	c.pool.mu.Lock()
	if c.state == connClosed {
		c.pool.mu.Unlock()
		return f, nil, false
	}
	if len(c.queue) > 0 {
		f = c.queue[0]
		c.queue = c.queue[1:]
		data = c.encode(f)
		c.pool.mu.Unlock()
		return f, data, true
	}
	now := time.Now()
	if c.idleExpired(now) {
		c.state = connClosed
		c.pool.mu.Unlock()
		return f, nil, false
	}
	end := c.idleDeadline()
	if !end.After(now) { // attempts are in flight
		end = now.Add(c.pool.IdleTimeout / idleMarginDiv)
	}
	c.pool.mu.Unlock()
	c.wait(end)
	return f, nil, true
}

// wait blocks the writer until it is woken or, if an idle timeout is set, until end.
func (c *nodeConn) wait(end time.Time) {
	if c.pool.IdleTimeout <= 0 {
		<-c.wake
		return
	}
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-c.wake:
	case <-timer.C:
	}
}

// frameWritten records the result of writing a frame. A call that was not written completely has not run and is queued again.
// A cancelled attempt is reported only once its cancel frame is written, so that no retry is sent earlier.
func (c *nodeConn) frameWritten(f queuedFrame, err error) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.lastUsed = time.Now()
	if err != nil {
		for _, pending := range f.call {
			pending.begunAt = time.Time{}
		}
		c.queue = append([]queuedFrame{f}, c.queue...)
		return
	}
	c.wroteFrame = true
	if f.cancel != nil && c.attempts.pending[f.cancel.ID] == f.cancel {
		c.attempts.cancel(f.cancel)
		c.pool.Coordinator.Report(f.cancel.Attempt, coordinator.Result{Outcome: coordinator.Cancelled})
	}
}

// encode returns the wire form of a frame and marks its attempts as begun. It returns nil for a frame that has become
// obsolete. The caller holds the lock.
func (c *nodeConn) encode(f queuedFrame) []byte {
	switch {
	case f.probe != nil:
		if f.probe.done {
			return nil
		}
		c.probes = append(c.probes, f.probe)
		return loadCheckFrame()
	case f.cancel != nil:
		if c.attempts.pending[f.cancel.ID] != f.cancel {
			return nil // it has been answered meanwhile
		}
		return cancelFrame(f.cancel.ID)
	}
	return c.encodeCall(f.call)
}

// encodeCall returns the wire form of a call. It leaves out and reports parts that must no longer be sent.
func (c *nodeConn) encodeCall(call []*pendingAttempt) []byte {
	now := time.Now()
	frame := beginFrame(frameTypeCall)
	for _, pending := range call {
		timeLeft := pending.Deadline.Sub(now)
		if c.attempts.pending[pending.ID] != pending || timeLeft < time.Millisecond {
			continue // it has been cancelled, or its deadline is less than 1 ms away
		}
		if outcome, ok := pending.Sendable(now); !ok {
			delete(c.attempts.pending, pending.ID)
			c.pool.Coordinator.Report(pending.Attempt, coordinator.Result{Outcome: outcome})
			continue
		}
		pending.begunAt = now
		frame = appendPart(frame, pending.Attempt, timeLeft)
	}
	if isEmpty(frame) {
		return nil
	}
	return finishFrame(frame)
}
