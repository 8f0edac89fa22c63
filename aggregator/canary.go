package aggregator

import (
	"math"
	"time"
)

const (
	queryOfDeathResets = 2    // replicas that may break under a query without any answer
	canaryFleetShare   = 0.12 // share of the fleet that a query may touch before its first answer
	canaryWaitShare    = 0.12 // share of the aim that the rest waits for that answer
)

// canaryLimit is how many parts of a query may go out now. A query that breaks what runs it shows nothing
// before, so until a part is answered it may touch a small share of the fleet, and one replica while on guard
// or once a part was reset. It also spares a fleet that fails for other reasons; it costs a part's latency.
func (a *Aggregator) canaryLimit(q *query) (room int, until time.Duration) {
	until = q.canary.firstSend + scale(canaryWaitShare, a.settings.Classes[q.class].LatencyObjective)
	shaken := q.canary.resets > 0 || q.canary.idleReset
	if a.queryOfDeath.lastCrash == 0 && !shaken || q.canary.answered || q.canary.firstSend > 0 && !shaken && a.now >= until {
		return math.MaxInt32, until
	}
	room = max(1, int(canaryFleetShare*float64(len(a.endpoints.replicas))))
	if a.queryOfDeath.lastFound > 0 && a.now-a.queryOfDeath.lastFound < a.settings.Rules.WarmupTime || shaken {
		room = 1
	}
	for _, p := range q.parts {
		for _, t := range p.attempts {
			if t.open && t.call.first == t {
				room--
			}
		}
	}
	return room, until
}

// queryOfDeathGuard notes the signs that a query breaks the replicas that run it.
type queryOfDeathGuard struct {
	lastCrash time.Duration // a replica last died without draining; 0 for never
	lastFound time.Duration // a query last broke the replicas that ran it; 0 for never
}

// queryCanary is what the first parts of a query show.
type queryCanary struct {
	firstSend time.Duration // of any part; 0 for none
	resets    int           // attempts that ended with the connection reset
	idleReset bool          // an attempt on an idle connection was reset
	answered  bool          // a part was answered
}
