package explore

import (
	"time"

	"gullfall/internal/maintenance"
)

// movesKey holds everything that the leader's moves depend on; it is the key under which they are cached.
type movesKey struct {
	plan    planID
	leader  uint8
	timing  timing
	usable  uint8
	started [machineCount]uint8
	records [coordinatorCount]record
}

// timing states whether maintenance takes longer than the request allows.
type timing uint8

const (
	inTime  timing = iota
	overdue        // a machine has been out, or returning, for longer than the request allows
)

// orderKey holds everything that the effect of an operator's order depends on; it is the key under which that is cached.
type orderKey struct {
	plan    planID
	order   string
	machine uint8
}

// orderDone reports that the maintenance of a machine is done. The other orders are those of internal/maintenance.
const orderDone = "done"

var operatorOrders = []string{maintenance.Pause, maintenance.Resume, maintenance.Abandon, orderDone}

// decideMoves returns the write of the leader's moves in a state; its kind is noWrite if the leader makes none.
func (m *model) decideMoves(s *state, t timing) write {
	q := movesKey{plan: s.plan, leader: s.leader, timing: t, usable: ^(s.unhealthy | s.warming) & allMachines, started: s.started}
	if m.bug == NoWarmup {
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

// computeMoves steps the decision code and returns its moves.
func (m *model) computeMoves(q movesKey) (w write) {
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

// view returns the fleet as the decision code sees it.
func (m *model) view(q movesKey, plans *maintenance.State) *maintenance.View {
	v := &maintenance.View{Fleet: fleet(q.usable, q.started), Limits: limits, Wall: time.Unix(10, 0)}
	turns := plans.Overlay().Turns
	for i, r := range q.records {
		if m.bug == WaitForLeaderOnly && i != int(q.leader) {
			continue
		}
		c := maintenance.Coordinator{Name: coordinatorName(i), Seen: uint64(r.seen), Clear: map[string]uint64{}, Absent: true}
		for k := range machineCount {
			if turn, drains := turns[machineID(k)]; drains && uint8(turn) == r.clear[k] {
				c.Clear[machineID(k)] = turn
			}
		}
		if m.bug == IgnoreUnseenCalls {
			c.Seen = plans.Seen()
		}
		v.Coordinators = append(v.Coordinators, c)
	}
	return v
}

// decideOrder returns the plan after an operator's order; ok is false if the order is rejected or changes nothing.
func (m *model) decideOrder(q orderKey) (after planID, ok bool) {
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

// computeOrder applies an order with the decision code. It returns the unchanged plan if the order is rejected.
func (m *model) computeOrder(q orderKey) planID {
	plans := clonePlan(m.plan(q.plan).state)
	var err error
	if q.order == orderDone {
		err = plans.WorkDone(machineID(int(q.machine)), "")
	} else {
		err = plans.Order(q.order, 1)
	}
	if m.bug == PauseReclaimsMachine && q.order == maintenance.Pause {
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
