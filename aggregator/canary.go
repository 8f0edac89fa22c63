package aggregator

import (
	"math"
	"time"
)

const (
	// queryOfDeathResets is the number of resets without any answer that makes a query a query of death.
	queryOfDeathResets = 2
	// canaryFleetShare is the share of the replicas to which a query may be sent before its first answer.
	canaryFleetShare = 0.12
	// canaryWaitShare is the time that the other parts wait for the first answer, as a share of the latency objective.
	canaryWaitShare = 0.12
)

// queryOfDeathGuard records the signs that queries crash the replicas that run them.
type queryOfDeathGuard struct {
	lastCrash time.Duration // when a replica last died without draining; 0 for never
	lastFound time.Duration // when a query was last ended as a query of death; 0 for never
}

// queryCanary holds the results of the first parts of a query.
type queryCanary struct {
	firstSend time.Duration // of any part; 0 for none
	resets    int           // attempts that ended with a connection reset
	idleReset bool          // an attempt on an idle connection was reset
	answered  bool          // a part was answered
}

// canaryLimit returns how many calls a query may open now, and until when the limit holds.
//
// It contains a query of death (Beyer et al., "Site Reliability Engineering", chapter 22): a query that crashes every
// replica that runs it takes down one replica after another as its parts are retried. The symptoms are replicas of
// several shards that restart within a second, and clients that send the same query again. Until a part is answered, a query
// therefore reaches only a small share of the fleet, and one replica at a time after a reset or while a query of death was
// found recently; after queryOfDeathResets resets it is rejected or failed. The limit costs the latency of one part, so it
// applies only once a replica has crashed or the query has had a reset.
func (a *Aggregator) canaryLimit(q *query) (calls int, until time.Duration) {
	canary := &q.canary
	until = canary.firstSend + scale(canaryWaitShare, a.settings.Classes[q.class].LatencyObjective)
	suspect := canary.resets > 0 || canary.idleReset
	waited := canary.firstSend > 0 && a.now >= until
	if a.queryOfDeath.lastCrash == 0 && !suspect || canary.answered || waited && !suspect {
		return math.MaxInt32, until
	}
	calls = max(1, int(canaryFleetShare*float64(len(a.endpoints.replicas))))
	if suspect || a.queryOfDeath.lastFound > 0 && a.now-a.queryOfDeath.lastFound < a.settings.Rules.WarmupTime {
		calls = 1
	}
	return calls - q.openCalls(), until
}

// openCalls returns the number of open calls of a query, each counted by its first attempt.
func (q *query) openCalls() (n int) {
	for _, p := range q.parts {
		for _, t := range p.attempts {
			if t.open && t.call.first == t {
				n++
			}
		}
	}
	return n
}
