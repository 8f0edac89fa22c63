package platform

import (
	"fmt"
	"net"
	"time"
)

// pollInterval is how often a new connection that has no place looks for one.
const pollInterval = 10 * time.Millisecond

// connPhase is what a client's connection is about. Connections are closed to make room for others in the order of their
// phases.
type connPhase int

const (
	phaseClosing   connPhase = iota // it has its last answer; what else it sends is not used
	phaseNew                        // nothing has come
	phaseReading                    // a request has begun
	phaseIdle                       // between requests
	phaseExecuting                  // a request is out
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

// evictableAfter is how long a connection is left in a phase before it may be closed to make room for another. One that has
// a request out is never closed.
var evictableAfter = map[connPhase]time.Duration{
	phaseClosing: 100 * time.Millisecond,
	phaseNew:     250 * time.Millisecond,
	phaseReading: time.Second,
	phaseIdle:    2 * time.Second,
}

// placeConn gives a connection its place. Where all are taken, another connection must go for it; where none may go yet, it
// waits. A connection whose request is being answered is never closed, but its answer comes within its deadline.
func (s *Server) placeConn(nc net.Conn) *clientConn {
	c := newClientConn(s, nc)
	for !s.register(c) {
		time.Sleep(pollInterval)
	}
	return c
}

// register notes a connection if there is room for it; otherwise another is asked to go.
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

// unregister gives back the place of a connection that has ended.
func (s *Server) unregister(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[c] && c.active {
		s.active--
	}
	delete(s.conns, c)
}

// evict asks one connection to end, and tells whether there is one that may: of those in the earliest phase, not before
// least, the one that has been in it for longest. The connection itself settles whether it still can: one that has just read
// a request answers it. The caller holds the lock.
func (s *Server) evict(least connPhase) bool {
	var first *clientConn
	now := time.Now()
	for c := range s.conns {
		if c.evicted || c.phase < least || c.phase == phaseExecuting || now.Sub(c.since) < evictableAfter[c.phase] {
			continue
		}
		if first == nil || c.phase < first.phase || c.phase == first.phase && c.since.Before(first.since) {
			first = c
		}
	}
	if first == nil {
		return false
	}
	first.evicted = true
	_ = first.conn.SetReadDeadline(now)
	return true
}

// crowdedOut tells whether an answer is to close its connection, and closes an idle one where that is enough. Clients that open a connection for each request and keep it
// would soon have no other left: an idle one goes first, and where none has been idle for long enough, this one. The caller
// holds the lock.
func (s *Server) crowdedOut() bool {
	return s.ActiveConns > 0 && s.active > s.ActiveConns/2 && !s.evict(phaseIdle)
}

// reserveMemory reserves n bytes for bodies, or gives them back where n is negative. It tells whether there is room for them.
func (s *Server) reserveMemory(n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > 0 && s.bodyBytes+n > s.BodyMemory {
		return false
	}
	s.bodyBytes += n
	return true
}
