package platform

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"time"

	"gullfall/internal/coordinator"
)

const (
	// The first request must have arrived completely within firstRequestTimeout of the connection being accepted, and each
	// further one within requestTimeout of its first byte. A connection that is idle for longer than idleTimeout is closed.
	firstRequestTimeout = 2 * time.Second
	requestTimeout      = 2 * time.Second
	idleTimeout         = 30 * time.Second
	// errorWriteTimeout is the time limit for writing an error response.
	errorWriteTimeout = time.Second
	// lingerTimeout limits how long the connection is read after the last response: closing it while the client
	// still sends would reset it and discard the response.
	lingerTimeout = 500 * time.Millisecond
	// lateAnswerGrace is the time after the deadline of a query in which its answer may still be written.
	lateAnswerGrace = 400 * time.Millisecond
	// drainFirstRequestTimeout limits the time for the first request of a new connection while all idle ones are closed.
	drainFirstRequestTimeout = time.Second
)

// clientConn is one connection of a client. Only its own goroutine, in run, closes it; others request that by setting its read
// deadline under the lock of the server. So a request is either read completely and answered, or not read at all.
type clientConn struct {
	server *Server
	conn   net.Conn
	in     clientReader
	buffer *bufio.Reader // reads from in
	pacer  *pacer
	// bodyBytes is the memory that is reserved for the body of the current request.
	bodyBytes int64

	// The lock of the server guards the fields below.
	phase   connPhase
	since   time.Time // when the phase began
	active  bool      // a request has been received
	evicted bool      // asked to end, unless a request has just been read
}

func newClientConn(s *Server, nc net.Conn) *clientConn {
	c := &clientConn{server: s, conn: nc, phase: phaseNew, in: clientReader{conn: nc, socket: rawConn(nc)},
		pacer: newPacer(connInterval, connBurst)}
	c.buffer = bufio.NewReaderSize(&c.in, maxHeadLine)
	return c
}

// run serves the connection until it ends.
func (c *clientConn) run() {
	defer c.release()
	firstEnd := time.Now().Add(firstRequestTimeout)
	c.setPhase(phaseNew, firstEnd)
	for {
		c.in.allowance = maxHeader
		if err := c.in.awaitRequest(c.buffer); err != nil {
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

// release closes the connection and releases its resources.
func (c *clientConn) release() {
	_ = c.conn.Close()
	c.server.unregister(c)
}

// setPhase enters a phase and sets its read deadline. It cancels a pending eviction: a request that was already read is served.
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

// isIdle reports whether the connection is new or between requests. The caller holds the lock of the server.
func (c *clientConn) isIdle() bool { return c.phase == phaseNew || c.phase == phaseIdle }

// drainDeadline returns until when a connection between requests is kept while all idle ones are closed: the first request of
// a new connection may be on the way. The caller holds the lock of the server.
func (c *clientConn) drainDeadline() time.Time {
	if c.active {
		return time.Now()
	}
	return time.Now().Add(drainFirstRequestTimeout)
}

// finishIdle ends a connection that is between requests. An evicted one is closed without lingering.
func (c *clientConn) finishIdle(err error) {
	c.server.mu.Lock()
	evicted := c.evicted
	c.server.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) && !evicted {
		c.lingerClose()
	}
}

// reject sends the error response to a request that could not be read, unless the client has gone, and ends the connection.
func (c *clientConn) reject(err error) {
	var httpErr *httpError
	if !errors.As(err, &httpErr) {
		return
	}
	r := errorResponse(httpErr.status, httpErr.text)
	if httpErr.status == 503 {
		r.header = retryAfterHeader(c.server.RetryAfter)
	}
	r.closeConn = true
	if c.pace(&r) && c.write(r) {
		c.lingerClose()
	}
}

// lingerClose closes the sending side and discards further input until the client closes too, for at most lingerTimeout:
// closing a connection with unread input would reset it and discard what was written. It reads at a limited rate.
func (c *clientConn) lingerClose() {
	half, ok := c.conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	end := time.Now().Add(lingerTimeout)
	c.setPhase(phaseClosing, end)
	for time.Now().Before(end) {
		c.in.allowance = maxHeader
		if _, err := c.buffer.Discard(maxHeader); err != nil {
			return
		}
		time.Sleep(pollInterval)
	}
}

// serve sends the response to a request and reports whether the connection stays open. While the request executes it watches the
// connection, to detect that the client disconnects. The query of a client that has disconnected already is not begun.
func (c *clientConn) serve(req *request) bool {
	defer c.releaseBody()
	c.setPhase(phaseExecuting, time.Time{})
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	watched := make(chan error, 1)
	if err := c.in.checkEnd(); err != nil {
		cancel(err)
		watched <- err
	} else {
		go func() {
			err := c.in.awaitEnd()
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				cancel(err)
			}
			watched <- err
		}()
	}
	r := c.respond(ctx, req)
	_ = c.conn.SetReadDeadline(time.Now())
	err := <-watched
	clientEnded := !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errReadAhead)
	// What the client sends from here on is read either after this response or never.
	if !clientEnded && !c.pace(&r) {
		return false
	}
	r.closeConn = req.close || clientEnded || c.closesAfterAnswer()
	if !c.write(r) {
		return false
	}
	if r.closeConn {
		c.lingerClose()
	}
	return !r.closeConn
}

