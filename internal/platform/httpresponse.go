package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"
	"unicode/utf8"

	"gullfall/internal/coordinator"
)

// statusText maps the status codes in use to their reason phrases.
var statusText = map[int]string{
	200: "OK",
	400: "Bad Request",
	404: "Not Found",
	405: "Method Not Allowed",
	408: "Request Timeout",
	413: "Content Too Large",
	431: "Request Header Fields Too Large",
	500: "Internal Server Error",
	503: "Service Unavailable",
}

// response is a final HTTP response to a client.
type response struct {
	status    int
	header    []byte // additional header lines
	body      []byte
	closeConn bool      // the connection is closed after it
	paced     bool      // further ones on the same connection are paced, although it is no error
	writeBy   time.Time // write deadline
}

// errorResponse returns a response whose body holds an error text.
func errorResponse(status int, text string) response {
	return response{status: status, body: errorBody(text), writeBy: time.Now().Add(errorWriteTimeout)}
}

// refusal returns the response to a query that was rejected and of which nothing has run.
func refusal(retryAfter time.Duration) response {
	r := errorResponse(503, "refused")
	r.header = retryAfterHeader(retryAfter)
	return r
}

// encode returns the wire form of a response.
func (r response) encode() []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", r.status,
		statusText[r.status], len(r.body))
	out.Write(r.header)
	if r.closeConn {
		out.WriteString("Connection: close\r\n")
	}
	out.WriteString("\r\n")
	out.Write(r.body)
	return out.Bytes()
}

// answerBody encodes an answer as JSON. It fails for a document that is not valid UTF-8, which JSON would alter.
func answerBody(a coordinator.Answer) ([]byte, error) {
	type hit struct {
		Shard int    `json:"shard"`
		Doc   string `json:"doc"`
	}
	body := struct {
		Complete bool  `json:"complete"`
		Hits     []hit `json:"hits"`
	}{a.Complete, []hit{}}
	for _, value := range a.Values {
		for _, doc := range value.Docs {
			if !utf8.Valid(doc) {
				return nil, fmt.Errorf("document of shard %d is not valid UTF-8", value.Shard)
			}
			body.Hits = append(body.Hits, hit{value.Shard, string(doc)})
		}
	}
	return json.Marshal(body)
}

// errorBody encodes an error text as JSON.
func errorBody(text string) []byte {
	data, _ := json.Marshal(map[string]string{"error": text}) // encoding strings never fails
	return data
}

// retryAfterHeader returns a Retry-After header line, or nil if d is not positive.
func retryAfterHeader(d time.Duration) []byte {
	if d <= 0 {
		return nil
	}
	return fmt.Appendf(nil, "Retry-After: %.3f\r\n", d.Seconds())
}
