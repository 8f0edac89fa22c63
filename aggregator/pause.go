package aggregator

import "time"

const (
	pauseLifetime = 8.0 // longest aims for which a standstill is expected again
)

// noticeStandstill notes whether this node itself stood still: its turn comes later than the wake that it
// asked for. What ended meanwhile is told late, and its latency counts without the delay.
func (a *Aggregator) detectPause() {
	if a.pauseDetector.stepDelay = 0; a.now-a.pauseDetector.lastPause > scale(pauseLifetime, a.maxObjective()) {
		a.pauseDetector.longestPause = 0
	}
	if a.wakeAt < 0 || a.now < a.wakeAt {
		return
	}
	if lag := a.now - a.wakeAt; lag > 4*a.settings.Tick {
		a.pauseDetector.stepDelay, a.pauseDetector.longestPause, a.pauseDetector.lastPause = lag, max(lag, a.pauseDetector.longestPause), a.now
	}
	a.wakeAt = -1
}

// pauseDetector notes when this node itself stood still.
type pauseDetector struct {
	stepDelay    time.Duration // how late this round came
	longestPause time.Duration // longest pause lately
	lastPause    time.Duration // when the last one ended
}
