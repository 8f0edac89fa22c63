package platform

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
	"unicode/utf8"

	"gullfall/internal/coordinator"
)

// A frame on the wire is a length of four bytes, least significant first, a letter, and the rest. The length counts the
// letter and the rest.
const (
	frameLengthBytes = 4
	frameHeadBytes   = frameLengthBytes + 1

	maxFrameBytes = maxBody + 1<<10 // the longest frame that a data node may send
	maxFrameLine  = 1 << 10         // the longest line in it, bytes
)

// The letters of frames.
const (
	letterCall        = 'Q' // a line for each part, with the text of the query behind it
	letterCancel      = 'X' // the id of a part
	letterHealthCheck = 'P' // empty, or its answer: ok or err
	letterLoadCheck   = 'L' // empty, or its answer: a load report or err
	letterAnswer      = 'A' // a line, with the value behind it
	letterError       = 'E' // what the data node could not use, in words

	lettersFromNode = "APLE"
)

// The options in a part's line of a call, and the answer to a check that failed.
const (
	optionTimeLeft       = "d=" // milliseconds
	optionIdempotencyKey = ",k="
	checkFailed          = "err"
)

// answerOutcomes are the outcomes by their words in an answer.
var answerOutcomes = map[string]coordinator.Outcome{"ok": coordinator.OK, "err": coordinator.Errored, "busy": coordinator.Overloaded}

// errCorrupt reports bytes that a data node should not have sent. Its connection can't be read any further.
var errCorrupt = errors.New("corrupt frame")

// beginFrame returns a frame without its rest; finishFrame completes it.
func beginFrame(letter byte) []byte {
	frame := make([]byte, frameLengthBytes, frameHeadBytes)
	return append(frame, letter)
}

// finishFrame sets the length of a frame whose rest was appended.
func finishFrame(frame []byte) []byte {
	binary.LittleEndian.PutUint32(frame, uint32(len(frame)-frameLengthBytes))
	return frame
}

// isEmpty tells whether a frame has no rest.
func isEmpty(frame []byte) bool { return len(frame) == frameHeadBytes }

// appendPart adds a part to a call. timeLeft is how long the coordinator waits for its answer.
func appendPart(frame []byte, a *coordinator.Attempt, timeLeft time.Duration) []byte {
	frame = fmt.Appendf(frame, "%s %d "+optionTimeLeft+"%d", a.ID, a.Shard, timeLeft.Milliseconds())
	if a.IdempotencyKey != "" {
		frame = fmt.Appendf(frame, optionIdempotencyKey+"%s", a.IdempotencyKey)
	}
	return fmt.Appendf(frame, " %d\n%s", len(a.Text), a.Text)
}

// cancelFrame tells the data node to give up a part.
func cancelFrame(id string) []byte { return finishFrame(append(beginFrame(letterCancel), id...)) }

// loadCheckFrame asks the data node for its load report.
func loadCheckFrame() []byte { return finishFrame(beginFrame(letterLoadCheck)) }

// receivedFrame is what a data node has sent: the answer to a part, or to a health check where the id is empty.
type receivedFrame struct {
	id         string
	outcome    coordinator.Outcome
	value      []byte
	loadReport map[string]float64
}

// frameReader reads the frames of a data node. It takes nothing for an answer that may be anything else: an error that wraps
// errCorrupt means that the sender and the reader no longer agree where frames begin.
type frameReader struct {
	in      *bufio.Reader
	expects func(id string) bool // whether the answer to a part may come
}

func newFrameReader(in io.Reader, expects func(id string) bool) *frameReader {
	return &frameReader{in: bufio.NewReaderSize(in, maxFrameLine), expects: expects}
}

// awaitFrame returns once the first byte of a frame is there.
func (r *frameReader) awaitFrame() error {
	_, err := r.in.Peek(1)
	return err
}

// next reads a frame. No memory is taken for it before its head is plausible.
func (r *frameReader) next() (receivedFrame, error) {
	head, err := r.in.Peek(frameHeadBytes)
	if err != nil {
		return receivedFrame{}, err
	}
	n, letter := parseHead(head)
	if !plausibleHead(n, letter) {
		return receivedFrame{}, fmt.Errorf("%w: %d bytes, letter %q", errCorrupt, n+1, letter)
	}
	if _, err := r.in.Discard(frameHeadBytes); err != nil {
		return receivedFrame{}, err
	}
	if letter == letterAnswer {
		return r.readAnswer(n)
	}
	return r.readShort(n, letter)
}

// readShort reads the n bytes of a frame that is no answer to a part.
func (r *frameReader) readShort(n int, letter byte) (receivedFrame, error) {
	if n > maxFrameLine {
		return receivedFrame{}, fmt.Errorf("%w: %q of %d bytes", errCorrupt, letter, n)
	}
	rest := make([]byte, n)
	if _, err := io.ReadFull(r.in, rest); err != nil {
		return receivedFrame{}, err
	}
	if letter == letterError {
		return receivedFrame{}, fmt.Errorf("%w: the data node could not use a frame: %.200q", errCorrupt, rest)
	}
	report := strings.TrimSpace(string(rest))
	f := receivedFrame{outcome: coordinator.OK, loadReport: parseLoadReport(report)}
	if report == checkFailed {
		f.outcome = coordinator.Errored
	}
	return f, nil
}

// readAnswer reads the n bytes of an answer: a line "ID OUTCOME SCORE REPORT", then the value.
func (r *frameReader) readAnswer(n int) (receivedFrame, error) {
	line, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || len(line) > n {
		err = fmt.Errorf("%w: line without an end", errCorrupt)
	}
	if err != nil {
		return receivedFrame{}, err
	}
	words := strings.Fields(string(line))
	if len(words) < 4 || answerOutcomes[words[1]] == 0 || !r.expects(words[0]) {
		return receivedFrame{}, fmt.Errorf("%w: answer %.200q", errCorrupt, line)
	}
	value := make([]byte, n-len(line))
	if _, err := io.ReadFull(r.in, value); err != nil {
		return receivedFrame{}, err
	}
	// With a wrong length the value is cut, and its rest follows, or it holds the beginning of the next frame.
	if !isText(value) || !r.frameFollows() {
		return receivedFrame{}, fmt.Errorf("%w: value of %s", errCorrupt, words[0])
	}
	return receivedFrame{id: words[0], outcome: answerOutcomes[words[1]], value: value,
		loadReport: parseLoadReport(strings.Join(words[3:], " "))}, nil
}

// frameFollows tells whether the bytes that have come in behind a frame, if any, begin another.
func (r *frameReader) frameFollows() bool {
	if r.in.Buffered() == 0 {
		return true
	}
	next, err := r.in.Peek(frameHeadBytes)
	return err == nil && plausibleHead(parseHead(next))
}

// parseHead returns the length of a frame's rest, and its letter.
func parseHead(head []byte) (n int, letter byte) {
	return int(binary.LittleEndian.Uint32(head)) - 1, head[frameLengthBytes]
}

// plausibleHead tells whether a data node may send a frame with this head.
func plausibleHead(n int, letter byte) bool {
	return n >= 0 && n < maxFrameBytes && strings.IndexByte(lettersFromNode, letter) >= 0
}

// isText tells whether a client can be handed a value unchanged: UTF-8, with no control character but line ends and tabs.
func isText(value []byte) bool {
	return utf8.Valid(value) && bytes.IndexFunc(value, func(r rune) bool { return r < ' ' && r != '\n' && r != '\r' && r != '\t' }) < 0
}
