package platform

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// errCutPage reports a message of discovery whose rest never came.
var errCutPage = errors.New("message cut")

// pageReader reads discovery's messages: JSON objects, each on a line or indented over several, and blank lines between
// them. A blank line within an object tells that its rest is lost; blank lines alone would keep such a watch open for good.
type pageReader struct {
	in      *bufio.Reader
	idle    func() // called at each blank line between messages: nothing has changed
	message []byte
	depth   int // of braces and brackets that are open
	text    bool
	escaped bool
}

func newPageReader(in io.Reader, idle func()) *pageReader {
	return &pageReader{in: bufio.NewReader(in), idle: idle}
}

// next reads one message.
func (r *pageReader) next() (*page, error) {
	r.message, r.depth, r.text, r.escaped = r.message[:0], 0, false, false
	for {
		line, err := r.in.ReadBytes('\n')
		line = bytes.TrimSpace(line)
		if err != nil && (err != io.EOF || len(line) == 0) { // a body of a length may lack its last line's end
			return nil, err
		}
		switch {
		case len(line) == 0 && len(r.message) == 0:
			r.idle()
			continue
		case len(line) == 0:
			return nil, errCutPage
		}
		begins := len(r.message) == 0
		r.message = append(append(r.message, line...), '\n')
		r.scan(line)
		if r.depth > 0 {
			if begins && !goesOn(line) {
				return nil, errCutPage
			}
			continue
		}
		p := new(page)
		if err := json.Unmarshal(r.message, p); err != nil {
			return nil, fmt.Errorf("list not understood: %w", err)
		}
		return p, nil
	}
}

// goesOn tells whether a line that begins an object may have its rest on further lines.
func goesOn(line []byte) bool { return bytes.IndexByte([]byte("{[,"), line[len(line)-1]) >= 0 }

// scan follows how deep in an object a line ends.
func (r *pageReader) scan(line []byte) {
	for _, b := range line {
		switch {
		case r.escaped:
			r.escaped = false
		case r.text:
			r.escaped, r.text = b == '\\', b != '"'
		case b == '"':
			r.text = true
		case b == '{', b == '[':
			r.depth++
		case b == '}', b == ']':
			r.depth--
		}
	}
}
