package platform

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
	"unicode/utf8"

	"gullfall/internal/coordinator"
)

const (
	// readFrameTimeout limits the time from the first byte of a frame to its last. Data nodes write each frame in one piece.
	readFrameTimeout = 100 * time.Millisecond
	// frameEndWait is how long nothing must follow a frame that has not arrived in one piece. The rest of the same write takes one
	// round trip at most, when it waits for the receive window.
	frameEndWait = 5 * time.Millisecond
)

// errCorrupt reports bytes that a data node should not have sent. The connection can't be read any further.
var errCorrupt = errors.New("corrupt frame")

// receivedFrame is a frame from a data node: the answer to a part, or to a health or load check if the id is empty.
type receivedFrame struct {
	id         string
	outcome    coordinator.Outcome
	value      []byte
	loadReport map[string]float64
}

// frameConn is the connection that a frameReader reads from.
type frameConn interface {
	io.Reader
	SetReadDeadline(t time.Time) error
}

// pieceReader reads from a connection and records how the data arrives.
type pieceReader struct {
	frameConn
	reads  int
	filled bool // the last read filled its buffer, so more may have arrived
}

func (p *pieceReader) Read(buf []byte) (int, error) {
	n, err := p.frameConn.Read(buf)
	p.reads++
	p.filled = n == len(buf)
	return n, err
}

// frameReader reads the frames of a data node. It accepts only what is unambiguously a valid answer: an error that wraps
// errCorrupt means that sender and reader no longer agree on where frames begin.
type frameReader struct {
	conn    *pieceReader
	in      *bufio.Reader
	begunAt int                  // value of conn.reads when the current frame began
	expects func(id string) bool // reports whether the answer to a part may arrive
}

func newFrameReader(conn frameConn, expects func(id string) bool) *frameReader {
	pieces := &pieceReader{frameConn: conn}
	return &frameReader{conn: pieces, in: bufio.NewReaderSize(pieces, maxFrameLine), expects: expects}
}

// awaitFrame blocks until the first byte of a frame has arrived.
func (r *frameReader) awaitFrame() error {
	_, err := r.in.Peek(1)
	return err
}

// next reads a frame. It allocates memory only after the header has been validated. The frame counts only once checkEnd has
// found no error.
func (r *frameReader) next() (receivedFrame, error) {
	if err := r.awaitFrame(); err != nil {
		return receivedFrame{}, err
	}
	r.begunAt = r.conn.reads
	header, err := r.in.Peek(frameHeaderBytes)
	if err != nil {
		return receivedFrame{}, err
	}
	n, frameType := parseHeader(header)
	if !validHeader(n, frameType) {
		return receivedFrame{}, fmt.Errorf("%w: %d bytes, type %q", errCorrupt, n+1, frameType)
	}
	if _, err := r.in.Discard(frameHeaderBytes); err != nil {
		return receivedFrame{}, err
	}
	if frameType == frameTypeAnswer {
		return r.readAnswer(n)
	}
	return r.readControlFrame(n, frameType)
}

// readControlFrame reads the n payload bytes of a frame other than an answer to a part.
func (r *frameReader) readControlFrame(n int, frameType byte) (receivedFrame, error) {
	if n > maxFrameLine {
		return receivedFrame{}, fmt.Errorf("%w: frame of type %q has %d bytes", errCorrupt, frameType, n)
	}
	payload := make([]byte, n)
	if _, err := io.ReadFull(r.in, payload); err != nil {
		return receivedFrame{}, err
	}
	if frameType == frameTypeError {
		return receivedFrame{}, fmt.Errorf("%w: data node reported an error: %.200q", errCorrupt, payload)
	}
	report := strings.TrimSpace(string(payload))
	f := receivedFrame{outcome: coordinator.OK, loadReport: parseLoadReport(report)}
	if report == checkFailed {
		f.outcome = coordinator.Errored
	}
	return f, nil
}

// readAnswer reads the n payload bytes of an answer: a line "ID OUTCOME SCORE REPORT", then the value.
func (r *frameReader) readAnswer(n int) (receivedFrame, error) {
	line, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || len(line) > n {
		err = fmt.Errorf("%w: unterminated answer line", errCorrupt)
	}
	if err != nil {
		return receivedFrame{}, err
	}
	words := strings.Fields(string(line))
	if len(words) < 4 || answerOutcomes[words[1]] == 0 || !r.expects(words[0]) {
		return receivedFrame{}, fmt.Errorf("%w: invalid answer line %.200q", errCorrupt, line)
	}
	value := make([]byte, n-len(line))
	if _, err := io.ReadFull(r.in, value); err != nil {
		return receivedFrame{}, err
	}
	// A length that is too large includes the start of the next frame, which is no text.
	if !isText(value) {
		return receivedFrame{}, fmt.Errorf("%w: invalid value of part %s", errCorrupt, words[0])
	}
	return receivedFrame{id: words[0], outcome: answerOutcomes[words[1]], value: value,
		loadReport: parseLoadReport(strings.Join(words[3:], " "))}, nil
}

// checkEnd checks where the frame that next has returned ends: nothing may follow it but another frame. Behind a frame with a
// length that is too small follows its remainder, and behind one that is too large the rest of the next frame. Data nodes write a
// frame in one piece. If it has not arrived in one, its remainder may still be on the way: checkEnd waits for it.
func (r *frameReader) checkEnd() error {
	if r.in.Buffered() == 0 && r.arrivedInOnePiece() {
		return nil
	}
	// If setting a deadline fails, the connection is closed and the read fails too.
	_ = r.conn.SetReadDeadline(time.Now().Add(frameEndWait))
	if r.awaitFrame() != nil {
		return nil // silence, or the end of the connection: nothing follows
	}
	_ = r.conn.SetReadDeadline(time.Now().Add(readFrameTimeout))
	header, err := r.in.Peek(frameHeaderBytes)
	if err != nil || !validHeader(parseHeader(header)) {
		return fmt.Errorf("%w: %.20q follows a frame", errCorrupt, header)
	}
	return nil
}

// arrivedInOnePiece reports whether the current frame, and nothing behind it, had arrived when it was begun.
func (r *frameReader) arrivedInOnePiece() bool { return r.conn.reads == r.begunAt && !r.conn.filled }

// isText reports whether a value can be passed to a client unchanged: UTF-8 without control characters except line ends and tabs.
func isText(value []byte) bool {
	return utf8.Valid(value) && bytes.IndexFunc(value, func(r rune) bool { return r < ' ' && r != '\n' && r != '\r' && r != '\t' }) < 0
}
