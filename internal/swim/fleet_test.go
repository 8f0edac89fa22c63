package swim_test

// Simulated fleets in virtual time: crashes, pauses, packet loss and duplication, one-way and two-way cuts, restarts, splits.

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gullfall/internal/lab/swimsim"
	"gullfall/internal/swim"
)

func newFleet(t testing.TB, c swimsim.Config) *swimsim.Fleet {
	t.Helper()
	if c.Detect == "" {
		c.Detect = "swim"
	}
	c.Delay, c.Jitter = max(c.Delay, 2*time.Millisecond), max(c.Jitter, 5*time.Millisecond)
	f, err := swimsim.New(c)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// waitUntilAgreed runs the fleet until all views are equal and true, and fails the test if that takes too long.
func waitUntilAgreed(t testing.TB, f *swimsim.Fleet, within time.Duration, what string) {
	t.Helper()
	from := f.Now()
	for f.Now() < from+within {
		if f.Converged() {
			return
		}
		f.Run(f.Now() + 100*time.Millisecond)
	}
	t.Errorf("%s: views still differ after %v", what, within)
}

// maxPause is the longest pause that must have no effect under the default configuration.
const maxPause = 3 * time.Second

// A crashed member is known to be dead by all others within the bound: one round of probes, plus a suspicion without
// confirmations. It is a member again once restarted.
func TestCrashIsDetectedByAll(t *testing.T) {
	for _, n := range []int{2, 3, 10, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(t, swimsim.Config{Members: n, Seed: uint64(n)})
			waitUntilAgreed(t, f, 30*time.Second, "start")
			bound := time.Duration(n)*time.Second + 4*f.View(0).MinSuspicion()
			_, all, ok := f.Detection(n-1, bound)
			if !ok || f.FalseDead > 0 {
				t.Errorf("crash detected by all after %v (bound %v): %v; %d false deaths", all, bound, ok, f.FalseDead)
			}
			if err := f.Restart(n-1, 2); err != nil {
				t.Fatal(err)
			}
			waitUntilAgreed(t, f, 40*time.Second, "return under a new process")
			if n > 2 {
				if v := f.View(0).Quorum(); v.Kind != swim.Connected || v.Connected != n || !v.Majority {
					t.Errorf("quorum %+v", v)
				}
			}
		})
	}
}

// A pause within MaxPause of one member, of a fifth of them, or of all at once has no member declared dead. A longer one does,
// and the member is back soon after it resumes.
func TestPausesCauseNoFalseDeaths(t *testing.T) {
	for seed := range uint64(8) {
		f := newFleet(t, swimsim.Config{Members: 20, Seed: seed, Loss: 0.05})
		waitUntilAgreed(t, f, 40*time.Second, "start")
		f.Pause(3, maxPause)
		f.Run(f.Now() + 20*time.Second)
		for i := range 4 {
			f.Pause(5*i, maxPause)
		}
		f.Run(f.Now() + 20*time.Second)
		for i := range 20 {
			f.Pause(i, maxPause+time.Duration(i)*50*time.Millisecond)
		}
		f.Run(f.Now() + 20*time.Second)
		if f.FalseDead > 0 {
			t.Errorf("seed %d: %d false deaths by pauses of %v", seed, f.FalseDead, maxPause)
		}
		f.Pause(7, time.Minute)
		f.Run(f.Now() + 55*time.Second)
		if f.KnownDead(7) < 15 {
			t.Errorf("seed %d: %d members consider the one dead that was paused for 55 s, want at least 15", seed, f.KnownDead(7))
		}
		f.Run(f.Now() + 5*time.Second)
		waitUntilAgreed(t, f, 20*time.Second, "after a long pause")
	}
}

