package aggregator

import (
	"math"
	"time"
)

const (
	// maxPhases is the maximum number of phases of a query.
	maxPhases = 2
	// baseQuantile is the quantile of latencies taken as the latency of an unloaded replica.
	baseQuantile = 0.10
	// tailQuantile is the quantile of latencies taken as the tail latency.
	tailQuantile = 0.95
	// minQuantileStep is the smallest step of a quantile estimate, as a share of its value.
	minQuantileStep = 0.02
	// assumedLatencyShare is the assumed latency of a part, as a share of the latency objective, until one was answered.
	assumedLatencyShare = 0.1
	// excessSampleWeight is the weight of a new sample in the excess latency of a replica.
	excessSampleWeight = 0.3
	// callTimeSampleWeight is the weight of a new sample in the time per call of a replica.
	callTimeSampleWeight = excessSampleWeight / 2
	// gossipSampleWeight is the weight of an excess latency reported by another aggregator.
	gossipSampleWeight = excessSampleWeight / 2
	// fleetSampleWeight is the weight of a new sample in the excess latency of the fleet.
	fleetSampleWeight = 0.05
	// intervalSampleWeight is the weight of a new sample in the mean interval between answers.
	intervalSampleWeight = 0.01
	// observationIntervals is the lifetime of an observation of a replica, in mean intervals between its answers.
	observationIntervals = 3.0
	// minAbandoned is the number of consecutive abandoned attempts from which their ages count as latencies.
	minAbandoned = 2
)

// latencyEstimate estimates the latency of the parts of one phase of a class, in seconds.
type latencyEstimate struct{ base, median, tail quantile }

func newLatencyEstimates(n int) []latencyEstimate {
	estimates := make([]latencyEstimate, n)
	for i := range estimates {
		estimates[i] = latencyEstimate{
			base: quantile{target: baseQuantile}, median: quantile{target: 0.5}, tail: quantile{target: tailQuantile},
		}
	}
	return estimates
}

