package fleet_test

// The test runs eight gullfall processes on loopback with fault proxies between them, through stalls, packet loss, a one-way cut, a kill,
// a network split and a second process of the same name. `gullfall-lab peers` repeats such faults for longer.

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"gullfall/internal/lab/fleet"
	"gullfall/internal/lab/proxy"
)

const (
	period = 200 * time.Millisecond
	bear   = 1500 * time.Millisecond
)

func TestCoordinatorsWatchEachOther(t *testing.T) {
	binary := buildProgram(t)
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(4*time.Minute))
	defer cancel()
	const n = 8
	p, err := fleet.StartPeers(ctx, fleet.PeersOptions{Coordinators: n, Period: period, Timeout: period / 4, Bear: bear, Binary: binary, Seed: 1})
	if p != nil {
		defer func() {
			if err := p.Stop(); err != nil {
				t.Error(err)
			}
		}()
	}
	if err != nil {
		t.Fatal(err)
	}
	agree := func(what string) {
		t.Helper()
		if _, err := p.Until(ctx, time.Now().Add(40*time.Second)); err != nil {
			t.Fatalf("%s: %v", what, err)
		}
	}
	noDeaths := func(what string) {
		t.Helper()
		got := 0
		for i := range n {
			got += p.DeathsLogged(fleet.PeerName(i))
		}
		if got > 0 {
			t.Errorf("%s: %d coordinators were declared dead", what, got)
		}
	}
	// until waits until the views of all listed coordinators meet a condition.
	until := func(what string, who []int, met func(fleet.View) bool) {
		t.Helper()
		for end := time.Now().Add(40 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			missing := ""
			for _, i := range who {
				if v, err := p.View(ctx, i); err != nil {
					missing = err.Error()
				} else if !met(v) {
					missing = fleet.PeerName(i)
				}
			}
			if missing == "" {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%s: condition not met at %s", what, missing)
			}
		}
	}
	all := []int{0, 1, 2, 3, 4, 5, 6, 7}
	agree("start")

	stall := func(who []int, d time.Duration) {
		for _, i := range who {
			if err := p.Stall(i); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(d)
		for _, i := range who {
			if err := p.Resume(i); err != nil {
				t.Fatal(err)
			}
		}
	}
	stall([]int{3}, bear)
	agree("one stalled")
	stall(all, bear)
	agree("all stalled")
	noDeaths("stalls no longer than the bound")

	must(t, p.Set(proxy.Loss{Lost: 0.15, Twice: 0.1, Delay: time.Millisecond, Reorder: 15 * time.Millisecond}))
	time.Sleep(3 * time.Second)
	must(t, p.Set(proxy.Loss{}))
	agree("lost and reordered packets")
	noDeaths("15% lost")

	must(t, p.Cut(1, 2)) // 2 receives nothing from 1
	until("one-way cut", all, func(v fleet.View) bool {
		for _, m := range v.Members {
			if m.Name == "n1" && slices.Contains(m.Unreachable, "n2") {
				return v.State("n1") == "partly" && v.State("n2") == "partly" && v.Here == n
			}
		}
		return false
	})
	noDeaths("one-way cut")
	must(t, p.Restore(1, 2))
	agree("one-way cut ended")

	if err := p.Kill(6); err != nil {
		t.Fatal(err)
	}
	until("killed coordinator", []int{0, 1, 2, 3, 4, 5, 7}, func(v fleet.View) bool { return v.State("n6") == "dead" && v.Majority })
	if err := p.Start(ctx, 6); err != nil {
		t.Fatal(err)
	}
	agree("killed coordinator restarted")

	for i := range 5 {
		for j := 5; j < n; j++ {
			must(t, p.Cut(i, j))
			must(t, p.Cut(j, i))
		}
	}
	until("larger side of the split", []int{0, 1, 2, 3, 4}, func(v fleet.View) bool { return v.Verdict == "split" && v.Here == 5 && v.Majority })
	until("smaller side of the split", []int{5, 6, 7}, func(v fleet.View) bool { return v.Verdict == "split" && v.Here == 3 && !v.Majority })
	for i := range 5 {
		for j := 5; j < n; j++ {
			must(t, p.Restore(i, j))
			must(t, p.Restore(j, i))
		}
	}
	agree("split ended")

	duplicate, err := p.StartDuplicate(ctx, 4)
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); duplicate.Logged("refused by the other coordinators") == 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("a second process of the same name was not refused:\n%s", duplicate.Log(1000))
		}
	}
	if !strings.Contains(duplicate.Log(4000), "is in use by another process") {
		t.Errorf("the refusal has no reason:\n%s", duplicate.Log(1000))
	}
	if err := duplicate.Stop(); err != nil {
		t.Error(err)
	}
	agree("second process stopped")

	if err := p.Coords[7].Stop(); err != nil { // SIGTERM: it tells the others that it leaves
		t.Fatal(err)
	}
	until("coordinator that left", []int{0, 1, 2, 3, 4, 5, 6}, func(v fleet.View) bool { return v.State("n7") == "left" && v.Known == n-1 })
}
