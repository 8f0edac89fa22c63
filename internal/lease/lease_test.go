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

// TestLessor: each row of the table's rules.
func TestLessor(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(t *Lessor) (Grant, error)
		want Grant
		err  error
	}{
		{"free", func(t *Lessor) (Grant, error) { return t.Grant(0, "d", "a", 10*s, AnyVersion) }, Grant{"d", "a", 1, 1, 2}, nil},
		{"held", func(t *Lessor) (Grant, error) {
			t.Grant(0, "d", "a", 10*s, AnyVersion)
			return t.Grant(10*s-1, "d", "b", 10*s, AnyVersion)
		}, Grant{"d", "a", 1, 1, 2}, ErrHeld},
		{"over", func(t *Lessor) (Grant, error) {
			t.Grant(0, "d", "a", 10*s, AnyVersion)
			return t.Grant(10*s, "d", "b", 10*s, AnyVersion)
		}, Grant{"d", "b", 2, 2, 3}, nil},
		{"renewed", func(t *Lessor) (Grant, error) {
			t.Grant(0, "d", "a", 10*s, AnyVersion)
			t.Renew(9*s, "d", "a", 1, AnyVersion)
			return t.Grant(18*s, "d", "b", 10*s, AnyVersion)
		}, Grant{"d", "a", 1, 1, 3}, ErrHeld},
		{"renewed late, and nobody else came", func(t *Lessor) (Grant, error) {
			t.Grant(0, "d", "a", 10*s, AnyVersion)
			return t.Renew(30*s, "d", "a", 1, AnyVersion)
		}, Grant{"d", "a", 1, 1, 3}, nil},
		{"renewed after another", func(t *Lessor) (Grant, error) {
			t.Grant(0, "d", "a", 10*s, AnyVersion)
			t.Grant(10*s, "d", "b", 10*s, AnyVersion)
			return t.Renew(11*s, "d", "a", 1, AnyVersion)
		}, Grant{"d", "b", 2, 2, 3}, ErrTermOver},
		{"an old term of its own", func(t *Lessor) (Grant, error) {
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
		{"a new leader counts from its start", func(t *Lessor) (Grant, error) {
			t.Grant(100*s, "d", "a", 10*s, AnyVersion)
			list := t.Snapshot()
			t.Restore(list)
			t.Promote(5 * s) // another clock
			return t.Grant(15*s-1, "d", "b", 10*s, AnyVersion)
		}, Grant{"d", "a", 1, 1, 2}, ErrHeld},
		{"the version of the last grant", func(t *Lessor) (Grant, error) {
			g, _ := t.Grant(0, "d", "a", 10*s, 1)
			return t.Renew(9*s, "d", "a", 1, g.Version)
		}, Grant{"d", "a", 1, 1, 3}, nil},
		{"a renewal by one that did not hear of the last lengthens nothing", func(t *Lessor) (Grant, error) {
			t.Grant(0, "d", "a", 10*s, 1)
			t.Renew(4*s, "d", "a", 1, 2)
			if g, err := t.Renew(8*s, "d", "a", 1, 2); !errors.Is(err, ErrStaleVersion) {
				return g, err
			}
			return t.Grant(14*s, "d", "b", 10*s, 3)
		}, Grant{"d", "b", 2, 2, 4}, nil},
		{"nor is it granted a new term, though its own is over", func(t *Lessor) (Grant, error) {
			t.Grant(0, "d", "a", 10*s, 1)
			t.Renew(4*s, "d", "a", 1, 2)
			return t.Grant(30*s, "d", "a", 10*s, 2)
		}, Grant{"d", "a", 1, 1, 3}, ErrStaleVersion},
		{"one that is denied is told the version", func(t *Lessor) (Grant, error) {
			t.Grant(0, "d", "a", 10*s, 1)
			return t.Grant(1*s, "d", "b", 10*s, 1)
		}, Grant{"d", "a", 1, 1, 2}, ErrHeld},
		{"a snapshot of the earlier form", func(t *Lessor) (Grant, error) {
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
		got, err := c.play(table)
		if diff := cmp.Diff(c.want, got); diff != "" || !errors.Is(err, c.err) {
			t.Errorf("%s: error %v, want %v (-want +got)\n%s", c.name, err, c.err, diff)
		}
	}
	if _, err := NewLessor(Config{Drift: 0.6}); err == nil {
		t.Errorf("a drift of 0.6 was taken")
	}
}

// TestFence: tokens of one duty only grow; a lower one is turned back.
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

// process is a coordinator in a world of true time, with a clock of its own.
type process struct {
	h       *Holder
	rate    float64
	start   time.Duration // true time at which its clock began
	stalled time.Duration // until then, true time
	name    string
}

func (p *process) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-p.start) * p.rate)
}

