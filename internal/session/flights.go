// Package session keeps the state that clients of the Arrow Flight server refer to between calls: flights, which are queries whose
// answer is fetched by ranges or polled for, and sessions. It decides who may access what, for how long, and what is evicted when
// there is too much. It does no I/O, reads no clock, starts no goroutine and logs nothing. It holds the sizes of answers, not their
// values.
//
// # Flight states
//
//	state      entered by                      left by
//	planned    Open                            Claim: running; Cancel: cancelled; after UnclaimedTTL: removed
//	running    the first Claim                 Complete: ready; Fail: failed; Cancel: cancelled
//	ready      Complete                        after TTL, or FetchedTTL once all ranges are fetched: removed
//	failed     Fail, or Complete without room  after TTL: removed
//	cancelled  Cancel                          after TTL: removed
//
// The query of a flight is executed once, however many calls claim its ranges, and all of them are ranges of the same final answer. A range
// may be fetched again as long as the flight is kept. Renew extends that time, up to MaxTTL after the end of the query, or after Open while
// the flight is planned.
//
// # Eviction
//
// When a limit is reached, ended flights are evicted first, the oldest first, then planned ones. A flight that is running or
// being sent, or whose answer has not been fetched whole, is never evicted; instead the new flight or answer is rejected.
package session

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Errors of flights and sessions. Returned errors wrap them.
var (
	ErrUnknown    = errors.New("not known, or no longer kept")
	ErrOtherOwner = errors.New("belongs to another owner")
	ErrCancelled  = errors.New("was cancelled")
	ErrFull       = errors.New("too many are kept")
)

// FlightConfig holds the limits of Flights. A field of zero or less stands for its default, given in its comment.
type FlightConfig struct {
	MaxFlights   int           // flights of all owners; 1024
	MaxPerOwner  int           // flights of one owner; 128
	MaxBytes     int64         // bytes of all kept answers; 16 MiB
	UnclaimedTTL time.Duration // how long a planned flight is kept without a Claim; 30 s
	TTL          time.Duration // how long a flight is kept after its query has ended; 30 s
	MaxTTL       time.Duration // the longest that Renew can keep a flight after its query has ended or, while planned, after Open; 5 min
	FetchedTTL   time.Duration // how long a flight is kept once all ranges have been fetched; 2 s
}

func (c FlightConfig) withDefaults() FlightConfig {
	for _, v := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{{&c.UnclaimedTTL, 30 * time.Second}, {&c.TTL, 30 * time.Second}, {&c.MaxTTL, 5 * time.Minute}, {&c.FetchedTTL, 2 * time.Second}} {
		if *v.field <= 0 {
			*v.field = v.fallback
		}
	}
	if c.MaxFlights <= 0 {
		c.MaxFlights = 1024
	}
	if c.MaxPerOwner <= 0 {
		c.MaxPerOwner = 128
	}
	if c.MaxBytes <= 0 {
		c.MaxBytes = 16 << 20
	}
	return c
}

// Phase is the state of a flight.
type Phase uint8

// The phases, as in the table of the package comment.
const (
	Planned Phase = iota
	Running
	Ready
	Failed
	Cancelled
)

func (p Phase) String() string {
	return [...]string{"planned", "running", "ready", "failed", "cancelled"}[p]
}

// flight is a query and the state of its answer.
type flight struct {
	id, owner string
	ranges    int
	phase     Phase
	fetched   []bool
	readers   int // ranges being sent
	bytes     int64
	opened    time.Time
	deadline  time.Time // of the query
	finished  time.Time
	expires   time.Time // when Tick removes it, unless it runs or a range is being sent
}

// Flights is the set of flights that are kept. It is not safe for concurrent use.
type Flights struct {
	cfg      FlightConfig
	flights  map[string]*flight
	perOwner map[string]int
	bytes    int64
}

// NewFlights returns an empty set of flights.
func NewFlights(cfg FlightConfig) *Flights {
	return &Flights{cfg: cfg.withDefaults(), flights: map[string]*flight{}, perOwner: map[string]int{}}
}

