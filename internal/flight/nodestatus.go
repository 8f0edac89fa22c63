package flight

import (
	"context"
	"errors"
	"sync/atomic"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"gullfall/internal/coordinator"
)

// response records what a data node has sent in response to a request. Status codes alone don't tell whose they are: the gRPC library
// itself ends a stream with RESOURCE_EXHAUSTED, for example, when a message exceeds its limit or a stream is reset, and with
// UNIMPLEMENTED when the peer is no gRPC server. By then the data node may have run the request.
type response struct {
	headers  atomic.Bool // the data node has begun to answer
	trailers atomic.Bool // the data node has sent a status
}

// statusOnly reports whether the whole response is a status of the data node. Only such a status can prove that nothing has run.
func (r *response) statusOnly() bool { return r.trailers.Load() && !r.headers.Load() }

// responseKey is the context key of the response that responseRecorder fills.
type responseKey struct{}

// recordResponse returns a context for one request to a data node, and the record of its response.
func recordResponse(ctx context.Context) (context.Context, *response) {
	r := &response{}
	return context.WithValue(ctx, responseKey{}, r), r
}

// responseRecorder fills the response in the context of each request, if there is one.
type responseRecorder struct{}

// TagConn implements stats.Handler.
func (responseRecorder) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (responseRecorder) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (responseRecorder) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (responseRecorder) HandleRPC(ctx context.Context, event stats.RPCStats) {
	r, recorded := ctx.Value(responseKey{}).(*response)
	if !recorded {
		return
	}
	switch event.(type) {
	case *stats.InHeader:
		r.headers.Store(true)
	case *stats.InTrailer:
		r.trailers.Store(true)
	}
}

// outcomeOfStream returns the outcome of an attempt whose stream failed with err:
//
//	the attempt was cancelled, or its time is over                       Cancelled
//	its content can't be used                                            Errored
//	the data node's response is only a status that rejects the request   Overloaded: nothing has run
//	the connection failed                                                Reset
//	anything else                                                        Errored
//
// All but Overloaded may have run.
func outcomeOfStream(ctx context.Context, r *response, err error) coordinator.Outcome {
	switch {
	case ctx.Err() != nil:
		return coordinator.Cancelled
	case errors.Is(err, errMalformedStream):
		return coordinator.Errored
	case r.statusOnly() && rejects(err):
		return coordinator.Overloaded
	case status.Code(err) == codes.Unavailable && !hasRetryInfo(err):
		return coordinator.Reset
	}
	return coordinator.Errored
}

// rejects reports whether a status is one by which a data node rejects a request.
func rejects(err error) bool {
	code := status.Code(err)
	return code == codes.ResourceExhausted || code == codes.Unavailable && hasRetryInfo(err)
}

// hasRetryInfo reports whether a status tells when to retry.
func hasRetryInfo(err error) bool {
	for _, detail := range status.Convert(err).Details() {
		if _, ok := detail.(*errdetails.RetryInfo); ok {
			return true
		}
	}
	return false
}

// offersNoExchange reports whether a data node has answered a call with nothing but the status that it does not offer DoExchange.
func offersNoExchange(r *response, err error) bool {
	return r.statusOnly() && status.Code(err) == codes.Unimplemented
}
