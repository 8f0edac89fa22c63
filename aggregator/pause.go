package aggregator

import "time"

const (
	pauseLifetime = 8.0 // longest aims for which a standstill is expected again
)

// noticeStandstill notes whether this node itself stood still: its turn comes later than the wake that it
// asked for. What ended meanwhile is told late, and its latency counts without the delay.
func (a *Aggregator) detectPause() {
	if a.pauses.delay = 0; a.now-a.pauses.last > scale(pauseLifetime, a.maxObjective()) {
		a.pauses.longest = 0
	}
	if a.wakeAt < 0 || a.now < a.wakeAt {
		return
	}
	if lag := a.now - a.wakeAt; lag > 4*a.settings.Tick {
		a.pauses.delay, a.pauses.longest, a.pauses.last = lag, max(lag, a.pauses.longest), a.now
	}
	a.wakeAt = -1
}

// pauseDetector notes when this node itself stood still.
type pauseDetector struct {
	delay   time.Duration // how late this round came
	longest time.Duration // longest pause lately
	last    time.Duration // when the last one ended
}
