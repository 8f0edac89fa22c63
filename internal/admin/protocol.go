package admin

import "encoding/json"

// maxRequestBytes is the most that a request's line may hold.
const maxRequestBytes = 64 << 10

// request is the line that a client sends.
type request struct {
	Command string          `json:"command"`
	Args    json.RawMessage `json:"args,omitempty"`
}

// response is the line that the server sends: a result, or why there is none.
type response struct {
	OK     json.RawMessage `json:"ok,omitempty"`
	Failed string          `json:"failed,omitempty"`
}
