package membership

import "time"

// The intervals of the discovery protocol.
const (
	// KeepAliveInterval is the longest time between two lines of an open watch.
	KeepAliveInterval = 2 * time.Second
	// NotifiedAfter is the time after which the changes missed by a silent watch count as notified.
	NotifiedAfter = 6 * time.Second
	// SilenceTimeout is the longest silence of a watch before it is reopened: two lines were missed.
	SilenceTimeout = 2 * KeepAliveInterval
)

const (
	// listTimePerLine is an upper bound of the time a service spends on one line of a list for each coordinator that polls it.
	listTimePerLine = time.Millisecond
	// minDelayWindow is the shortest window that a delay towards a service is drawn from. The window doubles up to
	// maxDelayWindow, or to twice its first length, whichever is longer.
	minDelayWindow = 400 * time.Millisecond
	maxDelayWindow = time.Second
	// maxDoublings limits the shift of the window.
	maxDoublings = 8
	// defaultInterval is used for PollSchedule.Interval if the settings have none.
	defaultInterval = 10 * time.Second
	// minGrace is the shortest grace period that polls of an agent are paced for, so that polling an absent agent takes
	// no noticeable processor time.
	minGrace = 200 * time.Millisecond
)

// PollSchedule determines when one source is polled: how long silence is tolerated, how long a poll may wait, and the delay
// before the next one. A list comes in one of two ways, by the settings:
//
//	pushed  an agent on the coordinator's own machine answers at once and at no cost. While discovery is down it is
//	        silent. What it lists counts as notified, whether or not a watch is open.
//	polled  one service sends its list to all coordinators in turn. A change counts as notified once it was written,
//	        or after NotifiedAfter; polls that come together queue up, time out, and keep the service overloaded.
//
// With G the grace period of drains, and a the time that an answer takes to arrive and be applied, these hold:
//
//	silence is detected in time:  SilenceTimeout + first delay + a <= NotifiedAfter + G
//	pushed, no watch open:  Timeout + delay + a <= G, with Timeout = G/2 and delay <= G/8, so a <= 3G/8 is tolerated
//	polled, a watch has ended:  first delay <= (NotifiedAfter + G - SilenceTimeout) / 2; the poll has the other half
//	polled, polls without a result:  delay <= Interval
//	a list of an earlier run, not confirmed yet:  used for ConfirmTimeout = 3G/4 at most
//
// While discovery is silent nothing new can be learned: the coordinator goes on with the list that it has. The zero value
// is a polled source of one coordinator.
type PollSchedule struct {
	Pushed     bool          // the list comes from an agent on the coordinator's own machine
	Peers      int           // number of other coordinators that poll the same service
	ListLength int           // lines of the list as last known; 0 if none is
	Grace      time.Duration // within which a drain must be learned once it counts as notified
	Interval   time.Duration // poll interval of the settings; 0 if they have none

	failures   int  // consecutive polls without a result
	afterWatch bool // the last poll with a result was a watch, which has ended
}

// grace returns the grace period that delays are computed from.
func (p *PollSchedule) grace() time.Duration { return max(p.Grace, minGrace) }

// listTime returns how long a service may take for the lists of all coordinators, one after the other.
func (p *PollSchedule) listTime() time.Duration {
	return time.Duration((p.Peers+1)*p.ListLength) * listTimePerLine
}

// maxDelay returns the longest delay after polls without a result.
func (p *PollSchedule) maxDelay() time.Duration {
	if p.Interval > 0 {
		return p.Interval
	}
	return defaultInterval
}

// Timeout returns how long a poll may wait for a result before it is abandoned.
func (p *PollSchedule) Timeout() time.Duration {
	if p.Pushed {
		return min(p.grace()/2, SilenceTimeout)
	}
	return SilenceTimeout
}

// ConfirmTimeout returns how long a list of an earlier run may be used before the source has answered. What the source had
// at the start counts as notified from then on; the rest of the grace period is for what is still in flight then.
func (p *PollSchedule) ConfirmTimeout() time.Duration { return p.grace() * 3 / 4 }

// FirstDelay returns the delay before the first poll; jitter is uniform in [0, 1). It is at most half of the grace period,
// as the service may list a drain that the cached list does not have. Without a list it is 0.
func (p *PollSchedule) FirstDelay(jitter float64) time.Duration {
	if p.Pushed {
		return 0
	}
	return portion(jitter, min(p.listTime(), p.grace()/2))
}

// RetryDelay returns the delay before the next poll, once one has ended; jitter is uniform in [0, 1). Towards a service it
// is drawn from the time that the polls of all coordinators take, which doubles with each poll without a result.
func (p *PollSchedule) RetryDelay(jitter float64) time.Duration {
	failures, afterWatch := p.failures, p.afterWatch
	p.failures, p.afterWatch = failures+1, false
	if p.Pushed {
		maxPushDelay := min(p.grace(), KeepAliveInterval) / 8
		return maxPushDelay/2 + portion(jitter, maxPushDelay/2)
	}
	window := max(p.listTime(), minDelayWindow)
	if afterWatch {
		return portion(jitter, min(window, (NotifiedAfter+p.Grace-SilenceTimeout)/2))
	}
	return portion(jitter, min(window<<min(failures, maxDoublings), max(2*window, maxDelayWindow), p.maxDelay()))
}

// Succeeded records that a poll had a result.
func (p *PollSchedule) Succeeded() { p.failures, p.afterWatch = 0, true }

func portion(jitter float64, window time.Duration) time.Duration {
	return time.Duration(jitter * float64(window))
}
