package swim_test

// Whole fleets in virtual time: crashes, pauses, lost and doubled packets, cuts one way and both, restarts, splits.

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gullfall/internal/lab/swimsim"
	"gullfall/internal/swim"
)

func fleet(t testing.TB, c swimsim.Config) *swimsim.Fleet {
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

// settled runs until all views are equal and true, or fails.
func settled(t testing.TB, f *swimsim.Fleet, within time.Duration, what string) {
	t.Helper()
	from := f.Now()
	for f.Now() < from+within {
		if f.Agreed() {
			return
		}
		f.Run(f.Now() + 100*time.Millisecond)
	}
	t.Errorf("%s: views still differ after %v", what, within)
}

// maxPause is the longest pause that must do no harm by the defaults.
const maxPause = 3 * time.Second

// TestCrashIsKnownToAll: all start at once, a member dies, and all know it within the bound: a round of probes in which
// it must have its turn, and a suspicion without confirmations.
func TestCrashIsKnownToAll(t *testing.T) {
	for _, n := range []int{2, 3, 10, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := fleet(t, swimsim.Config{Members: n, Seed: uint64(n)})
			settled(t, f, 30*time.Second, "start")
			bound := time.Duration(n)*time.Second + 4*f.View(0).MinSuspicion()
			_, all, ok := f.Detection(n-1, bound)
			if !ok || f.FalseDead > 0 {
				t.Errorf("known to all after %v (bound %v): %v; %d false deaths", all, bound, ok, f.FalseDead)
			}
			if err := f.Restart(n-1, 2); err != nil {
				t.Fatal(err)
			}
			settled(t, f, 40*time.Second, "return under a new process")
			if n > 2 {
				if v := f.View(0).Quorum(); v.Kind != swim.Connected || v.Here != n || !v.Majority {
					t.Errorf("quorum %+v", v)
				}
			}
		})
	}
}

// TestPausesMakeNobodyDead: a pause within the bound makes nobody dead, of one, of a fifth, and of all at once; one beyond it
// does, and the member is back soon after it wakes.
func TestPausesMakeNobodyDead(t *testing.T) {
	for seed := range uint64(8) {
		f := fleet(t, swimsim.Config{Members: 20, Seed: seed, Loss: 0.05})
		settled(t, f, 40*time.Second, "start")
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
			t.Errorf("seed %d: %d take one for dead that was paused for 55 s", seed, f.KnownDead(7))
		}
		f.Run(f.Now() + 5*time.Second)
		settled(t, f, 20*time.Second, "after a long pause")
	}
}

// TestClockJumps: clocks that jump ahead by minutes, or back by less than is borne, make nobody dead, though one stands still and is
// suspected just then: of one member, and of all.
func TestClockJumps(t *testing.T) {
	for seed := range uint64(4) {
		f := fleet(t, swimsim.Config{Members: 20, Seed: seed, Loss: 0.05})
		settled(t, f, 40*time.Second, "start")
		for _, by := range []time.Duration{5 * time.Minute, -maxPause, time.Hour} {
			for _, who := range []int{1, 20} {
				f.Pause(19, maxPause)
				f.Run(f.Now() + maxPause - 100*time.Millisecond)
				for i := range who {
					f.Jump(i, by)
				}
				f.Run(f.Now() + 30*time.Second)
				if f.FalseDead > 0 || !f.Agreed() {
					t.Fatalf("seed %d: %d false deaths by %d clocks that jump by %v; agreed %v", seed, f.FalseDead, who, by, f.Agreed())
				}
			}
		}
	}
}

// TestLossMakesNobodyDead: a fifth of all packets lost both ways, some doubled, all out of order.
func TestLossMakesNobodyDead(t *testing.T) {
	for seed := range uint64(4) {
		f := fleet(t, swimsim.Config{Members: 16, Seed: seed, Loss: 0.2, Twice: 0.1, Jitter: 100 * time.Millisecond})
		f.Run(5 * time.Minute)
		if f.FalseDead > 0 || !f.Agreed() {
			t.Errorf("seed %d: %d false deaths; agreed %v", seed, f.FalseDead, f.Agreed())
		}
	}
}

// TestOneSidedCut: A hears B and B never hears A. Nobody dies of it, all come to the same report, and it is taken back.
func TestOneSidedCut(t *testing.T) {
	for seed := range uint64(4) {
		f := fleet(t, swimsim.Config{Members: 8, Seed: seed})
		settled(t, f, 30*time.Second, "start")
		f.Cut(1, 2, true)
		f.Run(f.Now() + 2*time.Minute)
		if f.FalseDead > 0 {
			t.Errorf("seed %d: %d false deaths by a cut one way", seed, f.FalseDead)
		}
		for i := range 8 {
			v := f.View(i)
			if v.Reachable(swimsim.Name(1), swimsim.Name(2)) || !v.Reachable(swimsim.Name(2), swimsim.Name(1)) {
				t.Errorf("seed %d: member %d holds 1 to 2 for %v and 2 to 1 for %v", seed, i, v.Reachable(swimsim.Name(1), swimsim.Name(2)), v.Reachable(swimsim.Name(2), swimsim.Name(1)))
			}
			for _, m := range v.Members() {
				if want := m.Name == swimsim.Name(1) || m.Name == swimsim.Name(2); m.Partly != want {
					t.Errorf("seed %d: member %d holds %s for partly reachable: %v", seed, i, m.Name, m.Partly)
				}
			}
			if got := v.Quorum(); got.Kind != swim.Connected || got.Here != 8 {
				t.Errorf("seed %d: member %d: quorum %+v: the others reach both", seed, i, got)
			}
		}
		f.Cut(1, 2, false)
		f.Run(f.Now() + 40*time.Second)
		for i := range 8 {
			if !f.View(i).Reachable(swimsim.Name(1), swimsim.Name(2)) {
				t.Errorf("seed %d: member %d still holds the link for cut", seed, i)
			}
		}
	}
}

