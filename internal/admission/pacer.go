package admission

import "time"

// Pacer spreads events over time, by the generic cell rate algorithm (a token bucket). It delays and never rejects:
//
//	the event is due, or at most Burst intervals early   no delay
//	it is earlier                                        until it is Burst intervals early
//	that would be over MaxDelay                          MaxDelay: the backlog grows no further
//
// The zero time means that nothing has happened yet. A Pacer is not safe for concurrent use.
type Pacer struct {
	Interval time.Duration // between two events; 0 delays none
	Burst    int           // events that may go on at once
	MaxDelay time.Duration

	next time.Time // when the next event is due if there is no burst
}

// Delay counts an event at now and returns how long it must wait.
func (p *Pacer) Delay(now time.Time) time.Duration {
	if p.next.Before(now) {
		p.next = now
	}
	allowance := time.Duration(p.Burst) * p.Interval
	delay := min(max(0, p.next.Sub(now)-allowance), p.MaxDelay)
	p.next = p.next.Add(p.Interval)
	if latest := now.Add(allowance + p.MaxDelay); p.next.After(latest) {
		p.next = latest
	}
	return delay
}
