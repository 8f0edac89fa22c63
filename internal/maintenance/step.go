package maintenance

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Duty is the name of the duty whose holder makes the moves.
const Duty = "maintenance"

// Coordinator is what a coordinator that takes part has written in the store.
type Coordinator struct {
	Name   string
	Seen   uint64            // State.Seen of the plan that it had applied while it was present
	Clear  map[string]uint64 // machines at which none of its attempts is in flight, by the turn of their drain
	Absent bool              // its presence has probably expired; the store decides when the move is applied
}

// View is what the holder of the duty sees.
type View struct {
	Now          time.Duration // monotonic
	Wall         time.Time     // for hours and dates only
	Fleet        *Fleet
	Limits       Limits
	WarmupTime   time.Duration // of a data node after its start
	Coordinators []Coordinator
	Overloaded   bool              // queries were rejected for overload just now: no further machine goes
	HookDone     map[string]uint64 // machines for which the hook for done was called, by their turn; nil without a hook
}

// Timer measures how long the holder of the duty has seen steps in their state, by its own clock. A new holder begins anew, so a
// machine may be out for longer than its request says, by as long as the holder before had seen it out.
type Timer struct {
	since         map[string]stateSince    // by machine
	reasonWritten map[uint64]time.Duration // by request
}

// stateSince is when a step was first seen in a state.
type stateSince struct {
	turn  uint64
	state StepState
	at    time.Duration
}

// reasonInterval is the least time between two writes of the reason why a request does not move.
const reasonInterval = time.Second

// observe notes the state of each step in work.
func (t *Timer) observe(now time.Duration, s *State) {
	seen := map[string]stateSince{}
	for _, r := range s.Requests {
		for _, st := range r.Steps {
			if !st.State.inWork() {
				continue
			}
			m := stateSince{st.Turn, st.State, now}
			if old, ok := t.since[st.Machine]; ok && old.turn == m.turn && old.state == m.state {
				m = old
			}
			seen[st.Machine] = m
		}
	}
	t.since = seen
	if t.reasonWritten == nil {
		t.reasonWritten = map[uint64]time.Duration{}
	}
}

// timeInState returns how long a machine has been seen in its state.
func (t *Timer) timeInState(now time.Duration, machine string) time.Duration {
	return now - t.since[machine].at
}

// stepper makes the moves of one look at the fleet. Its set of machines that are out has those of earlier moves, so that two
// machines never go on the same free capacity.
type stepper struct {
	state  *State
	view   *View
	timer  *Timer
	out    *outSet
	moves  []Move
	called bool // machines were called, or called no longer
}

// Step decides the next moves and makes them in the state. changed tells whether the state is to be written. The moves count only
// if the store holds the presence of the coordinators in their Lapsed for expired when they are applied.
func (s *State) Step(v *View, t *Timer) (moves []Move, changed bool) {
	t.observe(v.Now, s)
	p := &stepper{state: s, view: v, timer: t, out: s.machinesOut(v)}
	for _, r := range s.Requests {
		for _, st := range r.Steps {
			p.advanceReturning(r, st)
		}
	}
	reasons := map[uint64]string{}
	for _, r := range s.Requests {
		reasons[r.ID] = p.advanceOutgoing(r)
	}
	changed = p.called || len(p.moves) > 0
	if p.writeReasons(reasons) {
		changed = true
	}
	return p.moves, changed
}

// machinesOut is the set of machines that count as missing.
func (s *State) machinesOut(v *View) *outSet {
	out := v.Fleet.newOutSet(v.Limits)
	for _, r := range s.Requests {
		for _, st := range r.Steps {
			if m := v.Fleet.Machine(st.Machine); m != nil && st.missing() {
				out.add(m)
			}
		}
	}
	return out
}

// move makes a move, if the step permits it.
func (p *stepper) move(r *Request, m Move) {
	m.Request = r.ID
	if p.state.Apply(m) == nil {
		p.moves = append(p.moves, m)
	}
}

