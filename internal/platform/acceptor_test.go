package platform

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/textproto"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestSilentClientsDontDelayOthers guards against an accept loop that waits while silent clients hold all places: requests on
// new connections lay in the listener's queue until their clients had left. Each must be answered, or its connection closed,
// within its time.
func TestSilentClientsDontDelayOthers(t *testing.T) {
	const (
		places         = 64
		group          = 75 // silent clients that connect at once
		groupInterval  = 250 * time.Millisecond
		length         = 2 * time.Second
		clientInterval = 20 * time.Millisecond
		clientTime     = time.Second
	)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	server := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: places, BodyMemory: 1 << 20}
	go server.Serve(ln)
	addr, end := ln.Addr().String(), time.Now().Add(length)
	var clients sync.WaitGroup
	var answered, closed, late atomic.Int32
	clients.Go(func() {
		for time.Now().Before(end) {
			for range group {
				clients.Go(func() { readUntilClosed(addr, end) })
			}
			time.Sleep(groupInterval)
		}
	})
	for time.Now().Before(end) {
		clients.Go(func() {
			switch err := requestUp(addr, clientTime); {
			case err == nil:
				answered.Add(1)
			case errors.Is(err, os.ErrDeadlineExceeded):
				late.Add(1)
			default:
				closed.Add(1)
			}
		})
		time.Sleep(clientInterval)
	}
	clients.Wait()
	t.Logf("%d answered, %d closed, %d neither within %v", answered.Load(), closed.Load(), late.Load(), clientTime)
	if late.Load() > 0 {
		t.Errorf("%d requests got neither an answer nor a close within %v", late.Load(), clientTime)
	}
	if closed.Load() > answered.Load() {
		t.Errorf("%d connections were closed and only %d requests answered", closed.Load(), answered.Load())
	}
}

// readUntilClosed connects and says nothing until the server closes the connection, or until end.
func readUntilClosed(addr string, end time.Time) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer nc.Close()
	nc.SetReadDeadline(end)
	io.Copy(io.Discard, nc)
}

// requestUp sends a request on a new connection and reads its answer.
func requestUp(addr string, wait time.Duration) error {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(nc, "GET /up HTTP/1.1\r\n\r\n"); err != nil {
		return err
	}
	_, err = readResponse(textproto.NewReader(bufio.NewReader(nc)))
	return err
}

// queuedListener is a listener whose queue is a channel of pipes.
type queuedListener struct {
	net.Listener // nil: only Accept is used
	queue        chan net.Conn
}

func (l *queuedListener) Accept() (net.Conn, error) {
	nc, open := <-l.queue
	if !open {
		return nil, net.ErrClosed
	}
	return nc, nil
}

// connect returns the client's end of a new connection.
func (l *queuedListener) connect() net.Conn {
	ours, theirs := net.Pipe()
	l.queue <- theirs
	return ours
}

// TestConnectionsDontWaitForPlaces guards against connections that wait in the listener's queue for as long as others hold
// their places, here in the middle of their requests: each is answered or closed within the bound.
func TestConnectionsDontWaitForPlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const places, newcomers = 4, 40
		ln := &queuedListener{queue: make(chan net.Conn, places+newcomers)}
		server := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: places, BodyMemory: 1 << 20}
		go server.Serve(ln)
		var halves []net.Conn
		for range places {
			nc := ln.connect()
			io.WriteString(nc, "GET /up HTTP/1.1\r\n")
			go io.Copy(io.Discard, nc)
			halves = append(halves, nc)
		}
		begun := time.Now()
		var clients sync.WaitGroup
		var longest, answered atomic.Int64
		for range newcomers {
			nc := ln.connect()
			clients.Go(func() {
				defer nc.Close()
				io.WriteString(nc, "GET /up HTTP/1.1\r\n\r\n")
				if _, err := readResponse(textproto.NewReader(bufio.NewReader(nc))); err == nil {
					answered.Add(1)
				}
				longest.Store(max(longest.Load(), int64(time.Since(begun))))
			})
		}
		clients.Wait()
		if bound := 300 * time.Millisecond; time.Duration(longest.Load()) > bound {
			t.Errorf("a connection waited %v, %v are allowed", time.Duration(longest.Load()), bound)
		}
		t.Logf("%d of %d answered", answered.Load(), newcomers)
		for _, nc := range halves {
			nc.Close()
		}
		close(ln.queue)
		server.Wait()
	})
}

// TestTimeInTheQueueCounts guards against a request whose time counts only from when it is read: one that has waited for a
// place may be over by then, and must not be executed with its full time.
func TestTimeInTheQueueCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newOneShardCoordinator(t)
		ctx, stop := context.WithCancel(t.Context())
		go c.Run(ctx)
		ln := &queuedListener{queue: make(chan net.Conn, 3)}
		server := &Server{Coordinator: c, Log: slog.New(slog.DiscardHandler), MaxConns: 1, BodyMemory: 1 << 20}
		go server.Serve(ln)
		for _, request := range []struct {
			id       string
			deadline time.Duration
			want     string
		}{{"q1", 60 * time.Millisecond, "400 "}, {"q2", 2 * time.Second, "503 "}} { // the second is executed: no data node is listed
			silent := ln.connect()
			nc := ln.connect()
			go io.WriteString(nc, oneShardRequest(request.id, request.deadline))
			begun := time.Now()
			got, err := readResponse(textproto.NewReader(bufio.NewReader(nc)))
			if err != nil || !strings.HasPrefix(got, request.want) {
				t.Errorf("a request with %v got %q, %v after %v; want %s", request.deadline, got, err, time.Since(begun), request.want)
			}
			nc.Close()
			silent.Close()
			synctest.Wait()
			time.Sleep(time.Second)
		}
		close(ln.queue)
		server.Wait()
		stop()
	})
}
