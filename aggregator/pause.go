package aggregator

import "time"

const (
	// pauseLifetime is the time after a pause of the process in which another one is expected, in longest latency objectives.
	pauseLifetime = 8.0
	// minPauseTicks is the delay of a round, in ticks, above which it counts as a pause.
	minPauseTicks = 4
)

// pauseDetector detects pauses of the process, for example for garbage collection, on a busy host or when the host is suspended.
type pauseDetector struct {
	delay   time.Duration // delay of the current round; 0 if it came in time
	longest time.Duration // longest pause within pauseLifetime
	last    time.Duration // end of the last pause
}

// detectPause detects a round that comes later than the requested wake. Outcomes during the pause are reported late, so the
// delay is not counted in their latency.
func (a *Aggregator) detectPause() {
	a.pauses.delay = 0
	if a.now-a.pauses.last > scale(pauseLifetime, a.maxObjective()) {
		a.pauses.longest = 0
	}
	if a.wakeAt < 0 || a.now < a.wakeAt {
		return
	}
	if delay := a.now - a.wakeAt; delay > minPauseTicks*a.settings.Tick {
		a.pauses.delay, a.pauses.longest, a.pauses.last = delay, max(delay, a.pauses.longest), a.now
	}
	a.wakeAt = -1
}
