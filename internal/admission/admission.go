// Package admission decides which calls and queries a front admits, how many bytes of answers they may hold, and which slow
// reader is evicted when memory is short. It does no I/O, reads no clock, starts no goroutine and logs nothing: time comes in with each call, and the
// same calls in the same order give the same results.
//
// # The table
//
// Each pass counts in four scopes: its connection, its owner, its network, and all. A request is checked in this order, and the
// first scope whose limit is reached gives the rejection its scope and its Retry-After:
//
//	scope       streams   queries   queries a second   bytes
//	connection  yes       yes       yes                yes
//	owner       yes       yes       yes                yes
//	network     yes       yes       yes                yes
//	all         yes       yes       yes                yes
//
// A figure of 0 sets no limit. A rejected request counts nowhere.
//
// # Retry-After
//
// Over a rate: when the bucket has the token that was wanted (a token bucket: Rate a second, Burst at once). Over a
// number: the expected time until as many passes as must were released, by how often one of that scope was released of late (an
// exponentially weighted mean). Both within Config.MinRetryAfter and MaxRetryAfter, so that a client that waits as told is, on
// average, admitted.
//
// # When memory is short
//
// A newcomer for which there is no memory evicts readers that have made no progress for SlowReaderGrace, the longest first; of
// equals the one that holds more. Nobody is evicted for a newcomer that would still not be admitted, and nobody that makes
// progress is ever evicted. A reader without progress for StallTimeout is evicted in any case.
//
// Memory is bounded: a scope without passes is kept only while its bucket is not full again or its mean is young, and of
// those MaxIdleScopes at most.
package admission

import (
	"fmt"
	"time"
)

// Limits are the figures of one scope. 0 sets no limit.
type Limits struct {
	Streams int     // calls that are open
	Queries int     // queries that are open
	Rate    float64 // queries a second, on average
	Burst   float64 // queries at once after a pause; at least 1 where there is a rate
	Bytes   int64   // held by answers that are being read
}

// Config holds the limits of a Controller. The zero value of a duration or of MaxIdleScopes stands for its default.
type Config struct {
	Connection, Owner, Network, All Limits

	MinRetryAfter, MaxRetryAfter time.Duration // 50 ms and 5 s
	SlowReaderGrace              time.Duration // a reader without progress for as long may be cut for another; 1 s
	StallTimeout                 time.Duration // and for as long is cut in any case; 20 s
	MaxIdleScopes                int           // scopes kept without a pass; 4096
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		to *time.Duration
		by time.Duration
	}{{&c.MinRetryAfter, 50 * time.Millisecond}, {&c.MaxRetryAfter, 5 * time.Second}, {&c.SlowReaderGrace, time.Second}, {&c.StallTimeout, 20 * time.Second}} {
		if *d.to <= 0 {
			*d.to = d.by
		}
	}
	if c.MaxIdleScopes <= 0 {
		c.MaxIdleScopes = 4096
	}
	for _, l := range []*Limits{&c.Connection, &c.Owner, &c.Network, &c.All} {
		if l.Rate > 0 && l.Burst < 1 {
			l.Burst = max(1, l.Rate)
		}
	}
	return c
}

// Check names the first figure that can't be worked with.
func (c Config) Check() error {
	for _, s := range []struct {
		name string
		l    Limits
	}{{"connection", c.Connection}, {"owner", c.Owner}, {"network", c.Network}, {"all", c.All}} {
		if s.l.Streams < 0 || s.l.Queries < 0 || s.l.Bytes < 0 || !(s.l.Rate >= 0 && s.l.Rate < 1e9) || !(s.l.Burst >= 0 && s.l.Burst < 1e9) {
			return fmt.Errorf("%s: a figure is negative or not finite", s.name)
		}
	}
	if c = c.withDefaults(); c.MinRetryAfter > c.MaxRetryAfter {
		return fmt.Errorf("the least time to come back, %v, is above the most, %v", c.MinRetryAfter, c.MaxRetryAfter)
	}
	if c.SlowReaderGrace > c.StallTimeout {
		return fmt.Errorf("grace, %v, is above stall, %v", c.SlowReaderGrace, c.StallTimeout)
	}
	return nil
}

// Kind is what is asked for.
type Kind uint8

// The kinds of passes.
const (
	Stream Kind = iota // a call
	Query              // a query within one
)

// Client is who asks.
type Client struct {
	Connection uint64
	Owner      string // empty where nobody is known
	Network    string // as the address sets name it; empty for none
}

// Scope is where a limit was met.
type Scope uint8

// The scopes, in the order in which they are checked.
const (
	Connection Scope = iota
	Owner
	Network
	All
	scopes
)

func (s Scope) String() string { return [...]string{"connection", "owner", "network", "all"}[s] }

// Measure is what was too much.
type Measure uint8

// The measures.
const (
	Streams Measure = iota
	Queries
	Rate
	Bytes
)

func (m Measure) String() string { return [...]string{"streams", "queries", "rate", "bytes"}[m] }

// Rejection says which limit was reached, in which scope, and when to try again.
type Rejection struct {
	Scope      Scope
	Measure    Measure
	Limit      float64
	RetryAfter time.Duration
}

// Error is the rejection in words that a client can act on.
func (r *Rejection) Error() string {
	where := "this " + r.Scope.String()
	if r.Scope == All {
		where = "all clients together"
	}
	what := map[Measure]string{Streams: "open streams", Queries: "open queries", Rate: "queries a second", Bytes: "bytes of unread answers"}[r.Measure]
	return fmt.Sprintf("the limit of %g %s for %s is reached; come back in %v", r.Limit, what, where, r.RetryAfter.Round(time.Millisecond))
}
