package membership

import "time"

// The clocks of the discovery protocol.
const (
	// KeepAliveInterval is how often an open watch brings a line at least.
	KeepAliveInterval = 2 * time.Second
	// NotifiedAfter is how long after a watch fell silent what it misses counts as notified.
	NotifiedAfter = 6 * time.Second
	// SilenceTimeout is how long a watch may be silent before it is opened anew: two lines were missed.
	SilenceTimeout = 2 * KeepAliveInterval
)

const (
	// listTimePerLine bounds the work that one line of a list costs a service for each coordinator that polls it.
	listTimePerLine = time.Millisecond
	// minSpan is the least span that a delay towards a service is drawn from. It doubles up to maxSpan, or to twice the
	// first, whichever is longer.
	minSpan = 400 * time.Millisecond
	maxSpan = time.Second
	// maxDoublings bounds the shift of the span.
	maxDoublings = 8
	// defaultInterval stands in for PollSchedule.Interval where the settings have none.
	defaultInterval = 10 * time.Second
	// minGrace is the shortest grace that polls of an agent are paced for, so that a missing agent costs no processor.
	minGrace = 200 * time.Millisecond
)

// PollSchedule settles when one source is polled: how long silence is borne, how long a poll may wait, and the delay
// before the next. A list comes in one of two ways, by the settings:
//
//	pushed  an agent on the coordinator's own machine answers at once and at no cost. While discovery is down it is
//	        silent. What it has counts as notified, whether or not a watch is open.
//	polled  one service lists to all coordinators in turn. What it has counts as notified once it was written, or
//	        after NotifiedAfter; polls that come together wait, are given up, and keep it overloaded.
//
// With G the grace of drains, and a the time that an answer takes to come and be applied, these hold:
//
//	silence is noticed within what counts as notified:  SilenceTimeout + first delay + a <= NotifiedAfter + G
//	pushed, no watch open:  Timeout + delay + a <= G, with Timeout = G/2 and delay <= G/8, so a <= 3G/8 is borne
//	polled, a watch has ended:  first delay <= (NotifiedAfter + G - SilenceTimeout) / 2; the poll has the other half
//	polled, polls bring nothing:  delay <= Interval
//	a list of an earlier run, not confirmed yet:  used for ConfirmTimeout = 3G/4 at most
//
// Where discovery falls silent nothing new can be learned: the coordinator goes on with the list that it has. The zero
// value is a polled source of one coordinator.
type PollSchedule struct {
	Pushed   bool          // the list comes from an agent on the own machine
	Peers    int           // other coordinators that poll the same service
	Lines    int           // of the list as last known; 0 where none is
	Grace    time.Duration // within which a drain must be heard of once it counts as notified
	Interval time.Duration // the settings' poll interval; 0 where they have none

	failures  int  // polls in a row that brought nothing
	fromWatch bool // the last poll that brought something was a watch, which has ended
}

// grace is the grace that delays go by.
func (p *PollSchedule) grace() time.Duration { return max(p.Grace, minGrace) }

// listTime is how long a service may take for the lists of all coordinators, one after the other.
func (p *PollSchedule) listTime() time.Duration {
	return time.Duration((p.Peers+1)*p.Lines) * listTimePerLine
}

// maxDelay is the longest delay once polls bring nothing.
func (p *PollSchedule) maxDelay() time.Duration {
	if p.Interval > 0 {
		return p.Interval
	}
	return defaultInterval
}

// Timeout is how long a poll may bring nothing before it is given up.
func (p *PollSchedule) Timeout() time.Duration {
	if p.Pushed {
		return min(p.grace()/2, SilenceTimeout)
	}
	return SilenceTimeout
}

// ConfirmTimeout is how long a list of an earlier run may be used before the source has answered. What the source had by
// the start counts as notified from then on; the rest of the grace is for what is on its way then.
func (p *PollSchedule) ConfirmTimeout() time.Duration { return p.grace() * 3 / 4 }

// FirstDelay is how long the first poll is put off; draw is uniform in [0, 1). The service may list a drain that the
// cached list does not have, so half of the grace bounds it. Without a list it is 0.
func (p *PollSchedule) FirstDelay(draw float64) time.Duration {
	if p.Pushed {
		return 0
	}
	return portion(draw, min(p.listTime(), p.grace()/2))
}

// RetryDelay is how long to wait before the next poll, once one has ended; draw is uniform in [0, 1). Towards a service
// delays are drawn from the time that the polls of all coordinators take, and double with each poll that brings nothing.
func (p *PollSchedule) RetryDelay(draw float64) time.Duration {
	failures, fromWatch := p.failures, p.fromWatch
	p.failures, p.fromWatch = failures+1, false
	if p.Pushed {
		most := min(p.grace(), KeepAliveInterval) / 8
		return most/2 + portion(draw, most/2)
	}
	span := max(p.listTime(), minSpan)
	if fromWatch {
		return portion(draw, min(span, (NotifiedAfter+p.Grace-SilenceTimeout)/2))
	}
	return portion(draw, min(span<<min(failures, maxDoublings), max(2*span, maxSpan), p.maxDelay()))
}

// Succeeded notes that a poll has brought something.
func (p *PollSchedule) Succeeded() { p.failures, p.fromWatch = 0, true }

func portion(draw float64, span time.Duration) time.Duration {
	return time.Duration(draw * float64(span))
}
