package faults

import (
	"net"
	"sync"
	"time"
)

// cuttableListener is a listener whose accepted connections can be closed at once.
type cuttableListener struct {
	net.Listener
	smallSendBuffer bool // use a minimal send buffer, so that a slow reader soon blocks writes; Flight streams have a window for that
	mu              sync.Mutex
	open            []net.Conn
}

func (l *cuttableListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err == nil {
		if l.smallSendBuffer {
			nc.(*net.TCPConn).SetWriteBuffer(1)
		}
		l.mu.Lock()
		l.open = append(l.open, nc)
		l.mu.Unlock()
	}
	return nc, err
}

// cut closes all accepted connections.
func (l *cuttableListener) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, nc := range l.open {
		nc.Close()
	}
	l.open = nil
}

// cutAfter is the delay before a connection is cut, in which the other parts of the call are answered.
const cutAfter = 50 * time.Millisecond
