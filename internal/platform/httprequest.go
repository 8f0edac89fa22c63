package platform

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"gullfall/internal/coordinator"
	"gullfall/internal/queryjson"
)

const (
	maxBody   = queryjson.MaxBytes
	maxHeader = 16 << 10
	// maxHeadLine is the most bytes that the request line or one header field may have.
	maxHeadLine = 4 << 10
	// freeBodyBytes of a body may always be read. Longer bodies are read only while Server.BodyMemory has room for them.
	freeBodyBytes = 4 << 10
)

// request is an HTTP request that was read completely. Of its header fields only those that the server uses are kept.
type request struct {
	method, path    string
	fields          requestFields
	framing         bodyFraming
	body            []byte
	close           bool      // the client wants the connection closed after the response
	expectsContinue bool      // the client waits for a 100 response before it sends the body
	arrived         time.Time // when its last byte arrived
}

// requestFields are the header fields of a query.
type requestFields struct {
	id, owner, deadlineMS, retry, idempotencyKey uniqueField
}

// uniqueField is a header field that a request may hold only once: with two values it would be ambiguous which one applies.
type uniqueField struct {
	value   string
	present bool
}

// set sets the value of the field.
func (f *uniqueField) set(name, value []byte) error {
	if f.present {
		return httpErrorf(400, "%s stands twice", name)
	}
	f.value, f.present = string(value), true
	return nil
}

// httpError is the error response to a request that can't be read or parsed.
type httpError struct {
	status int
	text   string
}

func (e *httpError) Error() string { return e.text }

func httpErrorf(status int, format string, args ...any) error {
	return &httpError{status, fmt.Sprintf(format, args...)}
}

