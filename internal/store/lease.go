package store

// This file owns one coordinator's part in one duty: it campaigns, renews and gives back, by the decisions of internal/lease
// over the replicated table. It must never let a lease be acted on for longer than its holder's own clock proves.

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"gullfall/internal/lease"
	"gullfall/internal/statemachine"
)

// Lease is held, or campaigned for, as long as Run runs.
type Lease struct {
	Store    *Store
	Duty     string
	Presence bool                       // the coordinator's own presence; Duty is its name
	Who      string                     // the coordinator
	Config   lease.Config               // its length, the bound on clocks
	Put      func() []statemachine.Pair // goes with each campaign; may be nil
	Granted  func(until time.Time)      // of each grant, renewals included; may be nil
	Log      *slog.Logger

	mu         sync.Mutex
	holder     *lease.Holder
	loggedHeld bool // as logged last
}

// Run campaigns and renews until ctx ends. The first campaign waits for a pause of this coordinator's own.
func (l *Lease) Run(ctx context.Context, pause time.Duration) {
	l.mu.Lock()
	l.holder = lease.NewHolder(l.Config, l.now(), pause)
	l.mu.Unlock()
	for ctx.Err() == nil {
		l.mu.Lock()
		now := l.now()
		ask, next := l.holder.Step(now), l.holder.Next()
		l.mu.Unlock()
		l.logChange()
		if ask.Kind == lease.Wait {
			timer := time.NewTimer(min(max(next-now, time.Millisecond), 100*time.Millisecond))
			select {
			case <-ctx.Done():
			case <-timer.C:
			}
			timer.Stop()
			continue
		}
		l.request(ctx, ask, now)
	}
}

func (l *Lease) now() time.Duration { return l.Store.clock() }

// ask puts one request and takes in what came of it.
func (l *Lease) request(ctx context.Context, ask lease.Request, sent time.Duration) {
	c := statemachine.Command{Lease: &statemachine.LeaseOp{What: statemachine.Campaign, Duty: l.Duty, Presence: l.Presence, Who: l.Who, Term: ask.Term, Heard: ask.Version,
		Length: l.Config.Length}}
	if ask.Kind == lease.Renew {
		c.Lease.What = statemachine.Renew
	} else if l.Put != nil {
		c.Put = l.Put()
	}
	// A third of the lease: then there is time for another try.
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(l.Config.Acting()/3))
	defer cancel()
	r, err := l.Store.Do(ctx, c)
	if err == nil && (r.Failed == "" || r.Failed == statemachine.StaleVersion) {
		// What was settled before the grant is known here before it is acted on; who does not get the log has not heard.
		err = l.Store.Wait(ctx, r.Index)
	}
	l.mu.Lock()
	switch {
	case err != nil:
		l.holder.Lost(l.now(), ask.N)
	case r.Failed == statemachine.StaleVersion:
		l.holder.VersionStale(l.now(), ask.N, r.Grant.Version)
	case r.Failed != "":
		l.holder.Denied(l.now(), ask.N, r.Grant.Version)
	default:
		l.holder.Granted(l.now(), ask.N, r.Grant)
	}
	l.mu.Unlock()
	if err == nil && r.Failed == "" && l.Granted != nil {
		l.Granted(l.Store.at(sent + l.Config.Acting()))
	}
	l.logChange()
}

// tell logs that the lease was won or lost.
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

// MayAct tells whether the duty may be acted on now, and under which token.
func (l *Lease) MayAct() (token uint64, ok bool) {
	token, _, ok = l.Claim()
	return token, ok
}

// Claim is MayAct with the moment for which it was told.
func (l *Lease) Claim() (token uint64, at time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if l.holder != nil {
		token, ok = l.holder.MayAct(now)
	}
	return token, l.Store.at(now), ok
}

// Resign stops acting at once and gives the lease back, by ctx's deadline; else it runs out.
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
	r, err := l.Store.Do(ctx, statemachine.Command{Lease: &statemachine.LeaseOp{What: statemachine.Resign, Duty: l.Duty, Presence: l.Presence, Who: l.Who, Term: g.Term}})
	if err != nil {
		return err
	}
	return r.Err()
}

// StandBack gives the lease back and campaigns again only after its length, so that another can take it over.
func (l *Lease) StandBack(ctx context.Context) error {
	err := l.Resign(ctx)
	l.mu.Lock()
	l.holder = lease.NewHolder(l.Config, l.now(), l.Config.Length)
	l.mu.Unlock()
	return err
}
