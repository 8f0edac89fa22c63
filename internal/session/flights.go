// Package session keeps what clients of the second front refer to between calls: queries whose answer is fetched by
// ranges or asked after (flights), and sessions. It decides who may have what, for how long, and what goes when there is
// too much. It does no I/O, reads no clock, starts no goroutine and logs nothing; values of answers are not here, only
// their sizes.
//
// # The life of a flight
//
//	state    comes by                          ends by
//	planned  Open                              Claim or Start: running; Unclaimed over: dropped
//	running  the first Claim, or Start         Finish: ready or failed; Cancel: cancelled
//	ready    Finish with an answer             Keep over, or all ranges fetched and Linger over: dropped
//	failed   Finish without one                Keep over: dropped
//	cancelled Cancel                           Keep over: dropped
//
// A flight is asked once, whoever claims whichever of its ranges, and however often: its final answer is one. A range
// may be fetched again for as long as the flight is kept. Renew moves Keep's end, to MostKeep after Finish at the latest.
//
// # What goes when there is too much
//
// Ready flights whose ranges were all fetched, the longest first; then planned ones, the oldest first. One that is
// running, or whose answer was not fetched yet, is never dropped for another: the newcomer is refused.
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
	ErrUnknown   = errors.New("not known, or no longer kept")
	ErrNotYours  = errors.New("belongs to another owner")
	ErrCancelled = errors.New("was cancelled")
	ErrFull      = errors.New("too many are kept")
)

// FlightConfig holds the figures of Flights. The zero value of a field stands for its default.
type FlightConfig struct {
	Most      int           // kept in all; 1024
	PerOwner  int           // of one owner; 128
	Bytes     int64         // of answers in all; 16 MiB
	Unclaimed time.Duration // 30 s
	Keep      time.Duration // 30 s
	MostKeep  time.Duration // 5 min
	Linger    time.Duration // 2 s
}

