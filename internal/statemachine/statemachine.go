// Package statemachine is the state that the coordinators' store replicates, and the meaning of the commands of its log: values with
// revisions, leases of duties and presences, and the results of earlier commands. It looks at no clock and does no I/O: every
// member applies the same commands in the same order and has to come to the same state.
//
// A command is applied as a whole or not at all:
//
//	earlier command   a number of its writer that was applied before: the first result again, nothing else
//	stamp             its leader's term is the term it was logged in; else nothing, and the writer sends it again
//	new term          all leases run anew from the first stamp of a leader: its clock is not the last one's
//	If                every condition holds, else nothing
//	Lease             granted, renewed, revoked or forgotten, else nothing; a sender that does not know the last grant is told of it
//	Put               each value, with the index of the command as its revision; nil removes the key
//
// A stamp is the leader's clock and term when it received the command. One of another term than the command was logged in could
// date a lease back to before another leader's grants: two coordinators would do one duty at the same time.
package statemachine

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"gullfall/internal/lease"
)

// Bounds of the state.
const (
	MaxKeys      = 20_000  // values
	MaxValue     = 4 << 20 // bytes of one value
	MaxWriters   = 4096    // with a session; the one whose last command is oldest is evicted first
	resultWindow = 64      // results kept of a writer, which has fewer commands in flight
)

// ID identifies a command: the N-th of a writer, which is one process. A command without one may be applied twice.
type ID struct {
	Writer string
	N      uint64
}

// Condition must hold for a command to be applied. One of Key, Duty and Lapsed is set.
type Condition struct {
	Key      string `json:",omitempty"` // has Revision; 0 for a key without a value
	Revision uint64 `json:",omitempty"`
	Duty     string `json:",omitempty"` // is held under the fencing token Token
	Token    uint64 `json:",omitempty"`
	Lapsed   string `json:",omitempty"` // this coordinator's presence has expired by the leader's clock
}

// Pair is a key and its new value; nil removes the key.
type Pair struct {
	Key   string
	Value []byte
}

// LeaseOp is an operation on the lease of a duty, or of a coordinator's presence.
type LeaseOp struct {
	Kind     LeaseOpKind `json:"What"`
	Duty     string
	Presence bool // Duty is a coordinator's name, and the lease its presence
	Who      string
	Term     uint64 `json:",omitempty"` // Renew, Resign
	// KnownVersion, of Campaign and Renew, is the version of the lease that Who knows; lease.AnyVersion in the log's first form.
	KnownVersion uint64        `json:"Heard,omitempty"`
	Length       time.Duration `json:",omitempty"` // Campaign: of the lease, by the leader's clock
}

// LeaseOpKind is the kind of a LeaseOp. Its numbers are stored in the log.
type LeaseOpKind uint8

// The kinds of a LeaseOp.
const (
	Campaign LeaseOpKind = iota + 1
	Renew
	Resign
	Forget // remove the record of a presence that has expired
)

// Command is one entry of the log.
type Command struct {
	ID         ID            `json:",omitzero"`
	At         time.Duration // the stamp: the leader's clock when it received the command
	LeaderTerm uint64        `json:"LedTerm"` // its term then
	If         []Condition   `json:",omitempty"`
	Lease      *LeaseOp      `json:",omitempty"`
	Put        []Pair        `json:",omitempty"`

	// Key and Value are a command of the first form of the log: one value, without conditions or stamp.
	Key   string `json:",omitempty"`
	Value []byte `json:",omitempty"`
}

// Check returns why a command is invalid. It is called before the command is logged.
func (c *Command) Check() error {
	for _, p := range c.Put {
		if p.Key == "" || len(p.Key) > 256 || len(p.Value) > MaxValue {
			return fmt.Errorf("key %.40q of %d bytes, value of %d: a key has 1 to 256 bytes, a value %d at most", p.Key, len(p.Key), len(p.Value), MaxValue)
		}
	}
	if l := c.Lease; l != nil && (l.Duty == "" || l.Kind < Campaign || l.Kind > Forget || l.Kind == Forget && !l.Presence || l.Kind == Campaign && l.Length <= 0) {
		return fmt.Errorf("lease of duty %q, step %d, length %v: not known, or without a length", l.Duty, l.Kind, l.Length)
	}
	return nil
}

// The causes for which a command is not applied, as Result.Failed has them. They are stored and sent.
const (
	StaleStamp   = "stamp"    // the leader changed meanwhile; the command is sent again
	Conflict     = "conflict" // a condition does not hold
	HeldByOther  = "held"     // another coordinator holds the duty
	TermOver     = "over"     // the term is over
	StaleVersion = "unheard"  // the sender does not know the lease's last grant; Result.Grant has it
	Full         = "full"     // no further key is accepted
	Expired      = "old"      // its number is outside the writer's window of results
)

