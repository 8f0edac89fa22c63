package aggregator

import (
	"time"
)

const (
	reserveShare       = 0.2  // share of the class's deadline that is kept back for a standstill of this node
	minLateShare       = 0.25 // late worth under which a query ends at its aim
	secondStepMultiple = 2.5  // high latencies of a part that are left for a second step, whose slowest part decides
)

// reserve is what is kept back of a query's time. A node that stands still past the end of a query has lost
// it, and the first standstill comes unannounced; after one, the next may be as long. It costs answers that
// would come in the last moment of a short try.
func (a *Aggregator) reserve(class int, left time.Duration) time.Duration {
	return min(max(scale(reserveShare, a.settings.Classes[class].Deadline), a.pauses.longest+a.pauses.longest/8), left/2)
}

// useful is how long an answer is worth its work. A late answer is worth little; while the whole fleet is
// slow, what it takes is taken from queries that could still be in time, and a jam would feed on it.
func (a *Aggregator) usefulUntil(q *query) time.Duration {
	if c := &a.settings.Classes[q.class]; c.LateShare < minLateShare || a.latency.medianExcess > a.typicalLatency() {
		return q.objective
	}
	return q.deadline
}

// second is the time that the second step of a query may take, where one is still to come: a partial answer
// that leaves no time for it is worth nothing.
func (a *Aggregator) secondStepTime(q *query) time.Duration {
	c := &a.settings.Classes[q.class]
	if q.step > 0 || c.FetchParts == 0 {
		return 0
	}
	if s := &a.latency.classes[2*q.class+1]; s.tail.samples > 0 {
		return min(scale(secondStepMultiple*s.tail.value, time.Second), c.LatencyObjective/2)
	}
	return c.LatencyObjective / 4
}
