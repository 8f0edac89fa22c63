// Package flight implements Arrow Flight: a server for clients and a client of Flight data nodes. It translates calls, tickets,
// deadlines and errors to the coordinator's types and back. The coordinator executes queries, internal/admission decides which calls
// and queries are admitted, and internal/session keeps the state between calls. For a slow reader, only its own answer is buffered.
//
//	server.go      the server, its limits and its shutdown   nodes.go       channels to data nodes
//	listener.go    the limit on connections
//	interceptor.go admission of calls, panics                nodecalls.go   calls to data nodes by DoExchange
//	auth.go        authentication                            nodeparts.go   requests for single parts by DoGet
//	tickets.go     signed tokens                             backoff.go     pauses between failed connections
//	info.go        calls that describe flights               codec.go       answers as record batches
//	doget.go       DoGet                                     compress.go    compressed batches
//	poll.go        PollFlightInfo                            memory.go      memory that answers may hold
//	exchange.go    DoExchange: many queries on one stream    actions.go     DoAction
//	drain.go       the steps of a shutdown                   nodestatus.go  whose word a status is, and what it proves
//
// A plain ticket is {"class":"...","owner":"...","shards":[{"shard":3,"weight":0.5}],"q":"..."}; the query's deadline is the gRPC
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
	// A connection must complete its handshake within handshakeTimeout and is closed after idleTimeout without a call,
	// as in internal/platform.
	handshakeTimeout = 2 * time.Second
	idleTimeout      = 30 * time.Second
	// A client that sends pings at shorter intervals is disconnected (GOAWAY, too_many_pings).
	minPingInterval = 5 * time.Second
)

// Class is a configured query class.
type Class struct {
	Name        string
	Schema      *arrow.Schema // nil means the package's Schema
	MaxDuration time.Duration // maximum duration of a query
}

// Options configures a Server. Only Coordinator and Log are required.
type Options struct {
	Coordinator    *coordinator.Coordinator
	Log            *slog.Logger
	MaxAnswerBytes int64 // bytes that all answers being read may hold together; 0 means 16 MiB
	Admission      admission.Config
	AccessPolicy   AccessPolicy
	Keys           []Key
	Classes        []Class
	Shards         int
	CoveredShards  func() int // returns the number of shards that have a data node now; may be nil
}

// Server serves Flight clients.
type Server struct {
	flight.BaseFlightServer
	Options
	grpc   *grpc.Server
	policy atomic.Pointer[AccessPolicy]
	keys   keyring
	conns  atomic.Uint64
	drain  *drain

	mu            sync.Mutex // guards the fields below; never held during a call or a write
	admission     *admission.Controller
	cancels       map[*admission.Pass]context.CancelCauseFunc
	flights       *session.Flights
	results       map[string]*flightResult
	sessions      *session.Sessions
	compressors   []*compressor
	sizeEstimates admission.SizeEstimator
}

// New returns a server, or an error that names the invalid option.
func New(o Options) (*Server, error) {
	if o.MaxAnswerBytes <= 0 {
		o.MaxAnswerBytes = 16 << 20
	}
	o.Admission.All.Bytes = o.MaxAnswerBytes
	controller, err := admission.New(o.Admission)
	if err != nil {
		return nil, fmt.Errorf("flight.limits: %w", err)
	}
	s := &Server{Options: o, admission: controller, drain: newDrain(), cancels: map[*admission.Pass]context.CancelCauseFunc{},
		flights: session.NewFlights(session.FlightConfig{MaxBytes: o.MaxAnswerBytes / 2}), results: map[string]*flightResult{},
		sessions: session.NewSessions(session.Config{Options: sessionOptionSpecs})}
	s.keys.set(o.Keys)
	s.policy.Store(&o.AccessPolicy)
	s.grpc = grpc.NewServer(grpc.MaxRecvMsgSize(queryjson.MaxBytes), grpc.MaxConcurrentStreams(256),
		grpc.MaxHeaderListSize(16<<10), grpc.ConnectionTimeout(handshakeTimeout), grpc.StatsHandler(connCounter{&s.conns}),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: false}),
		grpc.ChainUnaryInterceptor(s.unary), grpc.ChainStreamInterceptor(s.stream))
	flight.RegisterFlightServiceServer(s.grpc, s)
	return s, nil
}

// Reload replaces the access policy, the keys (unless none are given) and the limits. Calls that are already admitted go on.
func (s *Server) Reload(policy AccessPolicy, keys []Key, limits admission.Config) error {
	limits.All.Bytes = s.MaxAnswerBytes
	s.mu.Lock()
	err := s.admission.SetLimits(limits)
	s.mu.Unlock()
	if err != nil {
		return fmt.Errorf("flight.limits: %w", err)
	}
	s.policy.Store(&policy)
	if len(keys) > 0 {
		s.keys.set(keys)
	}
	return nil
}

// Serve accepts connections, at most conns at once, until GracefulStop or Stop.
func (s *Server) Serve(ln net.Listener, conns int) error {
	done := make(chan struct{})
	defer close(done)
	go s.tick(done)
	return s.grpc.Serve(newLimitListener(ln, conns, s.Log))
}

// Stop ends the server at once, and with it all open calls.
func (s *Server) Stop() { s.grpc.Stop() }

// tick expires what is due in admission, flights and sessions at regular intervals until done is closed.
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

// cancelStream ends the stream of an evicted pass. The caller holds the lock.
func (s *Server) cancelStream(p *admission.Pass, cause error) {
	if cancel := s.cancels[p]; cancel != nil {
		cancel(cause)
	}
}

// classOf returns the class with this name and its schema. A class that is not configured gets Schema and no time limit.
func (s *Server) classOf(name string) Class {
	for _, c := range s.Classes {
		if c.Name == name {
			if c.Schema == nil {
				c.Schema = Schema
			}
			return c
		}
	}
	return Class{Name: name, Schema: Schema, MaxDuration: time.Duration(math.MaxInt64)}
}

// statusOf returns the gRPC status of a query that ended at Execute without an answer, or nil if it has one.
func statusOf(ctx context.Context, answer coordinator.Answer, err error, deadline time.Time) error {
	switch {
	case errors.Is(err, coordinator.ErrInvalidQuery) && ctx.Err() == nil:
		return status.Error(codes.InvalidArgument, err.Error())
	case errors.Is(err, coordinator.ErrClientGone) && errors.Is(ctx.Err(), context.Canceled):
		return status.Error(codes.Canceled, "was cancelled")
	case err != nil:
		return status.FromContextError(ctx.Err()).Err()
	case answer.Status == coordinator.Rejected:
		return unavailable("refused", answer.RetryAfter)
	case answer.Status != coordinator.Answered && !time.Now().Before(deadline):
		return status.Error(codes.DeadlineExceeded, "the query's time is over")
	case answer.Status != coordinator.Answered:
		return status.Error(codes.Internal, "failed")
	}
	return nil
}
