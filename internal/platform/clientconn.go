package platform

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/textproto"
	"os"
	"time"

	"gullfall/internal/coordinator"
)

const (
	// A connection must have brought its first request whole within firstTime, and each further one within
	// readTime of its first byte. One that rests for longer than restTime is closed; a client that comes back
	// opens another.
	firstRequestTimeout = 2 * time.Second
	requestTimeout      = 2 * time.Second
	idleTimeout         = 30 * time.Second
	// Within writeTime an error is written. Before a connection is closed its client is given lingerTime to read what it
	// was sent: a close while more comes in would discard it.
	errorWriteTimeout = time.Second
	lingerTimeout     = 500 * time.Millisecond
	// lateTime is how long after its time an answer may still be written: it earns nothing, but is not lost.
	lateAnswerWrite = 400 * time.Millisecond
	// While all idle connections are closed, a new one is given this long for its first request.
	drainFirstRequestTimeout = time.Second
)

// clientConn is one connection of a client. Its own goroutine, in run, is the only one that closes it: whoever wants it
// gone sets its read deadline under the lock of Clients. So a request is either read, and then answered, or left unread.
type clientConn struct {
	clients  *Server
	nc       net.Conn
	in       clientReader
	text     *textproto.Reader // over in
	reserved bool              // memory is booked for what was sent ahead

	phase   connPhase // guarded by clients.mu, as are the next three
	since   time.Time // when the phase began
	active  bool      // a request has come
	evicted bool      // it is to go, unless a request has just been read
}

func newClientConn(f *Server, nc net.Conn) *clientConn {
	c := &clientConn{clients: f, nc: nc, phase: phaseNew, in: clientReader{conn: nc}}
	c.text = textproto.NewReader(bufio.NewReader(&c.in))
	return c
}

// run serves the connection until it ends.
func (c *clientConn) run() {
	defer c.release()
	firstEnd := time.Now().Add(firstRequestTimeout)
	c.setPhase(phaseNew, firstEnd)
	for {
		c.in.allowance = maxHeader
		if _, err := c.text.R.Peek(1); err != nil {
			c.finishIdle(err)
			return
		}
		end := time.Now().Add(requestTimeout)
		if !c.active && firstEnd.After(time.Now()) {
			end = firstEnd
		}
		c.setPhase(phaseReading, end)
		req, err := c.readRequest()
		if err != nil {
			c.reject(err)
			return
		}
		if !c.serve(req) {
			return
		}
		c.setPhase(phaseIdle, time.Now().Add(idleTimeout))
	}
}

// release gives back all that the connection holds.
func (c *clientConn) release() {
	c.nc.Close()
	if c.reserved {
		c.clients.reserveMemory(-maxReadAheadBytes)
	}
	c.clients.unregister(c)
}

// enter begins a phase, in which reads end at the deadline. What was read before is served: an eviction comes too late.
func (c *clientConn) setPhase(p connPhase, deadline time.Time) {
	c.clients.mu.Lock()
	defer c.clients.mu.Unlock()
	c.phase, c.since, c.evicted = p, time.Now(), false
	if p == phaseExecuting && !c.active {
		c.active = true
		if c.clients.conns[c] {
			c.clients.active++
		}
	}
	if c.clients.closing && c.isIdle() {
		deadline = c.drainDeadline()
	}
	c.nc.SetReadDeadline(deadline)
}

// idle tells whether nothing is owed to the client. The caller holds the lock.
func (c *clientConn) isIdle() bool { return c.phase == phaseNew || c.phase == phaseIdle }

// lastCall is until when a connection between requests is kept while all are closed: one that is new has its
// first request on the way. The caller holds the lock.
func (c *clientConn) drainDeadline() time.Time {
	if c.active {
		return time.Now()
	}
	return time.Now().Add(drainFirstRequestTimeout)
}

// endIdle ends a connection on which no request has begun. One that must make room goes at once.
func (c *clientConn) finishIdle(err error) {
	c.clients.mu.Lock()
	evicted := c.evicted
	c.clients.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) && !evicted {
		c.lingerClose()
	}
}

// refuse answers a request that could not be read, if its client is still there, and ends the connection.
func (c *clientConn) reject(err error) {
	var re *httpError
	if !errors.As(err, &re) {
		return
	}
	r := errorResponse(re.status, re.text)
	if re.status == 503 {
		r.header = retryAfter(c.clients.RetryAfter)
	}
	if c.write(r, true) {
		c.lingerClose()
	}
}