// world plays holders before a table whose leader changes, with requests and answers that take their time or are lost.
// acting, where set, replaces how long a holder counts: to see that the check would find a wrong bound.
func world(seed uint64, steps int, acting float64) (both, back, handed int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	c := Config{Length: 10 * s, Drift: 0.05}
	table, _ := NewLessor(c)
	table.Promote(0)
	leader := &process{rate: 1}
	var ps []*process
	for i := range 3 {
		p := &process{rate: 0.95 + 0.1*rng.Float64(), name: fmt.Sprint("c", i)}
		p.h = NewHolder(c, 0, time.Duration(i)*200*time.Millisecond)
		ps = append(ps, p)
	}
	type mail struct {
		at   time.Duration
		act  func(now time.Duration)
		sort int
	}
	var post []mail
	var fence Fence
	last := ""
	now := time.Duration(0)
	for step := range steps {
		now += time.Duration(rng.Int64N(int64(300 * time.Millisecond)))
		switch rng.IntN(60) {
		case 0:
			ps[rng.IntN(3)].stalled = now + time.Duration(rng.Int64N(int64(25*s)))
		case 1: // another leads: its clock is another, and it has the table by its log
			leader = &process{rate: 0.95 + 0.1*rng.Float64(), start: now - time.Duration(rng.Int64N(int64(100*s)))}
			list := table.Snapshot()
			table.Restore(list)
			table.Promote(leader.clock(now))
		case 2:
			p := ps[rng.IntN(3)]
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
		slices.SortFunc(post, func(a, b mail) int { return int(a.at - b.at) })
		for len(post) > 0 && post[0].at <= now {
			m := post[0]
			post = post[1:]
			m.act(now)
		}
		var acts []string
		for _, p := range ps {
			if now < p.stalled {
				continue
			}
			h := p.h
			at := p.clock(now)
			if ask := h.Step(at); ask.Kind != Wait {
				way, lost := time.Duration(rng.Int64N(int64(2*s))), rng.IntN(8) == 0
				post = append(post, mail{now + way, func(now time.Duration) {
					var g Grant
					var err error
					if ask.Kind == Renew {
						g, err = table.Renew(leader.clock(now), "d", p.name, ask.Term, ask.Version)
					} else {
						g, err = table.Grant(leader.clock(now), "d", p.name, c.Length, ask.Version)
					}
					late := time.Duration(0)
					if lost { // given up, and answered when the next may be out
						post = append(post, mail{max(now, p.stalled) + s, func(now time.Duration) { h.Unanswered(p.clock(now), ask.Number) }, step})
						late = 3 * s
					}
					post = append(post, mail{max(now, p.stalled) + late + time.Duration(rng.Int64N(int64(2*s))), func(now time.Duration) {
						switch {
						case p.h != h:
						case errors.Is(err, ErrStaleVersion):
							h.VersionStale(p.clock(now), ask.Number, g.Version)
						case err != nil:
							h.Denied(p.clock(now), ask.Number, g.Version)
						default:
							h.Granted(p.clock(now), ask.Number, g)
							if acting > 0 {
								h.actUntil = h.sentAt + time.Duration(acting*float64(c.Length))
							}
						}
					}, step})
				}, step})
			}
			if token, ok := h.MayAct(at); ok {
				acts = append(acts, p.name)
				if fence.Check("d", token) != nil {
					back++
				}
			}
		}
		if len(acts) > 1 {
			both++
		}
		if len(acts) == 1 && acts[0] != last {
			last = acts[0]
			handed++
		}
	}
	return both, back, handed
}

// TestOneActsAtATime: with clocks 5% fast and slow, stalls of up to 25 s, lost and late messages, resignations and new
// leaders, no two ever act at the same true time, none acts under a token that was passed, and the duty goes round.
func TestOneActsAtATime(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		both, back, handed := world(rapid.Uint64().Draw(r, "seed"), 2000, 0)
		if both > 0 || back > 0 {
			r.Fatalf("two acted at once %d times, %d acts were under an old token", both, back)
		}
		if handed < 1 {
			r.Fatalf("nobody ever acted")
		}
	})
}

