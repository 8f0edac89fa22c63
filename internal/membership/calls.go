package membership

// This file owns when a source that is watched is called for its list: how long silence is borne, how long a call may
// wait, and the pause before the next. It must never look at a clock, open a connection, or let the size of a fleet
// put off what the rule on drains wants.
//
// A list comes in one of two ways, which the settings tell:
//
//	pushed  an agent on the coordinator's own machine answers at once and at no cost. While discovery is down it is
//	        silent. What it has counts as told, whether or not a watch is open.
//	asked   one service lists to all coordinators in turn. What it has counts as told once it was written, or as Told
//	        says; calls that come together wait, are given up, and keep it overbooked.
//
// With G the grace of drains, and a the time that an answer takes to come and be taken in, these hold:
//
//	silence is noticed after Quiet, within what counts as told:  Quiet + first pause + a <= Told + G
//	pushed, no watch open:  Patience + pause + a <= G, with Patience = G/2 and pause <= G/8: a <= 3G/8 is borne
//	asked, a watch has ended:  first pause <= (Told + G - Quiet) / 2, the other half is the call's turn
//	asked, calls bring nothing:  pause <= AskEvery, the settings' own clock for one that has not asked
//
//	a list of an earlier run, not confirmed yet:  used for Confirm = 3G/4 at most
//
// Where discovery falls silent nothing new can be heard: the coordinator goes on with the list in hand.

import "time"

// The protocol's clocks.
const (
	// Beat is how often an open watch brings a line at least.
	KeepAliveInterval = 2 * time.Second
	// Told is how long after a watch fell silent what it misses counts as told.
	NotifiedAfter = 6 * time.Second
	// Quiet is how long a watch may be silent before it is opened anew: two lines were missed.
	SilenceTimeout = 2 * KeepAliveInterval
)

const (
	// A list costs a service work for each line and each coordinator that calls for it. In lineTime it has surely done
	// a line's.
	lineTime = time.Millisecond
	// leastPause is the least span that a pause towards a service is drawn from. It doubles up to mostPause, or to twice
	// the first, whichever is longer.
	leastPause = 400 * time.Millisecond
	mostPause  = time.Second
	// usualAsk stands in for AskEvery where the settings lack it.
	usualAsk = 10 * time.Second
	// leastGrace is the shortest grace that calls of an agent are paced for, so that a missing one costs no processor.
	leastGrace = 200 * time.Millisecond
)

// PollSchedule settles when one source is called. The zero value is an asked source of one coordinator.
type PollSchedule struct {
	Pushed   bool          // the list comes from an agent of our own
	Peers    int           // coordinators that call the same service
	Lines    int           // of the list as it was last held; 0 where none is
	Grace    time.Duration // within which a drain that is told must be heard
	Interval time.Duration // settings' period; 0 where they have none

	vain    int  // calls in a row that brought nothing
	watched bool // the last call that brought something was a watch, which has ended
}

// grace is the grace that pauses go by.
func (c *PollSchedule) grace() time.Duration { return max(c.Grace, leastGrace) }

// crowd is how long a service may take for the lists of all coordinators, one after the other.
func (c *PollSchedule) crowd() time.Duration { return time.Duration((c.Peers+1)*c.Lines) * lineTime }

// longest is the longest pause once calls bring nothing.
func (c *PollSchedule) longest() time.Duration {
	if c.Interval > 0 {
		return c.Interval
	}
	return usualAsk
}

// Timeout is how long a call may bring nothing before it is given up.
func (c *PollSchedule) Timeout() time.Duration {
	if c.Pushed {
		return min(c.grace()/2, SilenceTimeout)
	}
	return SilenceTimeout
}

// ConfirmTimeout is how long a list of an earlier run may be used before the source has answered. What the source had by the start
// counts as told from then on, and the rest of the grace is for what is on its way then.
func (c *PollSchedule) ConfirmTimeout() time.Duration { return c.grace() * 3 / 4 }

// FirstDelay is how long the first call is put off; draw is from 0 to 1. What is listed may be a drain that the list in hand
// does not know of, so half of the grace bounds it, and where no list is held it can't wait.
func (c *PollSchedule) FirstDelay(draw float64) time.Duration {
	if c.Pushed {
		return 0
	}
	return share(draw, min(c.crowd(), c.grace()/2))
}

// RetryDelay is how long to wait before the next call, once one has ended. Towards a service the pauses are drawn from the
// time that all coordinators' calls take, and double with each call that brings nothing.
func (c *PollSchedule) RetryDelay(draw float64) time.Duration {
	vain, watched := c.vain, c.watched
	c.vain, c.watched = vain+1, false
	if c.Pushed {
		most := min(c.grace(), KeepAliveInterval) / 8
		return most/2 + share(draw, most/2)
	}
	span := max(c.crowd(), leastPause)
	if watched {
		return share(draw, min(span, (NotifiedAfter+c.Grace-SilenceTimeout)/2))
	}
	return share(draw, min(span<<min(vain, 8), max(2*span, mostPause), c.longest()))
}

// Succeeded notes that a call has brought something.
func (c *PollSchedule) Succeeded() { c.vain, c.watched = 0, true }

func share(draw float64, span time.Duration) time.Duration {
	return time.Duration(draw * float64(span))
}
