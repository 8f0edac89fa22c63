package aggregator

import (
	"math"
	"time"
)

const (
	excessSampleWeight   = 0.3  // of a new sample in a replica's excess
	baseQuantile         = 0.10 // of a class's latencies: what a part takes on an unloaded replica
	tailQuantile         = 0.95 // and what few exceed
	minQuantileStep      = 0.02 // least share by which a quantile follows a new value
	assumedLatencyShare  = 0.1  // share of the aim that a part is taken to need before any was answered
	fleetSampleWeight    = 0.05 // of a new sample in the fleet's excess
	answerIntervalsKept  = 3.0  // times between two answers of a replica for which what was heard of it holds
	intervalSampleWeight = 0.01 // of a new sample in that time
)

// latency is what has been learned of the parts of one step of a class, in seconds.
type latencyEstimate struct{ base, median, tail quantile }

// stepsPerQuery is the most steps that a query has.
const stepsPerQuery = 2

func newLatencyEstimates(n int) []latencyEstimate {
	all := make([]latencyEstimate, n)
	for i := range all {
		all[i] = latencyEstimate{
			base: quantile{target: baseQuantile}, median: quantile{target: 0.5}, tail: quantile{target: tailQuantile},
		}
	}
	return all
}

// quantile follows one quantile of a stream by small steps in proportion to its value.
type quantile struct {
	value, target float64
	samples       int
}

func (q *quantile) add(x float64) {
	q.samples++
	if q.samples == 1 {
		q.value = x
		return
	}
	step := math.Max(minQuantileStep, 1/float64(q.samples+1))
	if x > q.value {
		q.value *= 1 + step*q.target
	} else {
		q.value *= 1 - step*(1-q.target)
	}
}

// stat is what has been learned of parts like p.
func (a *Aggregator) latencyOf(q *query) *latencyEstimate {
	return &a.latency.classes[2*q.class+min(q.step, 1)]
}

// usual is the latency of a part on an unloaded replica, in seconds; a share of the aim until learned.
func (a *Aggregator) baseLatency(q *query) float64 {
	if s := a.latencyOf(q); s.base.samples > 0 {
		return s.base.value
	}
	return assumedLatencyShare * a.settings.Classes[q.class].LatencyObjective.Seconds()
}

// typical is the mean of the classes' median latencies.
func (a *Aggregator) typicalLatency() float64 {
	sum, n := 0.0, 0.0
	for i := range a.latency.classes {
		if s := &a.latency.classes[i]; s.median.samples > 0 {
			sum, n = sum+s.median.value, n+1
		}
	}
	if n == 0 {
		return assumedLatencyShare * a.maxObjective().Seconds()
	}
	return sum / n
}

// expect is how long a part sent to r now may take: what r shows, or what its calls of ours will take at
// the pace at which calls have been answered. The pace sees a wave as it is sent, the excess only as it
// returns.
func (a *Aggregator) expectedLatency(q *query, r *replica) float64 {
	return math.Max(a.currentExcess(r)+a.decayedPeerWork(r)+a.baseLatency(q), math.Max(r.latency.timePerCall, a.latency.timePerCall)*float64(r.calls.open+1))
}

// excess is what a part sent to r now must expect above the usual: recent answers, or the age of the
// oldest attempt since the last answer, which tells of a pause or a hang before any answer does. An older
// one that others have overtaken tells of its part, not of r.
func (a *Aggregator) currentExcess(r *replica) float64 {
	x := a.decayedExcess(r)
	for _, t := range r.calls.inFlight {
		if t.open && r.latency.lastAnswer < t.sentAt {
			x = math.Max(x, (a.now-t.sentAt).Seconds()-a.baseLatency(t.part.query))
			break
		}
	}
	return x
}

