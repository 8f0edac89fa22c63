package flight

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// maxExchangeQueries bounds the open queries of one exchange; further messages stay unread until a query ends.
const maxExchangeQueries = 1024

// exchangeRequest is a request on an exchange, in the metadata of a message without a body: a plain ticket with the client's own ID
// and its timeout in milliseconds, or {"cancel":"id"}.
type exchangeRequest struct {
	ID         string `json:"id"`
	DeadlineMS int64  `json:"deadline_ms"`
	Cancel     string `json:"cancel"`
}

// exchangeError reports a query that ended without an answer, in the metadata of a batch without rows.
type exchangeError struct {
	ID      string `json:"id"`
	Status  string `json:"status"` // name of a gRPC code
	Message string `json:"message"`
	RetryMS int64  `json:"retry_ms,omitempty"`
}

// exchange is one DoExchange stream.
type exchange struct {
	server  *Server
	caller  *caller
	stream  flight.FlightService_DoExchangeServer
	class   Class // of all its queries, named in the descriptor
	options streamOptions

	slots    chan struct{} // holds one element for each open query
	queries  sync.WaitGroup
	refusing bool // the server drains: further queries are refused; only the goroutine that handles messages uses it

	mu      sync.Mutex // guards cancels
	cancels map[string]context.CancelFunc

	writeMu sync.Mutex // guards out; held while a slow reader blocks a write
	out     streamWriter
}

// DoExchange answers many queries of one class on one stream. The first message has a descriptor whose path is the class.
func (s *Server) DoExchange(stream flight.FlightService_DoExchangeServer) error {
	c := callerOf(stream.Context())
	opts, err := s.sessionOptions(stream.Context(), c)
	if err != nil {
		return err
	}
	first, err := stream.Recv()
	if errors.Is(err, io.EOF) {
		return nil
	} else if err != nil {
		return err
	}
	path := first.GetFlightDescriptor().GetPath()
	if first.GetFlightDescriptor().GetType() != flight.DescriptorPATH || len(path) != 1 {
		return status.Error(codes.InvalidArgument, "the first message needs a descriptor whose path is a class")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	e := &exchange{server: s, caller: c, stream: stream, class: s.classOf(path[0]), options: opts, cancels: map[string]context.CancelFunc{},
		slots: make(chan struct{}, maxExchangeQueries)}
	defer func() {
		cancel()
		e.queries.Wait() // each has its final answer, or its parts are being cancelled
	}()
	if err := e.handle(ctx, first); err != nil {
		return err
	}
	return e.serve(ctx, e.receive(ctx))
}

// handle processes one message of the client: a request or a cancellation in its metadata. An error ends the exchange.
func (e *exchange) handle(ctx context.Context, message *flight.FlightData) error {
	if len(message.GetDataHeader()) > 0 || len(message.GetDataBody()) > 0 {
		return status.Error(codes.InvalidArgument, "questions go into the metadata of messages without a body")
	}
	raw := message.GetAppMetadata()
	if len(raw) == 0 {
		return nil
	}
	var request exchangeRequest
	if err := json.Unmarshal(raw, &request); err != nil {
		return status.Errorf(codes.InvalidArgument, "question: %v", err)
	}
	if request.Cancel != "" {
		e.cancel(request.Cancel)
		return nil
	}
	return e.startQuery(ctx, request, raw)
}

// finish closes the stream once all queries have ended.
func (e *exchange) finish() error {
	e.queries.Wait()
	e.writeMu.Lock()
	defer e.writeMu.Unlock()
	return e.openWriter().Close()
}

// startQuery starts a query once fewer than maxExchangeQueries are open. An error ends the exchange.
func (e *exchange) startQuery(ctx context.Context, request exchangeRequest, raw []byte) error {
	if request.ID == "" || len(request.ID) > 64 {
		return status.Errorf(codes.InvalidArgument, "question with an id of %d bytes; 1 to 64 are allowed", len(request.ID))
	}
	if request.DeadlineMS <= 0 {
		return e.writeError(request.ID, status.Error(codes.InvalidArgument, "deadline_ms is needed"))
	}
	if e.refusing {
		return e.writeError(request.ID, errDraining)
	}
	deadline := time.Now().Add(time.Duration(min(request.DeadlineMS, 3_600_000)) * time.Millisecond)
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	e.mu.Lock()
	_, duplicate := e.cancels[request.ID]
	if !duplicate {
		e.cancels[request.ID] = cancel
	}
	e.mu.Unlock()
	if duplicate {
		cancel()
		<-e.slots
		return e.writeError(request.ID, status.Error(codes.AlreadyExists, "a question of this id is open"))
	}
	e.queries.Go(func() {
		defer func() {
			cancel()
			e.mu.Lock()
			delete(e.cancels, request.ID)
			e.mu.Unlock()
			<-e.slots
		}()
		if err := e.answer(ctx, request.ID, raw, deadline); err != nil {
			_ = e.writeError(request.ID, err) // a write error ends the stream and thereby all its queries
		}
	})
	return nil
}

// cancel cancels the query with this ID, if it is open.
func (e *exchange) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel := e.cancels[id]; cancel != nil {
		cancel()
	}
}

