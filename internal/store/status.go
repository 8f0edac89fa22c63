package store

import (
	"strings"
	"time"
)

// Status is one member's view of the store.
type Status struct {
	Name               string
	State              string // Leader, Follower, Candidate, Shutdown
	Leader             string // name of the leader; empty for none
	Term               uint64
	Index              uint64            // last applied
	SinceLeaderContact time.Duration     `json:"Heard"` // since the last contact with the leader; 0 at the leader
	Peers              map[string]string // suffrage by name
	Addrs              map[string]string // listening address by name
}

// Status returns this member's current view of the store.
func (s *Store) Status() Status {
	_, leader := s.raft.LeaderWithID()
	st := Status{Name: s.name, State: s.raft.State().String(), Leader: string(leader), Term: s.raft.CurrentTerm(), Peers: map[string]string{},
		Addrs: map[string]string{}}
	if at := s.raft.LastContact(); !at.IsZero() && st.State != "Leader" {
		st.SinceLeaderContact = time.Since(at)
	}
	if f := s.raft.GetConfiguration(); f.Error() == nil {
		for _, p := range f.Configuration().Servers {
			st.Peers[string(p.ID)] = strings.ToLower(p.Suffrage.String())
			st.Addrs[string(p.ID)] = string(p.Address)
		}
	}
	s.mu.Lock()
	st.Index = s.state.Index()
	s.mu.Unlock()
	return st
}
