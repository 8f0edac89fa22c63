package agent

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"gullfall/internal/statemachine"
)

const (
	// followInterval is how often the agent checks for attempts that have ended, of which the store does not notify it.
	followInterval = 20 * time.Millisecond
	// recordTimeout bounds one write of the record.
	recordTimeout = time.Second
)

// record holds the acknowledgements of a coordinator, as stored.
type record struct {
	Seen  uint64            // maintenance.State.Seen of the latest plan that it applied while present
	Clear map[string]uint64 `json:",omitempty"` // Step.Turn by machine, for excluded machines at which it has no attempt in flight
}

// appliedPlan describes the plan that the coordinator has applied.
type appliedPlan struct {
	known    bool
	revision uint64
	seen     uint64            // maintenance.State.Seen of the plan
	turns    map[string]uint64 // Step.Turn by machine, for the plan's excluded machines
	logged   uint64            // number of the last move that was logged
}

// restore starts from the plan that this coordinator had applied before its restart, if its record is on disk too. Any request that
// has progressed since then without an acknowledgement from this coordinator was already in that plan. Without the plan nothing is
// known, and nothing is sent before the store answers.
func (a *Agent) restore() {
	raw := a.opts.Store.Get(recordKeyPrefix + a.opts.Name)
	if !a.opts.Store.Persistent() || len(raw) == 0 {
		return
	}
	var r record
	if err := json.Unmarshal(raw, &r); err != nil {
		return
	}
	plan, err := decodePlan(a.opts.Store.Get(planKey))
	if err != nil || plan.Seen() < r.Seen {
		a.opts.Log.Warn("stored maintenance plan not used; nothing is sent until the store answers", "cause", err)
		return
	}
	a.mu.Lock()
	a.applied.seen, a.acked.Seen = r.Seen, r.Seen
	a.mu.Unlock()
	a.opts.Coordinator.SetMaintenance(exclusions(plan))
}

// watch follows the plan and writes the record when it is outdated, until ctx ends.
func (a *Agent) watch(ctx context.Context) {
	for ctx.Err() == nil {
		changed := a.opts.Store.Changed()
		if outdated, _ := a.follow(); outdated {
			a.writeRecord(ctx)
		}
		timer := time.NewTimer(followInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// follow applies the stored plan and updates what is acknowledged. It reports whether the record in the store is outdated; ok is
// false if the plan is not known yet.
func (a *Agent) follow() (outdated, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.applyPlan() {
		return false, false
	}
	a.acknowledge()
	var stored record
	if raw := a.opts.Store.Get(recordKeyPrefix + a.opts.Name); len(raw) == 0 || json.Unmarshal(raw, &stored) != nil {
		return true, true
	}
	return stored.Seen != a.acked.Seen || !maps.Equal(stored.Clear, a.acked.Clear), true
}

// acknowledge updates the machines at which no attempt is in flight, and the announcements that were seen. The caller holds a.mu.
//
// An announcement is acknowledged only while present. Without presence, an attempt may be in flight at a machine that had not been
// announced when it was sent; with presence, such attempts end before the presence expires in the store, so the machine is not handed
// over while they run. An announcement is not acknowledged either while the disk may hold an older plan: after a restart this
// coordinator would use that plan, and send without presence to machines that were announced since.
func (a *Agent) acknowledge() {
	idle := map[string]uint64{}
	for id, turn := range a.applied.turns {
		if a.acked.Clear[id] == turn || a.opts.Coordinator.DrainedForMaintenance(id) {
			idle[id] = turn
		}
	}
	a.acked.Clear = idle
	if a.opts.Coordinator.IsPresent() && (!a.opts.Store.Persistent() || a.opts.Store.Durable()) {
		a.acked.Seen = a.applied.seen
	}
}

// applyPlan applies the stored plan if it has changed, and reports whether a plan is known. The caller holds a.mu.
func (a *Agent) applyPlan() bool {
	e, ok := a.planEntry()
	if !ok {
		return false
	}
	if a.applied.known && e.Revision == a.applied.revision {
		return true
	}
	plan, err := decodePlan(e.Value)
	if err != nil {
		a.opts.Log.Error("plan can't be decoded; the last known plan holds", "cause", err)
		return false
	}
	if plan.Seen() < a.applied.seen {
		return false // this store member has not caught up with the plan that it had applied before its restart
	}
	for _, m := range plan.Recent {
		if m.N > a.applied.logged {
			a.applied.logged = m.N
			a.opts.Log.Info("machine in work", "n", m.N, "request", m.Request, "machine", m.Machine, "to", m.To.String(), "why", m.Why)
		}
	}
	a.opts.Coordinator.SetMaintenance(exclusions(plan))
	a.applied.seen, a.applied.turns, a.applied.revision, a.applied.known = plan.Seen(), plan.Overlay().Turns, e.Revision, true
	return true
}

// record returns the record to be stored.
func (a *Agent) record() []statemachine.Pair {
	a.mu.Lock()
	defer a.mu.Unlock()
	data, _ := json.Marshal(a.acked) // encoding numbers can't fail
	return []statemachine.Pair{{Key: recordKeyPrefix + a.opts.Name, Value: data}}
}

// writeRecord writes the record. That also restores the record after an operator has removed it with Forget, since this coordinator
// still participates.
func (a *Agent) writeRecord(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(recordTimeout))
	defer cancel()
	if r, err := a.opts.Store.Do(ctx, statemachine.Command{Put: a.record()}); err == nil {
		_ = a.opts.Store.Wait(ctx, r.Index) // watch writes again if the record is still outdated
	}
}
