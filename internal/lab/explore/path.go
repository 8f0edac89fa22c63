package explore

import "slices"

// path lists the events that lead to a state, and from there to its successor if one is given. The table stores canonical states, in which
// the coordinators may be exchanged, so the events are computed again from the start.
func (e *explorer) path(last ref, after *state) (events []string) {
	var states []state
	if after != nil {
		states = append(states, *after)
	}
	for r := last; r != none; r = e.predecessor(r) {
		states = append(states, e.state(r))
	}
	slices.Reverse(states)
	current := states[0]
	for _, want := range states[1:] {
		for _, edge := range e.next(current, nil) {
			if canonical(edge.to) == want {
				events, current = append(events, edge.String()), edge.to
				break
			}
		}
	}
	return events
}
