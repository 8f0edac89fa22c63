// Package flight speaks Arrow Flight: a server for clients and a client of Flight data nodes. It maps calls, tickets,
// deadlines and errors to the core's terms and back. It must never decide anything that the core decides, who comes in
// (internal/admission) or what is kept for whom (internal/session), hold back an answer, or keep more for a slow reader
// than that reader's own answer.
//
//	server.go   the server, its limits and its end      calls.go     the calls that give information, and DoGet
//	auth.go     who asks                                exchange.go  DoExchange: many queries on one stream
//	tickets.go  sealed tokens                           actions.go   DoAction
//	codec.go    answers as record batches               nodes.go     data nodes
//
// A plain ticket is {"class":"...","owner":"...","shards":[{"shard":3,"weight":0.5}],"q":"..."}; its time is the gRPC
// deadline.
package flight

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"golang.org/x/net/netutil"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"gullfall/internal/admission"
	"gullfall/internal/coordinator"
	"gullfall/internal/queryjson"
	"gullfall/internal/session"
)

const (
	// A connection must have greeted within greetTime, and is closed after restTime without a call, as on the
	// platform's front.
	greetTime = 2 * time.Second
	restTime  = 30 * time.Second
	// A client that pings more often than each pingTime is told to go (GOAWAY, too_many_pings).
	pingTime = 5 * time.Second
	// drainAgain is when who comes during a drain may come back: another coordinator may serve by then.
	drainAgain = time.Second
)

// Class is one that is offered, as the settings have it.
type Class struct {
	Name   string
	Schema *arrow.Schema // nil for Schema
	Limit  time.Duration // longest time of a query
}

// Options is what a Server is told at its start. Only Core and Log are needed.
type Options struct {
	Core      *coordinator.Coordinator
	Log       *slog.Logger
	Memory    int64 // bytes that answers being read may hold in all; 0 for 16 MiB
	Admission admission.Config
	People    People
	Keys      []Key
	Classes   []Class
	Shards    int
	Covered   func() int // how many shards have a data node now; may be nil
}

// Server serves Flight clients.
type Server struct {
	flight.BaseFlightServer
	Options
	grpc   *grpc.Server
	people atomic.Pointer[People]
	keys   keyring
	conns  atomic.Uint64
	drain  chan struct{} // closed once it drains
	once   sync.Once

	mu       sync.Mutex // guards what follows; never held over a call or a write
	door     *admission.Controller
	cuts     map[*admission.Pass]context.CancelCauseFunc
	flights  *session.Flights
	kept     map[string]*kept
	sessions *session.Sessions
	presses  []*press
	sizes    admission.SizeEstimator
}

// NewServer returns a server in front of the core with nothing but a bound on what answers that are being read hold.
func NewServer(c *coordinator.Coordinator, log *slog.Logger, limit int64) *Server {
	s, err := New(Options{Core: c, Log: log, Memory: limit})
	if err != nil {
		panic(err) // there is no figure that could be wrong
	}
	return s
}

// New returns a server, or says which option can't be worked with.
func New(o Options) (*Server, error) {
	if o.Memory <= 0 {
		o.Memory = 16 << 20
	}
	o.Admission.All.Bytes = o.Memory
	door, err := admission.New(o.Admission)
	if err != nil {
		return nil, fmt.Errorf("flight.limits: %w", err)
	}
	s := &Server{Options: o, door: door, drain: make(chan struct{}), cuts: map[*admission.Pass]context.CancelCauseFunc{},
		flights: session.NewFlights(session.FlightConfig{MaxBytes: o.Memory / 2}), kept: map[string]*kept{},
		sessions: session.NewSessions(session.Config{Options: sessionChoices})}
	s.keys.set(o.Keys)
	s.people.Store(&o.People)
	s.grpc = grpc.NewServer(grpc.MaxRecvMsgSize(queryjson.MaxBytes), grpc.MaxConcurrentStreams(256),
		grpc.MaxHeaderListSize(16<<10), grpc.ConnectionTimeout(greetTime), grpc.StatsHandler(counter{&s.conns}),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: restTime}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingTime, PermitWithoutStream: false}),
		grpc.ChainUnaryInterceptor(s.unary), grpc.ChainStreamInterceptor(s.stream))
	flight.RegisterFlightServiceServer(s.grpc, s)
	return s, nil
}

// Reload takes in other people, keys and limits; who is in stays in.
func (s *Server) Reload(people People, keys []Key, door admission.Config) error {
	door.All.Bytes = s.Memory
	s.mu.Lock()
	err := s.door.SetLimits(door)
	s.mu.Unlock()
	if err != nil {
		return fmt.Errorf("flight.limits: %w", err)
	}
	s.people.Store(&people)
	if len(keys) > 0 {
		s.keys.set(keys)
	}
	return nil
}

