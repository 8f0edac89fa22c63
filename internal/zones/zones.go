// Package zones decides, for one coordinator, whether a zone of data nodes has failed as a whole, and how fast work
// goes back to it once it answers again. It does no I/O, reads no clock, starts no goroutine and logs nothing: time
// comes in with each call, evidence comes in as it is seen, and what was decided goes out as changes with their
// reasons. The same calls in the same order, with the same seed, give the same results.
//
// # States
//
// A data node is failing while its last evidence within Window was bad (a refused or reset connection, a timeout, a
// silent answer, its removal from the list, a drain, a report of another coordinator) and nothing good came after it. A
// zone's share is its failing data nodes over those it has; the others' share is the same over all other zones together.
// A zone exceeds a threshold where at least MinFailing of its data nodes fail, its share is at least the threshold, and
// it is Margin above the others' share: what fails everywhere alike is no zone's fault.
//
//	state       printed as  becomes     when
//	Healthy     healthy     Suspect     it exceeds Doubt
//	Suspect     doubtful    Healthy     share under Clear, or fewer than MinFailing fail (hysteresis: Clear < Doubt)
//	Suspect     doubtful    Out         it exceeds Leave for Confirm, and the guard allows it
//	Out         out         Recovering  nothing failed for Quiet, the wait is over, and the coordinator's own draw has passed
//	Recovering  returning   Out         MinFailing of its data nodes fail again; the next wait is twice the last, up to MaxWait
//	Recovering  returning   Healthy     Ramp has passed since recovery began
//
// No new part goes to a zone that is out (Usable). The data nodes of a recovering zone are warming up since recovery
// began (WarmingSince): the module paces them by slow start, whose limit it divides among all coordinators, so that the
// fleet's sum stays within what a data node that warms up bears however many coordinators there are. The start of a
// recovery is drawn per coordinator within Spread from the seed, so that coordinators do not start in step. The count of
// failed recoveries is forgotten after MaxWait in Healthy.
//
// # The guard
//
// A zone does not go out where the data nodes that remain outside zones that are out would be under the share Keep of all;
// it stays suspect, and per-node handling goes on there. So a site of one zone never loses it. Where every zone is
// suspect at once, no state is believed: all zones are usable (panic mode) until one is no longer suspect. A zone drained
// by hand is out whatever the guard says, and recovers at the same pace when undrained.
//
// Memory is bounded by the data nodes that are listed or were seen within Window, and by the zones they name.
package zones

import "time"

// State is the state of a zone at one coordinator.
type State uint8

// The states of a zone.
const (
	Healthy    State = iota
	Suspect          // more of it fails than elsewhere
	Out              // no new part goes there
	Recovering       // its data nodes warm up
)

// String is the word that logs and the command line print, which alerts match on.
func (s State) String() string { return [...]string{"healthy", "doubtful", "out", "returning"}[s] }

// Evidence is what was seen of one data node.
type Evidence uint8

// The kinds of evidence. Good clears a data node; each other kind makes it failing for Window.
const (
	Good       Evidence = iota // an answer, also one that tells an error
	Refused                    // a connection refused or reset
	TimedOut                   // a part got no answer in its time
	Removed                    // the list no longer names it, or says that it drains
	Drained                    // reserved: a draining data node comes as Removed
	PeerReport                 // another coordinator saw it fail
)

// Status describes one zone, for the module's inputs, the log and the command line.
type Status struct {
	Zone             string
	State            State
	Since            time.Time // when it took this state
	Nodes            int       // data nodes known
	Failing          int       // of these
	Share            float64   // of failing data nodes
	Others           float64   // share of failing data nodes in all other zones
	FailedRecoveries int       // recoveries that failed in a row
	Return           time.Time // drawn start of the next recovery; zero where none is drawn
	Drained          bool      // by hand
	Panic            bool      // every zone is suspect: no state is believed
	Reason           string    // of the state
	Returned         float64   // of a recovering zone: the share of the ramp that has passed
}

// Change is one change of a zone's state.
type Change struct {
	Zone     string
	From, To State
	Reason   string
}
