package store

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/raft"

	"gullfall/internal/statemachine"
)

// The kinds of a MemberChange.
const (
	AddLearner = "add"    // add a member that receives the log and has no vote
	GiveVote   = "vote"   // make the learner that sends the change a voter, once it has caught up
	Remove     = "remove" // remove a member permanently
)

// MemberChange is an operator's request to change the members: What is its kind, Addr the address of a new learner.
type MemberChange struct{ What, Name, Addr string }

// invalidMemberChange is the value of Result.Failed for an invalid change, which is not retried.
const invalidMemberChange = "member"

// Change has the leader change the members, and retries until ctx ends. An error that does not wrap ctx's error says why the change
// is invalid. A
// change whose answer was lost counts as done once the members match it. A learner gets a vote only after it has applied all
// entries acknowledged before: a vote without the log could elect a leader that lacks acknowledged entries.
func (s *Store) Change(ctx context.Context, c MemberChange) error {
	if s.transport == nil {
		return errors.New("the store has this one member: store.listen in deploy/gullfall.toml is empty")
	}
	if c.What == GiveVote {
		c.Name = s.name // only the learner itself knows what it has applied
		if err := s.Sync(ctx); err != nil {
			return fmt.Errorf("%s has not caught up with the store: %w", s.name, err)
		}
	}
	for maybeDone := false; ; {
		r, err := s.sendToLeader(ctx, call{Member: &c})
		switch {
		case err == nil && r.Failed == "", err == nil && maybeDone && s.isMemberChangeDone(c):
			return nil
		case err == nil:
			return errors.New(r.Why)
		}
		maybeDone = maybeDone || !errors.Is(err, errNoLeader) // errNoLeader: the call had no effect
		if ended := s.waitRetry(ctx); ended != nil {
			return errors.Join(ended, err)
		}
	}
}

// isMemberChangeDone reports whether the members match a change, as far as this member knows.
func (s *Store) isMemberChangeDone(c MemberChange) bool {
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

// changeMember makes a change on the leader. It rejects the removal of the last voter: the store could then elect no leader.
func (s *Store) changeMember(ctx context.Context, c MemberChange, deadline time.Time) (statemachine.Result, error) {
	reject := func(format string, args ...any) (statemachine.Result, error) {
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
	timeout := time.Until(deadline)
	switch c.What {
	case AddLearner:
		if known {
			return reject("%q is a member already, at %s", c.Name, p.Address)
		}
		if _, _, err := net.SplitHostPort(c.Addr); err != nil || c.Name == "" {
			return reject("a member needs a name and an address as 127.0.0.1:8300; got %q, %q", c.Name, c.Addr)
		}
		return statemachine.Result{}, s.waitFuture(ctx, s.raft.AddNonvoter(raft.ServerID(c.Name), raft.ServerAddress(c.Addr), 0, timeout))
	case GiveVote:
		if !known || p.Suffrage == raft.Voter {
			return reject("%q is no learner of the store", c.Name)
		}
		return statemachine.Result{}, s.waitFuture(ctx, s.raft.AddVoter(p.ID, p.Address, 0, timeout))
	case Remove:
		if !known {
			return reject("no member %q", c.Name)
		}
		if p.Suffrage == raft.Voter && votes == 1 {
			return reject("%q has the last vote; give another member one first", c.Name)
		}
		return statemachine.Result{}, s.waitFuture(ctx, s.raft.RemoveServer(p.ID, 0, timeout))
	}
	return reject("%q is no change of a member; %s, %s and %s are", c.What, AddLearner, GiveVote, Remove)
}
