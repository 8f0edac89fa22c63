package fleet_test

// The test runs five gullfall processes, three voters and two learners of one store, with twelve data nodes in three zones and constant
// client load. All machines are taken out for maintenance while holders of the maintenance duty are killed, stalled and
// isolated. `gullfall-lab work` repeats such faults for longer.

import (
	"context"
	"testing"
	"time"

	"gullfall/internal/lab/fleet"
	"gullfall/internal/lab/proxy"
	"gullfall/internal/maintenance"
	"gullfall/internal/maintenance/agent"
)

func TestMachinesGoOutForWork(t *testing.T) {
	binary := buildProgram(t)
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(4*time.Minute))
	defer cancel()
	w, err := fleet.StartMaintenanceFleet(ctx, fleet.MaintenanceOptions{Coordinators: 5, Voters: 3, PerZone: 4, Rate: 20, Floor: 3, Share: 0.26, Bound: time.Second,
		Lease: 2 * time.Second, Warm: time.Second, Heartbeat: 500 * time.Millisecond, Work: 300 * time.Millisecond, Binary: binary, Seed: 1})
	if w != nil {
		defer func() {
			if err := w.Stop(); err != nil {
				t.Error(err)
			}
		}()
	}
	if err != nil {
		t.Fatal(err)
	}
	must := func(err error) { t.Helper(); must(t, err) }
	until := func(what string, met func(agent.View) bool) {
		t.Helper()
		must(w.Until(ctx, what, time.Now().Add(60*time.Second), met))
	}
	until("all coordinators are present and the duty is held", func(v agent.View) bool {
		here := 0
		for _, c := range v.Coordinators {
			if c.Present {
				here++
			}
		}
		return here == 5 && len(v.Duties) == 1 && v.Duties[0].Holder != ""
	})
	// Two operators use different coordinators. The second first requests a machine that is already in the first one's request.
	first := agent.Request{By: "a", Zone: "a", Takes: 20 * time.Second, Back: 20 * time.Second}
	p, err := w.RequestMaintenance(ctx, 4, first)
	must(err)
	if _, err := w.RequestMaintenance(ctx, 1, agent.Request{By: "b", Machines: []string{"a-0", "b-0"}, Takes: time.Second, Back: time.Second}); err == nil {
		t.Error("a machine was accepted in two requests")
	}
	second, err := w.RequestMaintenance(ctx, 1, agent.Request{By: "b", Zone: "b", Takes: 20 * time.Second, Back: 20 * time.Second})
	must(err)
	done := func(request uint64) func(agent.View) bool {
		return func(v agent.View) bool {
			r := v.Plan.Request(request)
			return r != nil && r.State == maintenance.Finished
		}
	}
	moved := func(n uint64) func(agent.View) bool { return func(v agent.View) bool { return v.Plan.Moved >= n } }
	until("three moves are made", moved(3))

	holder := w.Holder(ctx)
	must(w.Kill(holder))
	until("another coordinator takes over the duty", func(v agent.View) bool {
		return v.Duties[0].Holder != fleet.PeerName(holder) && v.Duties[0].Token > 1
	})
	must(w.Start(ctx, holder))

	stalled := w.Holder(ctx)
	must(w.Stall(stalled))
	time.Sleep(3 * time.Second)
	must(w.Resume(stalled)) // it resumes with planned moves, but without the duty
	until("the first request is done", done(p.Request))

	cut := w.Holder(ctx)
	must(w.Isolate(cut, proxy.Drop))
	time.Sleep(2500 * time.Millisecond)
	must(w.Isolate(cut, proxy.Pass))
	until("the second request is done", done(second.Request))

	// A request waits for a coordinator that has not seen it yet. The isolated one is a learner and does not hold the duty: a request
	// can't be made at an isolated coordinator, since it doesn't reach the store.
	asked, isolated := w.Holder(ctx), 4
	if asked == isolated {
		isolated = 3
	}
	must(w.Isolate(isolated, proxy.Cut))
	third, err := w.RequestMaintenance(ctx, asked, agent.Request{By: "c", Machines: []string{"c-0"}, Takes: 20 * time.Second, Back: 20 * time.Second})
	must(err)
	time.Sleep(4 * time.Second)
	v, err := w.LocalView(ctx, asked)
	must(err)
	if r := v.Plan.Request(third.Request); r.Steps[0].State != maintenance.Waiting {
		t.Errorf("c-0 is %v while n%d has not seen the request", r.Steps[0].State, isolated)
	}
	must(w.Isolate(isolated, proxy.Pass))
	until("the third request is done after the isolation", done(third.Request))

	// All coordinators are restarted in the middle of a plan.
	fourth, err := w.RequestMaintenance(ctx, 0, agent.Request{By: "d", Zone: "c", Takes: 20 * time.Second, Back: 20 * time.Second})
	must(err)
	until("further moves are made", moved(v.Plan.Moved+8))
	for i := range 5 {
		must(w.Kill(i))
	}
	for i := range 5 {
		must(w.Start(ctx, i))
	}
	until("the fourth request is done", done(fourth.Request))

	// Maintenance waits for a coordinator that is gone for good until an operator removes it with Forget. Then the work continues, and
	// the store has four members. Forgetting is refused while the coordinator may still send.
	if err := w.Forget(ctx, 0, fleet.PeerName(4)); err == nil {
		t.Error("a present coordinator was forgotten")
	}
	must(w.Kill(4))
	fifth, err := w.RequestMaintenance(ctx, 0, agent.Request{By: "e", Machines: []string{"a-1"}, Takes: 20 * time.Second, Back: 20 * time.Second})
	must(err)
	until("the killed coordinator is forgotten", func(agent.View) bool { return w.Forget(ctx, 0, fleet.PeerName(4)) == nil })
	until("the fifth request is done", done(fifth.Request))
	until("the store has four members", func(v agent.View) bool { return len(v.Store.Peers) == 4 })

	w.EndLoad()
	f, clean := w.Verdict(), w.TalliesOutsideFaults()
	if f.SentWhileOut+f.FloorBroken+f.ConflictingMoves > 0 || len(f.Violations) > 0 || f.HandedOver < 13 {
		t.Errorf("%+v", f)
	}
	if clean.Lost+clean.Wrong > 0 || clean.Asked == 0 {
		t.Errorf("clients: %+v", clean)
	}
	if a := w.Ledger.Account(); a.Twins > 0 || a.MostAttempts > 3 {
		t.Errorf("%d twins, %d attempts of a part", a.Twins, a.MostAttempts)
	}
	t.Logf("%d machines handed over, %d moves, %+v", f.HandedOver, w.Moves(), clean)
}
