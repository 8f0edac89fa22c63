package fleet_test

// The test runs five gullfall processes, three voters and two learners of one store, with clients that get, put and compare-and-swap at
// all of them while leaders are killed, stalled and isolated. `gullfall-lab replicate` repeats such faults for longer.

import (
	"context"
	"sync"
	"testing"
	"time"

	"gullfall/internal/lab/fleet"
	"gullfall/internal/lab/linearizability"
	"gullfall/internal/lab/proxy"
)

func TestStoreIsLinearizable(t *testing.T) {
	binary := buildProgram(t)
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(2*time.Minute))
	defer cancel()
	w, err := fleet.StartMaintenanceFleet(ctx, fleet.MaintenanceOptions{Coordinators: 5, Voters: 3, PerZone: 4, Rate: 1, Floor: 2, Share: 0.3, Bound: time.Second, Lease: 2 * time.Second,
		Warm: time.Second, Heartbeat: 300 * time.Millisecond, Work: 300 * time.Millisecond, Binary: binary, Seed: 4})
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
	clients := &fleet.StoreClients{Fleet: w, History: &linearizability.History{}, Clients: 6, Keys: 8, Epoch: 3 * time.Second, Pause: 25 * time.Millisecond, Timeout: 2 * time.Second, Seed: 4}
	working, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { clients.Run(working) })
	leader := func() int {
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			for i := range 5 {
				if !w.Up(i) {
					continue
				}
				if _, name, err := w.Applied(ctx, i); err == nil && name != "" {
					for j := range 5 {
						if name == fleet.PeerName(j) && w.Up(j) {
							return j
						}
					}
				}
			}
		}
		t.Fatal("the store has no leader")
		return 0
	}
	i := leader()
	must(w.Kill(i))
	time.Sleep(time.Second)
	must(w.Start(ctx, i))
	i = leader()
	must(w.Stall(i)) // a stalled leader that resumes after another was elected
	time.Sleep(1500 * time.Millisecond)
	must(w.Resume(i))
	i = leader()
	must(w.Isolate(i, proxy.DropUp)) // on each store connection, what the opener sends is lost
	time.Sleep(1500 * time.Millisecond)
	must(w.Isolate(i, proxy.Pass))
	i = leader()
	for j := range 5 {
		if j != i { // the leader is isolated with its uncommitted writes
			must(w.Cut(i, j, proxy.Drop))
			must(w.Cut(j, i, proxy.Drop))
		}
	}
	time.Sleep(1500 * time.Millisecond)
	for j := range 5 {
		if j != i {
			must(w.Cut(i, j, proxy.Pass))
			must(w.Cut(j, i, proxy.Pass))
		}
	}
	for i := range 5 {
		must(w.Kill(i))
	}
	for i := range 5 {
		must(w.Start(ctx, i))
	}
	leader()
	time.Sleep(time.Second)
	stop()
	wg.Wait()
	time.Sleep(2 * time.Second)
	final, err := clients.ReadAll(ctx, 4)
	must(err)
	if lost := clients.History.LostWrites(final); len(lost) > 0 {
		t.Errorf("lost writes: %v", lost)
	}
	all, committed, unknown := clients.History.Counts()
	if ok, known := clients.History.Check(30 * time.Second); !ok || committed < 50 {
		t.Errorf("linearizable %v (known %v), %d writes acknowledged", ok, known, committed)
	}
	t.Logf("%d operations, %d writes acknowledged, %d without an answer", all, committed, unknown)
}
