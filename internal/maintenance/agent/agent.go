// Package agent is one coordinator's part in taking machines out for maintenance. It follows the plan in the coordinators' store and
// tells the coordinator which machines it excludes; it acknowledges calls, and machines at which no attempt is in flight, in its
// record in the store; and it makes the moves while it holds the duty. internal/maintenance decides, internal/statemachine
// settles.
package agent

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"gullfall/internal/coordinator"
	"gullfall/internal/lease"
	"gullfall/internal/maintenance"
	"gullfall/internal/observations"
	"gullfall/internal/store"
)

// The keys in the store.
const (
	planKey   = "work/plan"
	recordKey = "work/coordinator/" // followed by the coordinator's name
	triedKey  = "duties/"           // followed by the duty
)

// Options are set before Start.
type Options struct {
	Store       *store.Store
	Coordinator *coordinator.Coordinator
	Name        string // of this coordinator
	Log         *slog.Logger
	Layout      maintenance.Layout
	Limits      maintenance.Limits
	WarmupTime  time.Duration // of a data node after its start
	// LongestAttempt is the longest time of an attempt. With too little, a machine is handed over while an attempt is in flight there.
	LongestAttempt time.Duration
	PresenceBound  time.Duration // for how long machines that are called may be sent to without an answer of the store
	Duty           time.Duration // length of the lease of a duty
	Drift          float64       // share by which clocks may run fast or slow
	Every          time.Duration // between looks at the plan while the duty is held
	Duties         []string      // further duties to campaign for
	Hook           []string      // command that is run with out or done, the machine and its address; empty for none
	HookFor        time.Duration // longest run of the hook
	Budget         int           // bytes of plans that the holder of the duty writes in a second
	// Observations returns what all coordinators report of a data node; nil where they exchange nothing.
	Observations func(node string) observations.View
}

// Agent is one coordinator's part. Its methods may be called from any goroutine.
type Agent struct {
	opts        Options
	start       time.Time
	planLimiter *rate.Limiter // bytes of plans that are written
	leases      leases
	hooks       hookRunner
	stop        context.CancelFunc
	wg          sync.WaitGroup

	// mu guards the fields below.
	mu       sync.Mutex
	applied  appliedPlan
	acked    record             // what this coordinator acknowledges
	renewals map[string]renewal // of presences, by coordinator; while the duty is held
}

// leases are the leases that this coordinator campaigns for.
type leases struct {
	presence    *store.Lease
	maintenance *store.Lease            // of the duty to make moves
	duties      map[string]*store.Lease // by duty, that one included
}

// presenceRenewal is the share of a presence's time after which it is renewed.
const presenceRenewal = 0.2

// Start takes part from now on. EnableMaintenance must have been called on the coordinator.
func Start(o Options) *Agent {
	ctx, stop := context.WithCancel(context.Background())
	a := &Agent{opts: o, start: time.Now(), planLimiter: rate.NewLimiter(rate.Limit(o.Budget), o.Budget), stop: stop,
		hooks: newHookRunner(o), acked: record{Clear: map[string]uint64{}}, renewals: map[string]renewal{}}
	a.leases = a.newLeases()
	a.restore()
	a.wg.Go(func() { a.leases.presence.Run(ctx, time.Millisecond) })
	for _, l := range a.leases.duties {
		a.wg.Go(func() { l.Run(ctx, o.PresenceBound/8) })
	}
	a.wg.Go(func() { a.watch(ctx) })
	a.wg.Go(func() { a.runMoves(ctx) })
	return a
}

// newLeases returns the leases, which do not campaign yet.
func (a *Agent) newLeases() leases {
	o := a.opts
	l := leases{duties: map[string]*store.Lease{}}
	// The presence ends here by the longest attempt before it ends in the store: until then attempts that were sent have ended.
	length := time.Duration(float64(o.PresenceBound+o.LongestAttempt)*(1+o.Drift)/(1-o.Drift)) + time.Millisecond
	l.presence = &store.Lease{Store: o.Store, Duty: o.Name, Presence: true, Who: o.Name, Log: o.Log, Put: a.record,
		Config: lease.Config{Length: length, Drift: o.Drift, Renew: presenceRenewal},
		Granted: func(until time.Time) {
			if _, ok := a.follow(); ok { // the plan that was agreed before the grant goes first
				o.Coordinator.ExtendPresence(until.Add(-o.LongestAttempt))
			}
		}}
	for _, duty := range append([]string{maintenance.Duty}, o.Duties...) {
		l.duties[duty] = &store.Lease{Store: o.Store, Duty: duty, Who: o.Name, Config: lease.Config{Length: o.Duty, Drift: o.Drift}, Log: o.Log}
	}
	l.maintenance = l.duties[maintenance.Duty]
	return l
}

// Leave returns all duties at once, so that other coordinators get them. This coordinator goes on taking part.
func (a *Agent) Leave(ctx context.Context) error {
	var group errgroup.Group
	for _, l := range a.leases.duties {
		group.Go(func() error { return l.ResignAndPause(ctx) })
	}
	return group.Wait()
}

// Close ends the part. idle tells that no attempt of this coordinator is in flight and none will be sent: then the presence is
// returned by ctx's deadline, so that nobody waits for it to expire.
func (a *Agent) Close(ctx context.Context, idle bool) { //nolint:revive // a drain that is cut short differs in this one step
	a.opts.Coordinator.ExtendPresence(time.Time{})
	if idle {
		_ = a.leases.presence.Resign(ctx) // else it expires
	}
	a.stop()
	a.wg.Wait()
	a.hooks.wg.Wait()
}