// closesAfterAnswer reports whether the server wants to close the connection after the current response. It returns false
// while requests that were sent ahead are unanswered.
func (c *clientConn) closesAfterAnswer() bool {
	if c.buffer.Buffered()+len(c.in.ahead)+c.in.state().unread > 0 {
		return false
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.server.draining || c.server.mustShedConn()
}

// respond returns the response to a request.
func (c *clientConn) respond(ctx context.Context, req *request) response {
	switch {
	case req.method == "POST":
		return c.respondQuery(ctx, req)
	case req.method != "GET":
		return errorResponse(405, "method not allowed")
	case req.path == "/up" || req.path == "/alive":
		return response{status: 200, body: []byte("{}"), paced: true, writeBy: time.Now().Add(errorWriteTimeout)}
	}
	return errorResponse(404, "not found")
}

// respondQuery executes a query and returns the response.
func (c *clientConn) respondQuery(ctx context.Context, req *request) response {
	q, err := parseQuery(req)
	req.body = nil
	c.releaseBody()
	var httpErr *httpError
	if errors.As(err, &httpErr) {
		return errorResponse(httpErr.status, httpErr.text)
	}
	if errors.Is(context.Cause(ctx), errReadAhead) {
		r := refusal(c.server.RetryAfter) // not begun: its client might have left
		r.paced = true
		return r
	}
	capped := c.server.capDeadline(q.Deadline)
	if capped.Before(q.Deadline) && !capped.After(time.Now()) {
		return refusal(c.server.RetryAfter) // it drains, and the query could not be answered before the process may be killed
	}
	q.Deadline = capped
	answer, err := c.server.Coordinator.Execute(ctx, q)
	switch {
	case errors.Is(err, coordinator.ErrInvalidQuery):
		return errorResponse(400, err.Error())
	case errors.Is(context.Cause(ctx), errReadAhead):
		return errorResponse(400, errReadAhead.Error())
	case err != nil:
		// The client may have closed only its sending side and still be reading.
		return errorResponse(500, "the client closed the connection")
	}
	r := c.answerResponse(q.ID, answer)
	if end := q.Deadline.Add(lateAnswerGrace); end.After(time.Now()) {
		r.writeBy = end // otherwise it has errorWriteTimeout
	}
	return r
}

// answerResponse converts the coordinator's answer to a response.
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
		return refusal(answer.RetryAfter)
	}
	return errorResponse(500, "failed")
}

// write sends a response and reports whether all of it was written.
func (c *clientConn) write(r response) bool {
	_ = c.conn.SetWriteDeadline(r.writeBy)
	if _, err := c.conn.Write(r.encode()); err != nil {
		c.server.Log.Info("response not written completely", "cause", err)
		return false
	}
	return true
}
