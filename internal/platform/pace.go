package platform

import (
	"errors"
	"os"
	"sync"
	"time"

	"gullfall/internal/admission"
)

const (
	// Requests that are answered with an error of the client go on at errorInterval, all connections together: sent at full speed they
	// would take the CPU time that other clients' queries need.
	errorInterval = 5 * time.Millisecond
	errorBurst    = 100
	// maxErrorDelay leaves a client that connects and sends its request within 2 s an error within 3 s.
	maxErrorDelay = time.Second
	// Other responses for which no data node is asked go on at connInterval on their connection, so that its client can't keep the
	// others waiting.
	connInterval = 5 * time.Millisecond
	connBurst    = 50
)

// pacer is an admission.Pacer that several connections share.
type pacer struct {
	mu    sync.Mutex
	pacer admission.Pacer // guarded by mu
}

func newPacer(interval time.Duration, burst int) *pacer {
	return &pacer{pacer: admission.Pacer{Interval: interval, Burst: burst, MaxDelay: maxErrorDelay}}
}

// delay counts a response and returns how long it must wait.
func (p *pacer) delay(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pacer.Delay(now)
}

// pacerOf returns the pacer that a response waits for, or nil if it is sent at once, as is the answer of the coordinator to a query. A
// request that did not come in time has waited already.
func (c *clientConn) pacerOf(r response) *pacer {
	switch {
	case r.paced:
		return c.pacer
	case r.status >= 400 && r.status < 500 && r.status != 408:
		return c.server.errorPacer()
	}
	return nil
}

// pace waits until a response may be sent. It returns false if the connection has ended or is evicted meanwhile. The response's time limit
// for writing then begins.
func (c *clientConn) pace(r *response) bool {
	p := c.pacerOf(*r)
	if p == nil {
		return true
	}
	now := time.Now()
	delay := p.delay(now)
	if delay == 0 {
		return true
	}
	r.writeBy = now.Add(delay + errorWriteTimeout)
	c.setPhase(phasePaced, now.Add(delay))
	if c.in.socket == nil {
		time.Sleep(delay)
		return true
	}
	if err := c.in.awaitDeadline(); !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return !c.evicted
}