// Clocks that jump ahead by minutes, or back by up to MaxPause, have no member declared dead, even while one is paused and
// suspected. The clock of one member jumps, or those of all.
func TestClockJumpsCauseNoFalseDeaths(t *testing.T) {
	for seed := range uint64(4) {
		f := newFleet(t, swimsim.Config{Members: 20, Seed: seed, Loss: 0.05})
		waitUntilAgreed(t, f, 40*time.Second, "start")
		for _, by := range []time.Duration{5 * time.Minute, -maxPause, time.Hour} {
			for _, who := range []int{1, 20} {
				f.Pause(19, maxPause)
				f.Run(f.Now() + maxPause - 100*time.Millisecond)
				for i := range who {
					f.ShiftClock(i, by)
				}
				f.Run(f.Now() + 30*time.Second)
				if f.FalseDead > 0 || !f.Converged() {
					t.Fatalf("seed %d: %d false deaths by %d clocks that jump by %v; agreed %v", seed, f.FalseDead, who, by, f.Converged())
				}
			}
		}
	}
}

// No member is declared dead when a fifth of all packets are lost, a tenth are duplicated, and packets are reordered.
func TestPacketLossCausesNoFalseDeaths(t *testing.T) {
	for seed := range uint64(4) {
		f := newFleet(t, swimsim.Config{Members: 16, Seed: seed, Loss: 0.2, Duplication: 0.1, Jitter: 100 * time.Millisecond})
		f.Run(5 * time.Minute)
		if f.FalseDead > 0 || !f.Converged() {
			t.Errorf("seed %d: %d false deaths; agreed %v", seed, f.FalseDead, f.Converged())
		}
	}
}

// A link that is cut one way has no member declared dead; all members hold the report of the cut, and it is retracted once the
// link works again.
func TestOneWayCut(t *testing.T) {
	for seed := range uint64(4) {
		f := newFleet(t, swimsim.Config{Members: 8, Seed: seed})
		waitUntilAgreed(t, f, 30*time.Second, "start")
		f.Cut(1, 2, true)
		f.Run(f.Now() + 2*time.Minute)
		if f.FalseDead > 0 {
			t.Errorf("seed %d: %d false deaths by a cut one way", seed, f.FalseDead)
		}
		for i := range 8 {
			v := f.View(i)
			if v.Reachable(swimsim.Name(1), swimsim.Name(2)) || !v.Reachable(swimsim.Name(2), swimsim.Name(1)) {
				t.Errorf("seed %d: at member %d the link 1 to 2 is reachable: %v, 2 to 1: %v; want false, true", seed, i, v.Reachable(swimsim.Name(1), swimsim.Name(2)), v.Reachable(swimsim.Name(2), swimsim.Name(1)))
			}
			for _, m := range v.Members() {
				if want := m.Name == swimsim.Name(1) || m.Name == swimsim.Name(2); m.PartiallyReachable != want {
					t.Errorf("seed %d: at member %d, %s is partly reachable: %v", seed, i, m.Name, m.PartiallyReachable)
				}
			}
			if got := v.Quorum(); got.Kind != swim.Connected || got.Connected != 8 {
				t.Errorf("seed %d: member %d: quorum %+v, want all 8 connected, as the others reach both", seed, i, got)
			}
		}
		f.Cut(1, 2, false)
		f.Run(f.Now() + 40*time.Second)
		for i := range 8 {
			if !f.View(i).Reachable(swimsim.Name(1), swimsim.Name(2)) {
				t.Errorf("seed %d: member %d still holds the link as cut", seed, i)
			}
		}
	}
}

