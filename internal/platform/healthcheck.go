package platform

import (
	"slices"
	"time"

	"gullfall/internal/coordinator"
)

// probe is a health check on demand. It ends exactly once: by its answer, its timeout or the loss of its connection.
type probe struct{ done bool }

// sendProbe queues a health check, which times out after the connect timeout.
func (np *nodePool) sendProbe() {
	np.mu.Lock()
	defer np.mu.Unlock()
	c := np.acquire(nil)
	p := &probe{}
	c.enqueue(queuedFrame{probe: p})
	time.AfterFunc(np.ConnectTimeout, func() { c.probeTimedOut(p) })
}

// probeTimedOut ends a health check that was not answered in time. A late answer is ignored.
func (c *nodeConn) probeTimedOut(p *probe) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.endProbe(p, coordinator.Result{Outcome: coordinator.Cancelled})
}

// probeAnswered ends the oldest health check: answers arrive in the order of the requests. The caller holds the lock.
func (c *nodeConn) probeAnswered(r coordinator.Result) {
	p := c.probes[0]
	c.probes = c.probes[1:]
	c.endProbe(p, r)
}

// endProbe reports the result of a health check, unless it has already ended. The caller holds the lock.
func (c *nodeConn) endProbe(p *probe, r coordinator.Result) {
	if !p.done {
		p.done = true
		c.pool.Coordinator.ReportProbe(c.pool.node, r)
	}
}

// probing reports whether a health check is still waiting for its answer. The caller holds the lock.
func (c *nodeConn) probing() bool {
	return slices.ContainsFunc(c.probes, func(p *probe) bool { return !p.done })
}
