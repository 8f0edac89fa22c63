package datanode

import (
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/apache/arrow-go/v18/arrow/array"
	arrowflight "github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gullfall/internal/flight"
)

// flightNode serves a Node over Arrow Flight.
type flightNode struct {
	arrowflight.BaseFlightServer
	n *Node
}

// DoGet answers one part.
func (f *flightNode) DoGet(t *arrowflight.Ticket, stream arrowflight.FlightService_DoGetServer) error {
	var ticket flight.PartTicket
	if err := json.Unmarshal(t.Ticket, &ticket); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	n := f.n
	n.Ledger.Begin(n.ID, ticket.ID)
	defer n.Ledger.End(n.ID, ticket.ID)
	if n.draining.Load() {
		return status.Error(codes.ResourceExhausted, "draining")
	}
	select {
	case <-time.After(n.serviceTime()):
	case <-stream.Context().Done():
		return stream.Context().Err()
	}
	b := array.NewRecordBuilder(memory.DefaultAllocator, flight.Schema)
	defer b.Release()
	b.Field(0).(*array.Int32Builder).Append(int32(ticket.Shard))
	b.Field(1).(*array.BinaryBuilder).Append([]byte(n.doc(ticket.Shard)))
	rec := b.NewRecordBatch()
	defer rec.Release()
	w := arrowflight.NewRecordWriter(stream, ipc.WithSchema(flight.Schema))
	defer w.Close()
	n.Ledger.End(n.ID, ticket.ID) // before the coordinator can read the answer
	return w.WriteWithAppMetadata(rec, nil)
}

// exchange is a DoExchange stream that carries calls.
type exchange struct {
	node   *Node
	writer *arrowflight.Writer

	mu     sync.Mutex // guards active, and serializes writes
	active activeParts
}

// DoExchange answers the parts of the calls on a stream.
func (f *flightNode) DoExchange(stream arrowflight.FlightService_DoExchangeServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if path := first.GetFlightDescriptor().GetPath(); len(path) != 1 || path[0] != flight.PartsPath {
		return status.Error(codes.InvalidArgument, "only parts")
	}
	e := &exchange{node: f.n, writer: arrowflight.NewRecordWriter(stream, ipc.WithSchema(flight.Schema)), active: activeParts{}}
	defer e.close()
	for message := first; ; {
		var request flight.CallRequest
		if err := json.Unmarshal(message.GetAppMetadata(), &request); err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}
		e.handle(request)
		if message, err = stream.Recv(); errors.Is(err, io.EOF) {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.writer.Close()
		} else if err != nil {
			return err
		}
	}
}

func (e *exchange) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active.endAll(e.node)
}

// handle starts the parts of a call, or ends a cancelled part.
func (e *exchange) handle(request flight.CallRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if request.Cancel != "" {
		e.active.end(e.node, request.Cancel)
	}
	for _, part := range request.Parts {
		e.startPart(part)
	}
}

// startPart starts work on a part, or rejects it while the data node is draining. The caller holds the lock.
func (e *exchange) startPart(part flight.PartRequest) {
	n := e.node
	n.Ledger.Begin(n.ID, part.ID)
	if n.draining.Load() {
		n.Ledger.End(n.ID, part.ID)
		e.write(0, "", flight.PartResponse{ID: part.ID, Status: codes.ResourceExhausted.String()})
		return
	}
	e.active[part.ID] = time.AfterFunc(n.serviceTime(), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.active.end(n, part.ID) {
			e.write(part.Shard, n.doc(part.Shard), flight.PartResponse{ID: part.ID, Last: true})
		}
	})
}

// write sends a batch with a document, or an empty one if doc is empty. The caller holds the lock. A write error is ignored:
// the next read returns it.
func (e *exchange) write(shard int, doc string, m flight.PartResponse) {
	builder := array.NewRecordBuilder(memory.DefaultAllocator, flight.Schema)
	defer builder.Release()
	if doc != "" {
		builder.Field(0).(*array.Int32Builder).Append(int32(shard))
		builder.Field(1).(*array.BinaryBuilder).Append([]byte(doc))
	}
	batch := builder.NewRecordBatch()
	defer batch.Release()
	raw, _ := json.Marshal(m) // every field can be encoded
	_ = e.writer.WriteWithAppMetadata(batch, raw)
}

// DoAction answers a load probe with a fixed utilization.
func (f *flightNode) DoAction(a *arrowflight.Action, stream arrowflight.FlightService_DoActionServer) error {
	if a.Type != flight.LoadAction {
		return status.Error(codes.Unimplemented, "only load")
	}
	return stream.Send(&arrowflight.Result{Body: []byte(`{"util":0.5}`)})
}