// A fleet is split into five and three members. Each side knows whether it is the majority, and all views agree again after the
// split ends.
func TestSplitAndRecovery(t *testing.T) {
	for seed := range uint64(4) {
		f := newFleet(t, swimsim.Config{Members: 8, Seed: seed})
		waitUntilAgreed(t, f, 30*time.Second, "start")
		split := func(cut bool) {
			for i := range 5 {
				for j := 5; j < 8; j++ {
					f.Cut(i, j, cut)
					f.Cut(j, i, cut)
				}
			}
		}
		for i := range 8 {
			f.ExcludeFromFalseDead(i, true)
		}
		split(true)
		f.Run(f.Now() + 90*time.Second)
		for i := range 8 {
			v, here := f.View(i).Quorum(), 5
			if i >= 5 {
				here = 3
			}
			if v.Kind != swim.Split || v.Connected != here || v.Total != 8 || v.Majority != (here == 5) {
				t.Errorf("seed %d: member %d: quorum %+v, want split, %d of 8", seed, i, v, here)
			}
		}
		split(false)
		waitUntilAgreed(t, f, 40*time.Second, "end of the split")
	}
}

// After a restart, the new process's own updates count from its start. Updates by others on the previous process do not bring
// that one back, but updates by others on a later process count.
func TestUpdatesOnReplacedProcess(t *testing.T) {
	const previousProcess, newProcess, laterProcess = 1, 2, 3
	update := func(process, incarnation uint64) swim.Update {
		return swim.Update{Name: "a", Addr: "1", Process: process, Incarnation: incarnation}
	}
	ownUpdate := func(u swim.Update) swim.Event {
		return swim.Event{Packet: &swim.Message{Kind: swim.Updates, From: u}}
	}
	updateByOthers := func(u swim.Update) swim.Event {
		return swim.Event{Packet: &swim.Message{Kind: swim.Updates, From: swim.Update{Name: "b", Addr: "2", Process: 9, Incarnation: 1}, Updates: []swim.Update{u}}}
	}
	for _, c := range []struct {
		name   string
		events []swim.Event
		want   uint64 // incarnation stored in the end
	}{
		{"own updates count after an update by others on the previous process", []swim.Event{ownUpdate(update(newProcess, 1)), updateByOthers(update(previousProcess, 1)), ownUpdate(update(newProcess, 3))}, 3},
		{"own updates count after a newer update by others on the previous process", []swim.Event{ownUpdate(update(newProcess, 1)), updateByOthers(update(previousProcess, 5)), ownUpdate(update(newProcess, 7))}, 7},
		{"own update counts although its incarnation is lower", []swim.Event{updateByOthers(update(previousProcess, 5)), ownUpdate(update(newProcess, 1))}, 6},
		{"a replayed packet of the previous process does not count", []swim.Event{ownUpdate(update(previousProcess, 5)), ownUpdate(update(newProcess, 1)), ownUpdate(update(previousProcess, 5))}, 6},
		{"update by others on a later process counts", []swim.Event{ownUpdate(update(newProcess, 1)), updateByOthers(update(laterProcess, 2))}, 2},
		{"an implausibly high incarnation does not count", []swim.Event{ownUpdate(update(newProcess, 1)), updateByOthers(update(newProcess, 1<<40))}, 1},
	} {
		s, err := swim.New(swim.Config{Self: "x", Addr: "0", Process: 7}, 0)
		if err != nil {
			t.Fatal(err)
		}
		for i, e := range c.events {
			s.Step(time.Duration(i+1)*10*time.Millisecond, e)
		}
		for _, m := range s.Members() {
			if m.Name == "a" && m.Incarnation != c.want {
				t.Errorf("%s: stored incarnation %d, want %d", c.name, m.Incarnation, c.want)
			}
		}
	}
}

