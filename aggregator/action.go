package aggregator

import (
	"time"
)

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
