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

// connKey is the context key of the connection number.
type connKey struct{}

// connCounter numbers connections. Admission counts calls by connection, since several clients may share an address.
type connCounter struct{ next *atomic.Uint64 }

func (c connCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return context.WithValue(ctx, connKey{}, c.next.Add(1))
}
func (c connCounter) HandleConn(context.Context, stats.ConnStats)                     {}
func (c connCounter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }
func (c connCounter) HandleRPC(context.Context, stats.RPCStats)                       {}

// caller identifies the client of a call; it is stored in the call's context.
type caller struct {
	client        admission.Client
	authenticated bool // the owner is known by credentials or network; otherwise the ticket names it
	pass          *admission.Pass
}

type callerKey struct{}

func callerOf(ctx context.Context) *caller {
	c, _ := ctx.Value(callerKey{}).(*caller)
	return c
}

// networkPrefix returns the network under which admission counts an address: its /24 or /48.
func networkPrefix(a netip.Addr) string {
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

// admit admits a call or returns the reason for refusing it. The returned function must be called when the call ends.
func (s *Server) admit(ctx context.Context, method string) (context.Context, func(), error) {
	if s.drain.refusesCalls() {
		return ctx, nil, errDraining
	}
	c := &caller{}
	c.client.Connection, _ = ctx.Value(connKey{}).(uint64)
	addr := remoteAddr(ctx)
	c.client.Network = networkPrefix(addr)
	if method != "/arrow.flight.protocol.FlightService/Handshake" {
		owner, authenticated, err := s.authenticate(ctx)
		if err != nil {
			return ctx, nil, err
		}
		c.client.Owner, c.authenticated = owner, authenticated
	}
	s.mu.Lock()
	pass, rejection := s.admission.Admit(time.Now(), c.client, admission.Stream)
	if rejection != nil {
		s.mu.Unlock()
		return ctx, nil, unavailable(rejection.Error(), rejection.RetryAfter)
	}
	c.pass = pass
	ctx, cancel := context.WithCancelCause(context.WithValue(ctx, callerKey{}, c))
	s.cancels[pass] = cancel
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		delete(s.cancels, pass)
		s.admission.Release(time.Now(), pass)
		s.mu.Unlock()
		cancel(nil)
	}, nil
}

func (s *Server) unary(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (_ any, err error) {
	ctx, release, err := s.admit(ctx, info.FullMethod)
	if err != nil {
		return nil, err
	}
	defer release()
	defer s.recoverPanic(&err)
	return handler(ctx, req)
}

// callerStream is a server stream whose context holds the caller and is cancelled when the caller is evicted.
type callerStream struct {
	grpc.ServerStream
	ctx context.Context
}

func (c *callerStream) Context() context.Context { return c.ctx }

func (s *Server) stream(srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
	ctx, release, err := s.admit(stream.Context(), info.FullMethod)
	if err != nil {
		return err
	}
	defer release()
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
		// A handler blocked on a slow reader ends with its stream, that is, when this function returns. A handler
		// blocked on anything else ends with its context.
		if cause := context.Cause(ctx); errors.Is(cause, errStalled) || errors.Is(cause, errMemoryPressure) {
			s.Log.Warn("slow reader evicted", "method", info.FullMethod, "cause", cause)
			return unavailable(cause.Error(), drainRetryAfter)
		}
		err = <-done
	}
	return err
}

// recoverPanic turns a panic of a handler into an error, so that only its own call fails.
func (s *Server) recoverPanic(err *error) {
	if cause := recover(); cause != nil {
		s.Log.Error("a Flight call panicked", "cause", cause)
		*err = status.Error(codes.Internal, "failed")
	}
}

// admitQuery admits a query on a stream that is already admitted. The returned function must be called when the query ends.
func (s *Server) admitQuery(c *caller, owner string) (release func(), err error) {
	client := c.client
	if client.Owner == "" {
		client.Owner = owner
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	pass, rejection := s.admission.Admit(time.Now(), client, admission.Query)
	if rejection != nil {
		return nil, unavailable(rejection.Error(), rejection.RetryAfter)
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.admission.Release(time.Now(), pass)
	}, nil
}

// unavailable returns an Unavailable status that tells the client when to retry.
func unavailable(message string, retryAfter time.Duration) error {
	st, err := status.New(codes.Unavailable, message).WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(retryAfter)})
	if err != nil {
		return status.Error(codes.Unavailable, message)
	}
	return st.Err()
}
