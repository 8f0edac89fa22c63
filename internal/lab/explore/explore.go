// Package explore visits every state that a small fleet can reach while machines are taken out for maintenance: two coordinators, three
// machines, two shards, with crashes, partitions and pauses at any point. The decisions are those of internal/maintenance. The store and
// the leases are assumed to do what they promise (internal/statemachine and internal/lease have tests of their own), and time is any order
// of events. No order of events is left out, but where a state was reached before.
//
// These rules are checked:
//
//	in each state    nothing is in flight, and nothing may be sent, at a machine that is handed over
//	in each state    each shard keeps its floor of machines outside maintenance, not counting those that are warming up
//	from each state  without further faults the request can still end, or reach a state that only an operator's order ends
//
// A Bug changes one rule of the fleet, so that tests can show that the explorer finds the fault.
//
// The search is breadth first. All processors work on the states of one distance from the start: they find the successors, then each adds
// those of its shards of the table, in the order of their predecessors. The number of states is the same at each run. Which of several
// paths of one length a report shows is so with GOMAXPROCS=1 alone, as processors race for the ids of plans. A state takes about 450 bytes.
package explore

import "time"

// Limits bound what may happen on one path, and the search.
type Limits struct {
	Machines int   // 1 to 3, that maintenance is requested for
	Faults   uint8 // crashes, partitions, pauses, machine failures, changes of the leader, maintenance that takes too long
	Words    uint8 // operators' orders
	Sends    uint8 // query parts that are sent
	States   int   // the search gives up beyond
	// Seen, if set, is called after each distance with the number of states so far.
	Seen func(distance, states int)
}

// Report is the result of a search.
type Report struct {
	States   int
	Distance int      // events from the start to the farthest state
	Whole    bool     // all states within the limits were visited
	Broken   string   // the rule that broke first; empty for none
	Path     []string // the events that lead to the state that breaks it
	Ended    int      // states in which nothing is left to do but by an operator
	Elapsed  time.Duration
}

type explorer struct {
	*model
	shards [shardCount]shard
}

// Explore visits all states, nearest first, and stops at the first that breaks a rule.
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
			r.Broken, r.Path = v.rule, e.path(v.at.from, &v.at.to)
			return r
		}
		frontier = e.merge(found)
		r.States += len(frontier)
		if l.Seen != nil {
			l.Seen(r.Distance+1, r.States)
		}
		if r.States > l.States {
			return r
		}
	}
	r.Whole = true
	ended := e.endStates()
	r.Ended = len(ended)
	if stuck := e.unable(ended); stuck != none {
		r.Broken, r.Path = "the request can't end any more", e.path(stuck, nil)
	}
	return r
}
