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

// commandRetryInterval is the pause before a failed call to the leader is sent again.
const commandRetryInterval = 20 * time.Millisecond

// Do replicates a command through the leader, whichever member that is, and returns its result once it is applied. It is applied
// at most once. An error of Command.Check means that it was not sent; any other error means that ctx ended or the store was closed
// first, and the command may still be applied.
func (s *Store) Do(ctx context.Context, c statemachine.Command) (statemachine.Result, error) {
	if err := c.Check(); err != nil {
		return statemachine.Result{}, err
	}
	c.ID = s.ids.next()
	var lastErr error
	for {
		r, err := s.sendToLeader(ctx, call{Command: &c})
		if err == nil && r.Cause != statemachine.StaleStamp {
			return r, nil
		}
		if err != nil {
			lastErr = err
		}
		if err := s.waitRetry(ctx); err != nil {
			return statemachine.Result{}, errors.Join(err, lastErr)
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

// The errors of a call to the leader. errNoLeader means that the call had no effect.
var (
	errClosed   = errors.New("the store has ended")
	errNoLeader = errors.New("the store has no leader")
)

// sendToLeader has the leader, whichever member it is, handle a call.
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

// handleAsLeader handles a call on the leader.
func (s *Store) handleAsLeader(ctx context.Context, c call) (statemachine.Result, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(maxCallTime)
	}
	switch {
	case c.Member != nil:
		return s.changeMember(ctx, *c.Member, deadline)
	case c.Command == nil:
		return s.barrier(ctx, deadline)
	}
	return s.applyCommand(ctx, *c.Command, deadline)
}

// barrier waits until everything committed before the call is applied here, and returns the applied index.
func (s *Store) barrier(ctx context.Context, deadline time.Time) (statemachine.Result, error) {
	if err := s.waitFuture(ctx, s.raft.Barrier(time.Until(deadline))); err != nil {
		return statemachine.Result{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return statemachine.Result{Index: s.state.Index()}, nil
}

// applyCommand stamps a command with the leader's clock and term, and replicates it. The term is read before and after the state,
// so that the clock in the stamp is that of the term's leader.
func (s *Store) applyCommand(ctx context.Context, c statemachine.Command, deadline time.Time) (r statemachine.Result, err error) {
	term := s.raft.CurrentTerm()
	if s.raft.State() != raft.Leader || s.raft.CurrentTerm() != term {
		return r, errNoLeader
	}
	c.LeaderTime, c.LeaderTerm = s.clock.now(), term
	data, err := json.Marshal(c)
	if err != nil {
		return r, err
	}
	future := s.raft.Apply(data, time.Until(deadline))
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

// Sync returns once this member has applied every command that was acknowledged to any member before the call.
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

// Wait returns once this member has applied the log up to an index; an error states how far it got.
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
