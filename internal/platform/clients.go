// Package platform speaks the platform's protocol: HTTP/1.1 to clients (this file) and discovery, frames to
// data nodes. It owns every socket of that protocol and gives each back in one place. It must never decide
// anything that the core decides, hold back an answer, or let what a peer sends end the process.
package platform

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	"gullfall/internal/ask"
	"gullfall/internal/core"
)

const (
	maxBody   = ask.MaxBytes
	maxHeader = 16 << 10
	// Clients keep connections open; one without a request for restTime, or with a request that takes longer
	// than readTime to arrive, is closed.
	restTime = 5 * time.Minute
	readTime = 10 * time.Second
	// After SIGTERM a new connection is given this long for its first request.
	firstTime = time.Second
)

// Clients serves clients. Its fields are set before its first use.
type Clients struct {
	Core  *core.Core
	Log   *slog.Logger
	Slots chan struct{} // one for each connection that may be open

	mu       sync.Mutex
	conns    map[*client]bool
	draining bool // answers close their connections
	closing  bool // so does being between requests
	wg       sync.WaitGroup
}

type client struct {
	f     *Clients
	nc    net.Conn
	limit io.LimitedReader // bounds what one request may bring
	in    *textproto.Reader
	busy  bool // guarded by f.mu, as is the next
	used  bool // a request has come
}

// request is one that was read whole.
type request struct {
	method, path string
	header       textproto.MIMEHeader
	body         []byte
	close        bool
}

// refusal is an answer to what can't be read or understood.
type refusal struct {
	status int
	text   string
}

func (r *refusal) Error() string { return r.text }

func bad(status int, format string, args ...any) error {
	return &refusal{status, fmt.Sprintf(format, args...)}
}

// Serve accepts connections until the listener is closed.
func (f *Clients) Serve(ln net.Listener) error {
	for {
		f.Slots <- struct{}{}
		nc, err := ln.Accept()
		if err != nil {
			<-f.Slots
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			f.Log.Warn("accept failed", "cause", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		f.wg.Go(func() {
			defer func() { <-f.Slots }()
			f.ServeConn(nc)
		})
	}
}

// Drain makes each answer from now on close its connection.
func (f *Clients) Drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
}

// CloseIdle closes the connections that are between requests, now and from now on.
func (f *Clients) CloseIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining, f.closing = true, true
	for c := range f.conns {
		if !c.busy {
			c.nc.SetReadDeadline(c.lastCall())
		}
	}
}

// Wait returns once all connections are closed.
func (f *Clients) Wait() { f.wg.Wait() }

// ServeConn serves one connection until it ends.
func (f *Clients) ServeConn(nc net.Conn) {
	c := &client{f: f, nc: nc}
	c.limit = io.LimitedReader{R: nc}
	c.in = textproto.NewReader(bufio.NewReader(&c.limit))
	f.mu.Lock()
	if f.conns == nil {
		f.conns = map[*client]bool{}
	}
	f.conns[c] = true
	f.mu.Unlock()
	defer func() {
		nc.Close()
		f.mu.Lock()
		delete(f.conns, c)
		f.mu.Unlock()
	}()
	first := make(chan error, 1)
	c.limit.N = maxHeader + maxBody
	go c.await(first, true)
	for {
		if <-first != nil {
			return
		}
		c.rest(false)
		nc.SetReadDeadline(time.Now().Add(readTime))
		req, err := c.read()
		nc.SetReadDeadline(time.Time{})
		var re *refusal
		if errors.As(err, &re) {
			c.write(time.Now().Add(readTime), re.status, nil, errorBody(re.text), true)
			return
		}
		if err != nil {
			return
		}
		// What comes next is awaited while the query is out: the end of the connection is the client leaving.
		ctx, cancel := context.WithCancel(context.Background())
		c.limit.N = maxHeader + maxBody
		go func() {
			err := c.await(first, false)
			if err != nil {
				cancel()
			}
		}()
		ok := c.serve(ctx, req)
		cancel()
		if !ok {
			nc.Close()
			<-first
			return
		}
		c.rest(true)
	}
}

// await waits for the first byte of a request, or the end of the connection, and passes on which it was.
func (c *client) await(first chan<- error, fresh bool) error {
	if fresh {
		c.rest(true)
	}
	_, err := c.in.R.Peek(1)
	first <- err
	return err
}

// lastCall is until when a connection between requests is kept while all are closed: one that is new has its
// first request on the way. The caller holds the lock.
func (c *client) lastCall() time.Time {
	if c.used {
		return time.Now()
	}
	return time.Now().Add(firstTime)
}

// rest notes that the connection is between requests, or no more.
func (c *client) rest(idle bool) {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	c.busy, c.used = !idle, c.used || !idle
	switch {
	case idle && c.f.closing:
		c.nc.SetReadDeadline(c.lastCall())
	case idle:
		c.nc.SetReadDeadline(time.Now().Add(restTime))
	}
}