// faded is the excess of a replica. Where nothing new is heard of it, over the longest aim it turns into
// that of the fleet, which a node with little traffic knows sooner, and that into none where no replica
// is heard.
func (a *Aggregator) decayedExcess(r *replica) float64 {
	pool := a.decayedFleetExcess(a.latency.excess)
	return pool + (r.latency.excess-pool)*math.Exp(-(a.now-r.latency.excessAt).Seconds()/a.observationLifetime().Seconds())
}

// fade is a figure of the fleet, less the longer nothing is heard of any replica.
func (a *Aggregator) decayedFleetExcess(x float64) float64 {
	return x * math.Exp(-(a.now-a.latency.excessAt).Seconds()/a.maxObjective().Seconds())
}

// memory is how long what was heard of a replica holds: the longest aim, or where this node's share of the traffic is
// so small that it hears a replica more seldom, a few times the usual time between two answers.
func (a *Aggregator) observationLifetime() time.Duration {
	return max(a.maxObjective(), scale(answerIntervalsKept, a.latency.answerInterval))
}

// learn takes a latency into the accounts of its class, its replica and the fleet.
func (a *Aggregator) recordLatency(t *attempt, took float64) {
	r, p := t.replica, t.part
	r.latency.unanswered = 0
	s := a.latencyOf(p.query)
	if t.call.size <= 1 {
		s.base.add(took)
	}
	s.median.add(took)
	s.tail.add(took)
	over := math.Max(0, took-a.baseLatency(p.query))
	r.latency.excess, r.latency.excessAt = (1-excessSampleWeight)*a.decayedExcess(r)+excessSampleWeight*over, a.now
	a.latency.excess, a.latency.excessAt = a.latency.excess+fleetSampleWeight*(over-a.latency.excess), a.now
	a.recordGossip(r, gossipExcess, scale(over, time.Second))
	if r.latency.answers++; r.latency.answers == 1 {
		r.latency.timePerCall = took / float64(t.callPosition)
	}
	r.latency.timePerCall += excessSampleWeight / 2 * (took/float64(t.callPosition) - r.latency.timePerCall)
}

// learnAtLeast takes in an attempt that was given up: how long it would have taken is not known, only that it is longer than
// this. Where nothing was said of it, a jam in which all is given up was forgotten as it lasted. The first without an answer
// between says nothing yet, nor does silence on a connection that had idled while such are found dead.
func (a *Aggregator) recordAbandoned(t *attempt, took float64) {
	r := t.replica
	r.latency.unanswered++
	over := took - a.baseLatency(t.part.query)
	if r.latency.unanswered < 2 || over <= a.decayedExcess(r) || a.onIdleConn(t) && (r.conns.silentIdle > 0 || a.idleTimeout() > 0) {
		return
	}
	r.latency.excess, r.latency.excessAt = over, a.now
	a.latency.excess, a.latency.excessAt = a.latency.excess+fleetSampleWeight*(over-a.latency.excess), a.now
}

// replicaLatency is what the answers of one replica show of its speed.
type replicaLatency struct {
	excess         float64       // recent latency above the base of the class, in seconds
	excessAt       time.Duration // when excess was last brought up to date
	timePerCall    float64       // seconds that a call takes for each of this aggregator's calls that is open
	answers        int
	unanswered     int           // attempts given up since the last answer
	answeredSendAt time.Duration // when the latest attempt that was answered had been sent
	lastAnswer     time.Duration // 0 before the first
}

// fleetLatency is what all answers show, of each class and of the fleet as a whole.
type fleetLatency struct {
	classes        []latencyEstimate // two for each class, one a step
	timePerCall    float64           // upper quartile of the replicas' time per call, in seconds
	medianExcess   float64           // of the replicas that are in use, in seconds
	excess         float64           // excess of recent answers of any replica, in seconds
	excessAt       time.Duration     // when fleetExcess was last brought up to date
	lastAnswer     time.Duration     // of any replica
	answerInterval time.Duration     // mean time between two answers of one replica
	intervals      int               // how many intervals the mean is of
}
