// Package lease decides who holds a duty: one coordinator at a time, for a lease with a term, under a fencing token that only
// grows. It owns the three parts of that: the table that grants (kept by whoever leads the coordinators' store), the holder
// that must stop acting before its lease can be granted to another, and the fence of a resource that acts on a duty's word. It
// must never look at a clock, do I/O, or let a holder act on a lease that it can't prove to be its own.
//
// The rules, with L the length of a lease and E the bound on clocks: each clock runs between 1-E and 1+E of true time, and is
// never compared with another's, so that one may jump where its process is started anew, not while it runs.
//
//	campaign   granted where the duty is free, or its lease is over by the table's clock: a new term and a higher token
//	renew      granted to the holder of the term, whether or not it was over, as long as nobody else has been granted
//	heard      both are granted only to one that names the lease's version, which is higher with each grant; who names an older
//	           one is told the version, and asks again at once: one that is heard and does not hear holds no duty, and keeps none
//	resign     frees the duty at once; the next campaign is granted
//	holder     may act for L (1-E)/(1+E) by its own clock, counted from when it sent the request that was granted
//	table      holds the duty for L by its own clock, counted from when it took the request in
//	new leader it does not know how much of a lease has passed: each is held for L from its first moment on
//	fence      takes a token that is the highest it has seen, or higher, and turns a lower one back
//
// So two holders never act at the same true time: the holder ends by L/(1+E) of true time after it sent, the table begins the
// next no sooner than L/(1+E) after it took the request in, which is later. What a holder sent before it ended and what arrives
// after that is the fence's to turn back.
package lease

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Config are the figures of a duty's leases.
type Config struct {
	Length time.Duration // of a lease; 10 s
	Drift  float64       // by how much clocks may run fast or slow; 0.01
	Renew  float64       // share of the holder's time after which it renews; 0.4
}

