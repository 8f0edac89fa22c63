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

// request is one that was read whole.
type request struct {
	method, path string
	header       textproto.MIMEHeader
	body         []byte
	close        bool
	arrived      time.Time // when its last byte had come in
}

// refusal is an answer to what can't be read or understood.
type httpError struct {
	status int
	text   string
}

func (r *httpError) Error() string { return r.text }

func httpErrorf(status int, format string, args ...any) error {
	return &httpError{status, fmt.Sprintf(format, args...)}
}

// read takes in one request.
func (c *clientConn) readRequest() (*request, error) {
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
	for _, key := range []string{"Content-Length", "Transfer-Encoding", "Req-Id", "Req-Owner", "Req-Deadline-Ms",
		"Idempotency-Key"} {
		if len(header[key]) > 1 {
			return nil, httpErrorf(400, "%s stands twice", key)
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
		return nil, httpErrorf(400, "framing of the body")
	case coded:
	case !sized:
		size = 0
	default:
		n, bogus := strconv.ParseUint(length[0], 10, 63)
		if bogus != nil {
			return nil, httpErrorf(400, "Content-Length %.40q", length[0])
		}
		if n > maxBody {
			return nil, httpErrorf(413, "body of %d bytes; %d are allowed", n, maxBody)
		}
		size = int64(n)
	}
	if strings.EqualFold(header.Get("Expect"), "100-continue") {
		c.nc.SetWriteDeadline(time.Now().Add(errorWriteTimeout))
		io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	c.in.allowance = maxBody + maxHeader // the chunks' own lines included
	var body io.Reader = c.text.R
	if coded {
		body = &chunkReader{in: c.text}
	}
	if req.body, err = c.readBody(io.LimitReader(body, size)); err == nil && !coded && int64(len(req.body)) < size {
		err = io.ErrUnexpectedEOF
	}
	if len(req.body) > maxBody {
		return nil, httpErrorf(413, "body over %d bytes", maxBody)
	}
	if err != nil {
		return nil, c.requestError(err)
	}
	req.arrived = c.in.arrivedAt(c.text.R.Buffered())
	return req, nil
}

// body takes in a body, holding no more memory than it has brought or there is room for.
func (c *clientConn) readBody(in io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(in, freeBodyBytes))
	if err != nil || len(body) < freeBodyBytes {
		return body, err
	}
	if !c.clients.reserveMemory(maxBody) {
		return nil, httpErrorf(503, "too many long bodies are on their way")
	}
	defer c.clients.reserveMemory(-maxBody)
	rest, err := io.ReadAll(in)
	return append(body, rest...), err
}

// cut tells a request that is too large, too slow or malformed from a connection that ended.
func (c *clientConn) requestError(err error) error {
	var ne net.Error
	var re *httpError
	switch {
	case errors.As(err, &re):
		return err
	case c.in.allowance <= 0:
		return httpErrorf(431, "request too large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return httpErrorf(408, "request did not come whole in time")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne), errors.Is(err, io.ErrClosedPipe):
		return err
	}
	return httpErrorf(400, "%v", err)
}

// query reads what is asked.
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
