package aggregator

import (
	"time"
)

// State is what the endpoint list says of a replica.
type State uint8

// The states of a listed replica.
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
	ShardSet int    // index of the set of shards that it holds
	Zone     string
	State    State
	Started  time.Duration // start of its process, on the clock of Step; 0 means long ago
	Size     float64       // for comparing replicas
}

// Outcome is how an attempt or a probe ended. After any that is not said to have kept the part from running, the part may
// have run; so it may after a value that is not named here.
type Outcome uint8

// The outcomes.
const (
	Unknown Outcome = iota
	OK
	Errored
	TimedOut
	Reset          // the connection was reset
	Cancelled      // by a Cancel
	Rejected       // the replica is full; the part never ran
	ConnectFailed  // the part never ran
	NotSent        // the part never left this node
	ConnectionLost // the connection was lost or is of no more use, but the replica lives; all attempts on it end so
	ConnectTimeout // the connection did not come up in time, as a live replica's may not; the part never ran
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

// EventKind names what happened.
type EventKind uint8

// The events of Step, with the fields that each uses.
const (
	QueryArrived   EventKind = iota + 1 // Query, Class, Tenant, TimeLeft, Count, Key, Retry
	PartArrived                         // Query, Part, Shard, Weight, Key, Work
	AttemptEnded                        // Part, Attempt, Replica, Outcome, Elapsed
	ClientGone                          // Query
	Wakeup                              // none
	ListChanged                         // Members: the changed entries
	ListReplaced                        // Members: the complete list
	ListCached                          // Members: the complete list as of an earlier time
	ListCallFailed                      // none; a poll of the list failed
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

// Event is one thing that happened; Kind says which of the fields are set. It is one struct with the fields of all kinds, as
// an interface would allocate each event.
type Event struct {
	Kind       EventKind
	Query      string
	Part       string
	Replica    string
	Key        string // cache key
	Class      int    // index into Settings.Classes
	Tenant     int    // index into Settings.Tenants; below 0 for none
	Count      int    // parts of the query's first step
	Shard      int
	Attempt    int // index among the attempts of the part
	Outcome    Outcome
	Retry      bool          // the client has sent the query before
	Weight     float64       // share of the query's answer; those of all parts of a step sum to 1
	Work       time.Duration // expected work; 0 where not known
	TimeLeft   time.Duration // until the client's deadline
	Elapsed    time.Duration // since the attempt or probe was sent
	Members    []Member
	LoadReport map[string]float64 // figures of a replica by name: inflight, queue
	Data       []byte             // a message of another aggregator; it may be late, wrong or lost
}
