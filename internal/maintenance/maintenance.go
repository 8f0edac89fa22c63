// Package maintenance decides which machines are taken out for maintenance and when: it holds the operators' requests, the state of
// each machine in them, and the conditions of each state transition. It reads no clock and does no I/O.
//
// The state transitions of a machine and their conditions:
//
//	waiting   -> draining   it was announced, every coordinator has seen that, and the limits still hold with the machine out
//	draining  -> drained    every coordinator has acknowledged that it has no attempt in flight there, or is absent (see below)
//	draining  -> waiting    paused, or the limits no longer hold: it was not handed over for the work yet, so it is taken back
//	drained   -> out        the limits hold: it is handed over, and the hook runs
//	drained   -> waiting    as for draining
//	out       -> returning  an operator or the hook reported the work as done, or it is listed with a later start
//	out       -> failed     it was out for longer than the request allows
//	returning -> warm       it is healthy: it serves, and has warmed up since its return
//	returning -> failed     it does not serve within the allowed time
//	failed    -> returning  an operator reported the work as done
//	warm      -> done       the hook has run, if there is one
//	waiting, draining, drained -> abandoned   an operator abandoned the request; machines that are already out still come back
//
// Coordinators send attempts only to machines that are waiting, returning, warm, done or abandoned.
//
// A waiting machine is announced to all coordinators before it is drained; Step.Call is the number of the announcement. Machines are
// announced only while the request is open, the hour is not excluded, no query was recently rejected for overload, and the limits hold
// with this machine and all others that are out or announced. From the announcement on, a coordinator may send to the machine only
// while it holds its presence, a lease that the store grants (internal/lease). The coordinator regards its presence as expired earlier
// than the store does, by the longest time of an attempt. Once the presence has expired in the store, no attempt of a coordinator that
// has seen the announcement is in flight at the machine, so it can be handed over without an acknowledgement from a coordinator that
// is cut off. A coordinator that has not seen the announcement must be waited for, because it does not know which machine was
// announced. A coordinator that is cut off from the store does not use the announced machines, and neither does any if the store loses
// its quorum; the limits hold with all of them out.
package maintenance

import (
	"fmt"
	"slices"
	"time"
)

// StepState is the state of a machine within its request.
type StepState uint8

// The states of a step, in order of progress.
const (
	Waiting StepState = iota
	Draining
	Drained
	Out
	Returning
	Warm
	Done
	Failed
	Abandoned
)

var stepNames = [...]string{"waiting", "draining", "drained", "out", "returning", "warm", "done", "failed", "abandoned"}

func (s StepState) String() string { return stepNames[s] }

// MarshalText encodes the state as its name.
func (s StepState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes the name of a state.
func (s *StepState) UnmarshalText(text []byte) error {
	i := slices.Index(stepNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("step %q is not known", text)
	}
	*s = StepState(i)
	return nil
}

// Excluded reports whether coordinators must not send to a machine in this state.
func (s StepState) Excluded() bool { return s == Draining || s == Drained || s == Out || s == Failed }

// missing reports whether the limits count the machine as out: it is in work, or was announced.
func (s *Step) missing() bool { return s.State.inWork() || s.State == Waiting && s.Call > 0 }

// ended reports whether the state is final.
func (s StepState) ended() bool { return s == Done || s == Abandoned }

// inWork reports whether a machine is on its way out, out, on its way back, or failed.
func (s StepState) inWork() bool { return s != Waiting && !s.ended() }

// transitions lists the states that may follow each state.
var transitions = map[StepState][]StepState{
	Waiting: {Draining, Abandoned}, Draining: {Drained, Waiting, Abandoned}, Drained: {Out, Waiting, Abandoned}, Out: {Returning, Failed},
	Returning: {Warm, Failed}, Failed: {Returning}, Warm: {Done},
}

// RequestState is the state of a request.
type RequestState string

// The states of a request.
const (
	Open             RequestState = "open"
	Paused           RequestState = "paused"  // by an operator
	Stopped          RequestState = "stopped" // a machine failed, and GoOn is not set
	RequestAbandoned RequestState = "abandoned"
	Finished         RequestState = "done"
)

// Step is the progress of one machine of a request.
type Step struct {
	Machine string
	State   StepState
	Call    uint64 `json:",omitempty"` // number of its announcement; 0 before that, and after it was taken back
	Turn    uint64 `json:",omitempty"` // number of its drain, so that acknowledgements of an earlier drain do not count
	Addr    string `json:",omitempty"` // address when its drain began
	Started int64  `json:",omitempty"` // start of its process in Unix milliseconds, when its drain began
	As      string `json:",omitempty"` // id under which it came back, if different
	Wave    int
}

// Request is an operator's request for maintenance, and its progress.
type Request struct {
	ID        uint64
	By        string
	Takes     time.Duration // longest time that a machine may be out
	Back      time.Duration // longest time from its return until it serves
	NotBefore int64         `json:",omitempty"` // Unix seconds
	DoneBy    int64         `json:",omitempty"` // Unix seconds
	AtOnce    int           `json:",omitempty"` // its machines in work at the same time; 0 for as many as the limits permit
	Barred    []DailyRange  `json:",omitempty"` // hours in which no machine is taken out
	GoOn      bool          `json:",omitempty"` // continue when a machine fails
	ByHand    bool          `json:",omitempty"` // the work must be reported as done; a later start of the process does not count
	State     RequestState
	Why       string `json:",omitempty"` // why it makes no progress
	Bound     int    // lower bound on the number of waves
	Waves     int
	Steps     []*Step // in planned order
}

// Audit is an entry of the audit trail: who requested what, and when by the clock of the coordinator that received it.
type Audit struct {
	At   int64 // Unix seconds
	Who  string
	What string
}

const (
	maxOpenRequests  = 32
	maxEndedRequests = 32 // ended requests that are kept
	maxAuditEntries  = 256
	maxRecentMoves   = 256    // latest moves, kept for coordinators to log; up to twice as many are stored
	maxSteps         = 10_000 // machines in a request
)

// State is the maintenance plan with all requests, as kept in the replicated store. Its JSON keys are a stored format. It is not
// safe for concurrent use.
type State struct {
	Next     uint64 // id of the latest request
	Calls    uint64 // number of announcements ever made; a coordinator that has seen one has seen all earlier ones
	Turn     uint64 // number of drains ever begun
	Requests []*Request
	Audit    []Audit
	Moved    uint64  // number of moves ever made
	Recent   []Moved // the latest moves
}

// Moved is a recorded move; N numbers all moves from 1.
type Moved struct {
	N       uint64
	Request uint64
	Machine string
	To      StepState
	Why     string `json:",omitempty"`
}

// Seen returns the number of the latest announcement, which a coordinator acknowledges once it has applied this state.
func (s *State) Seen() uint64 { return s.Calls }

// Request returns the request with the given id, or nil if there is none.
func (s *State) Request(id uint64) *Request {
	for _, r := range s.Requests {
		if r.ID == id {
			return r
		}
	}
	return nil
}

func (r *Request) ended() bool { return r.State == RequestAbandoned || r.State == Finished }

func (r *Request) step(machine string) *Step {
	for _, s := range r.Steps {
		if s.Machine == machine {
			return s
		}
	}
	return nil
}

// openStep returns the unfinished step of a machine and its request, or nil if there is none.
func (s *State) openStep(machine string) (*Request, *Step) {
	for _, r := range s.Requests {
		if st := r.step(machine); st != nil && !st.State.ended() && (!r.ended() || st.State != Waiting) {
			return r, st
		}
	}
	return nil, nil
}
