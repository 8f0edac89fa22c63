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

// TestTable: each row of the table's rules.
func TestTable(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(t *Table) (Grant, error)
		want Grant
		err  error
	}{
		{"free", func(t *Table) (Grant, error) { return t.Campaign(0, "d", "a") }, Grant{"d", "a", 1, 1}, nil},
		{"held", func(t *Table) (Grant, error) {
			t.Campaign(0, "d", "a")
			return t.Campaign(10*s-1, "d", "b")
		}, Grant{"d", "a", 1, 1}, ErrHeld},
		{"over", func(t *Table) (Grant, error) {
			t.Campaign(0, "d", "a")
			return t.Campaign(10*s, "d", "b")
		}, Grant{"d", "b", 2, 2}, nil},
		{"renewed", func(t *Table) (Grant, error) {
			t.Campaign(0, "d", "a")
			t.Renew(9*s, "d", "a", 1)
			return t.Campaign(18*s, "d", "b")
		}, Grant{"d", "a", 1, 1}, ErrHeld},
		{"renewed late, and nobody else came", func(t *Table) (Grant, error) {
			t.Campaign(0, "d", "a")
			return t.Renew(30*s, "d", "a", 1)
		}, Grant{"d", "a", 1, 1}, nil},
		{"renewed after another", func(t *Table) (Grant, error) {
			t.Campaign(0, "d", "a")
			t.Campaign(10*s, "d", "b")
			return t.Renew(11*s, "d", "a", 1)
		}, Grant{"d", "b", 2, 2}, ErrTerm},
		{"an old term of its own", func(t *Table) (Grant, error) {
			t.Campaign(0, "d", "a")
			t.Campaign(1*s, "d", "a")
			return t.Renew(2*s, "d", "a", 1)
		}, Grant{"d", "a", 2, 2}, ErrTerm},
		{"resigned", func(t *Table) (Grant, error) {
			t.Campaign(0, "d", "a")
			t.Resign("d", "a", 1)
			return t.Campaign(1, "d", "b")
		}, Grant{"d", "b", 2, 2}, nil},
		{"another's resignation", func(t *Table) (Grant, error) {
			t.Campaign(0, "d", "a")
			if err := t.Resign("d", "b", 1); !errors.Is(err, ErrTerm) {
				return Grant{}, err
			}
			return t.Campaign(1, "d", "b")
		}, Grant{"d", "a", 1, 1}, ErrHeld},
		{"a new leader counts from its start", func(t *Table) (Grant, error) {
			t.Campaign(100*s, "d", "a")
			list := t.Snapshot()
			t.Restore(list)
			t.Led(5 * s) // another clock
			return t.Campaign(15*s-1, "d", "b")
		}, Grant{"d", "a", 1, 1}, ErrHeld},
		{"another duty", func(t *Table) (Grant, error) {
			t.Campaign(0, "d", "a")
			return t.Campaign(0, "e", "b")
		}, Grant{"e", "b", 1, 1}, nil},
	} {
		table, err := NewTable(Config{})
		if err != nil {
			t.Fatal(err)
		}
		got, err := c.play(table)
		if diff := cmp.Diff(c.want, got); diff != "" || !errors.Is(err, c.err) {
			t.Errorf("%s: error %v, want %v (-want +got)\n%s", c.name, err, c.err, diff)
		}
	}
	if _, err := NewTable(Config{Drift: 0.6}); err == nil {
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
		if err := f.Pass(c.duty, c.token); (err == nil) != c.ok {
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
	table, _ := NewTable(c)
	table.Led(0)
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
			table.Led(leader.clock(now))
		case 2:
			p := ps[rng.IntN(3)]
			if now < p.stalled {
				break
			}
			g, held := p.h.Resign()
			if held {
				table.Resign("d", p.name, g.Term)
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
			if ask := h.Step(at); ask.What != Wait {
				way, lost := time.Duration(rng.Int64N(int64(2*s))), rng.IntN(8) == 0
				post = append(post, mail{now + way, func(now time.Duration) {
					var g Grant
					var err error
					if ask.What == Renew {
						g, err = table.Renew(leader.clock(now), "d", p.name, ask.Term)
					} else {
						g, err = table.Campaign(leader.clock(now), "d", p.name)
					}
					late := time.Duration(0)
					if lost { // given up, and answered when the next may be out
						post = append(post, mail{max(now, p.stalled) + s, func(now time.Duration) { h.Lost(p.clock(now), ask.N) }, step})
						late = 3 * s
					}
					post = append(post, mail{max(now, p.stalled) + late + time.Duration(rng.Int64N(int64(2*s))), func(now time.Duration) {
						switch {
						case p.h != h:
						case err != nil:
							h.Denied(p.clock(now), ask.N)
						default:
							h.Granted(p.clock(now), ask.N, g)
							if acting > 0 {
								h.until = h.sent + time.Duration(acting*float64(c.Length))
							}
						}
					}, step})
				}, step})
			}
			if token, ok := h.MayAct(at); ok {
				acts = append(acts, p.name)
				if fence.Pass("d", token) != nil {
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

func BenchmarkCampaign(b *testing.B) {
	table, _ := NewTable(Config{})
	for i := 0; b.Loop(); i++ {
		table.Campaign(time.Duration(i)*20*s, fmt.Sprint("d", i%100), "a")
	}
}
