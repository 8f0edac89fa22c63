package flight

import "time"

// Bounds of the pause after a failed connection. It doubles with each failure.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// backoff delays new connections to a data node after failures. Its methods take the current time as an argument.
type backoff struct {
	failures int
	until    time.Time
}

// ready reports whether a connection may be opened.
func (b *backoff) ready(now time.Time) bool { return !now.Before(b.until) }

// succeeded resets the pause after a connection came up.
func (b *backoff) succeeded() { *b = backoff{} }

// failed records that a connection did not come up. A random jitter between 0 and 1 keeps the clients of a data node from all
// reconnecting at the same time.
func (b *backoff) failed(now time.Time, jitter float64) {
	if b.failures++; b.failures > 1 { // a single failure may be chance; the next connection may follow at once
		pause := min(minBackoff<<min(b.failures-2, 10), maxBackoff)
		b.until = now.Add(time.Duration(float64(pause) * (0.5 + jitter/2)))
	}
}