// TestTheCheckFindsAWrongBound: a holder that counted a fifth longer would be found out.
func TestTheCheckFindsAWrongBound(t *testing.T) {
	found := 0
	for seed := range uint64(40) {
		both, back, _ := world(seed, 2000, 1.2)
		found += both + back
	}
	if found == 0 {
		t.Error("holders that act for 1.2 leases were not found out")
	}
}

// TestHolderWithoutAnswersGetsNoDuty: one that is heard and does not hear keeps a duty for what is left of its lease and no longer, whoever else stands by,
// and gets it back once it hears. Without versions nobody else ever holds it.
func TestHolderWithoutAnswersGetsNoDuty(t *testing.T) {
	play := func(says bool) (acted map[int]int, worst time.Duration) {
		c := Config{Length: 10 * s}
		table, _ := NewLessor(c)
		holders := []*Holder{NewHolder(c, 0, s), NewHolder(c, 0, 2*s), NewHolder(c, 0, 3*s)}
		acted, since := map[int]int{}, time.Duration(0)
		for now := time.Duration(0); now < 5*time.Minute; now += 100 * time.Millisecond {
			for i, h := range holders {
				ask := h.Step(now)
				heard := ask.Version
				if !says {
					heard = AnyVersion
				}
				var g Grant
				var err error
				switch name := fmt.Sprint("c", i); ask.Kind {
				case Campaign:
					g, err = table.Grant(now, "d", name, c.Length, heard)
				case Renew:
					g, err = table.Renew(now, "d", name, ask.Term, heard)
				}
				switch deaf := i == 0 && now > time.Minute && now < 3*time.Minute; {
				case ask.Kind == Wait:
				case deaf:
					h.Unanswered(now, ask.Number)
				case errors.Is(err, ErrStaleVersion):
					h.VersionStale(now, ask.Number, g.Version)
				case err != nil:
					h.Denied(now, ask.Number, g.Version)
				default:
					h.Granted(now, ask.Number, g)
				}
				if _, ok := h.MayAct(now); ok {
					acted[i]++
					worst, since = max(worst, now-since), now
				}
			}
		}
		return acted, worst
	}
	// It acts for 9.8 s from the last grant it heard; the table holds for 10 s from the one it did not, 3.9 s later; the others ask
	// every 5.5 s at most.
	acted, worst := play(true)
	if acted[1]+acted[2] < 2000 || worst > 10*s {
		t.Errorf("acted %v, nobody did for %v", acted, worst)
	}
	if acted, worst := play(false); worst < 100*s {
		t.Errorf("without versions: acted %v, nobody did for %v: the test can't tell", acted, worst)
	}
}

func BenchmarkCampaign(b *testing.B) {
	table, _ := NewLessor(Config{})
	for i := 0; b.Loop(); i++ {
		table.Grant(time.Duration(i)*20*s, fmt.Sprint("d", i%100), "a", 10*s, AnyVersion)
	}
}
