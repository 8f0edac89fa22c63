package store

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"gullfall/internal/lease"
	"gullfall/internal/statemachine"
)

// Lease campaigns for one duty, renews its lease and resigns it, following the decisions of internal/lease over the replicated
// state. By its own clock the holder stops acting before the lease can be granted to another, so no two coordinators perform a
// duty at the same time.
type Lease struct {
	Store    *Store
	Duty     string
	Presence bool                       // the lease is the coordinator's presence, and Duty its name
	Who      string                     // name of this coordinator
	Config   lease.Config               // length of the lease, bound on clocks
	Put      func() []statemachine.Pair // values written with each campaign; may be nil
	Granted  func(until time.Time)      // called with the end of each grant, renewals included; may be nil
	Log      *slog.Logger

	// mu guards the fields below.
	mu         sync.Mutex
	holder     *lease.Holder
	loggedHeld bool // whether the lease was held, as logged last
}

// Run campaigns and renews until ctx ends. The first campaign waits for pause, which differs between coordinators so that they do
// not all campaign at once.
func (l *Lease) Run(ctx context.Context, pause time.Duration) {
	l.mu.Lock()
	l.holder = lease.NewHolder(l.Config, l.now(), pause)
	l.mu.Unlock()
	for ctx.Err() == nil {
		l.mu.Lock()
		now := l.now()
		req, next := l.holder.Step(now), l.holder.Next()
		l.mu.Unlock()
		l.logChange()
		if req.Kind == lease.Wait {
			timer := time.NewTimer(min(max(next-now, time.Millisecond), 100*time.Millisecond))
			select {
			case <-ctx.Done():
			case <-timer.C:
			}
			timer.Stop()
			continue
		}
		l.request(ctx, req, now)
	}
}

func (l *Lease) now() time.Duration { return l.Store.clock.now() }

// request sends one request and passes its result to the holder.
func (l *Lease) request(ctx context.Context, req lease.Request, sent time.Duration) {
	c := statemachine.Command{Lease: &statemachine.LeaseOp{Kind: statemachine.Campaign, Duty: l.Duty, Presence: l.Presence, Who: l.Who, Term: req.Term, KnownVersion: req.Version,
		Length: l.Config.Length}}
	if req.Kind == lease.Renew {
		c.Lease.Kind = statemachine.Renew
	} else if l.Put != nil {
		c.Put = l.Put()
	}
	// A third of the lease leaves time for another attempt.
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(l.Config.Acting()/3))
	defer cancel()
	r, err := l.Store.Do(ctx, c)
	if err == nil && (r.Failed == "" || r.Failed == statemachine.StaleVersion) {
		// A holder acts on a grant only once this member has applied the log up to it.
		err = l.Store.Wait(ctx, r.Index)
	}
	l.mu.Lock()
	switch {
	case err != nil:
		l.holder.Unanswered(l.now(), req.Number)
	case r.Failed == statemachine.StaleVersion:
		l.holder.VersionStale(l.now(), req.Number, r.Grant.Version)
	case r.Failed != "":
		l.holder.Denied(l.now(), req.Number, r.Grant.Version)
	default:
		l.holder.Granted(l.now(), req.Number, r.Grant)
	}
	l.mu.Unlock()
	if err == nil && r.Failed == "" && l.Granted != nil {
		l.Granted(l.Store.clock.timeAt(sent + l.Config.Acting()))
	}
	l.logChange()
}

// logChange logs a lease that was gained or lost, except that of a presence.
func (l *Lease) logChange() {
	l.mu.Lock()
	token, held := l.holder.MayAct(l.now())
	changed := held != l.loggedHeld
	l.loggedHeld = held
	l.mu.Unlock()
	switch {
	case !changed || l.Presence:
	case held:
		l.Log.Info("duty taken over", "duty", l.Duty, "token", token)
	default:
		l.Log.Info("duty no longer held", "duty", l.Duty)
	}
}

// MayAct reports whether the duty may be acted on now, and returns the fencing token.
func (l *Lease) MayAct() (token uint64, ok bool) {
	token, _, ok = l.Claim()
	return token, ok
}

// Claim is like MayAct, and also returns the time at which the answer was determined.
func (l *Lease) Claim() (token uint64, at time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if l.holder != nil {
		token, ok = l.holder.MayAct(now)
	}
	return token, l.Store.clock.timeAt(now), ok
}

// Resign stops acting at once and releases the lease. If the release fails before ctx ends, the lease expires by itself.
func (l *Lease) Resign(ctx context.Context) error {
	l.mu.Lock()
	if l.holder == nil {
		l.mu.Unlock()
		return nil
	}
	g, held := l.holder.Resign()
	l.mu.Unlock()
	l.logChange()
	if !held {
		return nil
	}
	r, err := l.Store.Do(ctx, statemachine.Command{Lease: &statemachine.LeaseOp{Kind: statemachine.Resign, Duty: l.Duty, Presence: l.Presence, Who: l.Who, Term: g.Term}})
	if err != nil {
		return err
	}
	return r.Err()
}

// ResignAndPause releases the lease and campaigns again only after its length, so that another coordinator can get it.
func (l *Lease) ResignAndPause(ctx context.Context) error {
	err := l.Resign(ctx)
	l.mu.Lock()
	l.holder = lease.NewHolder(l.Config, l.now(), l.Config.Length)
	l.mu.Unlock()
	return err
}
