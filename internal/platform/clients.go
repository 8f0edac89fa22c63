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
	"net"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"gullfall/internal/ask"
	"gullfall/internal/core"
)

const (
	maxBody   = ask.MaxBytes
	maxHeader = 16 << 10
	// So much of a body may always come in; of longer ones only as many at once as Hold has room for.
	freeBody = 4 << 10
	// A connection must have brought its first request whole within firstTime, and each further one within
	// readTime of its first byte. One that rests for longer than restTime is closed; a client that comes back
	// opens another.
	firstTime = 2 * time.Second
	readTime  = 2 * time.Second
	restTime  = 30 * time.Second
	// Within writeTime an error is written. Its client is given lingerTime to read it: a close while more comes in
	// would discard it.
	writeTime  = time.Second
	lingerTime = 500 * time.Millisecond
	// While all idle connections are closed, a new one is given this long for its first request.
	lastTime = time.Second
)

// phase is what a connection is about. Connections are closed to make room in the order of their phases.
type phase int

const (
	leaving phase = iota // it has its error; what else it sends is not used
	silent               // new, and nothing has come
	coming               // a request has begun
	resting              // between requests
	asking               // a request is out
)

// spared is how long a connection is left in a phase before it may be closed to make room for another. One that
// has a request out is never closed.
var spared = map[phase]time.Duration{leaving: 100 * time.Millisecond, silent: 250 * time.Millisecond,
	coming: time.Second, resting: 2 * time.Second}

// Clients serves clients. Its fields are set before its first use.
type Clients struct {
	Core *core.Core
	Log  *slog.Logger
	Most int   // connections that may be open
	Busy int   // connections with requests that clients may have; from half of it on they are kept no longer than need be
	Hold int64 // bytes that longer bodies may take while they come in
	// Again is when to come back, told with a refusal of the front's own; 0 where nothing may be told.
	Again time.Duration

	mu       sync.Mutex
	conns    map[*client]bool
	used     int // of conns, those that have brought a request
	held     int64
	draining bool // answers close their connections
	closing  bool // so does being between requests
	wg       sync.WaitGroup
}

type client struct {
	f     *Clients
	nc    net.Conn
	limit io.LimitedReader // bounds what one request may bring
	in    *textproto.Reader
	phase phase     // guarded by f.mu, as are the next two
	since time.Time // when the phase began
	used  bool      // a request has come
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
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			f.Log.Warn("accept failed", "cause", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c := f.enter(nc)
		f.wg.Go(c.run)
	}
}

// ServeConn serves one connection until it ends.
func (f *Clients) ServeConn(nc net.Conn) { f.enter(nc).run() }

// enter gives a connection its place, and is the one place that decides which other must go for it: of those in
// the earliest phase the one that has been in it for longest. Where none may go yet, it waits; at most as many
// requests are out as the core holds, so that others soon may.
func (f *Clients) enter(nc net.Conn) *client {
	c := &client{f: f, nc: nc, phase: silent}
	c.limit = io.LimitedReader{R: nc}
	c.in = textproto.NewReader(bufio.NewReader(&c.limit))
	for {
		f.mu.Lock()
		if f.conns == nil {
			f.conns = map[*client]bool{}
		}
		if len(f.conns) >= f.Most {
			f.evict(leaving)
		}
		if len(f.conns) < f.Most {
			c.since = time.Now()
			f.conns[c] = true
			f.mu.Unlock()
			return c
		}
		f.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// evict closes the connection that must go first, of those in a phase not before least, and tells whether one may
// go. The caller holds the lock.
func (f *Clients) evict(least phase) bool {
	var first *client
	now := time.Now()
	for c := range f.conns {
		if c.phase < least || c.phase == asking || now.Sub(c.since) < spared[c.phase] {
			continue
		}
		if first == nil || c.phase < first.phase || c.phase == first.phase && c.since.Before(first.since) {
			first = c
		}
	}
	if first == nil {
		return false
	}
	f.remove(first)
	first.nc.Close()
	return true
}

// remove gives back the place of a connection. The caller holds the lock.
func (f *Clients) remove(c *client) {
	if f.conns[c] && c.used {
		f.used--
	}
	delete(f.conns, c)
}

// crowded tells whether an answer is to close its connection. Clients that open one for each request and keep it
// would soon have no other left: one that rests goes first, and where none has rested for long enough, this one.
// The caller holds the lock.
func (f *Clients) crowded() bool { return f.Busy > 0 && f.used > f.Busy/2 && !f.evict(resting) }

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
		if c.phase == silent || c.phase == resting {
			c.nc.SetReadDeadline(c.lastCall())
		}
	}
}

