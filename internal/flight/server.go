// Package flight speaks Arrow Flight: a server for clients (this file) and a client of Flight data nodes. It
// maps tickets, deadlines and errors to the core's terms and back. It must never decide anything that the core
// decides, hold back an answer, or keep more for a slow reader than that reader's own answer.
//
// A client's ticket is {"class":"...","owner":"...","shards":[{"shard":3,"weight":0.5}],"q":"..."}; its time
// is the gRPC deadline. The answer is a stream of record batches (shard, doc), each with {"complete":...} as
// its metadata.
package flight

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"golang.org/x/net/netutil"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"gullfall/internal/ask"
	"gullfall/internal/core"
)

// Schema is that of answers, to clients and from data nodes.
var Schema = arrow.NewSchema([]arrow.Field{
	{Name: "shard", Type: arrow.PrimitiveTypes.Int32}, {Name: "doc", Type: arrow.BinaryTypes.Binary},
}, nil)

const (
	// batchRows and batchBytes bound a record batch of an answer.
	batchRows  = 1024
	batchBytes = 256 << 10
	// A connection must have greeted within greetTime, and is closed after restTime without a call, as on the
	// platform's front.
	greetTime = 2 * time.Second
	restTime  = 30 * time.Second
)

// Server serves Flight clients.
type Server struct {
	flight.BaseFlightServer
	core  *core.Core
	log   *slog.Logger
	grpc  *grpc.Server
	held  atomic.Int64 // bytes of answers that are being read
	limit int64        // of held
}

// NewServer returns a server in front of the core. Answers that are being read may hold limit bytes in all.
func NewServer(c *core.Core, log *slog.Logger, limit int64) *Server {
	s := &Server{core: c, log: log, limit: limit, grpc: grpc.NewServer(grpc.MaxRecvMsgSize(ask.MaxBytes),
		grpc.MaxConcurrentStreams(256), grpc.MaxHeaderListSize(16<<10), grpc.ConnectionTimeout(greetTime),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: restTime}))}
	flight.RegisterFlightServiceServer(s.grpc, s)
	return s
}

// Serve accepts at most conns connections until Drain.
func (s *Server) Serve(ln net.Listener, conns int) error {
	return s.grpc.Serve(netutil.LimitListener(ln, conns))
}

// Drain stops listening and returns once all that is open has its answer.
func (s *Server) Drain() { s.grpc.GracefulStop() }

// Stop ends the server at once.
func (s *Server) Stop() { s.grpc.Stop() }

// Ticket is what a client asks with; the parts are in the form that package ask reads.
type Ticket struct {
	ID    string // made up where it is missing
	Class string
	Owner string
	Retry bool
}

// GetFlightInfo leads a client that has a ticket as its command to DoGet on this connection.
func (s *Server) GetFlightInfo(_ context.Context, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	if d.GetType() != flight.DescriptorCMD || len(d.GetCmd()) == 0 {
		return nil, status.Error(codes.InvalidArgument, "the descriptor needs a ticket as its command")
	}
	return &flight.FlightInfo{Schema: flight.SerializeSchema(Schema, memory.DefaultAllocator), FlightDescriptor: d,
		Endpoint: []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: d.GetCmd()}}}, TotalRecords: -1,
		TotalBytes: -1}, nil
}

// DoGet is one query.
func (s *Server) DoGet(t *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	ctx := stream.Context()
	var ticket Ticket
	if err := json.Unmarshal(t.GetTicket(), &ticket); err != nil {
		return status.Errorf(codes.InvalidArgument, "ticket: %v", err)
	}
	end, limited := ctx.Deadline()
	if !limited {
		return status.Error(codes.InvalidArgument, "a deadline is needed")
	}
	if ticket.ID == "" {
		ticket.ID = rand.Text()
	}
	q := core.Query{ID: ticket.ID, Class: ticket.Class, Owner: ticket.Owner, Retry: ticket.Retry, Deadline: end}
	var answer core.Answer
	var err error
	if q.Parts, q.Text, err = ask.Parts(t.GetTicket()); err == nil {
		answer, err = s.core.Ask(ctx, q)
	}
	switch {
	case errors.Is(err, core.ErrInput) && ctx.Err() == nil:
		return status.Error(codes.InvalidArgument, err.Error())
	case err != nil:
		return status.FromContextError(context.Cause(ctx)).Err()
	case answer.Verdict == core.Refused:
		return refused(answer.After)
	case answer.Verdict != core.Answered && !time.Now().Before(end):
		return status.Error(codes.DeadlineExceeded, "the query's time is over")
	case answer.Verdict != core.Answered:
		return status.Error(codes.Internal, "failed")
	}
	size := int64(0)
	for _, h := range answer.Hits {
		for _, doc := range h.Docs {
			size += int64(len(doc))
		}
	}
	defer s.held.Add(-size)
	if s.held.Add(size) > s.limit {
		s.log.Warn("answers that are being read hold all they may; refused", "bytes", size)
		return refused(time.Until(end) / 2)
	}
	return s.answer(stream, answer)
}

func refused(after time.Duration) error {
	st, err := status.New(codes.Unavailable, "refused").WithDetails(&errdetails.RetryInfo{
		RetryDelay: durationpb.New(after)})
	if err != nil {
		return status.Error(codes.Unavailable, "refused")
	}
	return st.Err()
}

// answer writes an answer batch by batch. A reader that is slow holds up its own stream, which gRPC ends at
// the query's deadline.
func (s *Server) answer(stream flight.FlightService_DoGetServer, answer core.Answer) error {
	meta, _ := json.Marshal(map[string]bool{"complete": answer.Whole})
	out := flight.NewRecordWriter(stream, ipc.WithSchema(Schema))
	defer out.Close()
	b := array.NewRecordBuilder(memory.DefaultAllocator, Schema)
	defer b.Release()
	rows, size := 0, 0
	flush := func() error {
		rec := b.NewRecordBatch()
		defer rec.Release()
		rows, size = 0, 0
		if err := out.WriteWithAppMetadata(rec, meta); err != nil {
			s.log.Info("answer not written whole", "cause", err)
			return err
		}
		return nil
	}
	for _, h := range answer.Hits {
		for _, doc := range h.Docs {
			if rows > 0 && (rows >= batchRows || size+len(doc) > batchBytes) {
				if err := flush(); err != nil {
					return err
				}
			}
			b.Field(0).(*array.Int32Builder).Append(int32(h.Shard))
			b.Field(1).(*array.BinaryBuilder).Append(doc)
			rows, size = rows+1, size+len(doc)
		}
	}
	return flush()
}
