package flight

// This file owns the calls that tell what there is and what will come (ListFlights, GetFlightInfo, GetSchema,
// PollFlightInfo), and DoGet. A flight's query is asked once, whoever fetches whichever range. It must never give an
// answer to one that it does not belong to.

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

// mostEndpoints bounds the ranges of one flight.
const mostEndpoints = 64

// parse reads a plain ticket into a query, whose owner is the caller's where that is known.
func (s *Server) parse(raw []byte, g *guest) (q coordinator.Query, t Ticket, err error) {
	if err := json.Unmarshal(raw, &t); err != nil {
		return q, t, status.Errorf(codes.InvalidArgument, "ticket: %v", err)
	}
	if g.named {
		if t.Owner != "" && t.Owner != g.who.Owner {
			return q, t, status.Errorf(codes.PermissionDenied, "the ticket is for owner %q, and you are %q", t.Owner, g.who.Owner)
		}
		t.Owner = g.who.Owner
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

// describe reads a descriptor: a command that is a plain ticket, or a path of a class and its shards.
func (s *Server) describe(d *flight.FlightDescriptor, g *guest) (coordinator.Query, Ticket, error) {
	switch {
	case d.GetType() == flight.DescriptorCMD && len(d.GetCmd()) > 0:
		return s.parse(d.GetCmd(), g)
	case d.GetType() == flight.DescriptorPATH && len(d.GetPath()) > 1:
		path := d.GetPath()
		q := coordinator.Query{ID: rand.Text(), Class: path[0], Tenant: g.who.Owner}
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

// kept is what the server has of a flight, beside its account in internal/session.
type kept struct {
	query  coordinator.Query
	ranges [][]coordinator.Part
	in     atomic.Int32 // parts that have come
	stop   context.CancelFunc
	done   chan struct{} // closed once there is a final answer
	answer coordinator.Answer
	err    error // where there is none
}

// fetchTicket is the payload of a sealed ticket.
type fetchTicket struct {
	Flight string `json:"f"`
	Range  int    `json:"r"`
}

// forget drops what belongs to flights that are over. The caller holds the lock.
func (s *Server) forget(ids []string) {
	for _, id := range ids {
		if k := s.kept[id]; k != nil && k.stop != nil {
			k.stop()
		}
		delete(s.kept, id)
	}
}

// stateStatus is the status of an error of internal/session.
func stateStatus(err error) error {
	switch {
	case errors.Is(err, session.ErrOtherOwner):
		return status.Error(codes.PermissionDenied, err.Error())
	case errors.Is(err, session.ErrCancelled):
		return status.Error(codes.Canceled, err.Error())
	case errors.Is(err, session.ErrFull):
		return unavailable(err.Error(), drainAgain)
	}
	return status.Error(codes.NotFound, err.Error()+"; ask for it anew")
}

// plan opens a flight for a query.
func (s *Server) plan(q coordinator.Query, t Ticket) (id string, k *kept, err error) {
	if err := s.Core.Validate(&q); err != nil {
		return "", nil, status.Error(codes.InvalidArgument, err.Error())
	}
	n := max(1, t.Endpoints)
	if n > mostEndpoints || n > len(q.Parts) {
		return "", nil, status.Errorf(codes.InvalidArgument, "endpoints: %d; 1 to %d are possible", n, min(mostEndpoints, len(q.Parts)))
	}
	k = &kept{query: q, done: make(chan struct{})}
	for i := range n {
		k.ranges = append(k.ranges, q.Parts[i*len(q.Parts)/n:(i+1)*len(q.Parts)/n])
	}
	id = rand.Text()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	dropped, err := s.flights.Open(now, id, q.Tenant, n, now.Add(s.class(q.Class).limit()))
	s.forget(dropped)
	if err != nil {
		return "", nil, stateStatus(err)
	}
	s.kept[id] = k
	return id, k, nil
}

// limit is how long a query of the class may take.
func (c Class) limit() time.Duration {
	if c.Limit <= 0 || c.Limit > time.Hour {
		return time.Hour
	}
	return c.Limit
}

// info describes a flight. Its tickets hold until then.
func (s *Server) info(d *flight.FlightDescriptor, id string, k *kept, until time.Time) *flight.FlightInfo {
	out := &flight.FlightInfo{Schema: flight.SerializeSchema(s.class(k.query.Class).Schema, memory.DefaultAllocator), FlightDescriptor: d,
		TotalRecords: -1, TotalBytes: -1, Ordered: false}
	for i := range k.ranges {
		payload, _ := json.Marshal(fetchTicket{id, i})
		out.Endpoint = append(out.Endpoint, &flight.FlightEndpoint{ExpirationTime: timestamppb.New(until),
			Ticket: &flight.Ticket{Ticket: s.keys.seal(forFetch, k.query.Tenant, until, payload)}})
	}
	return out
}

// ticketTime is how long a ticket may be used; the flight that it is of may be over before.
const ticketTime = 6 * time.Minute

// GetFlightInfo plans a query and leads to its ranges. The query is asked when the first of them is fetched.
func (s *Server) GetFlightInfo(ctx context.Context, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	q, t, err := s.describe(d, guestOf(ctx))
	if err != nil {
		return nil, err
	}
	id, k, err := s.plan(q, t)
	if err != nil {
		return nil, err
	}
	return s.info(d, id, k, time.Now().Add(ticketTime)), nil
}

// GetSchema tells the schema of a class's answers.
func (s *Server) GetSchema(ctx context.Context, d *flight.FlightDescriptor) (*flight.SchemaResult, error) {
	q, _, err := s.describe(d, guestOf(ctx))
	if err != nil {
		return nil, err
	}
	if err := s.Core.Validate(&q); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return &flight.SchemaResult{Schema: flight.SerializeSchema(s.class(q.Class).Schema, memory.DefaultAllocator)}, nil
}

// listed is what ListFlights tells of a class, as the metadata of its flight.
type listed struct {
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
		l := listed{Class: class.Name, Shards: s.Shards, Covered: s.Shards}
		if s.Covered != nil {
			l.Covered = s.Covered()
		}
		meta, _ := json.Marshal(l)
		if err := stream.Send(&flight.FlightInfo{Schema: flight.SerializeSchema(s.class(class.Name).Schema, memory.DefaultAllocator),
			FlightDescriptor: &flight.FlightDescriptor{Type: flight.DescriptorPATH, Path: []string{class.Name}},
			AppMetadata:      meta, TotalRecords: -1, TotalBytes: -1}); err != nil {
			return err
		}
	}
	return nil
}

// run asks a flight's query and notes how it ended. It belongs to no stream: several may wait for it.
func (s *Server) run(id string, k *kept, g *guest) {
	defer close(k.done)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s.mu.Lock()
	k.stop = stop
	s.mu.Unlock()
	end := time.Now().Add(s.class(k.query.Class).limit())
	leave, err := s.query(g, k.query.Tenant)
	if err == nil {
		q := k.query
		q.Deadline, q.Received = end, &k.in
		var answer coordinator.Answer
		if answer, err = s.Core.Execute(ctx, q); errors.Is(err, coordinator.ErrGone) {
			err = status.Error(codes.Canceled, "was cancelled")
		} else if err = verdict(ctx, answer, err, end); err == nil {
			k.answer = answer
		}
		leave()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.flights.Fail(time.Now(), id)
	} else {
		evicted, ok := s.flights.Complete(time.Now(), id, size(k.answer.Values))
		s.forget(evicted)
		if !ok {
			err = unavailable("answers that are kept hold all they may; fetch those, or ask for less", drainAgain)
		}
	}
	if k.err = err; err != nil {
		k.answer = coordinator.Answer{}
	}
}

// claim asks for a range of a flight, and has its query asked where nobody has.
func (s *Server) claim(g *guest, id, owner string, r int) (*kept, session.Next, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, err := s.flights.Claim(time.Now(), id, owner, r)
	k := s.kept[id]
	if err != nil {
		return nil, 0, stateStatus(err)
	}
	if next == session.Start {
		go s.run(id, k, g)
	}
	return k, next, nil
}

// missing are the shards of parts that the hits lack.
func missing(parts []coordinator.Part, hits []coordinator.PartValue) (list []int) {
	have := map[int]bool{}
	for _, h := range hits {
		have[h.Shard] = true
	}
	for _, p := range parts {
		if !have[p.Shard] {
			list = append(list, p.Shard)
		}
	}
	return list
}

// DoGet fetches a range of a flight by its sealed ticket, or asks one query by a plain one.
func (s *Server) DoGet(t *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	ctx := stream.Context()
	g := guestOf(ctx)
	o, err := s.sessionOptions(ctx, g)
	if err != nil {
		return err
	}
	if sealed(t.GetTicket()) {
		return s.fetch(ctx, g, t.GetTicket(), o, stream)
	}
	q, _, err := s.parse(t.GetTicket(), g)
	if err != nil {
		return err
	}
	end, limited := ctx.Deadline()
	if !limited {
		return status.Error(codes.InvalidArgument, "a deadline is needed")
	}
	q.Deadline = end
	leave, err := s.query(g, q.Tenant)
	if err != nil {
		return err
	}
	defer leave()
	room, err := s.reserve(g, q.Class, len(q.Parts))
	if err != nil {
		return err
	}
	answer, err := s.Core.Execute(ctx, q)
	if err := verdict(ctx, answer, err, end); err != nil {
		room.drop()
		return err
	}
	return s.send(room, stream, s.class(q.Class), share{whole: answer.Complete, hits: answer.Values, missing: missing(q.Parts, answer.Values)}, o)
}

// send writes a share of an answer to a stream. A reader that is slow holds up its own stream, until its deadline or
// until the door cuts it.
func (s *Server) send(room *room, stream flight.DataStreamWriter, class Class, sh share, o options) error {
	total := size(sh.hits)
	read, err := room.come(total)
	if err != nil {
		return err
	}
	out := s.writer(stream, class.Schema, o)
	left := total
	err = write(out, class.Schema, sh, o, func(n int64) { read(n); left -= n })
	read(left)
	if cerr := out.Close(); err == nil {
		err = cerr
	}
	switch {
	case errors.Is(err, errBatch):
		s.Log.Error("answer not fit for the class's schema", "class", class.Name, "cause", err)
		return status.Errorf(codes.DataLoss, "a data node's answer can't be used: %v", err)
	case err != nil:
		s.Log.Info("answer not written whole", "cause", err)
	}
	return err
}

// fetch sends one range of a flight.
func (s *Server) fetch(ctx context.Context, g *guest, raw []byte, o options, stream flight.DataStreamWriter) error {
	owner, payload, err := s.keys.open(time.Now(), forFetch, raw)
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	if g.named && owner != g.who.Owner {
		return status.Error(codes.PermissionDenied, "the ticket belongs to another owner")
	}
	var t fetchTicket
	if err := json.Unmarshal(payload, &t); err != nil {
		return status.Error(codes.InvalidArgument, errToken.Error())
	}
	for {
		k, next, err := s.claim(g, t.Flight, owner, t.Range)
		if err != nil {
			return err
		}
		switch next {
		case session.Report:
			return k.err
		case session.Send:
			parts, whole := k.ranges[t.Range], k.answer.Complete
			var hits []coordinator.PartValue
			for _, p := range parts {
				for _, h := range k.answer.Values {
					if h.Shard == p.Shard {
						hits = append(hits, h)
					}
				}
			}
			// What is kept is counted with the flights; room is asked for what is sent of it.
			err := s.send(&room{s: s, g: g, class: k.query.Class}, stream, s.class(k.query.Class), share{whole: whole, hits: hits, missing: missing(parts, hits)}, o)
			s.mu.Lock()
			if err == nil {
				s.flights.Sent(time.Now(), t.Flight, t.Range)
			} else {
				s.flights.Interrupted(time.Now(), t.Flight, t.Range)
			}
			s.mu.Unlock()
			return err
		}
		select {
		case <-k.done:
		case <-ctx.Done():
			return status.FromContextError(ctx.Err()).Err()
		}
	}
}

// pollPause is how long a poll that has no news waits for some.
const pollPause = time.Second

// PollFlightInfo asks a query that takes long, and tells how far it is: by a descriptor at first, then by that of the
// last answer. Endpoints come once all is in.
func (s *Server) PollFlightInfo(ctx context.Context, d *flight.FlightDescriptor) (*flight.PollInfo, error) {
	g := guestOf(ctx)
	var id, owner string
	var k *kept
	if d.GetType() == flight.DescriptorCMD && sealed(d.GetCmd()) {
		from, payload, err := s.keys.open(time.Now(), forPoll, d.GetCmd())
		if err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		if g.named && from != g.who.Owner {
			return nil, status.Error(codes.PermissionDenied, "the descriptor belongs to another owner")
		}
		id, owner = string(payload), from
	} else {
		q, t, err := s.describe(d, g)
		if err != nil {
			return nil, err
		}
		if id, _, err = s.plan(q, t); err != nil {
			return nil, err
		}
		owner = q.Tenant
	}
	k, next, err := s.claim(g, id, owner, -1)
	if err != nil {
		return nil, err
	}
	if next == session.Wait || next == session.Start {
		before, pause := k.in.Load(), time.NewTimer(pollPause)
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
				waiting = next == session.Start || k.in.Load() == before
			case <-s.drain:
				pause.Stop()
				ticker.Stop()
				return nil, unavailable("this coordinator drains and answers are not handed on; ask another", drainAgain)
			case <-ctx.Done():
				pause.Stop()
				ticker.Stop()
				return nil, status.FromContextError(ctx.Err()).Err()
			}
		}
		pause.Stop()
		ticker.Stop()
	}
	until := time.Now().Add(ticketTime)
	progress := float64(k.in.Load()) / float64(len(k.query.Parts))
	select {
	case <-k.done:
		if k.err != nil {
			return nil, k.err
		}
		progress = 1
		return &flight.PollInfo{Info: s.info(d, id, k, until), Progress: &progress, ExpirationTime: timestamppb.New(until)}, nil
	default:
	}
	return &flight.PollInfo{Info: &flight.FlightInfo{FlightDescriptor: d, TotalRecords: -1, TotalBytes: -1,
		Schema: flight.SerializeSchema(s.class(k.query.Class).Schema, memory.DefaultAllocator)}, Progress: &progress, ExpirationTime: timestamppb.New(until),
		FlightDescriptor: &flight.FlightDescriptor{Type: flight.DescriptorCMD, Cmd: s.keys.seal(forPoll, owner, until, []byte(id))}}, nil
}

// DoPut is not offered: classes of this service only read.
func (s *Server) DoPut(stream flight.FlightService_DoPutServer) error {
	return status.Error(codes.Unimplemented, "no class takes data in; results are entered at the data nodes, and asked for by DoGet or DoExchange")
}
