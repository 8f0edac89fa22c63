package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"gullfall/internal/membership"
)

// watchTarget is the resource that is watched at discovery, and resumeParam the version to begin after.
const (
	watchTarget = "/discovery/hosts?watch=1"
	resumeParam = "&after="
)

// watchConn is one connection to discovery, or the attempt to open one.
type watchConn struct {
	addr    string
	resumes bool          // it is asked for what has changed after a version
	after   int64         // that version
	timeout time.Duration // how long it may bring nothing before its first line
	events  chan<- watchEvent
	stop    context.CancelFunc
}

// target is the resource that the connection asks for.
func (c *watchConn) target() string {
	if c.resumes {
		return watchTarget + resumeParam + strconv.FormatInt(c.after, 10)
	}
	return watchTarget
}

// watchEventKind is what a connection to discovery has brought.
type watchEventKind int

const (
	watchOpened    watchEventKind = iota // the first byte of its messages
	watchUnchanged                       // that nothing has changed
	watchPage                            // a page
	watchEnded                           // its end
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

// watchEvent is one thing that a connection to discovery has brought.
type watchEvent struct {
	from *watchConn
	kind watchEventKind
	page *page // of watchPage
	err  error // of watchEnded
}

// send passes on what the connection has brought, unless it was stopped.
func (c *watchConn) send(ctx context.Context, e watchEvent) {
	e.from = c
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

// runConn runs a connection until it ends.
func (w *Watch) runConn(ctx context.Context, c *watchConn) {
	begun := time.Now()
	err := w.readPages(ctx, c)
	w.Log.Debug("list call ended", "took", time.Since(begun), "target", c.target(), "cause", err)
	c.send(ctx, watchEvent{kind: watchEnded, err: err})
}

// readPages opens a connection and passes on what it brings, until it ends.
func (w *Watch) readPages(ctx context.Context, c *watchConn) error {
	dialing, cancel := context.WithDeadline(ctx, time.Now().Add(c.timeout))
	nc, err := w.Dial(dialing, c.addr)
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
	body, err := readResponseHead(textproto.NewReader(bufio.NewReader(in)))
	if err != nil {
		return err
	}
	// The head alone says nothing: the call may still wait its turn, and end.
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

// sendRequest asks discovery for the list.
func (c *watchConn) sendRequest(nc net.Conn) error {
	// An error of the deadline shows in the write.
	_ = nc.SetWriteDeadline(time.Now().Add(c.timeout))
	_, err := fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", c.target(), c.addr)
	return err
}

// readResponseHead reads the head of discovery's answer and returns its body.
func readResponseHead(in *textproto.Reader) (io.Reader, error) {
	status, err := in.ReadLine()
	if err != nil {
		return nil, err
	}
	if words := strings.Fields(status); len(words) < 2 || words[1] != "200" {
		return nil, fmt.Errorf("discovery answered %.100q", status)
	}
	header, err := in.ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	return responseBody(in, header)
}

// responseBody is the body of an answer: chunked, of a length, or up to the end of the connection.
func responseBody(in *textproto.Reader, header textproto.MIMEHeader) (io.Reader, error) {
	if strings.EqualFold(header.Get("Transfer-Encoding"), "chunked") {
		return &chunkReader{in: in}, nil
	}
	length := header.Get("Content-Length")
	if length == "" {
		return in.R, nil
	}
	n, err := strconv.ParseUint(length, 10, 31)
	if err != nil {
		return nil, fmt.Errorf("Content-Length %.40q", length)
	}
	return io.LimitReader(in.R, int64(n)), nil
}

// onFirstByte calls a function once, when the first byte comes.
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

// silenceTimeoutReader reads a connection for as long as it goes on bringing something.
type silenceTimeoutReader struct {
	conn    net.Conn
	timeout time.Duration // the longest that it may bring nothing
}

func (r *silenceTimeoutReader) Read(p []byte) (int, error) {
	// An error of the deadline shows in the read.
	_ = r.conn.SetReadDeadline(time.Now().Add(r.timeout))
	return r.conn.Read(p)
}
