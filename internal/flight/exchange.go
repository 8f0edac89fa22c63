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

	"gullfall/internal/coordinator"
)

// maxExchanged is how many queries of one exchange are open at once; further ones wait unread.
const maxExchanged = 1024

// exchangeRequest is a question of an exchange, in the metadata of a message without a body: a plain ticket with an id of the
// client's and the milliseconds that it will wait, or {"cancel":"id"}.
type exchangeRequest struct {
	ID         string `json:"id"`
	DeadlineMS int64  `json:"deadline_ms"`
	Cancel     string `json:"cancel"`
}

// exchangeError is what an exchange tells of a query that has no answer, in the metadata of a batch without rows.
type exchangeError struct {
	ID      string `json:"id"`
	Status  string `json:"status"` // a gRPC code's name
	Message string `json:"message"`
	RetryMS int64  `json:"retry_ms,omitempty"`
}

// exchange is one stream.
type exchange struct {
	server  *Server
	caller  *caller
	stream  flight.FlightService_DoExchangeServer
	class   Class // of all its queries, as its descriptor names it
	options streamOptions

	places  chan struct{} // one for each query that may be open
	queries sync.WaitGroup

	mu   sync.Mutex // guards open
	open map[string]context.CancelFunc

	writing sync.Mutex // guards out; a slow reader holds it
	out     streamWriter
}

// DoExchange answers many queries of one class on one stream. Its first message has a descriptor whose path is the class.
func (s *Server) DoExchange(stream flight.FlightService_DoExchangeServer) error {
	g := callerOf(stream.Context())
	opts, err := s.sessionOptions(stream.Context(), g)
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
	ctx, stop := context.WithCancel(stream.Context())
	e := &exchange{server: s, caller: g, stream: stream, class: s.classOf(path[0]), options: opts, open: map[string]context.CancelFunc{},
		places: make(chan struct{}, maxExchanged)}
	defer func() {
		stop()
		e.queries.Wait() // each has had its final answer, or its parts are being cancelled
	}()
	for message := first; ; {
		if err := e.handle(ctx, message); err != nil {
			return err
		}
		if message, err = stream.Recv(); errors.Is(err, io.EOF) {
			return e.finish()
		} else if err != nil {
			return err
		}
	}
}

// handle takes one message of the client: a question or a cancellation in its metadata. An error ends the exchange.
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
	return e.begin(ctx, request, raw)
}

// finish closes the stream once all queries have their answers.
func (e *exchange) finish() error {
	e.queries.Wait()
	e.writing.Lock()
	defer e.writing.Unlock()
	return e.openWriter().Close()
}

// begin starts a query once there is a place for it. An error ends the exchange.
func (e *exchange) begin(ctx context.Context, q exchangeRequest, raw []byte) error {
	if q.ID == "" || len(q.ID) > 64 {
		return status.Errorf(codes.InvalidArgument, "question with an id of %d bytes; 1 to 64 are allowed", len(q.ID))
	}
	if q.DeadlineMS <= 0 {
		return e.writeError(q.ID, status.Error(codes.InvalidArgument, "deadline_ms is needed"))
	}
	end := time.Now().Add(time.Duration(min(q.DeadlineMS, 3_600_000)) * time.Millisecond)
	select {
	case e.places <- struct{}{}:
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	e.mu.Lock()
	_, twice := e.open[q.ID]
	if !twice {
		e.open[q.ID] = cancel
	}
	e.mu.Unlock()
	if twice {
		cancel()
		<-e.places
		return e.writeError(q.ID, status.Error(codes.AlreadyExists, "a question of this id is open"))
	}
	e.queries.Go(func() {
		defer func() {
			cancel()
			e.mu.Lock()
			delete(e.open, q.ID)
			e.mu.Unlock()
			<-e.places
		}()
		if err := e.answer(ctx, q.ID, raw, end); err != nil {
			_ = e.writeError(q.ID, err) // an error of the stream ends it, which all its queries see
		}
	})
	return nil
}

// cancel gives up the query of an id, if it is open.
func (e *exchange) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if stop := e.open[id]; stop != nil {
		stop()
	}
}

// answer asks one query and writes its answer. What it returns is told; it is nil once an answer was begun.
func (e *exchange) answer(ctx context.Context, id string, raw []byte, end time.Time) error {
	s := e.server
	q, t, err := s.parseTicket(raw, e.caller)
	if err != nil {
		return err
	}
	if t.Class != "" && t.Class != e.class.Name {
		return status.Errorf(codes.InvalidArgument, "class %q on an exchange of class %q", t.Class, e.class.Name)
	}
	q.ID, q.Class, q.Deadline = rand.Text(), e.class.Name, end // the client's id is its own, and may be another's too
	leave, err := s.admitQuery(e.caller, q.Tenant)
	if err != nil {
		return err
	}
	defer leave()
	memory, err := s.reserve(e.caller, q.Class, len(q.Parts))
	if err != nil {
		return err
	}
	answer, err := s.Coordinator.Execute(ctx, q)
	if errors.Is(err, coordinator.ErrClientGone) && time.Now().Before(end) {
		memory.release()
		return status.Error(codes.Canceled, "was cancelled")
	}
	if err := statusOf(ctx, answer, err, end); err != nil {
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
	e.writing.Lock()
	defer e.writing.Unlock()
	sh := answerShare{id: id, complete: answer.Complete, values: answer.Values, missing: missing(q.Parts, answer.Values)}
	err = write(e.openWriter(), e.class.Schema, sh, e.options, func(n int64) { read(n); left -= n })
	if errors.Is(err, errWrongSchema) {
		s.Log.Error("answer not fit for the class's schema", "class", e.class.Name, "cause", err)
		return e.writeErrorLocked(id, status.Error(codes.DataLoss, "a data node's answer can't be used"))
	}
	return nil // an error of the stream ends it, which all its queries see
}

// writeError writes how a query ended that has no answer.
func (e *exchange) writeError(id string, err error) error {
	e.writing.Lock()
	defer e.writing.Unlock()
	return e.writeErrorLocked(id, err)
}

// openWriter opens the stream's writer. The caller holds the lock.
func (e *exchange) openWriter() streamWriter {
	if e.out == nil {
		e.out = e.server.newWriter(e.stream, e.class.Schema, e.options)
	}
	return e.out
}

// writeErrorLocked is tell for one that holds the lock.
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
