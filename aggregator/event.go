package aggregator

import (
	"time"
)

// State is what the list says of a replica.
type State uint8

// The states of a listed replica.
const (
	Serving State = iota
	Draining
	Gone
)

// Member is one entry of the list of replicas.
type Member struct {
	Replica  string
	ShardSet int
	Zone     string
	State    State
	Started  time.Duration // on the clock of Step; 0 means long ago
	Size     float64       // for comparing replicas
}

// Outcome is how an attempt or a probe ended. Any value not named here counts as may-have-run.
type Outcome uint8

// The outcomes of an attempt.
const (
	Unknown Outcome = iota
	OK
	Errored
	TimedOut
	Reset
	Cancelled
	Rejected       // never ran
	ConnectFailed  // never ran
	NotSent        // never sent
	ConnectionLost // its connection was lost or of no more use, but the replica lives; all parts out on it end alike
	ConnectTimeout // never ran: its connection did not come up in time, which a live replica's may do too
)

// EventKind names what happened.
type EventKind uint8

// The events of Step.
const (
	QueryArrived   EventKind = iota + 1 // Query, Class, Tenant, Left, Count, Key, Retry
	PartArrived                         // Query, Part, Shard, Weight, Key, Work
	AttemptEnded                        // Part, Attempt, Replica, Outcome, Took
	ClientGone                          // Query
	Wakeup                              // nothing else
	ListChanged                         // Members: changed entries
	ListReplaced                        // Members: the complete list
	ListCached                          // Members: the complete list as of an earlier time
	ListCallFailed                      // nothing else
	ProbeEnded                          // Replica, Outcome, Took, Report
	GossipReceived                      // Data
)

// Event is one thing that happened. Each kind uses the fields its constant names.
type Event struct {
	Kind       EventKind
	Query      string
	Part       string
	Replica    string
	Key        string
	Class      int // index into Settings.Classes
	Tenant     int // index into Settings.Tenants; below 0 for none
	Count      int // parts of the query's first step
	Shard      int
	Attempt    int
	Outcome    Outcome
	Retry      bool // the client has asked before
	Weight     float64
	Work       time.Duration // expected work; 0 where not known
	TimeLeft   time.Duration
	Elapsed    time.Duration
	Members    []Member
	LoadReport map[string]float64
	Data       []byte // a message of another front node, which may be late, wrong or lost
}

// neverRan are the outcomes of attempts that their replica has not begun.
var neverRan = map[Outcome]bool{Rejected: true, ConnectFailed: true, ConnectTimeout: true, NotSent: true}
