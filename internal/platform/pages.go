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
	in       *bufio.Reader
	onIdle   func() // called at each blank line between messages: nothing has changed
	message  []byte
	depth    int // of braces and brackets that are open
	inString bool
	escaped  bool
}

func newPageReader(in io.Reader, idle func()) *pageReader {
	return &pageReader{in: bufio.NewReader(in), onIdle: idle}
}

// next reads one message.
func (r *pageReader) next() (*page, error) {
	r.message, r.depth, r.inString, r.escaped = r.message[:0], 0, false, false
	for {
		line, err := r.in.ReadBytes('\n')
		line = bytes.TrimSpace(line)
		if err != nil && (err != io.EOF || len(line) == 0) { // a body of a length may lack its last line's end
			return nil, err
		}
		switch {
		case len(line) == 0 && len(r.message) == 0:
			r.onIdle()
			continue
		case len(line) == 0:
			return nil, errCutPage
		}
		begins := len(r.message) == 0
		r.message = append(append(r.message, line...), '\n')
		r.trackDepth(line)
		if r.depth > 0 {
			if begins && !continues(line) {
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
func continues(line []byte) bool { return bytes.IndexByte([]byte("{[,"), line[len(line)-1]) >= 0 }

// scan follows how deep in an object a line ends.
func (r *pageReader) trackDepth(line []byte) {
	for _, b := range line {
		switch {
		case r.escaped:
			r.escaped = false
		case r.inString:
			r.escaped, r.inString = b == '\\', b != '"'
		case b == '"':
			r.inString = true
		case b == '{', b == '[':
			r.depth++
		case b == '}', b == ']':
			r.depth--
		}
	}
}
