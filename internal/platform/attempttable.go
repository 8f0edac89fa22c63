package platform

import (
	"time"

	"gullfall/internal/coordinator"
)

// lateAnswerWindow is how long after the deadline of a cancelled attempt its answer may still come.
const lateAnswerWindow = 10 * time.Second

// pendingAttempt is an attempt that is queued or out on a connection.
type pendingAttempt struct {
	*coordinator.Attempt
	begunAt    time.Time // when its frame was begun; zero while queued
	cancelling bool      // the coordinator has given it up
}

// begun tells whether the attempt may have reached the data node.
func (p *pendingAttempt) begun() bool { return !p.begunAt.IsZero() }

// attemptTable knows the attempts of one connection, and so which answers may come on it. Attempts are named by the ids
// of their parts.
type attemptTable struct {
	pending      map[string]*pendingAttempt
	cancelled    map[string]time.Time // until when a late answer may come
	lastAnswered string               // its answer may come twice
}

func newAttemptTable() attemptTable {
	return attemptTable{pending: map[string]*pendingAttempt{}, cancelled: map[string]time.Time{}}
}

// conflicts tells whether an attempt with this id may not go out on the connection: a late answer to an earlier one could
// not be told from the answer to the new one.
func (t *attemptTable) conflicts(id string) bool {
	_, cancelled := t.cancelled[id]
	return cancelled || t.pending[id] != nil
}

// anyBegun tells whether an attempt is out.
func (t *attemptTable) anyBegun() bool {
	for _, pending := range t.pending {
		if pending.begun() {
			return true
		}
	}
	return false
}

// expects tells whether an answer with this id may come.
func (t *attemptTable) expects(id string) bool {
	pending := t.pending[id]
	_, cancelled := t.cancelled[id]
	return pending != nil && pending.begun() || cancelled || id == t.lastAnswered
}

// answered takes an attempt out on its answer. It returns nil where the attempt was cancelled or answered before.
func (t *attemptTable) answered(id string) *pendingAttempt {
	delete(t.cancelled, id)
	pending := t.pending[id]
	if pending == nil || !pending.begun() {
		return nil
	}
	delete(t.pending, id)
	t.lastAnswered = id
	return pending
}

// cancel takes out an attempt that the data node was told to give up, and forgets those whose late answers come no more.
func (t *attemptTable) cancel(pending *pendingAttempt) {
	delete(t.pending, pending.ID)
	now := time.Now()
	for id, end := range t.cancelled {
		if now.After(end) {
			delete(t.cancelled, id)
		}
	}
	t.cancelled[pending.ID] = pending.Deadline.Add(lateAnswerWindow)
}

// reset forgets which late answers may come: the connection is a new one.
func (t *attemptTable) reset() {
	t.lastAnswered = ""
	clear(t.cancelled)
}