// shut ends the connection from our side: nothing that comes in from here on is used. It is read on for a while, and no
// more of it than it takes to see its end, because a close over unread bytes would discard what was written.
func (c *clientConn) lingerClose() {
	half, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	end := time.Now().Add(lingerTimeout)
	c.setPhase(phaseClosing, end)
	for time.Now().Before(end) {
		c.in.allowance = maxHeader
		if _, err := c.text.R.Discard(maxHeader); err != nil {
			return
		}
		time.Sleep(pollInterval)
	}
}

// answer gives a request its one final answer and tells whether the connection goes on. While the query is out the
// connection is read on: its end is the client leaving.
func (c *clientConn) serve(req *request) bool {
	c.setPhase(phaseExecuting, time.Time{})
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	watched := make(chan error, 1)
	go func() {
		err := c.in.readAhead(c.reserveAhead)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			cancel(err)
		}
		watched <- err
	}()
	r := c.respond(ctx, req)
	c.nc.SetReadDeadline(time.Now())
	ended := <-watched
	if errors.Is(ended, os.ErrDeadlineExceeded) {
		ended = nil
	}
	// Nothing reads now: what the client sends from here on is either read after this answer, or never.
	last := c.closesAfter(req.close || ended != nil)
	if !c.write(r, last) {
		return false
	}
	if last {
		c.lingerClose()
	}
	return !last
}

// isLast decides whether an answer ends its connection. Requests that were read ahead are answered before.
func (c *clientConn) closesAfter(closes bool) bool {
	if closes {
		return true
	}
	if len(c.in.ahead)+c.text.R.Buffered() > 0 {
		return false
	}
	f := c.clients
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining || f.crowded()
}

// reserveAhead books memory for what a client sends ahead; it is kept until the connection ends.
func (c *clientConn) reserveAhead() bool {
	if !c.reserved {
		c.reserved = c.clients.reserveMemory(maxReadAheadBytes)
	}
	return c.reserved
}

// respond finds the answer to a request.
func (c *clientConn) respond(ctx context.Context, req *request) response {
	if req.method == "POST" {
		return c.respondQuery(ctx, req)
	}
	switch {
	case req.method != "GET":
		return errorResponse(405, "method not allowed")
	case req.path == "/up" || req.path == "/alive":
		return response{status: 200, body: []byte("{}"), end: time.Now().Add(errorWriteTimeout)}
	}
	return errorResponse(404, "not found")
}

func (c *clientConn) respondQuery(ctx context.Context, req *request) response {
	q, err := parseQuery(req)
	var re *httpError
	if errors.As(err, &re) {
		return errorResponse(re.status, re.text)
	}
	q.Deadline = c.clients.capDeadline(q.Deadline)
	answer, err := c.clients.Coordinator.Execute(ctx, q)
	switch {
	case errors.Is(err, coordinator.ErrInput):
		return errorResponse(400, err.Error())
	case errors.Is(context.Cause(ctx), errReadAhead):
		return errorResponse(400, errReadAhead.Error())
	case err != nil:
		// It may have closed its sending side only, and still read.
		return errorResponse(500, "the client closed the connection")
	}
	r := c.answerResponse(q.ID, answer)
	if end := q.Deadline.Add(lateAnswerWrite); end.After(time.Now()) {
		r.end = end // else it still gets the usual time of an error: better late than never
	}
	return r
}

// answered turns the core's answer to a query into a response.
func (c *clientConn) answerResponse(id string, answer coordinator.Answer) response {
	switch answer.Status {
	case coordinator.Answered:
		body, err := answerBody(answer)
		if err != nil {
			c.clients.Log.Error("answer not fit for the protocol", "query", id, "cause", err)
			return errorResponse(500, "answer can't be passed on")
		}
		if len(body) > maxBody {
			c.clients.Log.Error("answer too large for the protocol", "query", id, "bytes", len(body))
			return errorResponse(500, "answer too large")
		}
		return response{status: 200, body: body, end: time.Now().Add(errorWriteTimeout)}
	case coordinator.Rejected:
		r := errorResponse(503, "refused")
		r.header = retryAfter(answer.RetryAfter)
		return r
	}
	return errorResponse(500, "failed")
}

// write sends a response and tells whether all of it was written.
func (c *clientConn) write(r response, last bool) bool {
	c.nc.SetWriteDeadline(r.end)
	if _, err := c.nc.Write(r.encode(last)); err != nil {
		c.clients.Log.Info("answer not written whole", "cause", err)
		return false
	}
	return true
}
