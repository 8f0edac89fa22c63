package flight

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/timestamppb"

	"gullfall/internal/coordinator"
	"gullfall/internal/queryjson"
	"gullfall/internal/session"
)

// Ticket is a client's plain ticket. Its parts are read by package queryjson.
type Ticket struct {
	ID        string // generated if missing
	Class     string
	Owner     string
	Retry     bool
	Key       string `json:"idempotency_key"` // required by a keyed class, the same for each retry
	Endpoints int    // GetFlightInfo, PollFlightInfo: number of ranges of parts that are fetched separately; 1 if missing
}

// maxEndpoints bounds the number of ranges of one flight.
const maxEndpoints = 64

// parseTicket reads a plain ticket into a query. Its owner is that of the caller, if authenticated; a ticket may not name another.
func (s *Server) parseTicket(raw []byte, c *caller) (q coordinator.Query, t Ticket, err error) {
	if err := json.Unmarshal(raw, &t); err != nil {
		return q, t, status.Errorf(codes.InvalidArgument, "ticket: %v", err)
	}
	if c.authenticated {
		if t.Owner != "" && t.Owner != c.client.Owner {
			return q, t, status.Errorf(codes.PermissionDenied, "the ticket is for owner %q, and you are %q", t.Owner, c.client.Owner)
		}
		t.Owner = c.client.Owner
	}
	if len(t.Owner) > 255 {
		return q, t, status.Errorf(codes.InvalidArgument, "owner of %d bytes; 255 are allowed", len(t.Owner))
	}
	if t.ID == "" {
		t.ID = rand.Text()
	}
	q = coordinator.Query{ID: t.ID, Class: t.Class, Tenant: t.Owner, Retry: t.Retry, IdempotencyKey: t.Key}
	if q.Parts, q.Text, err = queryjson.Parts(raw); err != nil {
		return q, t, status.Error(codes.InvalidArgument, err.Error())
	}
	return q, t, nil
}

// parseDescriptor reads a descriptor: a command that is a plain ticket, or a path of a class and its shards.
func (s *Server) parseDescriptor(d *flight.FlightDescriptor, c *caller) (coordinator.Query, Ticket, error) {
	switch {
	case d.GetType() == flight.DescriptorCMD && len(d.GetCmd()) > 0:
		return s.parseTicket(d.GetCmd(), c)
	case d.GetType() == flight.DescriptorPATH && len(d.GetPath()) > 1:
		path := d.GetPath()
		q := coordinator.Query{ID: rand.Text(), Class: path[0], Tenant: c.client.Owner}
		for _, segment := range path[1:] {
			shard, err := strconv.Atoi(segment)
			if err != nil {
				return q, Ticket{}, status.Errorf(codes.InvalidArgument, "path: %q is no shard; it is CLASS, SHARD, SHARD ...", segment)
			}
			q.Parts = append(q.Parts, coordinator.Part{Shard: shard, Weight: 1 / float64(len(path)-1)})
		}
		return q, Ticket{ID: q.ID, Class: q.Class, Owner: q.Tenant}, nil
	}
	return coordinator.Query{}, Ticket{}, status.Error(codes.InvalidArgument, "the descriptor needs a ticket as its command, or a path of a class and its shards")
}

// flightResult holds the query and the answer of a flight; internal/session tracks its state.
type flightResult struct {
	query    coordinator.Query
	ranges   [][]coordinator.Part
	received atomic.Int32 // number of parts received
	cancel   context.CancelFunc
	done     chan struct{} // closed once the query has ended
	answer   coordinator.Answer
	err      error // set if there is no answer
}

// fetchTicket is the payload of a signed ticket.
type fetchTicket struct {
	Flight string `json:"f"`
	Range  int    `json:"r"`
}

// dropResults cancels the queries of ended flights and removes their results. The caller holds the lock.
func (s *Server) dropResults(ids []string) {
	for _, id := range ids {
		if result := s.results[id]; result != nil && result.cancel != nil {
			result.cancel()
		}
		delete(s.results, id)
	}
}

// sessionStatus returns the gRPC status of an error of internal/session.
func sessionStatus(err error) error {
	switch {
	case errors.Is(err, session.ErrOtherOwner):
		return status.Error(codes.PermissionDenied, err.Error())
	case errors.Is(err, session.ErrCancelled):
		return status.Error(codes.Canceled, err.Error())
	case errors.Is(err, session.ErrFull):
		return unavailable(err.Error(), drainRetryAfter)
	}
	return status.Error(codes.NotFound, err.Error()+"; ask for it anew")
}

// planFlight opens a flight for a query.
func (s *Server) planFlight(q coordinator.Query, t Ticket) (id string, result *flightResult, err error) {
	if err := s.Coordinator.Validate(&q); err != nil {
		return "", nil, status.Error(codes.InvalidArgument, err.Error())
	}
	n := max(1, t.Endpoints)
	if n > maxEndpoints || n > len(q.Parts) {
		return "", nil, status.Errorf(codes.InvalidArgument, "endpoints: %d; 1 to %d are possible", n, min(maxEndpoints, len(q.Parts)))
	}
	result = &flightResult{query: q, done: make(chan struct{})}
	for i := range n {
		result.ranges = append(result.ranges, q.Parts[i*len(q.Parts)/n:(i+1)*len(q.Parts)/n])
	}
	id = rand.Text()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	dropped, err := s.flights.Open(now, id, q.Tenant, n, now.Add(s.classOf(q.Class).limit()))
	s.dropResults(dropped)
	if err != nil {
		return "", nil, sessionStatus(err)
	}
	s.results[id] = result
	return id, result, nil
}

