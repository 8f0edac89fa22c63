package coordinator

import "gullfall/aggregator"

// Messages of log lines that other programs, such as gullfall-lab fleet, parse.
const (
	LogQueryRejected = "query rejected"
	LogQueryFailed   = "query failed"
	LogQueryEnded    = "query ended"
	LogAttemptBegun  = "attempt begun"
	LogAttemptEnded  = "attempt ended"
)

// States of an attempt that has not ended, as they appear in the log attribute "missing" of a rejected or failed query.
const (
	attemptInFlight   = "in flight"
	attemptCancelling = "cancelling"
)

var statusText = [...]string{Answered: "answered", Rejected: "rejected", Failed: "failed"}

// String returns the status as it appears in the log.
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

// String returns the outcome as it appears in the log.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeText) {
		return ""
	}
	return outcomeText[o]
}

// reasonText returns the reason for which the decision module ends a query without an answer, as it appears in the log. It is empty for
// a query of an unknown class.
func reasonText(reason aggregator.Reason) string {
	if reason == 0 {
		return ""
	}
	return reason.String()
}

// AttemptStates returns all attempt states that can appear in the log attribute "missing" of a rejected or failed query.
func AttemptStates() []string {
	states := []string{attemptInFlight, attemptCancelling}
	for o := OK; int(o) < len(outcomeText); o++ {
		states = append(states, o.String())
	}
	return states
}

// state returns the attempt's outcome if it has ended, otherwise whether it is in flight or being cancelled.
func (a *Attempt) state() string {
	switch {
	case a.ended:
		return a.outcome.String()
	case a.cancelReason != aggregator.Unknown:
		return attemptCancelling
	}
	return attemptInFlight
}