// Open plans a flight with the given number of ranges; its query ends at the deadline. It returns the flights evicted to make room.
// The error wraps ErrFull if there is no room.
func (f *Flights) Open(now time.Time, id, owner string, ranges int, deadline time.Time) (evicted []string, err error) {
	if ranges < 1 {
		return nil, fmt.Errorf("flight of %d ranges", ranges)
	}
	if f.flights[id] != nil {
		return nil, fmt.Errorf("flight %s: there is one", id)
	}
	for f.perOwner[owner] >= f.cfg.MaxPerOwner {
		victim, ok := f.evictable(owner)
		if !ok {
			return evicted, fmt.Errorf("flights of owner %q: %w", owner, ErrFull)
		}
		evicted = append(evicted, victim)
		f.remove(f.flights[victim])
	}
	for len(f.flights) >= f.cfg.MaxFlights {
		victim, ok := f.evictable("")
		if !ok {
			return evicted, fmt.Errorf("flights: %w", ErrFull)
		}
		evicted = append(evicted, victim)
		f.remove(f.flights[victim])
	}
	f.flights[id] = &flight{id: id, owner: owner, ranges: ranges, fetched: make([]bool, ranges), opened: now, deadline: deadline,
		expires: now.Add(f.cfg.UnclaimedTTL)}
	f.perOwner[owner]++
	return evicted, nil
}

// evictable returns the flight to evict first, of one owner only if owner is set.
func (f *Flights) evictable(owner string) (id string, ok bool) {
	var first *flight
	for _, x := range f.flights {
		if owner != "" && x.owner != owner || x.evictionRank() == neverEvicted {
			continue
		}
		if first == nil || cmp.Or(cmp.Compare(first.evictionRank(), x.evictionRank()), x.opened.Compare(first.opened), cmp.Compare(x.id, first.id)) < 0 {
			first = x
		}
	}
	if first == nil {
		return "", false
	}
	return first.id, true
}

// evictionRank orders flights for eviction: a higher rank is evicted first.
type evictionRank int

const (
	neverEvicted evictionRank = iota // running, being sent, or ready with ranges that were not fetched yet
	evictedLast                      // planned and not claimed
	evictedFirst                     // failed, cancelled, or fetched whole
)

func (x *flight) evictionRank() evictionRank {
	switch {
	case x.readers > 0 || x.phase == Running || x.phase == Ready && !x.allFetched():
		return neverEvicted
	case x.phase == Planned:
		return evictedLast
	}
	return evictedFirst
}

// allFetched reports whether all ranges have been fetched.
func (x *flight) allFetched() bool { return !slices.Contains(x.fetched, false) }

// remove removes a flight and its bytes from the counts.
func (f *Flights) remove(x *flight) {
	delete(f.flights, x.id)
	f.bytes -= x.bytes
	if f.perOwner[x.owner]--; f.perOwner[x.owner] == 0 {
		delete(f.perOwner, x.owner)
	}
}

// find returns the flight of an id, if it belongs to the owner and has not expired.
func (f *Flights) find(now time.Time, id, owner string) (*flight, error) {
	x := f.flights[id]
	switch {
	case x == nil || x.readers == 0 && x.phase != Running && !now.Before(x.expires):
		return nil, fmt.Errorf("flight %s: %w", id, ErrUnknown)
	case x.owner != owner:
		return nil, fmt.Errorf("flight %s: %w", id, ErrOtherOwner)
	}
	return x, nil
}

// Next is the next step for the caller of Claim.
type Next uint8

// The next steps.
const (
	Start  Next = iota + 1 // execute the query, then call Complete or Fail
	Wait                   // wait: another caller executes the query
	Send                   // send the range, then call RangeSent or RangeInterrupted
	Report                 // report the error: the query failed
)

// Claim claims range r of a flight, and returns Start to the first caller. With r of -1 it claims no range, only the execution of the
// query.
func (f *Flights) Claim(now time.Time, id, owner string, r int) (Next, error) {
	x, err := f.find(now, id, owner)
	if err != nil {
		return 0, err
	}
	if r < -1 || r >= x.ranges {
		return 0, fmt.Errorf("flight %s: range %d of %d: %w", id, r, x.ranges, ErrUnknown)
	}
	switch x.phase {
	case Planned:
		x.phase, x.expires = Running, x.deadline
		return Start, nil
	case Running:
		return Wait, nil
	case Failed:
		return Report, nil
	case Cancelled:
		return 0, fmt.Errorf("flight %s: %w", id, ErrCancelled)
	}
	if r >= 0 {
		x.readers++
	}
	return Send, nil
}

// Complete records that the query has an answer of the given size in bytes. It returns the flights evicted to make room. ok is false
// if there is no room or the flight does not run: without room the flight has failed, and the caller must not keep the answer.
func (f *Flights) Complete(now time.Time, id string, bytes int64) (evicted []string, ok bool) {
	x := f.finish(now, id)
	if x == nil {
		return nil, false
	}
	for f.bytes+bytes > f.cfg.MaxBytes {
		victim, found := f.evictableAnswer()
		if !found {
			return evicted, false
		}
		evicted = append(evicted, victim)
		f.remove(f.flights[victim])
	}
	x.phase, x.bytes = Ready, bytes
	f.bytes += bytes
	return evicted, true
}

