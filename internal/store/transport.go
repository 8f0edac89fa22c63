package store

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"gullfall/internal/config"
	"gullfall/internal/statemachine"
)

const (
	callMarker         = 'G'             // first byte of a connection that carries a call; raft's own connections begin with a small number
	maxConcurrentCalls = 256             // accepted connections that handleConn may handle at the same time; others are closed
	maxCallTime        = 5 * time.Second // limit on a call, whatever its deadline
	callAttemptTimeout = 2 * time.Second // after which a call is sent again: a leader that does not answer may have been replaced

	acceptRetryInterval = 10 * time.Millisecond // after an error of the listener
)

// call is a request to the leader: a command, a change of the members or, with neither set, a barrier.
type call struct {
	Command *statemachine.Command `json:",omitempty"`
	Member  *MemberChange         `json:",omitempty"`
	LeftMS  int64                 // milliseconds until the caller's deadline
}

// reply is the answer to a call.
type reply struct {
	Result statemachine.Result
	Failed string `json:",omitempty"`
}

// streamLayer implements raft.StreamLayer. One listener serves raft's connections and the calls to the leader, told apart by their
// first byte.
type streamLayer struct {
	store     *Store
	listener  net.Listener
	routes    map[string]string // address to dial instead, by a member's address
	raftConns chan net.Conn     // accepted connections for raft
	callSlots chan struct{}     // one element for each accepted connection, a call's or raft's, that handleConn is still handling
	closed    chan struct{}
	closeOnce sync.Once
	wg        sync.WaitGroup

	// mu guards awaiting: the connections whose first byte or call is awaited. Close closes them.
	mu       sync.Mutex
	awaiting map[net.Conn]bool
}

// newStreamLayer opens the listener. Connections are accepted once start is called.
func newStreamLayer(cfg config.Store, s *Store) (*streamLayer, error) {
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, err
	}
	l := &streamLayer{store: s, listener: ln, routes: map[string]string{}, raftConns: make(chan net.Conn), callSlots: make(chan struct{}, maxConcurrentCalls),
		closed: make(chan struct{}), awaiting: map[net.Conn]bool{}}
	for _, r := range cfg.Route {
		l.routes[r.Addr] = r.Via
	}
	return l, nil
}

// start accepts connections. The store must be running.
func (l *streamLayer) start() { l.wg.Go(l.acceptLoop) }

func (l *streamLayer) acceptLoop() {
	for {
		nc, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			time.Sleep(acceptRetryInterval)
			continue
		}
		select {
		case l.callSlots <- struct{}{}:
			l.wg.Go(func() {
				defer func() { <-l.callSlots }()
				l.handleConn(nc)
			})
		default:
			_ = nc.Close()
		}
	}
}

// handleConn reads a connection's first byte, and answers a call or hands the connection to raft.
func (l *streamLayer) handleConn(nc net.Conn) {
	l.track(nc)
	defer l.untrack(nc)
	_ = nc.SetDeadline(time.Now().Add(maxCallTime)) // fails on a closed connection, as the read does
	in := bufio.NewReader(nc)
	first, err := in.Peek(1)
	switch {
	case err != nil:
		_ = nc.Close()
	case first[0] == callMarker:
		defer func() { _ = nc.Close() }()
		_, _ = in.Discard(1) // it was peeked
		l.answerCall(nc, in)
	default:
		_ = nc.SetDeadline(time.Time{})
		select {
		case l.raftConns <- &bufferedConn{nc, in}:
		case <-l.closed:
			_ = nc.Close()
		}
	}
}

// answerCall reads a call, has it handled and writes the reply. A connection that fails gets no reply.
func (l *streamLayer) answerCall(out io.Writer, in io.Reader) {
	var c call
	if json.NewDecoder(in).Decode(&c) != nil {
		return
	}
	timeout := min(maxCallTime, time.Duration(c.LeftMS)*time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(timeout))
	defer cancel()
	var answer reply
	var err error
	if answer.Result, err = l.store.handleAsLeader(ctx, c); err != nil {
		answer.Failed = err.Error()
	}
	_ = json.NewEncoder(out).Encode(answer) // without a reply the caller retries
}

// track registers a connection that Close has to close.
func (l *streamLayer) track(nc net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.awaiting[nc] = true
}

func (l *streamLayer) untrack(nc net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.awaiting, nc)
}

// bufferedConn is a connection whose first bytes were read into a buffer.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read reads through the buffer.
func (b *bufferedConn) Read(p []byte) (int, error) { return b.reader.Read(p) }

// dial connects to a member, over its route if it has one.
func (l *streamLayer) dial(ctx context.Context, addr string) (net.Conn, error) {
	if via := l.routes[addr]; via != "" {
		addr = via
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// call sends a call to the member at an address. An error that wraps errNoLeader means that the call had no effect.
func (l *streamLayer) call(ctx context.Context, addr string, c call) (r statemachine.Result, err error) {
	deadline := time.Now().Add(callAttemptTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	nc, err := l.dial(ctx, addr)
	if err != nil {
		return r, fmt.Errorf("%w: it is not reached: %w", errNoLeader, err)
	}
	defer func() { _ = nc.Close() }()
	if err := nc.SetDeadline(deadline); err != nil {
		return r, fmt.Errorf("the store's leader was not told: %w", err)
	}
	c.LeftMS = time.Until(deadline).Milliseconds()
	data, err := json.Marshal(c)
	if err != nil {
		return r, err
	}
	if _, err := nc.Write(append([]byte{callMarker}, data...)); err != nil {
		return r, fmt.Errorf("the store's leader was not told: %w", err)
	}
	var a reply
	if err := json.NewDecoder(nc).Decode(&a); err != nil {
		return r, fmt.Errorf("the store's leader did not answer: %w", err)
	}
	switch a.Failed {
	case "":
	case errNoLeader.Error():
		return r, errNoLeader
	default:
		return r, errors.New(a.Failed)
	}
	return a.Result, nil
}

// Accept returns the next connection for raft.
func (l *streamLayer) Accept() (net.Conn, error) {
	select {
	case nc := <-l.raftConns:
		return nc, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and the connections of calls. Raft closes its own connections.
func (l *streamLayer) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		_ = l.listener.Close()
		l.mu.Lock()
		for nc := range l.awaiting {
			_ = nc.Close()
		}
		l.mu.Unlock()
	})
	l.wg.Wait()
	return nil
}

// Addr returns the listening address.
func (l *streamLayer) Addr() net.Addr { return l.listener.Addr() }

// Dial connects to a member for raft.
func (l *streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(timeout))
	defer cancel()
	return l.dial(ctx, string(address))
}