// limit returns how long a query of the class may take: at most an hour.
func (c Class) limit() time.Duration {
	if c.MaxDuration <= 0 || c.MaxDuration > time.Hour {
		return time.Hour
	}
	return c.MaxDuration
}

// flightInfo describes a flight. Its tickets are valid until the given time.
func (s *Server) flightInfo(d *flight.FlightDescriptor, id string, result *flightResult, until time.Time) *flight.FlightInfo {
	out := &flight.FlightInfo{Schema: flight.SerializeSchema(s.classOf(result.query.Class).Schema, memory.DefaultAllocator), FlightDescriptor: d,
		TotalRecords: -1, TotalBytes: -1, Ordered: false}
	for i := range result.ranges {
		payload, _ := json.Marshal(fetchTicket{id, i})
		out.Endpoint = append(out.Endpoint, &flight.FlightEndpoint{ExpirationTime: timestamppb.New(until),
			Ticket: &flight.Ticket{Ticket: s.keys.sign(purposeFetch, result.query.Tenant, until, payload)}})
	}
	return out
}

// ticketTTL is the lifetime of a ticket. Its flight may end before that.
const ticketTTL = 6 * time.Minute

// GetFlightInfo plans a query and returns tickets for its ranges. The query runs when the first of them is fetched.
func (s *Server) GetFlightInfo(ctx context.Context, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	q, t, err := s.parseDescriptor(d, callerOf(ctx))
	if err != nil {
		return nil, err
	}
	id, result, err := s.planFlight(q, t)
	if err != nil {
		return nil, err
	}
	return s.flightInfo(d, id, result, time.Now().Add(ticketTTL)), nil
}

// GetSchema returns the schema of a class's answers.
func (s *Server) GetSchema(ctx context.Context, d *flight.FlightDescriptor) (*flight.SchemaResult, error) {
	q, _, err := s.parseDescriptor(d, callerOf(ctx))
	if err != nil {
		return nil, err
	}
	if err := s.Coordinator.Validate(&q); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return &flight.SchemaResult{Schema: flight.SerializeSchema(s.classOf(q.Class).Schema, memory.DefaultAllocator)}, nil
}

// classInfo describes a class in ListFlights, as the metadata of its flight.
type classInfo struct {
	Class   string `json:"class"`
	Shards  int    `json:"shards"`
	Covered int    `json:"covered"` // shards that have a data node now
}

// ListFlights lists the classes and how many shards have a data node. Criteria are empty or {"class":"..."}.
func (s *Server) ListFlights(c *flight.Criteria, stream flight.FlightService_ListFlightsServer) error {
	var want struct{ Class string }
	if raw := c.GetExpression(); len(raw) > 0 {
		if err := json.Unmarshal(raw, &want); err != nil {
			return status.Errorf(codes.InvalidArgument, "criteria: %v; they are empty or {\"class\":\"...\"}", err)
		}
	}
	for _, class := range s.Classes {
		if want.Class != "" && want.Class != class.Name {
			continue
		}
		info := classInfo{Class: class.Name, Shards: s.Shards, Covered: s.Shards}
		if s.CoveredShards != nil {
			info.Covered = s.CoveredShards()
		}
		meta, _ := json.Marshal(info)
		if err := stream.Send(&flight.FlightInfo{Schema: flight.SerializeSchema(s.classOf(class.Name).Schema, memory.DefaultAllocator),
			FlightDescriptor: &flight.FlightDescriptor{Type: flight.DescriptorPATH, Path: []string{class.Name}},
			AppMetadata:      meta, TotalRecords: -1, TotalBytes: -1}); err != nil {
			return err
		}
	}
	return nil
}

// runQuery runs a flight's query and records its result. It is bound to no stream, since several may wait for it.
func (s *Server) runQuery(id string, result *flightResult, c *caller) {
	defer close(result.done)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.mu.Lock()
	result.cancel = cancel
	s.mu.Unlock()
	deadline := time.Now().Add(s.classOf(result.query.Class).limit())
	release, err := s.admitQuery(c, result.query.Tenant)
	if err == nil {
		q := result.query
		q.Deadline, q.ReceivedParts = deadline, &result.received
		var answer coordinator.Answer
		if answer, err = s.execute(ctx, q); err == nil {
			result.answer = answer
		}
		release()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.flights.Fail(time.Now(), id)
	} else {
		evicted, ok := s.flights.Complete(time.Now(), id, totalBytes(result.answer.Values))
		s.dropResults(evicted)
		if !ok {
			err = unavailable("answers that are kept hold all they may; fetch those, or ask for less", drainRetryAfter)
		}
	}
	if result.err = err; err != nil {
		result.answer = coordinator.Answer{}
	}
}

// claimRange claims a range of a flight and starts the flight's query if it has not been started.
func (s *Server) claimRange(c *caller, id, owner string, index int) (*flightResult, session.Next, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, err := s.flights.Claim(time.Now(), id, owner, index)
	result := s.results[id]
	if err != nil {
		return nil, 0, sessionStatus(err)
	}
	if next == session.Start {
		go s.runQuery(id, result, c)
	}
	return result, next, nil
}

// DoPut is not offered: all classes of this service are read-only.
func (s *Server) DoPut(stream flight.FlightService_DoPutServer) error {
	return status.Error(codes.Unimplemented, "no class takes data in; results are entered at the data nodes, and asked for by DoGet or DoExchange")
}
