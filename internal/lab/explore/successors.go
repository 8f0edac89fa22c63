package explore

// successors collects what may happen in one state. Each method below adds the edges of one kind of event, or of two that go together.
type successors struct {
	*model
	from  state
	edges []edge
}

// The order of these lists shows in reports: of two paths of one length the first found is reported.
var (
	coordinatorEvents = []func(s *successors, coordinator int){
		(*successors).parts,
		(*successors).planReceived,
		(*successors).recordSent,
		(*successors).recordArrives,
		(*successors).presenceGranted,
		(*successors).presenceOver,
		(*successors).coordinatorFaults,
		(*successors).coordinatorStarted,
		(*successors).coordinatorReturns,
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

// next appends all that may happen in a state to edges.
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

// add adds an edge and returns the state that it leads to, which begins as the one it comes from. It is valid until the next add.
func (s *successors) add(kind eventKind, actor, machine int) *state {
	s.edges = append(s.edges, edge{event: event{kind, uint8(actor), uint8(machine)}, to: s.from})
	return &s.edges[len(s.edges)-1].to
}

// addFault adds an edge that is counted as a fault; the caller checks that one may still happen.
func (s *successors) addFault(kind eventKind, actor, machine int) *state {
	to := s.add(kind, actor, machine)
	s.edges[len(s.edges)-1].fault = true
	to.faults--
	return to
}

// parts sends query parts to machines and ends them.
func (s *successors) parts(i int) {
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

func (s *successors) planReceived(i int) {
	c := &s.from.coordinators[i]
	if c.online() && (c.plan != s.from.plan || c.is(planLost)) {
		to := &s.add(planReceived, i, 0).coordinators[i]
		to.plan = s.from.plan
		to.flags &^= planLost
	}
}

// recordSent sends a coordinator's record to the store, where it differs from the one there.
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

// currentRecord is what a coordinator may report now. Without presence it keeps to the calls that it reported before.
func (s *successors) currentRecord(c *coordinator) record {
	plan := s.plan(c.plan)
	r := record{seen: c.stored.seen}
	if c.is(present) || s.bug == SeenAway {
		r.seen = plan.calls
	}
	for k := range machineCount {
		if !has(c.inFlight, k) || s.bug == ClearEarly {
			r.clear[k] = plan.turns[k]
		}
	}
	return r
}

// recordArrives stores a record on its way, whatever has become of its sender, or loses it.
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

// presenceGranted makes a coordinator present; with the grant it receives the plan.
func (s *successors) presenceGranted(i int) {
	c := &s.from.coordinators[i]
	if !c.online() || c.is(present) && !c.is(expired) {
		return
	}
	to := &s.add(presenceGranted, i, 0).coordinators[i]
	to.flags = to.flags&^expired | present
	if s.bug != StaleGrant {
		to.plan = s.from.plan
		to.flags &^= planLost
	}
}

// presenceOver ends the presence of a coordinator that does not renew it: first by its own clock, then by the store's, which waits
// longer by the longest attempt, so that nothing is in flight by then.
func (s *successors) presenceOver(i int) {
	c := &s.from.coordinators[i]
	if c.online() {
		return
	}
	if c.is(present) {
		s.add(presenceOverLocally, i, 0).coordinators[i].flags &^= present
	} else if !c.is(expired) && (c.inFlight == 0 || s.bug == LapseTooSoon) {
		s.add(presenceOverInStore, i, 0).coordinators[i].flags |= expired
	}
}

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

// coordinatorStarted starts a crashed coordinator again; it knows the plan that it stored, and is not present.
func (s *successors) coordinatorStarted(i int) {
	if s.from.coordinators[i].is(alive) {
		return
	}
	to := &s.add(coordinatorStarted, i, 0).coordinators[i]
	to.flags |= alive
	switch s.bug {
	case BootPresent:
		to.flags |= present
	case LostOverlay:
		to.flags |= planLost
	case LostPlan:
		to.plan = 0 // the first plan, before any call
	}
}

// coordinatorReturns ends a partition or a pause.
func (s *successors) coordinatorReturns(i int) {
	c := &s.from.coordinators[i]
	if c.is(partitioned) {
		s.add(partitionHealed, i, 0).coordinators[i].flags &^= partitioned
	}
	if c.is(paused) {
		s.add(coordinatorResumed, i, 0).coordinators[i].flags &^= paused
	}
}

// movesArrive stores a coordinator's moves, where the store takes them, or loses them.
func (s *successors) movesArrive(i int) {
	c := &s.from.coordinators[i]
	if c.moves.kind == noWrite {
		return
	}
	to := s.add(movesStored, i, 0)
	to.coordinators[i].moves = write{}
	if s.takesMoves(&c.moves) {
		s.storePlan(to, c.moves.plan)
	}
	if !c.online() {
		s.add(movesLost, i, 0).coordinators[i].moves = write{}
	}
}

// takesMoves tells whether the store takes moves: their writer still leads, the plan is the one they were made from, and the presence
// of those whom they pass over has ended in the store.
func (s *successors) takesMoves(w *write) bool {
	if s.bug == NoFence {
		return true
	}
	for i := range s.from.coordinators {
		if has(w.expired, i) && !s.from.coordinators[i].is(expired) && s.bug != GuessLapsed {
			return false
		}
	}
	return !w.stale && !w.fenced
}

// movesMade lets the leader make moves, one write at a time.
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

// maintenanceDone hands a machine back, newly started.
func (s *successors) maintenanceDone(k int) {
	if has(s.from.handedOver, k) {
		to := s.add(maintenanceDone, 0, k)
		to.handedOver &^= 1 << k
		to.warming |= 1 << k
		to.started[k]++
	}
}

// leaderChanged passes the leadership on: it is a fault only where the leader is online.
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

// orderGiven lets an operator give each order that would change the plan, one at a time.
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

func (s *successors) giveOrder(n, machine int) {
	after, ok := s.decideOrder(orderQuery{s.from.plan, operatorOrders[n], uint8(machine)})
	if !ok {
		return
	}
	to := s.add(orderGiven, n, machine)
	to.orders--
	to.order = write{kind: operatorWrite, plan: after}
}

// orderStored stores an operator's order, where the plan is the one that it was given for.
func (s *successors) orderStored() {
	order := s.from.order
	if order.kind == noWrite {
		return
	}
	to := s.add(orderStored, 0, 0)
	to.order = write{}
	if !order.stale || s.bug == NoRevision {
		s.storePlan(to, order.plan)
	}
}

// storePlan makes a plan the store's. Other writes on their way were made from an earlier one.
func (m *model) storePlan(to *state, id planID) {
	to.handedOver |= m.plan(id).handedOver &^ m.plan(to.plan).handedOver
	to.plan = id
	for i := range to.coordinators {
		to.coordinators[i].moves.stale = to.coordinators[i].moves.kind != noWrite
	}
	to.order.stale = to.order.kind != noWrite
	m.dropRejected(to)
}

// dropRejected drops writes that the store will reject: their arrival would change nothing.
func (m *model) dropRejected(to *state) {
	for i := range to.coordinators {
		if w := &to.coordinators[i].moves; (w.stale || w.fenced) && m.bug != NoFence {
			*w = write{}
		}
	}
	if to.order.stale && m.bug != NoRevision {
		to.order = write{}
	}
}
