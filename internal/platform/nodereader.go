package platform

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"gullfall/internal/coordinator"
)

// readFrameTimeout is how long a frame may take from its first byte to its last. Data nodes write frames at a stroke.
const readFrameTimeout = 100 * time.Millisecond

// errUnrequested reports bytes that came while no answer was due.
var errUnrequested = errors.New("data without a request")

// readFrames takes in frames until the connection ends.
func (c *nodeConn) readFrames(nc net.Conn) {
	in := newFrameReader(nc, c.expects)
	var err error
	for err == nil {
		err = c.readFrame(nc, in)
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	// A frame that does not come completely although the connection holds has a wrong length.
	cutFrame := c.inFrame && errors.Is(err, os.ErrDeadlineExceeded)
	c.abandoned = c.abandoned || errors.Is(err, errCorrupt) || cutFrame
	if c.abandoned && c.state != connClosed {
		c.pool.Log.Info("invalid frame from data node", "node", c.pool.node.ID(), "cause", err)
	}
	c.close()
}

// readFrame waits for a frame and takes it in.
func (c *nodeConn) readFrame(nc net.Conn, in *frameReader) error {
	// An error of a deadline shows in the next read: the connection is closed.
	_ = nc.SetReadDeadline(time.Time{})
	if err := in.awaitFrame(); err != nil {
		return err
	}
	if err := c.frameBegins(); err != nil {
		return err
	}
	_ = nc.SetReadDeadline(time.Now().Add(readFrameTimeout))
	f, err := in.next()
	if err != nil {
		return err
	}
	if f.id == "" {
		return c.handleProbeAnswer(f)
	}
	c.handleAnswer(f)
	return nil
}

// frameBegins notes that something comes in. Where no answer is due, the connection is closed before it may carry the next
// attempt, whose answer the bytes could be taken for.
func (c *nodeConn) frameBegins() error {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.inFrame = true
	if len(c.probes)+len(c.attempts.cancelled) > 0 || c.attempts.anyBegun() {
		return nil
	}
	c.close()
	return errUnrequested
}

// expects tells whether the answer to a part may come on this connection.
func (c *nodeConn) expects(id string) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.attempts.expects(id)
}

// frameReceived notes that a frame was read completely. The caller holds the lock.
func (c *nodeConn) frameReceived() {
	c.lastReceived = time.Now()
	c.lastUsed, c.unresponsive, c.inFrame = c.lastReceived, false, false
}

// handleAnswer reports the answer to a part. One to a cancelled attempt, or a second one, is skipped.
func (c *nodeConn) handleAnswer(f receivedFrame) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.frameReceived()
	if pending := c.attempts.answered(f.id); pending != nil {
		c.pool.Coordinator.Report(pending.Attempt, coordinator.Result{Outcome: f.outcome, Docs: [][]byte{f.value}, LoadReport: f.loadReport})
	}
}

// handleProbeAnswer reports the answer to the oldest health check.
func (c *nodeConn) handleProbeAnswer(f receivedFrame) error {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if len(c.probes) == 0 {
		return fmt.Errorf("%w: answer to no health check", errCorrupt)
	}
	c.frameReceived()
	c.probeAnswered(coordinator.Result{Outcome: f.outcome, LoadReport: f.loadReport})
	return nil
}
