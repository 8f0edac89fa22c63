package flight

import "time"

// Bounds of the pauses between connections that fail; they double.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// backoff is when the next connection may be opened, once some have failed. Its methods take the time; it reads no clock.
type backoff struct {
	failures int
	until    time.Time
}

// ready tells whether a connection may be opened.
func (b *backoff) ready(now time.Time) bool { return !now.Before(b.until) }

// succeeded notes that a connection came up.
func (b *backoff) succeeded() { *b = backoff{} }

// failed notes that a connection did not come up; jitter within 0 and 1 spreads those who wait for the same data node.
func (b *backoff) failed(now time.Time, jitter float64) {
	if b.failures++; b.failures > 1 { // one may fail by chance, and is tried anew at once
		pause := min(minBackoff<<min(b.failures-2, 10), maxBackoff)
		b.until = now.Add(time.Duration(float64(pause) * (0.5 + jitter/2)))
	}
}
