package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"gullfall/internal/statemachine"
)

// commandRetryInterval is the pause before a command is sent again that found no leader.
const commandRetryInterval = 20 * time.Millisecond

// Do replicates a command, whoever leads, and returns its result once it is applied. It is applied at most once. An error
// of Command.Check means that it was not sent. Any other means that ctx ended or the store closed first: the command may still be
// applied.
func (s *Store) Do(ctx context.Context, c statemachine.Command) (statemachine.Result, error) {
	if err := c.Check(); err != nil {
		return statemachine.Result{}, err
	}
	c.ID = s.ids.next()
	var last error
	for {
		r, err := s.sendToLeader(ctx, call{Command: &c})
		if err == nil && r.Failed != statemachine.StaleStamp {
			return r, nil
		}
		if err != nil {
			last = err
		}
		if err := s.waitRetry(ctx); err != nil {
			return statemachine.Result{}, errors.Join(err, last)
		}
	}
}

// waitRetry waits before the next attempt, until ctx ends or the store is closed.
func (s *Store) waitRetry(ctx context.Context) error {
	timer := time.NewTimer(commandRetryInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.closed:
		return errClosed
	case <-timer.C:
		return nil
	}
}

// The errors of a call to the leader. errNoLeader means that nothing was begun.
var (
	errClosed   = errors.New("the store has ended")
	errNoLeader = errors.New("the store has no leader")
)

// sendToLeader has the leader handle a call, whichever member it is.
func (s *Store) sendToLeader(ctx context.Context, c call) (statemachine.Result, error) {
	if s.raft.State() == raft.Leader {
		return s.handleAsLeader(ctx, c)
	}
	addr, id := s.raft.LeaderWithID()
	if addr == "" || s.transport == nil || string(id) == s.name {
		return statemachine.Result{}, errNoLeader
	}
	return s.transport.call(ctx, string(addr), c)
}

// handleAsLeader handles a call at the leader.
func (s *Store) handleAsLeader(ctx context.Context, c call) (statemachine.Result, error) {
	end, ok := ctx.Deadline()
	if !ok {
		end = time.Now().Add(maxCallTime)
	}
	switch {
	case c.Member != nil:
		return s.changeMember(ctx, *c.Member, end)
	case c.Command == nil:
		return s.barrier(ctx, end)
	}
	return s.applyCommand(ctx, *c.Command, end)
}

// barrier returns the index of the log up to which everything done before the call is applied here.
func (s *Store) barrier(ctx context.Context, end time.Time) (statemachine.Result, error) {
	if err := s.waitFuture(ctx, s.raft.Barrier(time.Until(end))); err != nil {
		return statemachine.Result{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return statemachine.Result{Index: s.state.Index()}, nil
}

// applyCommand stamps a command with the leader's clock and term, and replicates it. The term is read before and after the state,
// so that the clock is that of this term's leader while it leads.
func (s *Store) applyCommand(ctx context.Context, c statemachine.Command, end time.Time) (r statemachine.Result, err error) {
	term := s.raft.CurrentTerm()
	if s.raft.State() != raft.Leader || s.raft.CurrentTerm() != term {
		return r, errNoLeader
	}
	c.At, c.LeaderTerm = s.clock.now(), term
	data, err := json.Marshal(c)
	if err != nil {
		return r, err
	}
	future := s.raft.Apply(data, time.Until(end))
	if err := s.waitFuture(ctx, future); err != nil {
		return r, err
	}
	r, ok := future.Response().(statemachine.Result)
	if !ok {
		return r, fmt.Errorf("the store could not apply it: %v", future.Response())
	}
	return r, nil
}

// waitFuture waits for raft's result until ctx ends or the store is closed: raft never answers a request that was queued when it
// was shut down.
func (s *Store) waitFuture(ctx context.Context, f raft.Future) error {
	answer := make(chan error, 1)
	go func() { answer <- f.Error() }()
	select {
	case err := <-answer:
		return err
	case <-s.closed:
		return errClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Sync returns once this member has applied everything that any member was told is done before the call.
func (s *Store) Sync(ctx context.Context) error {
	for {
		r, err := s.sendToLeader(ctx, call{})
		if err == nil {
			return s.Wait(ctx, r.Index)
		}
		if ended := s.waitRetry(ctx); ended != nil {
			return errors.Join(ended, err)
		}
	}
}

// Wait returns once this member has applied the log up to an index; an error tells how far it is.
func (s *Store) Wait(ctx context.Context, index uint64) error {
	for {
		s.mu.Lock()
		applied, changed := s.state.Index(), s.changed
		s.mu.Unlock()
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-s.closed:
			return errClosed
		case <-ctx.Done():
			return fmt.Errorf("this member has applied the log up to %d, not %d: %w", applied, index, ctx.Err())
		}
	}
}
