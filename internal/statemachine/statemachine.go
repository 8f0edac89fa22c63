// Package statemachine is the state machine of the coordinators' replicated store: values with revisions, leases of duties and
// presences, and the results of earlier commands, with the rules by which the commands of the log change them. It reads no clock
// and does no I/O: every member applies the same commands in the same order and must reach the same state.
//
// A command is applied atomically. The steps, in order:
//
//	earlier command   a number that its writer has used before: returns the first result and changes nothing
//	stamp             the leader's term in it must be the term it was logged in; otherwise rejected, and the writer sends it again
//	new term          all leases start again at the first stamp of a new leader, since its clock is not that of the previous one
//	If                every condition must hold, otherwise rejected
//	Lease             granted, renewed, revoked or forgotten, otherwise rejected; a sender that does not know the last grant gets it
//	Put               sets each value, with the index of the command as its revision; nil removes the key
//
// A stamp is the leader's clock and term when it received the command. A stamp of a term other than the one in which the command
// was logged could date a lease back to before another leader's grants: two coordinators would perform a duty at the same time.
package statemachine

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"gullfall/internal/lease"
)

// Bounds of the state.
const (
	MaxKeys      = 20_000  // keys with a value
	MaxValue     = 4 << 20 // bytes of one value
	MaxWriters   = 4096    // writers with a session; the one whose last command is oldest is evicted first
	resultWindow = 64      // results kept per writer; a writer has fewer commands in flight
)

// Entry is a value with its revision, the log index of the command that put it.
type Entry struct {
	Value    []byte
	Revision uint64
}

// clientSession holds the latest results of a writer, so that a command that is sent twice is applied once.
type clientSession struct {
	LastIndex uint64            `json:"Used"` // log index of its last command
	HighestN  uint64            `json:"Most"` // its highest number
	Results   map[uint64]Result `json:"Done"` // results by number, of the last resultWindow numbers
}

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	index    uint64
	term     uint64
	values   map[string]Entry
	duties   *lease.Lessor
	presence *lease.Lessor
	sessions map[string]*clientSession
}

// New returns an empty state. The length of a lease is part of its request.
func New() *State {
	s := &State{values: map[string]Entry{}, sessions: map[string]*clientSession{}}
	s.duties, _ = lease.NewLessor(lease.Config{}) // the defaults are valid
	s.presence, _ = lease.NewLessor(lease.Config{})
	return s
}

// Index returns the log index of the last command that was applied.
func (s *State) Index() uint64 { return s.index }

// Get returns the value of a key.
func (s *State) Get(key string) (Entry, bool) {
	e, ok := s.values[key]
	return e, ok
}

// Values returns all values. The caller must not change the map.
func (s *State) Values() map[string]Entry { return s.values }

// Duties returns the grants of duties, ordered by name.
func (s *State) Duties() []lease.Grant { return s.duties.Grants() }

// Present returns all presences that were granted and not forgotten, expired ones included, with their ends by the leader's clock.
func (s *State) Present() []lease.Record { return s.presence.Snapshot() }

// Apply applies the command that is logged at an index in a term, and returns its result and the keys that changed.
func (s *State) Apply(index, term uint64, c *Command) (r Result, changed []string) {
	s.index = index
	if c.Key != "" { // a command of the log's first format
		s.values[c.Key] = Entry{c.Value, index}
		return Result{Index: index}, []string{c.Key}
	}
	session := s.session(c.ID.Writer)
	if session != nil {
		if earlier, ok := session.Results[c.ID.N]; ok {
			return earlier, nil
		}
		if c.ID.N+resultWindow <= session.HighestN {
			return Result{Index: index, Failed: Expired, Why: fmt.Sprintf("number %d of writer %s is long past", c.ID.N, c.ID.Writer)}, nil
		}
	}
	if c.LeaderTerm != term {
		// The result is not recorded: the writer sends the command again under the same number.
		return Result{Index: index, Failed: StaleStamp, Why: "the leader changed meanwhile"}, nil
	}
	if s.term != term {
		s.term = term
		s.duties.Promote(c.At)
		s.presence.Promote(c.At)
	}
	r, changed = s.execute(index, c)
	if session != nil {
		session.record(index, c.ID.N, r)
	}
	return r, changed
}

