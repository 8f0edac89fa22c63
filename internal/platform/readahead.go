package platform

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

const (
	// maxReadAheadBytes is the most that is read ahead from a connection that has no socket.
	maxReadAheadBytes    = 4 << 10
	readAheadBufferBytes = 2 << 10
	// arrivalResolution is the interval within which arrivals are recorded as one, at the time of the first.
	arrivalResolution = 5 * time.Millisecond
	// maxArrivals is the most arrivals that are kept for a connection; beyond it neighbours are joined.
	maxArrivals = 64
)

// errReadAhead reports a client that has sent so much ahead of its answer that its leaving could not be noticed.
var errReadAhead = errors.New("too much was sent ahead of the answer")

// arrival is the time by which the bytes of a connection up to offset end had arrived.
type arrival struct {
	end int64
	at  time.Time
}

// clientReader is the reading side of a client's connection. While a request is executing, awaitEnd notices that the client disconnects,
// without reading what it has sent ahead. It records when bytes arrive, because the deadline of a request counts from its last byte. One
// goroutine uses it at a time.
type clientReader struct {
	conn      net.Conn
	socket    syscall.RawConn // nil if conn has no socket
	endHidden bool            // so much was unread that the client's kernel may still hold data and the end
	allowance int64           // bytes that may still be read for the current request
	ahead     []byte          // read ahead; only if conn has no socket
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
		in.received += int64(n)
		in.recordArrival(in.received)
	}
	in.consumed += int64(n)
	in.allowance -= int64(n)
	return n, err
}

// recordArrival records that the bytes up to offset end have arrived.
func (in *clientReader) recordArrival(end int64) {
	last := len(in.arrivals) - 1
	if end <= in.consumed || last >= 0 && end <= in.arrivals[last].end {
		return
	}
	now := in.arrivalTime(time.Now())
	if last >= 0 && now.Sub(in.arrivals[last].at) < arrivalResolution {
		in.arrivals[last].end = end
		return
	}
	if len(in.arrivals) == maxArrivals {
		in.joinArrivals()
	}
	in.arrivals = append(in.arrivals, arrival{end, now})
}

// joinArrivals joins each two neighbouring arrivals, at the time of the first: a deadline is then a little too early, never too late.
func (in *clientReader) joinArrivals() {
	joined := in.arrivals[:0]
	for i := 0; i+1 < len(in.arrivals); i += 2 {
		joined = append(joined, arrival{in.arrivals[i+1].end, in.arrivals[i].at})
	}
	in.arrivals = joined
}

// arrivalTime returns the time that counts as the arrival of bytes that are read now. What is read as soon as the connection was
// accepted may have arrived at any time while it waited.
func (in *clientReader) arrivalTime(now time.Time) time.Time {
	if len(in.arrivals) > 0 || in.queuedSince.IsZero() || now.Sub(in.acceptedAt) >= arrivalResolution {
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

// state returns the state of the connection's socket. Of a connection without one it knows only what was read ahead.
func (in *clientReader) state() (state socketState) {
	state = socketState{unread: len(in.ahead), capacity: maxUnreadDiv * maxReadAheadBytes}
	if in.socket == nil {
		return state
	}
	if err := in.socket.Control(func(fd uintptr) { state = readSocketState(int(fd)) }); err != nil {
		state.ended = true
	}
	return state
}

// checkEnd returns io.EOF if the client has ended the connection, errReadAhead if that could not be noticed, and nil otherwise. It does not
// wait.
func (in *clientReader) checkEnd() error { return in.checkState(in.state()) }

// checkState records what has arrived, and returns the result of checkEnd for a state.
func (in *clientReader) checkState(state socketState) error {
	switch {
	case state.ended:
		return io.EOF
	case in.endHidden || state.mayHideEnd():
		in.endHidden = true
		return errReadAhead
	}
	if in.socket != nil {
		in.recordArrival(in.received + int64(state.unread))
	}
	return nil
}

// hiddenEndQuiet is how long nothing must arrive until a client whose end was hidden is known to have nothing more to send. It is longer than
// TCP's shortest retransmission timeout.
const hiddenEndQuiet = 250 * time.Millisecond

// awaitRequest waits for the first byte of a request. An end that was hidden shows again if the client was silent before it.
func (in *clientReader) awaitRequest(buffer *bufio.Reader) error {
	wasSilent := in.endHidden && buffer.Buffered() == 0 && in.state().unread == 0
	begun := time.Now()
	if _, err := buffer.Peek(1); err != nil {
		return err
	}
	if wasSilent && time.Since(begun) >= hiddenEndQuiet {
		in.endHidden = false
	}
	return nil
}

// awaitEnd waits until the client ends the connection, its end could not be noticed any more, or its read deadline passes. It returns
// io.EOF, errReadAhead or os.ErrDeadlineExceeded, or the error that ended the connection.
func (in *clientReader) awaitEnd() error {
	if in.socket == nil {
		return in.readAhead()
	}
	var result error
	err := in.socket.Read(func(fd uintptr) bool { // called again each time something has arrived
		result = in.checkState(readSocketState(int(fd)))
		return result != nil
	})
	if err != nil {
		return err
	}
	return result
}

// awaitDeadline waits until the client ends the connection or its read deadline passes, however much is unread. It is for connections with
// a socket.
func (in *clientReader) awaitDeadline() error {
	err := in.socket.Read(func(fd uintptr) bool {
		state := readSocketState(int(fd))
		in.recordArrival(in.received + int64(state.unread))
		return state.ended
	})
	if err == nil {
		err = io.EOF
	}
	return err
}

// readAhead is awaitEnd for a connection without a socket, whose end shows only behind what was sent ahead.
func (in *clientReader) readAhead() error {
	buf := make([]byte, readAheadBufferBytes)
	for {
		n, err := in.conn.Read(buf)
		in.received += int64(n)
		in.recordArrival(in.received)
		in.ahead = append(in.ahead, buf[:n]...)
		if err != nil {
			return err
		}
		if len(in.ahead) > maxReadAheadBytes {
			return errReadAhead
		}
	}
}
