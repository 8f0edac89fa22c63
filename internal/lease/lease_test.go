package lease

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const s = time.Second

// TestLessor checks the rules for the lessor in the package's table.
func TestLessor(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(t *Lessor) (Grant, error)
		want Grant
		err  error
	}{
		{"free", func(t *Lessor) (Grant, error) { return t.Grant(0, "d", "a", 10*s, AnyVersion) }, Grant{"d", "a", 1, 1, 2}, nil},
		{"held", func(t *Lessor) (Grant, error) {
			t.Grant(0, "d", "a", 10*s, AnyVersion)
			return t.Grant(10*s-1, "d", "b", 10*s, AnyVersion)
		}, Grant{"d", "a", 1, 1, 2}, ErrHeld},
		{"expired", func(t *Lessor) (Grant, error) {
			t.Grant(0, "d", "a", 10*s, AnyVersion)
			return t.Grant(10*s, "d", "b", 10*s, AnyVersion)
		}, Grant{"d", "b", 2, 2, 3}, nil},
		{"renewed", func(t *Lessor) (Grant, error) {
			t.Grant(0, "d", "a", 10*s, AnyVersion)
			t.Renew(9*s, "d", "a", 1, AnyVersion)
			return t.Grant(18*s, "d", "b", 10*s, AnyVersion)
		}, Grant{"d", "a", 1, 1, 3}, ErrHeld},
		{"renewed after it expired, with no other holder", func(t *Lessor) (Grant, error) {
			t.Grant(0, "d", "a", 10*s, AnyVersion)
			return t.Renew(30*s, "d", "a", 1, AnyVersion)
		}, Grant{"d", "a", 1, 1, 3}, nil},
		{"renewed after another's grant", func(t *Lessor) (Grant, error) {
			t.Grant(0, "d", "a", 10*s, AnyVersion)
			t.Grant(10*s, "d", "b", 10*s, AnyVersion)
			return t.Renew(11*s, "d", "a", 1, AnyVersion)
		}, Grant{"d", "b", 2, 2, 3}, ErrTermOver},
		{"renewal of an earlier term of the same holder", func(t *Lessor) (Grant, error) {
			t.Grant(0, "d", "a", 10*s, AnyVersion)
			t.Grant(1*s, "d", "a", 10*s, AnyVersion)
			return t.Renew(2*s, "d", "a", 1, AnyVersion)
		}, Grant{"d", "a", 2, 2, 3}, ErrTermOver},
		{"resigned", func(t *Lessor) (Grant, error) {
			t.Grant(0, "d", "a", 10*s, AnyVersion)
			t.Revoke("d", "a", 1)
			return t.Grant(1, "d", "b", 10*s, AnyVersion)
		}, Grant{"d", "b", 2, 2, 3}, nil},
		{"another's resignation", func(t *Lessor) (Grant, error) {
			t.Grant(0, "d", "a", 10*s, AnyVersion)
			if err := t.Revoke("d", "b", 1); !errors.Is(err, ErrTermOver) {
				return Grant{}, err
			}
			return t.Grant(1, "d", "b", 10*s, AnyVersion)
		}, Grant{"d", "a", 1, 1, 2}, ErrHeld},
		{"a new leader extends the lease", func(t *Lessor) (Grant, error) {
			t.Grant(100*s, "d", "a", 10*s, AnyVersion)
			list := t.Snapshot()
			t.Restore(list)
			t.Promote(5 * s) // another clock
			return t.Grant(15*s-1, "d", "b", 10*s, AnyVersion)
		}, Grant{"d", "a", 1, 1, 2}, ErrHeld},
		{"renewal with the current version", func(t *Lessor) (Grant, error) {
			g, _ := t.Grant(0, "d", "a", 10*s, 1)
			return t.Renew(9*s, "d", "a", 1, g.Version)
		}, Grant{"d", "a", 1, 1, 3}, nil},
		{"renewal with a stale version extends nothing", func(t *Lessor) (Grant, error) {
			t.Grant(0, "d", "a", 10*s, 1)
			t.Renew(4*s, "d", "a", 1, 2)
			if g, err := t.Renew(8*s, "d", "a", 1, 2); !errors.Is(err, ErrStaleVersion) {
				return g, err
			}
			return t.Grant(14*s, "d", "b", 10*s, 3)
		}, Grant{"d", "b", 2, 2, 4}, nil},
		{"campaign with a stale version after the lease expired", func(t *Lessor) (Grant, error) {
			t.Grant(0, "d", "a", 10*s, 1)
			t.Renew(4*s, "d", "a", 1, 2)
			return t.Grant(30*s, "d", "a", 10*s, 2)
		}, Grant{"d", "a", 1, 1, 3}, ErrStaleVersion},
		{"a denial returns the version", func(t *Lessor) (Grant, error) {
			t.Grant(0, "d", "a", 10*s, 1)
			return t.Grant(1*s, "d", "b", 10*s, 1)
		}, Grant{"d", "a", 1, 1, 2}, ErrHeld},
		{"snapshot of the first format", func(t *Lessor) (Grant, error) {
			t.Restore([]Record{{Grant: Grant{"d", "a", 7, 7, 0}, Until: 5 * s, Length: 10 * s}})
			return t.Grant(6*s, "d", "b", 10*s, 1)
		}, Grant{"d", "b", 8, 8, 2}, nil},
		{"another duty", func(t *Lessor) (Grant, error) {
			t.Grant(0, "d", "a", 10*s, AnyVersion)
			return t.Grant(0, "e", "b", 10*s, AnyVersion)
		}, Grant{"e", "b", 1, 1, 2}, nil},
	} {
		table, err := NewLessor(Config{})
		if err != nil {
			t.Fatal(err)
		}
		got, err := c.run(table)
		if diff := cmp.Diff(c.want, got); diff != "" || !errors.Is(err, c.err) {
			t.Errorf("%s: error %v, want %v (-want +got)\n%s", c.name, err, c.err, diff)
		}
	}
	if _, err := NewLessor(Config{Drift: 0.6}); err == nil {
		t.Errorf("a drift of 0.6 was accepted")
	}
}

