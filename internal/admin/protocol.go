package admin

import "encoding/json"

// maxRequestBytes is the maximum length of a request line.
const maxRequestBytes = 64 << 10

// request is a line from the client.
type request struct {
	Command string          `json:"command"`
	Args    json.RawMessage `json:"args,omitempty"`
}

// response is a line from the server: a result, or the reason of a failure.
type response struct {
	OK     json.RawMessage `json:"ok,omitempty"`
	Failed string          `json:"failed,omitempty"`
}
