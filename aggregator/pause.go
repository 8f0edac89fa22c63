package aggregator

import "time"

const (
	// pauseLifetime is for how many longest latency objectives after a pause of this node another one is expected.
	pauseLifetime = 8.0
	// minPauseTicks is by how many ticks a round must come late to count as a pause.
	minPauseTicks = 4
)

// pauseDetector notes pauses of this node: garbage collection, a busy host, a suspended machine.
type pauseDetector struct {
	delay   time.Duration // by how much the current round came late; 0 if it did not
	longest time.Duration // longest pause within pauseLifetime
	last    time.Duration // when the last pause ended
}

// detectPause notes a round that comes later than the wake that it asked for. What ended meanwhile is reported late, so
// its latency counts without the delay.
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
