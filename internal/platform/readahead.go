package platform

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

const (
	// maxReadAheadBytes is the most that is read from a connection while one of its requests is executing: one request of
	// maximum size.
	maxReadAheadBytes = maxBody + maxHeader
	// freeReadAheadBytes may always be read ahead; beyond it, memory is reserved from Server.BodyMemory.
	freeReadAheadBytes   = freeBodyBytes
	readAheadBufferBytes = 2 << 10
	arrivedBufferBytes   = 256 // clients seldom send ahead
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

	// What the client sent before the connection was accepted may have waited in the listener's queue since queuedSince, if that
	// is not zero.
	acceptedAt  time.Time
	queuedSince time.Time
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
	now := in.arrivalTime(time.Now())
	in.received += int64(n)
	if last := len(in.arrivals) - 1; last >= 0 && now.Sub(in.arrivals[last].at) < arrivalResolution {
		in.arrivals[last].end = in.received
		return
	}
	in.arrivals = append(in.arrivals, arrival{in.received, now})
}

// arrivalTime returns the time that counts as the arrival of bytes that are read now. What is read as soon as the connection was
// accepted may have arrived at any time while it waited.
func (in *clientReader) arrivalTime(now time.Time) time.Time {
	if in.received > 0 || in.queuedSince.IsZero() || now.Sub(in.acceptedAt) >= arrivalResolution {
		return now
	}
	if earliest := now.Add(-maxPlaceWait); in.queuedSince.Before(earliest) {
		return earliest
	}
	return in.queuedSince
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
// reserve before it buffers more than freeReadAheadBytes.
func (in *clientReader) readAhead(reserve func() bool) error {
	buf := make([]byte, readAheadBufferBytes)
	for {
		n, err := in.conn.Read(buf)
		if bufferErr := in.buffer(buf[:n], reserve); bufferErr != nil && err == nil {
			err = bufferErr
		}
		if err != nil {
			return err
		}
	}
}

// readArrived is like readAhead, but reads only what has arrived already. It returns nil if the connection is open, or if it
// can't be read without waiting, as a pipe.
func (in *clientReader) readArrived(reserve func() bool) error {
	conn, ok := in.conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	buf := make([]byte, arrivedBufferBytes)
	for {
		var n int
		var readErr error
		err := raw.Read(func(fd uintptr) bool {
			n, readErr = syscall.Read(int(fd), buf)
			return true
		})
		switch {
		case err != nil:
			return err
		case errors.Is(readErr, syscall.EAGAIN):
			return nil
		case errors.Is(readErr, syscall.EINTR):
			continue
		case readErr != nil:
			return readErr
		case n == 0:
			return io.EOF
		}
		if err := in.buffer(buf[:n], reserve); err != nil {
			return err
		}
	}
}

// buffer keeps data that was read ahead. It returns errReadAhead if there is more of it than may be buffered.
func (in *clientReader) buffer(data []byte, reserve func() bool) error {
	in.recordArrival(len(data))
	in.ahead = append(in.ahead, data...)
	if len(in.ahead) > freeReadAheadBytes && !reserve() || len(in.ahead) > maxReadAheadBytes {
		return errReadAhead
	}
	return nil
}
