// Package flight speaks Arrow Flight: a server for clients and a client of Flight data nodes. It maps calls, tickets, deadlines
// and errors to the coordinator's terms and back. Queries are decided on by the coordinator, what is admitted by
// internal/admission, and what is kept between calls by internal/session; for a slow reader nothing is buffered but that reader's
// own answer.
//
//	server.go      the server, its limits and its shutdown   nodes.go       channels to data nodes
//	interceptor.go admission of calls, panics                nodecalls.go   calls to data nodes by DoExchange
//	auth.go        who asks                                  nodeparts.go   parts asked for by DoGet
//	tickets.go     sealed tokens                             backoff.go     pauses between failed connections
//	info.go        calls that describe flights               codec.go       answers as record batches
//	doget.go       DoGet                                     compress.go    compressed batches
//	poll.go        PollFlightInfo                            memory.go      memory that answers may hold
//	exchange.go    DoExchange: many queries on one stream    actions.go     DoAction
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
	"sync"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"gullfall/internal/admission"
	"gullfall/internal/coordinator"
	"gullfall/internal/queryjson"
	"gullfall/internal/session"
)

const (
	// A connection must have greeted within greetTime, and is closed after restTime without a call, as on the
	// platform's front.
	handshakeTimeout = 2 * time.Second
	idleTimeout      = 30 * time.Second
	// A client that pings more often than each pingTime is told to go (GOAWAY, too_many_pings).
	minPingInterval = 5 * time.Second
	// drainRetryAfter is when who comes during a drain may come back: another coordinator may serve by then.
	drainRetryAfter = time.Second
)

// Class is one that is offered, as the settings have it.
type Class struct {
	Name   string
	Schema *arrow.Schema // nil for Schema
	Limit  time.Duration // longest time of a query
}

// Options configures a Server. Only Coordinator and Log are needed.
type Options struct {
	Coordinator *coordinator.Coordinator
	Log         *slog.Logger
	Memory      int64 // bytes that answers being read may hold in all; 0 for 16 MiB
	Admission   admission.Config
	People      People
	Keys        []Key
	Classes     []Class
	Shards      int
	Covered     func() int // how many shards have a data node now; may be nil
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

	mu            sync.Mutex // guards what follows; never held over a call or a write
	admission     *admission.Controller
	cancels       map[*admission.Pass]context.CancelCauseFunc
	flights       *session.Flights
	results       map[string]*flightResult
	sessions      *session.Sessions
	compressors   []*compressor
	sizeEstimates admission.SizeEstimator
}

// New returns a server, or says which option can't be worked with.
func New(o Options) (*Server, error) {
	if o.Memory <= 0 {
		o.Memory = 16 << 20
	}
	o.Admission.All.Bytes = o.Memory
	controller, err := admission.New(o.Admission)
	if err != nil {
		return nil, fmt.Errorf("flight.limits: %w", err)
	}
	s := &Server{Options: o, admission: controller, drain: make(chan struct{}), cancels: map[*admission.Pass]context.CancelCauseFunc{},
		flights: session.NewFlights(session.FlightConfig{MaxBytes: o.Memory / 2}), results: map[string]*flightResult{},
		sessions: session.NewSessions(session.Config{Options: sessionChoices})}
	s.keys.set(o.Keys)
	s.people.Store(&o.People)
	s.grpc = grpc.NewServer(grpc.MaxRecvMsgSize(queryjson.MaxBytes), grpc.MaxConcurrentStreams(256),
		grpc.MaxHeaderListSize(16<<10), grpc.ConnectionTimeout(handshakeTimeout), grpc.StatsHandler(connCounter{&s.conns}),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: false}),
		grpc.ChainUnaryInterceptor(s.unary), grpc.ChainStreamInterceptor(s.stream))
	flight.RegisterFlightServiceServer(s.grpc, s)
	return s, nil
}

// Reload takes in other people, keys and limits; who is in stays in.
func (s *Server) Reload(people People, keys []Key, limits admission.Config) error {
	limits.All.Bytes = s.Memory
	s.mu.Lock()
	err := s.admission.SetLimits(limits)
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

// tick lets time pass for admission, flights and sessions.
func (s *Server) tick(done <-chan struct{}) {
	ticker := time.NewTicker(250 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-ticker.C:
			s.mu.Lock()
			for _, p := range s.admission.Tick(now) {
				s.cancelStream(p, errStalled)
			}
			s.dropResults(s.flights.Tick(now))
			s.sessions.Tick(now)
			s.mu.Unlock()
		}
	}
}

var (
	errStalled        = errors.New("the answer was not read for too long")
	errMemoryPressure = errors.New("the answer was read too slowly while memory is short; read it faster, or in more endpoints")
)

// cancelStream ends the stream of a pass that was evicted. The caller holds the lock.
func (s *Server) cancelStream(p *admission.Pass, why error) {
	if end := s.cancels[p]; end != nil {
		end(why)
	}
}

// classOf finds a class's schema; classes that were not named have Schema.
func (s *Server) classOf(name string) Class {
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

// statusOf is an answer's status; nil where there is one.
func statusOf(ctx context.Context, answer coordinator.Answer, err error, end time.Time) error {
	switch {
	case errors.Is(err, coordinator.ErrInvalidQuery) && ctx.Err() == nil:
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
