package agent

import (
	"context"
	"fmt"
	"slices"
	"time"

	"gullfall/internal/maintenance"
	"gullfall/internal/statemachine"
)

// Request is an operator's request for maintenance. Its JSON keys are those of the admin command.
type Request struct {
	By            string
	Machines      []string
	Zone          string // all machines of this zone
	StartedBefore int64  // Unix milliseconds: all machines whose process started earlier, such as those of an older release
	All           bool
	Takes, Back   time.Duration
	NotBefore     int64
	DoneBy        int64
	AtOnce        int
	Barred        []maintenance.DailyRange
	GoOn, ByHand  bool
	DryRun        bool
}

// PlanResult is the answer to a Request.
type PlanResult struct {
	Request uint64 // id of the request; 0 for a dry run
	Plan    maintenance.Plan
	Ends    int64 // Unix seconds: estimated end when executed wave by wave, which is the latest
	Step    time.Duration
}

// Start plans a request, and adds it to the plan unless it is a dry run.
func (a *Agent) Start(ctx context.Context, req Request) (p PlanResult, err error) {
	fleet, err := a.fleet()
	if err != nil {
		return p, err
	}
	machines := req.machines(fleet)
	if len(machines) == 0 {
		return p, fmt.Errorf("no machine is named, and none is listed in zone %q or was started before %d", req.Zone, req.StartedBefore)
	}
	add := func(plan *maintenance.State) error {
		r, order, err := plan.Start(time.Now(), req.forPlan(), machines, fleet, a.opts.Limits, a.opts.WarmupTime)
		p.Plan, p.Step = order, req.Takes+a.opts.WarmupTime
		if err != nil {
			return err
		}
		p.Ends = max(time.Now().Unix(), req.NotBefore) + int64(time.Duration(len(order.Waves))*p.Step/time.Second)
		if !req.DryRun {
			p.Request = r.ID
			plan.RecordAudit(time.Now(), req.By, fmt.Sprintf("start %d: %d machines in %d waves", r.ID, len(r.Steps), r.Waves))
		}
		return nil
	}
	if !req.DryRun {
		return p, a.updatePlan(ctx, add)
	}
	plan, _, err := a.plan()
	if err != nil {
		return p, err
	}
	return p, add(plan)
}

// machines returns the sorted ids of the machines that a request names or selects.
func (r Request) machines(fleet *maintenance.Fleet) []string {
	ids := slices.Clone(r.Machines)
	for i := range fleet.Machines {
		m := &fleet.Machines[i]
		selected := r.All || r.Zone != "" && m.Zone == r.Zone || r.StartedBefore > 0 && m.Started > 0 && m.Started < r.StartedBefore
		if selected && !slices.Contains(ids, m.ID) {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// forPlan converts the request to the form that the plan stores.
func (r Request) forPlan() maintenance.Request {
	return maintenance.Request{By: r.By, Takes: r.Takes, Back: r.Back, NotBefore: r.NotBefore, DoneBy: r.DoneBy, AtOnce: r.AtOnce, Barred: r.Barred,
		GoOn: r.GoOn, ByHand: r.ByHand}
}

// Order carries out an operator's action on a request: maintenance.Pause, Resume or Abandon.
func (a *Agent) Order(ctx context.Context, by, action string, request uint64) error {
	return a.updatePlan(ctx, func(plan *maintenance.State) error {
		if err := plan.Order(action, request); err != nil {
			return err
		}
		plan.RecordAudit(time.Now(), by, fmt.Sprintf("%s %d", action, request))
		return nil
	})
}

// Done records that the work on a machine is done. as is the id under which the machine comes back; empty if unchanged.
func (a *Agent) Done(ctx context.Context, by, machine, as string) error {
	return a.updatePlan(ctx, func(plan *maintenance.State) error {
		if err := plan.WorkDone(machine, as); err != nil {
			return err
		}
		plan.RecordAudit(time.Now(), by, fmt.Sprintf("done %s %s", machine, as))
		return nil
	})
}

// Forget removes the record of a coordinator that is permanently gone, so that no machine waits for it. It returns an error if the
// coordinator is present.
func (a *Agent) Forget(ctx context.Context, by, name string) error {
	known := false
	a.opts.Store.View(func(st *statemachine.State) { _, known = st.Get(recordKeyPrefix + name) })
	if !known {
		return fmt.Errorf("no coordinator %q takes part", name)
	}
	r, err := a.opts.Store.Do(ctx, statemachine.Command{Lease: &statemachine.LeaseOp{Kind: statemachine.Forget, Presence: true, Duty: name, Coordinator: a.opts.Name},
		Put: []statemachine.Pair{{Key: recordKeyPrefix + name}}})
	if err != nil {
		return err
	}
	if r.Cause != "" {
		return fmt.Errorf("%q is present, or was until just now; only one that has ended is gone for good", name)
	}
	return a.updatePlan(ctx, func(plan *maintenance.State) error {
		plan.RecordAudit(time.Now(), by, "forget "+name)
		return nil
	})
}
