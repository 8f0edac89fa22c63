package platform

import (
	"errors"
	"io"
	"net"
	"time"
)

const (
	// maxReadAheadBytes is the most that is read from a connection while one of its requests is executing: one request of
	// maximum size.
	maxReadAheadBytes = maxBody + maxHeader
	// freeReadAheadBytes may always be read ahead; beyond it, memory is reserved from Server.BodyMemory.
	freeReadAheadBytes   = freeBodyBytes
	readAheadBufferBytes = 2 << 10
	// arrivalResolution is the interval within which arrivals are recorded as one, at the time of the first.
	arrivalResolution = 5 * time.Millisecond
)

// errReadAhead reports a client that has sent more ahead of its answer than may be buffered.
var errReadAhead = errors.New("too much was sent ahead of the answer")

// arrival is the time by which the bytes of a connection up to offset end had been read.
type arrival struct {
	end int64
	at  time.Time
}

// clientReader is the reading side of a client's connection. While a request is executing, readAhead keeps reading, so that a
// disconnect is detected even behind pipelined data; later reads take the buffered data first. It records when bytes arrive,
// because the deadline of a request counts from its last byte. One goroutine uses it at a time.
type clientReader struct {
	conn      net.Conn
	allowance int64 // bytes that may still be read for the current request
	ahead     []byte
	consumed  int64
	received  int64
	arrivals  []arrival
}

// Read implements io.Reader. It returns io.EOF once the allowance is used up.
func (in *clientReader) Read(p []byte) (int, error) {
	if in.allowance <= 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > in.allowance {
		p = p[:in.allowance]
	}
	var n int
	var err error
	if len(in.ahead) > 0 {
		n = copy(p, in.ahead)
		in.ahead = in.ahead[n:]
		if len(in.ahead) == 0 {
			in.ahead = nil
		}
	} else {
		n, err = in.conn.Read(p)
		in.recordArrival(n)
	}
	in.consumed += int64(n)
	in.allowance -= int64(n)
	return n, err
}

// recordArrival records that n bytes were read from the connection.
func (in *clientReader) recordArrival(n int) {
	if n <= 0 {
		return
	}
	in.received += int64(n)
	now := time.Now()
	if last := len(in.arrivals) - 1; last >= 0 && now.Sub(in.arrivals[last].at) < arrivalResolution {
		in.arrivals[last].end = in.received
		return
	}
	in.arrivals = append(in.arrivals, arrival{in.received, now})
}

// arrivedAt returns when the last consumed byte arrived, not counting the last unread bytes, which the caller's buffer
// has taken but not yet used. It discards earlier arrivals.
func (in *clientReader) arrivedAt(unread int) time.Time {
	end := in.consumed - int64(unread)
	for len(in.arrivals) > 1 && in.arrivals[0].end < end {
		in.arrivals = in.arrivals[1:]
	}
	if len(in.arrivals) == 0 {
		return time.Now()
	}
	return in.arrivals[0].at
}

// readAhead reads until the connection ends, its read deadline passes, or more has arrived than may be buffered. It calls
// reserve once before it buffers more than freeReadAheadBytes.
func (in *clientReader) readAhead(reserve func() bool) error {
	reserved := false
	buf := make([]byte, readAheadBufferBytes)
	for {
		n, err := in.conn.Read(buf)
		in.recordArrival(n)
		in.ahead = append(in.ahead, buf[:n]...)
		if err != nil {
			return err
		}
		if len(in.ahead) > freeReadAheadBytes && !reserved {
			reserved = reserve()
			if !reserved {
				return errReadAhead
			}
		}
		if len(in.ahead) > maxReadAheadBytes {
			return errReadAhead
		}
	}
}