// answer runs one query and writes its answer. The caller reports a returned error to the client; once batches of the answer have
// been written, the result is nil unless the rest of the answer is unusable.
func (e *exchange) answer(ctx context.Context, id string, raw []byte, deadline time.Time) error {
	s := e.server
	q, t, err := s.parseTicket(raw, e.caller)
	if err != nil {
		return err
	}
	if t.Class != "" && t.Class != e.class.Name {
		return status.Errorf(codes.InvalidArgument, "class %q on an exchange of class %q", t.Class, e.class.Name)
	}
	q.ID, q.Class, q.Deadline = rand.Text(), e.class.Name, deadline // another client may use the same ID
	release, err := s.admitQuery(e.caller, q.Tenant)
	if err != nil {
		return err
	}
	defer release()
	memory, err := s.reserve(e.caller, q.Class, len(q.Parts))
	if err != nil {
		return err
	}
	answer, err := s.execute(ctx, q)
	if err != nil {
		memory.release()
		return err
	}
	total := totalBytes(answer.Values)
	read, err := memory.commit(total)
	if err != nil {
		return err
	}
	left := total
	defer func() { read(left) }()
	e.writeMu.Lock()
	defer e.writeMu.Unlock()
	share := answerShare{id: id, complete: answer.Complete, values: answer.Values, missing: missingShards(q.Parts, answer.Values)}
	err = writeShare(e.openWriter(), e.class.Schema, share, e.options, func(n int64) { read(n); left -= n })
	if errors.Is(err, errWrongSchema) {
		s.Log.Error("answer not fit for the class's schema", "class", e.class.Name, "cause", err)
		return e.writeErrorLocked(id, status.Error(codes.DataLoss, "a data node's answer can't be used"))
	}
	return nil // a write error ends the stream and thereby all its queries
}

// writeError reports a query that ended without an answer.
func (e *exchange) writeError(id string, err error) error {
	e.writeMu.Lock()
	defer e.writeMu.Unlock()
	return e.writeErrorLocked(id, err)
}

// openWriter returns the stream's writer, opening it on first use. The caller holds writeMu.
func (e *exchange) openWriter() streamWriter {
	if e.out == nil {
		e.out = e.server.newWriter(e.stream, e.class.Schema, e.options)
	}
	return e.out
}

// writeErrorLocked is writeError for callers that hold writeMu.
func (e *exchange) writeErrorLocked(id string, err error) error {
	st := status.Convert(err)
	m := exchangeError{ID: id, Status: st.Code().String(), Message: st.Message()}
	for _, d := range st.Details() {
		if r, ok := d.(*errdetails.RetryInfo); ok {
			m.RetryMS = r.GetRetryDelay().AsDuration().Milliseconds()
		}
	}
	raw, merr := json.Marshal(m)
	if merr != nil {
		return merr
	}
	return writeEmpty(e.openWriter(), e.class.Schema, raw)
}
