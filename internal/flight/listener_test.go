package flight

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// startLimited starts a server that allows a number of connections, and returns its address.
func startLimited(t *testing.T, conns int) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newServer(t, Options{Log: slog.New(slog.DiscardHandler), MaxAnswerBytes: 1 << 20})
	go s.Serve(ln, conns)
	t.Cleanup(s.Stop)
	return ln.Addr().String()
}

// listActions calls the server over a new connection, which stays open until the test ends.
func listActions(t *testing.T, addr string, timeout time.Duration) error {
	t.Helper()
	cc, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cc.Close() })
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	stream, err := flight.NewClientFromConn(cc, nil).ListActions(ctx, &flight.Empty{})
	if err != nil {
		return err
	}
	if _, err := stream.Recv(); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// TestSilentConnectionsMakeRoom guards against calls that wait in the listener's queue while silent connections hold all places.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	const conns = 4
	addr := startLimited(t, conns)
	for range conns {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
	}
	time.Sleep(2 * silentEvictionAge)
	if err := listActions(t, addr, time.Second); err != nil {
		t.Errorf("a call beside %d silent connections: %v", conns, err)
	}
}

// TestConnectionBeyondTheLimitIsClosed guards against connections that wait in the listener's queue for as long as others are in use.
func TestConnectionBeyondTheLimitIsClosed(t *testing.T) {
	const conns = 2
	addr := startLimited(t, conns)
	for range conns {
		if err := listActions(t, addr, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := io.Copy(io.Discard, nc); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the connection is still open after 1 s")
	}
}
