package explore

// successors collects the edges that leave one state. Each method below adds those of one kind of event, or of two related kinds.
type successors struct {
	*model
	from  state
	edges []edge
}

// The order of these lists affects reports: of two paths of equal length, the one found first is reported.
var (
	coordinatorEvents = []func(s *successors, coordinator int){
		(*successors).partEvents,
		(*successors).planReceived,
		(*successors).recordSent,
		(*successors).recordArrives,
		(*successors).presenceGranted,
		(*successors).presenceEnded,
		(*successors).coordinatorFaults,
		(*successors).coordinatorStarted,
		(*successors).coordinatorRecovers,
		(*successors).movesArrive,
		(*successors).movesMade,
	}
	machineEvents = []func(s *successors, machine int){
		(*successors).machineFailed,
		(*successors).machineRecovered,
		(*successors).maintenanceDone,
	}
	fleetEvents = []func(s *successors){
		(*successors).leaderChanged,
		(*successors).orderGiven,
		(*successors).orderStored,
	}
)

// next appends all edges that leave a state to edges.
func (m *model) next(from state, edges []edge) []edge {
	s := &successors{model: m, from: from, edges: edges}
	for i := range s.from.coordinators {
		for _, add := range coordinatorEvents {
			add(s, i)
		}
	}
	for k := range machineCount {
		for _, add := range machineEvents {
			add(s, k)
		}
	}
	for _, add := range fleetEvents {
		add(s)
	}
	return s.edges
}

// add adds an edge and returns the state that it leads to, initially a copy of the current one. The pointer is valid until the next add.
func (s *successors) add(kind eventKind, actor, machine int) *state {
	s.edges = append(s.edges, edge{event: event{kind, uint8(actor), uint8(machine)}, to: s.from})
	return &s.edges[len(s.edges)-1].to
}

// addFault adds an edge that counts as a fault; the caller checks that a fault may still occur.
func (s *successors) addFault(kind eventKind, actor, machine int) *state {
	to := s.add(kind, actor, machine)
	s.edges[len(s.edges)-1].fault = true
	to.faults--
	return to
}

// partEvents adds the starts and ends of query parts.
func (s *successors) partEvents(i int) {
	c := &s.from.coordinators[i]
	for k := range machineCount {
		if s.from.sends > 0 && !has(c.inFlight, k) && s.maySend(c, k) {
			to := s.add(partSent, i, k)
			to.coordinators[i].inFlight |= 1 << k
			to.sends--
		}
		if has(c.inFlight, k) {
			s.add(partEnded, i, k).coordinators[i].inFlight &^= 1 << k
		}
	}
}

// planReceived gives an online coordinator the store's plan if its own copy differs.
func (s *successors) planReceived(i int) {
	c := &s.from.coordinators[i]
	if c.online() && (c.plan != s.from.plan || c.is(planLost)) {
		to := &s.add(planReceived, i, 0).coordinators[i]
		to.plan = s.from.plan
		to.flags &^= planLost
	}
}

// recordSent sends a coordinator's record to the store if it differs from the stored one.
func (s *successors) recordSent(i int) {
	c := &s.from.coordinators[i]
	if !c.running() || c.is(recordPending|planLost) {
		return
	}
	if r := s.currentRecord(c); r != c.stored {
		to := &s.add(recordSent, i, 0).coordinators[i]
		to.pending = r
		to.flags |= recordPending
	}
}

// currentRecord returns what a coordinator may report now. Without presence it must not report calls beyond those it reported before.
func (s *successors) currentRecord(c *coordinator) record {
	plan := s.plan(c.plan)
	r := record{seen: c.stored.seen}
	if c.is(present) || s.bug == SeenWithoutPresence {
		r.seen = plan.calls
	}
	for k := range machineCount {
		if !has(c.inFlight, k) || s.bug == ClearEarly {
			r.clear[k] = plan.turns[k]
		}
	}
	return r
}