// Wait returns once all connections are closed.
func (f *Clients) Wait() { f.wg.Wait() }

// run serves the connection until it ends.
func (c *client) run() {
	defer func() {
		c.nc.Close()
		c.f.mu.Lock()
		c.f.remove(c)
		c.f.mu.Unlock()
	}()
	end := time.Now().Add(firstTime)
	c.nc.SetReadDeadline(end)
	c.turn(silent)
	for c.limit.N = maxHeader; ; c.limit.N = maxHeader {
		if _, err := c.in.R.Peek(1); err != nil {
			return
		}
		c.turn(coming)
		if now := time.Now(); c.used || end.Before(now) {
			end = now.Add(readTime)
		}
		c.nc.SetReadDeadline(end)
		req, err := c.read()
		var re *refusal
		if errors.As(err, &re) {
			var extra []byte
			if re.status == 503 {
				extra = retryAfter(c.f.Again)
			}
			c.write(time.Now().Add(writeTime), re.status, extra, errorBody(re.text), true)
			c.linger()
			return
		}
		if err != nil {
			return
		}
		c.nc.SetReadDeadline(time.Time{})
		c.turn(asking)
		// What comes next is awaited while the query is out: the end of the connection is the client leaving.
		ctx, cancel := context.WithCancel(context.Background())
		next := make(chan error, 1)
		go func() {
			c.limit.N = maxHeader
			_, err := c.in.R.Peek(1)
			if err != nil {
				cancel()
			}
			next <- err
		}()
		ok := c.serve(ctx, req)
		cancel()
		if !ok {
			c.nc.Close()
		}
		c.nc.SetReadDeadline(time.Now())
		if err := <-next; !ok || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		c.nc.SetReadDeadline(time.Now().Add(restTime))
		c.turn(resting)
	}
}

// turn notes that a phase begins.
func (c *client) turn(p phase) {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	if c.phase, c.since = p, time.Now(); p == asking && !c.used {
		c.used = true
		if c.f.conns[c] {
			c.f.used++
		}
	}
	if c.f.closing && (p == silent || p == resting) {
		c.nc.SetReadDeadline(c.lastCall())
	}
}

// lastCall is until when a connection between requests is kept while all are closed: one that is new has its
// first request on the way. The caller holds the lock.
func (c *client) lastCall() time.Time {
	if c.used {
		return time.Now()
	}
	return time.Now().Add(lastTime)
}

