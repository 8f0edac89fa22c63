package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"
	"unicode/utf8"

	"gullfall/internal/coordinator"
)

// statusText holds the reason phrases of the statuses in use.
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

// response is one final answer as it goes to a client.
type response struct {
	status  int
	header  []byte // further lines of the head
	body    []byte
	last    bool      // the connection ends with it
	writeBy time.Time // until when it may be written
}

// errorResponse tells a client what is wrong.
func errorResponse(status int, text string) response {
	return response{status: status, body: errorBody(text), writeBy: time.Now().Add(errorWriteTimeout)}
}

// encode returns the bytes of a response.
func (r response) encode() []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", r.status,
		statusText[r.status], len(r.body))
	out.Write(r.header)
	if r.last {
		out.WriteString("Connection: close\r\n")
	}
	out.WriteString("\r\n")
	out.Write(r.body)
	return out.Bytes()
}

// answerBody is an answer as clients get it. It fails for a document that is no text: JSON could only hold it changed.
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
				return nil, fmt.Errorf("document of shard %d is no text", value.Shard)
			}
			body.Hits = append(body.Hits, hit{value.Shard, string(doc)})
		}
	}
	return json.Marshal(body)
}

// errorBody is an error as clients get it.
func errorBody(text string) []byte {
	data, _ := json.Marshal(map[string]string{"error": text}) // strings can always be encoded
	return data
}

// retryAfter is the header that tells when to come back, or nothing where d is 0.
func retryAfter(d time.Duration) []byte {
	if d <= 0 {
		return nil
	}
	return fmt.Appendf(nil, "Retry-After: %.3f\r\n", d.Seconds())
}
