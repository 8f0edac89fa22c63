package config

// This file owns the part of our own file that is about the second front: who may ask, by which keys tickets are sealed,
// what clients may use, and the schemas of classes. It must never put a secret into an error.

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

// FlightFront is the second front.
type FlightFront struct {
	Listen      string
	Connections int
	Owner       []FlightOwner
	Network     []FlightNetwork
	Allowed     []string
	Denied      []string
	TicketKey   []TicketKey `toml:"ticket_key"`
	Limits      FlightLimits
	Class       []FlightClass
}

// FlightOwner is one that may ask, by name and password or by a token.
type FlightOwner struct{ Name, User, Password, Token string }

// FlightNetwork names the owner of who connects from a network without credentials.
type FlightNetwork struct{ Network, Owner string }

// TicketKey seals tickets; of several the first seals, and all open.
type TicketKey struct {
	ID     int
	Secret string
}

// FlightLimits is what clients may use, by scope.
type FlightLimits struct {
	Connection, Owner, Network, All LimitSet
	Grace, Stall                    Span
}

// LimitSet are the figures of one scope; 0 sets no limit.
type LimitSet struct {
	Streams, Queries int
	Rate, Burst      float64
	Bytes            int64
}

// FlightClass gives a class a schema of its own.
type FlightClass struct {
	Name   string
	Column []flight.Field
}

// check names the faulty keys.
func (f *FlightFront) check() (faults []error) {
	fault := func(format string, args ...any) { faults = append(faults, fmt.Errorf(format, args...)) }
	names := map[string]bool{}
	for i, o := range f.Owner {
		key := fmt.Sprintf("flight.owner[%d]", i)
		if o.Name == "" || len(o.Name) > 255 {
			fault("%s.name: missing, or over 255 bytes", key)
		}
		if (o.User == "") != (o.Password == "") || o.User == "" && o.Token == "" {
			fault("%s: user and password, or a token, are needed", key)
		}
		if o.Token != "" && len(o.Token) < 16 {
			fault("%s.token: under 16 characters", key)
		}
		names[o.Name] = true
	}
	for i, n := range f.Network {
		if _, err := netip.ParsePrefix(n.Network); err != nil {
			fault("flight.network[%d].network: %w", i, err)
		}
		if n.Owner == "" {
			fault("flight.network[%d].owner: missing", i)
		}
	}
	for _, v := range []struct {
		key  string
		list []string
	}{{"flight.allowed", f.Allowed}, {"flight.denied", f.Denied}} {
		if _, err := networks(v.list); err != nil {
			fault("%s: %w", v.key, err)
		}
	}
	ids := map[int]bool{}
	for i, k := range f.TicketKey {
		if k.ID < 1 || k.ID > 255 || ids[k.ID] {
			fault("flight.ticket_key[%d].id: %d is not within 1 and 255, or another's", i, k.ID)
		}
		ids[k.ID] = true
		if raw, err := base64.StdEncoding.DecodeString(k.Secret); err != nil || len(raw) < 16 {
			fault("flight.ticket_key[%d].secret: 16 bytes or more in base64 are needed", i)
		}
	}
	if err := f.Admission().Check(); err != nil {
		fault("flight.limits.%w", err)
	}
	seen := map[string]bool{}
	for i, c := range f.Class {
		if c.Name == "" || seen[c.Name] {
			fault("flight.class[%d].name: %q is missing or another's", i, c.Name)
		}
		seen[c.Name] = true
		if _, err := flight.NewSchema(c.Column); err != nil {
			fault("flight.class[%d].column: %w", i, err)
		}
	}
	return faults
}

// Admission is what clients may use.
func (f *FlightFront) Admission() admission.Config {
	set := func(l LimitSet) admission.Limits {
		return admission.Limits{Streams: l.Streams, Queries: l.Queries, Rate: l.Rate, Burst: l.Burst, Bytes: l.Bytes}
	}
	return admission.Config{Connection: set(f.Limits.Connection), Owner: set(f.Limits.Owner), Network: set(f.Limits.Network),
		All: set(f.Limits.All), SlowReaderGrace: time.Duration(f.Limits.Grace), StallTimeout: time.Duration(f.Limits.Stall)}
}

// People says who may ask; the file has been checked.
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
		p.Allowed, _ = networks(f.Allowed)
	}
	if len(f.Denied) > 0 {
		p.Denied, _ = networks(f.Denied)
	}
	return p
}

// Keys are those that seal and open tickets; the file has been checked.
func (f *FlightFront) Keys() (list []flight.Key) {
	for _, k := range f.TicketKey {
		raw, _ := base64.StdEncoding.DecodeString(k.Secret)
		list = append(list, flight.Key{ID: byte(k.ID), Secret: raw})
	}
	return list
}

// Schema is a class's; nil where it has none of its own. The file has been checked.
func (f *FlightFront) Schema(class string) *arrow.Schema {
	for _, c := range f.Class {
		if c.Name == class {
			schema, _ := flight.NewSchema(c.Column)
			return schema
		}
	}
	return nil
}
