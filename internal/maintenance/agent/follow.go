package agent

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"gullfall/internal/statemachine"
)

const (
	// followInterval is how often the agent looks for attempts that ended, which the store does not tell.
	followInterval = 20 * time.Millisecond
	// recordTimeout is how long one write of the record may take.
	recordTimeout = time.Second
)

// record is what a coordinator acknowledges in the store.
type record struct {
	Seen  uint64            // the last call that it had applied while it was present
	Clear map[string]uint64 `json:",omitempty"` // machines at which none of its attempts is in flight, by the turn of their drain
}

// appliedPlan is the plan that the coordinator goes by.
type appliedPlan struct {
	known    bool
	revision uint64
	seen     uint64            // its last call
	turns    map[string]uint64 // of its excluded machines
	logged   uint64            // the last move that was logged
}

// restore starts from the plan that this coordinator had applied before its restart, if its record is on the disk too: each
// request that went on without an acknowledgement of ours since then was in that plan. Without it nothing is known, and nothing is
// sent before the store answers.
func (a *Agent) restore() {
	raw := a.opts.Store.Get(recordKey + a.opts.Name)
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

// watch follows the plan, and writes the record when it has changed, until ctx ends.
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

// follow applies the plan of the store and updates what is acknowledged. It tells whether the record in the store is outdated; ok is
// false where the plan is not known yet.
func (a *Agent) follow() (outdated, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.applyPlan() {
		return false, false
	}
	a.acknowledge()
	var stored record
	if raw := a.opts.Store.Get(recordKey + a.opts.Name); len(raw) == 0 || json.Unmarshal(raw, &stored) != nil {
		return true, true
	}
	return stored.Seen != a.acked.Seen || !maps.Equal(stored.Clear, a.acked.Clear), true
}

// acknowledge notes the machines at which no attempt is in flight, and the calls that were seen. The caller holds the lock.
//
// A call is acknowledged only while present. Without presence an attempt may be in flight at a machine that was not called when it
// was sent; with it, such attempts end before the presence expires in the store, so a machine is not handed over under them. Nor
// is it acknowledged while the disk may hold an older plan: a restart would go by that, and send without presence to machines that
// were called since.
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

// applyPlan applies the plan of the store, where that has changed, and tells whether a plan is known. The caller holds the lock.
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
		return false // this member has not caught up yet with what it had applied before its restart
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
	data, _ := json.Marshal(a.acked) // a struct of numbers
	return []statemachine.Pair{{Key: recordKey + a.opts.Name, Value: data}}
}

// writeRecord writes the record. It does so too after an operator had this coordinator forgotten, since it takes part.
func (a *Agent) writeRecord(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(recordTimeout))
	defer cancel()
	if r, err := a.opts.Store.Do(ctx, statemachine.Command{Put: a.record()}); err == nil {
		_ = a.opts.Store.Wait(ctx, r.Index) // watch goes on either way
	}
}
