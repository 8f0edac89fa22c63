package flight

// Authentication by credentials in headers, by the handshake, and by network. Secrets are compared in constant time, and an error
// does not reveal which half of a credential was wrong.

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

// Owner is an owner of queries with its credentials.
type Owner struct {
	Name     string
	User     string // for basic credentials
	Password string
	Token    string // for bearer credentials
}

// AccessPolicy decides who may connect, and as which owner. Its zero value admits everyone and takes the owner from the ticket.
type AccessPolicy struct {
	Owners   []Owner
	Networks *bart.Table[string] // owner by network, for calls without credentials; may be nil
	Denied   *bart.Lite          // addresses that are refused; may be nil
	Allowed  *bart.Lite          // if not nil, only these addresses are admitted
}

// requiresAuth reports whether callers have to be authenticated.
func (p *AccessPolicy) requiresAuth() bool {
	return len(p.Owners) > 0 || p.Networks != nil && p.Networks.Size() > 0
}

func secretsEqual(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

// ownerByPassword returns the owner with this user name and password.
func (p *AccessPolicy) ownerByPassword(user, password string) (owner string, ok bool) {
	for _, o := range p.Owners {
		if o.User != "" && secretsEqual(o.User, user) && secretsEqual(o.Password, password) {
			owner, ok = o.Name, true
		}
	}
	return owner, ok
}

// ownerByToken returns the owner with this configured token.
func (p *AccessPolicy) ownerByToken(token string) (owner string, ok bool) {
	for _, o := range p.Owners {
		if o.Token != "" && secretsEqual(o.Token, token) {
			owner, ok = o.Name, true
		}
	}
	return owner, ok
}

// bearerTTL is the lifetime of a token from a handshake.
const bearerTTL = time.Hour

var errUnknownCredentials = status.Error(codes.Unauthenticated, "credentials are not known; send authorization: Basic or Bearer, or do a Handshake")

// remoteAddr returns the address that a call comes from.
func remoteAddr(ctx context.Context) netip.Addr {
	if p, ok := grpcpeer.FromContext(ctx); ok {
		if ap, err := netip.ParseAddrPort(p.Addr.String()); err == nil {
			return ap.Addr().Unmap()
		}
	}
	return netip.Addr{}
}

// authenticate returns the owner of a call, by credentials or else by network. If no owners are configured, authenticated is false and
// the ticket names the owner.
func (s *Server) authenticate(ctx context.Context) (owner string, authenticated bool, err error) {
	policy := s.policy.Load()
	addr := remoteAddr(ctx)
	if policy.Denied != nil && policy.Denied.Contains(addr) || policy.Allowed != nil && !policy.Allowed.Contains(addr) {
		return "", false, status.Errorf(codes.PermissionDenied, "%v may not ask here", addr)
	}
	if !policy.requiresAuth() {
		return "", false, nil
	}
	if md, ok := metadata.FromIncomingContext(ctx); ok && len(md.Get("authorization")) > 0 {
		owner, known := s.checkCredentials(policy, md.Get("authorization")[0])
		if !known {
			return "", false, errUnknownCredentials
		}
		return owner, true, nil
	}
	if policy.Networks != nil {
		if owner, ok := policy.Networks.Lookup(addr); ok {
			return owner, true, nil
		}
	}
	return "", false, errUnknownCredentials
}

// checkCredentials returns the owner of an authorization header: Basic, or Bearer with a configured token or one from a handshake.
func (s *Server) checkCredentials(policy *AccessPolicy, header string) (owner string, known bool) {
	scheme, value, _ := strings.Cut(header, " ")
	value = strings.TrimSpace(value)
	switch strings.ToLower(scheme) {
	case "basic":
		raw, err := base64.StdEncoding.DecodeString(value)
		user, password, ok := strings.Cut(string(raw), ":")
		if err != nil || !ok {
			return "", false
		}
		return policy.ownerByPassword(user, password)
	case "bearer":
		if owner, ok := policy.ownerByToken(value); ok {
			return owner, true
		}
		raw, err := base64.RawURLEncoding.DecodeString(value)
		if err != nil {
			return "", false
		}
		owner, _, err := s.keys.verify(time.Now(), purposeBearer, raw)
		return owner, err == nil
	}
	return "", false
}

// bearerToken returns a new bearer token for an owner.
func (s *Server) bearerToken(owner string) string {
	return base64.RawURLEncoding.EncodeToString(s.keys.sign(purposeBearer, owner, time.Now().Add(bearerTTL), nil))
}

// Handshake takes a name and a password, as BasicAuth in the payload or as a header, and returns a bearer token both in the payload
// and as a header.
func (s *Server) Handshake(stream flight.FlightService_HandshakeServer) error {
	policy := s.policy.Load()
	if !policy.requiresAuth() {
		return status.Error(codes.Unimplemented, "no credentials are needed here; name the owner in the ticket")
	}
	owner := ""
	req, err := stream.Recv()
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if err == nil && len(req.GetPayload()) > 0 {
		var b gen.BasicAuth
		ok := false
		if proto.Unmarshal(req.GetPayload(), &b) == nil {
			owner, ok = policy.ownerByPassword(b.GetUsername(), b.GetPassword())
		}
		if !ok {
			return errUnknownCredentials
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