// TestFence checks that a token lower than an earlier one of its duty is rejected.
func TestFence(t *testing.T) {
	var f Fence
	for i, c := range []struct {
		duty  string
		token uint64
		ok    bool
	}{{"d", 2, true}, {"d", 2, true}, {"d", 1, false}, {"e", 1, true}, {"d", 5, true}, {"d", 4, false}} {
		if err := f.Check(c.duty, c.token); (err == nil) != c.ok {
			t.Errorf("%d: error %v", i, err)
		}
	}
}

// process is a simulated coordinator with its own clock.
type process struct {
	h       *Holder
	rate    float64       // of its clock, relative to true time
	start   time.Duration // true time at which its clock started
	stalled time.Duration // true time until which the process is stalled
	name    string
}

func (p *process) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-p.start) * p.rate)
}

// simulate runs holders and a lessor whose leader changes, with requests and answers that are delayed or lost. It returns how
// often several holders acted at once, how often one acted under an old token, and how often the duty changed hands. actingShare,
// if set, replaces the fraction of a lease for which a holder acts, to check that a wrong bound is detected.
func simulate(seed uint64, steps int, actingShare float64) (simultaneous, staleTokens, handovers int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	c := Config{Length: 10 * s, Drift: 0.05}
	table, _ := NewLessor(c)
	table.Promote(0)
	leader := &process{rate: 1}
	var processes []*process
	for i := range 3 {
		p := &process{rate: 0.95 + 0.1*rng.Float64(), name: fmt.Sprint("c", i)}
		p.h = NewHolder(c, 0, time.Duration(i)*200*time.Millisecond)
		processes = append(processes, p)
	}
	type message struct {
		at   time.Duration
		act  func(now time.Duration)
		step int
	}
	var queue []message
	var fence Fence
	last := ""
	now := time.Duration(0)
	for step := range steps {
		now += time.Duration(rng.Int64N(int64(300 * time.Millisecond)))
		switch rng.IntN(60) {
		case 0:
			processes[rng.IntN(3)].stalled = now + time.Duration(rng.Int64N(int64(25*s)))
		case 1: // a new leader, with another clock and the state from its log
			leader = &process{rate: 0.95 + 0.1*rng.Float64(), start: now - time.Duration(rng.Int64N(int64(100*s)))}
			list := table.Snapshot()
			table.Restore(list)
			table.Promote(leader.clock(now))
		case 2:
			p := processes[rng.IntN(3)]
			if now < p.stalled {
				break
			}
			g, held := p.h.Resign()
			if held {
				table.Revoke("d", p.name, g.Term)
			}
			p.start, p.rate = now, 0.95+0.1*rng.Float64()
			p.h = NewHolder(c, 0, 300*time.Millisecond)
		}
		slices.SortFunc(queue, func(a, b message) int { return int(a.at - b.at) })
		for len(queue) > 0 && queue[0].at <= now {
			m := queue[0]
			queue = queue[1:]
			m.act(now)
		}
		var acts []string
		for _, p := range processes {
			if now < p.stalled {
				continue
			}
			h := p.h
			at := p.clock(now)
			if req := h.Step(at); req.Kind != Wait {
				delay, lost := time.Duration(rng.Int64N(int64(2*s))), rng.IntN(8) == 0
				queue = append(queue, message{now + delay, func(now time.Duration) {
					var g Grant
					var err error
					if req.Kind == Renew {
						g, err = table.Renew(leader.clock(now), "d", p.name, req.Term, req.Version)
					} else {
						g, err = table.Grant(leader.clock(now), "d", p.name, c.Length, req.Version)
					}
					late := time.Duration(0)
					if lost { // it times out, and is answered when the next request may be in flight
						queue = append(queue, message{max(now, p.stalled) + s, func(now time.Duration) { h.Unanswered(p.clock(now), req.Number) }, step})
						late = 3 * s
					}
					queue = append(queue, message{max(now, p.stalled) + late + time.Duration(rng.Int64N(int64(2*s))), func(now time.Duration) {
						switch {
						case p.h != h:
						case errors.Is(err, ErrStaleVersion):
							h.VersionStale(p.clock(now), req.Number, g.Version)
						case err != nil:
							h.Denied(p.clock(now), req.Number, g.Version)
						default:
							h.Granted(p.clock(now), req.Number, g)
							if actingShare > 0 {
								h.actUntil = h.sentAt + time.Duration(actingShare*float64(c.Length))
							}
						}
					}, step})
				}, step})
			}
			if token, ok := h.MayAct(at); ok {
				acts = append(acts, p.name)
				if fence.Check("d", token) != nil {
					staleTokens++
				}
			}
		}
		if len(acts) > 1 {
			simultaneous++
		}
		if len(acts) == 1 && acts[0] != last {
			last = acts[0]
			handovers++
		}
	}
	return simultaneous, staleTokens, handovers
}

