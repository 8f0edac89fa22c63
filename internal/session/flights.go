// Package session keeps what clients of the second front refer to between calls: queries whose answer is fetched by
// ranges or asked after (flights), and sessions. It decides who may have what, for how long, and what goes when there is
// too much. It does no I/O, reads no clock, starts no goroutine and logs nothing; values of answers are not here, only
// their sizes.
//
// # The life of a flight
//
//	state    comes by                          ends by
//	planned  Open                              Claim: running; UnclaimedTTL over: removed
//	running  the first Claim                   Complete: ready; Fail: failed; Cancel: cancelled
//	ready    Complete                          TTL over, or all ranges fetched and FetchedTTL over: removed
//	failed   Fail, or Complete without room    TTL over: removed
//	cancelled Cancel                           TTL over: removed
//
// A flight is asked once, whoever claims whichever of its ranges, and however often: its final answer is one. A range
// may be fetched again for as long as the flight is kept. Renew moves the end of TTL, to MaxTTL after the query's end at the
// latest.
//
// # Eviction
//
// Where there are too many, flights that are over go first, the oldest first, then planned ones. One that is running, or whose
// answer was not fetched yet, is never evicted for another: the newcomer is rejected.
package session

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// The errors of flights. They are wrapped with what was asked for.
var (
	ErrUnknown    = errors.New("not known, or no longer kept")
	ErrOtherOwner = errors.New("belongs to another owner")
	ErrCancelled  = errors.New("was cancelled")
	ErrFull       = errors.New("too many are kept")
)

// FlightConfig bounds what Flights keeps. The zero value of a field stands for its default.
type FlightConfig struct {
	MaxFlights   int           // flights kept in all; 1024
	MaxPerOwner  int           // flights kept of one owner; 128
	MaxBytes     int64         // of all answers that are kept; 16 MiB
	UnclaimedTTL time.Duration // how long a planned flight waits for its first Claim; 30 s
	TTL          time.Duration // how long one that is over is kept; 30 s
	MaxTTL       time.Duration // how long it can be kept by Renew; 5 min
	FetchedTTL   time.Duration // how long one is kept whose ranges were all fetched; 2 s
}