// Under random crashes, restarts, pauses, packet loss and cuts, incarnations never decrease; once all faults end, all views
// become equal and true within two minutes.
func TestViewsConvergeAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(r, "members")
		f := newFleet(t, swimsim.Config{Members: n, Seed: rapid.Uint64().Draw(r, "seed"), Duplication: 0.05})
		lastIncarnation := map[string]uint64{}
		down, process := map[int]bool{}, uint64(1)
		for range rapid.IntRange(1, 12).Draw(r, "faults") {
			i, j := rapid.IntRange(0, n-1).Draw(r, "who"), rapid.IntRange(0, n-1).Draw(r, "whom")
			switch rapid.IntRange(0, 4).Draw(r, "fault") {
			case 0:
				f.Crash(i)
				down[i] = true
			case 1:
				if down[i] {
					process++
					if err := f.Restart(i, process); err != nil {
						r.Fatal(err)
					}
					delete(down, i)
				}
			case 2:
				f.Pause(i, time.Duration(rapid.IntRange(100, 30_000).Draw(r, "ms"))*time.Millisecond)
			case 3:
				f.Cut(i, j, rapid.Bool().Draw(r, "cut"))
			case 4:
				f.SetLoss(rapid.Float64Range(0, 0.4).Draw(r, "loss"))
			}
			f.Run(f.Now() + time.Duration(rapid.IntRange(0, 20_000).Draw(r, "pass_ms"))*time.Millisecond)
			for k := range n {
				if down[k] {
					continue
				}
				for _, m := range f.View(k).Members() {
					if key := fmt.Sprint(k, process, m.Name); m.Incarnation < lastIncarnation[key] {
						r.Fatalf("%s went back from incarnation %d to %d at member %d", m.Name, lastIncarnation[key], m.Incarnation, k)
					} else {
						lastIncarnation[key] = m.Incarnation
					}
				}
			}
		}
		f.SetLoss(0)
		for i := range n {
			for j := range n {
				f.Cut(i, j, false)
			}
			if down[i] {
				process++
				if err := f.Restart(i, process); err != nil {
					r.Fatal(err)
				}
			}
		}
		f.Run(f.Now() + 31*time.Second) // the longest pause
		for from := f.Now(); !f.Converged(); f.Run(f.Now() + time.Second) {
			if f.Now() > from+2*time.Minute {
				r.Fatalf("views still differ two minutes after all faults ended")
			}
		}
	})
}

// The packets that a member sends in a period do not grow with the size of the fleet, apart from updates and acks.
func TestPacketRateDoesNotGrowWithFleet(t *testing.T) {
	var rates []float64
	for _, n := range []int{10, 100} {
		f := newFleet(t, swimsim.Config{Members: n, Seed: 1})
		f.Run(60 * time.Second)
		f.Packets = 0
		f.Run(120 * time.Second)
		rates = append(rates, float64(f.Packets)/float64(n)/60)
	}
	if math.Abs(rates[0]-rates[1]) > 0.5 || rates[1] > 4 {
		t.Errorf("packets a second and member: %.2f of 10, %.2f of 100", rates[0], rates[1])
	}
}

// A link report that arrives after the member has left may outlive the record of the member. Members must then ignore the
// report.
func TestLateLinkReportIsIgnored(t *testing.T) {
	s, err := swim.New(swim.Config{Self: "x", Addr: "0", Process: 7, ForgetAfter: time.Second}, 0)
	if err != nil {
		t.Fatal(err)
	}
	from := swim.Update{Name: "a", Addr: "1", Process: 1, Incarnation: 1}
	left := swim.Update{Name: "b", Addr: "2", Process: 2, Incarnation: 1}
	s.Step(10*time.Millisecond, swim.Event{Packet: &swim.Message{Kind: swim.Updates, From: from, Updates: []swim.Update{left}}})
	left.State = swim.Left
	s.Step(20*time.Millisecond, swim.Event{Packet: &swim.Message{Kind: swim.Updates, From: from, Updates: []swim.Update{left},
		Links: []swim.Link{{From: "a", To: "b", By: "a", Version: 1, Cut: true}}}})
	for now := 30 * time.Millisecond; now < 2*time.Second; now += 10 * time.Millisecond {
		s.Step(now)
	}
	if _, known := s.State("b"); known {
		t.Fatal("b is still known")
	}
	for _, m := range s.Members() {
		if m.PartiallyReachable || len(m.CutTo)+len(m.CutFrom) > 0 {
			t.Errorf("%s is partly reachable: %+v", m.Name, m)
		}
	}
}
