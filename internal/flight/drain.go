package flight

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gullfall/internal/coordinator"
)

const (
	// drainRetryAfter is the retry delay for clients refused during a drain. By then another coordinator may serve them.
	drainRetryAfter = time.Second
	// exchangeQuietTime is how long nothing must arrive on an exchange before a drain ends it, so that its end rarely crosses a query.
	exchangeQuietTime = 20 * time.Millisecond
)

// errDraining refuses what comes in during a drain.
var errDraining = unavailable("this coordinator drains; ask another, or come back", drainRetryAfter)

// drain is the state of a server's shutdown. It goes through its steps in this order, each at most once:
//
//	Drain         queries that come in are answered by answerBy
//	EndExchanges  exchanges take no further query, and end
//	GracefulStop  no further call is admitted
type drain struct {
	endExchanges chan struct{} // closed by EndExchanges
	refuseCalls  chan struct{} // closed by GracefulStop
	overdue      chan struct{} // closed at answerBy
	begin        sync.Once
	end          sync.Once
	stop         sync.Once

	mu       sync.Mutex
	answerBy time.Time // zero until Drain; guarded by mu
}

func newDrain() *drain {
	return &drain{endExchanges: make(chan struct{}), refuseCalls: make(chan struct{}), overdue: make(chan struct{})}
}

// Drain makes the server answer queries that come in from now on by answerBy.
func (s *Server) Drain(answerBy time.Time) {
	s.drain.begin.Do(func() {
		s.drain.mu.Lock()
		s.drain.answerBy = answerBy
		s.drain.mu.Unlock()
		time.AfterFunc(time.Until(answerBy), func() { close(s.drain.overdue) })
	})
}

// EndExchanges makes each exchange refuse further queries, and end once its open queries are answered.
func (s *Server) EndExchanges() { s.drain.end.Do(func() { close(s.drain.endExchanges) }) }

// GracefulStop stops listening, sends GOAWAY to the clients, ends exchanges, and refuses new calls with a retry delay. It returns once
// all open calls have ended.
func (s *Server) GracefulStop() {
	s.EndExchanges()
	s.drain.stop.Do(func() { close(s.drain.refuseCalls) })
	s.grpc.GracefulStop()
}

// refusesCalls reports whether GracefulStop has begun.
func (d *drain) refusesCalls() bool {
	select {
	case <-d.refuseCalls:
		return true
	default:
		return false
	}
}

// capDeadline returns the deadline of a query that begins now: during a drain, no later than answerBy.
func (d *drain) capDeadline(deadline time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.answerBy.IsZero() && deadline.After(d.answerBy) {
		return d.answerBy
	}
	return deadline
}

// execute executes a query, during a drain with its deadline cut. After answerBy it begins none. The error is a gRPC status.
func (s *Server) execute(ctx context.Context, q coordinator.Query) (coordinator.Answer, error) {
	capped := s.drain.capDeadline(q.Deadline)
	if capped.Before(q.Deadline) && !capped.After(time.Now()) {
		return coordinator.Answer{}, errDraining
	}
	q.Deadline = capped
	answer, err := s.Coordinator.Execute(ctx, q)
	return answer, statusOf(ctx, answer, err, q.Deadline)
}

// awaitResult waits until the query of a flight has ended. During a drain it waits until answerBy at most. The flight's query may go on
// then, so that the status makes no promise that nothing has run.
func (s *Server) awaitResult(ctx context.Context, result *flightResult) error {
	select {
	case <-result.done:
		return nil
	case <-s.drain.overdue:
		return status.Error(codes.DeadlineExceeded, "this coordinator drains, and the flight's query has not ended")
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	}
}

// received is a message of an exchange's client, or the error that ended the stream.
type received struct {
	message *flight.FlightData
	err     error
}

// receive receives the messages of the client until the stream or ctx ends.
func (e *exchange) receive(ctx context.Context) <-chan received {
	messages := make(chan received)
	go func() {
		for {
			message, err := e.stream.Recv()
			select {
			case messages <- received{message, err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return messages
}

// serve handles messages until the exchange ends.
func (e *exchange) serve(ctx context.Context, messages <-chan received) error {
	for {
		select {
		case r := <-messages:
			if ended, err := e.handleReceived(ctx, r); ended {
				return err
			}
		case <-e.server.drain.endExchanges:
			return e.drain(ctx, messages)
		}
	}
}

// handleReceived handles a message, or the end of the client's side. It reports whether the exchange ends, and with which error.
func (e *exchange) handleReceived(ctx context.Context, r received) (ended bool, err error) {
	switch {
	case errors.Is(r.err, io.EOF):
		return true, e.finish()
	case r.err != nil:
		return true, r.err
	}
	err = e.handle(ctx, r.message)
	return err != nil, err
}

// drain refuses further queries until the open ones are answered, and then ends the exchange as soon as nothing has arrived for
// exchangeQuietTime, or at answerBy. The status tells the client that none of its queries without an answer was begun.
func (e *exchange) drain(ctx context.Context, messages <-chan received) error {
	e.refusing = true
	answered := make(chan struct{})
	go func() {
		e.queries.Wait() // refusing: no query is added
		close(answered)
	}()
	var quiet <-chan time.Time // set once all queries are answered
	var overdue <-chan struct{}
	for {
		select {
		case r := <-messages:
			if ended, err := e.handleReceived(ctx, r); ended {
				return err
			}
			if quiet != nil {
				quiet = time.After(exchangeQuietTime)
			}
		case <-answered:
			answered, quiet, overdue = nil, time.After(exchangeQuietTime), e.server.drain.overdue
		case <-quiet:
			return errDraining
		case <-overdue:
			return errDraining
		}
	}
}
