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
	// A connection must have brought its first request completely within firstRequestTimeout, and each further one within
	// requestTimeout of its first byte. One that is idle for longer than idleTimeout is closed.
	firstRequestTimeout = 2 * time.Second
	requestTimeout      = 2 * time.Second
	idleTimeout         = 30 * time.Second
	// errorWriteTimeout is the most that an error may take to be written.
	errorWriteTimeout = time.Second
	// lingerTimeout is how long a client may read what it was sent before its connection is closed: a close while more comes
	// in would discard it.
	lingerTimeout = 500 * time.Millisecond
	// lateAnswerWrite is how long after its deadline an answer may still be written.
	lateAnswerWrite = 400 * time.Millisecond
	// drainFirstRequestTimeout is how long a new connection has for its first request while all idle ones are closed.
	drainFirstRequestTimeout = time.Second
)

// clientConn is one connection of a client. Its own goroutine, in run, is the only one that closes it: whoever wants it gone
// sets its read deadline under the lock of the server. So a request is either read, and then answered, or left unread.
type clientConn struct {
	server   *Server
	conn     net.Conn
	in       clientReader
	text     *textproto.Reader // over in
	reserved bool              // memory is reserved for what the client sends ahead

	// The server's lock guards what follows.
	phase   connPhase
	since   time.Time // when the phase began
	active  bool      // a request has come
	evicted bool      // it is to go, unless a request has just been read
}

func newClientConn(s *Server, nc net.Conn) *clientConn {
	c := &clientConn{server: s, conn: nc, phase: phaseNew, in: clientReader{conn: nc}}
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
	_ = c.conn.Close()
	if c.reserved {
		c.server.reserveMemory(-maxReadAheadBytes)
	}
	c.server.unregister(c)
}

// setPhase begins a phase, in which reads end at the deadline. What was read before is served: an eviction comes too late.
func (c *clientConn) setPhase(p connPhase, deadline time.Time) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.phase, c.since, c.evicted = p, time.Now(), false
	if p == phaseExecuting && !c.active {
		c.active = true
		if c.server.conns[c] {
			c.server.active++
		}
	}
	if c.server.closingIdle && c.isIdle() {
		deadline = c.drainDeadline()
	}
	_ = c.conn.SetReadDeadline(deadline)
}

// isIdle tells whether nothing is owed to the client. The caller holds the server's lock.
func (c *clientConn) isIdle() bool { return c.phase == phaseNew || c.phase == phaseIdle }

// drainDeadline is until when a connection between requests is kept while all of them are closed: one that is new has its
// first request on the way. The caller holds the server's lock.
func (c *clientConn) drainDeadline() time.Time {
	if c.active {
		return time.Now()
	}
	return time.Now().Add(drainFirstRequestTimeout)
}

// finishIdle ends a connection on which no request has begun. One that makes room for another goes at once.
func (c *clientConn) finishIdle(err error) {
	c.server.mu.Lock()
	evicted := c.evicted
	c.server.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) && !evicted {
		c.lingerClose()
	}
}

// reject answers a request that could not be read, if its client is still there, and ends the connection.
func (c *clientConn) reject(err error) {
	var httpErr *httpError
	if !errors.As(err, &httpErr) {
		return
	}
	r := errorResponse(httpErr.status, httpErr.text)
	if httpErr.status == 503 {
		r.header = retryAfter(c.server.RetryAfter)
	}
	r.last = true
	if c.write(r) {
		c.lingerClose()
	}
}

