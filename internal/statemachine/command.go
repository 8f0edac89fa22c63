package statemachine

import (
	"errors"
	"fmt"
	"time"

	"gullfall/internal/lease"
)

// ID identifies a command: the N-th of a writer, which is one process. A command without an ID may be applied twice.
type ID struct {
	Writer string
	N      uint64
}

// Condition must hold for a command to be applied. One of Key, Duty and ExpiredPresence is set.
type Condition struct {
	Key             string `json:",omitempty"` // the key must be at Revision; 0 for a key without a value
	Revision        uint64 `json:",omitempty"`
	Duty            string `json:",omitempty"` // the duty must be held under the fencing token Token
	Token           uint64 `json:",omitempty"`
	ExpiredPresence string `json:"Lapsed,omitempty"` // the presence of this coordinator must have expired by the leader's clock
}

// Pair is a key and its new value; nil removes the key.
type Pair struct {
	Key   string
	Value []byte
}

// LeaseOp is an operation on the lease of a duty, or of a coordinator's presence.
type LeaseOp struct {
	Kind        LeaseOpKind `json:"What"`
	Duty        string
	Presence    bool   // Duty is a coordinator's name, and the lease its presence
	Coordinator string `json:"Who"`        // the coordinator that sends the operation
	Term        uint64 `json:",omitempty"` // for Renew and Resign: term of the lease
	// KnownVersion, for Campaign and Renew, is the version of the lease that Coordinator knows; lease.AnyVersion in the log's first
	// format.
	KnownVersion uint64        `json:"Heard,omitempty"`
	Length       time.Duration `json:",omitempty"` // for Campaign: length of the lease, by the leader's clock
}

// LeaseOpKind is the kind of a LeaseOp. Its values are stored in the log.
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
	LeaderTime time.Duration `json:"At"`      // the stamp: the leader's clock when it received the command
	LeaderTerm uint64        `json:"LedTerm"` // the stamp: the leader's term when it received the command
	Conditions []Condition   `json:"If,omitempty"`
	Lease      *LeaseOp      `json:",omitempty"`
	Put        []Pair        `json:",omitempty"`

	// Key and Value are a command of the log's first format: one value, without conditions or stamp.
	Key   string `json:",omitempty"`
	Value []byte `json:",omitempty"`
}

// Check returns an error for an invalid command. It is called before the command is logged.
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

// The values of Result.Cause: why a command is not applied. They are stored and sent.
const (
	StaleStamp   = "stamp"    // the leader changed in between; the command is sent again
	Conflict     = "conflict" // a condition does not hold
	HeldByOther  = "held"     // another coordinator holds the duty
	TermOver     = "over"     // the term is over
	StaleVersion = "unheard"  // the sender does not know the last grant of the lease; Result.Grant has it
	Full         = "full"     // no further key is accepted
	Expired      = "old"      // the command's number is outside the writer's window of results
)

// Result is the result of a command.
type Result struct {
	Index  uint64 // index in the log; all entries before it were applied
	Cause  string `json:"Failed,omitempty"` // why it was not applied, one of the constants; empty for a command that was applied
	Detail string `json:"Why,omitempty"`    // the details of Cause, for a reader
	Grant  lease.Grant
}

// ErrNotDone is wrapped by the error of a command that was not applied.
var ErrNotDone = errors.New("not done")

// Err returns an error that wraps ErrNotDone, or nil for a command that was applied.
func (r Result) Err() error {
	if r.Cause == "" {
		return nil
	}
	return fmt.Errorf("%w: %s: %s", ErrNotDone, r.Cause, r.Detail)
}