// writeReasons notes why open requests do not move, each at most once in reasonInterval.
func (p *stepper) writeReasons(reasons map[uint64]string) (changed bool) {
	for _, r := range p.state.Requests {
		if r.State != Open || r.Why == reasons[r.ID] {
			continue
		}
		if at, ok := p.timer.reasonWritten[r.ID]; ok && p.view.Now-at < reasonInterval {
			continue
		}
		p.timer.reasonWritten[r.ID] = p.view.Now
		r.Why, changed = reasons[r.ID], true
	}
	return changed
}

// advanceReturning makes the move of a machine that is out or comes back.
func (p *stepper) advanceReturning(r *Request, st *Step) {
	id := st.Machine
	if st.As != "" {
		id = st.As
	}
	m := p.view.Fleet.Machine(id)
	inState := p.timer.timeInState(p.view.Now, st.Machine)
	switch st.State {
	case Out:
		if as, ok := p.restartedAs(r, st); ok {
			p.move(r, Move{Machine: st.Machine, To: Returning, Why: "it is listed with a later start", As: as})
		} else if inState > r.Takes {
			p.move(r, Move{Machine: st.Machine, To: Failed, Why: fmt.Sprintf("it was out for longer than %v", r.Takes)})
		}
	case Returning:
		switch {
		case m != nil && m.Healthy: // so it has warmed up
			p.move(r, Move{Machine: st.Machine, To: Warm, Why: "it serves and has had its time to warm up"})
		case inState > r.Back+p.view.WarmupTime:
			p.move(r, Move{Machine: st.Machine, To: Failed, Why: fmt.Sprintf("it does not serve %v after its return", inState.Round(time.Second))})
		}
	case Warm:
		if p.view.HookDone != nil && p.view.HookDone[st.Machine] != st.Turn {
			return
		}
		p.move(r, Move{Machine: st.Machine, To: Done})
		if own := p.view.Fleet.Machine(st.Machine); own != nil {
			p.out.remove(own)
		}
	}
}

// restartedAs tells whether a machine that is out is listed as a new process: under its id with a later start, for which as is
// empty, or at its address under an id that has no step of its own.
func (p *stepper) restartedAs(r *Request, st *Step) (as string, ok bool) {
	if r.ByHand || st.Started == 0 {
		return "", false
	}
	for i := range p.view.Fleet.Machines {
		m := &p.view.Fleet.Machines[i]
		if !m.Serving || m.Started <= st.Started {
			continue
		}
		if m.ID == st.Machine {
			return "", true
		}
		if m.Addr == st.Addr && st.Addr != "" {
			if _, other := p.state.openStep(m.ID); other == nil {
				return m.ID, true
			}
		}
	}
	return "", false
}

// advanceOutgoing makes the moves of a request's machines towards work, and returns why it does not move.
func (p *stepper) advanceOutgoing(r *Request) (reason string) {
	halt := haltReason(r, p.view.Wall)
	reason = p.takeBack(r, halt)
	inWork, waits := p.advanceCalled(r)
	if waits != "" {
		reason = waits
	}
	if halt != "" {
		return halt
	}
	if blocked := p.callMachines(r, inWork); reason == "" {
		reason = blocked
	}
	return reason
}

// haltReason returns why a request may take no machine out now; empty where it may.
func haltReason(r *Request, wall time.Time) string {
	switch {
	case r.State != Open:
		return "the request is " + string(r.State)
	case wall.Unix() < r.NotBefore:
		return "not before " + time.Unix(r.NotBefore, 0).UTC().Format(time.RFC3339)
	case inHours(r.Barred, wall):
		return "these hours are barred"
	}
	return ""
}

