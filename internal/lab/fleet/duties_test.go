package fleet_test

// The test runs five gullfall processes whose clocks run fast and slow. It stalls, kills and isolates the holders of duties and makes
// them hand duties over. `gullfall-lab duties` repeats such faults for longer.

import (
	"context"
	"sync"
	"testing"
	"time"

	"gullfall/internal/lab/fleet"
	"gullfall/internal/lab/proxy"
)

// handOn makes the holder of a duty hand it over and returns that holder. On a loaded machine the lease may move between finding the
// holder and asking it; the new holder is then asked.
func handOn(ctx context.Context, t *testing.T, w *fleet.MaintenanceFleet, holder func(duty string, not int) int, duty string) int {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		i := holder(duty, -1)
		err := w.HandOver(ctx, i, duty)
		if err == nil {
			return i
		}
		if time.Now().After(end) {
			t.Fatalf("%s was not handed over: %v", duty, err)
		}
	}
}

func TestDutiesAreHandedOn(t *testing.T) {
	binary := buildProgram(t)
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(2*time.Minute))
	defer cancel()
	const lease = time.Second
	w, err := fleet.StartMaintenanceFleet(ctx, fleet.MaintenanceOptions{Coordinators: 5, Voters: 3, PerZone: 4, Rate: 2, Floor: 2, Share: 0.3, Bound: time.Second, Lease: lease,
		Warm: time.Second, Heartbeat: 500 * time.Millisecond, Work: 300 * time.Millisecond, Binary: binary, Seed: 2, Duties: []string{"one", "two"}, Skew: 0.009})
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
	holder := func(duty string, not int) (i int) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			if i = w.HolderOf(ctx, duty); i >= 0 && i != not {
				return i
			}
			if time.Now().After(end) {
				t.Fatalf("no coordinator took over %s", duty)
			}
		}
	}
	holder("one", -1)
	var h fleet.DutyHistory
	asking, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { w.PollDuties(asking, &h, 20*time.Millisecond, "maintenance", "one", "two") })

	i := handOn(ctx, t, w, holder, "one")
	if err := w.HandOver(ctx, holder("one", i), "three"); err == nil {
		t.Error("an unknown duty was handed over")
	}
	i = holder("two", -1)
	must(w.Stall(i))
	time.Sleep(3 * lease)
	must(w.Resume(i)) // its lease has expired, so it must not act on the duty
	i = holder("one", -1)
	must(w.Kill(i))
	holder("one", i)
	must(w.Start(ctx, i))
	i = holder("two", -1)
	must(w.Isolate(i, proxy.DropUp)) // on each store connection, what the opener sends is lost
	holder("two", i)
	must(w.Isolate(i, proxy.Pass))
	i = holder("one", -1)
	must(w.Isolate(i, proxy.DropDown)) // on each store connection, what the opener would receive is lost
	holder("one", i)
	must(w.Isolate(i, proxy.Pass))
	i = holder("maintenance", -1)
	must(w.End(i)) // on SIGTERM it releases its duties
	must(w.Start(ctx, i))
	holder("maintenance", -1)
	time.Sleep(2 * lease)
	stop()
	wg.Wait()

	v := h.Check()
	if v.Double+v.Stale > 0 || len(v.Violations) > 0 {
		t.Errorf("%d double holders, %d stale writes accepted: %v", v.Double, v.Stale, v.Violations)
	}
	if len(v.Handovers) < 5 || v.Accepted < 100 {
		t.Errorf("%d handovers, %d writes accepted: too few for the check", len(v.Handovers), v.Accepted)
	}
	t.Logf("%d claims, %d handovers", v.Claims, len(v.Handovers))
}
