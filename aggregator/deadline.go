package aggregator

import (
	"time"
)

const (
	// reserveShare is the share of the class's deadline that is kept in reserve for a pause of the process.
	reserveShare = 0.2
	// minLateShare is the smallest Class.LateShare with which a query goes on after its objective.
	minLateShare = 0.25
	// secondPhaseMultiple is the time given to the second phase, in tail latencies of a part, as its slowest part decides.
	secondPhaseMultiple = 2.5
	// objectiveMarginTicks is the number of ticks before the latency objective at which an answer is sent.
	objectiveMarginTicks = 3
	// deadlineMarginTicks is the number of ticks before the deadline at which a query ends.
	deadlineMarginTicks = 2
)

// queryTimes holds the times from which a query is handled differently.
type queryTimes struct {
	early time.Duration // from then on a partial answer is given, if time must be left for a second phase
	late  time.Duration // from then on an answer arrives after the latency objective
	end   time.Duration // from then on the query ends with the answers it has
}

// timesOf returns the times of the current phase of a query.
func (a *Aggregator) timesOf(q *query) queryTimes {
	late := q.objective - objectiveMarginTicks*a.settings.Tick
	return queryTimes{
		early: late - a.secondPhaseTime(q),
		late:  late,
		end:   q.deadline - deadlineMarginTicks*a.settings.Tick,
	}
}

// pauseReserve returns how much of the time left to a query of the class is not used, at most half of it.
//
// It prevents lost queries: a process that pauses past the end of a query answers too late, and the client sees only its
// own timeout. The first pause comes without warning, so there is always a reserve; after a pause the next one may be as long.
// The cost is the answers that would arrive in the last moment of a short deadline.
func (a *Aggregator) pauseReserve(class int, left time.Duration) time.Duration {
	pause := a.pauses.longest + a.pauses.longest/8
	return min(max(scale(reserveShare, a.settings.Classes[class].Deadline), pause), left/2)
}

// usefulUntil returns until when an answer is worth its work: the deadline, or the latency objective if a late answer earns
// little or the whole fleet is slow, as late answers then take the capacity of queries that are in time and prolong the
// overload.
func (a *Aggregator) usefulUntil(q *query) time.Duration {
	if c := &a.settings.Classes[q.class]; c.LateShare < minLateShare || a.latency.medianExcess > a.typicalLatency() {
		return q.objective
	}
	return q.deadline
}

// secondPhaseTime returns how long the second phase of a query may take, or 0 if none follows. A partial answer that leaves
// no time for the second phase earns nothing.
func (a *Aggregator) secondPhaseTime(q *query) time.Duration {
	c := &a.settings.Classes[q.class]
	if q.phase > 0 || c.SecondPhaseParts == 0 {
		return 0
	}
	if estimate := a.latencyOfPhase(q.class, 1); estimate.tail.samples > 0 {
		return min(scale(secondPhaseMultiple*estimate.tail.value, time.Second), c.LatencyObjective/2)
	}
	return c.LatencyObjective / 4
}
