package fleet_test

// Eight processes of the real program on loopback, each pair behind the fault proxy: stalls, a cut one way, a kill, a split,
// a second process under a name. The long loop is `gullfall-lab peers`.

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
	binary := program(t)
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
			got += p.Died(fleet.PeerName(i))
		}
		if got > 0 {
			t.Errorf("%s: %d deaths are told", what, got)
		}
	}
	// until waits for something that every coordinator of a list is to tell.
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
				t.Fatalf("%s: never at %s", what, missing)
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
	noDeaths("stalls within the bound")

	must(t, p.Set(proxy.Loss{Lost: 0.15, Twice: 0.1, Delay: time.Millisecond, Reorder: 15 * time.Millisecond}))
	time.Sleep(3 * time.Second)
	must(t, p.Set(proxy.Loss{}))
	agree("lost and disordered packets")
	noDeaths("15% lost")

	must(t, p.Cut(1, 2)) // 2 never hears 1
	until("a cut one way", all, func(v fleet.View) bool {
		for _, m := range v.Members {
			if m.Name == "n1" && slices.Contains(m.CutTo, "n2") {
				return v.State("n1") == "partly" && v.State("n2") == "partly" && v.Here == n
			}
		}
		return false
	})
	noDeaths("a cut one way")
	must(t, p.Mend(1, 2))
	agree("the cut is mended")

	if err := p.Kill(6); err != nil {
		t.Fatal(err)
	}
	until("a kill", []int{0, 1, 2, 3, 4, 5, 7}, func(v fleet.View) bool { return v.State("n6") == "dead" && v.Majority })
	if err := p.Start(ctx, 6); err != nil {
		t.Fatal(err)
	}
	agree("back under a new process")

	for i := range 5 {
		for j := 5; j < n; j++ {
			must(t, p.Cut(i, j))
			must(t, p.Cut(j, i))
		}
	}
	until("the larger side", []int{0, 1, 2, 3, 4}, func(v fleet.View) bool { return v.Verdict == "split" && v.Here == 5 && v.Majority })
	until("the smaller side", []int{5, 6, 7}, func(v fleet.View) bool { return v.Verdict == "split" && v.Here == 3 && !v.Majority })
	for i := range 5 {
		for j := 5; j < n; j++ {
			must(t, p.Mend(i, j))
			must(t, p.Mend(j, i))
		}
	}
	agree("the split has healed")

	twin, err := p.StartTwin(ctx, 4)
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); twin.Logged("refused by the other coordinators") == 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("a second process under a name was not refused:\n%s", twin.Log(1000))
		}
	}
	if !strings.Contains(twin.Log(4000), "is in use by another process") {
		t.Errorf("the refusal does not say why:\n%s", twin.Log(1000))
	}
	if err := twin.Stop(); err != nil {
		t.Error(err)
	}
	agree("the second process is gone")

	if err := p.Coords[7].Stop(); err != nil { // SIGTERM: it says goodbye
		t.Fatal(err)
	}
	until("a goodbye", []int{0, 1, 2, 3, 4, 5, 6}, func(v fleet.View) bool { return v.State("n7") == "left" && v.Known == n-1 })
}
