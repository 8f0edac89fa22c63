// Package admin is the operators' way to a running coordinator: a Unix socket of the owner's alone, one JSON object a
// line each way. It owns the socket file and its connections. It must never do a command's work, nor hold a connection
// that says nothing for longer than its time.
package admin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	mostLine = 64 << 10         // bytes of a request
	idle     = 30 * time.Second // that a connection may say nothing
	most     = 16               // connections at once
)

// Command serves one request; what it returns is encoded as the answer.
type Command func(ctx context.Context, args json.RawMessage) (any, error)

// request and answer are the lines.
type request struct {
	Command string          `json:"command"`
	Args    json.RawMessage `json:"args,omitempty"`
}

type answer struct {
	OK     json.RawMessage `json:"ok,omitempty"`
	Failed string          `json:"failed,omitempty"`
}

// Server serves commands.
type Server struct {
	ln       net.Listener
	log      *slog.Logger
	commands map[string]Command
	places   chan struct{}
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup
}

// Serve listens at a path, with mode 0600. A socket that a process before left behind is replaced; one that answers is not.
func Serve(path string, commands map[string]Command, log *slog.Logger) (*Server, error) {
	if nc, err := net.Dial("unix", path); err == nil {
		nc.Close()
		return nil, fmt.Errorf("admin.socket: another process serves %s", filepath.Base(path))
	} else if errors.Is(err, syscall.ECONNREFUSED) {
		os.Remove(path)
	}
	old := syscall.Umask(0o177) // from its first moment on it is the owner's alone
	ln, err := net.Listen("unix", path)
	syscall.Umask(old)
	if err != nil {
		return nil, fmt.Errorf("admin.socket: %w", err)
	}
	s := &Server{ln: ln, log: log, commands: commands, places: make(chan struct{}, most)}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.wg.Go(s.accept)
	return s, nil
}

// Close ends the socket, its file and its connections.
func (s *Server) Close() {
	s.stop()
	s.ln.Close()
	s.wg.Wait()
}

func (s *Server) accept() {
	for {
		nc, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		select {
		case s.places <- struct{}{}:
		default:
			nc.Close()
			continue
		}
		s.wg.Go(func() {
			defer func() { <-s.places }()
			s.serve(nc)
		})
	}
}

func (s *Server) serve(nc net.Conn) {
	defer nc.Close()
	defer context.AfterFunc(s.ctx, func() { nc.Close() })()
	in := bufio.NewReaderSize(nc, mostLine)
	for {
		nc.SetDeadline(time.Now().Add(idle))
		line, err := in.ReadSlice('\n')
		if err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				json.NewEncoder(nc).Encode(answer{Failed: fmt.Sprintf("a line of over %d bytes", mostLine)})
			}
			return
		}
		var req request
		var a answer
		if err := json.Unmarshal(line, &req); err != nil {
			a.Failed = "not a request: " + err.Error()
		} else if c := s.commands[req.Command]; c == nil {
			a.Failed = fmt.Sprintf("command %q is not served here; is its part switched on in deploy/gullfall.toml?", req.Command)
		} else if result, err := c(s.ctx, req.Args); err != nil {
			a.Failed = err.Error()
		} else if a.OK, err = json.Marshal(result); err != nil {
			a.Failed = err.Error()
		}
		if err := json.NewEncoder(nc).Encode(a); err != nil {
			return
		}
	}
}

// Call asks a running coordinator, and reads its answer into result.
func Call(ctx context.Context, path, command string, args, result any) error {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "unix", path)
	if err != nil {
		return fmt.Errorf("no coordinator answers at the admin socket: %w", err)
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	req := request{Command: command}
	if args != nil {
		if req.Args, err = json.Marshal(args); err != nil {
			return err
		}
	}
	if err := json.NewEncoder(nc).Encode(req); err != nil {
		return err
	}
	var a answer
	if err := json.NewDecoder(nc).Decode(&a); err != nil {
		if errors.Is(err, io.EOF) {
			err = errors.New("the connection was closed: too many are open, or the coordinator ends")
		}
		return err
	}
	if a.Failed != "" {
		return errors.New(a.Failed)
	}
	return json.Unmarshal(a.OK, result)
}
