package config

// This file owns the keys of the coordinators' own talk, and of the operators' socket.

import (
	"encoding/base64"
	"fmt"
	"net/netip"
	"time"

	"gullfall/internal/gossip"
	"gullfall/internal/swim"
)

// Admin is where operators reach a running coordinator.
type Admin struct {
	Socket string // a path; off while empty
}

// Peers is how the coordinators watch each other; off while Listen is empty.
type Peers struct {
	Listen  string
	Fleet   string   // all that talk to each other name the same
	Seeds   []string // where to join
	Key     []PeerKey
	Route   []PeerRoute
	Period  Span
	Timeout Span
	Bear    Span // the longest pause of a coordinator that must not make it dead
}

// PeerKey seals what is sent; of several the first seals, and all open.
type PeerKey struct {
	ID     int
	Secret string // base64
}

// PeerRoute is an address that is reached by another from here.
type PeerRoute struct{ Addr, Via string }

func (p *Peers) check() (faults []error) {
	fault := func(format string, args ...any) { faults = append(faults, fmt.Errorf(format, args...)) }
	if p.Listen == "" {
		if len(p.Seeds)+len(p.Key) > 0 {
			fault("peers.listen: empty, while seeds or keys are given; name the address to listen at, or remove them")
		}
		return faults
	}
	loop := func(key, addr string) {
		if ap, err := netip.ParseAddrPort(addr); err != nil {
			fault("%s: %w", key, err)
		} else if !ap.Addr().IsLoopback() || ap.Port() == 0 {
			fault("%s: %s is not a loopback address with a port", key, addr)
		}
	}
	loop("peers.listen", p.Listen)
	for i, s := range p.Seeds {
		loop(fmt.Sprintf("peers.seeds[%d]", i), s)
	}
	for i, r := range p.Route {
		loop(fmt.Sprintf("peers.route[%d].addr", i), r.Addr)
		loop(fmt.Sprintf("peers.route[%d].via", i), r.Via)
	}
	if p.Fleet == "" || len(p.Fleet) > 64 {
		fault("peers.fleet: %q; give a name of 1 to 64 bytes, the same for all that talk to each other", p.Fleet)
	}
	if len(p.Key) == 0 {
		fault("peers.key: none; give one of 16 bytes or more in base64, the same for all")
	}
	ids := map[int]bool{}
	for i, k := range p.Key {
		if k.ID < 1 || k.ID > 255 || ids[k.ID] {
			fault("peers.key[%d].id: %d is not within 1 and 255, or another's", i, k.ID)
		}
		ids[k.ID] = true
		if raw, err := base64.StdEncoding.DecodeString(k.Secret); err != nil || len(raw) < 16 {
			fault("peers.key[%d].secret: 16 bytes or more in base64 are needed", i)
		}
	}
	if c := p.Swim("x", 0, 0); c.Period < 0 || c.Timeout < 0 || c.MaxPause < 0 || c.Period > 0 && c.Timeout > c.Period/2 {
		fault("peers.period, peers.timeout, peers.bear: none may be negative, and timeout is at most half of period")
	}
	return faults
}

// Swim is the talk's figures for one process.
func (p *Peers) Swim(name string, process, seed uint64) swim.Config {
	return swim.Config{Self: name, Addr: p.Listen, Process: process, RandomSeed: seed, Seeds: p.Seeds, Period: time.Duration(p.Period),
		Timeout: time.Duration(p.Timeout), MaxPause: time.Duration(p.Bear)}
}

// Keys are the key ring. The file has been checked.
func (p *Peers) Keys() (list []gossip.Key) {
	for _, k := range p.Key {
		raw, _ := base64.StdEncoding.DecodeString(k.Secret)
		list = append(list, gossip.Key{ID: byte(k.ID), Secret: raw})
	}
	return list
}

// Routes are the addresses that are reached by another.
func (p *Peers) Routes() map[string]string {
	routes := map[string]string{}
	for _, r := range p.Route {
		routes[r.Addr] = r.Via
	}
	return routes
}