// Result is the result of a command.
type Result struct {
	Index  uint64 // in the log; all before it was applied
	Failed string `json:",omitempty"` // a cause; empty for a command that was applied
	Why    string `json:",omitempty"` // in words
	Grant  lease.Grant
}

// ErrNotDone is wrapped by the errors of commands that were not applied.
var ErrNotDone = errors.New("not done")

// Err returns nil for a command that was applied.
func (r Result) Err() error {
	if r.Failed == "" {
		return nil
	}
	return fmt.Errorf("%w: %s: %s", ErrNotDone, r.Failed, r.Why)
}

// Entry is a value and the index of the command that put it.
type Entry struct {
	Value    []byte
	Revision uint64
}

// clientSession is what is known of a writer, so that a command that is sent twice is applied once.
type clientSession struct {
	LastIndex uint64            `json:"Used"` // log index of its last command
	HighestN  uint64            `json:"Most"` // its highest number
	Results   map[uint64]Result `json:"Done"` // by number, the last resultWindow
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

// New returns an empty state. The length of a lease comes with its request.
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

// Duties lists the grants of duties, by name.
func (s *State) Duties() []lease.Grant { return s.duties.Grants() }

// Present lists the presences that were ever granted and not forgotten, with their ends by the leader's clock.
func (s *State) Present() []lease.Record { return s.presence.Snapshot() }

// Apply applies a command that is logged at an index in a term, and returns the keys that changed.
func (s *State) Apply(index, term uint64, c *Command) (r Result, changed []string) {
	s.index = index
	if c.Key != "" { // the first form
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
		// The result is not kept: the writer sends the command again under the same number.
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

// session returns a writer's session, a new one where there is none; nil for a command without a writer.
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

// record keeps the result of the writer's n-th command, and drops those outside the window.
func (c *clientSession) record(index, n uint64, r Result) {
	c.LastIndex, c.HighestN, c.Results[n] = index, max(c.HighestN, n), r
	maps.DeleteFunc(c.Results, func(n uint64, _ Result) bool { return n+resultWindow <= c.HighestN })
}

// evictSession drops the session whose last command is the oldest, where there are more than MaxWriters.
func (s *State) evictSession() {
	if len(s.sessions) <= MaxWriters {
		return
	}
	names := slices.Collect(maps.Keys(s.sessions))
	oldest := slices.MinFunc(names, func(a, b string) int {
		// A new session has LastIndex 0, which wraps to the highest number: it is not the one to evict.
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

// newKeys counts the pairs with a value whose key has none yet.
func (s *State) newKeys(pairs []Pair) (n int) {
	for _, p := range pairs {
		if _, exists := s.values[p.Key]; !exists && p.Value != nil {
			n++
		}
	}
	return n
}

// violation returns why a condition does not hold; empty where it does.
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

// executeLeaseOp applies an operation on a lease, and adds its outcome to the result.
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

// kept is the form of a snapshot. A change of it needs another Version.
type kept struct {
	Version  int
	Index    uint64
	Term     uint64
	Values   map[string]Entry
	Duties   []lease.Record
	Presence []lease.Record
	Writers  map[string]*clientSession
}

const snapshotVersion = 2

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) {
	return json.Marshal(kept{snapshotVersion, s.index, s.term, s.values, s.duties.Snapshot(), s.presence.Snapshot(), s.sessions})
}

// Restore replaces the state by a snapshot. It also reads the first form, a list of values without a version.
func (s *State) Restore(data []byte) error {
	var k kept
	if err := json.Unmarshal(data, &k); err != nil {
		return fmt.Errorf("snapshot of the store: %w", err)
	}
	switch k.Version {
	case snapshotVersion:
	case 0:
		var first map[string][]byte
		if err := json.Unmarshal(data, &first); err != nil {
			return fmt.Errorf("snapshot of the store: %w", err)
		}
		k.Values = map[string]Entry{}
		for key, value := range first {
			k.Values[key] = Entry{value, 1}
		}
	default:
		return fmt.Errorf("snapshot of the store: version %d; this program knows up to %d: start the newer one", k.Version, snapshotVersion)
	}
	if k.Values == nil {
		k.Values = map[string]Entry{}
	}
	if k.Writers == nil {
		k.Writers = map[string]*clientSession{}
	}
	for _, w := range k.Writers {
		if w.Results == nil {
			w.Results = map[uint64]Result{}
		}
	}
	s.index, s.term, s.values, s.sessions = k.Index, k.Term, k.Values, k.Writers
	s.duties.Restore(k.Duties)
	s.presence.Restore(k.Presence)
	return nil
}
