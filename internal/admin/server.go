// Package admin is the operators' way to a running coordinator: a Unix socket that only its owner may use, with one JSON object
// a line each way.
//
//	server.go    serves commands
//	client.go    calls them
//	protocol.go  the lines
package admin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	idleTimeout      = 30 * time.Second      // that a connection may say nothing
	maxConns         = 16                    // connections at once; further ones are closed
	acceptRetryDelay = 10 * time.Millisecond // after an error, most often for want of descriptors
	socketUmask      = 0o177                 // leaves mode 0600
)

// ErrInUse reports a socket that another process serves.
var ErrInUse = errors.New("another process serves")

// Command serves one request; what it returns is encoded as the response.
type Command func(ctx context.Context, args json.RawMessage) (any, error)

// Server serves commands.
type Server struct {
	listener net.Listener
	commands map[string]Command
	slots    chan struct{}   // holds one element for each connection
	ctx      context.Context // of the commands
	stop     context.CancelFunc
	wg       sync.WaitGroup
}

// Serve listens at a path, with mode 0600. A socket that an earlier process left behind is replaced; one that answers is not,
// which is ErrInUse.
func Serve(path string, commands map[string]Command) (*Server, error) {
	if err := removeStale(path); err != nil {
		return nil, err
	}
	old := syscall.Umask(socketUmask) // the mode holds from the socket's first moment
	listener, err := net.Listen("unix", path)
	syscall.Umask(old)
	if err != nil {
		return nil, fmt.Errorf("admin.socket: %w", err)
	}
	s := &Server{listener: listener, commands: commands, slots: make(chan struct{}, maxConns)}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.wg.Go(s.accept)
	return s, nil
}

// removeStale removes a socket that nobody serves.
func removeStale(path string) error {
	nc, err := net.Dial("unix", path)
	if err == nil {
		_ = nc.Close()
		return fmt.Errorf("admin.socket: %w %s", ErrInUse, filepath.Base(path))
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		_ = os.Remove(path) // if it stays, listening fails and says why
	}
	return nil
}

// Close ends the socket, its file and its connections.
func (s *Server) Close() {
	s.stop()
	_ = s.listener.Close()
	s.wg.Wait()
}

// accept serves connections until the listener is closed.
func (s *Server) accept() {
	for {
		nc, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case s.slots <- struct{}{}:
		default:
			_ = nc.Close()
			continue
		}
		s.wg.Go(func() {
			defer func() { <-s.slots }()
			s.serve(nc)
		})
	}
}

// serve answers the requests on one connection, until it ends or says nothing for idleTimeout.
func (s *Server) serve(nc net.Conn) {
	closeConn := func() { _ = nc.Close() }
	defer closeConn()
	defer context.AfterFunc(s.ctx, closeConn)()
	in, out := bufio.NewReaderSize(nc, maxRequestBytes), json.NewEncoder(nc)
	for {
		_ = nc.SetDeadline(time.Now().Add(idleTimeout)) // an error shows in the read
		line, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			_ = out.Encode(response{Failed: fmt.Sprintf("a line of over %d bytes", maxRequestBytes)}) // the connection ends
		}
		if err != nil {
			return
		}
		if err := out.Encode(s.respond(line)); err != nil {
			return
		}
	}
}

// respond serves one request.
func (s *Server) respond(line []byte) response {
	var req request
	if err := json.Unmarshal(line, &req); err != nil {
		return response{Failed: "not a request: " + err.Error()}
	}
	command := s.commands[req.Command]
	if command == nil {
		return response{Failed: fmt.Sprintf("command %q is not served here; is its part switched on in deploy/gullfall.toml?", req.Command)}
	}
	result, err := command(s.ctx, req.Args)
	if err != nil {
		return response{Failed: err.Error()}
	}
	encoded, err := json.Marshal(result)
	if err != nil {
		return response{Failed: err.Error()}
	}
	return response{OK: encoded}
}
