// Package statemachine is the state that the coordinators' store replicates, and the one place that says what a command of its
// log does: values with revisions, duties and presences under leases, and what has been taken already. It owns nothing but
// that state. It must never look at a clock, do I/O, or let anything but the commands in their order decide: every member
// applies the same commands and has to come to the same state.
//
// A command is done whole or not at all:
//
//	taken before      its writer's number was applied: the first result again, nothing else
//	stamp             its leader's term is the term it was logged in; else nothing, and the writer asks again
//	new term          the leases are held from the first stamp of a leader on: its clock is not the last one's
//	If                every condition holds, else nothing
//	Lease             granted, renewed, given back or forgotten, else nothing; who has not heard of the last grant is told of it
//	Put               each value, under the index of the command as its revision; nil removes
//
// A stamp is the leader's clock and term as it took the command in. One that was stamped in another term than it was logged in
// could date a lease back to before another leader's grants, and with that let two act at once.
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
	MostKeys    = 20_000  // values kept
	MostValue   = 4 << 20 // bytes of one value
	MostWriters = 4096    // whose numbers are remembered; the one not heard for longest is forgotten first
	window      = 64      // numbers remembered of a writer; it has fewer out at once
)

// ID names a command: the number N of a writer, a process that counts up. A command without one may be applied twice.
type ID struct {
	Writer string
	N      uint64
}

// Condition has to hold for a command to be done; one field besides Revision and Token is set.
type Condition struct {
	Key      string `json:",omitempty"` // is at Revision; 0 for a key that is not there
	Revision uint64 `json:",omitempty"`
	Duty     string `json:",omitempty"` // is held under Token
	Token    uint64 `json:",omitempty"`
	Lapsed   string `json:",omitempty"` // this coordinator's presence is over by the table's clock
}

// Pair is a value to be put; nil removes the key.
type Pair struct {
	Key   string
	Value []byte
}

// LeaseOp is what is asked of a duty, or of a coordinator's presence.
type LeaseOp struct {
	What     LeaseOpKind
	Duty     string
	Presence bool // Duty is a coordinator's name, and the lease its presence
	Who      string
	Term     uint64        `json:",omitempty"`
	Heard    uint64        `json:",omitempty"` // Campaign, Renew: the version of the lease that Who heard of last; lease.Unsaid in the earlier form
	Length   time.Duration `json:",omitempty"` // Campaign: of the lease, as its holder counts it
}

// LeaseOpKind is asked.
type LeaseOpKind uint8

// The kinds of LeaseOp.
const (
	Campaign LeaseOpKind = iota + 1
	Renew
	Resign
	Forget // of a presence that is over: it is not waited for any more
)

// Command is one entry of the log.
type Command struct {
	ID      ID            `json:",omitzero"`
	At      time.Duration // the stamp: the leader's clock as it took the command in
	LedTerm uint64        // and its term then
	If      []Condition   `json:",omitempty"`
	Lease   *LeaseOp      `json:",omitempty"`
	Put     []Pair        `json:",omitempty"`

	// A command of the first form of the log: one value, without conditions or stamp.
	Key   string `json:",omitempty"`
	Value []byte `json:",omitempty"`
}

// Check tells what a command can't be, before it is logged.
func (c *Command) Check() error {
	for _, p := range c.Put {
		if p.Key == "" || len(p.Key) > 256 || len(p.Value) > MostValue {
			return fmt.Errorf("key %.40q of %d bytes, value of %d: a key has 1 to 256 bytes, a value %d at most", p.Key, len(p.Key), len(p.Value), MostValue)
		}
	}
	if l := c.Lease; l != nil && (l.Duty == "" || l.What < Campaign || l.What > Forget || l.What == Forget && !l.Presence || l.What == Campaign && l.Length <= 0) {
		return fmt.Errorf("lease of duty %q, step %d, length %v: not known, or without a length", l.Duty, l.What, l.Length)
	}
	return nil
}

