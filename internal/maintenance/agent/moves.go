package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"gullfall/internal/maintenance"
	"gullfall/internal/statemachine"
)

const (
	syncTimeout = time.Second     // for the first read of the store as the holder of the duty
	moveTimeout = 2 * time.Second // for one write of moves
)

// runMoves makes moves while the duty is held, until ctx ends.
func (a *Agent) runMoves(ctx context.Context) {
	ticker := time.NewTicker(a.opts.MoveInterval)
	defer ticker.Stop()
	var timer *maintenance.Timer // nil while the duty is not held, or this member has not applied all that earlier holders committed
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, ok := a.leases.maintenance.MayAct(); !ok {
			timer = nil
			a.resetHolderState()
			continue
		}
		if timer == nil {
			if a.syncStore(ctx) != nil {
				continue
			}
			timer = &maintenance.Timer{}
		}
		if err := a.makeMoves(ctx, timer); err != nil && ctx.Err() == nil {
			a.opts.Log.Warn("no move was made", "cause", err)
		}
	}
}

// resetHolderState drops the state that is kept only while the duty is held.
func (a *Agent) resetHolderState() {
	a.hooks.reset()
	a.mu.Lock()
	clear(a.renewals)
	a.mu.Unlock()
}

// syncStore waits until this store member has applied everything that earlier holders of the duty committed.
func (a *Agent) syncStore(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(syncTimeout))
	defer cancel()
	return a.opts.Store.Sync(ctx)
}

// makeMoves reads the state of the fleet once and makes the moves that are due, in one store command.
func (a *Agent) makeMoves(ctx context.Context, timer *maintenance.Timer) error {
	plan, revision, err := a.plan()
	if err != nil || len(plan.Requests) == 0 {
		return err
	}
	// The plan is applied before the fleet is read, since only that makes a returning machine count as warming up.
	if _, ok := a.follow(); !ok {
		return nil
	}
	view, err := a.view()
	if err != nil {
		return err
	}
	a.hooks.run(ctx, plan)
	if a.planLimiter.TokensAt(time.Now()) < 0 { // the last plan exceeded the limit
		return nil
	}
	moves, changed := plan.Step(view, timer)
	if !changed {
		return nil
	}
	return a.writeMoves(ctx, plan, revision, moves)
}

// view returns the input for deciding the next moves.
func (a *Agent) view() (*maintenance.View, error) {
	fleet, err := a.fleet()
	if err != nil {
		return nil, err
	}
	return &maintenance.View{Now: time.Since(a.start), Wall: time.Now(), Fleet: fleet, Limits: a.opts.Limits, WarmupTime: a.opts.WarmupTime,
		Coordinators: a.coordinators(), Overloaded: a.opts.Coordinator.Overloaded(), HookDone: a.hooks.doneTurns()}, nil
}

// writeMoves writes the plan with its moves. The store applies the write only if the plan still has the revision that the moves are
// based on, this coordinator holds the duty under its token, and the presences in the moves' Lapsed have expired.
func (a *Agent) writeMoves(ctx context.Context, plan *maintenance.State, revision uint64, moves []maintenance.Move) error {
	data, err := json.Marshal(plan)
	if err != nil {
		return err
	}
	token, ok := a.leases.maintenance.MayAct()
	if !ok {
		return nil
	}
	a.reserve(len(data))
	c := statemachine.Command{Conditions: []statemachine.Condition{{Key: planKey, Revision: revision}, {Duty: maintenance.Duty, Token: token}},
		Put: []statemachine.Pair{{Key: planKey, Value: data}}}
	for _, m := range moves {
		for _, name := range m.Lapsed {
			c.Conditions = append(c.Conditions, statemachine.Condition{ExpiredPresence: name})
		}
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(moveTimeout))
	defer cancel()
	r, err := a.opts.Store.Do(ctx, c)
	if err == nil && r.Cause != "" && r.Cause != statemachine.Conflict {
		err = r.Err()
	}
	if err == nil {
		err = a.opts.Store.Wait(ctx, r.Index)
	}
	if err != nil {
		return fmt.Errorf("write %d moves: %w", len(moves), err)
	}
	if r.Cause != "" {
		a.opts.Log.Info("moves not applied; retrying", "moves", len(moves), "cause", r.Detail)
	}
	return nil
}

// reserve takes bytes from planLimiter, in portions of at most its burst.
func (a *Agent) reserve(bytes int) {
	for left, now := bytes, time.Now(); left > 0; left -= a.opts.PlanBytesPerSecond {
		a.planLimiter.ReserveN(now, min(left, a.opts.PlanBytesPerSecond))
	}
}
