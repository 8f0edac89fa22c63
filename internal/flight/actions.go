package flight

// DoAction: cancelling and renewing flights, session options, and the load report. Actions on a flight or a session of another owner
// are refused (PermissionDenied).

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	gen "github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	flightsession "github.com/apache/arrow-go/v18/arrow/flight/session"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"gullfall/internal/session"
)

// Names of the session options.
const (
	optionCodec     = "compression" // codec of the columns: none, zstd or lz4
	optionBatchRows = "batch_rows"  // maximum rows of a batch, 1 to 65536
)

var sessionOptionSpecs = []session.Option{
	{Name: optionCodec, Values: []string{"none", "zstd", "lz4"}},
	{Name: optionBatchRows, Check: func(v string) error {
		if n, err := strconv.Atoi(v); err != nil || n < 1 || n > 65536 {
			return fmt.Errorf("%q is not within 1 and 65536", v)
		}
		return nil
	}},
}

// action is an action that DoAction offers.
type action struct {
	description string
	run         func(s *Server, ctx context.Context, body []byte) (proto.Message, error)
}

var actions map[string]action

func init() {
	actions = map[string]action{
		flight.CancelFlightInfoActionType:    {"Give a flight up. Body and result as Flight.proto has them.", (*Server).cancelFlight},
		flight.RenewFlightEndpointActionType: {"Keep a flight's endpoint for longer.", (*Server).renewEndpoint},
		flight.SetSessionOptionsActionType:   {"Set compression (none, zstd, lz4) and batch_rows for this session, opening one where there is none.", (*Server).setOptions},
		flight.GetSessionOptionsActionType:   {"Tell the session's options.", (*Server).getOptions},
		flight.CloseSessionActionType:        {"End the session.", (*Server).closeSession},
		LoadAction:                           {"Tell how much this coordinator has open, as JSON.", nil},
	}
}

// ListActions lists the offered actions.
func (s *Server) ListActions(_ *flight.Empty, stream flight.FlightService_ListActionsServer) error {
	names := make([]string, 0, len(actions))
	for name := range actions {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if err := stream.Send(&flight.ActionType{Type: name, Description: actions[name].description}); err != nil {
			return err
		}
	}
	return nil
}

// DoAction runs one action.
func (s *Server) DoAction(a *flight.Action, stream flight.FlightService_DoActionServer) error {
	if a.GetType() == LoadAction {
		s.mu.Lock()
		flights, bytes := s.flights.Len()
		report := map[string]any{"open": s.Coordinator.OpenCount(), "flights": flights, "flight_bytes": bytes, "sessions": s.sessions.Len()}
		s.mu.Unlock()
		raw, _ := json.Marshal(report)
		return stream.Send(&flight.Result{Body: raw})
	}
	act, known := actions[a.GetType()]
	if !known {
		return status.Errorf(codes.Unimplemented, "action %q is not offered; ListActions tells which are", a.GetType())
	}
	result, err := act.run(s, stream.Context(), a.GetBody())
	if err != nil {
		return err
	}
	raw, err := proto.Marshal(result)
	if err != nil {
		return status.Error(codes.Internal, err.Error())
	}
	return stream.Send(&flight.Result{Body: raw})
}

// flightOfEndpoint returns the flight that an endpoint belongs to, and its owner.
func (s *Server) flightOfEndpoint(ctx context.Context, e *flight.FlightEndpoint) (t fetchTicket, owner string, err error) {
	owner, payload, err := s.keys.verify(time.Now(), purposeFetch, e.GetTicket().GetTicket())
	if err == nil {
		err = json.Unmarshal(payload, &t)
	}
	if err != nil {
		return t, "", status.Error(codes.InvalidArgument, err.Error())
	}
	if c := callerOf(ctx); c.authenticated && owner != c.client.Owner {
		return t, "", status.Error(codes.PermissionDenied, "the ticket belongs to another owner")
	}
	return t, owner, nil
}

// cancelFlight cancels a flight; the coordinator cancels its outstanding parts at their data nodes. A flight being polled is
// identified by its descriptor, a complete one by its endpoints.
func (s *Server) cancelFlight(ctx context.Context, body []byte) (proto.Message, error) {
	var req gen.CancelFlightInfoRequest
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "body: %v", err)
	}
	var id, owner string
	switch info := req.GetInfo(); {
	case len(info.GetEndpoint()) > 0:
		t, from, err := s.flightOfEndpoint(ctx, info.GetEndpoint()[0])
		if err != nil {
			return nil, err
		}
		id, owner = t.Flight, from
	case isToken(info.GetFlightDescriptor().GetCmd()):
		from, payload, err := s.keys.verify(time.Now(), purposePoll, info.GetFlightDescriptor().GetCmd())
		if err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		if c := callerOf(ctx); c.authenticated && from != c.client.Owner {
			return nil, status.Error(codes.PermissionDenied, "the descriptor belongs to another owner")
		}
		id, owner = string(payload), from
	default:
		return nil, status.Error(codes.InvalidArgument, "the info has neither an endpoint nor the descriptor of a poll")
	}
	s.mu.Lock()
	running, state, err := s.flights.Cancel(time.Now(), id, owner)
	if r := s.results[id]; running && r != nil && r.cancel != nil {
		r.cancel()
	}
	s.mu.Unlock()
	if err != nil {
		return nil, sessionStatus(err)
	}
	result := &gen.CancelFlightInfoResult{Status: gen.CancelStatus_CANCEL_STATUS_CANCELLED}
	switch {
	case running:
		result.Status = gen.CancelStatus_CANCEL_STATUS_CANCELLING // its parts may still run for a moment
	case state == session.Ready || state == session.Failed:
		result.Status = gen.CancelStatus_CANCEL_STATUS_NOT_CANCELLABLE
	}
	return result, nil
}

