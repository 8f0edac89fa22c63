package aggregator

import (
	"time"
)

const (
	// reserveShare is the share of the class's deadline that is kept back for a pause of this node.
	reserveShare = 0.2
	// minLateShare is the share of the priority that a late answer must earn for a query to go on after its objective.
	minLateShare = 0.25
	// secondStepMultiple is how many tail latencies of a part the second step is given: its slowest part decides.
	secondStepMultiple = 2.5
	// objectiveMarginTicks is by how many ticks before the latency objective an answer leaves.
	objectiveMarginTicks = 3
	// deadlineMarginTicks is by how many ticks before the deadline a query ends.
	deadlineMarginTicks = 2
)

// queryTimes are the times of one query that its next step depends on.
type queryTimes struct {
	early time.Duration // from here a partial answer is given that leaves time for a second step
	late  time.Duration // from here an answer comes after the latency objective
	end   time.Duration // from here the query ends with what it has
}

func (a *Aggregator) timesOf(q *query) queryTimes {
	late := q.objective - objectiveMarginTicks*a.settings.Tick
	return queryTimes{
		early: late - a.secondStepTime(q),
		late:  late,
		end:   q.deadline - deadlineMarginTicks*a.settings.Tick,
	}
}

// reserve is how much of the time left to a query of the class is not used.
//
// It guards against lost queries: a node that pauses past the end of a query answers too late, and the client has only its
// own time-out. The first pause comes unannounced, so there is always a reserve; after a pause the next may be as long. It
// costs the answers that would come in the last moment of a short deadline.
func (a *Aggregator) reserve(class int, left time.Duration) time.Duration {
	pause := a.pauses.longest + a.pauses.longest/8
	return min(max(scale(reserveShare, a.settings.Classes[class].Deadline), pause), left/2)
}

// usefulUntil is until when an answer is worth its work: the deadline, or the latency objective where a late answer earns
// little or the whole fleet is slow, as late answers then take what queries in time need and the overload feeds itself.
func (a *Aggregator) usefulUntil(q *query) time.Duration {
	if c := &a.settings.Classes[q.class]; c.LateShare < minLateShare || a.latency.medianExcess > a.typicalLatency() {
		return q.objective
	}
	return q.deadline
}

// secondStepTime is how long the second step of a query may take, 0 where none follows. A partial answer that leaves no
// time for it earns nothing.
func (a *Aggregator) secondStepTime(q *query) time.Duration {
	c := &a.settings.Classes[q.class]
	if q.phase > 0 || c.FetchParts == 0 {
		return 0
	}
	if estimate := a.latencyOfStep(q.class, 1); estimate.tail.samples > 0 {
		return min(scale(secondStepMultiple*estimate.tail.value, time.Second), c.LatencyObjective/2)
	}
	return c.LatencyObjective / 4
}
