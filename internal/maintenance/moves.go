package maintenance

import (
	"errors"
	"fmt"
	"slices"
)

// Move is a state transition of one machine.
type Move struct {
	Request uint64
	Machine string
	To      StepState
	Why     string
	Addr    string   // for Draining: address of the machine
	Started int64    // for Draining: start of its process in Unix milliseconds
	As      string   // for Returning: its new id, if different
	Lapsed  []string // for Drained: coordinators whose presence must have expired when the move is applied
}

// ErrMove is returned for a move that the machine's state does not permit.
var ErrMove = errors.New("maintenance move not permitted")

// Apply applies a move. The error wraps ErrMove.
func (s *State) Apply(m Move) error {
	r := s.Request(m.Request)
	if r == nil {
		return fmt.Errorf("%w: request %d does not exist", ErrMove, m.Request)
	}
	st := r.step(m.Machine)
	if st == nil || !slices.Contains(transitions[st.State], m.To) {
		return fmt.Errorf("%w: machine %s of request %d to %s", ErrMove, m.Machine, m.Request, m.To)
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

// setState changes a step's state and records the move.
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
