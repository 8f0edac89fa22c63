package faults

import (
	"net"
	"sync"
	"time"
)

// cuttableListener is a listener whose connections can be cut.
type cuttableListener struct {
	net.Listener
	narrow bool // a reader's slowness is soon felt; a Flight stream's own window does as much
	mu     sync.Mutex
	open   []net.Conn
}

func (l *cuttableListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err == nil {
		if l.narrow {
			nc.(*net.TCPConn).SetWriteBuffer(1)
		}
		l.mu.Lock()
		l.open = append(l.open, nc)
		l.mu.Unlock()
	}
	return nc, err
}

// cut closes all connections.
func (l *cuttableListener) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, nc := range l.open {
		nc.Close()
	}
	l.open = nil
}

// cutAfter leaves the other parts of a call time to be answered before the connection goes.
const cutAfter = 50 * time.Millisecond
