package config

import (
	"encoding/base64"
	"fmt"
	"net/netip"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/gaissmai/bart"

	"gullfall/internal/admission"
	"gullfall/internal/flight"
)

// Defaults and bounds of the keys under flight.
const (
	defaultFlightConnections = 128
	maxOwnerBytes            = 255
	minTokenBytes            = 16
)

// FlightFront configures the Arrow Flight front.
type FlightFront struct {
	Listen      string // address; disabled if empty
	Connections int    // maximum number of client connections
	Owner       []FlightOwner
	Network     []FlightNetwork
	Allowed     []string    // if not empty, only these networks may connect
	Denied      []string    // networks that may not connect
	TicketKey   []TicketKey `toml:"ticket_key"`
	Limits      FlightLimits
	Class       []FlightClass
}

// FlightOwner is a tenant that may send queries. It authenticates with a user name and password, or with a token.
type FlightOwner struct{ Name, User, Password, Token string }

// FlightNetwork assigns clients that connect from a network without credentials to an owner.
type FlightNetwork struct{ Network, Owner string }

// TicketKey is a key that signs tickets. The first key signs new tickets; all keys are accepted for verification.
type TicketKey struct {
	ID     int
	Secret string
}

// FlightLimits are the limits on clients, by scope.
type FlightLimits struct {
	Connection, Owner, Network, All LimitSet
	Grace, Stall                    Span // SlowReaderGrace and StallTimeout of admission.Config
}

// LimitSet are the limits of one scope; 0 means no limit.
type LimitSet struct {
	Streams, Queries int
	Rate, Burst      float64
	Bytes            int64
}

// FlightClass defines the schema of a class.
type FlightClass struct {
	Name   string
	Column []flight.Field
}

func (f *FlightFront) defaults() { setDefault(&f.Connections, defaultFlightConnections) }

func (f *FlightFront) check(errs *faults) {
	errs.checkOptionalLoopback("flight.listen", f.Listen)
	if f.Connections < 0 {
		errs.add("flight.connections: %d is negative", f.Connections)
	}
	f.checkOwners(errs)
	f.checkNetworks(errs)
	errs.checkNetworks("flight.allowed", f.Allowed)
	errs.checkNetworks("flight.denied", f.Denied)
	ids := map[int]bool{}
	for i, k := range f.TicketKey {
		errs.checkSecret(fmt.Sprintf("flight.ticket_key[%d]", i), k.ID, k.Secret, ids)
	}
	if err := f.Admission().Check(); err != nil {
		errs.add("flight.limits.%w", err)
	}
	f.checkClasses(errs)
}

func (f *FlightFront) checkOwners(errs *faults) {
	for i, o := range f.Owner {
		key := fmt.Sprintf("flight.owner[%d]", i)
		if o.Name == "" || len(o.Name) > maxOwnerBytes {
			errs.add("%s.name: missing, or over 255 bytes", key)
		}
		if (o.User == "") != (o.Password == "") || o.User == "" && o.Token == "" {
			errs.add("%s: user and password, or a token, are needed", key)
		}
		if o.Token != "" && len(o.Token) < minTokenBytes {
			errs.add("%s.token: under 16 characters", key)
		}
	}
}

func (f *FlightFront) checkNetworks(errs *faults) {
	for i, n := range f.Network {
		if _, err := netip.ParsePrefix(n.Network); err != nil {
			errs.add("flight.network[%d].network: %w", i, err)
		}
		if n.Owner == "" {
			errs.add("flight.network[%d].owner: missing", i)
		}
	}
}

func (f *FlightFront) checkClasses(errs *faults) {
	seen := map[string]bool{}
	for i, c := range f.Class {
		if c.Name == "" || seen[c.Name] {
			errs.add("flight.class[%d].name: %q is missing or a duplicate", i, c.Name)
		}
		seen[c.Name] = true
		if _, err := flight.NewSchema(c.Column); err != nil {
			errs.add("flight.class[%d].column: %w", i, err)
		}
	}
}

// Admission returns the limits on clients as internal/admission takes them.
func (f *FlightFront) Admission() admission.Config {
	set := func(l LimitSet) admission.Limits {
		return admission.Limits{Streams: l.Streams, Queries: l.Queries, Rate: l.Rate, Burst: l.Burst, Bytes: l.Bytes}
	}
	return admission.Config{Connection: set(f.Limits.Connection), Owner: set(f.Limits.Owner), Network: set(f.Limits.Network),
		All: set(f.Limits.All), SlowReaderGrace: time.Duration(f.Limits.Grace), StallTimeout: time.Duration(f.Limits.Stall)}
}

// People returns the owners and the networks that may connect. The configuration must have been checked.
func (f *FlightFront) People() (p flight.People) {
	for _, o := range f.Owner {
		p.Owners = append(p.Owners, flight.Owner{Name: o.Name, User: o.User, Password: o.Password, Token: o.Token})
	}
	for _, n := range f.Network {
		if p.Networks == nil {
			p.Networks = new(bart.Table[string])
		}
		p.Networks.Insert(netip.MustParsePrefix(n.Network).Masked(), n.Owner)
	}
	if len(f.Allowed) > 0 {
		p.Allowed, _ = parseNetworks(f.Allowed)
	}
	if len(f.Denied) > 0 {
		p.Denied, _ = parseNetworks(f.Denied)
	}
	return p
}

// Keys returns the keys of tickets. The configuration must have been checked.
func (f *FlightFront) Keys() (list []flight.Key) {
	for _, k := range f.TicketKey {
		raw, _ := base64.StdEncoding.DecodeString(k.Secret)
		list = append(list, flight.Key{ID: byte(k.ID), Secret: raw})
	}
	return list
}

// Schema returns the schema defined for a class, or nil if there is none. The configuration must have been checked.
func (f *FlightFront) Schema(class string) *arrow.Schema {
	for _, c := range f.Class {
		if c.Name == class {
			schema, _ := flight.NewSchema(c.Column)
			return schema
		}
	}
	return nil
}
