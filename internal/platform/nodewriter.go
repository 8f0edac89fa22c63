package platform

import (
	"net"
	"time"

	"gullfall/internal/coordinator"
)

// writeFrameTimeout is the most that a frame may take to be written. The time left that a call tells is right as its frame is
// begun, and may be too long by 150 ms at its end.
const writeFrameTimeout = 140 * time.Millisecond

// queuedFrame is a frame that waits to be written; one field is set.
type queuedFrame struct {
	call   []*pendingAttempt
	cancel *pendingAttempt
	probe  *probe
}

// enqueue leaves a frame for the writer. The parts that a connection may carry bound the queue. The caller holds the lock.
func (c *nodeConn) enqueue(f queuedFrame) {
	c.queue = append(c.queue, f)
	c.wakeWriter()
}

// writeFrames serves the queue until the connection ends, which is no error, or a frame can't be written.
func (c *nodeConn) writeFrames(nc net.Conn) error {
	for {
		f, data, open := c.nextFrame()
		if !open {
			return nil
		}
		if data == nil {
			continue
		}
		// An error of the deadline shows in the write: the connection is closed.
		_ = nc.SetWriteDeadline(time.Now().Add(min(c.pool.ConnectTimeout, writeFrameTimeout)))
		_, err := nc.Write(data)
		c.frameWritten(f, err)
		if err != nil {
			return err
		}
	}
}

// nextFrame takes a frame off the queue, or waits where that is empty. There are no data if it waited, or if the frame has
// nothing to say any more. open tells whether the connection goes on.
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
	if !end.After(now) { // attempts are out on it
		end = now.Add(c.pool.IdleTimeout / idleMarginDiv)
	}
	c.pool.mu.Unlock()
	c.wait(end)
	return f, nil, true
}

// wait pauses the writer until it is woken, or until end where idle connections are closed.
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

// frameWritten settles a frame. A call that was not written completely has never run. A cancelled attempt has ended once the
// data node was told, so that no retry of it goes out before.
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

// encode returns the bytes of a frame and marks what it carries as begun. It returns nil for a frame that has nothing to say
// any more. The caller holds the lock.
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
			return nil // it was answered meanwhile
		}
		return cancelFrame(f.cancel.ID)
	}
	return c.encodeCall(f.call)
}

// encodeCall returns the bytes of a call, without the parts that may not be sent any more: these are reported.
func (c *nodeConn) encodeCall(call []*pendingAttempt) []byte {
	now := time.Now()
	frame := beginFrame(letterCall)
	for _, pending := range call {
		timeLeft := pending.Deadline.Sub(now)
		if c.attempts.pending[pending.ID] != pending || timeLeft < time.Millisecond {
			continue // it was cancelled, or is about to be
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
