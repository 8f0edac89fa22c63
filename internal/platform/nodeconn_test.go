package platform

import (
	"testing"
	"time"
)

// TestCloseIdleSparesProbes: closing idle connections must not close one with a pending probe, which would then be reported as
// reset. A probe that has timed out does not keep its connection open.
func TestCloseIdleSparesProbes(t *testing.T) {
	for _, done := range []bool{false, true} {
		l := &nodePool{}
		c := &nodeConn{pool: l, wake: make(chan struct{}, 1), probes: []*probe{{done: true}, {done: done}}}
		l.conns = []*nodeConn{c}
		l.closeIdle()
		if closed := c.state == connClosed; closed != done {
			t.Errorf("probe done: %v; connection closed: %v", done, closed)
		}
	}
}

// TestSpareConnections: a second connection to a data node has a short idle timeout, unless the first one is unresponsive. With
// the full timeout, membership changes and cancelled attempts left enough extra connections open to exhaust the descriptors.
func TestSpareConnections(t *testing.T) {
	l := &nodePool{ConnPool: &ConnPool{IdleTimeout: 8 * time.Second}}
	first, second := &nodeConn{pool: l}, &nodeConn{pool: l}
	l.conns = []*nodeConn{first, second}
	for _, silent := range []bool{false, true} {
		first.unresponsive = silent
		want := map[bool]time.Duration{false: 2 * time.Second, true: 7 * time.Second}[silent]
		if got := second.idleDeadline().Sub(second.lastUsed); got != want {
			t.Errorf("first unresponsive: %v; the second is kept for %v", silent, got)
		}
		if got := first.idleDeadline().Sub(first.lastUsed); got != 7*time.Second {
			t.Errorf("the first is kept for %v", got)
		}
	}
}
