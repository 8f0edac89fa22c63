package flight

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"gullfall/internal/admission"
)

// connKey is where a connection's number lies in its calls' contexts.
type connKey struct{}

// connCounter numbers connections: admission counts by them, since several clients may share an address.
type connCounter struct{ next *atomic.Uint64 }

func (c connCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return context.WithValue(ctx, connKey{}, c.next.Add(1))
}
func (c connCounter) HandleConn(context.Context, stats.ConnStats)                     {}
func (c connCounter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }
func (c connCounter) HandleRPC(context.Context, stats.RPCStats)                       {}

// caller is who asks, as a call's context has it.
type caller struct {
	client        admission.Client
	authenticated bool // the owner is known by credentials; else the ticket names it
	pass          *admission.Pass
}

type callerKey struct{}

func callerOf(ctx context.Context) *caller {
	g, _ := ctx.Value(callerKey{}).(*caller)
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

// admit lets a call in, or says why not. What it returns is to be called at the call's end.
func (s *Server) admit(ctx context.Context, method string) (context.Context, func(), error) {
	if s.draining() {
		return ctx, nil, unavailable("this coordinator drains; ask another, or come back", drainRetryAfter)
	}
	g := &caller{}
	g.client.Connection, _ = ctx.Value(connKey{}).(uint64)
	addr := address(ctx)
	g.client.Network = network(addr)
	if method != "/arrow.flight.protocol.FlightService/Handshake" {
		owner, named, err := s.authenticate(ctx)
		if err != nil {
			return ctx, nil, err
		}
		g.client.Owner, g.authenticated = owner, named
	}
	s.mu.Lock()
	pass, rejection := s.admission.Admit(time.Now(), g.client, admission.Stream)
	if rejection != nil {
		s.mu.Unlock()
		return ctx, nil, unavailable(rejection.Error(), rejection.RetryAfter)
	}
	g.pass = pass
	ctx, end := context.WithCancelCause(context.WithValue(ctx, callerKey{}, g))
	s.cancels[pass] = end
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		delete(s.cancels, pass)
		s.admission.Release(time.Now(), pass)
		s.mu.Unlock()
		end(nil)
	}, nil
}

func (s *Server) unary(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (_ any, err error) {
	ctx, leave, err := s.admit(ctx, info.FullMethod)
	if err != nil {
		return nil, err
	}
	defer leave()
	defer s.recoverPanic(&err)
	return handler(ctx, req)
}

// callerStream is a stream whose context knows the caller, and ends when the caller is evicted.
type callerStream struct {
	grpc.ServerStream
	ctx context.Context
}

func (g *callerStream) Context() context.Context { return g.ctx }

func (s *Server) stream(srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
	ctx, leave, err := s.admit(stream.Context(), info.FullMethod)
	if err != nil {
		return err
	}
	defer leave()
	done := make(chan error, 1)
	go func() {
		var err error
		defer func() { done <- err }()
		defer s.recoverPanic(&err)
		err = handler(srv, &callerStream{stream, ctx})
	}()
	select {
	case err = <-done:
	case <-ctx.Done():
		// A handler that waits for its reader is ended by the end of its stream, which is when this returns; one
		// that waits for anything else sees its context.
		if why := context.Cause(ctx); errors.Is(why, errStalled) || errors.Is(why, errMemoryPressure) {
			s.Log.Warn("slow reader evicted", "method", info.FullMethod, "cause", why)
			return unavailable(why.Error(), drainRetryAfter)
		}
		err = <-done
	}
	return err
}

// recoverPanic turns a panic of a handler into an error: it costs its call and nothing else.
func (s *Server) recoverPanic(err *error) {
	if cause := recover(); cause != nil {
		s.Log.Error("a Flight call panicked", "cause", cause)
		*err = status.Error(codes.Internal, "failed")
	}
}

// admitQuery lets a query in, beside its stream.
func (s *Server) admitQuery(g *caller, owner string) (leave func(), err error) {
	who := g.client
	if who.Owner == "" {
		who.Owner = owner
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	pass, rejection := s.admission.Admit(time.Now(), who, admission.Query)
	if rejection != nil {
		return nil, unavailable(rejection.Error(), rejection.RetryAfter)
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.admission.Release(time.Now(), pass)
	}, nil
}

// unavailable is a rejection with a time to come back.
func unavailable(why string, after time.Duration) error {
	st, err := status.New(codes.Unavailable, why).WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(after)})
	if err != nil {
		return status.Error(codes.Unavailable, why)
	}
	return st.Err()
}
