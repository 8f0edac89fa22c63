// Package lease decides who holds a duty: one coordinator at a time, for a lease with a term, under a fencing token that only
// increases. The lessor grants leases; it is part of the replicated store's state. The holder stops acting before its lease can be
// granted to another. Neither reads a clock or does I/O.
//
// The rules, with L the length of a lease and E the bound on clock drift: each clock runs at 1-E to 1+E times true time, and is
// never compared with another's, so it may jump when its process restarts, but not while it runs.
//
//	campaign   granted if the duty is free, or its lease has expired by the lessor's clock: a new term and a higher token
//	renew      granted to the holder of the term, expired or not, as long as no other holder has been granted the duty
//	version    both are granted only to a request that names the lease's version, which increases by one with each grant. A request
//	           with an older version gets the current one in reply, and the holder sends another at once: a coordinator that can
//	           send but not receive gets no duty, and keeps none
//	resign     frees the duty at once; the next campaign is granted
//	holder     may act for L (1-E)/(1+E) by its own clock, counted from when it sent the request that was granted
//	lessor     holds the duty for L by its own clock, counted from when it received the request
//	new leader it does not know how much of a lease has passed: each runs for L from the first request that the leader receives
//	fence      the store applies a write under a duty only while its token is the current one (statemachine.Condition); any other
//	           resource rejects a token that is lower than the highest it has seen
//
// So two holders never act at the same true time: a holder stops at most L/(1+E) of true time after it sent its request, and the
// lessor grants the next lease no sooner than L/(1+E) after it received that request, which is later. Writes that a holder sent
// before it stopped and that arrive later are rejected by the fence.
package lease

import (
	"errors"
	"fmt"
	"time"
)

// Config configures the leases of a duty. The zero value of a field stands for its default.
type Config struct {
	Length time.Duration // length of a lease; default 10 s
	Drift  float64       // bound on the drift of clocks, as a fraction; default 0.01
	Renew  float64       // fraction of Acting after which the holder renews; default 0.4
}

func (c Config) withDefaults() Config {
	if c.Length == 0 {
		c.Length = 10 * time.Second
	}
	if c.Drift == 0 {
		c.Drift = 0.01
	}
	if c.Renew == 0 {
		c.Renew = 0.4
	}
	return c
}

// Check returns an error for values out of range.
func (c Config) Check() error {
	c = c.withDefaults()
	if c.Length < 0 || !(c.Drift > 0 && c.Drift < 0.5) || !(c.Renew > 0 && c.Renew < 1) {
		return fmt.Errorf("lease: Length %v, Drift %v, Renew %v: Length is above 0, Drift above 0 and under 0.5, Renew between 0 and 1", c.Length, c.Drift, c.Renew)
	}
	return nil
}

// Acting returns how long a holder may act on a lease, by its own clock, counted from when it sent the request.
func (c Config) Acting() time.Duration {
	c = c.withDefaults()
	return time.Duration(float64(c.Length) * (1 - c.Drift) / (1 + c.Drift))
}

// Grant is a lease of a duty.
type Grant struct {
	Duty   string
	Holder string // empty for a free duty
	Term   uint64 // increases with each campaign that is granted
	Token  uint64 // the fencing token, increases with each term
	// Version is 1 for a duty that was never granted, and increases by 1 with each grant, renewals included.
	Version uint64
}

// The errors of requests.
var (
	ErrHeld     = errors.New("the duty is held by another")
	ErrTermOver = errors.New("the term is over: another has been granted the duty since, or it was given back")
	// ErrStaleVersion comes with the current version: a lease that the sender holds continues, and the next request is granted.
	ErrStaleVersion = errors.New("the lease has been granted since the version that the request names")
)

// AnyVersion is the version in requests of the log's first format, which names none. It matches every version of a lease.
const AnyVersion uint64 = 0
