package store

// This file owns who is a member of the store after its first start: learners join, catch up and get a vote, and who is gone for
// good is taken out, each by an operator's word. It must never give a vote to a member that has not caught up, nor take the last
// vote away.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/raft"

	"gullfall/internal/statemachine"
)

// What may be changed of the members.
const (
	AddLearner = "add"    // one that takes in the log and has no vote
	GiveVote   = "vote"   // to a learner that has caught up; only it can say so itself
	Remove     = "remove" // for good
)

// MemberChange is an operator's word on a member.
type MemberChange struct{ What, Name, Addr string }

// unfit is the cause of a result that no other try would change.
const invalidMemberChange = "member"

// Change has the leader change who is a member, by ctx's deadline; an error that is not of ctx says what does not fit. A change
// that was made though its answer was lost counts as made.
func (s *Store) Change(ctx context.Context, c MemberChange) error {
	if s.transport == nil {
		return errors.New("the store has this one member: store.listen in deploy/gullfall.toml is empty")
	}
	if c.What == GiveVote {
		c.Name = s.name // who asks has applied all that there was when it asked
		if err := s.Sync(ctx); err != nil {
			return fmt.Errorf("%s has not caught up with the store: %w", s.name, err)
		}
	}
	for doubt := false; ; {
		r, err := s.sendToLeader(ctx, call{Member: &c})
		switch {
		case err == nil && r.Failed == "", err == nil && doubt && s.isApplied(c):
			return nil
		case err == nil:
			return errors.New(r.Why)
		}
		doubt = doubt || !errors.Is(err, errNoLeader) // else it was not even begun
		if ended := s.waitRetry(ctx); ended != nil {
			return errors.Join(ended, err)
		}
	}
}

// made tells whether the members are as a change wants them, as far as is known here.
func (s *Store) isApplied(c MemberChange) bool {
	f := s.raft.GetConfiguration()
	if f.Error() != nil {
		return false
	}
	p, known := findServer(f.Configuration().Servers, c.Name)
	switch c.What {
	case Remove:
		return !known
	case GiveVote:
		return known && p.Suffrage == raft.Voter
	}
	return known && string(p.Address) == c.Addr
}

func findServer(servers []raft.Server, name string) (raft.Server, bool) {
	for _, p := range servers {
		if string(p.ID) == name {
			return p, true
		}
	}
	return raft.Server{}, false
}

// changeMember makes a change at the leader.
func (s *Store) changeMember(ctx context.Context, c MemberChange, end time.Time) (statemachine.Result, error) {
	no := func(format string, args ...any) (statemachine.Result, error) {
		return statemachine.Result{Failed: invalidMemberChange, Why: fmt.Sprintf(format, args...)}, nil
	}
	if s.raft.State() != raft.Leader {
		return statemachine.Result{}, errNoLeader
	}
	f := s.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return statemachine.Result{}, err
	}
	servers, votes := f.Configuration().Servers, 0
	for _, p := range servers {
		if p.Suffrage == raft.Voter {
			votes++
		}
	}
	p, known := findServer(servers, c.Name)
	left := time.Until(end)
	switch c.What {
	case AddLearner:
		if known {
			return no("%q is a member already, at %s", c.Name, p.Address)
		}
		if _, _, err := net.SplitHostPort(c.Addr); err != nil || c.Name == "" {
			return no("a member needs a name and an address as 127.0.0.1:8300; got %q, %q", c.Name, c.Addr)
		}
		return statemachine.Result{}, s.waitFuture(ctx, s.raft.AddNonvoter(raft.ServerID(c.Name), raft.ServerAddress(c.Addr), 0, left))
	case GiveVote:
		if !known || p.Suffrage == raft.Voter {
			return no("%q is no learner of the store", c.Name)
		}
		return statemachine.Result{}, s.waitFuture(ctx, s.raft.AddVoter(p.ID, p.Address, 0, left))
	case Remove:
		if !known {
			return no("no member %q", c.Name)
		}
		if p.Suffrage == raft.Voter && votes == 1 {
			return no("%q has the last vote; give another member one first", c.Name)
		}
		return statemachine.Result{}, s.waitFuture(ctx, s.raft.RemoveServer(p.ID, 0, left))
	}
	return no("%q is no change of a member; %s, %s and %s are", c.What, AddLearner, GiveVote, Remove)
}
