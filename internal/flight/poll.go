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

// pollTimeout is how long a poll that has no news waits for some.
const pollTimeout = time.Second

// PollFlightInfo asks a query that takes long, and tells how far it is: by a descriptor at first, then by that of the
// last answer. Endpoints come once all is in.
func (s *Server) PollFlightInfo(ctx context.Context, d *flight.FlightDescriptor) (*flight.PollInfo, error) {
	g := callerOf(ctx)
	var id, owner string
	var k *flightResult
	if d.GetType() == flight.DescriptorCMD && sealed(d.GetCmd()) {
		from, payload, err := s.keys.open(time.Now(), forPoll, d.GetCmd())
		if err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		if g.authenticated && from != g.client.Owner {
			return nil, status.Error(codes.PermissionDenied, "the descriptor belongs to another owner")
		}
		id, owner = string(payload), from
	} else {
		q, t, err := s.parseDescriptor(d, g)
		if err != nil {
			return nil, err
		}
		if id, _, err = s.planFlight(q, t); err != nil {
			return nil, err
		}
		owner = q.Tenant
	}
	k, next, err := s.claimRange(g, id, owner, -1)
	if err != nil {
		return nil, err
	}
	if next == session.Wait || next == session.Start {
		before, pause := k.received.Load(), time.NewTimer(pollTimeout)
		if next == session.Start {
			pause.Reset(20 * time.Millisecond) // the first answer is to come soon, with what is to be asked after
		}
		ticker := time.NewTicker(10 * time.Millisecond)
		for waiting := true; waiting; {
			select {
			case <-k.done:
				waiting = false
			case <-pause.C:
				waiting = false
			case <-ticker.C:
				waiting = next == session.Start || k.received.Load() == before
			case <-s.drain:
				pause.Stop()
				ticker.Stop()
				return nil, unavailable("this coordinator drains and answers are not handed on; ask another", drainRetryAfter)
			case <-ctx.Done():
				pause.Stop()
				ticker.Stop()
				return nil, status.FromContextError(ctx.Err()).Err()
			}
		}
		pause.Stop()
		ticker.Stop()
	}
	until := time.Now().Add(ticketTTL)
	progress := float64(k.received.Load()) / float64(len(k.query.Parts))
	select {
	case <-k.done:
		if k.err != nil {
			return nil, k.err
		}
		progress = 1
		return &flight.PollInfo{Info: s.flightInfo(d, id, k, until), Progress: &progress, ExpirationTime: timestamppb.New(until)}, nil
	default:
	}
	return &flight.PollInfo{Info: &flight.FlightInfo{FlightDescriptor: d, TotalRecords: -1, TotalBytes: -1,
		Schema: flight.SerializeSchema(s.classOf(k.query.Class).Schema, memory.DefaultAllocator)}, Progress: &progress, ExpirationTime: timestamppb.New(until),
		FlightDescriptor: &flight.FlightDescriptor{Type: flight.DescriptorCMD, Cmd: s.keys.seal(forPoll, owner, until, []byte(id))}}, nil
}
