// Package maintenance decides which machine goes out for work next, and when the plan stops: the requests of operators, the steps of
// each machine, and what has to hold for each move. It looks at no clock and does no I/O.
//
// A machine's step, and what each move needs:
//
//	waiting   -> draining   it was called, each coordinator has seen that, and the limits still hold with the machine out
//	draining  -> drained    each coordinator has said that it has no attempt there and sends none, or is absent: see below
//	draining  -> waiting    paused, or the limits no longer hold: it was not handed over yet, so it is taken back
//	drained   -> out        the limits hold: it is handed over, and the hook is called
//	drained   -> waiting    as above
//	out       -> returning  an operator or the hook said that the work is done, or it is listed with a later start
//	out       -> failed     it was out for longer than the request says
//	returning -> warm       it is healthy: it serves, and has warmed up since its return
//	returning -> failed     it does not serve in its time
//	failed    -> returning  an operator said that the work is done
//	warm      -> done       the hook was called
//	waiting, draining, drained -> abandoned   an operator abandoned the request; machines that are out come back first
//
// Coordinators send to a machine that is waiting, returning, warm, done or abandoned, and to no other.
//
// A waiting machine is called before it is drained: where the request is open, the hour is not excluded, no query was rejected for
// overload just now, and the limits hold with it and all others that are out or called. From then on a coordinator may send to it
// only while it holds its presence, a lease that the store grants (internal/lease). The coordinator's own count of that ends before
// the store's does, by the longest time of an attempt. So once the presence has expired in the store, no attempt of a coordinator
// that has seen the call is in flight at the machine: it can be handed over without an answer of a coordinator that is cut off. A
// coordinator that has not seen the call is waited for, since it does not know which machine that is. One that is cut off from the
// store, or all should the store lose its quorum, do without the machines that are called, and the limits hold for these together.
package maintenance

import (
	"fmt"
	"slices"
	"time"
)

// StepState is where a machine is in its request.
type StepState uint8

// The states of a step, in their order.
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

// MarshalText writes the state as a word.
func (s StepState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the word.
func (s *StepState) UnmarshalText(text []byte) error {
	i := slices.Index(stepNames[:], string(text))
	if i < 0 {
		return fmt.Errorf("step %q is not known", text)
	}
	*s = StepState(i)
	return nil
}

// Excluded tells whether nothing may be sent to a machine in this state.
func (s StepState) Excluded() bool { return s == Draining || s == Drained || s == Out || s == Failed }

// missing tells whether the limits count a machine as out: it is in work, or was called for it.
func (s *Step) missing() bool { return s.State.inWork() || s.State == Waiting && s.Call > 0 }

// ended tells whether a step is at its end.
func (s StepState) ended() bool { return s == Done || s == Abandoned }

// inWork tells whether a machine is on its way out, out, or on its way back.
func (s StepState) inWork() bool { return s != Waiting && !s.ended() }

// transitions are the moves that a state permits.
var transitions = map[StepState][]StepState{
	Waiting: {Draining, Abandoned}, Draining: {Drained, Waiting, Abandoned}, Drained: {Out, Waiting, Abandoned}, Out: {Returning, Failed},
	Returning: {Warm, Failed}, Failed: {Returning}, Warm: {Done},
}

// ReqState is where a request is.
type ReqState string

// The states of a request.
const (
	Open     ReqState = "open"
	Paused   ReqState = "paused"  // by an operator
	Stopped  ReqState = "stopped" // a machine failed, and the request does not go on without it
	GivenUp  ReqState = "abandoned"
	Finished ReqState = "done"
)

// Step is one machine of a request.
type Step struct {
	Machine string
	State   StepState
	Call    uint64 `json:",omitempty"` // number of its call; 0 before it, and after it was taken back
	Turn    uint64 `json:",omitempty"` // number of its drain, so that what was said of an earlier one does not count for this one
	Addr    string `json:",omitempty"` // when it was drained
	Started int64  `json:",omitempty"` // of its process, when it was drained
	As      string `json:",omitempty"` // the id under which it came back, if another
	Wave    int
}

// Request is an operator's request, and its progress.
type Request struct {
	ID        uint64
	By        string
	Takes     time.Duration // the longest that a machine is out
	Back      time.Duration // the longest until it serves after its return
	NotBefore int64         `json:",omitempty"` // Unix seconds
	DoneBy    int64         `json:",omitempty"`
	AtOnce    int           `json:",omitempty"` // machines of it in work at once; 0 for as many as the limits permit
	Barred    []Hours       `json:",omitempty"`
	GoOn      bool          `json:",omitempty"` // do not stop when a machine fails
	ByHand    bool          `json:",omitempty"` // only an operator says that the work is done, a later start does not
	State     ReqState
	Why       string `json:",omitempty"` // why it does not move
	Bound     int    // least number of waves
	Waves     int
	Steps     []*Step // in the order in which they go
}

// Audit is a line of the audit trail: who asked for what, and when by the clock of the coordinator that was asked.
type Audit struct {
	At   int64 // Unix seconds
	Who  string
	What string
}

const (
	maxOpenRequests  = 32
	maxEndedRequests = 32 // that are still shown
	maxAuditEntries  = 256
	maxRecentMoves   = 256    // that coordinators log; up to twice as many are stored
	maxSteps         = 10_000 // machines of a request
)

// State is the plan: all requests, as the replicated store has them. Its JSON keys are stored. It is not safe for concurrent use.
type State struct {
	Next     uint64 // id of the latest request
	Calls    uint64 // calls ever made; a coordinator that has seen one has seen all before it
	Turn     uint64
	Requests []*Request
	Audit    []Audit
	Moved    uint64  // number of moves ever made
	Recent   []Moved // the latest moves
}

// Moved is a move that was made, the N-th of all.
type Moved struct {
	N       uint64
	Request uint64
	Machine string
	To      StepState
	Why     string `json:",omitempty"`
}

// Seen returns the number of the last call, which a coordinator acknowledges once it has applied this state.
func (s *State) Seen() uint64 { return s.Calls }

// Request returns the request with an id; nil for none.
func (s *State) Request(id uint64) *Request {
	for _, r := range s.Requests {
		if r.ID == id {
			return r
		}
	}
	return nil
}

func (r *Request) ended() bool { return r.State == GivenUp || r.State == Finished }

func (r *Request) step(machine string) *Step {
	for _, s := range r.Steps {
		if s.Machine == machine {
			return s
		}
	}
	return nil
}

// openStep returns the step of a machine that has not ended, and its request; nil for none.
func (s *State) openStep(machine string) (*Request, *Step) {
	for _, r := range s.Requests {
		if st := r.step(machine); st != nil && !st.State.ended() && (!r.ended() || st.State != Waiting) {
			return r, st
		}
	}
	return nil, nil
}
