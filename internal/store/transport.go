package store

// This file owns the members' connections: one listener for the log's own traffic and for calls that are put to the leader,
// told apart by their first byte. It must never dial where no member or route is, nor hold a connection that says nothing for
// longer than a call may take.

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"gullfall/internal/config"
	"gullfall/internal/statemachine"
)

const (
	callMarker         = 'G'             // the log's own traffic begins with a small number
	maxConcurrentCalls = 256             // connections with calls at once
	maxCallTime        = 5 * time.Second // that a call may take, whatever its deadline
	callAttemptTimeout = 2 * time.Second // a leader that does not answer may be none any more
)

// call is what is put to the leader: a command, a change of the members, or to tell up to where its log goes.
type call struct {
	Command *statemachine.Command `json:",omitempty"`
	Member  *MemberChange         `json:",omitempty"`
	LeftMS  int64                 // of the caller's time
}

type reply struct {
	Result statemachine.Result
	Failed string `json:",omitempty"`
}

// layer is the raft library's stream layer.
type streamLayer struct {
	store     *Store
	listener  net.Listener
	routes    map[string]string
	raftConns chan net.Conn
	callSlots chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
	wg        sync.WaitGroup

	mu       sync.Mutex
	awaiting map[net.Conn]bool // whose first byte or call is awaited
}

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

// serve begins to take connections in, once there is a store behind it.
func (l *streamLayer) start() { l.wg.Go(l.acceptLoop) }

func (l *streamLayer) acceptLoop() {
	for {
		nc, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		select {
		case l.callSlots <- struct{}{}:
			l.wg.Go(func() {
				defer func() { <-l.callSlots }()
				l.handleConn(nc)
			})
		default:
			nc.Close()
		}
	}
}

// first reads a connection's first byte and serves a call, or hands the connection to the log.
func (l *streamLayer) handleConn(nc net.Conn) {
	l.setAwaiting(nc, true)
	defer l.setAwaiting(nc, false)
	nc.SetDeadline(time.Now().Add(maxCallTime))
	in := bufio.NewReader(nc)
	b, err := in.ReadByte()
	if err != nil {
		nc.Close()
		return
	}
	if b != callMarker {
		in.UnreadByte()
		nc.SetDeadline(time.Time{})
		select {
		case l.raftConns <- &bufferedConn{nc, in}:
		case <-l.closed:
			nc.Close()
		}
		return
	}
	defer nc.Close()
	var c call
	if json.NewDecoder(in).Decode(&c) != nil {
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(min(maxCallTime, time.Duration(c.LeftMS)*time.Millisecond)))
	defer cancel()
	var r reply
	if r.Result, err = l.store.handleAsLeader(ctx, c); err != nil {
		r.Failed = err.Error()
	}
	json.NewEncoder(nc).Encode(r)
}

// hold notes a connection whose end Close must not wait for.
func (l *streamLayer) setAwaiting(nc net.Conn, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.awaiting[nc] = true; !on {
		delete(l.awaiting, nc)
	}
}

// begun is a connection whose first bytes were read.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read goes on where the first byte was.
func (b *bufferedConn) Read(p []byte) (int, error) { return b.reader.Read(p) }

// dial connects to a member, by another address where one is named.
func (l *streamLayer) dial(ctx context.Context, addr string) (net.Conn, error) {
	if via := l.routes[addr]; via != "" {
		addr = via
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// call puts a call to the member at an address.
func (l *streamLayer) call(ctx context.Context, addr string, c call) (r statemachine.Result, err error) {
	end := time.Now().Add(callAttemptTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(end) {
		end = d
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	nc, err := l.dial(ctx, addr)
	if err != nil {
		return r, fmt.Errorf("%w: it is not reached: %w", errNoLeader, err)
	}
	defer nc.Close()
	nc.SetDeadline(end)
	c.LeftMS = time.Until(end).Milliseconds()
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

// Accept, Close, Addr and Dial are the library's StreamLayer.
func (l *streamLayer) Accept() (net.Conn, error) {
	select {
	case nc := <-l.raftConns:
		return nc, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener and the calls that are served; the log's connections are the library's to end.
func (l *streamLayer) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.listener.Close()
		l.mu.Lock()
		for nc := range l.awaiting {
			nc.Close()
		}
		l.mu.Unlock()
	})
	l.wg.Wait()
	return nil
}

// Addr is where it listens.
func (l *streamLayer) Addr() net.Addr { return l.listener.Addr() }

// Dial connects to a member for the log. The library gives a time, not a deadline.
func (l *streamLayer) Dial(address raft.ServerAddress, within time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(within))
	defer cancel()
	return l.dial(ctx, string(address))
}