// lingerClose ends the connection from our side: nothing that comes in from here on is used. It is read on for a while, and
// no more of it than it takes to see its end, because a close over unread bytes would discard what was written.
func (c *clientConn) lingerClose() {
	half, ok := c.conn.(interface{ CloseWrite() error })
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

// serve gives a request its one final answer and tells whether the connection goes on. While the query is out the connection
// is read on: its end is the client leaving.
func (c *clientConn) serve(req *request) bool {
	c.setPhase(phaseExecuting, time.Time{})
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	readAhead := make(chan error, 1)
	go func() {
		err := c.in.readAhead(c.reserveReadAhead)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			cancel(err)
		}
		readAhead <- err
	}()
	r := c.respond(ctx, req)
	_ = c.conn.SetReadDeadline(time.Now())
	clientEnded := !errors.Is(<-readAhead, os.ErrDeadlineExceeded)
	// Nothing reads now: what the client sends from here on is either read after this answer, or never.
	r.last = req.close || clientEnded || c.closesAfterAnswer()
	if !c.write(r) {
		return false
	}
	if r.last {
		c.lingerClose()
	}
	return !r.last
}

// closesAfterAnswer tells whether the server wants the connection to end with the answer in hand. Requests that were read
// ahead are answered before.
func (c *clientConn) closesAfterAnswer() bool {
	if len(c.in.ahead)+c.text.R.Buffered() > 0 {
		return false
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.server.draining || c.server.crowdedOut()
}

// reserveReadAhead reserves memory for what a client sends ahead; it is given back when the connection ends.
func (c *clientConn) reserveReadAhead() bool {
	if !c.reserved {
		c.reserved = c.server.reserveMemory(maxReadAheadBytes)
	}
	return c.reserved
}

// respond finds the answer to a request.
func (c *clientConn) respond(ctx context.Context, req *request) response {
	switch {
	case req.method == "POST":
		return c.respondQuery(ctx, req)
	case req.method != "GET":
		return errorResponse(405, "method not allowed")
	case req.path == "/up" || req.path == "/alive":
		return response{status: 200, body: []byte("{}"), writeBy: time.Now().Add(errorWriteTimeout)}
	}
	return errorResponse(404, "not found")
}

// respondQuery finds the answer to a query.
func (c *clientConn) respondQuery(ctx context.Context, req *request) response {
	q, err := parseQuery(req)
	var httpErr *httpError
	if errors.As(err, &httpErr) {
		return errorResponse(httpErr.status, httpErr.text)
	}
	q.Deadline = c.server.capDeadline(q.Deadline)
	answer, err := c.server.Coordinator.Execute(ctx, q)
	switch {
	case errors.Is(err, coordinator.ErrInvalidQuery):
		return errorResponse(400, err.Error())
	case errors.Is(context.Cause(ctx), errReadAhead):
		return errorResponse(400, errReadAhead.Error())
	case err != nil:
		// The client may have closed its sending side only, and still read.
		return errorResponse(500, "the client closed the connection")
	}
	r := c.answerResponse(q.ID, answer)
	if end := q.Deadline.Add(lateAnswerWrite); end.After(time.Now()) {
		r.writeBy = end // a later answer has as long as an error
	}
	return r
}

// answerResponse turns the coordinator's answer to a query into a response.
func (c *clientConn) answerResponse(id string, answer coordinator.Answer) response {
	switch answer.Status {
	case coordinator.Answered:
		body, err := answerBody(answer)
		if err != nil {
			c.server.Log.Error("answer not fit for the protocol", "query", id, "cause", err)
			return errorResponse(500, "answer can't be passed on")
		}
		if len(body) > maxBody {
			c.server.Log.Error("answer too large for the protocol", "query", id, "bytes", len(body))
			return errorResponse(500, "answer too large")
		}
		return response{status: 200, body: body, writeBy: time.Now().Add(errorWriteTimeout)}
	case coordinator.Rejected:
		r := errorResponse(503, "refused")
		r.header = retryAfter(answer.RetryAfter)
		return r
	}
	return errorResponse(500, "failed")
}

// write sends a response and tells whether all of it was written.
func (c *clientConn) write(r response) bool {
	_ = c.conn.SetWriteDeadline(r.writeBy)
	if _, err := c.conn.Write(r.encode()); err != nil {
		c.server.Log.Info("response not written completely", "cause", err)
		return false
	}
	return true
}
