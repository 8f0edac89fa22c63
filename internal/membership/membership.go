// Package membership merges what any number of sources report about data nodes, and what the coordinator itself observes
// of them, into the one list that package aggregator works on. It does no I/O, reads no clock, starts no goroutine and
// logs nothing: each call is given the time, and returns the changes of the list and notes with the reasons. The same
// calls in the same order give the same results.
//
// # Claims
//
// A claim is what a source last reported about a data node. Claims are fresh (reported, and within the lease), stale (the
// lease has expired) or cached (from a list kept across a restart). The owner of a data node is the claim on its id that
// is of the freshest kind, then of the highest rank, then of the source that was added first.
//
//	owner's claim  other claims                   result
//	serving        none, serving, or gone         serving, as the owner describes it
//	serving        draining, fresh                draining
//	serving        draining, then gone, fresh     draining, until the owner's claim changes
//	serving        draining, of an earlier start  serving
//	draining       any                            draining
//	gone           serving, not changed since     gone
//	gone           serving, fresh, changed since  serving, as the changed claim describes it
//	gone           cached or stale                gone
//
// A source that does not answer does not report its data nodes as gone: its claims turn stale after their lease, and
// expire only after its MaxStale (RFC 8767). A full list that is rejected, truncated, lame (empty and not authoritative)
// or older by its serial (RFC 1982) removes nothing; an empty authoritative one does.
//
// # Identity
//
//	same id, new address    moved: connections to the old address end; warming up, unless its start is stated and unchanged
//	same address, new id    replaced: the old id leaves the list, the new one warms up unless its start is stated
//	another start           restarted: warming up since the stated start, or since now where that went back
//	removed and listed      the same process if its start is unchanged; if none is stated, it warms up after an
//	again                   absence of over Config.ShortAbsence or lost connections
//
// If two sources name one address under two ids at once, the id of the fresher claim is listed, then the one of the
// higher rank, then the one reported last; the other is an alias and is not listed.
//
// # Selection
//
// A data node is healthy if it serves, is no alias, and is neither suppressed nor suspect. One with a higher SRV priority
// value than others is used only while a shard that it holds has no healthy data node of a lower value. Removal and
// draining take effect at once. If a data node of a damped source goes or drains repeatedly, its return is suppressed by
// route flap damping, with the terms of RFC 2439. It is never suppressed while a shard that it holds has no healthy one.
//
// Memory is bounded by the number of listed data nodes, by Spec.MaxNodes for each source, and by Config.MaxUnclaimed for
// data nodes that no source claims any more.
package membership

import "time"

// State is the state of a data node as a source reports it or as it is listed.
type State uint8

// The states of a data node.
const (
	Serving State = iota
	Draining
	Gone
)

func (s State) String() string { return [...]string{"serving", "draining", "gone"}[s] }

// Record describes one data node, as a source reports it or as it is listed.
type Record struct {
	ID, Addr, Zone string
	Proto          string // protocol of its dispatcher; empty means the first dispatcher
	ShardSet       int    `json:"Cell"`
	State          State
	Weight         float64   // relative to other data nodes; 1 is an ordinary one
	Started        time.Time // when its process started; zero means long ago
	StartUnknown   bool      `json:"Unstated"` // the source does not know Started
	Priority       uint16    // SRV priority (RFC 2782): the lowest value is used first
}

// Spec describes a source.
type Spec struct {
	Name     string
	Rank     int           // the source of the highest rank owns a data node that several name
	Damped   bool          // returns of its data nodes are subject to flap damping
	MaxStale time.Duration // how long its claims are kept past their lease; 0 means without limit
	MaxNodes int           // maximum number of data nodes that it may name; 0 means DefaultMaxNodes
}

// DefaultMaxNodes is the default of Spec.MaxNodes.
const DefaultMaxNodes = 16384

// Reliability says how far a source's answer can be relied on.
type Reliability uint8

// The reliabilities of an answer.
const (
	Authoritative    Reliability = iota
	NonAuthoritative             // from a server without authority for the DNS zone: an empty list removes nothing
	Truncated                    // the list is incomplete
	Failed                       // no list: no answer, or an error
)

// Update is one answer of a source.
type Update struct {
	Reliability Reliability
	Cause       string // why Reliability is Failed
	Serial      uint32 // of the DNS zone, if HasSerial
	HasSerial   bool
	Full        bool // Records is the complete list; a data node missing from it is gone
	Cached      bool // the list was stored by an earlier run
	Records     []Record
	Lease       time.Duration // how long the answer holds without confirmation; 0 means without limit
}

// Evidence is what the coordinator itself has observed of a data node.
type Evidence uint8

// The kinds of evidence.
const (
	Answered           Evidence = iota // it answered a part or a probe, with success or an error
	Rejected                           // it was reachable, and rejected a part
	ConnectionRefused                  // no connection could be opened
	ConnectionReset                    // its connections ended, and none could be reopened
	ConnectionReopened                 // its connections ended and could be reopened
)

// Cause is the kind of event that a note reports.
type Cause string

// The causes. Their texts appear in log messages, such as `data node listed`, and in the output of `gullfall dnssd`.
const (
	// Changes of a data node in the list.
	Listed    Cause = "listed"
	Removed   Cause = "removed"
	Drained   Cause = "draining"
	Moved     Cause = "moved"     // to another address
	Replaced  Cause = "replaced"  // it is listed at an address in place of another
	Restarted Cause = "restarted" // it is another process than before
	Aliased   Cause = "alias"     // another id is listed at its address

	// Flap damping.
	Suppressed Cause = "suppressed" // its return is delayed
	Needed     Cause = "needed"     // used despite suppression: a shard has no other
	Reused     Cause = "reused"     // no longer suppressed

	// Priorities.
	Standby Cause = "standby" // data nodes of lower priority values suffice
	Active  Cause = "active"  // they no longer suffice

	// The coordinator's own evidence.
	Suspected Cause = "suspected"
	Cleared   Cause = "cleared"

	// Sources.
	ListHeld        Cause = "list held"     // an answer is ignored, or removes nothing
	ListEmptied     Cause = "list emptied"  // an authoritative empty list
	SerialRegressed Cause = "serial back"   // an older serial is accepted after Config.SerialHold
	SourceStale     Cause = "source stale"  // its lease has expired
	SourceFresh     Cause = "source fresh"  // it has answered again
	SourceExpired   Cause = "source lapsed" // its MaxStale is over; its claims are dropped
	TooManyNodes    Cause = "too many"      // it names more data nodes than Spec.MaxNodes
	InvalidRecord   Cause = "unfit"         // a record that can't be used
)

// Note reports an event or a decision and its reason.
type Note struct {
	Cause  Cause
	Source string // name of the source; empty if the note concerns none
	ID     string // of the data node; empty if the note concerns none
	Detail string
}

// Result is the outcome of a call.
type Result struct {
	Changes []Record // of the list, by id; one with State Gone leaves the list
	Notes   []Note
}
