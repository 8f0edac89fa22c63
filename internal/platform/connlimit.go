package platform

import (
	"fmt"
	"net"
	"time"
)

// pollInterval is the retry interval after a failed accept, for a new connection above the limit, and while lingering.
const pollInterval = 10 * time.Millisecond

// connPhase is the phase of a client's connection. Connections are evicted in the order of their phases.
type connPhase int

const (
	phaseClosing   connPhase = iota // its last response was written; further input is discarded
	phaseNew                        // nothing has been received
	phaseReading                    // a request is being read
	phaseIdle                       // between requests
	phaseExecuting                  // a request is being executed
)

func (p connPhase) String() string {
	switch p {
	case phaseClosing:
		return "closing"
	case phaseNew:
		return "new"
	case phaseReading:
		return "reading"
	case phaseIdle:
		return "idle"
	case phaseExecuting:
		return "executing"
	}
	return fmt.Sprintf("connPhase(%d)", int(p))
}

// evictableAfter maps phases to the time in that phase after which a connection may be evicted. A connection that executes a
// request is never evicted.
var evictableAfter = map[connPhase]time.Duration{
	phaseClosing: 100 * time.Millisecond,
	phaseNew:     250 * time.Millisecond,
	phaseReading: time.Second,
	phaseIdle:    2 * time.Second,
}

// placeConn registers a new connection. At the limit it waits until another connection has been evicted or has ended. A
// connection that executes a request is never evicted, but the deadline of the request bounds the wait.
func (s *Server) placeConn(nc net.Conn) *clientConn {
	c := newClientConn(s, nc)
	for !s.register(c) {
		time.Sleep(pollInterval)
	}
	return c
}

// register adds a connection if the limit allows it; otherwise it evicts another one and returns false.
func (s *Server) register(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*clientConn]bool{}
	}
	if len(s.conns) >= s.MaxConns {
		s.evict(phaseClosing)
		return false
	}
	c.since = time.Now()
	s.conns[c] = true
	return true
}

// unregister removes a connection that has ended.
func (s *Server) unregister(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[c] && c.active {
		s.active--
	}
	delete(s.conns, c)
}

// evict asks one connection to end, and reports whether one may be evicted: of those in the earliest phase, at or after
// minPhase, the one that has been in it the longest. The connection itself decides whether it can still end: if it has just read
// a request, it answers that first. The caller holds the lock.
func (s *Server) evict(minPhase connPhase) bool {
	var candidate *clientConn
	now := time.Now()
	for c := range s.conns {
		if c.evicted || c.phase < minPhase || c.phase == phaseExecuting || now.Sub(c.since) < evictableAfter[c.phase] {
			continue
		}
		if candidate == nil || c.phase < candidate.phase || c.phase == candidate.phase && c.since.Before(candidate.since) {
			candidate = c
		}
	}
	if candidate == nil {
		return false
	}
	candidate.evicted = true
	_ = candidate.conn.SetReadDeadline(now)
	return true
}

// mustShedConn reports whether a response must close its connection. Clients that open a connection for each request and keep
// it would otherwise soon reach MaxActiveConns. While more than half of MaxActiveConns are active, it evicts a connection that has
// been idle for long enough; the current connection must close only if there is none. The caller holds the lock.
func (s *Server) mustShedConn() bool {
	return s.MaxActiveConns > 0 && s.active > s.MaxActiveConns/2 && !s.evict(phaseIdle)
}

// reserveMemory reserves n bytes of BodyMemory, or releases them if n is negative. It reports whether they were available.
func (s *Server) reserveMemory(n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > 0 && s.bodyBytes+n > s.BodyMemory {
		return false
	}
	s.bodyBytes += n
	return true
}
