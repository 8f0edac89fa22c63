package config

import (
	"encoding/base64"
	"fmt"
	"time"

	"gullfall/internal/gossip"
	"gullfall/internal/swim"
)

// Admin configures the socket on which a running coordinator serves the command line.
type Admin struct {
	Socket string // path; disabled if empty
}

// Peers configures the gossip by which coordinators monitor each other; disabled if Listen is empty.
type Peers struct {
	Listen   string
	Fleet    string   // name that all coordinators of one group share
	Seeds    []string // addresses of coordinators through which to join
	Key      []PeerKey
	Route    []PeerRoute
	Period   Span
	Timeout  Span
	MaxPause Span `toml:"bear"` // longest pause for which a coordinator must not be declared dead
}

// PeerKey is a key that encrypts gossip packets. Sending uses the first key; all keys are accepted for decryption.
type PeerKey struct {
	ID     int
	Secret string // base64
}

// PeerRoute replaces an address by the one through which it is reached from here.
type PeerRoute struct{ Addr, Via string }

// maxFleetBytes is the maximum length of a fleet's name.
const maxFleetBytes = 64

func (p *Peers) check(f *faults) {
	if p.Listen == "" {
		if len(p.Seeds)+len(p.Key) > 0 {
			f.add("peers.listen: empty, while seeds or keys are given; name the address to listen at, or remove them")
		}
		return
	}
	f.checkLoopbackPort("peers.listen", p.Listen)
	for i, s := range p.Seeds {
		f.checkLoopbackPort(fmt.Sprintf("peers.seeds[%d]", i), s)
	}
	for i, r := range p.Route {
		f.checkLoopbackPort(fmt.Sprintf("peers.route[%d].addr", i), r.Addr)
		f.checkLoopbackPort(fmt.Sprintf("peers.route[%d].via", i), r.Via)
	}
	if p.Fleet == "" || len(p.Fleet) > maxFleetBytes {
		f.add("peers.fleet: %q; give a name of 1 to 64 bytes, the same for all coordinators that are to gossip with each other", p.Fleet)
	}
	p.checkKeys(f)
	if c := p.Swim("x", 0, 0); c.Period < 0 || c.Timeout < 0 || c.MaxPause < 0 || c.Period > 0 && c.Timeout > c.Period/2 {
		f.add("peers.period, peers.timeout, peers.bear: none may be negative, and timeout must be at most half of period")
	}
}

func (p *Peers) checkKeys(f *faults) {
	if len(p.Key) == 0 {
		f.add("peers.key: none; give one of 16 bytes or more in base64, the same for all coordinators")
	}
	ids := map[int]bool{}
	for i, k := range p.Key {
		f.checkSecret(fmt.Sprintf("peers.key[%d]", i), k.ID, k.Secret, ids)
	}
}

// Swim returns the configuration of the coordinators' membership protocol for one process.
func (p *Peers) Swim(name string, process, seed uint64) swim.Config {
	return swim.Config{Self: name, Addr: p.Listen, Process: process, RandomSeed: seed, Seeds: p.Seeds, Period: time.Duration(p.Period),
		Timeout: time.Duration(p.Timeout), MaxPause: time.Duration(p.MaxPause)}
}

// Keys returns the keys of gossip packets. The configuration must have been checked.
func (p *Peers) Keys() (list []gossip.Key) {
	for _, k := range p.Key {
		raw, _ := base64.StdEncoding.DecodeString(k.Secret)
		list = append(list, gossip.Key{ID: byte(k.ID), Secret: raw})
	}
	return list
}

// Routes returns the replacement addresses, by the address that they replace.
func (p *Peers) Routes() map[string]string {
	routes := map[string]string{}
	for _, r := range p.Route {
		routes[r.Addr] = r.Via
	}
	return routes
}
