// Package admission is the admission control of the Arrow Flight server. It decides which calls and queries are admitted, how many
// bytes of answers they may hold, and which slow reader is evicted when memory is short. It does no I/O, reads no clock, starts no
// goroutine and logs nothing: the current time is a parameter, and the same sequence of calls gives the same results.
//
// # Limits
//
// A pass is an admitted call or query. Each pass counts in four scopes: its connection, its owner, its network, and all clients together. A
// request is checked against the scopes in the order of this table. The first scope whose limit is reached determines the scope and the
// Retry-After of the rejection:
//
//	scope       streams   queries   queries per second   bytes
//	connection  yes       yes       yes                  yes
//	owner       yes       yes       yes                  yes
//	network     yes       yes       yes                  yes
//	all         yes       yes       yes                  yes
//
// 0 means no limit. A rejected request counts in no scope.
//
// # Retry-After
//
// A query over the rate limit (a token bucket, refilled with Rate tokens per second up to Burst) is told the time until the bucket
// holds the token it needs. A request over another limit is told the expected time until the next pass of its kind is released in
// that scope, which is the exponentially weighted mean of the intervals between releases. Both stay between Config.MinRetryAfter and
// MaxRetryAfter. On average, a client that waits that long is admitted.
//
// # Memory pressure
//
// A pass that needs memory beyond the byte limit of all clients evicts readers that have made no progress for SlowReaderGrace: those
// without progress for longest first and, among equals, those that hold more bytes first. If that would not free enough memory, its request
// is rejected and no reader is evicted. A reader that makes progress is never evicted. Tick evicts a reader without progress for
// StallTimeout in any case.
//
// # Memory use of the controller
//
// A scope without passes is kept only if its token bucket was not full or a pass had been released in it, and of these at most
// MaxIdleScopes are kept. A connection's scope is dropped with its last pass.
package admission

import (
	"fmt"
	"time"
)

// Limits are the limits of one scope. 0 means no limit.
type Limits struct {
	Streams int     // open calls
	Queries int     // open queries
	Rate    float64 // queries per second, on average
	Burst   float64 // queries admitted at once after a pause; at least 1 where Rate is set
	Bytes   int64   // bytes held by answers that are awaited or being read
}

// Config holds the limits of a Controller. A duration or MaxIdleScopes of zero or less stands for its default, given in its comment.
type Config struct {
	Connection, Owner, Network, All Limits

	MinRetryAfter, MaxRetryAfter time.Duration // bounds of each Retry-After; 50 ms and 5 s
	SlowReaderGrace              time.Duration // a reader without progress for this long may be evicted to free memory; 1 s
	StallTimeout                 time.Duration // a reader without progress for this long is evicted in any case; 20 s
	MaxIdleScopes                int           // scopes kept without passes; 4096
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{{&c.MinRetryAfter, 50 * time.Millisecond}, {&c.MaxRetryAfter, 5 * time.Second}, {&c.SlowReaderGrace, time.Second}, {&c.StallTimeout, 20 * time.Second}} {
		if *d.field <= 0 {
			*d.field = d.fallback
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

// Check returns an error for the first limit that is out of range.
func (c Config) Check() error {
	for _, s := range []struct {
		name string
		l    Limits
	}{{"connection", c.Connection}, {"owner", c.Owner}, {"network", c.Network}, {"all", c.All}} {
		if s.l.Streams < 0 || s.l.Queries < 0 || s.l.Bytes < 0 || !(s.l.Rate >= 0 && s.l.Rate < 1e9) || !(s.l.Burst >= 0 && s.l.Burst < 1e9) {
			return fmt.Errorf("%s: a limit is negative, not finite or too large", s.name)
		}
	}
	if c = c.withDefaults(); c.MinRetryAfter > c.MaxRetryAfter {
		return fmt.Errorf("minimum Retry-After %v exceeds the maximum %v", c.MinRetryAfter, c.MaxRetryAfter)
	}
	if c.SlowReaderGrace > c.StallTimeout {
		return fmt.Errorf("grace %v exceeds stall %v", c.SlowReaderGrace, c.StallTimeout)
	}
	return nil
}

// Kind is the kind of request that a pass is for.
type Kind uint8

// The kinds of passes.
const (
	Stream Kind = iota // a call
	Query              // a query within a call
)

// Client identifies the sender of a request by the scopes in which the request counts.
type Client struct {
	Connection uint64
	Owner      string // empty if unknown
	Network    string // name of the address prefix that the client connects from; empty if unknown
}

// Scope is the group of requests that share a limit.
type Scope uint8

// The scopes, in the order in which they are checked.
const (
	Connection Scope = iota
	Owner
	Network
	All
	scopeCount
)

func (s Scope) String() string { return [...]string{"connection", "owner", "network", "all"}[s] }

// Measure is the quantity that a limit bounds.
type Measure uint8

// The measures.
const (
	Streams Measure = iota
	Queries
	Rate
	Bytes
)

func (m Measure) String() string { return [...]string{"streams", "queries", "rate", "bytes"}[m] }

// Rejection states which limit was reached, in which scope, and after what time to retry.
type Rejection struct {
	Scope      Scope
	Measure    Measure
	Limit      float64
	RetryAfter time.Duration
}

// Error returns a message for the client that names the limit and the time to wait before a retry.
func (r *Rejection) Error() string {
	subject := "this " + r.Scope.String()
	if r.Scope == All {
		subject = "all clients together"
	}
	unit := map[Measure]string{Streams: "open streams", Queries: "open queries", Rate: "queries a second", Bytes: "bytes of unread answers"}[r.Measure]
	return fmt.Sprintf("the limit of %g %s for %s is reached; come back in %v", r.Limit, unit, subject, r.RetryAfter.Round(time.Millisecond))
}
