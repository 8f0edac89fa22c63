package platform

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
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
	// freeBodyBytes of a body may always be read. Longer bodies are read only while Server.BodyMemory has room for them.
	freeBodyBytes = 4 << 10
)

// uniqueHeaders are the headers that a request may hold only once: with two values it would be ambiguous which one applies.
var uniqueHeaders = []string{"Content-Length", "Transfer-Encoding", "Req-Id", "Req-Owner", "Req-Deadline-Ms", "Idempotency-Key"}

// request is an HTTP request that was read completely.
type request struct {
	method, path string
	header       textproto.MIMEHeader
	body         []byte
	close        bool      // the client wants the connection closed after the response
	arrived      time.Time // when its last byte arrived
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

// readRequest reads one request, headers and body.
func (c *clientConn) readRequest() (*request, error) {
	req, err := c.readHead()
	if err != nil {
		return nil, err
	}
	framing, err := parseBodyFraming(req.header)
	if err != nil {
		return nil, err
	}
	if strings.EqualFold(req.header.Get("Expect"), "100-continue") {
		// A write error shows up in the next read.
		_ = c.conn.SetWriteDeadline(time.Now().Add(errorWriteTimeout))
		_, _ = io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	if req.body, err = c.readBody(framing); err != nil {
		return nil, err
	}
	req.arrived = c.in.arrivedAt(c.text.R.Buffered())
	return req, nil
}

// readHead reads the request line and the headers.
func (c *clientConn) readHead() (*request, error) {
	line, err := c.text.ReadLine()
	if err != nil {
		return nil, c.requestError(err)
	}
	words := strings.Split(line, " ")
	if len(words) != 3 || words[2] != "HTTP/1.1" && words[2] != "HTTP/1.0" || !strings.HasPrefix(words[1], "/") {
		return nil, httpErrorf(400, "request line %.100q", line)
	}
	header, err := c.text.ReadMIMEHeader()
	if err != nil {
		return nil, c.requestError(err)
	}
	for _, key := range uniqueHeaders {
		if len(header[key]) > 1 {
			return nil, httpErrorf(400, "%s stands twice", key)
		}
	}
	path, _, _ := strings.Cut(words[1], "?")
	return &request{method: words[0], path: path, header: header,
		close: words[2] == "HTTP/1.0" || strings.EqualFold(header.Get("Connection"), "close")}, nil
}

// bodyFraming tells where a body ends: after its last chunk, or after size bytes.
type bodyFraming struct {
	chunked bool
	size    int64 // of a body that is not chunked
}

// parseBodyFraming parses the headers that frame a body. Having both a length and a transfer coding is an error, because it
// could hide another request in the body (request smuggling).
func parseBodyFraming(header textproto.MIMEHeader) (bodyFraming, error) {
	coding, coded := header["Transfer-Encoding"]
	length, sized := header["Content-Length"]
	switch {
	case coded && (sized || !strings.EqualFold(coding[0], "chunked")):
		return bodyFraming{}, httpErrorf(400, "framing of the body")
	case coded:
		return bodyFraming{chunked: true}, nil
	case !sized:
		return bodyFraming{}, nil
	}
	n, err := strconv.ParseUint(length[0], 10, 63)
	if err != nil {
		return bodyFraming{}, httpErrorf(400, "Content-Length %.40q", length[0])
	}
	if n > maxBody {
		return bodyFraming{}, httpErrorf(413, "body of %d bytes; %d are allowed", n, maxBody)
	}
	return bodyFraming{size: int64(n)}, nil
}

// readBody reads a body of at most maxBody bytes.
func (c *clientConn) readBody(framing bodyFraming) ([]byte, error) {
	c.in.allowance = maxBody + maxHeader // includes the chunk size lines and trailers
	in := io.LimitReader(c.text.R, framing.size)
	if framing.chunked {
		in = io.LimitReader(&chunkReader{in: c.text}, maxBody+1)
	}
	body, err := c.readAll(in)
	if err == nil && !framing.chunked && int64(len(body)) < framing.size {
		err = io.ErrUnexpectedEOF
	}
	if len(body) > maxBody {
		return nil, httpErrorf(413, "body over %d bytes", maxBody)
	}
	if err != nil {
		return nil, c.requestError(err)
	}
	return body, nil
}

// readAll reads a body. Beyond freeBodyBytes it reserves memory first, and fails if none is left.
func (c *clientConn) readAll(in io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(in, freeBodyBytes))
	if err != nil || len(body) < freeBodyBytes {
		return body, err
	}
	if !c.server.reserveMemory(maxBody) {
		return nil, httpErrorf(503, "too many long bodies are on their way")
	}
	defer c.server.reserveMemory(-maxBody)
	rest, err := io.ReadAll(in)
	return append(body, rest...), err
}

// requestError converts a read error to the error response for a request that is too large, too slow or malformed. The error
// of a connection that has ended is returned unchanged, since no client is left to read a response.
func (c *clientConn) requestError(err error) error {
	var netErr net.Error
	var httpErr *httpError
	switch {
	case errors.As(err, &httpErr):
		return err
	case c.in.allowance <= 0:
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
	h := req.header
	class, _, _ := strings.Cut(strings.TrimPrefix(req.path, "/"), "/")
	ms, err := strconv.ParseUint(h.Get("Req-Deadline-Ms"), 10, 31)
	if err != nil || ms == 0 {
		return coordinator.Query{}, httpErrorf(400, "Req-Deadline-Ms %.40q", h.Get("Req-Deadline-Ms"))
	}
	q := coordinator.Query{ID: h.Get("Req-Id"), Class: class, Tenant: h.Get("Req-Owner"), Retry: h.Get("Req-Retry") == "1",
		Deadline: req.arrived.Add(time.Duration(ms) * time.Millisecond), IdempotencyKey: h.Get("Idempotency-Key")}
	if q.Parts, q.Text, err = queryjson.Parts(req.body); err != nil {
		return q, httpErrorf(400, "%v", err)
	}
	return q, nil
}
