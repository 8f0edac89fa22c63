// Package zones decides, for one coordinator, whether a whole zone of data nodes has failed, and how fast load returns to
// it after it answers again. It does no I/O, reads no clock, starts no goroutine and logs nothing: the caller passes in the
// time and the evidence, and gets back state changes with their reasons. The same calls in the same order, with the same
// seed, give the same results.
//
// # States
//
// Names such as Window and Leave are fields of Config. A data node is failing if its latest evidence is bad (a refused or
// reset connection, a timeout, a missing answer, removal from the list, draining, a report from another coordinator) and
// less than Window old. A zone's share is the fraction of its data nodes that are failing; the others' share is that
// fraction over all other zones together. A zone exceeds a threshold if at least MinFailing of its data nodes are failing,
// its share is at least the threshold, and the share is at least Margin above the others' share: failures that hit all
// zones alike are attributed to none.
//
//	state       printed as  becomes     when
//	Healthy     healthy     Suspect     it exceeds Config.Doubt, and panic mode is off
//	Suspect     doubtful    Healthy     share below Config.Clear (hysteresis: less than Doubt), fewer than MinFailing failing, or panic mode
//	Suspect     doubtful    Out         it has exceeded Config.Leave for Config.Confirm, and the guard allows it
//	Out         out         Recovering  its wait is over and failures have stopped; see below
//	Recovering  returning   Out         MinFailing of its data nodes fail again, and the guard allows it
//	Recovering  returning   Suspect     MinFailing of its data nodes fail again, and the guard does not allow it
//	Recovering  returning   Healthy     Config.Ramp has passed since the recovery began
//
// A zone that is out begins to recover once it has been out for its wait, no failure was seen for Config.Quiet, and this
// coordinator's random delay has passed. The wait is Config.Wait, doubled with each failed recovery up to MaxWait.
//
// A zone that is out gets no new parts (Usable). The data nodes of a recovering zone count as warming up since the recovery
// began (WarmingSince): package aggregator raises their load by slow start and divides the load allowed for a warming data
// node among all coordinators, so that the total stays within what it can take, however many coordinators there are. Each
// coordinator draws the start of a recovery at random within Spread, from its seed, so that coordinators do not start
// together. The count of failed recoveries is reset after MaxWait in Healthy.
//
// # The guard
//
// A zone is not taken out if the data nodes outside zones that are out would fall below the share Keep of all data nodes; it
// stays suspect, and per-node handling continues there. A site with a single zone therefore never loses it. If every zone
// is suspect at once, no state is trusted: all zones are usable (panic mode) until one is no longer suspect. A zone drained
// by an operator is out regardless of the guard, and recovers at the same pace when undrained.
//
// Memory is bounded by the data nodes that are listed or were seen within Window, and by the zones they belong to.
package zones

import "time"

// State is the state of a zone at one coordinator.
type State uint8

// The states of a zone.
const (
	Healthy    State = iota
	Suspect          // it fails clearly more than the other zones
	Out              // it gets no new parts
	Recovering       // its data nodes are warming up
)

// String returns the word that logs and the command line print, and that alerts match.
func (s State) String() string { return [...]string{"healthy", "doubtful", "out", "returning"}[s] }

// Evidence is one kind of observation of a data node.
type Evidence uint8

// The kinds of evidence. Good clears the failure of a data node; every other kind makes it failing for Window.
const (
	Good       Evidence = iota // an answer, including an error answer
	Refused                    // a connection refused or reset
	TimedOut                   // no answer to a part within its time
	Removed                    // no longer in the list, or listed as draining
	Drained                    // reserved: a draining data node is observed as Removed
	PeerReport                 // a failure seen by another coordinator
)

// Status describes one zone, for package aggregator, the log and the command line.
type Status struct {
	Zone             string
	State            State
	Since            time.Time // start of the current state
	Nodes            int       // known data nodes
	Failing          int       // failing data nodes among them
	Share            float64   // Failing over Nodes
	OthersShare      float64   // share of failing data nodes over all other zones together
	FailedRecoveries int       // consecutive failed recoveries
	RecoveryStart    time.Time // scheduled start of the next recovery; zero if none is scheduled
	Drained          bool      // by an operator
	Panic            bool      // panic mode: every zone is suspect, and no state is trusted
	Reason           string    // why the zone took its state
	RampProgress     float64   // Recovering: the share of Ramp that has passed, up to 1
}

// Change is a change of a zone's state.
type Change struct {
	Zone     string
	From, To State
	Reason   string
}
