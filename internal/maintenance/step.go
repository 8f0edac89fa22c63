package maintenance

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Duty is the name of the duty whose holder makes the moves.
const Duty = "maintenance"

// Coordinator is the record of a participating coordinator in the store.
type Coordinator struct {
	Name   string
	Seen   uint64            // State.Seen of the latest plan that it applied while present
	Clear  map[string]uint64 // Step.Turn by machine, for excluded machines at which it has no attempt in flight
	Absent bool              // its presence has probably expired; the store checks that when the move is applied
}

// View is the input of Step, as the holder of the duty sees it.
type View struct {
	Now          time.Duration // monotonic
	Wall         time.Time     // wall clock, for hours and dates only
	Fleet        *Fleet
	Limits       Limits
	WarmupTime   time.Duration // warm-up time of a data node after its start
	Coordinators []Coordinator
	Overloaded   bool              // queries were recently rejected for overload: no further machine is announced
	HookDone     map[string]uint64 // Step.Turn by machine, for machines whose done hook has succeeded; nil without a hook
}

// Timer measures, on the clock of the duty's holder, how long steps have been in their state. A new holder starts from zero, so a
// machine may be out for longer than its request allows, by the time that the previous holder had measured.
type Timer struct {
	since         map[string]stateSince    // by machine
	reasonWritten map[uint64]time.Duration // by request
}

// stateSince records when a step was first seen in a state.
type stateSince struct {
	turn  uint64
	state StepState
	at    time.Duration
}

// reasonInterval is the minimum time between two writes of the reason why a request makes no progress.
const reasonInterval = time.Second

// observe records when each step in work was first seen in its state.
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

// stepper makes the moves of one Step. Its set of machines that are out includes those of earlier moves, so that two machines never
// use the same free capacity.
type stepper struct {
	state     *State
	view      *View
	timer     *Timer
	out       *outSet
	moves     []Move
	announced bool // a machine was announced, or its announcement was taken back
}

// Step decides the next moves and applies them to the state. changed reports whether the state must be written. The store must
// reject the write unless the presence of each coordinator in the moves' Lapsed has expired by then.
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
	changed = p.announced || len(p.moves) > 0
	if p.writeReasons(reasons) {
		changed = true
	}
	return p.moves, changed
}

// machinesOut returns the machines that the limits count as out.
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

// move makes a move if the step permits it.
func (p *stepper) move(r *Request, m Move) {
	m.Request = r.ID
	if p.state.Apply(m) == nil {
		p.moves = append(p.moves, m)
	}
}

// writeReasons records why open requests make no progress, for each at most once per reasonInterval.
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

// advanceReturning makes the next move of a machine that is out, returning or warm.
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
		case m != nil && m.Healthy: // Healthy implies that it has warmed up
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

// restartedAs reports whether a machine that is out is listed with a new process: under its own id with a later start (as is empty),
// or at its address under an id that has no open step.
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

// advanceOutgoing announces, drains and hands over machines of a request, and returns why the request makes no progress.
func (p *stepper) advanceOutgoing(r *Request) (reason string) {
	halt := haltReason(r, p.view.Wall)
	reason = p.takeBack(r, halt)
	inWork, waits := p.advanceAnnounced(r)
	if waits != "" {
		reason = waits
	}
	if halt != "" {
		return halt
	}
	if blocked := p.announceMachines(r, inWork); reason == "" {
		reason = blocked
	}
	return reason
}

// haltReason returns why no machines may be taken out for a request now; empty if they may.
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

// takeBack returns machines to waiting that may not proceed because the request is halted or the limits no longer hold: first those
// that were only announced, then draining and then drained ones, each from the end of the planned order. It returns the last reason.
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
				st.Call, p.announced = 0, true
			} else {
				p.move(r, Move{Machine: st.Machine, To: Waiting, Why: "taken back: " + why})
			}
		}
	}
	return reason
}

// recheck returns why a machine that counts as out may not proceed: halt, or else the limit that it would exceed now. In that case
// the machine no longer counts as out.
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

// advanceAnnounced makes the moves of machines that were announced. It returns how many machines of the request are in work, and which
// coordinators a machine waits for.
func (p *stepper) advanceAnnounced(r *Request) (inWork int, waits string) {
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
			// The next call of Step moves it to Out, which hands it over for the work, if the limits still hold then.
			p.move(r, Move{Machine: st.Machine, To: Drained, Why: "nothing is out there", Lapsed: lapsed})
		case st.State == Drained:
			p.move(r, Move{Machine: st.Machine, To: Out})
		}
	}
	return inWork, waits
}

// announceMachines announces the next machines that the limits permit, and returns why the first of the others is not announced.
func (p *stepper) announceMachines(r *Request, inWork int) (blocked string) {
	for _, st := range r.Steps {
		if st.State != Waiting || st.Call > 0 {
			continue
		}
		if r.AtOnce > 0 && inWork >= r.AtOnce {
			break
		}
		m := p.view.Fleet.Machine(st.Machine)
		if why := p.announceBlocked(m); why != "" {
			if blocked == "" {
				blocked = st.Machine + ": " + why
			}
			continue
		}
		p.state.Calls++
		st.Call, p.announced = p.state.Calls, true
		p.out.add(m)
		inWork++
	}
	return blocked
}

// announceBlocked returns why a machine cannot be announced now; empty if it can. m is nil for a machine that is not listed.
func (p *stepper) announceBlocked(m *Machine) string {
	switch {
	case p.view.Overloaded:
		return "users' queries were turned away for want of room just now, and go first"
	case m == nil:
		return "it is not listed"
	}
	return p.out.violation(m)
}

// unseenBy lists the coordinators that have not seen a machine's announcement.
func unseenBy(v *View, st *Step) string {
	var names []string
	for _, c := range v.Coordinators {
		if c.Seen < st.Call {
			names = append(names, c.Name)
		}
	}
	return strings.Join(names, ", ")
}

// waitsForDrain returns the coordinator that a drain waits for. If there is none, waits is empty and lapsed lists the coordinators
// whose presence must have expired for the drain to be complete.
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
