package lease

import (
	"time"
)

// RequestKind is the kind of a Request.
type RequestKind uint8

// The kinds of a Request.
const (
	Wait     RequestKind = iota // send nothing until Next
	Campaign                    // request the duty
	Renew                       // extend the lease
)

// Request is a request that the holder is to send.
type Request struct {
	Kind    RequestKind
	Term    uint64 // for Renew: term of the lease
	Version uint64 // the version of the lease that this holder knows
	Number  uint64 // identifies the request in its answer, so that late answers are ignored
}

// Holder is one coordinator's side of the lease of one duty. It is not safe for concurrent use.
type Holder struct {
	config      Config
	holding     bool
	grant       Grant
	actUntil    time.Duration // the holder may act until then, by its own clock
	sentAt      time.Duration // when the last request was sent
	inFlight    bool          // the last request has no answer yet
	lastRequest uint64        // number of the last request
	version     uint64        // version of the lease in the last answer
	nextAt      time.Duration // when the next request is due
	pause       time.Duration // added to the wait after a denial; differs between coordinators
	resigned    bool
}

// NewHolder returns a holder that first campaigns after a pause, which differs between coordinators so that they do not all send
// at once.
func NewHolder(c Config, now, pause time.Duration) *Holder {
	return &Holder{config: c.withDefaults(), version: 1, nextAt: now + pause, pause: max(pause, time.Millisecond)}
}

// MayAct reports whether the duty may be acted on now, and returns the fencing token. It must be called before each action: after
// a pause of the process an earlier result is no longer valid.
func (h *Holder) MayAct(now time.Duration) (token uint64, ok bool) {
	if !h.holding || h.resigned || now >= h.actUntil {
		return 0, false
	}
	return h.grant.Token, true
}

// Next returns the time from which Step returns the next request.
func (h *Holder) Next() time.Duration { return h.nextAt }

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

// Granted handles a grant for request n. The lease counts from when the request was sent.
func (h *Holder) Granted(now time.Duration, n uint64, g Grant) {
	if !h.inFlight || n != h.lastRequest || h.resigned {
		return
	}
	h.inFlight, h.holding, h.grant, h.version = false, true, g, g.Version
	h.actUntil = h.sentAt + h.config.Acting()
	h.nextAt = h.sentAt + time.Duration(h.config.Renew*float64(h.config.Acting()))
	if h.nextAt <= now { // the answer came late
		h.nextAt = now + h.config.Acting()/20
	}
}

// VersionStale handles the answer to request n that the lease has another version. A lease that is held continues until its end;
// the next request is due at once.
func (h *Holder) VersionStale(now time.Duration, n, version uint64) {
	if !h.inFlight || n != h.lastRequest {
		return
	}
	h.inFlight, h.version, h.nextAt = false, version, now
}

// Denied handles the answer to request n that another holds the duty, with the version of that lease, or 0 if it is unknown.
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

// Unanswered handles the timeout of request n. A lease that is held continues until its end.
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
