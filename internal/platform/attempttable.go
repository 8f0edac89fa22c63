package platform

import (
	"time"

	"gullfall/internal/coordinator"
)

// lateAnswerWindow is the time after the deadline of a cancelled attempt in which its answer may still arrive.
const lateAnswerWindow = 10 * time.Second

// pendingAttempt is an attempt that is queued or in flight on a connection.
type pendingAttempt struct {
	*coordinator.Attempt
	begunAt    time.Time // when its frame was encoded for writing; zero while queued
	cancelling bool      // the coordinator has cancelled it
}

// begun reports whether the attempt may have reached the data node.
func (p *pendingAttempt) begun() bool { return !p.begunAt.IsZero() }

// attemptTable holds the attempts on one connection, and so determines which answers may arrive on it. Its keys are the ids
// of parts.
type attemptTable struct {
	pending      map[string]*pendingAttempt
	cancelled    map[string]time.Time // by id: time until which a late answer may arrive
	lastAnswered string               // id whose answer may arrive a second time
}

func newAttemptTable() attemptTable {
	return attemptTable{pending: map[string]*pendingAttempt{}, cancelled: map[string]time.Time{}}
}

// conflicts reports whether an attempt with this id must not be sent on the connection, because a late answer to an earlier
// attempt could not be distinguished from the answer to the new one.
func (t *attemptTable) conflicts(id string) bool {
	_, cancelled := t.cancelled[id]
	return cancelled || t.pending[id] != nil
}

// anyBegun reports whether any attempt is in flight.
func (t *attemptTable) anyBegun() bool {
	for _, pending := range t.pending {
		if pending.begun() {
			return true
		}
	}
	return false
}

// expects reports whether an answer with this id may arrive.
func (t *attemptTable) expects(id string) bool {
	pending := t.pending[id]
	_, cancelled := t.cancelled[id]
	return pending != nil && pending.begun() || cancelled || id == t.lastAnswered
}

// answered removes and returns the attempt that an answer belongs to. It returns nil if the attempt was already cancelled or
// answered.
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

// cancel removes an attempt whose cancel frame was written, and drops cancelled ids whose window for late answers has ended.
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

// reset clears the ids whose late answers were expected on the previous connection.
func (t *attemptTable) reset() {
	t.lastAnswered = ""
	clear(t.cancelled)
}
