// Package platform speaks the platform's protocol: HTTP/1.1 to clients and discovery, frames to data nodes. It makes no
// decision of the core's, holds no answer back, and lets nothing that a peer sends end the process.
//
//	clients.go     the connections of all clients: their number, eviction, drain
//	clientconn.go  the life of one of them
//	inbound.go     its reading side
//	request.go     the HTTP codec: requests
//	response.go    and answers
//	discovery.go   the watch on discovery
//	nodes.go       connections to data nodes and the frames on them
package platform

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"gullfall/internal/coordinator"
	"gullfall/internal/queryjson"
)

const (
	maxBody   = queryjson.MaxBytes
	maxHeader = 16 << 10
	// So much of a body may always come in; of longer ones only as many at once as BodyMemory has room for.
	freeBodyBytes = 4 << 10
	// placePoll is how often a new connection that has no place looks for one.
	pollInterval = 10 * time.Millisecond
)

// phase is what a connection is about. Connections are closed to make room in the order of their phases.
type connPhase int

const (
	phaseClosing   connPhase = iota // it has its last answer; what else it sends is not used
	phaseNew                        // new, and nothing has come
	phaseReading                    // a request has begun
	phaseIdle                       // between requests
	phaseExecuting                  // a request is out
)

// spared is how long a connection is left in a phase before it may be closed to make room for another. One that
// has a request out is never closed.
var evictableAfter = map[connPhase]time.Duration{phaseClosing: 100 * time.Millisecond, phaseNew: 250 * time.Millisecond,
	phaseReading: time.Second, phaseIdle: 2 * time.Second}

// Clients serves clients. Its exported fields are set before its first use.
type Server struct {
	Coordinator *coordinator.Coordinator
	Log         *slog.Logger
	MaxConns    int   // connections that may be open
	BusyConns   int   // connections with requests that clients may have; from half of it on they are kept no longer than need be
	BodyMemory  int64 // bytes that longer bodies may take while they come in
	// RetryAfter is when to come back, told with a refusal of the front's own; 0 where nothing may be told.
	RetryAfter time.Duration

	mu        sync.Mutex
	conns     map[*clientConn]bool
	active    int // of conns, those that have brought a request
	bodyBytes int64
	draining  bool      // answers close their connections
	answerBy  time.Time // when queries that come in are answered at the latest; zero unless it drains
	closing   bool      // being between requests closes a connection too
	wg        sync.WaitGroup
}

// Serve accepts connections until the listener is closed.
func (f *Server) Serve(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			f.Log.Warn("accept failed", "cause", err)
			time.Sleep(pollInterval)
			continue
		}
		c := f.admit(nc)
		f.wg.Go(c.run)
	}
}

// ServeConn serves one connection until it ends.
func (f *Server) ServeConn(nc net.Conn) { f.admit(nc).run() }

// enter gives a connection its place, and is the one place that decides which other must go for it. Where none may go
// yet, it waits; at most as many requests are out as the core holds, so that others soon may.
func (f *Server) admit(nc net.Conn) *clientConn {
	c := newClientConn(f, nc)
	for !f.register(c) {
		time.Sleep(pollInterval)
	}
	return c
}

// place notes a connection if there is room for it; otherwise another is asked to go.
func (f *Server) register(c *clientConn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conns == nil {
		f.conns = map[*clientConn]bool{}
	}
	if len(f.conns) >= f.MaxConns {
		f.evict(phaseClosing)
		return false
	}
	c.since = time.Now()
	f.conns[c] = true
	return true
}

// evict asks the connection to end that must go first, and tells whether one may go: of those in the earliest phase, not
// before least, the one that has been in it for longest. The connection itself settles whether it still can: one that
// has just read a request answers it. The caller holds the lock.
func (f *Server) evict(least connPhase) bool {
	var first *clientConn
	now := time.Now()
	for c := range f.conns {
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
	first.nc.SetReadDeadline(now)
	return true
}

// remove gives back the place of a connection that has ended.
func (f *Server) unregister(c *clientConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conns[c] && c.active {
		f.active--
	}
	delete(f.conns, c)
}

// crowded tells whether an answer is to close its connection. Clients that open one for each request and keep it
// would soon have no other left: one that rests goes first, and where none has rested for long enough, this one.
// The caller holds the lock.
func (f *Server) crowded() bool {
	return f.BusyConns > 0 && f.active > f.BusyConns/2 && !f.evict(phaseIdle)
}

// Drain makes each answer from now on close its connection. Queries that come in from now on are answered by answerBy.
func (f *Server) Drain(answerBy time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining, f.answerBy = true, answerBy
}

// bound is the deadline of a query that comes in now.
func (f *Server) capDeadline(deadline time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.answerBy.IsZero() && deadline.After(f.answerBy) {
		return f.answerBy
	}
	return deadline
}

// CloseIdle closes the connections that are between requests, now and from now on.
func (f *Server) CloseIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining, f.closing = true, true
	for c := range f.conns {
		if c.isIdle() {
			c.nc.SetReadDeadline(c.drainDeadline())
		}
	}
}

// Wait returns once all connections are closed.
func (f *Server) Wait() { f.wg.Wait() }

// reserve books the memory that a body may take, and tells whether there is room for it.
func (f *Server) reserveMemory(n int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n > 0 && f.bodyBytes+n > f.BodyMemory {
		return false
	}
	f.bodyBytes += n
	return true
}