// session returns the session of a writer, a new one if there is none; nil for a command without a writer.
func (s *State) session(writer string) *clientSession {
	if writer == "" {
		return nil
	}
	session := s.sessions[writer]
	if session == nil {
		session = &clientSession{Results: map[uint64]Result{}}
		s.sessions[writer] = session
		s.evictSession()
	}
	return session
}

// record stores the result of the writer's n-th command, and drops the results outside the window.
func (c *clientSession) record(index, n uint64, r Result) {
	c.LastIndex, c.HighestN, c.Results[n] = index, max(c.HighestN, n), r
	maps.DeleteFunc(c.Results, func(n uint64, _ Result) bool { return n+resultWindow <= c.HighestN })
}

// evictSession drops the session whose last command is the oldest, if there are more than MaxWriters.
func (s *State) evictSession() {
	if len(s.sessions) <= MaxWriters {
		return
	}
	names := slices.Collect(maps.Keys(s.sessions))
	oldest := slices.MinFunc(names, func(a, b string) int {
		// A new session has LastIndex 0, which wraps to the highest number, so it is not evicted.
		x, y := s.sessions[a].LastIndex-1, s.sessions[b].LastIndex-1
		return cmp.Or(cmp.Compare(x, y), cmp.Compare(a, b))
	})
	delete(s.sessions, oldest)
}

// execute applies a command that was not applied before.
func (s *State) execute(index uint64, c *Command) (r Result, changed []string) {
	r.Index = index
	for _, condition := range c.If {
		if reason := s.violation(c.At, condition); reason != "" {
			r.Failed, r.Why = Conflict, reason
			return r, nil
		}
	}
	if len(s.values)+s.newKeys(c.Put) > MaxKeys {
		r.Failed, r.Why = Full, fmt.Sprintf("%d keys are kept, the most there may be", len(s.values))
		return r, nil
	}
	if c.Lease != nil {
		if r = s.executeLeaseOp(r, c.At, c.Lease); r.Failed != "" {
			return r, nil
		}
	}
	for _, p := range c.Put {
		if p.Value == nil {
			delete(s.values, p.Key)
		} else {
			s.values[p.Key] = Entry{p.Value, index}
		}
		changed = append(changed, p.Key)
	}
	return r, changed
}

// newKeys counts the pairs that add a key.
func (s *State) newKeys(pairs []Pair) (n int) {
	for _, p := range pairs {
		if _, exists := s.values[p.Key]; !exists && p.Value != nil {
			n++
		}
	}
	return n
}

// violation returns why a condition does not hold; empty if it does.
func (s *State) violation(now time.Duration, c Condition) string {
	switch {
	case c.Duty != "" && !s.duties.Holds(c.Duty, c.Token):
		return fmt.Sprintf("duty %q is not held under token %d any more", c.Duty, c.Token)
	case c.Lapsed != "" && !s.presence.Expired(now, c.Lapsed):
		return fmt.Sprintf("coordinator %q is still present", c.Lapsed)
	case c.Key != "" && s.values[c.Key].Revision != c.Revision:
		return fmt.Sprintf("%q is at revision %d, not %d", c.Key, s.values[c.Key].Revision, c.Revision)
	}
	return ""
}

// executeLeaseOp applies an operation on a lease, and adds the outcome to the result.
func (s *State) executeLeaseOp(r Result, now time.Duration, op *LeaseOp) Result {
	lessor := s.duties
	if op.Presence {
		lessor = s.presence
	}
	var err error
	switch op.Kind {
	case Campaign:
		r.Grant, err = lessor.Grant(now, op.Duty, op.Who, op.Length, op.KnownVersion)
	case Renew:
		r.Grant, err = lessor.Renew(now, op.Duty, op.Who, op.Term, op.KnownVersion)
	case Resign:
		err = lessor.Revoke(op.Duty, op.Who, op.Term)
	case Forget:
		if !lessor.Expired(now, op.Duty) {
			err = fmt.Errorf("%w: it is present", lease.ErrHeld)
		} else {
			lessor.Forget(op.Duty)
		}
	}
	if err != nil {
		r.Failed, r.Why = HeldByOther, err.Error()
		switch {
		case errors.Is(err, lease.ErrTermOver):
			r.Failed = TermOver
		case errors.Is(err, lease.ErrStaleVersion):
			r.Failed = StaleVersion
		}
	}
	return r
}
