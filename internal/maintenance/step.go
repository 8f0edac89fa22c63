package maintenance

// This file owns the moves: what the holder of the duty may do next, by what it sees. It must never make two machines go on
// one look at the limits without counting the first.

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Duty is the name of the duty whose holder makes moves.
const Duty = "maintenance"

// Coordinator is what one that was ever present has said.
type Coordinator struct {
	Name   string
	Seen   uint64            // State.Seen of what it had applied while it was present; without presence nothing is said
	Clear  map[string]uint64 // machines with nothing out, by the turn of their drain
	Absent bool              // its presence is over, as far as is known; the store decides as the move is taken
}

// View is what the holder sees.
type View struct {
	Now          time.Duration // its own clock, which does not jump
	Wall         time.Time     // for hours and dates alone
	Fleet        *Fleet
	Limits       Limits
	WarmupTime   time.Duration // that a cold data node needs
	Coordinators []Coordinator
	Overloaded   bool              // users' queries were turned away for want of room just now: they go first
	HookDone     map[string]uint64 // warm machines of which the hook was told, by their turn; nil where there is no hook
}

// Timer is how long the holder has seen steps in their state, by its own clock. A new holder begins anew, so a machine may be
// out for longer than its request says by as long as the holder before had it.
type Timer struct {
	since         map[string]stateSince
	reasonWritten map[uint64]time.Duration
}

type stateSince struct {
	turn  uint64
	state StepState
	at    time.Duration
}

// noteEvery bounds how often the reason why a request does not move is written anew.
const reasonInterval = time.Second

// look notes the state of each step, and forgets what is over.
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

func (t *Timer) timeInState(now time.Duration, machine string) time.Duration {
	return now - t.since[machine].at
}

// Step decides the next moves and makes them in the state. Changed tells whether anything is to be written. Lapsed are
// coordinators whose presence the store has to hold for over, or none of it counts.
func (s *State) Step(v *View, t *Timer) (moves []Move, changed bool) {
	t.observe(v.Now, s)
	o := v.Fleet.newOutSet(v.Limits)
	for _, r := range s.Requests {
		for _, st := range r.Steps {
			if m := v.Fleet.Machine(st.Machine); m != nil && st.missing() {
				o.put(m, 1)
			}
		}
	}
	move := func(r *Request, m Move) bool {
		m.Request = r.ID
		if s.Apply(m) != nil {
			return false
		}
		moves = append(moves, m)
		return true
	}
	for _, r := range s.Requests {
		for _, st := range r.Steps {
			s.advanceReturning(v, t, o, r, st, move)
		}
	}
	why, calls := map[uint64]string{}, false
	for _, r := range s.Requests {
		var called bool
		why[r.ID], called = s.advanceOutgoing(v, o, r, move)
		calls = calls || called
	}
	changed = calls || len(moves) > 0
	for _, r := range s.Requests {
		if r.State != Open || r.Why == why[r.ID] {
			continue
		}
		if at, ok := t.reasonWritten[r.ID]; ok && v.Now-at < reasonInterval {
			continue
		}
		t.reasonWritten[r.ID] = v.Now
		r.Why, changed = why[r.ID], true
	}
	return moves, changed
}

// back makes the moves of a machine that is out or comes back.
func (s *State) advanceReturning(v *View, t *Timer, o *outSet, r *Request, st *Step, move func(*Request, Move) bool) {
	id := st.Machine
	if st.As != "" {
		id = st.As
	}
	m := v.Fleet.Machine(id)
	held := t.timeInState(v.Now, st.Machine)
	switch st.State {
	case Out:
		if as, ok := s.restartedAs(v, r, st); ok {
			move(r, Move{Machine: st.Machine, To: Returning, Why: "it is listed with a later start", As: as})
		} else if held > r.Takes {
			move(r, Move{Machine: st.Machine, To: Failed, Why: fmt.Sprintf("it was out for longer than %v", r.Takes)})
		}
	case Returning:
		switch {
		case m != nil && m.Healthy: // so no longer cold
			move(r, Move{Machine: st.Machine, To: Warm, Why: "it serves and has had its time to warm up"})
		case held > r.Back+v.WarmupTime:
			move(r, Move{Machine: st.Machine, To: Failed, Why: fmt.Sprintf("it does not serve %v after its return", held.Round(time.Second))})
		}
	case Warm:
		if v.HookDone == nil || v.HookDone[st.Machine] == st.Turn {
			if move(r, Move{Machine: st.Machine, To: Done}); v.Fleet.Machine(st.Machine) != nil {
				o.put(v.Fleet.Machine(st.Machine), -1)
			}
		}
	}
}

