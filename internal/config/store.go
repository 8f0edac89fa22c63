package config

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of the keys under store.
const (
	defaultCatchUp = 4 << 20  // bytes per second
	minCatchUp     = 64 << 10 // bytes per second
	minHeartbeat   = 50 * time.Millisecond
	maxSkew        = 0.5
)

// Store configures the replicated store of configuration and state, and its members.
type Store struct {
	Directory string
	Listen    string
	Heartbeat Span // time without contact after which a leader is replaced; default 1s
	Peer      []Peer
	Route     []PeerRoute
	CatchUp   int     `toml:"catch_up"` // bytes per second of a snapshot that the leader sends to a lagging member; default 4 MiB
	Skew      float64 // relative rate error added to the clock of leases, to test their bound; 0 in production
}

// Pace returns the rate at which the leader sends a snapshot to a lagging member, in bytes per second.
func (s Store) Pace() float64 {
	if s.CatchUp == 0 {
		return defaultCatchUp
	}
	return float64(s.CatchUp)
}

// Peer is a member of the store. A learner has a copy but no vote.
type Peer struct {
	Name, Addr string
	Learner    bool
}

func (s *Store) check(f *faults, name string) {
	f.checkOptionalLoopback("store.listen", s.Listen)
	for i, p := range s.Peer {
		if p.Name == "" || p.Addr == "" {
			f.add("store.peer[%d]: name and addr are needed", i)
		}
		f.checkOptionalLoopback(fmt.Sprintf("store.peer[%d].addr", i), p.Addr)
	}
	for i, r := range s.Route {
		f.checkOptionalLoopback(fmt.Sprintf("store.route[%d].addr", i), r.Addr)
		f.checkOptionalLoopback(fmt.Sprintf("store.route[%d].via", i), r.Via)
	}
	s.checkRanges(f)
	s.checkMembers(f, name)
}

func (s *Store) checkRanges(f *faults) {
	if !(s.Skew > -maxSkew && s.Skew < maxSkew) {
		f.add("store.skew: %v; must be between -0.5 and 0.5, and 0 in production", s.Skew)
	}
	if s.CatchUp != 0 && s.CatchUp < minCatchUp {
		f.add("store.catch_up: %d; must be at least 65536 bytes per second", s.CatchUp)
	}
	if h := time.Duration(s.Heartbeat); h != 0 && h < minHeartbeat {
		f.add("store.heartbeat: %v; must be at least 50ms, and longer than the longest pause of a member", h)
	}
}

// checkMembers checks that the members can elect a leader and include this coordinator.
func (s *Store) checkMembers(f *faults, name string) {
	isVoter := func(p Peer) bool { return !p.Learner }
	isSelf := func(p Peer) bool { return p.Name == name }
	switch {
	case len(s.Peer) > 0 && !slices.ContainsFunc(s.Peer, isVoter):
		f.add("store.peer: all are learners; at least one must have a vote")
	case (s.Listen != "") != (len(s.Peer) > 0):
		f.add("store.listen, store.peer: either set both or neither")
	case len(s.Peer) > 0 && !slices.ContainsFunc(s.Peer, isSelf):
		f.add("store.peer: this coordinator, %q, is not among them", name)
	}
}
