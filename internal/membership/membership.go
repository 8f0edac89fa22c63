// Package membership joins what any number of sources report of data nodes with what the coordinator sees of them into the
// one list that the decision module works on. It does no I/O, reads no clock, starts no goroutine and logs nothing: time
// comes in with each call, and what was decided goes out as changes of the list and as notes that say why. The same
// calls in the same order give the same results.
//
// # Claims
//
// What a source last reported of a data node is its claim. Claims are fresh (reported, and within the lease), stale (the
// lease has run out) or remembered (from a list cached over a restart). Of the claims on one id the owner's is the
// one of the freshest kind, then of the highest rank, then of the source that was added first.
//
//	owner says    others say                              result
//	serving       nothing, serving, or gone               serving, as the owner describes it
//	serving       draining, fresh                         draining
//	serving       draining and then gone, fresh           draining, until the owner's claim changes
//	serving       draining, of an earlier start           serving
//	draining      anything                                draining
//	gone          serving, reported before               gone
//	gone          serving, fresh, and changed after that  serving, as that one describes it
//	gone          remembered or stale                     gone
//
// A source that does not answer is not one that says gone: its claims turn stale after their lease, and lapse only
// after its MaxStale (RFC 8767). A whole list that is rejected, truncated, lame or older by its serial (RFC 1982)
// removes nothing; an empty one that is authoritative does.
//
// # Identity
//
//	same id, new address    moved: connections to the old address end; warming up, unless its start is stated and the same
//	same address, new id    replaced: the old id leaves the list, the new one warms up unless its start is stated
//	another start           restarted: warming up since the start stated, or since now where that went back
//	vanished, came back     the same one where its start is the same; where none is stated it warms up after an
//	                        absence of over Config.ShortAbsence or lost connections
//
// Where two sources name one address under two ids at once, the id of the higher rank stands, then the one that
// was reported last; the other is an alias and is not listed.
//
// # Order of use
//
// A data node is sound where it serves, is no alias, not suppressed and not suspect. One with a higher SRV priority
// figure than others is used only while a shard that it holds has no sound data node of a lower figure. Removal and
// draining are at once. Where a damped data node goes or drains again and again, its return is held back: the idea
// and the names are from RFC 2439. It is never held back while a shard that it holds has no sound one.
//
// Memory is bounded by the data nodes that are listed, by Spec.MaxNodes for each source, and by Config.MaxForgotten of
// those that were.
package membership

import "time"

// State is what a source says of a data node.
type State uint8

// The states of a data node.
const (
	Serving State = iota
	Draining
	Gone
)

func (s State) String() string { return [...]string{"serving", "draining", "gone"}[s] }

// Record is what a source reports of one data node, and what the joined list says of it.
type Record struct {
	ID, Addr, Zone string
	Proto          string // the protocol of its dispatcher; empty for the first one
	ShardSet       int    `json:"Cell"`
	State          State
	Weight         float64   // for comparing data nodes; 1 is an ordinary one
	Started        time.Time // zero means long ago
	Unstated       bool      // the source does not know Started
	Priority       uint16    // as SRV has it (RFC 2782): the lowest figure is used first
}

// Spec describes a source.
type Spec struct {
	Name     string
	Rank     int           // the higher one owns a data node that several name
	Damped   bool          // returns of its data nodes are damped
	MaxStale time.Duration // how long its claims hold past their lease; 0 means for good
	MaxNodes int           // most data nodes that it may name; 0 means DefaultMaxNodes
}

// DefaultMaxNodes is how many data nodes a source may name unless its Spec says otherwise.
const DefaultMaxNodes = 16384

// Basis is how far an answer of a source can be relied on.
type Basis uint8

// The bases.
const (
	Authoritative Basis = iota
	Relayed             // by a server without authority for the zone: an empty list says nothing
	Truncated           // not all of it has come
	Failed              // no list: no answer, or one that tells an error
)

// Update is one answer of a source.
type Update struct {
	Basis     Basis
	Cause     string // Failed: in words
	Serial    uint32 // of the zone, where Serialled
	Serialled bool
	Full      bool // Records is the complete list; a data node that it lacks is gone
	Cached    bool // the list is of an earlier run
	Records   []Record
	Lease     time.Duration // how long it holds without being confirmed; 0 means for good
}

// Evidence is what the coordinator sees of a data node itself.
type Evidence uint8

// The kinds of evidence.
const (
	Answered           Evidence = iota // a part or a probe, well or not
	Rejected                           // it was there, and rejected a part
	ConnectionRefused                  // no connection could be opened
	ConnectionReset                    // its connections ended, and none could be opened anew
	ConnectionReopened                 // they ended and could be opened anew
)

// Cause is what a note is about.
type Cause string

// The causes. The words are in log lines, as in `data node listed`, and in the output of `gullfall dnssd`.
const (
	// Of a data node in the list.
	Listed    Cause = "listed"
	Removed   Cause = "removed"
	Drained   Cause = "draining"
	Moved     Cause = "moved"     // to another address
	Replaced  Cause = "replaced"  // it stands at an address in place of another
	Restarted Cause = "restarted" // it is another process than before
	Aliased   Cause = "alias"     // another id stands at its address

	// Of damping.
	Suppressed Cause = "suppressed" // its return is held back
	Needed     Cause = "needed"     // suppressed, but a shard has no other
	Reused     Cause = "reused"     // no longer suppressed

	// Of priorities.
	Standby Cause = "standby" // data nodes of a lower figure suffice
	Active  Cause = "active"  // they no longer do

	// Of the coordinator's own evidence.
	Suspected Cause = "suspected"
	Cleared   Cause = "cleared"

	// Of a source.
	Held     Cause = "list held"     // an answer changes nothing, or removes nothing
	Emptied  Cause = "list emptied"  // an authoritative empty list
	WentBack Cause = "serial back"   // an older serial is believed after all
	Stale    Cause = "source stale"  // its lease has run out
	Fresh    Cause = "source fresh"  // it has answered again
	Lapsed   Cause = "source lapsed" // its MaxStale is over; its claims are dropped
	Excess   Cause = "too many"      // it names more data nodes than Spec.MaxNodes
	Unfit    Cause = "unfit"         // a record that can't be used
)

// Note says why something was decided.
type Note struct {
	Cause  Cause
	Source string // its name; empty where none is meant
	ID     string // of the data node; empty where none is meant
	Detail string
}

// Result is what a call has decided.
type Result struct {
	Changes []Record // of the list, by id; State Gone takes one off it
	Notes   []Note
}
