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
	"errors"
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

// Say notes who asked what.
func (s *State) RecordAudit(wall time.Time, who, what string) {
	s.Audit = append(s.Audit, Audit{wall.Unix(), who, what})
	s.Audit = s.Audit[max(0, len(s.Audit)-maxAuditEntries):]
}

// Impossible is what can't be done, with the limit that forbids it.
type Impossible struct{ Refused []Refusal }

func (i Impossible) Error() string {
	text := "can't be done"
	for n, r := range i.Refused {
		if n == 10 {
			return fmt.Sprintf("%s; and %d machines more", text, len(i.Refused)-n)
		}
		text += fmt.Sprintf("; %s: %s", r.Machine, r.Why)
	}
	return text
}

// Start takes in a request for machines, in an order that holds the limits. The error is an Impossible where machines can't
// go; without them the others may be asked for.
func (s *State) Start(wall time.Time, r Request, machines []string, f *Fleet, l Limits, warm time.Duration) (*Request, Plan, error) {
	if len(machines) == 0 || len(machines) > maxSteps {
		return nil, Plan{}, fmt.Errorf("%d machines; a request names 1 to %d", len(machines), maxSteps)
	}
	if r.Takes <= 0 || r.Back <= 0 || r.AtOnce < 0 {
		return nil, Plan{}, fmt.Errorf("takes %v, back %v, at once %d: the times are above 0, the number is not below it", r.Takes, r.Back, r.AtOnce)
	}
	open := 0
	for _, o := range s.Requests {
		if !o.ended() {
			open++
		}
	}
	if open >= maxOpenRequests {
		return nil, Plan{}, fmt.Errorf("%d requests are open, as many as there may be; wait for one, or abandon it", open)
	}
	for _, m := range machines {
		if o, _ := s.openStep(m); o != nil {
			return nil, Plan{}, fmt.Errorf("machine %s is in request %d by %s already", m, o.ID, o.By)
		}
	}
	if r.AtOnce > 0 && (l.AtOnce == 0 || r.AtOnce < l.AtOnce) {
		l.AtOnce = r.AtOnce
	}
	p := f.Plan(machines, l, s.Next+1)
	if len(p.Refused) > 0 {
		return nil, p, Impossible{p.Refused}
	}
	if r.DoneBy > 0 {
		begin := max(wall.Unix(), r.NotBefore)
		if end := begin + int64(time.Duration(len(p.Waves))*(r.Takes+warm)/time.Second); end > r.DoneBy {
			return nil, p, fmt.Errorf("it would be done by %s, %d waves of %v and %v to warm up; later than %s", time.Unix(end, 0).UTC().Format(time.RFC3339),
				len(p.Waves), r.Takes, warm, time.Unix(r.DoneBy, 0).UTC().Format(time.RFC3339))
		}
	}
	s.Next++
	r.ID, r.State, r.Bound, r.Waves, r.Steps = s.Next, Open, p.Bound, len(p.Waves), nil
	for i, w := range p.Waves {
		for _, m := range w {
			r.Steps = append(r.Steps, &Step{Machine: m, Wave: i})
		}
	}
	s.Requests = append(s.Requests, &r)
	s.trimRequests()
	return &r, p, nil
}

// trim lets go of the oldest requests that are over.
func (s *State) trimRequests() {
	over := 0
	for _, r := range s.Requests {
		if r.ended() {
			over++
		}
	}
	s.Requests = slices.DeleteFunc(s.Requests, func(r *Request) bool {
		if over > maxEndedRequests && r.ended() && !slices.ContainsFunc(r.Steps, func(st *Step) bool { return st.State.inWork() }) {
			over--
			return true
		}
		return false
	})
}

// The operators' words on a request.
const (
	Pause   = "pause"
	Resume  = "resume"
	Abandon = "abandon"
)

// Order is an operator's word on a whole request.
func (s *State) Order(word string, id uint64) error {
	r := s.Request(id)
	switch {
	case r == nil:
		return fmt.Errorf("there is no request %d", id)
	case r.ended():
		return fmt.Errorf("request %d is %s", id, r.State)
	case word == Pause && r.State == Open:
		r.State, r.Why = Paused, "by an operator's word"
	case word == Resume && r.State != Open:
		r.State, r.Why = Open, ""
	case word == Abandon:
		r.State, r.Why = GivenUp, "by an operator's word"
		for _, st := range r.Steps {
			if st.State <= Drained {
				s.setState(r, st, Abandoned, r.Why)
			}
		}
	default:
		return fmt.Errorf("request %d is %s; %s changes nothing", id, r.State, word)
	}
	return nil
}