// quantile estimates one quantile of a stream by stochastic approximation: each sample moves the estimate by a small share
// of its value, up in proportion to target or down in proportion to 1-target.
type quantile struct {
	value   float64
	target  float64 // in (0, 1)
	samples int
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

// replicaLatency is the latency of one replica as observed from its answers.
type replicaLatency struct {
	excess         float64       // latency above the base latency of the class, in seconds, as of excessAt
	excessAt       time.Duration // when excess was last sampled
	timePerCall    float64       // latency of a call divided by the open calls of this aggregator, in seconds
	answers        int           // number of answers so far
	abandoned      int           // attempts abandoned since the last answer
	answeredSendAt time.Duration // send time of the latest attempt that was answered
	lastAnswer     time.Duration // time of the last answer; 0 for none
}

// fleetLatency is the latency observed from all answers, by class and for the fleet.
type fleetLatency struct {
	classes        []latencyEstimate // maxPhases for each class
	timePerCall    float64           // upper quartile of the replicas' time per call, in seconds
	medianExcess   float64           // median excess latency of the replicas in use, in seconds
	excess         float64           // mean excess latency of recent answers of any replica, in seconds, as of excessAt
	excessAt       time.Duration     // when excess was last sampled
	lastAnswer     time.Duration     // time of the last answer of any replica
	answerInterval time.Duration     // mean interval between two answers of one replica
	intervals      int               // number of intervals in the mean
}

func (a *Aggregator) latencyOf(q *query) *latencyEstimate {
	return a.latencyOfPhase(q.class, min(q.phase, 1))
}

func (a *Aggregator) latencyOfPhase(class, phase int) *latencyEstimate {
	return &a.latency.classes[maxPhases*class+phase]
}

// baseLatency returns the latency of a part on an unloaded replica, in seconds, or a share of the objective until one is
// known.
func (a *Aggregator) baseLatency(q *query) float64 {
	if estimate := a.latencyOf(q); estimate.base.samples > 0 {
		return estimate.base.value
	}
	return assumedLatencyShare * a.settings.Classes[q.class].LatencyObjective.Seconds()
}

// typicalLatency returns the mean of the median latencies of all classes, in seconds.
func (a *Aggregator) typicalLatency() float64 {
	sum, n := 0.0, 0.0
	for i := range a.latency.classes {
		if estimate := &a.latency.classes[i]; estimate.median.samples > 0 {
			sum, n = sum+estimate.median.value, n+1
		}
	}
	if n == 0 {
		return assumedLatencyShare * a.maxObjective().Seconds()
	}
	return sum / n
}

// expectedLatency returns the expected latency of a part sent to r now, in seconds: by its recent answers, or by its open
// calls, whichever is longer. The second shows a burst as it is sent, the first only as its answers arrive.
func (a *Aggregator) expectedLatency(q *query, r *replica) float64 {
	byAnswers := a.currentExcess(r) + a.decayedPeerWork(r) + a.baseLatency(q)
	byCalls := math.Max(r.latency.timePerCall, a.latency.timePerCall) * float64(r.calls.open+1)
	return math.Max(byAnswers, byCalls)
}

// currentExcess returns by how many seconds a part sent to r now may exceed the base latency: by recent answers, or by the
// age of the oldest open attempt sent since the last answer, which shows a pause of the replica before any answer does.
func (a *Aggregator) currentExcess(r *replica) float64 {
	excess := a.decayedExcess(r)
	for _, t := range r.calls.inFlight {
		if t.open && r.latency.lastAnswer < t.sentAt {
			return math.Max(excess, (a.now-t.sentAt).Seconds()-a.baseLatency(t.part.query))
		}
	}
	return excess
}

// decayedExcess returns the excess latency of a replica by its answers, in seconds. Without new answers it decays
// exponentially to that of the fleet.
func (a *Aggregator) decayedExcess(r *replica) float64 {
	fleet := a.decayedFleetExcess()
	return fleet + (r.latency.excess-fleet)*math.Exp(-(a.now-r.latency.excessAt).Seconds()/a.observationLifetime().Seconds())
}

// decayedFleetExcess returns the excess latency of the fleet, in seconds. Without new answers of any replica it decays
// exponentially.
func (a *Aggregator) decayedFleetExcess() float64 {
	return a.latency.excess * math.Exp(-(a.now-a.latency.excessAt).Seconds()/a.maxObjective().Seconds())
}

// observationLifetime returns how long an observation of a replica holds: the longest latency objective, or longer if a
// replica answers this aggregator less often.
func (a *Aggregator) observationLifetime() time.Duration {
	return max(a.maxObjective(), scale(observationIntervals, a.latency.answerInterval))
}

// recordAnswerTime records when a replica answered.
func (a *Aggregator) recordAnswerTime(t *attempt) {
	fleet, latency := &a.latency, &t.replica.latency
	latency.answeredSendAt = max(latency.answeredSendAt, t.sentAt)
	if latency.lastAnswer > 0 && latency.lastAnswer < t.sentAt {
		fleet.intervals++
		weight := math.Max(intervalSampleWeight, 1/float64(fleet.intervals))
		fleet.answerInterval += scale(weight, a.now-latency.lastAnswer-fleet.answerInterval)
	}
	fleet.lastAnswer, latency.lastAnswer = a.now, a.now
}

// recordLatency adds the latency of an answer, in seconds, to the estimates of its class, its replica and the fleet.
func (a *Aggregator) recordLatency(t *attempt, took float64) {
	r, q := t.replica, t.part.query
	r.latency.abandoned = 0
	estimate := a.latencyOf(q)
	if t.call.size <= 1 {
		estimate.base.add(took)
	}
	estimate.median.add(took)
	estimate.tail.add(took)
	excess := math.Max(0, took-a.baseLatency(q))
	r.latency.excess, r.latency.excessAt = (1-excessSampleWeight)*a.decayedExcess(r)+excessSampleWeight*excess, a.now
	a.addFleetExcess(excess)
	a.recordGossip(r, gossipExcess, scale(excess, time.Second))
	timePerCall := took / float64(t.callPosition)
	if r.latency.answers++; r.latency.answers == 1 {
		r.latency.timePerCall = timePerCall
	}
	r.latency.timePerCall += callTimeSampleWeight * (timePerCall - r.latency.timePerCall)
}

// recordAbandoned records an attempt that was abandoned after the given seconds. Its latency is unknown but longer than
// that, so it counts only where it raises the excess.
//
// It prevents admitting queries into an overload in which all attempts are abandoned: without answers the excess would
// decay. The first attempt abandoned since an answer does not count, nor does one on an idle connection that may have been
// dead.
func (a *Aggregator) recordAbandoned(t *attempt, took float64) {
	r := t.replica
	r.latency.abandoned++
	excess := took - a.baseLatency(t.part.query)
	if r.latency.abandoned < minAbandoned || excess <= a.decayedExcess(r) ||
		a.onIdleConn(t) && (r.conns.lostCallIdle > 0 || a.idleTimeout() > 0) {
		return
	}
	r.latency.excess, r.latency.excessAt = excess, a.now
	a.addFleetExcess(excess)
}

func (a *Aggregator) addFleetExcess(excess float64) {
	a.latency.excess, a.latency.excessAt = a.latency.excess+fleetSampleWeight*(excess-a.latency.excess), a.now
}

// updateFleetLatency computes the latencies of the fleet from those of the replicas in use.
func (a *Aggregator) updateFleetLatency() {
	var excesses, callTimes []float64
	for _, r := range a.endpoints.replicas {
		if r.excluded || r.outlier.ejected {
			continue
		}
		excesses = append(excesses, a.currentExcess(r))
		if r.latency.timePerCall > 0 {
			callTimes = append(callTimes, r.latency.timePerCall)
		}
	}
	a.latency.medianExcess, a.latency.timePerCall = quartile(excesses, 2), quartile(callTimes, 3)
}