// recordArrives adds the arrival of a record that is on its way, whatever the state of its sender, and its loss if the sender is not
// online.
func (s *successors) recordArrives(i int) {
	c := &s.from.coordinators[i]
	if !c.is(recordPending) {
		return
	}
	to := &s.add(recordStored, i, 0).coordinators[i]
	to.stored, to.pending = c.pending, record{}
	to.flags &^= recordPending
	if !c.online() {
		to := &s.add(recordLost, i, 0).coordinators[i]
		to.pending = record{}
		to.flags &^= recordPending
	}
}

// presenceGranted grants presence to a coordinator, which receives the current plan with the grant.
func (s *successors) presenceGranted(i int) {
	c := &s.from.coordinators[i]
	if !c.online() || c.is(present) && !c.is(expired) {
		return
	}
	to := &s.add(presenceGranted, i, 0).coordinators[i]
	to.flags = to.flags&^expired | present
	if s.bug != GrantWithoutPlan {
		to.plan = s.from.plan
		to.flags &^= planLost
	}
}

// presenceEnded ends the presence of a coordinator that does not renew it: first by its own clock, then by the store's. The store waits
// longer by the maximum duration of an attempt, so that no part is in flight by then.
func (s *successors) presenceEnded(i int) {
	c := &s.from.coordinators[i]
	if c.online() {
		return
	}
	if c.is(present) {
		s.add(presenceEndedLocally, i, 0).coordinators[i].flags &^= present
	} else if !c.is(expired) && (c.inFlight == 0 || s.bug == EarlyExpiry) {
		s.add(presenceEndedInStore, i, 0).coordinators[i].flags |= expired
	}
}

// coordinatorFaults adds the crash, partition and pause of a coordinator.
func (s *successors) coordinatorFaults(i int) {
	if s.from.faults == 0 {
		return
	}
	c := &s.from.coordinators[i]
	if c.is(alive) {
		to := &s.addFault(coordinatorCrashed, i, 0).coordinators[i]
		to.flags &^= alive | present | paused
		to.inFlight = 0
	}
	if !c.is(partitioned) {
		s.addFault(coordinatorPartitioned, i, 0).coordinators[i].flags |= partitioned
	}
	if c.running() {
		s.addFault(coordinatorPaused, i, 0).coordinators[i].flags |= paused
	}
}

// coordinatorStarted restarts a crashed coordinator. It knows the plan that it stored and has no presence.
func (s *successors) coordinatorStarted(i int) {
	if s.from.coordinators[i].is(alive) {
		return
	}
	to := &s.add(coordinatorStarted, i, 0).coordinators[i]
	to.flags |= alive
	switch s.bug {
	case StartPresent:
		to.flags |= present
	case RestartLosesOverlay:
		to.flags |= planLost
	case RestartRevertsPlan:
		to.plan = 0 // the first plan, before any call
	}
}

// coordinatorRecovers ends a partition or a pause.
func (s *successors) coordinatorRecovers(i int) {
	c := &s.from.coordinators[i]
	if c.is(partitioned) {
		s.add(partitionHealed, i, 0).coordinators[i].flags &^= partitioned
	}
	if c.is(paused) {
		s.add(coordinatorResumed, i, 0).coordinators[i].flags &^= paused
	}
}

// movesArrive adds the arrival of a coordinator's moves at the store, which may reject them, and their loss if the coordinator is not
// online.
func (s *successors) movesArrive(i int) {
	c := &s.from.coordinators[i]
	if c.moves.kind == noWrite {
		return
	}
	to := s.add(movesStored, i, 0)
	to.coordinators[i].moves = write{}
	if s.acceptsMoves(&c.moves) {
		s.storePlan(to, c.moves.plan)
	}
	if !c.online() {
		s.add(movesLost, i, 0).coordinators[i].moves = write{}
	}
}

// acceptsMoves reports whether the store accepts moves: their writer still leads, the plan is the one that they were made from, and the
// presence of the coordinators that they skip has ended in the store.
func (s *successors) acceptsMoves(w *write) bool {
	if s.bug == NoFencing {
		return true
	}
	for i := range s.from.coordinators {
		if has(w.expired, i) && !s.from.coordinators[i].is(expired) && s.bug != NoExpiryCheck {
			return false
		}
	}
	return !w.stale && !w.fenced
}

