package aggregator

import (
	"time"
)

// ActionKind names what is to be done.
type ActionKind uint8

// The actions of Step, with the fields that each sets.
const (
	Send          ActionKind = iota + 1 // Part, Replica, After: the attempt's time-out, BeginWithin
	Cancel                              // Part, Attempt
	Answer                              // Query, Complete, Final
	Reject                              // Query, Reason, After: when the client may retry
	Fail                                // Query, Reason
	Probe                               // Replica
	Wake                                // After: when the next round is due
	PollEndpoints                       // none
	CloseIdle                           // Replica, whose idle connections are closed
	SendGossip                          // Data: a message for all other aggregators, 256 bytes at most
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

// Reason is why a query was rejected or failed.
type Reason uint8

// The reasons.
const (
	NoReplica         Reason = iota + 1 // a part that it needs has no replica that may be used
	OverCapacity                        // too much is open
	ForecastTooLate                     // it is not expected within its latency objective
	DeadlineExceeded                    // its time is over, or what is left is of no use
	AttemptsExhausted                   // a part that it needs may not be sent again
	QueryOfDeath                        // replicas crashed under it
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

// Action is one thing to be done; Kind says which of the other fields are set.
type Action struct {
	Kind        ActionKind
	Query       string
	Part        string
	Replica     string
	Attempt     int    // index among the attempts of the part
	Complete    bool   // the answer is complete
	Final       bool   // no second step follows the answer
	Reason      Reason // of Reject and Fail
	After       time.Duration
	BeginWithin time.Duration // the part runs within it or not at all, as a repeat is no longer dropped afterwards
	Data        []byte
}