// TestOneHolderActsAtATime checks that with clocks up to 5% fast or slow, stalls of up to 25 s, lost and late messages,
// resignations and new leaders, no two holders act at the same true time, none acts under an old token, and some holder
// acts.
func TestOneHolderActsAtATime(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		simultaneous, staleTokens, handovers := simulate(rapid.Uint64().Draw(r, "seed"), 2000, 0)
		if simultaneous > 0 || staleTokens > 0 {
			r.Fatalf("two holders acted at once %d times, one acted under an old token %d times", simultaneous, staleTokens)
		}
		if handovers < 1 {
			r.Fatalf("no holder ever acted")
		}
	})
}

// TestSimulationDetectsTooLongActing checks that the simulation detects holders that act for a fifth longer than a lease.
func TestSimulationDetectsTooLongActing(t *testing.T) {
	found := 0
	for seed := range uint64(40) {
		simultaneous, staleTokens, _ := simulate(seed, 2000, 1.2)
		found += simultaneous + staleTokens
	}
	if found == 0 {
		t.Error("holders that act for 1.2 leases were not detected")
	}
}

// TestHolderWithoutAnswersGetsNoDuty checks that a coordinator whose requests arrive but that gets no answers keeps a duty only
// until its lease ends, so that another one gets it. Without versions no other holder would get it while the fault lasts.
func TestHolderWithoutAnswersGetsNoDuty(t *testing.T) {
	simulateFault := func(withVersions bool) (acted map[int]int, longestGap time.Duration) {
		c := Config{Length: 10 * s}
		table, _ := NewLessor(c)
		holders := []*Holder{NewHolder(c, 0, s), NewHolder(c, 0, 2*s), NewHolder(c, 0, 3*s)}
		acted, since := map[int]int{}, time.Duration(0)
		for now := time.Duration(0); now < 5*time.Minute; now += 100 * time.Millisecond {
			for i, h := range holders {
				req := h.Step(now)
				known := req.Version
				if !withVersions {
					known = AnyVersion
				}
				var g Grant
				var err error
				switch name := fmt.Sprint("c", i); req.Kind {
				case Campaign:
					g, err = table.Grant(now, "d", name, c.Length, known)
				case Renew:
					g, err = table.Renew(now, "d", name, req.Term, known)
				}
				switch answersLost := i == 0 && now > time.Minute && now < 3*time.Minute; {
				case req.Kind == Wait:
				case answersLost:
					h.Unanswered(now, req.Number)
				case errors.Is(err, ErrStaleVersion):
					h.VersionStale(now, req.Number, g.Version)
				case err != nil:
					h.Denied(now, req.Number, g.Version)
				default:
					h.Granted(now, req.Number, g)
				}
				if _, ok := h.MayAct(now); ok {
					acted[i]++
					longestGap, since = max(longestGap, now-since), now
				}
			}
		}
		return acted, longestGap
	}
	// It acts for 9.8 s from the last grant that it received; the lessor holds the duty for 10 s from the one that it did not receive,
	// 3.9 s later; the others campaign at least every 5.5 s.
	acted, longestGap := simulateFault(true)
	if acted[1]+acted[2] < 2000 || longestGap > 10*s {
		t.Errorf("actions by holder %v, longest time without one %v", acted, longestGap)
	}
	if acted, longestGap := simulateFault(false); longestGap < 100*s {
		t.Errorf("without versions: actions by holder %v, longest time without one %v: the test detects nothing", acted, longestGap)
	}
}

func BenchmarkCampaign(b *testing.B) {
	table, _ := NewLessor(Config{})
	for i := 0; b.Loop(); i++ {
		table.Grant(time.Duration(i)*20*s, fmt.Sprint("d", i%100), "a", 10*s, AnyVersion)
	}
}
