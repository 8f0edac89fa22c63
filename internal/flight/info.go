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

// Ticket is what a client asks with; the parts are in the form that package ask reads.
type Ticket struct {
	ID        string // made up where it is missing
	Class     string
	Owner     string
	Retry     bool
	Key       string `json:"idempotency_key"` // what a keyed class needs, the same for each retry
	Endpoints int    // GetFlightInfo, PollFlightInfo: ranges of parts that can be fetched apart; 1 where it is missing
}

// maxEndpoints bounds the ranges of one flight.
const maxEndpoints = 64

// parseTicket reads a plain ticket into a query, whose owner is the caller's where that is known.
func (s *Server) parseTicket(raw []byte, g *caller) (q coordinator.Query, t Ticket, err error) {
	if err := json.Unmarshal(raw, &t); err != nil {
		return q, t, status.Errorf(codes.InvalidArgument, "ticket: %v", err)
	}
	if g.authenticated {
		if t.Owner != "" && t.Owner != g.client.Owner {
			return q, t, status.Errorf(codes.PermissionDenied, "the ticket is for owner %q, and you are %q", t.Owner, g.client.Owner)
		}
		t.Owner = g.client.Owner
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
func (s *Server) parseDescriptor(d *flight.FlightDescriptor, g *caller) (coordinator.Query, Ticket, error) {
	switch {
	case d.GetType() == flight.DescriptorCMD && len(d.GetCmd()) > 0:
		return s.parseTicket(d.GetCmd(), g)
	case d.GetType() == flight.DescriptorPATH && len(d.GetPath()) > 1:
		path := d.GetPath()
		q := coordinator.Query{ID: rand.Text(), Class: path[0], Tenant: g.client.Owner}
		for _, word := range path[1:] {
			shard, err := strconv.Atoi(word)
			if err != nil {
				return q, Ticket{}, status.Errorf(codes.InvalidArgument, "path: %q is no shard; it is CLASS, SHARD, SHARD ...", word)
			}
			q.Parts = append(q.Parts, coordinator.Part{Shard: shard, Weight: 1 / float64(len(path)-1)})
		}
		return q, Ticket{ID: q.ID, Class: q.Class, Owner: q.Tenant}, nil
	}
	return coordinator.Query{}, Ticket{}, status.Error(codes.InvalidArgument, "the descriptor needs a ticket as its command, or a path of a class and its shards")
}

// flightResult is what the server has of a flight, beside its account in internal/session.
type flightResult struct {
	query    coordinator.Query
	ranges   [][]coordinator.Part
	received atomic.Int32 // parts that have come
	cancel   context.CancelFunc
	done     chan struct{} // closed once there is a final answer
	answer   coordinator.Answer
	err      error // where there is none
}

// fetchTicket is the payload of a sealed ticket.
type fetchTicket struct {
	Flight string `json:"f"`
	Range  int    `json:"r"`
}

// dropResults drops what belongs to flights that are over. The caller holds the lock.
func (s *Server) dropResults(ids []string) {
	for _, id := range ids {
		if k := s.results[id]; k != nil && k.cancel != nil {
			k.cancel()
		}
		delete(s.results, id)
	}
}

// sessionStatus is the status of an error of internal/session.
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
func (s *Server) planFlight(q coordinator.Query, t Ticket) (id string, k *flightResult, err error) {
	if err := s.Coordinator.Validate(&q); err != nil {
		return "", nil, status.Error(codes.InvalidArgument, err.Error())
	}
	n := max(1, t.Endpoints)
	if n > maxEndpoints || n > len(q.Parts) {
		return "", nil, status.Errorf(codes.InvalidArgument, "endpoints: %d; 1 to %d are possible", n, min(maxEndpoints, len(q.Parts)))
	}
	k = &flightResult{query: q, done: make(chan struct{})}
	for i := range n {
		k.ranges = append(k.ranges, q.Parts[i*len(q.Parts)/n:(i+1)*len(q.Parts)/n])
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
	s.results[id] = k
	return id, k, nil
}

// limit is how long a query of the class may take.
func (c Class) limit() time.Duration {
	if c.Limit <= 0 || c.Limit > time.Hour {
		return time.Hour
	}
	return c.Limit
}

// flightInfo describes a flight. Its tickets hold until then.
func (s *Server) flightInfo(d *flight.FlightDescriptor, id string, k *flightResult, until time.Time) *flight.FlightInfo {
	out := &flight.FlightInfo{Schema: flight.SerializeSchema(s.classOf(k.query.Class).Schema, memory.DefaultAllocator), FlightDescriptor: d,
		TotalRecords: -1, TotalBytes: -1, Ordered: false}
	for i := range k.ranges {
		payload, _ := json.Marshal(fetchTicket{id, i})
		out.Endpoint = append(out.Endpoint, &flight.FlightEndpoint{ExpirationTime: timestamppb.New(until),
			Ticket: &flight.Ticket{Ticket: s.keys.seal(forFetch, k.query.Tenant, until, payload)}})
	}
	return out
}

// ticketTTL is how long a ticket may be used; the flight that it is of may be over before.
const ticketTTL = 6 * time.Minute

// GetFlightInfo plans a query and leads to its ranges. The query is asked when the first of them is fetched.
func (s *Server) GetFlightInfo(ctx context.Context, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	q, t, err := s.parseDescriptor(d, callerOf(ctx))
	if err != nil {
		return nil, err
	}
	id, k, err := s.planFlight(q, t)
	if err != nil {
		return nil, err
	}
	return s.flightInfo(d, id, k, time.Now().Add(ticketTTL)), nil
}

// GetSchema tells the schema of a class's answers.
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

// classInfo is what ListFlights tells of a class, as the metadata of its flight.
type classInfo struct {
	Class   string `json:"class"`
	Shards  int    `json:"shards"`
	Covered int    `json:"covered"` // shards that have a data node now
}

// ListFlights tells what classes there are, and how many shards have a data node. Criteria are empty, or {"class":"..."}.
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
		l := classInfo{Class: class.Name, Shards: s.Shards, Covered: s.Shards}
		if s.Covered != nil {
			l.Covered = s.Covered()
		}
		meta, _ := json.Marshal(l)
		if err := stream.Send(&flight.FlightInfo{Schema: flight.SerializeSchema(s.classOf(class.Name).Schema, memory.DefaultAllocator),
			FlightDescriptor: &flight.FlightDescriptor{Type: flight.DescriptorPATH, Path: []string{class.Name}},
			AppMetadata:      meta, TotalRecords: -1, TotalBytes: -1}); err != nil {
			return err
		}
	}
	return nil
}

// runQuery asks a flight's query and notes how it ended. It belongs to no stream: several may wait for it.
func (s *Server) runQuery(id string, k *flightResult, g *caller) {
	defer close(k.done)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s.mu.Lock()
	k.cancel = stop
	s.mu.Unlock()
	end := time.Now().Add(s.classOf(k.query.Class).limit())
	leave, err := s.admitQuery(g, k.query.Tenant)
	if err == nil {
		q := k.query
		q.Deadline, q.ReceivedParts = end, &k.received
		var answer coordinator.Answer
		if answer, err = s.Coordinator.Execute(ctx, q); errors.Is(err, coordinator.ErrClientGone) {
			err = status.Error(codes.Canceled, "was cancelled")
		} else if err = statusOf(ctx, answer, err, end); err == nil {
			k.answer = answer
		}
		leave()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.flights.Fail(time.Now(), id)
	} else {
		evicted, ok := s.flights.Complete(time.Now(), id, totalBytes(k.answer.Values))
		s.dropResults(evicted)
		if !ok {
			err = unavailable("answers that are kept hold all they may; fetch those, or ask for less", drainRetryAfter)
		}
	}
	if k.err = err; err != nil {
		k.answer = coordinator.Answer{}
	}
}

// claimRange asks for a range of a flight, and has its query asked where nobody has.
func (s *Server) claimRange(g *caller, id, owner string, r int) (*flightResult, session.Next, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, err := s.flights.Claim(time.Now(), id, owner, r)
	k := s.results[id]
	if err != nil {
		return nil, 0, sessionStatus(err)
	}
	if next == session.Start {
		go s.runQuery(id, k, g)
	}
	return k, next, nil
}

// DoPut is not offered: classes of this service only read.
func (s *Server) DoPut(stream flight.FlightService_DoPutServer) error {
	return status.Error(codes.Unimplemented, "no class takes data in; results are entered at the data nodes, and asked for by DoGet or DoExchange")
}
