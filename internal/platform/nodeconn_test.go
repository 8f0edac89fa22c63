package platform

import (
	"testing"
	"time"
)

// TestCloseIdleKeepsPendingProbes: closing idle connections must not close one with a pending probe, which would then be reported as
// reset. A probe that has timed out does not keep its connection open.
func TestCloseIdleKeepsPendingProbes(t *testing.T) {
	for _, done := range []bool{false, true} {
		pool := &nodePool{}
		c := &nodeConn{pool: pool, wake: make(chan struct{}, 1), probes: []*probe{{done: true}, {done: done}}}
		pool.conns = []*nodeConn{c}
		pool.closeIdle()
		if closed := c.state == connClosed; closed != done {
			t.Errorf("probe done: %v; connection closed: %v", done, closed)
		}
	}
}

// TestExtraConnectionIdleTimeout: a second connection to a data node has a short idle timeout, unless the first one is unresponsive. With
// the full timeout, membership changes and cancelled attempts left enough extra connections open to exhaust the descriptors.
func TestExtraConnectionIdleTimeout(t *testing.T) {
	pool := &nodePool{ConnPool: &ConnPool{IdleTimeout: 8 * time.Second}}
	first, second := &nodeConn{pool: pool}, &nodeConn{pool: pool}
	pool.conns = []*nodeConn{first, second}
	for _, unresponsive := range []bool{false, true} {
		first.unresponsive = unresponsive
		want := map[bool]time.Duration{false: 2 * time.Second, true: 7 * time.Second}[unresponsive]
		if got := second.idleDeadline().Sub(second.lastUsed); got != want {
			t.Errorf("first unresponsive: %v; the second is kept for %v", unresponsive, got)
		}
		if got := first.idleDeadline().Sub(first.lastUsed); got != 7*time.Second {
			t.Errorf("the first is kept for %v", got)
		}
	}
}