func (c Config) defaults() Config {
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

// Check names the first figure that can't be kept.
func (c Config) Check() error {
	c = c.defaults()
	if c.Length < 0 || !(c.Drift > 0 && c.Drift < 0.5) || !(c.Renew > 0 && c.Renew < 1) {
		return fmt.Errorf("lease: Length %v, Drift %v, Renew %v: Length is above 0, Drift above 0 and under 0.5, Renew between 0 and 1", c.Length, c.Drift, c.Renew)
	}
	return nil
}

// Acting is how long a holder may act on a lease, by its own clock from when it sent the request.
func (c Config) Acting() time.Duration {
	c = c.defaults()
	return time.Duration(float64(c.Length) * (1 - c.Drift) / (1 + c.Drift))
}

// Grant is who holds a duty.
type Grant struct {
	Duty   string
	Holder string // empty where it is free
	Term   uint64 // of the holder's time in it, from its campaign on
	Token  uint64 // higher with each term; what a fence goes by
	// Version is 1 for a duty that nobody held yet, and higher by 1 with each grant, renewals included.
	Version uint64
}

// The errors of requests.
var (
	ErrHeld     = errors.New("the duty is held by another")
	ErrTermOver = errors.New("the term is over: another has been granted the duty since, or it was given back")
	// ErrUnheard is no refusal: what the asker holds, it holds on, and with the version that goes with it the next request is granted.
	ErrStaleVersion = errors.New("the lease has been granted since the version that the request names")
)

// AnyVersion is the version of a request that does not say what its sender has heard, as those of the log's earlier form: it is granted
// without.
const AnyVersion uint64 = 0

// Table grants duties, each for the same length. It is part of the replicated store's state: requests are applied in the order of its log, with the
// leader's clock as they were taken in. It is not safe for concurrent use.
type Table struct {
	c      Config
	duties map[string]*Record
}

// Record is a grant as the table's snapshots hold it.
type Record struct {
	Grant
	Until  time.Duration // by the clock of the leader that holds the table
	Length time.Duration // of its leases, as its holder asked
}

// NewTable returns a table in which every duty is free.
func NewTable(c Config) (*Table, error) {
	return &Table{c: c.defaults(), duties: map[string]*Record{}}, c.Check()
}

func (t *Table) duty(name string) *Record {
	d := t.duties[name]
	if d == nil {
		d = &Record{Grant: Grant{Duty: name, Version: 1}, Length: t.c.Length}
		t.duties[name] = d
	}
	return d
}

// Campaign grants a duty that is free, or whose lease is over, for a length of the asker's own: that goes with the request, so that all
// copies of a table hold a lease alike, whatever figures their members were started with. The holder itself gets a new term. Heard is the
// version that the asker heard of last, or Unsaid.
func (t *Table) Campaign(now time.Duration, duty, who string, length time.Duration, heard uint64) (Grant, error) {
	d := t.duty(duty)
	if d.Holder != "" && d.Holder != who && now < d.Until {
		return d.Grant, fmt.Errorf("%w: %s, in term %d", ErrHeld, d.Holder, d.Term)
	}
	if heard != AnyVersion && heard != d.Version {
		return d.Grant, ErrStaleVersion
	}
	d.Holder, d.Term, d.Token, d.Version, d.Until, d.Length = who, d.Term+1, d.Token+1, d.Version+1, now+length, length
	return d.Grant, nil
}

// Renew lengthens the holder's lease.
func (t *Table) Renew(now time.Duration, duty, who string, term, heard uint64) (Grant, error) {
	d := t.duty(duty)
	if d.Holder != who || d.Term != term {
		return d.Grant, ErrTermOver
	}
	if heard != AnyVersion && heard != d.Version {
		return d.Grant, ErrStaleVersion
	}
	d.Version, d.Until = d.Version+1, now+d.Length
	return d.Grant, nil
}

// Resign frees a duty; one whose term is over has nothing to free.
func (t *Table) Resign(duty, who string, term uint64) error {
	d := t.duty(duty)
	if d.Holder != who || d.Term != term {
		return ErrTermOver
	}
	d.Holder, d.Until = "", 0
	return nil
}

// Led begins a leader's time: its clock is not the one by which leases were granted.
func (t *Table) Led(now time.Duration) {
	for _, d := range t.duties {
		if d.Holder != "" {
			d.Until = now + d.Length
		}
	}
}

// Over tells whether a duty's lease has ended by the table's clock, or nobody holds it: its last holder acts no more.
func (t *Table) Over(now time.Duration, duty string) bool {
	d := t.duties[duty]
	return d == nil || d.Holder == "" || now >= d.Until
}

// Holds tells whether a token is the present holder's: nobody has been granted the duty since, and it was not given back.
func (t *Table) Holds(duty string, token uint64) bool {
	d := t.duties[duty]
	return d != nil && d.Holder != "" && d.Token == token
}

// Forget lets go of a duty and of all that is known of it, its tokens included. It is for duties that no fence guards.
func (t *Table) Forget(duty string) { delete(t.duties, duty) }

// Grants lists all duties that were ever held, by name.
func (t *Table) Grants() (list []Grant) {
	for _, name := range slices.Sorted(maps.Keys(t.duties)) {
		list = append(list, t.duties[name].Grant)
	}
	return list
}

// Snapshot lists all that the table holds, by name.
func (t *Table) Snapshot() (list []Record) {
	for _, name := range slices.Sorted(maps.Keys(t.duties)) {
		list = append(list, *t.duties[name])
	}
	return list
}

// Restore takes over a snapshot. Led must follow before the next request, unless that comes from the same leader's time.
func (t *Table) Restore(list []Record) {
	t.duties = map[string]*Record{}
	for _, g := range list {
		g.Version = max(g.Version, 1) // of the earlier form
		t.duties[g.Duty] = &g
	}
}

// RequestKind is what a holder is to do next.
type RequestKind uint8

// The steps of a holder.
const (
	Wait     RequestKind = iota // nothing before Next
	Campaign                    // ask for the duty
	Renew                       // lengthen the lease
)

// Holder is one coordinator's part in one duty. It is not safe for concurrent use.
type Holder struct {
	c       Config
	held    bool
	grant   Grant
	until   time.Duration // may act before it
	sent    time.Duration // when the request that is out was sent
	out     bool
	asked   uint64 // number of that request, or of the last one
	heard   uint64 // version of the lease, by the last answer
	next    time.Duration
	pause   time.Duration
	retired bool
}

// NewHolder returns one that will campaign at first, after a pause of its own (so that not all ask at once).
func NewHolder(c Config, now, pause time.Duration) *Holder {
	return &Holder{c: c.defaults(), heard: 1, next: now + pause, pause: max(pause, time.Millisecond)}
}

// MayAct tells whether the duty may be acted on now, and under which token. It is to be asked before each act; what was asked
// before a pause of the process says nothing.
func (h *Holder) MayAct(now time.Duration) (token uint64, ok bool) {
	if !h.held || h.retired || now >= h.until {
		return 0, false
	}
	return h.grant.Token, true
}

// Next is when Step has something to say.
func (h *Holder) Next() time.Duration { return h.next }

// Request is a request to be sent.
type Request struct {
	Kind    RequestKind
	Term    uint64 // Renew: of the lease
	Version uint64 // the version of the lease that this holder knows
	N       uint64 // goes with the answer, so that a late one is not taken for that of a later request
}

// Step tells what to send now. A request is out until Granted, Denied or Lost tells of it.
func (h *Holder) Step(now time.Duration) Request {
	if h.retired || h.out || now < h.next {
		return Request{}
	}
	h.out, h.sent, h.asked = true, now, h.asked+1
	if h.held && now < h.until {
		return Request{Renew, h.grant.Term, h.heard, h.asked}
	}
	h.held = false
	return Request{Campaign, 0, h.heard, h.asked}
}

// Granted takes in the answer to request n. The lease counts from when that was sent.
func (h *Holder) Granted(now time.Duration, n uint64, g Grant) {
	if !h.out || n != h.asked || h.retired {
		return
	}
	h.out, h.held, h.grant, h.heard = false, true, g, g.Version
	h.until = h.sent + h.c.Acting()
	h.next = h.sent + time.Duration(h.c.Renew*float64(h.c.Acting()))
	if h.next <= now { // it was long on its way
		h.next = now + h.c.Acting()/20
	}
}

// VersionStale takes in, as the answer to request n, that the lease has been granted since this holder last heard of it. What is held
// goes on to its end; Step has the next request at once.
func (h *Holder) VersionStale(now time.Duration, n, version uint64) {
	if !h.out || n != h.asked {
		return
	}
	h.out, h.heard, h.next = false, version, now
}

// Denied takes in, as the answer to request n, that another holds the duty, and the version of its lease; 0 where that was not told.
func (h *Holder) Denied(now time.Duration, n, version uint64) {
	if !h.out || n != h.asked {
		return
	}
	h.out, h.held = false, false
	if version > 0 {
		h.heard = version
	}
	h.next = now + h.c.Length/4 + h.pause
}

// Lost takes in that request n got no answer in its time. What is held goes on to its end.
func (h *Holder) Lost(now time.Duration, n uint64) {
	if n != h.asked {
		return
	}
	h.out = false
	h.next = now + h.c.Acting()/20
}

// Resign stops acting at once, and tells what is to be given back.
func (h *Holder) Resign() (g Grant, held bool) {
	h.retired = true
	return h.grant, h.held
}

// Fence is a resource's: the highest token that it has seen of each duty. It is not safe for concurrent use.
type Fence struct{ seen map[string]uint64 }

// Pass tells whether an act under a token may be done.
func (f *Fence) Pass(duty string, token uint64) error {
	if high := f.seen[duty]; token < high {
		return fmt.Errorf("duty %q: token %d is older than %d, which has been used", duty, token, high)
	}
	if f.seen == nil {
		f.seen = map[string]uint64{}
	}
	f.seen[duty] = token
	return nil
}
