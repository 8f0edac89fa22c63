package platform

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"gullfall/internal/coordinator"
)

// Server serves clients. Its exported fields are set before its first use.
type Server struct {
	Coordinator *coordinator.Coordinator
	Log         *slog.Logger
	MaxConns    int   // connections that may be open
	ActiveConns int   // connections with requests that clients may have; from half of it on idle ones are closed early
	BodyMemory  int64 // bytes that longer bodies may take while they come in
	// RetryAfter is when to come back, sent where the server itself rejects a request; 0 where nothing may be sent.
	RetryAfter time.Duration

	// mu guards what follows, but for wg, and the phase of each connection.
	mu          sync.Mutex
	conns       map[*clientConn]bool
	active      int // of conns, those that have brought a request
	bodyBytes   int64
	draining    bool      // answers close their connections
	answerBy    time.Time // when queries that come in are answered at the latest; zero unless it drains
	closingIdle bool      // being between requests closes a connection too

	wg sync.WaitGroup
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			s.Log.Warn("accept failed", "cause", err)
			time.Sleep(pollInterval)
			continue
		}
		c := s.placeConn(nc)
		s.wg.Go(c.run)
	}
}

// Drain makes each answer from now on close its connection. Queries that come in from now on are answered by answerBy.
func (s *Server) Drain(answerBy time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.answerBy = true, answerBy
}

// capDeadline returns the deadline of a query that comes in now: earlier than asked for while the server drains.
func (s *Server) capDeadline(deadline time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.answerBy.IsZero() && deadline.After(s.answerBy) {
		return s.answerBy
	}
	return deadline
}

// CloseIdle closes the connections that are between requests, now and from now on.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.closingIdle = true, true
	for c := range s.conns {
		if c.isIdle() {
			_ = c.conn.SetReadDeadline(c.drainDeadline())
		}
	}
}

// Wait returns once all connections are closed.
func (s *Server) Wait() { s.wg.Wait() }
