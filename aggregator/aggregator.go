// Package aggregator decides what the root node of a sharded search service does with its queries: which
// replica gets each part, when to try again, when to reply, and what to refuse. This file is the
// interface; policy.go, placement.go and health.go make every decision.
package aggregator

import "time"

// Effect says what repeating a part does.
type Effect uint8

// The effects a class can have.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // holders drop a repeat for Class.Memory
	Unsafe               // must never run twice
)

// Class is one class of query.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer inside it earns the full worth
	Deadline         time.Duration // the client's patience over all its tries
	DedupWindow      time.Duration // Keyed only: how long a repeat is dropped, from the first send that may have run
	Effect           Effect
	Priority         float64
	LateShare        float64 // share of the worth after the aim
	CompleteShare    float64 // share of the weight that makes a whole answer
	MinShare         float64 // smallest share that may be answered
	PartialShare     float64 // share of the worth that a partial answer earns, times its share of the need
	FetchParts       int     // parts of the second step; 0 means one step
}

// Tenant is a customer and the rate within its share, over all aggregators.
type Tenant struct {
	Name string
	Rate float64
}

// Limits is what the deployment permits.
type Limits struct {
	MaxAttempts    int  // most attempts of a part
	MaxOpen        int  // queries and parts held at once; 0 means no limit
	MaxBatch       int  // most parts in a call
	CanCancel      bool // attempts may be cancelled
	Hedging        bool // a part may have two attempts out
	Probes         bool // replicas may be probed
	Gossip         bool // front nodes may send each other messages
	SendRetryAfter bool // clients hear a return time
	MaxRetryAfter  time.Duration
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // idle connections close after this; 0 where not known
}

// Rules holds the figures of the rules.
type Rules struct {
	DrainGrace       time.Duration
	OverloadMultiple float64 // a cold replica falls above this multiple of its capacity
	OverloadWindow   time.Duration
	InitialCapacity  float64 // capacity of a replica as it starts, as a share
	WarmupTime       time.Duration
	RetryWindow      time.Duration // 0 means further attempts are not rationed
	RetryFloor       float64
	RetryRatio       float64
	PollInterval     time.Duration
}

// Settings is all that an aggregator is told at start. The zero value of a feature means it is off.
type Settings struct {
	Zone            string
	Aggregators     int // how many front nodes share the fleet
	Tick            time.Duration
	Classes         []Class
	Tenants         []Tenant
	OverQuotaFactor float64
	PriorityPerWork bool
	ShardSets       int // shard s is held by cells s, s+1, ... s+Reach-1, modulo Cells
	Shards          int
	Reach           int
	CallCost        time.Duration
	KeyCaches       bool // a replica serves a key it has just served with less work
	LateFailPrice   float64
	PollList        bool // the list must be asked for
	Limits          Limits
	Rules           Rules
}

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

// ActionKind names what is to be done.
type ActionKind uint8

// The actions of Step.
const (
	Send          ActionKind = iota + 1 // Part, Replica, After: the attempt's time-out, Begin
	Cancel                              // Part, Attempt
	Answer                              // Query, Whole
	Reject                              // Query, Why, After: when to return
	Fail                                // Query, Why
	Probe                               // Replica
	Wake                                // After
	PollEndpoints                       // nothing else
	CloseIdle                           // Replica: its idle connections
	SendGossip                          // Data: a message for all other front nodes, 256 bytes at most
)

// Reason is the cause of a query that is given up.
type Reason uint8

// The causes.
const (
	NoReplica         Reason = iota + 1 // a part that is needed has no holder that may be used
	OverCapacity                        // too much is open here
	ForecastTooLate                     // it can't be expected in its time
	DeadlineExceeded                    // its time is over, or what is left of it is of no use
	AttemptsExhausted                   // a part that is needed may not be tried again
	QueryOfDeath                        // replicas broke under it
)

// Action is one thing to be done, in order.
type Action struct {
	Kind        ActionKind
	Query       string
	Part        string
	Replica     string
	Attempt     int
	Complete    bool   // the answer is complete
	Final       bool   // no second step follows the answer
	Reason      Reason // Refuse, Fail
	After       time.Duration
	BeginWithin time.Duration // Send: within it or never, as what may run twice is then no longer dropped
	Data        []byte
}
