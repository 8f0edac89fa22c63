// Package admin connects the command line to a running coordinator over a Unix socket that only its owner may use. Requests and
// responses are JSON objects, one per line.
//
//	server.go    serves commands
//	client.go    calls them
//	protocol.go  defines the lines
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
	idleTimeout      = 30 * time.Second      // after which a silent connection is closed
	maxConns         = 16                    // concurrent connections; further ones are closed
	acceptRetryDelay = 10 * time.Millisecond // after an error, most often a lack of descriptors
	socketUmask      = 0o177                 // leaves mode 0600
)

// ErrInUse is returned by Serve if another process serves the socket.
var ErrInUse = errors.New("another process serves")

// Command handles one request; its result is encoded as JSON in the response.
type Command func(ctx context.Context, args json.RawMessage) (any, error)

// Server serves commands on a Unix socket.
type Server struct {
	listener net.Listener
	commands map[string]Command
	slots    chan struct{}   // semaphore with one element per connection
	ctx      context.Context // canceled by Close; parent of the commands' contexts
	stop     context.CancelFunc
	wg       sync.WaitGroup
}

// Serve starts a server on a socket at path, with mode 0600. It replaces a stale socket of an earlier process, and returns ErrInUse
// for one that accepts connections.
func Serve(path string, commands map[string]Command) (*Server, error) {
	if err := removeStale(path); err != nil {
		return nil, err
	}
	old := syscall.Umask(socketUmask) // so that the socket never exists with a wider mode
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

// removeStale removes a socket that no process serves.
func removeStale(path string) error {
	nc, err := net.Dial("unix", path)
	if err == nil {
		_ = nc.Close()
		return fmt.Errorf("admin.socket: %w %s", ErrInUse, filepath.Base(path))
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		_ = os.Remove(path) // if this fails, so does listening, with the cause
	}
	return nil
}

// Close closes the listener, which removes its file, and all connections, and waits for running commands.
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
			s.serveConn(nc)
		})
	}
}

// serveConn handles the requests of one connection until it is closed or idle for idleTimeout.
func (s *Server) serveConn(nc net.Conn) {
	closeConn := func() { _ = nc.Close() }
	defer closeConn()
	defer context.AfterFunc(s.ctx, closeConn)()
	in, out := bufio.NewReaderSize(nc, maxRequestBytes), json.NewEncoder(nc)
	for {
		_ = nc.SetDeadline(time.Now().Add(idleTimeout)) // an error also fails the read
		line, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			_ = out.Encode(response{Failed: fmt.Sprintf("a line of over %d bytes", maxRequestBytes)}) // the connection is closed next
		}
		if err != nil {
			return
		}
		if err := out.Encode(s.respond(line)); err != nil {
			return
		}
	}
}

// respond runs the command of one request and returns its response.
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
