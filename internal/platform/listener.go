package platform

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"gullfall/internal/coordinator"
)

// Server serves clients over HTTP. Its exported fields must be set before first use.
type Server struct {
	Coordinator    *coordinator.Coordinator
	Log            *slog.Logger
	MaxConns       int   // limit on open connections
	MaxActiveConns int   // limit on connections that have sent a request; above half of it idle ones are closed early; 0: no limit
	BodyMemory     int64 // bytes that may be reserved for long bodies
	// RetryAfter is sent in the Retry-After header of requests that the server itself rejects; 0 omits the header.
	RetryAfter time.Duration

	// mu guards the fields up to wg, and the phase of each connection.
	mu          sync.Mutex
	conns       map[*clientConn]bool
	active      int // number of conns that have sent a request
	bodyBytes   int64
	draining    bool      // responses close their connections
	answerBy    time.Time // latest deadline of queries received from now on; zero unless draining
	closingIdle bool      // connections are also closed between requests

	errorsOnce sync.Once
	errors     *pacer // of responses that tell an error of the client

	wg        sync.WaitGroup
	freedOnce sync.Once
	freed     chan struct{} // capacity 1: holds a token once a connection has ended
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	a := &acceptor{server: s}
	for {
		nc, err := a.accept(ln)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			s.Log.Warn("accept failed", "cause", err)
			time.Sleep(pollInterval)
			continue
		}
		if c := a.place(nc); c != nil {
			s.wg.Go(c.run)
		}
	}
}

// Drain makes each further response close its connection. Queries received from now on are answered by answerBy.
func (s *Server) Drain(answerBy time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.answerBy = true, answerBy
}

// capDeadline returns the deadline of a query received now: while the server drains, no later than answerBy.
func (s *Server) capDeadline(deadline time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.answerBy.IsZero() && deadline.After(s.answerBy) {
		return s.answerBy
	}
	return deadline
}

// CloseIdle closes the connections that are between requests, and each further one once its request is answered.
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

// errorPacer returns the pacer of responses that tell an error of the client.
func (s *Server) errorPacer() *pacer {
	s.errorsOnce.Do(func() { s.errors = newPacer(errorInterval, errorBurst) })
	return s.errors
}

// Wait blocks until all connections are closed.
func (s *Server) Wait() { s.wg.Wait() }