// WorkDone is an operator's or the hook's word that the work on a machine is done, and under which id it comes back if not its own.
func (s *State) WorkDone(machine, as string) error {
	r, st := s.openStep(machine)
	switch {
	case st == nil:
		return fmt.Errorf("machine %s is not in work", machine)
	case st.State != Out && st.State != Failed:
		return fmt.Errorf("machine %s is %s in request %d; only one that is out or failed is done", machine, st.State, r.ID)
	}
	s.setState(r, st, Returning, "it was said that the work is done")
	if as != machine {
		st.As = as
	}
	if r.State == Stopped {
		r.State, r.Why = Open, ""
	}
	return nil
}

// Move is one machine's change of state.
type Move struct {
	Request uint64
	Machine string
	To      StepState
	Why     string
	Addr    string // Draining: where it listens, and the start of its process
	Started int64
	As      string   // Returning: the id that was seen at its address
	Lapsed  []string // Drained: coordinators whose presence has to be over as the move is taken
}

// ErrMove is a move that its step does not permit.
var ErrMove = errors.New("not a move of this step")

// Apply makes a move.
func (s *State) Apply(m Move) error {
	r := s.Request(m.Request)
	if r == nil {
		return fmt.Errorf("%w: no request %d", ErrMove, m.Request)
	}
	st := r.step(m.Machine)
	if st == nil || !slices.Contains(transitions[st.State], m.To) {
		return fmt.Errorf("%w: %s of request %d to %s", ErrMove, m.Machine, m.Request, m.To)
	}
	s.setState(r, st, m.To, m.Why)
	switch m.To {
	case Draining:
		s.Turn++
		st.Turn, st.Addr, st.Started = s.Turn, m.Addr, m.Started
	case Returning:
		st.As = m.As
	case Failed:
		if !r.GoOn && !r.ended() {
			r.State, r.Why = Stopped, m.Machine+": "+m.Why
		}
	}
	if !r.ended() && !slices.ContainsFunc(r.Steps, func(st *Step) bool { return !st.State.ended() }) {
		r.State, r.Why = Finished, ""
	}
	return nil
}

// set changes a step's state and notes the move.
func (s *State) setState(r *Request, st *Step, to StepState, why string) {
	if st.State = to; to == Waiting || to.ended() {
		st.Call = 0
	}
	s.Moved++
	s.Recent = append(s.Recent, Moved{s.Moved, r.ID, st.Machine, to, why})
	if len(s.Recent) > 2*maxRecentMoves {
		s.Recent = slices.Clone(s.Recent[len(s.Recent)-maxRecentMoves:])
	}
}

// Overlay is what the coordinators make of the state: to whom nothing may be sent, who is announced, who comes back cold.
type Overlay struct {
	Excluded  map[string]bool   // by id
	Addrs     map[string]bool   // by address: a machine may come up under a new id while it is out
	Announced map[string]bool   // called: to be sent to only while present
	Returned  map[string]uint64 // returning: the turn
	Turns     map[string]uint64 // barred: the turn
}

// Overlay is read off the state.
func (s *State) Overlay() Overlay {
	o := Overlay{Excluded: map[string]bool{}, Addrs: map[string]bool{}, Announced: map[string]bool{}, Returned: map[string]uint64{}, Turns: map[string]uint64{}}
	for _, r := range s.Requests {
		for _, st := range r.Steps {
			switch {
			case st.State.Excluded():
				o.Excluded[st.Machine], o.Turns[st.Machine] = true, st.Turn
				if st.Addr != "" {
					o.Addrs[st.Addr] = true
				}
			case st.State == Returning || st.State == Warm:
				o.Returned[st.Machine] = st.Turn
				if st.As != "" {
					o.Returned[st.As] = st.Turn
				}
			}
			if st.missing() {
				o.Announced[st.Machine] = true
			}
		}
	}
	return o
}