// The causes for which a command is not done.
const (
	StaleStamp   = "stamp"    // the leader changed under it; ask again
	Conflict     = "conflict" // a condition does not hold
	HeldByOther  = "held"     // the duty is another's
	TermOver     = "over"     // the term is over
	StaleVersion = "unheard"  // who asks has not heard of the lease's last grant; Result.Grant tells of it
	Full         = "full"     // no room for a further key
	Expired      = "old"      // its number is long past
)

// Result is what a command came to.
type Result struct {
	Index  uint64 // of the log: everything up to it was seen
	Failed string `json:",omitempty"` // a cause; empty where it was done
	Why    string `json:",omitempty"` // for people
	Grant  lease.Grant
}

// ErrNotDone wraps Result.Failed.
var ErrNotDone = errors.New("not done")

// Err is nil for a command that was done.
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

type writer struct {
	Used uint64 // index of its last command
	Most uint64 // its highest number
	Done map[uint64]Result
}

// State is what is replicated. It is not safe for concurrent use.
type State struct {
	index    uint64
	term     uint64
	values   map[string]Entry
	duties   *lease.Table
	presence *lease.Table
	writers  map[string]*writer
}

// New returns an empty state. How long a lease runs goes with its request.
func New() *State {
	s := &State{values: map[string]Entry{}, writers: map[string]*writer{}}
	s.duties, _ = lease.NewTable(lease.Config{}) // the defaults hold
	s.presence, _ = lease.NewTable(lease.Config{})
	return s
}

// Index is that of the last command applied.
func (s *State) Index() uint64 { return s.index }

// Get returns what is kept under a key.
func (s *State) Get(key string) (Entry, bool) {
	e, ok := s.values[key]
	return e, ok
}

// Values lists all that is kept.
func (s *State) Values() map[string]Entry { return s.values }

// Duties lists the grants of duties.
func (s *State) Duties() []lease.Grant { return s.duties.Grants() }

// Present lists the presences that were ever granted and not forgotten, and until when they run by the leader's clock.
func (s *State) Present() []lease.Record { return s.presence.Snapshot() }

// Apply does a command as the log's index-th, logged in a term. It tells which keys changed.
func (s *State) Apply(index, term uint64, c *Command) (r Result, changed []string) {
	s.index = index
	if c.Key != "" { // the first form
		s.values[c.Key] = Entry{c.Value, index}
		return Result{Index: index}, []string{c.Key}
	}
	w := s.writers[c.ID.Writer]
	if c.ID.Writer != "" {
		if w == nil {
			w = &writer{Done: map[uint64]Result{}}
			s.writers[c.ID.Writer] = w
			s.room()
		}
		if before, taken := w.Done[c.ID.N]; taken {
			return before, nil
		}
		if c.ID.N+window <= w.Most {
			return Result{Index: index, Failed: Expired, Why: fmt.Sprintf("number %d of writer %s is long past", c.ID.N, c.ID.Writer)}, nil
		}
	}
	if c.LedTerm != term {
		// Not noted as taken: the writer asks again, under the same number.
		return Result{Index: index, Failed: StaleStamp, Why: "the leader changed meanwhile"}, nil
	}
	if s.term != term {
		s.term = term
		s.duties.Led(c.At)
		s.presence.Led(c.At)
	}
	r, changed = s.do(index, c)
	if w != nil {
		w.Used, w.Most, w.Done[c.ID.N] = index, max(w.Most, c.ID.N), r
		maps.DeleteFunc(w.Done, func(n uint64, _ Result) bool { return n+window <= w.Most })
	}
	return r, changed
}

