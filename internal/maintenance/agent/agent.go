// Package agent is the maintenance agent of one coordinator. It follows the plan in the coordinators' store and tells its coordinator
// which machines to exclude. It acknowledges announcements of machines, and machines at which no attempt is in flight, in its own
// record in the store. While it holds the duty, it makes the moves. internal/maintenance decides on the moves, and
// internal/statemachine checks and applies the writes.
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

// Keys in the store.
const (
	planKey         = "work/plan"
	recordKeyPrefix = "work/coordinator/" // followed by the coordinator's name
	tryKeyPrefix    = "duties/"           // followed by the duty
)

// Options are the parameters of Start.
type Options struct {
	Store       *store.Store
	Coordinator *coordinator.Coordinator
	Name        string // name of this coordinator
	Log         *slog.Logger
	Layout      maintenance.Layout
	Limits      maintenance.Limits
	WarmupTime  time.Duration // warm-up time of a data node after its start
	// LongestAttempt is the longest duration of an attempt. If it is too short, a machine may be handed over while an attempt is in
	// flight there.
	LongestAttempt     time.Duration
	PresenceBound      time.Duration // how long announced machines may be sent to without an answer from the store
	DutyLease          time.Duration // lease length of a duty
	Drift              float64       // share by which clocks may run fast or slow
	MoveInterval       time.Duration // interval between moves while the duty is held
	Duties             []string      // further duties to campaign for
	Hook               []string      // command to run with the arguments out or done, the machine and its address; empty for none
	HookTimeout        time.Duration // timeout of the hook
	PlanBytesPerSecond int           // bytes of plans per second that the holder of the duty may write
	// Observations returns what all coordinators report about a data node; nil if coordinators do not exchange observations.
	Observations func(node string) observations.View
}

// Agent is the maintenance agent of one coordinator. Its methods are safe for concurrent use.
type Agent struct {
	opts        Options
	start       time.Time
	planLimiter *rate.Limiter // limits the bytes of plans that are written
	leases      leases
	hooks       hookRunner
	stop        context.CancelFunc
	wg          sync.WaitGroup

	// mu guards the fields below.
	mu       sync.Mutex
	applied  appliedPlan
	acked    record             // what this coordinator acknowledges
	renewals map[string]renewal // last observed renewals of presences, by coordinator; kept while the duty is held
}

// leases are the leases that this coordinator campaigns for.
type leases struct {
	presence    *store.Lease
	maintenance *store.Lease            // lease of the duty to make moves
	duties      map[string]*store.Lease // by duty, maintenance included
}

// presenceRenewal is the fraction of a presence's lease after which it is renewed.
const presenceRenewal = 0.2

// Start starts an agent. EnableMaintenance must have been called on the coordinator.
func Start(o Options) *Agent {
	ctx, stop := context.WithCancel(context.Background())
	a := &Agent{opts: o, start: time.Now(), planLimiter: rate.NewLimiter(rate.Limit(o.PlanBytesPerSecond), o.PlanBytesPerSecond), stop: stop,
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

// newLeases returns the leases without starting to campaign for them.
func (a *Agent) newLeases() leases {
	o := a.opts
	l := leases{duties: map[string]*store.Lease{}}
	// The presence ends here earlier than in the store, by the longest attempt, so that all attempts sent under it have ended when it
	// expires in the store.
	length := time.Duration(float64(o.PresenceBound+o.LongestAttempt)*(1+o.Drift)/(1-o.Drift)) + time.Millisecond
	l.presence = &store.Lease{Store: o.Store, Duty: o.Name, Presence: true, Coordinator: o.Name, Log: o.Log, Put: a.record,
		Config: lease.Config{Length: length, Drift: o.Drift, Renew: presenceRenewal},
		Granted: func(until time.Time) {
			if _, ok := a.follow(); ok { // the plan that was committed before the grant is applied first
				o.Coordinator.ExtendPresence(until.Add(-o.LongestAttempt))
			}
		}}
	for _, duty := range append([]string{maintenance.Duty}, o.Duties...) {
		l.duties[duty] = &store.Lease{Store: o.Store, Duty: duty, Coordinator: o.Name, Config: lease.Config{Length: o.DutyLease, Drift: o.Drift}, Log: o.Log}
	}
	l.maintenance = l.duties[maintenance.Duty]
	return l
}

// Leave resigns all duties at once, so that other coordinators can take them over. This coordinator remains a participant.
func (a *Agent) Leave(ctx context.Context) error {
	var group errgroup.Group
	for _, l := range a.leases.duties {
		group.Go(func() error { return l.ResignAndPause(ctx) })
	}
	return group.Wait()
}

// Close stops the agent. idle means that no attempt of this coordinator is in flight and none will be sent. Then Close resigns the
// presence, by ctx's deadline, so that other coordinators need not wait for it to expire.
func (a *Agent) Close(ctx context.Context, idle bool) { //nolint:revive // a drain that is cut short differs in this one step
	a.opts.Coordinator.ExtendPresence(time.Time{})
	if idle {
		_ = a.leases.presence.Resign(ctx) // on failure it expires
	}
	a.stop()
	a.wg.Wait()
	a.hooks.wg.Wait()
}
