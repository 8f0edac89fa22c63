package coordinator

import "gullfall/aggregator"

// Messages of the log lines that programs read, such as gullfall-lab fleet.
const (
	LogQueryRejected = "query rejected"
	LogQueryFailed   = "query failed"
	LogQueryEnded    = "query ended"
	LogAttemptBegun  = "attempt begun"
	LogAttemptEnded  = "attempt ended"
)

// How an attempt without an end stands, in the field missing of a query that was rejected or failed.
const (
	attemptInFlight   = "in flight"
	attemptCancelling = "cancelling"
)

var statusText = [...]string{Answered: "answered", Rejected: "rejected", Failed: "failed"}

// String is the status in the log.
func (s Status) String() string {
	if s < 0 || int(s) >= len(statusText) {
		return ""
	}
	return statusText[s]
}

var outcomeText = [...]string{
	OK:             "ok",
	Errored:        "error",
	Overloaded:     "overloaded",
	NotConnected:   "not connected",
	Reset:          "reset",
	Cancelled:      "cancelled",
	NotSent:        "not sent",
	ConnectionLost: "connection lost",
	ConnectTimeout: "connect timeout",
}

// String is the outcome in the log.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeText) {
		return ""
	}
	return outcomeText[o]
}

// reasonText is why the module ends a query without an answer, in the log; empty for a query of an unknown class.
func reasonText(reason aggregator.Reason) string {
	if reason == 0 {
		return ""
	}
	return reason.String()
}

// AttemptStates are all words for how an attempt stands, in the field missing of a query that was rejected or failed.
func AttemptStates() []string {
	states := []string{attemptInFlight, attemptCancelling}
	for o := OK; int(o) < len(outcomeText); o++ {
		states = append(states, o.String())
	}
	return states
}

// state is how an attempt stands.
func (a *Attempt) state() string {
	switch {
	case a.ended:
		return a.outcome.String()
	case a.cancelReason != aggregator.Unknown:
		return attemptCancelling
	}
	return attemptInFlight
}