// room forgets the writer that was not heard for longest, where there are too many.
func (s *State) room() {
	if len(s.writers) <= MostWriters {
		return
	}
	names := slices.Collect(maps.Keys(s.writers))
	s0 := slices.MinFunc(names, func(a, b string) int {
		// A new one has not been used yet, and is not the one to go.
		x, y := s.writers[a].Used-1, s.writers[b].Used-1
		return cmp.Or(cmp.Compare(x, y), cmp.Compare(a, b))
	})
	delete(s.writers, s0)
}

// do carries out a command that was not taken before.
func (s *State) do(index uint64, c *Command) (r Result, changed []string) {
	r.Index = index
	for _, cond := range c.If {
		if why := s.fails(c.At, cond); why != "" {
			r.Failed, r.Why = Conflict, why
			return r, nil
		}
	}
	more := 0
	for _, p := range c.Put {
		if _, there := s.values[p.Key]; !there && p.Value != nil {
			more++
		}
	}
	if len(s.values)+more > MostKeys {
		r.Failed, r.Why = Full, fmt.Sprintf("%d keys are kept, the most there may be", len(s.values))
		return r, nil
	}
	if c.Lease != nil {
		if r = s.lease(r, c.At, c.Lease); r.Failed != "" {
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

// fails tells why a condition does not hold; empty where it does.
func (s *State) fails(now time.Duration, c Condition) string {
	switch {
	case c.Duty != "" && !s.duties.Holds(c.Duty, c.Token):
		return fmt.Sprintf("duty %q is not held under token %d any more", c.Duty, c.Token)
	case c.Lapsed != "" && !s.presence.Over(now, c.Lapsed):
		return fmt.Sprintf("coordinator %q is still present", c.Lapsed)
	case c.Key != "" && s.values[c.Key].Revision != c.Revision:
		return fmt.Sprintf("%q is at revision %d, not %d", c.Key, s.values[c.Key].Revision, c.Revision)
	}
	return ""
}

func (s *State) lease(r Result, now time.Duration, op *LeaseOp) Result {
	table := s.duties
	if op.Presence {
		table = s.presence
	}
	var err error
	switch op.What {
	case Campaign:
		r.Grant, err = table.Campaign(now, op.Duty, op.Who, op.Length, op.Heard)
	case Renew:
		r.Grant, err = table.Renew(now, op.Duty, op.Who, op.Term, op.Heard)
	case Resign:
		err = table.Resign(op.Duty, op.Who, op.Term)
	case Forget:
		if !table.Over(now, op.Duty) {
			err = fmt.Errorf("%w: it is present", lease.ErrHeld)
		} else {
			table.Forget(op.Duty)
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

// kept is the form of a snapshot; a change of it takes another Version.
type kept struct {
	Version  int
	Index    uint64
	Term     uint64
	Values   map[string]Entry
	Duties   []lease.Record
	Presence []lease.Record
	Writers  map[string]*writer
}

const version = 2

// Snapshot is the state as one document.
func (s *State) Snapshot() ([]byte, error) {
	return json.Marshal(kept{version, s.index, s.term, s.values, s.duties.Snapshot(), s.presence.Snapshot(), s.writers})
}

// Restore replaces the state by a snapshot's. The first form, a list of values without a version, is taken too.
func (s *State) Restore(data []byte) error {
	var k kept
	if err := json.Unmarshal(data, &k); err != nil {
		return fmt.Errorf("snapshot of the store: %w", err)
	}
	switch k.Version {
	case version:
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
		return fmt.Errorf("snapshot of the store: version %d; this program knows up to %d: start the newer one", k.Version, version)
	}
	if k.Values == nil {
		k.Values = map[string]Entry{}
	}
	if k.Writers == nil {
		k.Writers = map[string]*writer{}
	}
	for _, w := range k.Writers {
		if w.Done == nil {
			w.Done = map[uint64]Result{}
		}
	}
	s.index, s.term, s.values, s.writers = k.Index, k.Term, k.Values, k.Writers
	s.duties.Restore(k.Duties)
	s.presence.Restore(k.Presence)
	return nil
}