// TestSplitAndHealing: five and three apart. Each side knows which is the majority, and all views are equal again soon.
func TestSplitAndHealing(t *testing.T) {
	for seed := range uint64(4) {
		f := fleet(t, swimsim.Config{Members: 8, Seed: seed})
		settled(t, f, 30*time.Second, "start")
		split := func(cut bool) {
			for i := range 5 {
				for j := 5; j < 8; j++ {
					f.Cut(i, j, cut)
					f.Cut(j, i, cut)
				}
			}
		}
		for i := range 8 {
			f.Excuse(i, true)
		}
		split(true)
		f.Run(f.Now() + 90*time.Second)
		for i := range 8 {
			v, here := f.View(i).Quorum(), 5
			if i >= 5 {
				here = 3
			}
			if v.Kind != swim.Split || v.Here != here || v.Known != 8 || v.Majority != (here == 5) {
				t.Errorf("seed %d: member %d: quorum %+v, want split, %d of 8", seed, i, v, here)
			}
		}
		split(false)
		settled(t, f, 40*time.Second, "healing")
	}
}

// TestUpdatesOnAnotherProcess: a restarted process's own update counts from its start; what others still say of the one
// before does not bring that one back, and what they say of a later one does count.
func TestUpdatesOnAnotherProcess(t *testing.T) {
	const before, after, later = 1, 2, 3
	update := func(process, incarnation uint64) swim.Update {
		return swim.Update{Name: "a", Addr: "1", Process: process, Incarnation: incarnation}
	}
	own := func(u swim.Update) swim.Event {
		return swim.Event{Packet: &swim.Message{Kind: swim.Updates, From: u}}
	}
	others := func(u swim.Update) swim.Event {
		return swim.Event{Packet: &swim.Message{Kind: swim.Updates, From: swim.Update{Name: "b", Addr: "2", Process: 9, Incarnation: 1}, Updates: []swim.Update{u}}}
	}
	for _, c := range []struct {
		name   string
		events []swim.Event
		want   uint64 // the incarnation that is held in the end
	}{
		{"its own word goes on to count after hearsay on the one before", []swim.Event{own(update(after, 1)), others(update(before, 1)), own(update(after, 3))}, 3},
		{"also after newer hearsay on the one before", []swim.Event{own(update(after, 1)), others(update(before, 5)), own(update(after, 7))}, 7},
		{"its own word counts though it has less behind it", []swim.Event{others(update(before, 5)), own(update(after, 1))}, 6},
		{"the one before says no more by a packet sent anew", []swim.Event{own(update(before, 5)), own(update(after, 1)), own(update(before, 5))}, 6},
		{"hearsay on a later one", []swim.Event{own(update(after, 1)), others(update(later, 2))}, 2},
		{"an incarnation that is no more than a lie", []swim.Event{own(update(after, 1)), others(update(after, 1<<40))}, 1},
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
				t.Errorf("%s: incarnation %d is held, want %d", c.name, m.Incarnation, c.want)
			}
		}
	}
}

// TestProperties: over random schedules of crashes, restarts, pauses, loss and cuts, incarnations only grow, packets stay
// bounded, and once all is whole again every view is equal and true within the bound.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(r, "members")
		f := fleet(t, swimsim.Config{Members: n, Seed: rapid.Uint64().Draw(r, "seed"), Twice: 0.05})
		seen := map[string]uint64{}
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
				f.Lose(rapid.Float64Range(0, 0.4).Draw(r, "loss"))
			}
			f.Run(f.Now() + time.Duration(rapid.IntRange(0, 20_000).Draw(r, "pass_ms"))*time.Millisecond)
			for k := range n {
				if down[k] {
					continue
				}
				for _, m := range f.View(k).Members() {
					if key := fmt.Sprint(k, process, m.Name); m.Incarnation < seen[key] {
						r.Fatalf("%s fell back from incarnation %d to %d at %d", m.Name, seen[key], m.Incarnation, k)
					} else {
						seen[key] = m.Incarnation
					}
				}
			}
		}
		f.Lose(0)
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
		for from := f.Now(); !f.Agreed(); f.Run(f.Now() + time.Second) {
			if f.Now() > from+2*time.Minute {
				r.Fatalf("views still differ two minutes after all was whole")
			}
		}
	})
}

// TestLoadIsFlat: what a member sends in a period does not grow with the fleet beyond what updates and acks take.
func TestLoadIsFlat(t *testing.T) {
	var rates []float64
	for _, n := range []int{10, 100} {
		f := fleet(t, swimsim.Config{Members: n, Seed: 1})
		f.Run(60 * time.Second)
		f.Packets = 0
		f.Run(120 * time.Second)
		rates = append(rates, float64(f.Packets)/float64(n)/60)
	}
	if math.Abs(rates[0]-rates[1]) > 0.5 || rates[1] > 4 {
		t.Errorf("packets a second and member: %.2f of 10, %.2f of 100", rates[0], rates[1])
	}
}

// TestLateLinkReport: a member has left, and a report on a link to it comes late. Once the member is forgotten the report
// is on nobody, and the list of members must leave it out.
func TestLateLinkReport(t *testing.T) {
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
		if m.Partly || len(m.CutTo)+len(m.CutFrom) > 0 {
			t.Errorf("%s is held for partly reachable: %+v", m.Name, m)
		}
	}
}
