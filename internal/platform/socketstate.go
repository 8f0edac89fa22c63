package platform

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketState is what the kernel knows of a connection, beyond the bytes that were read from it.
type socketState struct {
	ended    bool // the peer has closed it, or at least its sending side, or it was reset
	unread   int  // received bytes that have not been read
	capacity int  // size of the receive buffer in bytes, including the kernel's overhead
}

// maxUnreadDiv gives the share of the receive buffer that may be unread. While no more is, the receive window is open, so that the
// end of the connection arrives behind what the peer has sent; behind a closed window it would not show.
const maxUnreadDiv = 4

// mayHideEnd reports whether so much is unread that an end of the connection might not have arrived.
func (s socketState) mayHideEnd() bool { return s.unread > s.capacity/maxUnreadDiv }

// rawConn returns the socket of a connection, or nil if it has none, as a pipe.
func rawConn(nc net.Conn) syscall.RawConn {
	conn, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// readSocketState returns the state of a socket. It doesn't read from it. The state is that of an ended connection if it can't be
// determined.
func readSocketState(fd int) socketState {
	events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	_, err := unix.Poll(events, 0)
	for errors.Is(err, unix.EINTR) {
		_, err = unix.Poll(events, 0)
	}
	unread, unreadErr := unix.IoctlGetInt(fd, unix.TIOCINQ)
	capacity, capacityErr := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF)
	const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR | unix.POLLNVAL
	return socketState{ended: errors.Join(err, unreadErr, capacityErr) != nil || events[0].Revents&ended != 0, unread: unread, capacity: capacity}
}
