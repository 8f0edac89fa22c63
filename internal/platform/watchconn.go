package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"gullfall/internal/membership"
)

// watchTarget is the resource to watch at discovery. resumeParam adds the version after which changes are requested.
const (
	watchTarget = "/discovery/hosts?watch=1"
	resumeParam = "&after="
)

// watchConn is a connection to discovery, established or being established.
type watchConn struct {
	addr    string
	resumes bool          // asks only for changes after a version
	after   int64         // version to resume after
	timeout time.Duration // limit for the dial, the request and any silence before the first line
	events  chan<- watchEvent
	stop    context.CancelFunc
}

// target returns the resource to request.
func (c *watchConn) target() string {
	if c.resumes {
		return watchTarget + resumeParam + strconv.FormatInt(c.after, 10)
	}
	return watchTarget
}

// watchEventKind is the kind of a watchEvent.
type watchEventKind int

const (
	watchOpened    watchEventKind = iota // the first byte of the messages has arrived
	watchUnchanged                       // discovery reports that nothing has changed
	watchPage                            // a page has arrived
	watchEnded                           // the connection has ended
)

func (k watchEventKind) String() string {
	switch k {
	case watchOpened:
		return "opened"
	case watchUnchanged:
		return "unchanged"
	case watchPage:
		return "page"
	case watchEnded:
		return "ended"
	}
	return fmt.Sprintf("watchEventKind(%d)", int(k))
}

// watchEvent is an event on a connection to discovery.
type watchEvent struct {
	from *watchConn
	kind watchEventKind
	page *page // for watchPage
	err  error // for watchEnded
}

// send delivers an event, unless the connection was stopped.
func (c *watchConn) send(ctx context.Context, e watchEvent) {
	e.from = c
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

// runConn runs a connection until it ends, and then sends watchEnded.
func (w *Watch) runConn(ctx context.Context, c *watchConn) {
	begun := time.Now()
	err := w.readPages(ctx, c)
	w.Log.Debug("list call ended", "took", time.Since(begun), "target", c.target(), "cause", err)
	c.send(ctx, watchEvent{kind: watchEnded, err: err})
}

// readPages opens a connection and sends its events until it ends.
func (w *Watch) readPages(ctx context.Context, c *watchConn) error {
	dialCtx, cancel := context.WithDeadline(ctx, time.Now().Add(c.timeout))
	nc, err := w.Dial(dialCtx, c.addr)
	cancel()
	if err != nil {
		return err
	}
	closeConn := func() { _ = nc.Close() }
	defer closeConn()
	defer context.AfterFunc(ctx, closeConn)()
	if err := c.sendRequest(nc); err != nil {
		return err
	}
	in := &silenceTimeoutReader{conn: nc, timeout: c.timeout}
	body, err := readResponseHead(bufio.NewReader(in))
	if err != nil {
		return err
	}
	// The response header does not show that the list follows: the call may still be queued at discovery, and end without it.
	opened := &onFirstByte{in: body, call: func() {
		in.timeout = membership.SilenceTimeout
		c.send(ctx, watchEvent{kind: watchOpened})
	}}
	pages := newPageReader(opened, func() { c.send(ctx, watchEvent{kind: watchUnchanged}) })
	for {
		p, err := pages.next()
		if err != nil {
			return err
		}
		c.send(ctx, watchEvent{kind: watchPage, page: p})
	}
}

// sendRequest requests the list from discovery.
func (c *watchConn) sendRequest(nc net.Conn) error {
	// If setting the deadline fails, the write fails too.
	_ = nc.SetWriteDeadline(time.Now().Add(c.timeout))
	_, err := fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", c.target(), c.addr)
	return err
}

// readResponseHead reads the header of the response and returns its body: chunked, of a given length, or up to the end of the
// connection.
func readResponseHead(in *bufio.Reader) (io.Reader, error) {
	status, err := readLine(in)
	if err != nil {
		return nil, err
	}
	if words := strings.Fields(string(status)); len(words) < 2 || words[0] != http10 && words[0] != http11 || words[1] != "200" {
		return nil, fmt.Errorf("discovery answered %.100q", status)
	}
	var framing bodyFraming
	if err := readFields(in, framing.add); err != nil {
		return nil, fmt.Errorf("head of discovery's answer: %w", err)
	}
	switch {
	case framing.chunked:
		return &chunkReader{in: in}, nil
	case framing.sized:
		return io.LimitReader(in, framing.size), nil
	}
	return in, nil
}

// onFirstByte calls a function once, when the first byte has been read.
type onFirstByte struct {
	in   io.Reader
	call func()
}

func (o *onFirstByte) Read(p []byte) (int, error) {
	n, err := o.in.Read(p)
	if n > 0 && o.call != nil {
		o.call()
		o.call = nil
	}
	return n, err
}

// silenceTimeoutReader reads from a connection and fails if no data arrives for the duration of timeout.
type silenceTimeoutReader struct {
	conn    net.Conn
	timeout time.Duration // longest wait for data
}

func (r *silenceTimeoutReader) Read(p []byte) (int, error) {
	// If setting the deadline fails, the read fails too.
	_ = r.conn.SetReadDeadline(time.Now().Add(r.timeout))
	return r.conn.Read(p)
}