// readRequest reads one request, headers and body. After an error it is unknown where the next request begins, so nothing more may be
// read from the connection.
func (c *clientConn) readRequest() (*request, error) {
	req, err := c.readHead()
	if err != nil {
		return nil, c.requestError(err)
	}
	if req.framing.size > maxBody {
		return nil, httpErrorf(413, "body of %d bytes; %d are allowed", req.framing.size, maxBody)
	}
	if req.expectsContinue {
		// A write error shows up in the next read.
		_ = c.conn.SetWriteDeadline(time.Now().Add(errorWriteTimeout))
		_, _ = io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	if req.body, err = c.readBody(req.framing); err != nil {
		return nil, err
	}
	req.arrived = c.in.arrivedAt(c.buffer.Buffered())
	return req, nil
}

// readHead reads the request line and the headers.
func (c *clientConn) readHead() (*request, error) {
	line, err := readLine(c.buffer)
	if err != nil {
		return nil, err
	}
	req, version, err := parseRequestLine(line)
	if err != nil {
		return nil, err
	}
	if err := readFields(c.buffer, req.addField); err != nil {
		return nil, err
	}
	if version == http10 {
		req.close = true
		if req.framing.chunked {
			return nil, fmt.Errorf("%w: %s has no transfer codings", errSyntax, version)
		}
	}
	return req, nil
}

// The versions of HTTP that are served.
const (
	http10 = "HTTP/1.0"
	http11 = "HTTP/1.1"
)

// parseRequestLine parses the first line of a request: a method, a path and the version, with one space between them.
func parseRequestLine(line []byte) (req *request, version string, err error) {
	words := strings.Split(string(line), " ")
	if len(words) != 3 || !isToken([]byte(words[0])) || !isPath(words[1]) || words[2] != http10 && words[2] != http11 {
		return nil, "", fmt.Errorf("%w: request line %.100q", errSyntax, line)
	}
	path, _, _ := strings.Cut(words[1], "?")
	return &request{method: words[0], path: path}, words[2], nil
}

// isPath reports whether text is a path, perhaps with a query: visible ASCII characters that begin with a slash.
func isPath(text string) bool {
	invalid := func(r rune) bool { return r <= ' ' || r > '~' }
	return strings.HasPrefix(text, "/") && strings.IndexFunc(text, invalid) < 0
}

// addField takes over a header field that the server uses, and skips any other.
func (r *request) addField(name, value []byte) error {
	switch {
	case fieldIs(name, "Req-Id"):
		return r.fields.id.set(name, value)
	case fieldIs(name, "Req-Owner"):
		return r.fields.owner.set(name, value)
	case fieldIs(name, "Req-Deadline-Ms"):
		return r.fields.deadlineMS.set(name, value)
	case fieldIs(name, "Req-Retry"):
		return r.fields.retry.set(name, value)
	case fieldIs(name, "Idempotency-Key"):
		return r.fields.idempotencyKey.set(name, value)
	case fieldIs(name, "Connection"):
		r.close = r.close || strings.EqualFold(string(value), "close")
	case fieldIs(name, "Expect"):
		r.expectsContinue = strings.EqualFold(string(value), "100-continue")
	}
	return r.framing.add(name, value)
}

// readBody reads a body of at most maxBody bytes. Beyond freeBodyBytes it reserves memory before it reads, and fails if none is left.
// releaseBody returns the memory.
func (c *clientConn) readBody(framing bodyFraming) (body []byte, err error) {
	c.in.allowance = maxBody + maxHeader // includes the chunk size lines and trailers
	if framing.chunked {
		body, err = c.readChunkedBody()
	} else {
		body, err = c.readSizedBody(framing.size)
	}
	if err != nil {
		c.releaseBody()
		return nil, c.requestError(err)
	}
	return body, nil
}

// readSizedBody reads a body whose size is known.
func (c *clientConn) readSizedBody(size int64) ([]byte, error) {
	if size > freeBodyBytes {
		if err := c.reserveBody(size); err != nil {
			return nil, err
		}
	}
	body := make([]byte, size)
	_, err := io.ReadFull(c.buffer, body)
	return body, unexpectedEOF(err)
}

// readChunkedBody reads a body that comes in chunks.
func (c *clientConn) readChunkedBody() ([]byte, error) {
	in := &chunkReader{in: c.buffer}
	body := make([]byte, freeBodyBytes)
	read, err := io.ReadFull(in, body)
	if in.done || err != nil {
		return body[:read], errorUnlessDone(in, err)
	}
	if err := c.reserveBody(maxBody); err != nil {
		return nil, err
	}
	long := make([]byte, maxBody+1)
	copy(long, body)
	more, err := io.ReadFull(in, long[read:])
	if err == nil {
		return nil, httpErrorf(413, "body over %d bytes", maxBody)
	}
	return long[:read+more], errorUnlessDone(in, err)
}

// errorUnlessDone returns nil if a body was read to its end, which io.ReadFull reports as an error, and otherwise the error.
func errorUnlessDone(in *chunkReader, err error) error {
	if in.done {
		return nil
	}
	return unexpectedEOF(err)
}

// reserveBody reserves memory for a long body.
func (c *clientConn) reserveBody(size int64) error {
	if !c.server.reserveMemory(size) {
		return httpErrorf(503, "too many long bodies are on their way")
	}
	c.bodyBytes = size
	return nil
}

// releaseBody returns the memory of the current body, which is not used any more.
func (c *clientConn) releaseBody() {
	c.server.reserveMemory(-c.bodyBytes)
	c.bodyBytes = 0
}

// requestError converts a read error to the error response for a request that is too large, too slow or malformed. The error
// of a connection that has ended is returned unchanged, since no client is left to read a response.
func (c *clientConn) requestError(err error) error {
	var netErr net.Error
	var httpErr *httpError
	switch {
	case errors.As(err, &httpErr):
		return err
	case c.in.allowance <= 0, errors.Is(err, errLineTooLong), errors.Is(err, errTooManyFields):
		return httpErrorf(431, "request too large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return httpErrorf(408, "request did not come whole in time")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr), errors.Is(err, io.ErrClosedPipe):
		return err
	}
	return httpErrorf(400, "%v", err)
}

// parseQuery parses the query in a request. Its deadline counts from the last byte of the request.
func parseQuery(req *request) (coordinator.Query, error) {
	fields, deadlineMS := req.fields, req.fields.deadlineMS.value
	class, _, _ := strings.Cut(strings.TrimPrefix(req.path, "/"), "/")
	ms, err := strconv.ParseUint(deadlineMS, 10, 31)
	if err != nil || ms == 0 {
		return coordinator.Query{}, httpErrorf(400, "Req-Deadline-Ms %.40q", deadlineMS)
	}
	q := coordinator.Query{ID: fields.id.value, Class: class, Tenant: fields.owner.value, Retry: fields.retry.value == "1",
		Deadline: req.arrived.Add(time.Duration(ms) * time.Millisecond), IdempotencyKey: fields.idempotencyKey.value}
	if q.Parts, q.Text, err = queryjson.Parts(req.body); err != nil {
		return q, httpErrorf(400, "%v", err)
	}
	return q, nil
}