func (c FlightConfig) withDefaults() FlightConfig {
	for _, v := range []struct {
		to *time.Duration
		by time.Duration
	}{{&c.UnclaimedTTL, 30 * time.Second}, {&c.TTL, 30 * time.Second}, {&c.MaxTTL, 5 * time.Minute}, {&c.FetchedTTL, 2 * time.Second}} {
		if *v.to <= 0 {
			*v.to = v.by
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

// Phase is where a flight stands.
type Phase uint8

// The phases.
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

// flight is one query.
type flight struct {
	id, owner string
	ranges    int
	phase     Phase
	fetched   []bool
	readers   int // ranges that are being sent just now
	bytes     int64
	opened    time.Time
	deadline  time.Time // of the query
	finished  time.Time
	expires   time.Time // when it is dropped, unless something is being sent
}

// Flights are those that are kept. They are not safe for use by several goroutines.
type Flights struct {
	cfg      FlightConfig
	flights  map[string]*flight
	perOwner map[string]int
	bytes    int64
}

// NewFlights returns an empty account.
func NewFlights(cfg FlightConfig) *Flights {
	return &Flights{cfg: cfg.withDefaults(), flights: map[string]*flight{}, perOwner: map[string]int{}}
}

// Open plans a flight of so many ranges; its query ends at the deadline. Flights that were evicted to make room are returned. The
// error wraps ErrFull where there is no room.
func (f *Flights) Open(now time.Time, id, owner string, ranges int, deadline time.Time) (evicted []string, err error) {
	if ranges < 1 {
		return nil, fmt.Errorf("flight of %d ranges", ranges)
	}
	if f.flights[id] != nil {
		return nil, fmt.Errorf("flight %s: there is one", id)
	}
	for f.perOwner[owner] >= f.cfg.MaxPerOwner {
		other, ok := f.evictable(owner)
		if !ok {
			return evicted, fmt.Errorf("flights of owner %q: %w", owner, ErrFull)
		}
		evicted = append(evicted, other)
		f.remove(f.flights[other])
	}
	for len(f.flights) >= f.cfg.MaxFlights {
		other, ok := f.evictable("")
		if !ok {
			return evicted, fmt.Errorf("flights: %w", ErrFull)
		}
		evicted = append(evicted, other)
		f.remove(f.flights[other])
	}
	f.flights[id] = &flight{id: id, owner: owner, ranges: ranges, fetched: make([]bool, ranges), opened: now, deadline: deadline,
		expires: now.Add(f.cfg.UnclaimedTTL)}
	f.perOwner[owner]++
	return evicted, nil
}

// evictable finds the flight that is evicted first where there are too many; of one owner where one is named.
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

// evictionRank orders flights for eviction: of a higher rank, sooner.
type evictionRank int

const (
	neverEvicted evictionRank = iota // it runs, is being read, or has an answer that was not fetched yet
	evictedLast                      // nobody has claimed it
	evictedFirst                     // it is over
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

// allFetched tells whether all ranges were fetched.
func (x *flight) allFetched() bool { return !slices.Contains(x.fetched, false) }

// remove forgets a flight.
func (f *Flights) remove(x *flight) {
	delete(f.flights, x.id)
	f.bytes -= x.bytes
	if f.perOwner[x.owner]--; f.perOwner[x.owner] == 0 {
		delete(f.perOwner, x.owner)
	}
}

// find is the flight of an id, if it is the owner's and not over.
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

// Next says what somebody who wants an answer is to do.
type Next uint8

// The next steps.
const (
	Start  Next = iota + 1 // ask the query, then Finish
	Wait                   // another does
	Send                   // the answer is there: send the range, then Sent
	Report                 // there is none: tell how it failed
)

// Claim asks for one range of a flight; range -1 asks for none, only that the query be asked (Start).
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

// Complete notes that the query was answered, by an answer of a size in bytes. Where there is no room for it ok is false: the
// flight has failed, and the caller keeps no answer. Flights that were evicted to make room are returned.
func (f *Flights) Complete(now time.Time, id string, bytes int64) (evicted []string, ok bool) {
	x := f.end(now, id)
	if x == nil {
		return nil, false
	}
	for f.bytes+bytes > f.cfg.MaxBytes {
		other, found := f.evictableAnswer()
		if !found {
			return evicted, false
		}
		evicted = append(evicted, other)
		f.remove(f.flights[other])
	}
	x.phase, x.bytes = Ready, bytes
	f.bytes += bytes
	return evicted, true
}

// Fail notes that the query ended without an answer. It returns false for a flight that does not run, as it was cancelled.
func (f *Flights) Fail(now time.Time, id string) bool { return f.end(now, id) != nil }

// end ends a running flight as one that has failed; nil where it does not run.
func (f *Flights) end(now time.Time, id string) *flight {
	x := f.flights[id]
	if x == nil || x.phase != Running {
		return nil
	}
	x.phase, x.finished, x.expires = Failed, now, now.Add(f.cfg.TTL)
	return x
}

// evictableAnswer finds the answer that is evicted first to make room for another.
func (f *Flights) evictableAnswer() (id string, ok bool) {
	var best *flight
	for _, x := range f.flights {
		if x.phase == Ready && x.readers == 0 && x.allFetched() &&
			(best == nil || cmp.Or(x.finished.Compare(best.finished), cmp.Compare(x.id, best.id)) < 0) {
			best = x
		}
	}
	if best == nil {
		return "", false
	}
	return best.id, true
}

// Sent notes that a range was sent whole.
func (f *Flights) Sent(now time.Time, id string, r int) {
	if x := f.endRead(id, r); x != nil {
		x.fetched[r] = true
		f.expireFetched(now, x)
	}
}

// Interrupted notes that the sending of a range has ended before all of it was sent.
func (f *Flights) Interrupted(now time.Time, id string, r int) {
	if x := f.endRead(id, r); x != nil {
		f.expireFetched(now, x)
	}
}

// endRead counts a reader of a range off; nil where none was counted.
func (f *Flights) endRead(id string, r int) *flight {
	x := f.flights[id]
	if x == nil || x.readers == 0 || r < 0 || r >= x.ranges {
		return nil
	}
	x.readers--
	return x
}

// expireFetched lets a flight whose ranges were all fetched expire sooner.
func (f *Flights) expireFetched(now time.Time, x *flight) {
	if expires := now.Add(f.cfg.FetchedTTL); x.allFetched() && expires.Before(x.expires) {
		x.expires = expires
	}
}

// Renew keeps a flight for longer; it returns until when.
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
		end, last := now.Add(f.cfg.TTL), x.finished.Add(f.cfg.MaxTTL)
		if end.After(last) {
			end = last
		}
		if end.After(x.expires) {
			x.expires = end
		}
	}
	return x.expires, nil
}

// Cancel gives a flight up. running tells that its query must be given up now; one that is over stays over.
func (f *Flights) Cancel(now time.Time, id, owner string) (running bool, was Phase, err error) {
	x, err := f.find(now, id, owner)
	if err != nil {
		return false, 0, err
	}
	if was = x.phase; was == Planned || was == Running {
		x.phase, x.finished, x.expires = Cancelled, now, now.Add(f.cfg.TTL)
	}
	return was == Running, was, nil
}

// Status is how a flight stands.
func (f *Flights) Status(now time.Time, id, owner string) (p Phase, until time.Time, err error) {
	x, err := f.find(now, id, owner)
	if err != nil {
		return 0, until, err
	}
	return x.phase, x.expires, nil
}

// Tick drops what is over and returns it, by id. A running flight whose deadline has passed stays until Finish.
func (f *Flights) Tick(now time.Time) (dropped []string) {
	for _, x := range f.flights {
		if x.readers == 0 && x.phase != Running && !now.Before(x.expires) {
			dropped = append(dropped, x.id)
			f.remove(x)
		}
	}
	slices.Sort(dropped)
	return dropped
}

// Len is how many flights are kept, and the bytes of their answers.
func (f *Flights) Len() (flights int, bytes int64) { return len(f.flights), f.bytes }
