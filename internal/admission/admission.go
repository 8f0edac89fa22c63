// Package admission decides who comes in at a door, what those who are in may hold, and who is cut when memory is
// short. It does no I/O, reads no clock, starts no goroutine and logs nothing: time comes in with each call, and the
// same calls in the same order give the same results.
//
// # The table
//
// Each pass counts in four scopes: its connection, its owner, its network, and all. What is asked is checked in this
// order, and the first that says no gives the refusal its scope and its time to come back:
//
//	scope       streams   queries   queries a second   bytes held
//	connection  yes       yes       yes                yes
//	owner       yes       yes       yes                yes
//	network     yes       yes       yes                yes
//	all         yes       yes       yes                yes
//
// A figure of 0 sets no limit. A refused one counts nowhere: what it had been counted in is given back at once.
//
// # When to come back
//
// Over a rate: when the bucket has the token that was wanted (a token bucket: Rate a second, Burst at once). Over a
// number: the expected time until as many have left as must, by how often one has left that scope of late (a mean
// that decays). Both within Config.LeastRetry and MostRetry. Somebody who was told a time comes back to a door that
// is, on average, open.
//
// # When memory is short
//
// What answers hold is counted where it is held. A newcomer that finds no room makes room in this order: readers that
// have made no progress for Grace or longer, the longest first; of equals the one that holds more. Nobody is cut for
// a newcomer that would still find no room, and nobody that makes progress is ever cut. A reader without progress for
// Stall is cut in any case.
//
// Memory is bounded: a scope without passes is kept only while its bucket is not full again or its mean is young, and of
// those MaxIdle at most.
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

// Config holds the figures of a Door. The zero value of a duration or of MaxIdle stands for its default.
type Config struct {
	Connection, Owner, Network, All Limits

	LeastRetry, MostRetry time.Duration // 50 ms and 5 s
	Grace                 time.Duration // a reader without progress for as long may be cut for another; 1 s
	Stall                 time.Duration // and for as long is cut in any case; 20 s
	MaxIdle               int           // scopes kept without a pass; 4096
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		to *time.Duration
		by time.Duration
	}{{&c.LeastRetry, 50 * time.Millisecond}, {&c.MostRetry, 5 * time.Second}, {&c.Grace, time.Second}, {&c.Stall, 20 * time.Second}} {
		if *d.to <= 0 {
			*d.to = d.by
		}
	}
	if c.MaxIdle <= 0 {
		c.MaxIdle = 4096
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
	if c = c.withDefaults(); c.LeastRetry > c.MostRetry {
		return fmt.Errorf("the least time to come back, %v, is above the most, %v", c.LeastRetry, c.MostRetry)
	}
	if c.Grace > c.Stall {
		return fmt.Errorf("grace, %v, is above stall, %v", c.Grace, c.Stall)
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

// Who asks.
type Who struct {
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

// Refusal says what was too much, where, and when to come back.
type Refusal struct {
	Scope   Scope
	Measure Measure
	Limit   float64
	After   time.Duration
}

// Error is the refusal in words that a client can act on.
func (r *Refusal) Error() string {
	where := "this " + r.Scope.String()
	if r.Scope == All {
		where = "all clients together"
	}
	what := map[Measure]string{Streams: "open streams", Queries: "open queries", Rate: "queries a second", Bytes: "bytes of unread answers"}[r.Measure]
	return fmt.Sprintf("the limit of %g %s for %s is reached; come back in %v", r.Limit, what, where, r.After.Round(time.Millisecond))
}