// Fail records that the query ended without an answer. It returns false if the flight does not run, for example after Cancel.
func (f *Flights) Fail(now time.Time, id string) bool { return f.finish(now, id) != nil }

// finish marks a running flight as failed and returns it, or nil if it does not run.
func (f *Flights) finish(now time.Time, id string) *flight {
	x := f.flights[id]
	if x == nil || x.phase != Running {
		return nil
	}
	x.phase, x.finished, x.expires = Failed, now, now.Add(f.cfg.TTL)
	return x
}

// evictableAnswer returns the ready flight to evict first for the bytes of its answer.
func (f *Flights) evictableAnswer() (id string, ok bool) {
	var oldest *flight
	for _, x := range f.flights {
		if x.phase == Ready && x.readers == 0 && x.allFetched() &&
			(oldest == nil || cmp.Or(x.finished.Compare(oldest.finished), cmp.Compare(x.id, oldest.id)) < 0) {
			oldest = x
		}
	}
	if oldest == nil {
		return "", false
	}
	return oldest.id, true
}

// RangeSent records that a claimed range has been sent whole.
func (f *Flights) RangeSent(now time.Time, id string, r int) {
	if x := f.removeReader(id, r); x != nil {
		x.fetched[r] = true
		f.expireFetched(now, x)
	}
}

// RangeInterrupted records that sending a claimed range ended before all of it was sent.
func (f *Flights) RangeInterrupted(now time.Time, id string, r int) {
	if x := f.removeReader(id, r); x != nil {
		f.expireFetched(now, x)
	}
}

// removeReader removes a reader of a range from the count and returns its flight, or nil if the flight has no reader.
func (f *Flights) removeReader(id string, r int) *flight {
	x := f.flights[id]
	if x == nil || x.readers == 0 || r < 0 || r >= x.ranges {
		return nil
	}
	x.readers--
	return x
}

// expireFetched makes a flight expire after FetchedTTL if all its ranges have been fetched.
func (f *Flights) expireFetched(now time.Time, x *flight) {
	if expires := now.Add(f.cfg.FetchedTTL); x.allFetched() && expires.Before(x.expires) {
		x.expires = expires
	}
}

// Renew keeps a flight for longer and returns the time until which it is kept.
func (f *Flights) Renew(now time.Time, id, owner string) (until time.Time, err error) {
	x, err := f.find(now, id, owner)
	if err != nil {
		return until, err
	}
	switch x.phase {
	case Cancelled:
		return until, fmt.Errorf("flight %s: %w", id, ErrCancelled)
	case Planned:
		if end := x.opened.Add(f.cfg.MaxTTL); now.Add(f.cfg.UnclaimedTTL).Before(end) {
			end = now.Add(f.cfg.UnclaimedTTL)
			x.expires = end
		}
	case Ready, Failed:
		end, latest := now.Add(f.cfg.TTL), x.finished.Add(f.cfg.MaxTTL)
		if end.After(latest) {
			end = latest
		}
		if end.After(x.expires) {
			x.expires = end
		}
	}
	return x.expires, nil
}

// Cancel cancels a planned or running flight; a flight that has ended keeps its phase. It returns the phase before, and whether the
// query was running, so that the caller must cancel it.
func (f *Flights) Cancel(now time.Time, id, owner string) (running bool, phase Phase, err error) {
	x, err := f.find(now, id, owner)
	if err != nil {
		return false, 0, err
	}
	if phase = x.phase; phase == Planned || phase == Running {
		x.phase, x.finished, x.expires = Cancelled, now, now.Add(f.cfg.TTL)
	}
	return phase == Running, phase, nil
}

// Status returns the phase of a flight and when it expires.
func (f *Flights) Status(now time.Time, id, owner string) (p Phase, until time.Time, err error) {
	x, err := f.find(now, id, owner)
	if err != nil {
		return 0, until, err
	}
	return x.phase, x.expires, nil
}

// Tick removes expired flights and returns their ids, sorted. A running flight whose deadline has passed stays until Complete, Fail or
// Cancel.
func (f *Flights) Tick(now time.Time) (expired []string) {
	for _, x := range f.flights {
		if x.readers == 0 && x.phase != Running && !now.Before(x.expires) {
			expired = append(expired, x.id)
			f.remove(x)
		}
	}
	slices.Sort(expired)
	return expired
}

// Len returns the number of flights that are kept and the bytes of their answers.
func (f *Flights) Len() (flights int, bytes int64) { return len(f.flights), f.bytes }