// takeBack takes machines back that may not go on, because the request halts or the limits no longer hold: first the ones that were
// only called, then those that drain, and of these the last in the order. It returns the last reason.
func (p *stepper) takeBack(r *Request, halt string) (reason string) {
	for _, state := range []StepState{Waiting, Draining, Drained} {
		for _, st := range slices.Backward(r.Steps) {
			if st.State != state || !st.missing() {
				continue
			}
			why := p.recheck(st, halt)
			if why == "" {
				continue
			}
			reason = why
			if state == Waiting {
				st.Call, p.called = 0, true
			} else {
				p.move(r, Move{Machine: st.Machine, To: Waiting, Why: "taken back: " + why})
			}
		}
	}
	return reason
}

// recheck returns why a machine that counts as missing may not go on: halt, else the limit that it would break if it went now. Then
// it counts no longer.
func (p *stepper) recheck(st *Step, halt string) (why string) {
	m := p.view.Fleet.Machine(st.Machine)
	if m == nil {
		return halt
	}
	p.out.remove(m)
	if halt != "" {
		return halt
	}
	if why = p.out.violation(m); why == "" {
		p.out.add(m)
	}
	return why
}

// advanceCalled moves on machines that were called. It returns how many of the request are in work, and whom a machine waits for.
func (p *stepper) advanceCalled(r *Request) (inWork int, waits string) {
	for _, st := range r.Steps {
		if st.missing() && st.State != Failed {
			inWork++
		}
		switch {
		case st.State == Waiting && st.Call > 0:
			m := p.view.Fleet.Machine(st.Machine)
			if names := unseenBy(p.view, st); names != "" {
				waits = fmt.Sprintf("%s: not seen yet by %s; one that is gone for good is to be forgotten", st.Machine, names)
			} else if m != nil {
				p.move(r, Move{Machine: st.Machine, To: Draining, Addr: m.Addr, Started: m.Started})
			}
		case st.State == Draining:
			waitsFor, lapsed := waitsForDrain(p.view, st)
			if waitsFor != "" {
				waits = waitsFor
				continue
			}
			// It is handed over at the next look, by what is known then.
			p.move(r, Move{Machine: st.Machine, To: Drained, Why: "nothing is out there", Lapsed: lapsed})
		case st.State == Drained:
			p.move(r, Move{Machine: st.Machine, To: Out})
		}
	}
	return inWork, waits
}

// callMachines calls the next machines that the limits permit, and returns why the first of the others is not called.
func (p *stepper) callMachines(r *Request, inWork int) (blocked string) {
	for _, st := range r.Steps {
		if st.State != Waiting || st.Call > 0 {
			continue
		}
		if r.AtOnce > 0 && inWork >= r.AtOnce {
			break
		}
		m := p.view.Fleet.Machine(st.Machine)
		if why := p.callBlocked(m); why != "" {
			if blocked == "" {
				blocked = st.Machine + ": " + why
			}
			continue
		}
		p.state.Calls++
		st.Call, p.called = p.state.Calls, true
		p.out.add(m)
		inWork++
	}
	return blocked
}

// callBlocked returns why a machine can't be called now; empty where it can. m is nil for one that is not listed.
func (p *stepper) callBlocked(m *Machine) string {
	switch {
	case p.view.Overloaded:
		return "users' queries were turned away for want of room just now, and go first"
	case m == nil:
		return "it is not listed"
	}
	return p.out.violation(m)
}

// unseenBy lists the coordinators that have not seen a machine's call.
func unseenBy(v *View, st *Step) string {
	var names []string
	for _, c := range v.Coordinators {
		if c.Seen < st.Call {
			names = append(names, c.Name)
		}
	}
	return strings.Join(names, ", ")
}

// waitsForDrain returns the coordinator that a drain waits for; empty for none, with the coordinators whose presence must have
// expired for the drain to be complete.
func waitsForDrain(v *View, st *Step) (waits string, lapsed []string) {
	for _, c := range v.Coordinators {
		switch {
		case c.Clear[st.Machine] == st.Turn:
		case c.Absent && c.Seen >= st.Call:
			lapsed = append(lapsed, c.Name)
		default:
			return fmt.Sprintf("%s: %s has not said that nothing is out there", st.Machine, c.Name), nil
		}
	}
	slices.Sort(lapsed)
	return "", lapsed
}