// renewEndpoint extends the lifetime of a flight and returns the endpoint with a ticket that is valid as long.
func (s *Server) renewEndpoint(ctx context.Context, body []byte) (proto.Message, error) {
	var req gen.RenewFlightEndpointRequest
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "body: %v", err)
	}
	t, owner, err := s.flightOfEndpoint(ctx, req.GetEndpoint())
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	until, err := s.flights.Renew(time.Now(), t.Flight, owner)
	s.mu.Unlock()
	if err != nil {
		return nil, sessionStatus(err)
	}
	payload, _ := json.Marshal(t)
	return &flight.FlightEndpoint{ExpirationTime: timestamppb.New(until), Location: req.GetEndpoint().GetLocation(),
		Ticket: &flight.Ticket{Ticket: s.keys.sign(purposeFetch, owner, until, payload)}}, nil
}

// sessionID returns the session that a call names, or "" if it names none.
func sessionID(ctx context.Context) string {
	if cookie, err := flightsession.GetIncomingCookieByName(ctx, flightsession.StatefulSessionCookieName); err == nil {
		return cookie.Value
	}
	return ""
}

// sessionOptions returns the options of the session that a call names, or the zero value if it names none.
func (s *Server) sessionOptions(ctx context.Context, c *caller) (o streamOptions, err error) {
	id := sessionID(ctx)
	if id == "" {
		return o, nil
	}
	s.mu.Lock()
	set, err := s.sessions.Options(time.Now(), id, c.client.Owner)
	s.mu.Unlock()
	if err != nil {
		return o, sessionStatus(err)
	}
	if o.codec = set[optionCodec]; o.codec == "none" {
		o.codec = ""
	}
	if rows := set[optionBatchRows]; rows != "" {
		o.rows, _ = strconv.Atoi(rows) // validated when it was set
	}
	return o, nil
}

// optionText returns an option's value as text, "" for an option to unset; it returns false for a value of an unsupported type.
func optionText(v *gen.SessionOptionValue) (string, bool) {
	switch v := v.GetOptionValue().(type) {
	case nil:
		return "", true
	case *gen.SessionOptionValue_StringValue:
		return v.StringValue, true
	case *gen.SessionOptionValue_Int64Value:
		return strconv.FormatInt(v.Int64Value, 10), true
	}
	return "", false
}

func (s *Server) setOptions(ctx context.Context, body []byte) (proto.Message, error) {
	var req gen.SetSessionOptionsRequest
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "body: %v", err)
	}
	result := &gen.SetSessionOptionsResult{Errors: map[string]*gen.SetSessionOptionsResult_Error{}}
	reject := func(name string, v gen.SetSessionOptionsResult_ErrorValue) {
		result.Errors[name] = &gen.SetSessionOptionsResult_Error{Value: v}
	}
	set := map[string]string{}
	for name, v := range req.GetSessionOptions() {
		if text, ok := optionText(v); ok {
			set[name] = text
		} else {
			reject(name, gen.SetSessionOptionsResult_INVALID_VALUE)
		}
	}
	id, owner := sessionID(ctx), callerOf(ctx).client.Owner
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if id == "" {
		id = rand.Text()
		if err := s.sessions.Open(now, id, owner); err != nil {
			return nil, sessionStatus(err)
		}
		cookie := http.Cookie{Name: flightsession.StatefulSessionCookieName, Value: id}
		if err := grpc.SetHeader(ctx, metadata.Pairs("set-cookie", cookie.String())); err != nil {
			s.Log.Info("session cookie not sent", "cause", err)
		}
	}
	invalid, err := s.sessions.Set(now, id, owner, set)
	if err != nil {
		return nil, sessionStatus(err)
	}
	for name, err := range invalid {
		known := slices.ContainsFunc(sessionOptionSpecs, func(o session.Option) bool { return o.Name == name })
		if errors.Is(err, session.ErrInvalidOption) && !known {
			reject(name, gen.SetSessionOptionsResult_INVALID_NAME)
		} else {
			reject(name, gen.SetSessionOptionsResult_INVALID_VALUE)
		}
	}
	return result, nil
}

func (s *Server) getOptions(ctx context.Context, _ []byte) (proto.Message, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set, err := s.sessions.Options(time.Now(), sessionID(ctx), callerOf(ctx).client.Owner)
	if err != nil {
		return nil, sessionStatus(err)
	}
	result := &gen.GetSessionOptionsResult{SessionOptions: map[string]*gen.SessionOptionValue{}}
	for name, value := range set {
		result.SessionOptions[name] = &gen.SessionOptionValue{OptionValue: &gen.SessionOptionValue_StringValue{StringValue: value}}
	}
	return result, nil
}

func (s *Server) closeSession(ctx context.Context, _ []byte) (proto.Message, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.sessions.Close(time.Now(), sessionID(ctx), callerOf(ctx).client.Owner); err != nil {
		return nil, sessionStatus(err)
	}
	return &gen.CloseSessionResult{Status: gen.CloseSessionResult_CLOSED}, nil
}
