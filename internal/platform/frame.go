package platform

import (
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"gullfall/internal/coordinator"
)

// A frame on the wire is a length of four bytes in little-endian order, a type byte, and the payload. The length counts the
// type byte and the payload.
const (
	frameLengthBytes = 4
	frameHeaderBytes = frameLengthBytes + 1

	maxFrameBytes = maxBody + 1<<10 // longest frame that a data node may send
	maxFrameLine  = 1 << 10         // longest line in a frame, and longest payload of a frame that is not an answer
)

// Frame types.
const (
	frameTypeCall        = 'Q' // for each part a line, followed by the text of the query
	frameTypeCancel      = 'X' // id of a part
	frameTypeHealthCheck = 'P' // empty; the answer holds ok or err
	frameTypeLoadCheck   = 'L' // empty; the answer holds a load report or err
	frameTypeAnswer      = 'A' // a line, followed by the value
	frameTypeError       = 'E' // message from a data node that could not use a frame

	nodeFrameTypes = "APLE" // the types that a data node may send; the answer to a check has the type of the check
)

// Options in the line of a part in a call, and the answer to a failed check.
const (
	optionTimeLeft       = "d=" // milliseconds
	optionIdempotencyKey = ",k="
	checkFailed          = "err"
)

// answerOutcomes maps the outcome words of an answer to outcomes.
var answerOutcomes = map[string]coordinator.Outcome{"ok": coordinator.OK, "err": coordinator.Errored, "busy": coordinator.Overloaded}

// beginFrame returns a frame without payload; finishFrame completes it.
func beginFrame(frameType byte) []byte {
	frame := make([]byte, frameLengthBytes, frameHeaderBytes)
	return append(frame, frameType)
}

// finishFrame sets the length of a frame whose payload has been appended.
func finishFrame(frame []byte) []byte {
	binary.LittleEndian.PutUint32(frame, uint32(len(frame)-frameLengthBytes))
	return frame
}

// isEmpty reports whether a frame has no payload.
func isEmpty(frame []byte) bool { return len(frame) == frameHeaderBytes }

// appendPart appends a part to a call. timeLeft is how long the coordinator will wait for the answer.
func appendPart(frame []byte, a *coordinator.Attempt, timeLeft time.Duration) []byte {
	frame = fmt.Appendf(frame, "%s %d "+optionTimeLeft+"%d", a.ID, a.Shard, timeLeft.Milliseconds())
	if a.IdempotencyKey != "" {
		frame = fmt.Appendf(frame, optionIdempotencyKey+"%s", a.IdempotencyKey)
	}
	return fmt.Appendf(frame, " %d\n%s", len(a.Text), a.Text)
}

// cancelFrame returns a frame that asks the data node to cancel a part.
func cancelFrame(id string) []byte { return finishFrame(append(beginFrame(frameTypeCancel), id...)) }

// loadCheckFrame returns a frame that asks the data node for its load report.
func loadCheckFrame() []byte { return finishFrame(beginFrame(frameTypeLoadCheck)) }

// parseHeader returns the payload length and the type of a frame.
func parseHeader(header []byte) (n int, frameType byte) {
	return int(binary.LittleEndian.Uint32(header)) - 1, header[frameLengthBytes]
}

// validHeader reports whether a data node may send a frame with this header.
func validHeader(n int, frameType byte) bool {
	return n >= 0 && n < maxFrameBytes && strings.IndexByte(nodeFrameTypes, frameType) >= 0
}
