package platform

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"gullfall/internal/coordinator"
)

// errUnsolicited reports data that arrived while no answer was expected.
var errUnsolicited = errors.New("unsolicited data")

// readFrames reads and handles frames until the connection ends.
func (c *nodeConn) readFrames(nc net.Conn) {
	in := newFrameReader(nc, c.expects)
	var err error
	for err == nil {
		err = c.readFrame(nc, in)
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	// A frame that stays incomplete while the connection is open has a wrong length.
	truncatedFrame := c.inFrame && errors.Is(err, os.ErrDeadlineExceeded)
	c.abandoned = c.abandoned || errors.Is(err, errCorrupt) || truncatedFrame
	if c.abandoned && c.state != connClosed {
		c.pool.Log.Info("invalid frame from data node", "node", c.pool.node.ID(), "cause", err)
	}
	c.close()
}

// readFrame waits for a frame, reads it and handles it.
func (c *nodeConn) readFrame(nc net.Conn, in *frameReader) error {
	// If setting a deadline fails, the connection is closed and the next read fails too.
	_ = nc.SetReadDeadline(time.Time{})
	if err := in.awaitFrame(); err != nil {
		return err
	}
	if err := c.frameStarted(); err != nil {
		return err
	}
	_ = nc.SetReadDeadline(time.Now().Add(readFrameTimeout))
	f, err := in.next()
	if err != nil {
		return err
	}
	c.frameReceived()
	if err := in.checkEnd(); err != nil {
		return err
	}
	if f.id == "" {
		return c.handleProbeAnswer(f)
	}
	c.handleAnswer(f)
	return nil
}

// frameStarted records that data is arriving. If no answer is expected, it closes the connection before the next attempt is
// sent on it, since the data could be mistaken for the answer to that attempt.
func (c *nodeConn) frameStarted() error {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.inFrame = true
	if len(c.probes)+len(c.attempts.cancelled) > 0 || c.attempts.anyBegun() {
		return nil
	}
	c.close()
	return errUnsolicited
}

// expects reports whether the answer to a part may arrive on this connection.
func (c *nodeConn) expects(id string) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.attempts.expects(id)
}

// frameReceived records that a frame was read completely.
func (c *nodeConn) frameReceived() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.lastReceived = time.Now()
	c.lastUsed, c.unresponsive, c.inFrame = c.lastReceived, false, false
}

// handleAnswer reports the answer to a part. It ignores answers to cancelled attempts, and duplicates.
func (c *nodeConn) handleAnswer(f receivedFrame) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if pending := c.attempts.answered(f.id); pending != nil {
		c.pool.Coordinator.Report(pending.Attempt, coordinator.Result{Outcome: f.outcome, Docs: [][]byte{f.value}, LoadReport: f.loadReport})
	}
}

// handleProbeAnswer reports the answer to the oldest health check.
func (c *nodeConn) handleProbeAnswer(f receivedFrame) error {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if len(c.probes) == 0 {
		return fmt.Errorf("%w: unsolicited answer to a health check", errCorrupt)
	}
	c.probeAnswered(coordinator.Result{Outcome: f.outcome, LoadReport: f.loadReport})
	return nil
}
