package aggregator

import (
	"time"
)

// ActionKind is the kind of an action.
type ActionKind uint8

// Action kinds and the fields that each sets.
const (
	Send          ActionKind = iota + 1 // Part, Replica, After: the attempt's timeout, BeginWithin
	Cancel                              // Part, Attempt
	Answer                              // Query, Complete, Final
	Reject                              // Query, Reason, After: when the client may retry
	Fail                                // Query, Reason
	Probe                               // Replica
	Wake                                // After: time until the next round
	PollEndpoints                       // none
	CloseIdle                           // Replica: the one whose idle connections are closed
	SendGossip                          // Data: a message for all other aggregators, at most 256 bytes
)

var actionNames = [...]string{
	Send:          "send",
	Cancel:        "cancel",
	Answer:        "answer",
	Reject:        "reject",
	Fail:          "fail",
	Probe:         "probe",
	Wake:          "wake",
	PollEndpoints: "poll endpoints",
	CloseIdle:     "close idle",
	SendGossip:    "send gossip",
}

func (a ActionKind) String() string { return valueName("ActionKind", actionNames[:], int(a)) }

// Reason says why a query was rejected or failed.
type Reason uint8

// Reasons of Reject and Fail.
const (
	NoReplica         Reason = iota + 1 // a required part has no usable replica
	OverCapacity                        // too many queries and parts are open
	ForecastTooLate                     // the answer is expected after its latency objective
	DeadlineExceeded                    // its time is over, or too little is left for a useful answer
	AttemptsExhausted                   // a required part may not be sent again
	QueryOfDeath                        // replicas crashed while running it
)

var reasonNames = [...]string{
	NoReplica:         "no replica",
	OverCapacity:      "over capacity",
	ForecastTooLate:   "forecast too late",
	DeadlineExceeded:  "deadline exceeded",
	AttemptsExhausted: "attempts exhausted",
	QueryOfDeath:      "query of death",
}

func (r Reason) String() string { return valueName("Reason", reasonNames[:], int(r)) }

// Action is one output of Step; Kind says which other fields are set.
type Action struct {
	Kind        ActionKind
	Query       string
	Part        string
	Replica     string
	Attempt     int    // index among the attempts of the part
	Complete    bool   // the answer is complete
	Final       bool   // no second phase follows the answer
	Reason      Reason // of Reject and Fail
	After       time.Duration
	BeginWithin time.Duration // the part must begin within it or not run at all, as data nodes drop repeats only until then
	Data        []byte
}
