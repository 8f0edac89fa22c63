package flight

// Who asks: credentials in headers, the handshake, and owners by network. Secrets are compared in constant time, and an error does
// not say which half of a credential was wrong.

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"io"
	"net/netip"
	"strings"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/gaissmai/bart"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	gen "github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
)

// Owner is one that may ask.
type Owner struct {
	Name     string
	User     string // for basic credentials
	Password string
	Token    string // for bearer credentials
}

// People says who may ask. Its zero value lets all in and leaves the owner to the ticket.
type People struct {
	Owners   []Owner
	Networks *bart.Table[string] // owner by network, where no credentials come; may be nil
	Denied   *bart.Lite          // addresses that are turned away; may be nil
	Allowed  *bart.Lite          // where not nil, only these are let in
}

// known tells whether anybody is to be known.
func (p *People) known() bool { return len(p.Owners) > 0 || p.Networks != nil && p.Networks.Size() > 0 }

func same(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

// basic finds the owner of a name and password.
func (p *People) basic(user, password string) (owner string, ok bool) {
	for _, o := range p.Owners {
		if o.User != "" && same(o.User, user) && same(o.Password, password) {
			owner, ok = o.Name, true
		}
	}
	return owner, ok
}

// bearer finds the owner of a token that was given out by hand.
func (p *People) bearer(token string) (owner string, ok bool) {
	for _, o := range p.Owners {
		if o.Token != "" && same(o.Token, token) {
			owner, ok = o.Name, true
		}
	}
	return owner, ok
}

// bearerTTL is how long a token of a handshake holds.
const bearerTTL = time.Hour

var errCredentials = status.Error(codes.Unauthenticated, "credentials are not known; send authorization: Basic or Bearer, or do a Handshake")

// address is where a caller connects from.
func address(ctx context.Context) netip.Addr {
	if p, ok := grpcpeer.FromContext(ctx); ok {
		if ap, err := netip.ParseAddrPort(p.Addr.String()); err == nil {
			return ap.Addr().Unmap()
		}
	}
	return netip.Addr{}
}

// authenticate finds who asks: by credentials, or else by network. Authenticated is false where nobody is configured, so that the
// ticket names the owner.
func (s *Server) authenticate(ctx context.Context) (owner string, authenticated bool, err error) {
	people := s.people.Load()
	addr := address(ctx)
	if people.Denied != nil && people.Denied.Contains(addr) || people.Allowed != nil && !people.Allowed.Contains(addr) {
		return "", false, status.Errorf(codes.PermissionDenied, "%v may not ask here", addr)
	}
	if !people.known() {
		return "", false, nil
	}
	if md, ok := metadata.FromIncomingContext(ctx); ok && len(md.Get("authorization")) > 0 {
		owner, known := s.checkCredentials(people, md.Get("authorization")[0])
		if !known {
			return "", false, errCredentials
		}
		return owner, true, nil
	}
	if people.Networks != nil {
		if owner, ok := people.Networks.Lookup(addr); ok {
			return owner, true, nil
		}
	}
	return "", false, errCredentials
}

// checkCredentials finds the owner of an authorization header: Basic, or Bearer with a configured token or one of a handshake.
func (s *Server) checkCredentials(people *People, header string) (owner string, known bool) {
	scheme, value, _ := strings.Cut(header, " ")
	value = strings.TrimSpace(value)
	switch strings.ToLower(scheme) {
	case "basic":
		raw, err := base64.StdEncoding.DecodeString(value)
		user, password, ok := strings.Cut(string(raw), ":")
		if err != nil || !ok {
			return "", false
		}
		return people.basic(user, password)
	case "bearer":
		if owner, ok := people.bearer(value); ok {
			return owner, true
		}
		raw, err := base64.RawURLEncoding.DecodeString(value)
		if err != nil {
			return "", false
		}
		owner, _, err := s.keys.open(time.Now(), forBearer, raw)
		return owner, err == nil
	}
	return "", false
}

// bearerToken is a bearer token for an owner.
func (s *Server) bearerToken(owner string) string {
	return base64.RawURLEncoding.EncodeToString(s.keys.seal(forBearer, owner, time.Now().Add(bearerTTL), nil))
}

// Handshake takes a name and a password, as BasicAuth in the payload or as a header, and returns a bearer token, in the
// payload and as a header.
func (s *Server) Handshake(stream flight.FlightService_HandshakeServer) error {
	people := s.people.Load()
	if !people.known() {
		return status.Error(codes.Unimplemented, "no credentials are needed here; name the owner in the ticket")
	}
	owner := ""
	req, err := stream.Recv()
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if err == nil && len(req.GetPayload()) > 0 {
		var b gen.BasicAuth
		named := false
		if proto.Unmarshal(req.GetPayload(), &b) == nil {
			owner, named = people.basic(b.GetUsername(), b.GetPassword())
		}
		if !named {
			return errCredentials
		}
	} else if owner, _, err = s.authenticate(stream.Context()); err != nil {
		return err
	}
	token := s.bearerToken(owner)
	if err := stream.SetHeader(metadata.Pairs("authorization", "Bearer "+token)); err != nil {
		return err
	}
	return stream.Send(&flight.HandshakeResponse{Payload: []byte(token)})
}
