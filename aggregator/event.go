package aggregator

import (
	"time"
)

// State is the state of a replica in the endpoint list.
type State uint8

// States of a listed replica.
const (
	Serving  State = iota
	Draining       // gets no further parts
	Gone
)

var stateNames = [...]string{
	Serving:  "serving",
	Draining: "draining",
	Gone:     "gone",
}

func (s State) String() string { return valueName("State", stateNames[:], int(s)) }

// Member is one entry of the endpoint list.
type Member struct {
	Replica  string // name
	ShardSet int    // index of the shard set that it holds
	Zone     string
	State    State
	Started  time.Duration // start time of its process on the clock of Step; 0 means long ago
	Size     float64       // relative size; not used by this package
}

// Outcome is the result of an attempt or a probe. The part may have run after any outcome that does not say that it never
// ran or never left this process, also after one that is not listed here.
type Outcome uint8

// Outcomes of attempts and probes.
const (
	Unknown Outcome = iota
	OK
	Errored
	TimedOut
	Reset          // the connection was reset
	Cancelled      // ended by a Cancel action
	Rejected       // the replica is full; the part never ran
	ConnectFailed  // the part never ran
	NotSent        // the part never left this process
	ConnectionLost // the connection was lost or became unusable, but the replica is alive; all attempts on it end this way
	ConnectTimeout // the connection was not established in time, which happens with live replicas too; the part never ran
)

var outcomeNames = [...]string{
	Unknown:        "unknown",
	OK:             "ok",
	Errored:        "error",
	TimedOut:       "timed out",
	Reset:          "reset",
	Cancelled:      "cancelled",
	Rejected:       "rejected",
	ConnectFailed:  "connect failed",
	NotSent:        "not sent",
	ConnectionLost: "connection lost",
	ConnectTimeout: "connect timeout",
}

func (o Outcome) String() string { return valueName("Outcome", outcomeNames[:], int(o)) }

// EventKind is the kind of an event.
type EventKind uint8

// Event kinds and the fields that each uses.
const (
	QueryArrived   EventKind = iota + 1 // Query, Class, Tenant, TimeLeft, PartCount, Key, Retry
	PartArrived                         // Query, Part, Shard, Weight, Key, Work
	AttemptEnded                        // Part, Attempt, Replica, Outcome, Elapsed
	ClientGone                          // Query
	Wakeup                              // none
	ListChanged                         // Members: the changed entries
	ListReplaced                        // Members: the complete list
	ListCached                          // Members: the complete list as of an earlier time
	ListCallFailed                      // none; a poll of the endpoint list failed
	ProbeEnded                          // Replica, Outcome, Elapsed, LoadReport
	GossipReceived                      // Data
)

var eventNames = [...]string{
	QueryArrived:   "query arrived",
	PartArrived:    "part arrived",
	AttemptEnded:   "attempt ended",
	ClientGone:     "client gone",
	Wakeup:         "wakeup",
	ListChanged:    "list changed",
	ListReplaced:   "list replaced",
	ListCached:     "list cached",
	ListCallFailed: "list call failed",
	ProbeEnded:     "probe ended",
	GossipReceived: "gossip received",
}

func (e EventKind) String() string { return valueName("EventKind", eventNames[:], int(e)) }

// Event is one input of Step; Kind says which fields are set. A struct with the fields of all kinds avoids the allocation
// per event that an interface would need.
type Event struct {
	Kind       EventKind
	Query      string
	Part       string
	Replica    string
	Key        string // key by which replicas cache results; not used by this package
	Class      int    // index into Settings.Classes
	Tenant     int    // index into Settings.Tenants; below 0 for none
	PartCount  int    // parts of the query's first phase
	Shard      int
	Attempt    int // index among the attempts of the part
	Outcome    Outcome
	Retry      bool          // the client has sent the query before
	Weight     float64       // share of the query's answer; those of all parts of a phase sum to 1
	Work       time.Duration // expected work; 0 if unknown
	TimeLeft   time.Duration // until the client's deadline
	Elapsed    time.Duration // since the attempt or probe was sent
	Members    []Member
	LoadReport map[string]float64 // load of a replica by metric name: inflight, queue
	Data       []byte             // message of another aggregator; it may be late, wrong or lost
}
