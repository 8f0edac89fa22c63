// Package badclients plays clients of the HTTP front that misuse it: many that send half a request and stop, and some that send unsound
// requests at full speed. All of them read what they are sent, and connect again when their connection has ended. They connect to
// loopback only, and end with their context.
package badclients

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Kind is a kind of bad clients.
type Kind struct {
	Name string
	run  func(ctx context.Context, nc net.Conn) error // one connection, until it has ended
}

// The kinds of bad clients.
var (
	// StoppedHeads send 15 KB of a head of very short, different fields, and stop.
	StoppedHeads = Kind{"stopped heads", func(ctx context.Context, nc net.Conn) error { return sendAndWait(nc, manyFields(headBytes)) }}
	// StoppedLines send 15 KB of a head of few long fields, and stop.
	StoppedLines = Kind{"stopped lines", func(ctx context.Context, nc net.Conn) error { return sendAndWait(nc, longFields(headBytes)) }}
	// SlowBodies send a body of 60 KB slowly.
	SlowBodies = Kind{"slow bodies", sendBodySlowly}
	// FloodingHeads send requests with heads of thousands of fields, one after the other.
	FloodingHeads = Kind{"flooding heads", func(ctx context.Context, nc net.Conn) error {
		return sendAgain(ctx, nc, manyFields(headBytes)+"\r\n")
	}}
	// FloodingUnsound send well-framed requests for a class that does not exist, one after the other.
	FloodingUnsound = Kind{"flooding unsound requests", func(ctx context.Context, nc net.Conn) error { return sendAgain(ctx, nc, unsoundRequest) }}
	// FloodingNames send well-framed requests for ever new classes, owners and ids, one after the other.
	FloodingNames = Kind{"flooding new names", func(ctx context.Context, nc net.Conn) error { return sendEach(ctx, nc, namesRequest) }}
	// FloodingAhead send small requests without waiting for their answers.
	FloodingAhead = Kind{"flooding requests sent ahead", func(ctx context.Context, nc net.Conn) error {
		return sendAhead(ctx, nc, func(int) string { return "GET /none HTTP/1.1\r\n\r\n" })
	}}
	// FloodingQueries send sound queries without waiting for their answers.
	FloodingQueries = Kind{"flooding queries sent ahead", func(ctx context.Context, nc net.Conn) error {
		return sendAhead(ctx, nc, func(i int) string { return soundRequest(nc, i) })
	}}
)

const (
	headBytes      = 15 << 10
	unsoundRequest = "POST /none HTTP/1.1\r\nReq-Id: x\r\nReq-Deadline-Ms: 900\r\nContent-Length: 2\r\n\r\n{}"
	// reconnectPause keeps clients whose connections are refused from using up all local ports.
	reconnectPause = 5 * time.Millisecond
)

// Play runs clients of a kind against a front until ctx ends.
func Play(ctx context.Context, kind Kind, addr string, clients int) {
	var open sync.WaitGroup
	for range clients {
		open.Go(func() {
			for ctx.Err() == nil {
				connect(ctx, kind, addr)
				time.Sleep(reconnectPause)
			}
		})
	}
	open.Wait()
}

// connect runs one connection of a client.
func connect(ctx context.Context, kind Kind, addr string) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { _ = nc.Close() })()
	_ = kind.run(ctx, nc) // an error ends the connection, which is what the client provokes
}

// manyFields returns the beginning of a request with a head of about so many bytes, in very short fields of different names.
func manyFields(size int) string {
	var b strings.Builder
	b.WriteString("POST /report HTTP/1.1\r\n")
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// longFields returns the beginning of a request with a head of about so many bytes, in fields of 1 KB.
func longFields(size int) string {
	var b strings.Builder
	b.WriteString("POST /report HTTP/1.1\r\n")
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "X-%d: %s\r\n", i, strings.Repeat("x", 1<<10))
	}
	return b.String()
}

// sendAndWait sends the beginning of a request and reads until the connection ends.
func sendAndWait(nc net.Conn, text string) error {
	if _, err := io.WriteString(nc, text); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, nc)
	return err
}

// sendBodySlowly sends a body of 60 KB at 20 KB/s.
func sendBodySlowly(ctx context.Context, nc net.Conn) error {
	const bodyBytes, pieceBytes, pause = 60_000, 1_000, 50 * time.Millisecond
	if _, err := fmt.Fprintf(nc, "POST /report HTTP/1.1\r\nReq-Id: x\r\nReq-Deadline-Ms: 900\r\nContent-Length: %d\r\n\r\n", bodyBytes); err != nil {
		return err
	}
	for sent := 0; sent < bodyBytes && ctx.Err() == nil; sent += pieceBytes {
		if _, err := io.WriteString(nc, strings.Repeat("x", pieceBytes)); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	_, err := io.Copy(io.Discard, nc)
	return err
}

// namesRequest returns the i-th request for a class that does not exist.
func namesRequest(i int) string {
	return fmt.Sprintf("POST /none-%d HTTP/1.1\r\nReq-Id: x%d\r\nReq-Owner: owner-%d\r\nReq-Deadline-Ms: 900\r\nContent-Length: 2\r\n\r\n{}", i, i, i)
}

// soundRequest returns the i-th request of a connection for a query of the class lookup.
func soundRequest(nc net.Conn, i int) string {
	const body = `{"shards":[{"shard":0,"weight":0.5},{"shard":1,"weight":0.5}],"q":"c41e77d0"}`
	return fmt.Sprintf("POST /lookup HTTP/1.1\r\nReq-Id: %s-%d\r\nReq-Deadline-Ms: 900\r\nContent-Length: %d\r\n\r\n%s", nc.LocalAddr(), i, len(body), body)
}

// sendAgain sends a request and reads its response, again and again.
func sendAgain(ctx context.Context, nc net.Conn, request string) error {
	return sendEach(ctx, nc, func(int) string { return request })
}

// sendEach sends requests, each after the response to the one before.
func sendEach(ctx context.Context, nc net.Conn, request func(i int) string) error {
	in := bufio.NewReader(nc)
	for i := 0; ctx.Err() == nil; i++ {
		if _, err := io.WriteString(nc, request(i)); err != nil {
			return err
		}
		if err := readResponse(in); err != nil {
			return err
		}
	}
	return nil
}

// readResponse reads a response, and fails if the connection ends with it.
func readResponse(in *bufio.Reader) error {
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.Close {
		return io.EOF
	}
	return nil
}

// sendAhead sends requests as fast as the connection takes them, and reads the responses beside that.
func sendAhead(ctx context.Context, nc net.Conn, request func(i int) string) error {
	const batchRequests = 100
	go func() { _, _ = io.Copy(io.Discard, nc) }()
	for i := 0; ctx.Err() == nil; i += batchRequests {
		var batch strings.Builder
		for k := range batchRequests {
			batch.WriteString(request(i + k))
		}
		if _, err := io.WriteString(nc, batch.String()); err != nil {
			return err
		}
	}
	return nil
}
