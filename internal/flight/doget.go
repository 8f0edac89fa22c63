package flight

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gullfall/internal/coordinator"
	"gullfall/internal/session"
)

// missingShards returns the shards of parts that have no value.
func missingShards(parts []coordinator.Part, values []coordinator.PartValue) (list []int) {
	have := map[int]bool{}
	for _, v := range values {
		have[v.Shard] = true
	}
	for _, p := range parts {
		if !have[p.Shard] {
			list = append(list, p.Shard)
		}
	}
	return list
}

// DoGet fetches a range of a flight by its signed ticket, or runs the query of a plain ticket.
func (s *Server) DoGet(t *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	ctx := stream.Context()
	c := callerOf(ctx)
	o, err := s.sessionOptions(ctx, c)
	if err != nil {
		return err
	}
	if isToken(t.GetTicket()) {
		return s.fetchRange(ctx, c, t.GetTicket(), o, stream)
	}
	q, _, err := s.parseTicket(t.GetTicket(), c)
	if err != nil {
		return err
	}
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		return status.Error(codes.InvalidArgument, "a deadline is needed")
	}
	q.Deadline = deadline
	release, err := s.admitQuery(c, q.Tenant)
	if err != nil {
		return err
	}
	defer release()
	memory, err := s.reserve(c, q.Class, len(q.Parts))
	if err != nil {
		return err
	}
	answer, err := s.execute(ctx, q)
	if err != nil {
		memory.release()
		return err
	}
	return s.sendAnswer(memory, stream, s.classOf(q.Class), answerShare{complete: answer.Complete, values: answer.Values, missing: missingShards(q.Parts, answer.Values)}, o)
}

// sendAnswer writes a share of an answer to a stream. A slow reader blocks only its own stream, until its deadline or until it is
// evicted.
func (s *Server) sendAnswer(memory *reservation, stream flight.DataStreamWriter, class Class, share answerShare, o streamOptions) error {
	total := totalBytes(share.values)
	read, err := memory.commit(total)
	if err != nil {
		return err
	}
	out := s.newWriter(stream, class.Schema, o)
	left := total
	err = writeShare(out, class.Schema, share, o, func(n int64) { read(n); left -= n })
	read(left)
	if cerr := out.Close(); err == nil {
		err = cerr
	}
	switch {
	case errors.Is(err, errWrongSchema):
		s.Log.Error("answer not fit for the class's schema", "class", class.Name, "cause", err)
		return status.Errorf(codes.DataLoss, "a data node's answer can't be used: %v", err)
	case err != nil:
		s.Log.Info("response not written completely", "cause", err)
	}
	return err
}

// fetchRange sends one range of a flight, once the flight's query has ended.
func (s *Server) fetchRange(ctx context.Context, c *caller, raw []byte, o streamOptions, stream flight.DataStreamWriter) error {
	owner, payload, err := s.keys.verify(time.Now(), purposeFetch, raw)
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	if c.authenticated && owner != c.client.Owner {
		return status.Error(codes.PermissionDenied, "the ticket belongs to another owner")
	}
	var ticket fetchTicket
	if err := json.Unmarshal(payload, &ticket); err != nil {
		return status.Error(codes.InvalidArgument, errInvalidToken.Error())
	}
	for {
		result, next, err := s.claimRange(c, ticket.Flight, owner, ticket.Range)
		if err != nil {
			return err
		}
		switch next {
		case session.Report:
			return result.err
		case session.Send:
			return s.sendRange(c, result, ticket, o, stream)
		}
		if err := s.awaitResult(ctx, result); err != nil {
			return err
		}
	}
}

// sendRange sends a range of a flight that has its answer, and records whether all of it was sent.
func (s *Server) sendRange(c *caller, result *flightResult, ticket fetchTicket, o streamOptions, stream flight.DataStreamWriter) error {
	parts := result.ranges[ticket.Range]
	var values []coordinator.PartValue
	for _, part := range parts {
		for _, value := range result.answer.Values {
			if value.Shard == part.Shard {
				values = append(values, value)
			}
		}
	}
	class := result.query.Class
	share := answerShare{complete: result.answer.Complete, values: values, missing: missingShards(parts, values)}
	// The stored answer is counted with the flights; this reservation covers the portion being sent.
	err := s.sendAnswer(&reservation{server: s, caller: c, class: class}, stream, s.classOf(class), share, o)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.flights.RangeSent(time.Now(), ticket.Flight, ticket.Range)
	} else {
		s.flights.RangeInterrupted(time.Now(), ticket.Flight, ticket.Range)
	}
	return err
}