// Serve accepts at most conns connections until Drain.
func (s *Server) Serve(ln net.Listener, conns int) error {
	done := make(chan struct{})
	defer close(done)
	go s.tick(done)
	return s.grpc.Serve(netutil.LimitListener(ln, conns))
}

// Drain stops listening, tells clients to go (GOAWAY) and refuses new streams with a time to come back. It returns
// once all that is open has its answer.
func (s *Server) Drain() {
	s.once.Do(func() { close(s.drain) })
	s.grpc.GracefulStop()
}

// draining tells whether the server drains.
func (s *Server) draining() bool {
	select {
	case <-s.drain:
		return true
	default:
		return false
	}
}

// Stop ends the server at once.
func (s *Server) Stop() { s.grpc.Stop() }

// tick lets time pass for the door, the flights and the sessions.
func (s *Server) tick(done <-chan struct{}) {
	ticker := time.NewTicker(250 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-ticker.C:
			s.mu.Lock()
			for _, p := range s.door.Tick(now) {
				s.cut(p, errStalled)
			}
			s.forget(s.flights.Tick(now))
			s.sessions.Tick(now)
			s.mu.Unlock()
		}
	}
}

var (
	errStalled = errors.New("the answer was not read for too long")
	errShort   = errors.New("the answer was read too slowly while memory is short; read it faster, or in more endpoints")
)

// cut ends the stream of a pass that the door has cut. The caller holds the lock.
func (s *Server) cut(p *admission.Pass, why error) {
	if end := s.cuts[p]; end != nil {
		end(why)
	}
}

// connKey is where a connection's number lies in its calls' contexts.
type connKey struct{}

// counter numbers connections: the door counts by them, since several clients may share an address.
type counter struct{ next *atomic.Uint64 }

func (c counter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return context.WithValue(ctx, connKey{}, c.next.Add(1))
}
func (c counter) HandleConn(context.Context, stats.ConnStats)                     {}
func (c counter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }
func (c counter) HandleRPC(context.Context, stats.RPCStats)                       {}

// guest is who asks, as a call's context has it.
type guest struct {
	who   admission.Client
	named bool // the owner is known by credentials; else the ticket names it
	pass  *admission.Pass
}

type guestKey struct{}

func guestOf(ctx context.Context) *guest {
	g, _ := ctx.Value(guestKey{}).(*guest)
	return g
}

// network is the name that an address counts under: its /24 or /48.
func network(a netip.Addr) string {
	bits := 24
	if a.Is6() {
		bits = 48
	}
	p, err := a.Prefix(bits)
	if err != nil {
		return ""
	}
	return p.String()
}

// enter lets a call in, or says why not. What it returns is to be called at the call's end.
func (s *Server) enter(ctx context.Context, method string) (context.Context, func(), error) {
	if s.draining() {
		return ctx, nil, unavailable("this coordinator drains; ask another, or come back", drainAgain)
	}
	g := &guest{}
	g.who.Connection, _ = ctx.Value(connKey{}).(uint64)
	addr := address(ctx)
	g.who.Network = network(addr)
	if method != "/arrow.flight.protocol.FlightService/Handshake" {
		owner, named, err := s.caller(ctx)
		if err != nil {
			return ctx, nil, err
		}
		g.who.Owner, g.named = owner, named
	}
	s.mu.Lock()
	pass, refusal := s.door.Admit(time.Now(), g.who, admission.Stream)
	if refusal != nil {
		s.mu.Unlock()
		return ctx, nil, unavailable(refusal.Error(), refusal.RetryAfter)
	}
	g.pass = pass
	ctx, end := context.WithCancelCause(context.WithValue(ctx, guestKey{}, g))
	s.cuts[pass] = end
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		delete(s.cuts, pass)
		s.door.Release(time.Now(), pass)
		s.mu.Unlock()
		end(nil)
	}, nil
}

