package explore

import (
	"encoding/binary"
	"sync"
	"time"

	"gullfall/internal/maintenance"
)

// Each shard must keep one of its two machines. m1 holds both shards, so it is taken out alone; m0 and m2 may be out together.
var (
	layout = maintenance.Layout{ShardSets: machineCount, Shards: 2, Reach: 2}
	limits = maintenance.Limits{Floor: 1}
)

// planID identifies a plan; equal plans have the same id.
type planID uint16

// plan is a maintenance plan and the values that the model derives from it.
type plan struct {
	state      *maintenance.State
	excluded   uint8               // set of machines to which no coordinator sends
	announced  uint8               // set of machines to which only coordinators with presence send
	handedOver uint8               // set of machines that are handed over for maintenance
	turns      [machineCount]uint8 // turn of each machine's drain
	calls      uint8               // number of calls that the plan has announced
	settled    bool                // only an operator's order can change the plan
}

// model holds the plans and caches the results of the decision code. It is safe for concurrent use.
type model struct {
	bug Bug

	// mu guards the fields below.
	mu     sync.RWMutex
	ids    map[string]planID // by encoded plan
	plans  []plan            // by planID
	moves  map[movesKey]write
	orders map[orderKey]planID
}

func newModel(bug Bug) *model {
	return &model{bug: bug, ids: map[string]planID{}, moves: map[movesKey]write{}, orders: map[orderKey]planID{}}
}

// plan returns the plan with an id.
func (m *model) plan(id planID) *plan {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return &m.plans[id]
}

// intern returns the id of a plan, which must not be changed afterwards.
func (m *model) intern(s *maintenance.State) planID {
	key := encodePlan(s)
	m.mu.Lock()
	defer m.mu.Unlock()
	if id, ok := m.ids[key]; ok {
		return id
	}
	id := planID(len(m.plans))
	m.plans, m.ids[key] = append(m.plans, summarize(s)), id
	return id
}

// summarize derives from a plan the values that the model needs.
func summarize(s *maintenance.State) plan {
	p := plan{state: s, calls: uint8(s.Seen()), settled: s.Requests[0].State != maintenance.Open}
	overlay := s.Overlay()
	for k := range machineCount {
		if overlay.Excluded[machineID(k)] {
			p.excluded |= 1 << k
		}
		if overlay.Announced[machineID(k)] {
			p.announced |= 1 << k
		}
		p.turns[k] = uint8(overlay.Turns[machineID(k)])
	}
	for _, step := range s.Requests[0].Steps {
		switch step.State {
		case maintenance.Out:
			p.handedOver |= 1 << machineIndex(step.Machine)
		case maintenance.Failed:
			p.settled = true
		}
	}
	return p
}

// encodePlan encodes the fields of a plan that affect later decisions.
func encodePlan(s *maintenance.State) string {
	b := binary.AppendUvarint(nil, s.Calls)
	b = binary.AppendUvarint(b, s.Turn)
	for _, request := range s.Requests {
		b = append(append(b, request.State...), 0)
		for _, step := range request.Steps {
			b = append(append(b, step.Machine...), byte(step.State))
			b = binary.AppendUvarint(b, step.Call)
			b = binary.AppendUvarint(b, step.Turn)
			b = binary.AppendVarint(b, step.Started)
		}
	}
	return string(b)
}

// clonePlan returns a deep copy of a plan without its history and the reasons why requests wait.
func clonePlan(s *maintenance.State) *maintenance.State {
	clone := *s
	clone.Requests, clone.Recent, clone.Audit = nil, nil, nil
	for _, r := range s.Requests {
		request := *r
		request.Steps, request.Why = make([]*maintenance.Step, len(r.Steps)), ""
		for i, step := range r.Steps {
			copied := *step
			request.Steps[i] = &copied
		}
		clone.Requests = append(clone.Requests, &request)
	}
	return &clone
}

// fleet returns the machines as the decision code sees them; usable is the set of those that are healthy and warm.
func fleet(usable uint8, started [machineCount]uint8) *maintenance.Fleet {
	var list []maintenance.Machine
	for k := range machineCount {
		list = append(list, maintenance.Machine{ID: machineID(k), Addr: machineID(k), ShardSet: k, Weight: 1, Serving: true,
			Healthy: has(usable, k), Started: int64(started[k])})
	}
	f, err := maintenance.NewFleet(layout, list)
	if err != nil {
		panic(err) // the layout is a constant of this package
	}
	return f
}

// start returns the initial state: a healthy fleet with a maintenance request for the first Limits.Machines machines.
func (m *model) start(l Limits) state {
	s := state{faults: l.Faults, orders: l.Orders, sends: l.Sends}
	var requested []string
	for k := range machineCount {
		if s.started[k] = 1; k < l.Machines {
			requested = append(requested, machineID(k))
		}
	}
	plans := &maintenance.State{}
	request := maintenance.Request{By: "op", Takes: time.Hour, Back: time.Hour}
	if _, _, err := plans.Start(time.Unix(0, 0), request, requested, fleet(allMachines, s.started), limits, 0); err != nil {
		panic(err) // the request depends only on the number of machines
	}
	s.plan = m.intern(plans)
	for i := range s.coordinators {
		s.coordinators[i] = coordinator{flags: alive | present, plan: s.plan}
	}
	return s
}
