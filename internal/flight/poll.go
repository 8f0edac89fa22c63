package flight

import (
	"context"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/timestamppb"

	"gullfall/internal/session"
)

// pollTimeout bounds the wait of a poll for progress.
const pollTimeout = time.Second

const (
	firstPollTimeout = 20 * time.Millisecond // short, so that the client soon gets the descriptor for further polls
	pollInterval     = 10 * time.Millisecond // how often progress is checked
)

// PollFlightInfo starts a long query or reports its progress. The first call has a descriptor of the query, each later one the
// descriptor from the previous answer. Endpoints are returned once all parts have arrived.
func (s *Server) PollFlightInfo(ctx context.Context, d *flight.FlightDescriptor) (*flight.PollInfo, error) {
	c := callerOf(ctx)
	id, owner, err := s.polledFlight(d, c)
	if err != nil {
		return nil, err
	}
	result, next, err := s.claimRange(c, id, owner, -1)
	if err != nil {
		return nil, err
	}
	switch next {
	case session.Start:
		err = s.awaitProgress(ctx, result, firstPollTimeout, func() bool { return false })
	case session.Wait:
		before := result.received.Load()
		err = s.awaitProgress(ctx, result, pollTimeout, func() bool { return result.received.Load() != before })
	}
	if err != nil {
		return nil, err
	}
	return s.pollInfo(d, id, owner, result)
}

// polledFlight returns the flight of a signed descriptor, or opens a new one for a descriptor of a query.
func (s *Server) polledFlight(d *flight.FlightDescriptor, c *caller) (id, owner string, err error) {
	if d.GetType() == flight.DescriptorCMD && isToken(d.GetCmd()) {
		owner, payload, err := s.keys.verify(time.Now(), purposePoll, d.GetCmd())
		if err != nil {
			return "", "", status.Error(codes.InvalidArgument, err.Error())
		}
		if c.authenticated && owner != c.client.Owner {
			return "", "", status.Error(codes.PermissionDenied, "the descriptor belongs to another owner")
		}
		return string(payload), owner, nil
	}
	q, t, err := s.parseDescriptor(d, c)
	if err != nil {
		return "", "", err
	}
	id, _, err = s.planFlight(q, t)
	return id, q.Tenant, err
}

// awaitProgress waits until a flight has its final answer, progressed returns true, or the timeout has passed.
func (s *Server) awaitProgress(ctx context.Context, result *flightResult, timeout time.Duration, progressed func() bool) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-result.done:
			return nil
		case <-timer.C:
			return nil
		case <-ticker.C:
			if progressed() {
				return nil
			}
		case <-s.drain.refuseCalls:
			return unavailable("this coordinator drains and answers are not handed on; ask another", drainRetryAfter)
		case <-ctx.Done():
			return status.FromContextError(ctx.Err()).Err()
		}
	}
}

// pollInfo reports the progress of a flight, and its endpoints once it has its answer.
func (s *Server) pollInfo(d *flight.FlightDescriptor, id, owner string, result *flightResult) (*flight.PollInfo, error) {
	until := time.Now().Add(ticketTTL)
	progress := float64(result.received.Load()) / float64(len(result.query.Parts))
	select {
	case <-result.done:
		if result.err != nil {
			return nil, result.err
		}
		progress = 1
		return &flight.PollInfo{Info: s.flightInfo(d, id, result, until), Progress: &progress, ExpirationTime: timestamppb.New(until)}, nil
	default:
	}
	schema := flight.SerializeSchema(s.classOf(result.query.Class).Schema, memory.DefaultAllocator)
	next := &flight.FlightDescriptor{Type: flight.DescriptorCMD, Cmd: s.keys.sign(purposePoll, owner, until, []byte(id))}
	return &flight.PollInfo{
		Info:             &flight.FlightInfo{FlightDescriptor: d, TotalRecords: -1, TotalBytes: -1, Schema: schema},
		Progress:         &progress,
		ExpirationTime:   timestamppb.New(until),
		FlightDescriptor: next,
	}, nil
}
