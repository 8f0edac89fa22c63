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

// retry is the pause before a command is tried again that found no leader.
const commandRetryInterval = 20 * time.Millisecond

// Do has a command logged and applied once, whoever leads, and returns what it came to. An error means that this is not known,
// as ctx ended first; it may be done yet, once.
func (s *Store) Do(ctx context.Context, c statemachine.Command) (statemachine.Result, error) {
	if err := c.Check(); err != nil {
		return statemachine.Result{}, err
	}
	c.ID = statemachine.ID{Writer: s.writer, N: s.number.Add(1)}
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

var (
	errClosed   = errors.New("the store has ended")
	errNoLeader = errors.New("the store has no leader")
)

// ask puts a call to the leader, wherever it is.
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

// lead serves a call at the leader.
func (s *Store) handleAsLeader(ctx context.Context, c call) (r statemachine.Result, err error) {
	end, ok := ctx.Deadline()
	if !ok {
		end = time.Now().Add(maxCallTime)
	}
	if c.Member != nil {
		return s.changeMember(ctx, *c.Member, end)
	}
	if c.Command == nil {
		if err := s.waitFuture(ctx, s.raft.Barrier(time.Until(end))); err != nil {
			return r, err
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		return statemachine.Result{Index: s.state.Index()}, nil
	}
	// The stamp: the term is read before and after, so that the clock is that of this term's leader while it leads.
	term := s.raft.CurrentTerm()
	if s.raft.State() != raft.Leader || s.raft.CurrentTerm() != term {
		return r, errNoLeader
	}
	stamped := *c.Command
	stamped.At, stamped.LedTerm = s.clock(), term
	data, err := json.Marshal(stamped)
	if err != nil {
		return r, err
	}
	f := s.raft.Apply(data, time.Until(end))
	if err := s.waitFuture(ctx, f); err != nil {
		return r, err
	}
	if r, ok = f.Response().(statemachine.Result); !ok {
		return r, fmt.Errorf("the store could not apply it: %v", f.Response())
	}
	return r, nil
}

// await waits for the log's answer until ctx ends or the store does: what the log has taken in and not begun as it is shut down it
// never answers.
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

// Sync returns once this member has applied everything that was done before the call, wherever that was.
func (s *Store) Sync(ctx context.Context) error {
	for {
		r, err := s.sendToLeader(ctx, call{})
		if err == nil {
			return s.Wait(ctx, r.Index)
		}
		if err2 := s.waitRetry(ctx); err2 != nil {
			return errors.Join(err2, err)
		}
	}
}

// Wait returns once this member has applied the log up to an index.
func (s *Store) Wait(ctx context.Context, index uint64) error {
	for {
		s.mu.Lock()
		at, changed := s.state.Index(), s.changed
		s.mu.Unlock()
		if at >= index {
			return nil
		}
		select {
		case <-changed:
		case <-s.closed:
			return errClosed
		case <-ctx.Done():
			return fmt.Errorf("this member has applied the log up to %d, not %d: %w", at, index, ctx.Err())
		}
	}
}