// restarted tells whether a machine that is out is listed as a new process: under its id with a later start, or under an id
// that is not of a step itself at its address.
func (s *State) restartedAs(v *View, r *Request, st *Step) (as string, ok bool) {
	if r.ByHand || st.Started == 0 {
		return "", false
	}
	for i := range v.Fleet.Machines {
		m := &v.Fleet.Machines[i]
		if !m.Serving || m.Started <= st.Started {
			continue
		}
		if m.ID == st.Machine {
			return "", true
		}
		if m.Addr == st.Addr && st.Addr != "" {
			if _, other := s.openStep(m.ID); other == nil {
				return m.ID, true
			}
		}
	}
	return "", false
}

// again asks the limits of a machine that counts as missing, as if it were put there just now; it counts no longer where they
// forbid it.
func recheck(o *outSet, m *Machine) (hold string) {
	if m == nil {
		return ""
	}
	o.put(m, -1)
	if hold = o.violation(m); hold == "" {
		o.put(m, 1)
	}
	return hold
}

// forth makes the moves towards work, and tells why a request does not move and whether machines were called or are no longer.
func (s *State) advanceOutgoing(v *View, o *outSet, r *Request, move func(*Request, Move) bool) (why string, changed bool) {
	halt := ""
	switch {
	case r.State != Open:
		halt = "the request is " + string(r.State)
	case v.Wall.Unix() < r.NotBefore:
		halt = "not before " + time.Unix(r.NotBefore, 0).UTC().Format(time.RFC3339)
	case inHours(r.Barred, v.Wall):
		halt = "these hours are barred"
	}
	// Back where it may not go on: what was only called first, then what drains, and of these the last in the order.
	for _, state := range []StepState{Waiting, Draining, Drained} {
		for _, st := range slices.Backward(r.Steps) {
			if st.State != state || !st.missing() {
				continue
			}
			m, hold := v.Fleet.Machine(st.Machine), halt
			if hold == "" {
				hold = recheck(o, m)
			} else if m != nil {
				o.put(m, -1)
			}
			switch {
			case hold == "":
			case state == Waiting:
				st.Call, why, changed = 0, hold, true
			default:
				move(r, Move{Machine: st.Machine, To: Waiting, Why: "taken back: " + hold})
				why = hold
			}
		}
	}
	ours := 0
	for _, st := range r.Steps {
		m := v.Fleet.Machine(st.Machine)
		if st.missing() && st.State != Failed {
			ours++
		}
		switch {
		case st.State == Waiting && st.Call > 0:
			if blind := unseenBy(v, st); blind != "" {
				why = fmt.Sprintf("%s: not seen yet by %s; one that is gone for good is to be forgotten", st.Machine, blind)
			} else if m != nil {
				move(r, Move{Machine: st.Machine, To: Draining, Addr: m.Addr, Started: m.Started})
			}
		case st.State == Draining:
			waits, lapsed := waitsForDrain(v, st)
			if waits == "" { // handed over at the next look, by what is known then
				move(r, Move{Machine: st.Machine, To: Drained, Why: "nothing is out there", Lapsed: lapsed})
			} else {
				why = waits
			}
		case st.State == Drained:
			move(r, Move{Machine: st.Machine, To: Out})
		}
	}
	if halt != "" {
		return halt, changed
	}
	for _, st := range r.Steps {
		if st.State != Waiting || st.Call > 0 {
			continue
		}
		if r.AtOnce > 0 && ours >= r.AtOnce {
			break
		}
		m, hold := v.Fleet.Machine(st.Machine), "it is not listed"
		switch {
		case v.Overloaded:
			hold = "users' queries were turned away for want of room just now, and go first"
		case m != nil:
			hold = o.violation(m)
		}
		if hold != "" {
			if why == "" {
				why = st.Machine + ": " + hold
			}
			continue
		}
		s.Calls++
		st.Call, changed = s.Calls, true
		o.put(m, 1)
		ours++
	}
	return why, changed
}

// unseen lists the coordinators that have not seen a machine's call.
func unseenBy(v *View, st *Step) string {
	var blind []string
	for _, c := range v.Coordinators {
		if c.Seen < st.Call {
			blind = append(blind, c.Name)
		}
	}
	return strings.Join(blind, ", ")
}

// drained tells whom a drain waits for, or whose presence has to be over for it.
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
