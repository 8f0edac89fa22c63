package platform

import (
	"testing"
	"time"
)

// TestCloseIdleSparesProbes: closing idle connections must not cut a probe that is still waited for, which would
// look like a reset; one that has timed out holds nothing.
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

// TestSpareConnections: a second connection to a data node is closed soon after its use, unless the first can't be
// used; with churn and give-ups they took all descriptors.
func TestSpareConnections(t *testing.T) {
	l := &nodePool{ConnPool: &ConnPool{IdleTimeout: 8 * time.Second}}
	first, second := &nodeConn{pool: l}, &nodeConn{pool: l}
	l.conns = []*nodeConn{first, second}
	for _, silent := range []bool{false, true} {
		first.unresponsive = silent
		want := map[bool]time.Duration{false: 2 * time.Second, true: 7 * time.Second}[silent]
		if got := second.idleDeadline().Sub(second.lastUsed); got != want {
			t.Errorf("first silent: %v; the second is kept for %v", silent, got)
		}
		if got := first.idleDeadline().Sub(first.lastUsed); got != 7*time.Second {
			t.Errorf("the first is kept for %v", got)
		}
	}
}
