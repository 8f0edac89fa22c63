package aggregator

import (
	"math"
	"slices"
	"time"
)

const (
	maxMeanOverBase  = 1.8 // latencies of light parts that the mean work of parts is taken for at most
	assumedWorkShare = 0.2 // and the share of the aim before any was answered
	minWarmupCalls   = 8.0 // calls of all nodes in a falling window among which chance evens out
)

// load is work sent to a cold replica.
type sentWork struct {
	sentAt time.Duration
	work   float64
}

// startSlowStart notes a start. A replica that appears without a time of start has started about now.
func (a *Aggregator) startSlowStart(r *replica, started time.Duration, unknown bool) {
	if unknown {
		started = a.now
	}
	if started > 0 && a.now-started < a.settings.Rules.WarmupTime {
		r.slowStart.active, r.slowStart.start = true, max(started, r.slowStart.start)
		r.outlier.ejected, r.outlier.failures, r.latency.excess = false, 0, 0
	}
}

// slowStartRoom presumes one unit of work at a time, the slowest ramp and the other front nodes sending as
// much. Where a node's share is less than a part, it accrues and may be saved up for two falling windows.
// Calls are then rationed by chance: a die thrown anew with each one, and each window, says how much of it
// must have accrued, so that nodes don't send in step, and what is sent ahead is paid later. The die counts
// one window's share at most, as all may have saved. A call holds more parts while all nodes' room is large.
func (a *Aggregator) slowStartAllows(p *part, r *replica) bool {
	b := a.settings.Rules
	if b.OverloadMultiple == 0 || b.OverloadWindow == 0 {
		return true
	}
	grown := min(1, max(0, (a.now-r.slowStart.start).Seconds()/math.Max(b.WarmupTime.Seconds(), 1e-3)))
	all := b.OverloadMultiple * (b.InitialCapacity + (1-b.InitialCapacity)*grown) * b.OverloadWindow.Seconds()
	room, work := all/float64(a.settings.Aggregators), a.expectedWork(p)
	r.slowStart.sends = slices.DeleteFunc(r.slowStart.sends, func(l sentWork) bool { return l.sentAt < a.now-b.OverloadWindow })
	sum := 0.0
	for _, l := range r.slowStart.sends {
		sum += l.work
	}
	if r.slowStart.accruedAt < r.slowStart.start {
		r.slowStart.accruedAt, r.slowStart.allowance = r.slowStart.start, 0
	}
	r.slowStart.allowance = math.Min(r.slowStart.allowance+room*(a.now-r.slowStart.accruedAt).Seconds()/b.OverloadWindow.Seconds(), 2*room)
	if r.slowStart.accruedAt = a.now; a.now >= r.slowStart.drawnAt+b.OverloadWindow {
		r.slowStart.drawnAt, r.slowStart.draw = a.now, a.rng.Float64()
	}
	if room < work {
		most := max(1, int(all/(minWarmupCalls*work)))
		return a.joinsCall(p, r) && r.calls.current.size < most ||
			math.Min(r.slowStart.allowance, room) >= work*float64(min(most, a.partsFor(p.query, r)))*r.slowStart.draw
	}
	return sum+work*r.slowStart.draw <= room
}

// expectedWork is the mean work that a part is expected to bring, its call included. That of
// light parts is known from an unloaded replica; the median holds the wait under load too, and is bounded.
func (a *Aggregator) expectedWork(p *part) float64 {
	mean := a.baseLatency(p.query)
	if s := a.latencyOf(p.query); s.median.samples > 0 {
		mean = min(max(mean, s.median.value), maxMeanOverBase*mean)
	} else {
		mean = max(mean, assumedWorkShare*a.settings.Classes[p.query.class].LatencyObjective.Seconds())
	}
	return math.Max(mean, p.work) + a.settings.CallCost.Seconds()
}

// slowStart is the state of one replica that has just started and is ramped up.
type slowStart struct {
	active    bool
	start     time.Duration
	sends     []sentWork    // within the overload window
	allowance float64       // work in seconds that this aggregator may send; below 0 where it was sent ahead
	accruedAt time.Duration // until when allowance is counted
	draw      float64       // random share of a call that must fit into the allowance, in [0, 1)
	drawnAt   time.Duration
}
