// Package explore is an explicit-state model checker for maintenance. It visits every state that a small fleet (two coordinators, three
// machines, two shards) can reach while machines are taken out, with crashes, partitions and pauses at any point. The decisions are made by
// internal/maintenance. The store and the leases are assumed to be correct (internal/statemachine and internal/lease have their own tests).
// Time is modelled as any order of events. All orders are explored, except from states that were reached before.
//
// It checks these rules:
//
//	in each state    no part is in flight at a machine that is handed over, and none may be sent to it
//	in each state    each shard keeps its minimum number of machines outside maintenance, not counting those that are warming up
//	from each state  without further faults the request can still end, or reach a state that only an operator's order can leave
//
// A Bug breaks one rule of the fleet, so that tests can show that the explorer finds it.
//
// The search is breadth first and parallel. For all states at one distance from the start, the workers first find the successors. Then each
// shard of the table adds its own, in the order of their predecessors. The number of states is the same in each run. Which of several paths
// of equal length a report shows is deterministic only with GOMAXPROCS=1, because workers race for the ids of plans. A state takes about
// 450 bytes.
package explore

import "time"

// Limits bound the events on one path and the size of the search.
type Limits struct {
	Machines int   // number of machines, 1 to 3, for which maintenance is requested
	Faults   uint8 // crashes, partitions, pauses, machine failures, changes of the leader, maintenance that takes too long
	Orders   uint8 // operators' orders
	Sends    uint8 // query parts that are sent
	States   int   // the search stops beyond this number of states
	// Progress, if set, is called each time all states at one distance from the start are found, with the number of states so far.
	Progress func(distance, states int)
}

// Report is the result of a search.
type Report struct {
	States     int      // states visited
	Distance   int      // events from the start to the farthest state
	Complete   bool     `json:"Whole"`  // all states within the limits were visited
	BrokenRule string   `json:"Broken"` // the first rule found broken; empty if none was
	Path       []string // events that lead to the state that breaks the rule
	EndStates  int      `json:"Ended"` // states that only an operator's order can leave
	Elapsed    time.Duration
}

// explorer is the model and the table of the states that were reached.
type explorer struct {
	*model
	shards [shardCount]shard
}

// Explore visits all states in breadth-first order and stops at the first distance at which a state breaks a rule.
func Explore(l Limits, bug Bug) (r Report) {
	begun := time.Now()
	defer func() { r.Elapsed = time.Since(begun) }()
	e := &explorer{model: newModel(bug)}
	for i := range e.shards {
		e.shards[i].index = map[state]ref{}
	}
	frontier := []ref{e.insert(canonical(e.start(l)), none)}
	for r.States = 1; len(frontier) > 0; r.Distance++ {
		found := e.expand(frontier)
		if v := firstViolation(found); v != nil {
			r.BrokenRule, r.Path = v.rule, e.path(v.at.from, &v.at.to)
			return r
		}
		frontier = e.merge(found)
		r.States += len(frontier)
		if l.Progress != nil {
			l.Progress(r.Distance+1, r.States)
		}
		if r.States > l.States {
			return r
		}
	}
	r.Complete = true
	ended := e.endStates()
	r.EndStates = len(ended)
	if stuck := e.stuckState(ended); stuck != none {
		r.BrokenRule, r.Path = "the request can't end any more", e.path(stuck, nil)
	}
	return r
}
