package aggregator

import (
	"math"
	"slices"
	"time"
)

const (
	// maxMeanWorkMultiple bounds the mean work of a part, in base latencies, as the median latency includes waiting under
	// load.
	maxMeanWorkMultiple = 1.8
	// assumedWorkShare is the assumed work of a part, as a share of the latency objective, until a part of its class was
	// answered.
	assumedWorkShare = 0.2
	// minWarmupCalls is the number of calls of all aggregators that an overload window must hold for a call to have several
	// parts: with fewer, the random draws don't even out.
	minWarmupCalls = 8.0
	// minWarmupSeconds replaces a shorter warm-up time, in seconds, as the divisor of the time since the start, so that it is
	// never divided by 0.
	minWarmupSeconds = 1e-3
	// maxAccruedWindows is the largest allowance that an aggregator may accrue, in its shares of an overload window.
	maxAccruedWindows = 2
)

// slowStart is the warm-up of one replica that has just started.
type slowStart struct {
	active    bool
	start     time.Duration
	sends     []sentWork // within the last overload window
	allowance float64    // seconds of work that this aggregator may send; negative if work was sent ahead
	accruedAt time.Duration
	draw      float64 // share of a call that the allowance must cover, drawn from [0, 1)
	drawnAt   time.Duration
}

// sentWork is work sent to a replica in slow start.
type sentWork struct {
	sentAt time.Duration
	work   float64 // seconds
}

// startSlowStart starts the slow start of a replica whose process started at the given time, and clears its failures. A
// time of 0 means long ago.
func (a *Aggregator) startSlowStart(r *replica, started time.Duration) {
	if started > 0 && a.now-started < a.settings.Rules.WarmupTime {
		r.slowStart.active, r.slowStart.start = true, max(started, r.slowStart.start)
		r.outlier.ejected, r.outlier.decayedFailures, r.latency.excess = false, 0, 0
	}
}

// suspectRestart starts a slow start when a replica resets or refuses connections: its process may have restarted before
// the endpoint list says so.
func (a *Aggregator) suspectRestart(r *replica) {
	r.slowStart.active, r.slowStart.start = true, a.now
}

// endSlowStart ends the slow start of a replica that has warmed up.
func (a *Aggregator) endSlowStart(r *replica) {
	if r.slowStart.active && a.now-r.slowStart.start >= a.settings.Rules.WarmupTime {
		r.slowStart.active, r.slowStart.sends = false, nil
	}
}

// slowStartAllows reports whether a part may be sent to a replica in slow start.
//
// It prevents overloading a replica with cold caches, which would crash and start again. All aggregators together send it
// no more work in an overload window than its capacity on the ramp times Rules.OverloadMultiple; each assumes that the
// others send as much as it does. If the share of one aggregator is less than a part, the share accrues, and a random draw
// decides how much of a call must have accrued: the aggregators then don't send at the same moment, they send their shares
// on average, and work sent ahead is deducted later. At most one window's share counts toward the draw, as all aggregators
// may have saved theirs. Slow start is the term of Envoy and nginx, which do not divide it among several senders.
func (a *Aggregator) slowStartAllows(p *part, r *replica) bool {
	rules, s := &a.settings.Rules, &r.slowStart
	if rules.OverloadMultiple == 0 || rules.OverloadWindow == 0 {
		return true
	}
	capacity := a.slowStartCapacity(s)
	share, work := capacity/float64(a.settings.Aggregators), a.expectedWork(p)
	sent := s.sentSince(a.now - rules.OverloadWindow)
	s.accrue(a.now, share, rules.OverloadWindow)
	if a.now >= s.drawnAt+rules.OverloadWindow {
		s.drawnAt, s.draw = a.now, a.rng.Float64()
	}
	if share >= work {
		return sent+work*s.draw <= share
	}
	maxParts := max(1, int(capacity/(minWarmupCalls*work)))
	if a.joinsCall(p, r) && r.calls.current.size < maxParts {
		return true
	}
	parts := min(maxParts, a.batchableParts(p.query, r))
	return math.Min(s.allowance, share) >= work*float64(parts)*s.draw
}

// slowStartCapacity returns the work, in seconds, that all aggregators together may send in one overload window. It grows
// linearly over the warm-up time.
func (a *Aggregator) slowStartCapacity(s *slowStart) float64 {
	rules := &a.settings.Rules
	warmed := min(1, max(0, (a.now-s.start).Seconds()/math.Max(rules.WarmupTime.Seconds(), minWarmupSeconds)))
	return rules.OverloadMultiple * (rules.InitialCapacity + (1-rules.InitialCapacity)*warmed) * rules.OverloadWindow.Seconds()
}

// sentSince returns the work sent at or after t and drops the earlier sends.
func (s *slowStart) sentSince(t time.Duration) float64 {
	s.sends = slices.DeleteFunc(s.sends, func(sent sentWork) bool { return sent.sentAt < t })
	sum := 0.0
	for _, sent := range s.sends {
		sum += sent.work
	}
	return sum
}

// accrue adds to the allowance what has accrued since the last call; share is the work that accrues per window.
func (s *slowStart) accrue(now time.Duration, share float64, window time.Duration) {
	if s.accruedAt < s.start {
		s.accruedAt, s.allowance = s.start, 0
	}
	s.allowance = math.Min(s.allowance+share*(now-s.accruedAt).Seconds()/window.Seconds(), maxAccruedWindows*share)
	s.accruedAt = now
}

// spendSlowStartAllowance deducts work sent to a replica in slow start, and draws for the next call.
func (a *Aggregator) spendSlowStartAllowance(r *replica, work float64) {
	s := &r.slowStart
	s.allowance -= work
	s.sends = append(s.sends, sentWork{a.now, work})
	s.drawnAt, s.draw = a.now, a.rng.Float64()
}

// expectedWork returns the mean work of a part, in seconds, including the cost of its call.
func (a *Aggregator) expectedWork(p *part) float64 {
	mean := a.baseLatency(p.query)
	if estimate := a.latencyOf(p.query); estimate.median.samples > 0 {
		mean = min(max(mean, estimate.median.value), maxMeanWorkMultiple*mean)
	} else {
		mean = max(mean, assumedWorkShare*a.settings.Classes[p.query.class].LatencyObjective.Seconds())
	}
	return math.Max(mean, p.work) + a.settings.CallCost.Seconds()
}