// read takes in one request.
func (c *client) read() (*request, error) {
	line, err := c.in.ReadLine()
	if err != nil {
		return nil, c.cut(err)
	}
	words := strings.Split(line, " ")
	if len(words) != 3 || !strings.HasPrefix(words[2], "HTTP/1.") || !strings.HasPrefix(words[1], "/") {
		return nil, bad(400, "request line %.100q", line)
	}
	header, err := c.in.ReadMIMEHeader()
	if err != nil {
		return nil, c.cut(err)
	}
	path, _, _ := strings.Cut(words[1], "?")
	req := &request{method: words[0], path: path, header: header,
		close: words[2] == "HTTP/1.0" || strings.EqualFold(header.Get("Connection"), "close")}
	if strings.EqualFold(header.Get("Expect"), "100-continue") {
		c.nc.SetWriteDeadline(time.Now().Add(readTime))
		io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	coding, length := header.Get("Transfer-Encoding"), header.Get("Content-Length")
	switch {
	case coding != "" && (length != "" || !strings.EqualFold(coding, "chunked")):
		return nil, bad(400, "framing of the body")
	case coding != "":
		req.body, err = io.ReadAll(io.LimitReader(&chunks{in: c.in}, maxBody+1))
	case length != "":
		n, bogus := strconv.ParseUint(length, 10, 63)
		if bogus != nil || len(header["Content-Length"]) > 1 {
			return nil, bad(400, "Content-Length %.40q", length)
		}
		if n > maxBody {
			return nil, bad(413, "body of %d bytes; %d are allowed", n, maxBody)
		}
		req.body = make([]byte, n)
		_, err = io.ReadFull(c.in.R, req.body)
	}
	if len(req.body) > maxBody {
		return nil, bad(413, "body over %d bytes", maxBody)
	}
	if err != nil {
		return nil, c.cut(err)
	}
	return req, nil
}

// cut tells a request that is too large or malformed from a connection that ended.
func (c *client) cut(err error) error {
	var ne net.Error
	switch {
	case c.limit.N <= 0:
		return bad(431, "request too large")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne), errors.Is(err, io.ErrClosedPipe):
		return err
	}
	return bad(400, "%v", err)
}

// serve answers one request and tells whether the connection goes on.
func (c *client) serve(ctx context.Context, req *request) bool {
	end := time.Now().Add(readTime)
	if req.method != "POST" {
		switch {
		case req.method != "GET":
			return c.write(end, 405, nil, errorBody("method not allowed"), req.close)
		case req.path == "/up" || req.path == "/alive":
			return c.write(end, 200, nil, []byte("{}"), req.close)
		}
		return c.write(end, 404, nil, errorBody("not found"), req.close)
	}
	q, err := query(req)
	var answer core.Answer
	if err == nil {
		end = q.Deadline
		answer, err = c.f.Core.Ask(ctx, q)
	}
	var re *refusal
	switch {
	case err == nil:
	case errors.As(err, &re):
		return c.write(end, re.status, nil, errorBody(re.text), req.close)
	case errors.Is(err, core.ErrInput):
		return c.write(time.Now().Add(readTime), 400, nil, errorBody(err.Error()), req.close)
	default:
		return false // the client is gone
	}
	switch answer.Verdict {
	case core.Answered:
		body := answerBody(answer)
		if len(body) > maxBody {
			c.f.Log.Error("answer too large for the protocol", "query", q.ID, "bytes", len(body))
			return c.write(end, 500, nil, errorBody("answer too large"), req.close)
		}
		return c.write(end, 200, nil, body, req.close)
	case core.Refused:
		var extra []byte
		if answer.After > 0 {
			extra = fmt.Appendf(nil, "Retry-After: %.3f\r\n", answer.After.Seconds())
		}
		return c.write(end, 503, extra, errorBody("refused"), req.close)
	}
	return c.write(end, 500, nil, errorBody("failed"), req.close)
}

// query reads what is asked.
func query(req *request) (core.Query, error) {
	now := time.Now()
	h := req.header
	class, _, _ := strings.Cut(strings.TrimPrefix(req.path, "/"), "/")
	ms, err := strconv.ParseInt(h.Get("Req-Deadline-Ms"), 10, 64)
	if err != nil || ms <= 0 || ms > int64(math.MaxInt32) {
		return core.Query{}, bad(400, "Req-Deadline-Ms %.40q", h.Get("Req-Deadline-Ms"))
	}
	q := core.Query{ID: h.Get("Req-Id"), Class: class, Owner: h.Get("Req-Owner"), Retry: h.Get("Req-Retry") == "1",
		Deadline: now.Add(time.Duration(ms) * time.Millisecond)}
	if q.Parts, q.Text, err = ask.Parts(req.body); err != nil {
		return q, bad(400, "%v", err)
	}
	return q, nil
}

func answerBody(a core.Answer) []byte {
	type hit struct {
		Shard int    `json:"shard"`
		Doc   string `json:"doc"`
	}
	body := struct {
		Complete bool  `json:"complete"`
		Hits     []hit `json:"hits"`
	}{a.Whole, []hit{}}
	for _, h := range a.Hits {
		for _, doc := range h.Docs {
			body.Hits = append(body.Hits, hit{h.Shard, string(doc)})
		}
	}
	data, _ := json.Marshal(body)
	return data
}

func errorBody(text string) []byte {
	data, _ := json.Marshal(map[string]string{"error": text})
	return data
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	413: "Content Too Large", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
	503: "Service Unavailable"}

// write sends an answer before end and tells whether the connection goes on.
func (c *client) write(end time.Time, status int, extra, body []byte, last bool) bool {
	c.f.mu.Lock()
	last = last || c.f.draining
	c.f.mu.Unlock()
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", status,
		reasons[status], len(body))
	out.Write(extra)
	if last {
		out.WriteString("Connection: close\r\n")
	}
	out.WriteString("\r\n")
	out.Write(body)
	c.nc.SetWriteDeadline(end)
	if _, err := c.nc.Write(out.Bytes()); err != nil {
		c.f.Log.Info("answer not written whole", "cause", err)
		return false
	}
	return !last
}
