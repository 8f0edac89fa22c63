package agent

import (
	"context"
	"fmt"
	"gullfall/internal/lease"
	"gullfall/internal/maintenance"
	"gullfall/internal/statemachine"
	"gullfall/internal/store"
)

// View is the state of maintenance as shown to operators. Its JSON keys are those of the admin command.
type View struct {
	Self         string
	Plan         *maintenance.State
	Coordinators []CoordinatorView
	Duties       []DutyView
	Store        store.Status
}

// CoordinatorView is a participating coordinator.
type CoordinatorView struct {
	Name    string
	Seen    uint64
	Clear   map[string]uint64
	Present bool // as far as this coordinator knows
}

// DutyView is a duty and its holder.
type DutyView struct {
	lease.Grant
	LeaseS float64 // lease length in seconds
}

// View returns the state of maintenance as this coordinator has applied it. If fresh is set, it first waits for everything that was
// committed before the call.
func (a *Agent) View(ctx context.Context, fresh bool) (v View, err error) { //nolint:revive // the flag of the admin command, whose two answers differ in this one step
	if fresh {
		if err := a.opts.Store.Sync(ctx); err != nil {
			return v, fmt.Errorf("the store was not heard in time; --stale shows what is known here: %w", err)
		}
	}
	v.Self, v.Store = a.opts.Name, a.opts.Store.Status()
	if v.Plan, _, err = a.plan(); err != nil {
		return v, err
	}
	for _, c := range a.coordinators() {
		v.Coordinators = append(v.Coordinators, CoordinatorView{c.Name, c.Seen, c.Clear, !c.Absent})
	}
	a.opts.Store.View(func(st *statemachine.State) {
		for _, g := range st.Duties() {
			v.Duties = append(v.Duties, DutyView{Grant: g, LeaseS: a.opts.DutyLease.Seconds()})
		}
	})
	return v, nil
}
