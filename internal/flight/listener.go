package flight

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// silentEvictionAge is the time after which a connection may be evicted on which nothing was received.
	silentEvictionAge = 50 * time.Millisecond
	// limitLogInterval is the shortest time between two log lines about the limit on connections.
	limitLogInterval = time.Second
)

// errEvicted reports a connection that was closed to make room for another.
var errEvicted = errors.New("connection evicted")

// limitListener bounds the number of open connections. It never waits for one to end: connections would wait in the queue of the
// listener below while their clients' deadlines pass. Beyond the limit it closes the connection that has been silent since it was
// accepted for the longest time, or else the new one, whose client can then go elsewhere.
type limitListener struct {
	net.Listener
	limit int
	log   *slog.Logger

	// mu guards the fields below.
	mu       sync.Mutex
	conns    map[*limitedConn]bool
	closed   int // connections closed for lack of room since the last log line
	loggedAt time.Time
}

func newLimitListener(ln net.Listener, limit int, log *slog.Logger) *limitListener {
	return &limitListener{Listener: ln, limit: limit, log: log, conns: map[*limitedConn]bool{}}
}

// Accept returns the next connection for which there is room.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &limitedConn{Conn: nc, listener: l, acceptedAt: time.Now()}
		if l.add(c) {
			return c, nil
		}
		_ = nc.Close()
	}
}

// add registers a connection, and evicts another one if there is no room. It returns false if none can be evicted.
func (l *limitListener) add(c *limitedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limit {
		l.logLimit()
		if !l.evictSilent() {
			return false
		}
	}
	l.conns[c] = true
	return true
}

// evictSilent closes the connection that has been silent for the longest time, if that is long enough. The caller holds the lock.
func (l *limitListener) evictSilent() bool {
	var oldest *limitedConn
	for c := range l.conns {
		if c.state.Load() == connSilent && (oldest == nil || c.acceptedAt.Before(oldest.acceptedAt)) {
			oldest = c
		}
	}
	if oldest == nil || time.Since(oldest.acceptedAt) < silentEvictionAge || !oldest.state.CompareAndSwap(connSilent, connEvicted) {
		return false
	}
	delete(l.conns, oldest)
	_ = oldest.Conn.Close()
	return true
}

// logLimit logs that a connection had to be closed, at most once in limitLogInterval. The caller holds the lock.
func (l *limitListener) logLimit() {
	l.closed++
	if now := time.Now(); now.Sub(l.loggedAt) >= limitLogInterval {
		l.log.Warn("Arrow Flight connections closed at the limit", "closed", l.closed, "limit", l.limit)
		l.loggedAt, l.closed = now, 0
	}
}

// The states of a limitedConn.
const (
	connSilent   int32 = iota // nothing was received
	connReceived              // the client has sent something; it is not evicted any more
	connEvicted
)

// limitedConn is a connection of a limitListener.
type limitedConn struct {
	net.Conn
	listener   *limitListener
	acceptedAt time.Time
	state      atomic.Int32
}

// Read fails on an evicted connection, also if data has arrived meanwhile: a call is either processed or not begun.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.state.Load() != connReceived && !c.state.CompareAndSwap(connSilent, connReceived) {
		return 0, errEvicted
	}
	return n, err
}

// Close closes the connection and makes room for another.
func (c *limitedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
