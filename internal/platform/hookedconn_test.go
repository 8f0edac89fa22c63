package platform

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// hookedConn is the program's end of a client's connection.
type hookedConn struct {
	net.Conn
	client *actor
}

func (h *hookedConn) Read(p []byte) (int, error) {
	n, err := h.Conn.Read(p)
	if n > 0 {
		h.client.fire("at-read")
	}
	return n, err
}

func (h *hookedConn) Write(p []byte) (int, error) {
	n, err := h.Conn.Write(p)
	h.client.fire("at-write")
	return n, err
}

func (h *hookedConn) CloseWrite() error {
	half, ok := h.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	h.client.fire("at-shut")
	return half.CloseWrite()
}

// Close tells of a close over bytes that were not read: it resets the connection, and what was written may go with it.
func (h *hookedConn) Close() error {
	if unread := unread(h.Conn); unread > 0 {
		h.client.complain("%s: its connection was closed over %d unread bytes", h.client.name, unread)
	}
	return h.Conn.Close()
}

// unread is how many bytes have come in on a connection that nobody has read; 0 where it can't be told.
func unread(nc net.Conn) (n int) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		if n, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ); err != nil {
			n = 0
		}
	})
	return n
}