func (s *Server) unary(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (_ any, err error) {
	ctx, leave, err := s.enter(ctx, info.FullMethod)
	if err != nil {
		return nil, err
	}
	defer leave()
	defer s.caught(&err)
	return handler(ctx, req)
}

// guarded is a stream whose context knows the guest, and ends when the door cuts it.
type guarded struct {
	grpc.ServerStream
	ctx context.Context
}

func (g *guarded) Context() context.Context { return g.ctx }

func (s *Server) stream(srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
	ctx, leave, err := s.enter(stream.Context(), info.FullMethod)
	if err != nil {
		return err
	}
	defer leave()
	done := make(chan error, 1)
	go func() {
		var err error
		defer func() { done <- err }()
		defer s.caught(&err)
		err = handler(srv, &guarded{stream, ctx})
	}()
	select {
	case err = <-done:
	case <-ctx.Done():
		// A handler that waits for its reader is ended by the end of its stream, which is when this returns; one
		// that waits for anything else sees its context.
		if why := context.Cause(ctx); why == errStalled || why == errShort {
			s.Log.Warn("reader was cut", "method", info.FullMethod, "cause", why)
			return unavailable(why.Error(), drainAgain)
		}
		err = <-done
	}
	return err
}

// caught turns a panic of a handler into an error: it costs its call and nothing else.
func (s *Server) caught(err *error) {
	if cause := recover(); cause != nil {
		s.Log.Error("a Flight call panicked", "cause", cause)
		*err = status.Error(codes.Internal, "failed")
	}
}

// unavailable is a refusal with a time to come back.
func unavailable(why string, after time.Duration) error {
	st, err := status.New(codes.Unavailable, why).WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(after)})
	if err != nil {
		return status.Error(codes.Unavailable, why)
	}
	return st.Err()
}

// query lets a query in, beside its stream.
func (s *Server) query(g *guest, owner string) (leave func(), err error) {
	who := g.who
	if who.Owner == "" {
		who.Owner = owner
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	pass, refusal := s.door.Admit(time.Now(), who, admission.Query)
	if refusal != nil {
		return nil, unavailable(refusal.Error(), refusal.RetryAfter)
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.door.Release(time.Now(), pass)
	}, nil
}

// room is what a query has asked for before its answer came.
type room struct {
	s     *Server
	g     *guest
	class string
	parts int
	bytes int64
}

// reserve asks for room for an answer that is still to come, by what its class has needed. It is given back by come or
// by drop.
func (s *Server) reserve(g *guest, class string, parts int) (*room, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &room{s, g, class, parts, min(s.sizes.Expect(class, parts), s.Memory)}
	cut, refusal := s.door.Reserve(time.Now(), g.pass, r.bytes)
	return r, s.held(cut, refusal, r.bytes)
}

// held ends the streams that were cut for another, and turns a refusal into an error. The caller holds the lock.
func (s *Server) held(cut []*admission.Pass, refusal *admission.Rejection, bytes int64) error {
	for _, p := range cut {
		s.cut(p, errShort)
	}
	if refusal == nil {
		return nil
	}
	s.Log.Warn("answers that are being read hold all they may; refused", "bytes", bytes, "cause", refusal)
	return unavailable(refusal.Error(), refusal.RetryAfter)
}

// drop gives the room back: no answer came.
func (r *room) drop() {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.s.door.Read(time.Now(), r.g.pass, r.bytes)
}

// come turns the room into that of the answer; read tells what of it has been read.
func (r *room) come(bytes int64) (read func(int64), err error) {
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizes.Learn(r.class, r.parts, bytes)
	if bytes < r.bytes {
		s.door.Read(time.Now(), r.g.pass, r.bytes-bytes)
	}
	cut, refusal := s.door.Hold(time.Now(), r.g.pass, bytes-r.bytes)
	if err := s.held(cut, refusal, bytes); err != nil {
		s.door.Read(time.Now(), r.g.pass, min(bytes, r.bytes))
		return nil, err
	}
	return func(n int64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.door.Read(time.Now(), r.g.pass, n)
	}, nil
}

// class finds a class's schema; classes that were not named have Schema.
func (s *Server) class(name string) Class {
	for _, c := range s.Classes {
		if c.Name == name {
			if c.Schema == nil {
				c.Schema = Schema
			}
			return c
		}
	}
	return Class{Name: name, Schema: Schema, Limit: time.Duration(math.MaxInt64)}
}

// verdict is an answer's status; nil where there is one.
func verdict(ctx context.Context, answer coordinator.Answer, err error, end time.Time) error {
	switch {
	case errors.Is(err, coordinator.ErrInput) && ctx.Err() == nil:
		return status.Error(codes.InvalidArgument, err.Error())
	case err != nil:
		return status.FromContextError(ctx.Err()).Err()
	case answer.Status == coordinator.Rejected:
		return unavailable("refused", answer.RetryAfter)
	case answer.Status != coordinator.Answered && !time.Now().Before(end):
		return status.Error(codes.DeadlineExceeded, "the query's time is over")
	case answer.Status != coordinator.Answered:
		return status.Error(codes.Internal, "failed")
	}
	return nil
}
