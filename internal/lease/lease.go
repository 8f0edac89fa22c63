// Package lease decides who holds a duty: one coordinator at a time, for a lease with a term, under a fencing token that only grows.
// The lessor grants leases; it is a part of the replicated store's state. The holder stops acting before its lease can be granted
// to another. Neither looks at a clock or does I/O.
//
// The rules, with L the length of a lease and E the bound on clocks: each clock runs between 1-E and 1+E of true time, and is
// never compared with another's, so that one may jump where its process is restarted, not while it runs.
//
//	campaign   granted where the duty is free, or its lease has expired by the lessor's clock: a new term and a higher token
//	renew      granted to the holder of the term, expired or not, as long as nobody else has been granted
//	version    both are granted only to a request that names the lease's version, which is higher by one with each grant. One that
//	           names an older version is told the current one, and the holder asks again at once: a coordinator that can send
//	           and not receive gets no duty, and keeps none
//	resign     frees the duty at once; the next campaign is granted
//	holder     may act for L (1-E)/(1+E) by its own clock, counted from when it sent the request that was granted
//	lessor     holds the duty for L by its own clock, counted from when it received the request
//	new leader it does not know how much of a lease has passed: each runs for L from its first moment on
//	fence      the store applies a write under a duty only while its token is the current one (statemachine.Condition); any other
//	           resource accepts a token that is the highest it has seen, or higher, and rejects a lower one
//
// So two holders never act at the same true time: the holder ends by L/(1+E) of true time after it sent, the lessor begins the
// next no sooner than L/(1+E) after it received the request, which is later. What a holder sent before it ended and what arrives
// after that is rejected by the fence.
package lease

import (
	"errors"
	"fmt"
	"time"
)

// Config configures the leases of a duty. The zero value of a field stands for its default.
type Config struct {
	Length time.Duration // of a lease; default 10 s
	Drift  float64       // the share by which clocks may run fast or slow; default 0.01
	Renew  float64       // the share of Acting after which the holder renews; default 0.4
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

// Acting returns how long a holder may act on a lease, by its own clock from when it sent the request.
func (c Config) Acting() time.Duration {
	c = c.withDefaults()
	return time.Duration(float64(c.Length) * (1 - c.Drift) / (1 + c.Drift))
}

// Grant is a lease of a duty.
type Grant struct {
	Duty   string
	Holder string // empty where it is free
	Term   uint64 // higher with each campaign that was granted
	Token  uint64 // the fencing token, higher with each term
	// Version is 1 for a duty that nobody held yet, and higher by 1 with each grant, renewals included.
	Version uint64
}

// The errors of requests.
var (
	ErrHeld     = errors.New("the duty is held by another")
	ErrTermOver = errors.New("the term is over: another has been granted the duty since, or it was given back")
	// ErrStaleVersion comes with the current version: a lease that the sender holds goes on, and the next request is granted.
	ErrStaleVersion = errors.New("the lease has been granted since the version that the request names")
)

// AnyVersion is the version of a request of the log's first form, which names none: it is granted without.
const AnyVersion uint64 = 0
