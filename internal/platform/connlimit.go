package platform

import (
	"fmt"
	"log/slog"
	"time"
)

// connPhase is the phase of a client's connection. Connections are evicted in the order of their phases.
type connPhase int

const (
	phaseClosing   connPhase = iota // its last response was written; further input is discarded
	phasePaced                      // an error waits until it may be sent
	phaseNew                        // nothing has been received
	phaseReading                    // a request is being read
	phaseIdle                       // between requests
	phaseExecuting                  // a request is being executed
)

func (p connPhase) String() string {
	switch p {
	case phaseClosing:
		return "closing"
	case phasePaced:
		return "paced"
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

// endsAtOnce reports whether an evicted connection in this phase ends without writing a response or lingering.
func (p connPhase) endsAtOnce() bool { return p == phasePaced || p == phaseNew || p == phaseIdle }

// evictionAges maps phases to the time in that phase after which a connection may be evicted. A connection that executes a
// request is never evicted.
type evictionAges map[connPhase]time.Duration

var (
	// usualEvictionAges leave a client time to send its request and to use an idle connection again.
	usualEvictionAges = evictionAges{
		phaseClosing: 100 * time.Millisecond,
		phasePaced:   100 * time.Millisecond,
		phaseNew:     250 * time.Millisecond,
		phaseReading: time.Second,
		phaseIdle:    2 * time.Second,
	}
	// shortEvictionAges hold while connections arrive faster than the usual ages make room for them. They still leave time for a
	// request that was sent with the connection to be read.
	shortEvictionAges = evictionAges{
		phaseClosing: 20 * time.Millisecond,
		phasePaced:   20 * time.Millisecond,
		phaseNew:     20 * time.Millisecond,
		phaseReading: 250 * time.Millisecond,
		phaseIdle:    2 * time.Second,
	}
)

// placement is the result of an attempt to register a connection.
type placement int

const (
	placed        placement = iota // the connection is registered
	placeEnding                    // another connection was evicted and ends at once
	placeOccupied                  // no connection will end at once
)

// register adds a connection if the limit allows it; otherwise it evicts another one, if one is old enough.
func (s *Server) register(c *clientConn, ages evictionAges) placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*clientConn]bool{}
	}
	if len(s.conns) < s.MaxConns {
		c.since = time.Now()
		s.conns[c] = true
		return placed
	}
	if victim := s.evict(phaseClosing, ages); victim != nil && victim.phase.endsAtOnce() {
		return placeEnding
	}
	return placeOccupied
}

// unregister removes a connection that has ended.
func (s *Server) unregister(c *clientConn) {
	s.mu.Lock()
	if s.conns[c] && c.active {
		s.active--
	}
	delete(s.conns, c)
	s.mu.Unlock()
	select {
	case s.placeFreed() <- struct{}{}:
	default:
	}
}

// placeFreed returns the channel that holds a token once a connection has ended.
func (s *Server) placeFreed() chan struct{} {
	s.freedOnce.Do(func() { s.freed = make(chan struct{}, 1) })
	return s.freed
}

// evict asks one connection to end, and returns it, or nil if none may be evicted: of those in the earliest phase, at or after
// minPhase, the one that has been in it the longest. The connection itself decides whether it can still end: if it has just read
// a request, it answers that first. The caller holds the lock.
func (s *Server) evict(minPhase connPhase, ages evictionAges) *clientConn {
	var candidate *clientConn
	now := time.Now()
	for c := range s.conns {
		if c.evicted || c.phase < minPhase || c.phase == phaseExecuting || now.Sub(c.since) < ages[c.phase] {
			continue
		}
		if candidate == nil || c.phase < candidate.phase || c.phase == candidate.phase && c.since.Before(candidate.since) {
			candidate = c
		}
	}
	if candidate != nil {
		candidate.evicted = true
		_ = candidate.conn.SetReadDeadline(now)
	}
	return candidate
}

// mustShedConn reports whether a response must close its connection. Clients that open a connection for each request and keep
// it would otherwise soon reach MaxActiveConns. While more than half of MaxActiveConns are active, it evicts a connection that has
// been idle for long enough; the current connection must close only if there is none. The caller holds the lock.
func (s *Server) mustShedConn() bool {
	return s.MaxActiveConns > 0 && s.active > s.MaxActiveConns/2 && s.evict(phaseIdle, usualEvictionAges) == nil
}

// connCounts returns the number of connections in each phase, as attributes of a log line.
func (s *Server) connCounts() slog.Attr {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[connPhase]int{}
	for c := range s.conns {
		counts[c.phase]++
	}
	var attrs []any
	for phase := phaseClosing; phase <= phaseExecuting; phase++ {
		attrs = append(attrs, slog.Int(phase.String(), counts[phase]))
	}
	return slog.Group("open", attrs...)
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