// linger lets a client that may still be sending read its error. What it sends is discarded, and no more of it is
// taken in than it takes to see the connection's end.
func (c *client) linger() {
	c.turn(leaving)
	half, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	end := time.Now().Add(lingerTime)
	c.nc.SetReadDeadline(end)
	for time.Now().Before(end) {
		c.limit.N = maxHeader
		if _, err := c.in.R.Discard(maxHeader); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// reserve books the memory that a body may take, and tells whether there is room for it.
func (f *Clients) reserve(n int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n > 0 && f.held+n > f.Hold {
		return false
	}
	f.held += n
	return true
}

// read takes in one request.
func (c *client) read() (*request, error) {
	line, err := c.in.ReadLine()
	if err != nil {
		return nil, c.cut(err)
	}
	words := strings.Split(line, " ")
	if len(words) != 3 || words[2] != "HTTP/1.1" && words[2] != "HTTP/1.0" || !strings.HasPrefix(words[1], "/") {
		return nil, bad(400, "request line %.100q", line)
	}
	header, err := c.in.ReadMIMEHeader()
	if err != nil {
		return nil, c.cut(err)
	}
	for _, key := range []string{"Content-Length", "Transfer-Encoding", "Req-Id", "Req-Owner", "Req-Deadline-Ms",
		"Idempotency-Key"} {
		if len(header[key]) > 1 {
			return nil, bad(400, "%s stands twice", key)
		}
	}
	path, _, _ := strings.Cut(words[1], "?")
	req := &request{method: words[0], path: path, header: header,
		close: words[2] == "HTTP/1.0" || strings.EqualFold(header.Get("Connection"), "close")}
	// A request with a length and a coding may hide another in its body: nothing after the head is read.
	size := int64(maxBody) + 1
	coding, coded := header["Transfer-Encoding"]
	length, sized := header["Content-Length"]
	switch {
	case coded && (sized || !strings.EqualFold(coding[0], "chunked")):
		return nil, bad(400, "framing of the body")
	case coded:
	case !sized:
		size = 0
	default:
		n, bogus := strconv.ParseUint(length[0], 10, 63)
		if bogus != nil {
			return nil, bad(400, "Content-Length %.40q", length[0])
		}
		if n > maxBody {
			return nil, bad(413, "body of %d bytes; %d are allowed", n, maxBody)
		}
		size = int64(n)
	}
	if strings.EqualFold(header.Get("Expect"), "100-continue") {
		c.nc.SetWriteDeadline(time.Now().Add(writeTime))
		io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	c.limit.N = maxBody + maxHeader // the chunks' own lines included
	var body io.Reader = c.in.R
	if coded {
		body = &chunks{in: c.in}
	}
	if req.body, err = c.body(io.LimitReader(body, size)); err == nil && !coded && int64(len(req.body)) < size {
		err = io.ErrUnexpectedEOF
	}
	if len(req.body) > maxBody {
		return nil, bad(413, "body over %d bytes", maxBody)
	}
	if err != nil {
		return nil, c.cut(err)
	}
	return req, nil
}

// body takes in a body, holding no more memory than it has brought or there is room for.
func (c *client) body(in io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(in, freeBody))
	if err != nil || len(body) < freeBody {
		return body, err
	}
	if !c.f.reserve(maxBody) {
		return nil, bad(503, "too many long bodies are on their way")
	}
	defer c.f.reserve(-maxBody)
	rest, err := io.ReadAll(in)
	return append(body, rest...), err
}

// cut tells a request that is too large, too slow or malformed from a connection that ended.
func (c *client) cut(err error) error {
	var ne net.Error
	var re *refusal
	switch {
	case errors.As(err, &re):
		return err
	case c.limit.N <= 0:
		return bad(431, "request too large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return bad(408, "request did not come whole in time")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne), errors.Is(err, io.ErrClosedPipe):
		return err
	}
	return bad(400, "%v", err)
}

// serve answers one request and tells whether the connection goes on.
func (c *client) serve(ctx context.Context, req *request) bool {
	end := time.Now().Add(writeTime)
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
		return c.write(time.Now().Add(writeTime), 400, nil, errorBody(err.Error()), req.close)
	default:
		return false // the client is gone
	}
	switch answer.Verdict {
	case core.Answered:
		body, err := answerBody(answer)
		if err != nil {
			c.f.Log.Error("answer not fit for the protocol", "query", q.ID, "cause", err)
			return c.write(end, 500, nil, errorBody("answer can't be passed on"), req.close)
		}
		if len(body) > maxBody {
			c.f.Log.Error("answer too large for the protocol", "query", q.ID, "bytes", len(body))
			return c.write(end, 500, nil, errorBody("answer too large"), req.close)
		}
		return c.write(end, 200, nil, body, req.close)
	case core.Refused:
		return c.write(end, 503, retryAfter(answer.After), errorBody("refused"), req.close)
	}
	return c.write(end, 500, nil, errorBody("failed"), req.close)
}

// query reads what is asked.
func query(req *request) (core.Query, error) {
	now := time.Now()
	h := req.header
	class, _, _ := strings.Cut(strings.TrimPrefix(req.path, "/"), "/")
	ms, err := strconv.ParseUint(h.Get("Req-Deadline-Ms"), 10, 31)
	if err != nil || ms == 0 {
		return core.Query{}, bad(400, "Req-Deadline-Ms %.40q", h.Get("Req-Deadline-Ms"))
	}
	q := core.Query{ID: h.Get("Req-Id"), Class: class, Owner: h.Get("Req-Owner"), Retry: h.Get("Req-Retry") == "1",
		Deadline: now.Add(time.Duration(ms) * time.Millisecond), IdempotencyKey: h.Get("Idempotency-Key")}
	if q.Parts, q.Text, err = ask.Parts(req.body); err != nil {
		return q, bad(400, "%v", err)
	}
	return q, nil
}

// answerBody is an answer as clients get it. A document that is no text could only be passed on changed.
func answerBody(a core.Answer) ([]byte, error) {
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
			if !utf8.Valid(doc) {
				return nil, fmt.Errorf("document of shard %d is no text", h.Shard)
			}
			body.Hits = append(body.Hits, hit{h.Shard, string(doc)})
		}
	}
	return json.Marshal(body)
}

func errorBody(text string) []byte {
	data, _ := json.Marshal(map[string]string{"error": text})
	return data
}

// retryAfter is the header that tells when to come back, if anything may be told.
func retryAfter(d time.Duration) []byte {
	if d <= 0 {
		return nil
	}
	return fmt.Appendf(nil, "Retry-After: %.3f\r\n", d.Seconds())
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 413: "Content Too Large", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
	503: "Service Unavailable"}

// write sends an answer before end and tells whether the connection goes on.
func (c *client) write(end time.Time, status int, extra, body []byte, last bool) bool {
	c.f.mu.Lock()
	last = last || c.f.draining || c.f.crowded()
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
