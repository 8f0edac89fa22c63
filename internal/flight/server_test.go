package flight

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"gullfall/aggregator"
	"gullfall/internal/coordinator"
	"gullfall/internal/membership"
)

// newClient starts a server whose one data node answers each part with n documents of size bytes, and returns a client of it.
func newClient(t *testing.T, limit int64, n, size int) flight.Client {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	c, err := coordinator.New(aggregator.Settings{ShardSets: 1, Shards: 4, Reach: 1, Tick: time.Millisecond,
		Classes: []aggregator.Class{{Name: "report", LatencyObjective: time.Second, Deadline: 3 * time.Second, CompleteShare: 1, MinShare: 1, Priority: 1}},
	}, 1, log, membership.Config{})
	if err != nil {
		t.Fatal(err)
	}
	go c.Run(t.Context())
	c.RegisterDispatcher("", func(node *coordinator.Node) {
		for o := node.NextCommand(t.Context()); o != nil; o = node.NextCommand(t.Context()) {
			for _, a := range o.Call {
				r := coordinator.Result{Outcome: coordinator.OK}
				for range n {
					r.Docs = append(r.Docs, make([]byte, size))
				}
				c.Report(a, r)
			}
		}
	})
	c.AddSource(membership.Spec{Name: "list"}).ReplaceList([]coordinator.Member{{ID: "n1"}}, false)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newServer(t, Options{Coordinator: c, Log: log, MaxAnswerBytes: limit})
	go s.Serve(ln, 9)
	t.Cleanup(s.Stop)
	cc, err := grpc.NewClient("passthrough:///"+ln.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cc.Close() })
	return flight.NewClientFromConn(cc, nil)
}

const plainTicket = `{"class":"report","shards":[{"shard":0,"weight":1}]}`

// newServer returns a server with valid options.
func newServer(t *testing.T, o Options) *Server {
	t.Helper()
	s, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// readAnswer fetches a ticket and counts the batches and documents of the answer.
func readAnswer(ctx context.Context, t *testing.T, client flight.Client, ticket string) (batches, docs int, err error) {
	t.Helper()
	stream, err := client.DoGet(ctx, &flight.Ticket{Ticket: []byte(ticket)})
	if err != nil {
		return 0, 0, err
	}
	in, err := flight.NewRecordReader(stream)
	if err != nil {
		return 0, 0, err
	}
	defer in.Release()
	for in.Next() {
		batches, docs = batches+1, docs+int(in.RecordBatch().NumRows())
		if got := string(in.LatestAppMetadata()); !strings.Contains(got, `"complete":true`) {
			t.Errorf("metadata %s", got)
		}
	}
	if err := in.Err(); err != nil && !errors.Is(err, io.EOF) {
		return batches, docs, err
	}
	return batches, docs, nil
}

func contextWithTimeout(t *testing.T) context.Context {
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(3*time.Second))
	t.Cleanup(cancel)
	return ctx
}

// TestBatchSizeLimits: a large answer of one part arrives in batches of bounded size, each with its metadata.
func TestBatchSizeLimits(t *testing.T) {
	batches, docs, err := readAnswer(contextWithTimeout(t), t, newClient(t, 1<<20, 2500, 10), plainTicket)
	if batches != 3 || docs != 2500 || err != nil {
		t.Errorf("got %d batches, %d documents, %v", batches, docs, err)
	}
	batches, docs, err = readAnswer(contextWithTimeout(t), t, newClient(t, 1<<20, 5, 100<<10), plainTicket)
	if batches != 3 || docs != 5 || err != nil {
		t.Errorf("large documents: got %d batches, %d documents, %v", batches, docs, err)
	}
}

// TestAnswerMemoryLimit: a query whose answer would exceed the memory limit for all answers is refused with a retry delay.
func TestAnswerMemoryLimit(t *testing.T) {
	_, _, err := readAnswer(contextWithTimeout(t), t, newClient(t, 1000, 1, 1001), plainTicket)
	st := status.Convert(err)
	if st.Code() != codes.Unavailable || len(st.Details()) != 1 {
		t.Fatalf("got %v", err)
	}
	if info, ok := st.Details()[0].(*errdetails.RetryInfo); !ok || info.RetryDelay.AsDuration() <= 0 {
		t.Errorf("details %v", st.Details())
	}
}

// TestInvalidTickets: invalid tickets and queries without a deadline are refused with InvalidArgument.
func TestInvalidTickets(t *testing.T) {
	client := newClient(t, 1<<20, 1, 1)
	for _, text := range []string{"", "{", `{"class":"report"}`, `{"class":"report","shards":[{}]}`,
		`{"class":"other","shards":[{"shard":0}]}`, `{"class":"report","shards":[{"shard":0,"cost":1e30}]}`} {
		if _, _, err := readAnswer(contextWithTimeout(t), t, client, text); status.Code(err) != codes.InvalidArgument {
			t.Errorf("%s: %v", text, err)
		}
	}
	if _, _, err := readAnswer(t.Context(), t, client, plainTicket); status.Code(err) != codes.InvalidArgument {
		t.Errorf("no deadline: %v", err)
	}
}

// TestHandshakeTimeout: a connection that sends nothing is closed within 3 s. With gRPC's default timeout it would occupy one of the
// server's connections for two minutes.
func TestHandshakeTimeout(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newServer(t, Options{Log: slog.New(slog.DiscardHandler), MaxAnswerBytes: 1 << 20})
	go s.Serve(ln, 9)
	t.Cleanup(s.Stop)
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetReadDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.Copy(io.Discard, nc); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the connection is still open after 3 s")
	}
}

// TestFlightInfo: GetFlightInfo returns the schema and an endpoint whose ticket DoGet accepts, and refuses an empty descriptor.
func TestFlightInfo(t *testing.T) {
	client := newClient(t, 1<<20, 1, 1)
	info, err := client.GetFlightInfo(contextWithTimeout(t), &flight.FlightDescriptor{Type: flight.DescriptorCMD, Cmd: []byte(plainTicket)})
	if err != nil {
		t.Fatal(err)
	}
	if schema, err := flight.DeserializeSchema(info.Schema, memory.DefaultAllocator); err != nil || !schema.Equal(Schema) {
		t.Errorf("schema %v, %v", schema, err)
	}
	if _, docs, err := readAnswer(contextWithTimeout(t), t, client, string(info.Endpoint[0].Ticket.Ticket)); docs != 1 || err != nil {
		t.Errorf("by its ticket: %d documents, %v", docs, err)
	}
	if _, err := client.GetFlightInfo(contextWithTimeout(t), &flight.FlightDescriptor{}); status.Code(err) != codes.InvalidArgument {
		t.Errorf("no command: %v", err)
	}
}
