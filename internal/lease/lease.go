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
//	fence      a resource accepts a token that is the highest it has seen, or higher, and rejects a lower one
//
// So two holders never act at the same true time: the holder ends by L/(1+E) of true time after it sent, the lessor begins the
// next no sooner than L/(1+E) after it received the request, which is later. What a holder sent before it ended and what arrives
// after that is rejected by the fence.
package lease

import (
	"errors"
	"fmt"
	"maps"
	"slices"
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

// Lessor grants duties. It is a part of the replicated store's state: requests are applied in the order of the log, with the clock
// of the leader that received them. It is not safe for concurrent use.
type Lessor struct {
	config Config
	duties map[string]*Record
}

// Record is a grant as snapshots hold it.
type Record struct {
	Grant
	Until  time.Duration // by the leader's clock
	Length time.Duration // of its lease, as its holder requested
}

// NewLessor returns a lessor for which every duty is free.
func NewLessor(c Config) (*Lessor, error) {
	return &Lessor{config: c.withDefaults(), duties: map[string]*Record{}}, c.Check()
}

// record returns the record of a duty, a new one where there is none.
func (l *Lessor) record(name string) *Record {
	d := l.duties[name]
	if d == nil {
		d = &Record{Grant: Grant{Duty: name, Version: 1}, Length: l.config.Length}
		l.duties[name] = d
	}
	return d
}

// Grant grants a campaign for a duty that is free, or whose lease has expired. The length comes with the request, so that all members
// hold a lease alike, whatever their settings. A holder that campaigns gets a new term. known is the version of the lease that
// the sender knows, or AnyVersion. With an error, ErrHeld or ErrStaleVersion, the current grant is returned.
func (l *Lessor) Grant(now time.Duration, duty, who string, length time.Duration, known uint64) (Grant, error) {
	d := l.record(duty)
	if d.Holder != "" && d.Holder != who && now < d.Until {
		return d.Grant, fmt.Errorf("%w: %s, in term %d", ErrHeld, d.Holder, d.Term)
	}
	if known != AnyVersion && known != d.Version {
		return d.Grant, ErrStaleVersion
	}
	d.Holder, d.Term, d.Token, d.Version, d.Until, d.Length = who, d.Term+1, d.Token+1, d.Version+1, now+length, length
	return d.Grant, nil
}

// Renew extends the holder's lease by its length from now. With an error, ErrTermOver or ErrStaleVersion, the current grant is
// returned.
func (l *Lessor) Renew(now time.Duration, duty, who string, term, known uint64) (Grant, error) {
	d := l.record(duty)
	if d.Holder != who || d.Term != term {
		return d.Grant, ErrTermOver
	}
	if known != AnyVersion && known != d.Version {
		return d.Grant, ErrStaleVersion
	}
	d.Version, d.Until = d.Version+1, now+d.Length
	return d.Grant, nil
}

// Revoke frees a duty for the holder of a term; ErrTermOver tells that it holds it no more.
func (l *Lessor) Revoke(duty, who string, term uint64) error {
	d := l.record(duty)
	if d.Holder != who || d.Term != term {
		return ErrTermOver
	}
	d.Holder, d.Until = "", 0
	return nil
}

// Promote extends all leases by their lengths from now. It is called when another leader begins, whose clock is not the one by
// which they were granted.
func (l *Lessor) Promote(now time.Duration) {
	for _, d := range l.duties {
		if d.Holder != "" {
			d.Until = now + d.Length
		}
	}
}

// Expired tells whether a duty's lease has expired by the leader's clock, or nobody holds it: its last holder acts no more.
func (l *Lessor) Expired(now time.Duration, duty string) bool {
	d := l.duties[duty]
	return d == nil || d.Holder == "" || now >= d.Until
}

// Holds tells whether a token is the current holder's: nobody has been granted the duty since, and it was not revoked.
func (l *Lessor) Holds(duty string, token uint64) bool {
	d := l.duties[duty]
	return d != nil && d.Holder != "" && d.Token == token
}

// Forget removes the record of a duty, so that its tokens begin anew. It is for duties without a fence.
func (l *Lessor) Forget(duty string) { delete(l.duties, duty) }

// Grants lists the grants of all duties that were ever held, by name.
func (l *Lessor) Grants() (list []Grant) {
	for _, name := range slices.Sorted(maps.Keys(l.duties)) {
		list = append(list, l.duties[name].Grant)
	}
	return list
}

// Snapshot lists all records, by name.
func (l *Lessor) Snapshot() (list []Record) {
	for _, name := range slices.Sorted(maps.Keys(l.duties)) {
		list = append(list, *l.duties[name])
	}
	return list
}

// Restore replaces the records by a snapshot. Promote must follow before the next request, unless that is of the same leader's term.
func (l *Lessor) Restore(list []Record) {
	l.duties = map[string]*Record{}
	for _, g := range list {
		g.Version = max(g.Version, 1) // 0 in the first form
		l.duties[g.Duty] = &g
	}
}

// RequestKind is what a holder does next.
type RequestKind uint8

// The kinds of a Request.
const (
	Wait     RequestKind = iota // nothing before Next
	Campaign                    // request the duty
	Renew                       // extend the lease
)

// Holder is one coordinator's side of the lease of one duty. It is not safe for concurrent use.
type Holder struct {
	config      Config
	holding     bool
	grant       Grant
	actUntil    time.Duration // it may act before it
	sentAt      time.Duration // of the last request
	inFlight    bool          // a request waits for its result
	lastRequest uint64        // its number
	version     uint64        // of the lease, by the last answer
	nextAt      time.Duration // when the next request is due
	pause       time.Duration // added to the wait after a denial; differs between coordinators
	resigned    bool
}

// NewHolder returns a holder that campaigns first after a pause, which differs between coordinators so that not all ask at once.
func NewHolder(c Config, now, pause time.Duration) *Holder {
	return &Holder{config: c.withDefaults(), version: 1, nextAt: now + pause, pause: max(pause, time.Millisecond)}
}

// MayAct tells whether the duty may be acted on now, and returns the fencing token. It must be called before each act: an earlier
// result does not hold after a pause of the process.
func (h *Holder) MayAct(now time.Duration) (token uint64, ok bool) {
	if !h.holding || h.resigned || now >= h.actUntil {
		return 0, false
	}
	return h.grant.Token, true
}

// Next returns when Step has the next request.
func (h *Holder) Next() time.Duration { return h.nextAt }

// Request is a request to be sent.
type Request struct {
	Kind    RequestKind
	Term    uint64 // Renew: of the lease
	Version uint64 // the version of the lease that this holder knows
	Number  uint64 // names the request to which an answer belongs, so that a late answer is ignored
}

// Step returns the request to send now. One request is in flight at a time, until Granted, VersionStale, Denied or Unanswered is
// called for it.
func (h *Holder) Step(now time.Duration) Request {
	if h.resigned || h.inFlight || now < h.nextAt {
		return Request{}
	}
	h.inFlight, h.sentAt, h.lastRequest = true, now, h.lastRequest+1
	if h.holding && now < h.actUntil {
		return Request{Renew, h.grant.Term, h.version, h.lastRequest}
	}
	h.holding = false
	return Request{Campaign, 0, h.version, h.lastRequest}
}

// Granted handles a grant for request n. The lease counts from when that was sent.
func (h *Holder) Granted(now time.Duration, n uint64, g Grant) {
	if !h.inFlight || n != h.lastRequest || h.resigned {
		return
	}
	h.inFlight, h.holding, h.grant, h.version = false, true, g, g.Version
	h.actUntil = h.sentAt + h.config.Acting()
	h.nextAt = h.sentAt + time.Duration(h.config.Renew*float64(h.config.Acting()))
	if h.nextAt <= now { // the answer took long
		h.nextAt = now + h.config.Acting()/20
	}
}

// VersionStale handles the answer to request n that the lease has another version. A lease that is held goes on to its end; the next
// request is due at once.
func (h *Holder) VersionStale(now time.Duration, n, version uint64) {
	if !h.inFlight || n != h.lastRequest {
		return
	}
	h.inFlight, h.version, h.nextAt = false, version, now
}

// Denied handles the answer to request n that another holds the duty, with the version of its lease; 0 for unknown.
func (h *Holder) Denied(now time.Duration, n, version uint64) {
	if !h.inFlight || n != h.lastRequest {
		return
	}
	h.inFlight, h.holding = false, false
	if version > 0 {
		h.version = version
	}
	h.nextAt = now + h.config.Length/4 + h.pause
}

// Unanswered handles the timeout of request n. A lease that is held goes on to its end.
func (h *Holder) Unanswered(now time.Duration, n uint64) {
	if n != h.lastRequest {
		return
	}
	h.inFlight = false
	h.nextAt = now + h.config.Acting()/20
}

// Resign stops acting at once, and returns the lease to revoke.
func (h *Holder) Resign() (g Grant, held bool) {
	h.resigned = true
	return h.grant, h.holding
}
