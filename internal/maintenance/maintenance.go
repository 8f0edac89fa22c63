// Package maintenance decides which machine goes out for work next, and when the plan stops. It owns the requests of operators,
// the steps of each machine, and what has to hold for each move. It must never look at a clock, do I/O, hand a machine over
// that a coordinator may still send to, or take one out that a limit keeps.
//
// A machine's step, and what each move needs:
//
//	waiting   -> draining   it was called, each coordinator has seen that, and the limits still hold with the machine out
//	draining  -> drained    each coordinator has said that it has nothing out there and sends nothing, or is away: see below
//	draining  -> waiting    paused, or the limits no longer hold: nothing was handed over yet, so it is taken back
//	drained   -> out        the limits hold: it is handed over, and the hook is called
//	drained   -> waiting    as above
//	out       -> returning  an operator or the hook said that it is done, or it is listed with a later start
//	out       -> failed     it was out for longer than the request says
//	returning -> warm       it is sound: it serves, and has had since its return what a cold data node needs to be warm
//	returning -> failed     it does not serve in its time
//	failed    -> returning  an operator said that it is done
//	warm      -> done       the hook was called
//	waiting, draining, drained -> abandoned   an operator gave the request up; who is out comes back first
//
// Coordinators send to a machine that is waiting, returning, warm, done or abandoned, and to no other.
//
// A waiting machine is called before it is drained: where the request is open, no hour is barred, no user's query was turned
// away for want of room just now, and the limits hold with it and all else that is called out. From then on a coordinator may send to it only while it holds its presence, a lease that the
// store grants (internal/lease). The coordinator's own count of that ends before the store's does, by the longest time of an
// attempt, so once the store holds the presence for over, nothing of one that has seen the call is out at the machine. One that
// has not seen it is waited for, since it does not know which machine that is. Who is cut off from the store, or all should the
// store lose its quorum, do without the machines that are called, and the limits hold for these together.
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

// Excluded tells that nothing may be sent to a machine in this state.
func (s StepState) Excluded() bool { return s == Draining || s == Drained || s == Out || s == Failed }

// missing tells that a machine is out, or may be without further notice: the limits count it so.
func (s *Step) missing() bool { return s.State.inWork() || s.State == Waiting && s.Call > 0 }

// ended tells that a step goes no further by itself.
func (s StepState) ended() bool { return s == Done || s == Abandoned }

// inWork tells that a machine counts as missing.
func (s StepState) inWork() bool { return s != Waiting && !s.ended() }

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
	Call    uint64 `json:",omitempty"` // number of its call; 0 before, and once it was taken back
	Turn    uint64 `json:",omitempty"` // counts drains, so that what was said of an earlier one is not taken for this
	Addr    string `json:",omitempty"` // where it listened as it was drained
	Started int64  `json:",omitempty"` // of its process then
	As      string `json:",omitempty"` // the id under which it came back, if another
	Wave    int
}

// Request is what an operator asked for, and how far it is.
type Request struct {
	ID        uint64
	By        string
	Takes     time.Duration // longest that a machine is out
	Back      time.Duration // longest until it serves again
	NotBefore int64         `json:",omitempty"` // Unix seconds
	DoneBy    int64         `json:",omitempty"`
	AtOnce    int           `json:",omitempty"` // machines of it in work at once; 0: as many as the limits let
	Barred    []Hours       `json:",omitempty"`
	GoOn      bool          `json:",omitempty"` // without a machine that failed
	ByHand    bool          `json:",omitempty"` // a later start does not say that the work is done
	State     ReqState
	Why       string `json:",omitempty"` // why it does not move
	Bound     int    // least number of waves
	Waves     int
	Steps     []*Step // in the order in which they go
}

// Audit is who asked what, and when by the clock of who took it in.
type Audit struct {
	At   int64 // Unix seconds
	Who  string
	What string
}

const (
	maxOpenRequests  = 32     // requests that are not over
	maxEndedRequests = 32     // requests kept once they are
	maxAuditEntries  = 256    // lines of who asked what
	maxRecentMoves   = 256    // moves that are kept for who looks on
	maxSteps         = 10_000 // machines of a request
)

// State is all requests; a value of the replicated store. It is not safe for concurrent use.
type State struct {
	Next     uint64 // id of the latest request
	Calls    uint64 // calls ever made; who has seen one has seen all before
	Turn     uint64
	Requests []*Request
	Audit    []Audit
	Moved    uint64  // moves ever made
	Recent   []Moved // the latest of them
}

// Moved is a move that was made, the N-th of all.
type Moved struct {
	N       uint64
	Request uint64
	Machine string
	To      StepState
	Why     string `json:",omitempty"`
}

// Seen is what a coordinator says that it has seen, once it has applied this state.
func (s *State) Seen() uint64 { return s.Calls }

// Request finds one; nil for none.
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

// find is the open step of a machine.
func (s *State) openStep(machine string) (*Request, *Step) {
	for _, r := range s.Requests {
		if st := r.step(machine); st != nil && !st.State.ended() && !(r.ended() && st.State == Waiting) {
			return r, st
		}
	}
	return nil, nil
}