func (c FlightConfig) withDefaults() FlightConfig {
	for _, v := range []struct {
		to *time.Duration
		by time.Duration
	}{{&c.Unclaimed, 30 * time.Second}, {&c.Keep, 30 * time.Second}, {&c.MostKeep, 5 * time.Minute}, {&c.Linger, 2 * time.Second}} {
		if *v.to <= 0 {
			*v.to = v.by
		}
	}
	if c.Most <= 0 {
		c.Most = 1024
	}
	if c.PerOwner <= 0 {
		c.PerOwner = 128
	}
	if c.Bytes <= 0 {
		c.Bytes = 16 << 20
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
	reading   int // ranges that are being sent just now
	bytes     int64
	opened    time.Time
	deadline  time.Time // of the query
	finished  time.Time
	end       time.Time // when it is dropped, unless something is being sent
}

// Flights are those that are kept. They are not safe for use by several goroutines.
type Flights struct {
	cfg   FlightConfig
	all   map[string]*flight
	owner map[string]int
	bytes int64
}

// NewFlights returns an empty account.
func NewFlights(cfg FlightConfig) *Flights {
	return &Flights{cfg: cfg.withDefaults(), all: map[string]*flight{}, owner: map[string]int{}}
}

// Open plans a flight of so many ranges; its query ends at the deadline. What is dropped to make room is returned.
func (f *Flights) Open(now time.Time, id, owner string, ranges int, deadline time.Time) (dropped []string, err error) {
	if ranges < 1 {
		return nil, fmt.Errorf("flight of %d ranges", ranges)
	}
	if f.all[id] != nil {
		return nil, fmt.Errorf("flight %s: there is one", id)
	}
	for f.owner[owner] >= f.cfg.PerOwner {
		id, ok := f.spare(owner)
		if !ok {
			return dropped, fmt.Errorf("flights of owner %q: %w", owner, ErrFull)
		}
		dropped = append(dropped, id)
		f.drop(f.all[id])
	}
	for len(f.all) >= f.cfg.Most {
		id, ok := f.spare("")
		if !ok {
			return dropped, fmt.Errorf("flights: %w", ErrFull)
		}
		dropped = append(dropped, id)
		f.drop(f.all[id])
	}
	f.all[id] = &flight{id: id, owner: owner, ranges: ranges, fetched: make([]bool, ranges), opened: now, deadline: deadline,
		end: now.Add(f.cfg.Unclaimed)}
	f.owner[owner]++
	return dropped, nil
}

// spare finds the flight that goes first when there is too much; of one owner where one is named.
func (f *Flights) spare(owner string) (id string, ok bool) {
	var best *flight
	rank := func(x *flight) int {
		switch {
		case x.reading > 0 || x.phase == Running || x.phase == Ready && !x.whole():
			return 0
		case x.phase == Planned:
			return 1
		}
		return 2
	}
	for _, x := range f.all {
		if owner != "" && x.owner != owner || rank(x) == 0 {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(rank(best), rank(x)), x.opened.Compare(best.opened), cmp.Compare(x.id, best.id)) < 0 {
			best = x
		}
	}
	if best == nil {
		return "", false
	}
	return best.id, true
}

// whole tells whether all ranges were fetched.
func (x *flight) whole() bool { return !slices.Contains(x.fetched, false) }

func (f *Flights) drop(x *flight) {
	delete(f.all, x.id)
	f.bytes -= x.bytes
	if f.owner[x.owner]--; f.owner[x.owner] == 0 {
		delete(f.owner, x.owner)
	}
}

// find is the flight of an id, if it is the owner's and not over.
func (f *Flights) find(now time.Time, id, owner string) (*flight, error) {
	x := f.all[id]
	switch {
	case x == nil || x.reading == 0 && x.phase != Running && !now.Before(x.end):
		return nil, fmt.Errorf("flight %s: %w", id, ErrUnknown)
	case x.owner != owner:
		return nil, fmt.Errorf("flight %s: %w", id, ErrNotYours)
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
		x.phase, x.end = Running, x.deadline
		return Start, nil
	case Running:
		return Wait, nil
	case Failed:
		return Report, nil
	case Cancelled:
		return 0, fmt.Errorf("flight %s: %w", id, ErrCancelled)
	}
	if r >= 0 {
		x.reading++
	}
	return Send, nil
}

// Finish notes how the query ended; an answer has a size. Where there is no room for it, ok is false: the flight has
// failed, and the caller keeps no answer. What is dropped to make room is returned.
func (f *Flights) Finish(now time.Time, id string, answered bool, bytes int64) (dropped []string, ok bool) {
	x := f.all[id]
	if x == nil || x.phase != Running {
		return nil, false // it was cancelled meanwhile
	}
	x.finished, x.end = now, now.Add(f.cfg.Keep)
	if x.phase = Failed; !answered {
		return nil, true
	}
	for f.bytes+bytes > f.cfg.Bytes {
		id, any := f.spareAnswer()
		if !any {
			return dropped, false
		}
		dropped = append(dropped, id)
		f.drop(f.all[id])
	}
	x.phase, x.bytes = Ready, bytes
	f.bytes += bytes
	return dropped, true
}

// spareAnswer finds the answer that goes first for another.
func (f *Flights) spareAnswer() (id string, ok bool) {
	var best *flight
	for _, x := range f.all {
		if x.phase == Ready && x.reading == 0 && x.whole() &&
			(best == nil || cmp.Or(x.finished.Compare(best.finished), cmp.Compare(x.id, best.id)) < 0) {
			best = x
		}
	}
	if best == nil {
		return "", false
	}
	return best.id, true
}

// Sent notes that the sending of a range is over, and whether all of it was sent.
func (f *Flights) Sent(now time.Time, id string, r int, all bool) {
	x := f.all[id]
	if x == nil || x.reading == 0 || r < 0 || r >= x.ranges {
		return
	}
	x.reading--
	if x.fetched[r] = x.fetched[r] || all; x.whole() {
		if end := now.Add(f.cfg.Linger); end.Before(x.end) {
			x.end = end
		}
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
		if end := x.opened.Add(f.cfg.MostKeep); now.Add(f.cfg.Unclaimed).Before(end) {
			end = now.Add(f.cfg.Unclaimed)
			x.end = end
		}
	case Ready, Failed:
		end, last := now.Add(f.cfg.Keep), x.finished.Add(f.cfg.MostKeep)
		if end.After(last) {
			end = last
		}
		if end.After(x.end) {
			x.end = end
		}
	}
	return x.end, nil
}

// Cancel gives a flight up. running tells that its query must be given up now; one that is over stays over.
func (f *Flights) Cancel(now time.Time, id, owner string) (running bool, was Phase, err error) {
	x, err := f.find(now, id, owner)
	if err != nil {
		return false, 0, err
	}
	if was = x.phase; was == Planned || was == Running {
		x.phase, x.finished, x.end = Cancelled, now, now.Add(f.cfg.Keep)
	}
	return was == Running, was, nil
}

// Status is how a flight stands.
func (f *Flights) Status(now time.Time, id, owner string) (p Phase, until time.Time, err error) {
	x, err := f.find(now, id, owner)
	if err != nil {
		return 0, until, err
	}
	return x.phase, x.end, nil
}

// Tick drops what is over and returns it, by id. A running flight whose deadline has passed stays until Finish.
func (f *Flights) Tick(now time.Time) (dropped []string) {
	for _, x := range f.all {
		if x.reading == 0 && x.phase != Running && !now.Before(x.end) {
			dropped = append(dropped, x.id)
			f.drop(x)
		}
	}
	slices.Sort(dropped)
	return dropped
}

// Len is how many flights are kept, and the bytes of their answers.
func (f *Flights) Len() (flights int, bytes int64) { return len(f.all), f.bytes }
