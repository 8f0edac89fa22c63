package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"gullfall/internal/coordinator"
	"gullfall/internal/maintenance"
	"gullfall/internal/statemachine"
)

// errStoreEmpty is returned while this store member has not applied anything.
var errStoreEmpty = errors.New("the store has not been heard yet")

func decodePlan(raw []byte) (*maintenance.State, error) {
	plan := &maintenance.State{}
	if len(raw) == 0 {
		return plan, nil
	}
	if err := json.Unmarshal(raw, plan); err != nil {
		return nil, fmt.Errorf("plan in the store: %w", err)
	}
	return plan, nil
}

// exclusions converts a plan to the form that the coordinator uses.
func exclusions(plan *maintenance.State) coordinator.Maintenance {
	o := plan.Overlay()
	return coordinator.Maintenance{Excluded: o.Excluded, ExcludedAddrs: o.Addrs, Announced: o.Announced, Returned: o.Returned}
}

// planEntry returns the stored plan as this store member has applied it; ok is false while it has not applied anything.
func (a *Agent) planEntry() (e statemachine.Entry, ok bool) {
	a.opts.Store.View(func(st *statemachine.State) {
		e, _ = st.Get(planKey)
		ok = st.Index() > 0
	})
	return e, ok
}

// plan returns the plan as this store member has applied it, and its revision.
func (a *Agent) plan() (plan *maintenance.State, revision uint64, err error) {
	e, ok := a.planEntry()
	if !ok {
		return nil, 0, errStoreEmpty
	}
	plan, err = decodePlan(e.Value)
	return plan, e.Revision, err
}

// updatePlan changes the plan by compare-and-set, and retries if another coordinator has changed it concurrently.
func (a *Agent) updatePlan(ctx context.Context, change func(*maintenance.State) error) error {
	for {
		if err := a.opts.Store.Sync(ctx); err != nil {
			return fmt.Errorf("the store was not heard in time; try again, or at another coordinator: %w", err)
		}
		plan, revision, err := a.plan()
		if err != nil {
			return err
		}
		if err := change(plan); err != nil {
			return err
		}
		data, err := json.Marshal(plan)
		if err != nil {
			return err
		}
		r, err := a.opts.Store.Do(ctx, statemachine.Command{Conditions: []statemachine.Condition{{Key: planKey, Revision: revision}}, Put: []statemachine.Pair{{Key: planKey, Value: data}}})
		switch {
		case err != nil:
			return fmt.Errorf("the store did not answer in time, so it may or may not have been taken; look with `gullfall work list`: %w", err)
		case r.Cause == "":
			return a.opts.Store.Wait(ctx, r.Index)
		case r.Cause != statemachine.Conflict:
			return r.Err()
		}
	}
}
