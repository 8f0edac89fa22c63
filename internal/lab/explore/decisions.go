package explore

import (
	"time"

	"gullfall/internal/maintenance"
)

// movesQuery is all that the leader's moves depend on.
type movesQuery struct {
	plan    planID
	leader  uint8
	timing  timing
	usable  uint8
	started [machineCount]uint8
	records [coordinatorCount]record
}

// timing is whether maintenance takes as long as it should.
type timing uint8

const (
	inTime  timing = iota
	overdue        // what is out or comes back is so for longer than the request allows
)

// orderQuery is all that the effect of an operator's order depends on.
type orderQuery struct {
	plan    planID
	order   string
	machine uint8
}

// orderDone says that the work on a machine is done. The other orders are those of internal/maintenance.
const orderDone = "done"

var operatorOrders = []string{maintenance.Pause, maintenance.Resume, maintenance.Abandon, orderDone}

// decideMoves returns the moves that the leader makes in a state; a write of no kind where it makes none.
func (m *model) decideMoves(s *state, t timing) write {
	q := movesQuery{plan: s.plan, leader: s.leader, timing: t, usable: ^(s.unhealthy | s.warming) & allMachines, started: s.started}
	if m.bug == WarmAtOnce {
		q.usable = ^s.unhealthy & allMachines
	}
	for i := range s.coordinators {
		q.records[i] = s.coordinators[i].stored
	}
	m.mu.RLock()
	w, ok := m.moves[q]
	m.mu.RUnlock()
	if ok {
		return w
	}
	w = m.computeMoves(q)
	m.mu.Lock()
	m.moves[q] = w
	m.mu.Unlock()
	return w
}

// computeMoves lets the decision code step.
func (m *model) computeMoves(q movesQuery) (w write) {
	plans := clonePlan(m.plan(q.plan).state)
	view := m.view(q, plans)
	var timer maintenance.Timer
	if q.timing == overdue {
		clonePlan(plans).Step(view, &timer)
		view.Now = 3 * time.Hour
	}
	moves, changed := plans.Step(view, &timer)
	if !changed {
		return write{}
	}
	after := m.intern(clonePlan(plans))
	if after == q.plan {
		return write{} // only the reason why a request waits has changed
	}
	w.kind, w.plan = movesWrite, after
	for _, move := range moves {
		for _, name := range move.Lapsed {
			w.expired |= 1 << coordinatorIndex(name)
		}
	}
	return w
}

// view is the fleet as the decision code sees it.
func (m *model) view(q movesQuery, plans *maintenance.State) *maintenance.View {
	v := &maintenance.View{Fleet: fleet(q.usable, q.started), Limits: limits, Wall: time.Unix(10, 0)}
	turns := plans.Overlay().Turns
	for i, r := range q.records {
		if m.bug == NotAll && i != int(q.leader) {
			continue
		}
		c := maintenance.Coordinator{Name: coordinatorName(i), Seen: uint64(r.seen), Clear: map[string]uint64{}, Absent: true}
		for k := range machineCount {
			if turn, drains := turns[machineID(k)]; drains && uint8(turn) == r.clear[k] {
				c.Clear[machineID(k)] = turn
			}
		}
		if m.bug == NotSeen {
			c.Seen = plans.Seen()
		}
		v.Coordinators = append(v.Coordinators, c)
	}
	return v
}

// decideOrder returns the plan after an operator's order; ok is false where the order is rejected or changes nothing.
func (m *model) decideOrder(q orderQuery) (after planID, ok bool) {
	m.mu.RLock()
	after, known := m.orders[q]
	m.mu.RUnlock()
	if !known {
		after = m.computeOrder(q)
		m.mu.Lock()
		m.orders[q] = after
		m.mu.Unlock()
	}
	return after, after != q.plan
}

// computeOrder lets the decision code carry out an order, and returns the plan of before where it is rejected.
func (m *model) computeOrder(q orderQuery) planID {
	plans := clonePlan(m.plan(q.plan).state)
	var err error
	if q.order == orderDone {
		err = plans.WorkDone(machineID(int(q.machine)), "")
	} else {
		err = plans.Order(q.order, 1)
	}
	if m.bug == TakeBackOut && q.order == maintenance.Pause {
		for _, step := range plans.Requests[0].Steps {
			if step.State == maintenance.Out {
				step.State, step.Call = maintenance.Waiting, 0
			}
		}
	}
	if err != nil {
		return q.plan
	}
	return m.intern(clonePlan(plans))
}