// movesMade adds the leader's moves, in time and overdue. The leader has one write in flight at a time.
func (s *successors) movesMade(i int) {
	c := &s.from.coordinators[i]
	if c.moves.kind != noWrite || int(s.from.leader) != i || !c.online() {
		return
	}
	if w := s.decideMoves(&s.from, inTime); w.kind != noWrite {
		s.add(movesMade, i, 0).coordinators[i].moves = w
	}
	if s.from.faults == 0 {
		return
	}
	if w := s.decideMoves(&s.from, overdue); w.kind != noWrite {
		s.addFault(overdueMovesMade, i, 0).coordinators[i].moves = w
	}
}

// machineFailed makes a healthy machine fail.
func (s *successors) machineFailed(k int) {
	if s.from.faults > 0 && !has(s.from.unhealthy, k) {
		s.addFault(machineFailed, 0, k).unhealthy |= 1 << k
	}
}

// machineRecovered makes a failed machine healthy, or a warming one warm.
func (s *successors) machineRecovered(k int) {
	if has(s.from.unhealthy, k) {
		s.add(machineRecovered, 0, k).unhealthy &^= 1 << k
	}
	if has(s.from.warming, k) {
		s.add(machineRecovered, 0, k).warming &^= 1 << k
	}
}

// maintenanceDone returns a machine from maintenance, newly started.
func (s *successors) maintenanceDone(k int) {
	if has(s.from.handedOver, k) {
		to := s.add(maintenanceDone, 0, k)
		to.handedOver &^= 1 << k
		to.warming |= 1 << k
		to.started[k]++
	}
}

// leaderChanged makes the other coordinator the leader. This counts as a fault only if the current leader is online.
func (s *successors) leaderChanged() {
	var to *state
	switch {
	case !s.from.coordinators[s.from.leader].online():
		to = s.add(leaderChanged, 0, 0)
	case s.from.faults > 0:
		to = s.addFault(leaderChanged, 0, 0)
	default:
		return
	}
	to.leader = 1 - s.from.leader
	for i := range to.coordinators {
		to.coordinators[i].moves.fenced = to.coordinators[i].moves.kind != noWrite
	}
	s.dropRejected(to)
}

// orderGiven adds each operator's order that would change the plan. One order is in flight at a time.
func (s *successors) orderGiven() {
	if s.from.orders == 0 || s.from.order.kind != noWrite {
		return
	}
	for n, order := range operatorOrders {
		if order != orderDone {
			s.giveOrder(n, 0)
			continue
		}
		for k := range machineCount {
			if !has(s.from.handedOver, k) {
				s.giveOrder(n, k)
			}
		}
	}
}

// giveOrder adds an order, given by its index in operatorOrders, if it would change the plan.
func (s *successors) giveOrder(n, machine int) {
	after, ok := s.decideOrder(orderKey{s.from.plan, operatorOrders[n], uint8(machine)})
	if !ok {
		return
	}
	to := s.add(orderGiven, n, machine)
	to.orders--
	to.order = write{kind: operatorWrite, plan: after}
}

// orderStored delivers an operator's order, which the store accepts if the plan has not changed since the order was given.
func (s *successors) orderStored() {
	order := s.from.order
	if order.kind == noWrite {
		return
	}
	to := s.add(orderStored, 0, 0)
	to.order = write{}
	if !order.stale || s.bug == NoRevisionCheck {
		s.storePlan(to, order.plan)
	}
}

// storePlan replaces the store's plan. Other writes on their way become stale because they were made from an earlier plan.
func (m *model) storePlan(to *state, id planID) {
	to.handedOver |= m.plan(id).handedOver &^ m.plan(to.plan).handedOver
	to.plan = id
	for i := range to.coordinators {
		to.coordinators[i].moves.stale = to.coordinators[i].moves.kind != noWrite
	}
	to.order.stale = to.order.kind != noWrite
	m.dropRejected(to)
}

// dropRejected drops writes that the store will reject, because their arrival would change nothing.
func (m *model) dropRejected(to *state) {
	for i := range to.coordinators {
		if w := &to.coordinators[i].moves; (w.stale || w.fenced) && m.bug != NoFencing {
			*w = write{}
		}
	}
	if to.order.stale && m.bug != NoRevisionCheck {
		to.order = write{}
	}
}
