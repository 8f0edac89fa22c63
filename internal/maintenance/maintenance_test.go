package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const s = time.Second

// ring makes a fleet of machines dealt out over cells and zones.
func ring(t interface{ Fatal(...any) }, lay Layout, n, zones int, change func(*Machine)) *Fleet {
	var list []Machine
	for i := range n {
		m := Machine{ID: fmt.Sprintf("m%d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 7000+i), ShardSet: i % lay.ShardSets, Zone: string(rune('a' + i/lay.ShardSets%zones)), Weight: 1,
			Serving: true, Healthy: true, Started: 1}
		if change != nil {
			change(&m)
		}
		list = append(list, m)
	}
	f, err := NewFleet(lay, list)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func names(f *Fleet) (list []string) {
	for _, m := range f.Machines {
		list = append(list, m.ID)
	}
	return list
}

// fewest tries every way to deal machines out into waves.
func fewest(f *Fleet, ids []string, l Limits) int {
	best := len(ids)
	var place func(i int, waves [][]string)
	place = func(i int, waves [][]string) {
		if len(waves) >= best {
			return
		}
		if i == len(ids) {
			best = len(waves)
			return
		}
		for w := range waves {
			old := waves[w]
			if waves[w] = append(old[:len(old):len(old)], ids[i]); f.CheckWaves(waves[w:w+1], l) == nil {
				place(i+1, waves)
			}
			waves[w] = old
		}
		place(i+1, append(waves[:len(waves):len(waves)], []string{ids[i]}))
	}
	place(0, nil)
	return best
}

// TestPlanAgainstAllOrders: at small sizes no order has fewer waves than the plan's, whatever the layout, the limits and what
// is not sound; no wave breaks a limit, each machine goes once or is refused with a reason, and the bound is one.
func TestPlanAgainstAllOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lay := Layout{ShardSets: rapid.IntRange(1, 5).Draw(t, "cells"), Shards: rapid.IntRange(1, 7).Draw(t, "shards")}
		lay.Reach = rapid.IntRange(1, lay.ShardSets).Draw(t, "reach")
		n := rapid.IntRange(1, 8).Draw(t, "machines")
		f := ring(t, lay, n, rapid.IntRange(1, 3).Draw(t, "zones"), func(m *Machine) {
			m.Weight = float64(rapid.IntRange(1, 3).Draw(t, "weight"))
			m.Healthy = rapid.IntRange(0, 7).Draw(t, "sound") > 0
			m.Util = float64(rapid.IntRange(0, 6).Draw(t, "util")) / 10
		})
		l := Limits{Floor: rapid.IntRange(1, 3).Draw(t, "floor"), PerShard: rapid.IntRange(0, 2).Draw(t, "per shard"), AtOnce: rapid.IntRange(0, 3).Draw(t, "at once"),
			Share: []float64{0, 0.3, 0.6}[rapid.IntRange(0, 2).Draw(t, "share")], ZoneShare: []float64{0, 0.5, 1}[rapid.IntRange(0, 2).Draw(t, "zone share")],
			Room: []float64{0, 0.8}[rapid.IntRange(0, 1).Draw(t, "room")]}
		p := f.Plan(names(f), l, 1)
		var planned []string
		for _, w := range p.Waves {
			planned = append(planned, w...)
		}
		if err := f.CheckWaves(p.Waves, l); err != nil {
			t.Fatal(err)
		}
		if len(planned)+len(p.Refused) != n {
			t.Fatalf("%d planned and %d refused of %d", len(planned), len(p.Refused), n)
		}
		for _, r := range p.Refused {
			if f.CheckWaves([][]string{{r.Machine}}, l) == nil || r.Why == "" {
				t.Fatalf("%s is refused (%s) and could go", r.Machine, r.Why)
			}
		}
		if want := fewest(f, planned, l); len(p.Waves) != want || p.Bound > want || !p.Exact {
			t.Fatalf("%d waves, bound %d, exact %v; all orders tried: %d", len(p.Waves), p.Bound, p.Exact, want)
		}
		if d := cmp.Diff(p, f.Plan(names(f), l, 1)); d != "" {
			t.Fatalf("planned twice: %s", d)
		}
	})
}

// TestRefusals: what can't be done is told with the limit that forbids it.
func TestRefusals(t *testing.T) {
	lay := Layout{ShardSets: 2, Shards: 2, Reach: 1}
	for _, c := range []struct {
		name string
		l    Limits
		fix  func(*Machine)
		want string
	}{
		{"a shard at its floor", Limits{Floor: 2}, nil, "shard 0 has 2 sound replicas and keeps 2"},
		{"a single replica", Limits{Floor: 1}, func(m *Machine) { m.Healthy = m.ID == "m0" || m.ShardSet == 1 }, "shard 0 has 1 sound replicas and keeps 1"},
		{"the fleet's share", Limits{Floor: 1, Share: 0.2}, nil, "1 of the fleet's weight of 4 would be missing; 20% may be"},
		{"a zone's share", Limits{Floor: 1, ZoneShare: 0.4}, nil, `1 of zone "a"'s weight of 2 would be missing; 40% may be`},
		{"not sound itself, and its shard under the floor", Limits{Floor: 2}, func(m *Machine) { m.Healthy = m.ShardSet == 1 || m.ID == "m2" },
			"shard 0 has 1 sound replicas and keeps 2"},
		{"the room", Limits{Floor: 1, Room: 0.8}, func(m *Machine) { m.Util = 0.7 }, "what remains would be 93% busy; 80% may be"},
	} {
		f := ring(t, lay, 4, 2, c.fix)
		st := &State{}
		_, _, err := st.Start(time.Unix(0, 0), Request{Takes: s, Back: s}, []string{"m0"}, f, c.l, 0)
		var no RefusedError
		if !errors.As(err, &no) || len(no.Refused) != 1 || no.Refused[0].Why != c.want || len(st.Requests) > 0 {
			t.Errorf("%s: %v; want %q", c.name, err, c.want)
		}
	}
	f := ring(t, lay, 4, 2, nil)
	st := &State{}
	if _, _, err := st.Start(time.Unix(0, 0), Request{Takes: time.Hour, Back: s, DoneBy: 7100}, []string{"m0", "m1", "m2"}, f, Limits{Floor: 1}, time.Minute); err == nil || !strings.Contains(err.Error(), "2 waves") {
		t.Errorf("later than it is to be done: %v", err)
	}
	if _, _, err := st.Start(time.Unix(0, 0), Request{Takes: s, Back: s}, []string{"m9"}, f, Limits{Floor: 1}, 0); err == nil {
		t.Error("a machine that is not listed")
	}
}

// play is a fleet, its plan and what a holder of the duty sees.
type play struct {
	st *State
	v  *View
	t  *Timer
	f  func(change func(*Machine)) *Fleet
}

func newPlay(t *testing.T, machines []string, r Request) *play {
	t.Helper()
	p := &play{st: &State{}, t: &Timer{}, f: func(change func(*Machine)) *Fleet { return ring(t, Layout{2, 2, 1}, 6, 3, change) }}
	p.v = &View{Fleet: p.f(nil), Limits: Limits{Floor: 1}, WarmupTime: 5 * s, Wall: time.Unix(1000, 0), Coordinators: []Coordinator{{Name: "n0", Seen: 999}, {Name: "n1", Seen: 999}}}
	if r.Takes == 0 {
		r.Takes, r.Back = 60*s, 30*s
	}
	if _, _, err := p.st.Start(p.v.Wall, r, machines, p.v.Fleet, p.v.Limits, p.v.WarmupTime); err != nil {
		t.Fatal(err)
	}
	p.st.Step(p.v, p.t) // called, where it may be
	return p
}

// step steps after a while and tells each machine's state and why the first request waits.
func (p *play) step(after time.Duration) string {
	p.v.Now += after
	p.st.Step(p.v, p.t)
	var text []string
	for _, r := range p.st.Requests {
		for _, st := range r.Steps {
			text = append(text, st.Machine+" "+st.State.String())
		}
	}
	return strings.Join(text, ", ")
}

// clear lets coordinators say that nothing is out at what drains now.
func (p *play) clear(who ...int) {
	turns := p.st.Overlay().Turns
	for _, i := range who {
		p.v.Coordinators[i].Clear = turns
	}
}

// TestStepsOfOneMachine: a machine goes through its states, each move with what it needs.
func TestStepsOfOneMachine(t *testing.T) {
	p := newPlay(t, []string{"m0"}, Request{})
	for _, c := range []struct {
		what   string
		change func()
		after  time.Duration
		want   string
	}{
		{"drained by the first look", nil, 0, "m0 draining"},
		{"one has not said that nothing is out", func() { p.clear(0) }, s, "m0 draining"},
		{"one spoke of an earlier drain", func() { p.v.Coordinators[1].Clear = map[string]uint64{"m0": 99} }, s, "m0 draining"},
		{"both have", func() { p.clear(0, 1) }, s, "m0 drained"},
		{"handed over", nil, s, "m0 out"},
		{"still out", nil, 59 * s, "m0 out"},
		{"a later start of its process", func() {
			p.v.Fleet = p.f(func(m *Machine) {
				if m.ID == "m0" {
					m.Started, m.Healthy = 2, false
				}
			})
		}, 0, "m0 returning"},
		{"cold", nil, 4 * s, "m0 returning"},
		{"not sound yet", nil, 4 * s, "m0 returning"},
		{"sound and its time is over", func() { p.v.Fleet = p.f(nil) }, s, "m0 warm"},
		{"done", nil, 0, "m0 done"},
	} {
		if c.change != nil {
			c.change()
		}
		if got := p.step(c.after); got != c.want {
			t.Fatalf("%s: %s, want %s (%s)", c.what, got, c.want, p.st.Requests[0].Why)
		}
	}
	if p.st.Requests[0].State != Finished {
		t.Errorf("the request is %s", p.st.Requests[0].State)
	}
	for i, m := range p.st.Recent {
		if m.N != uint64(i+1) {
			t.Errorf("move %d is told as the %d-th", i+1, m.N)
		}
	}
}

// TestHaltsAndFailures: what stops further moves, takes back what is begun, or lets a machine fail.
func TestHaltsAndFailures(t *testing.T) {
	failing := func(id string) func(*Machine) {
		return func(m *Machine) { m.Healthy = m.ID != id && m.Healthy }
	}
	for _, c := range []struct {
		name string
		r    Request
		ask  []string
		play func(p *play)
		want string
		why  string
	}{
		{"not seen by all", Request{}, []string{"m0"}, func(p *play) { p.v.Coordinators[1].Seen = 0 }, "m0 waiting", "not seen yet by n1"},
		{"not before", Request{NotBefore: 2000}, []string{"m0"}, nil, "m0 waiting", "not before"},
		{"barred hours, over midnight", Request{Barred: []Hours{{23 * time.Hour, 24*time.Hour - 1}, {22 * time.Hour, time.Hour}}}, []string{"m0"}, func(p *play) {
			p.v.Wall = time.Date(2026, 1, 1, 0, 30, 0, 0, time.UTC)
		}, "m0 waiting", "barred"},
		{"one at once", Request{AtOnce: 1}, []string{"m0", "m1"}, nil, "m0 draining, m1 waiting", ""},
		{"another of its shard fails before it is handed over", Request{}, []string{"m0"}, func(p *play) {
			p.v.Limits.Floor = 2
			p.step(0)
			p.v.Fleet = p.f(failing("m2"))
		}, "m0 waiting", "shard 0 has 2 sound replicas and keeps 2"},
		{"and after: it goes on being out", Request{}, []string{"m0", "m2"}, func(p *play) {
			p.v.Limits.Floor = 2
			p.step(0)
			p.clear(0, 1)
			p.step(0)
			p.step(0)
			p.v.Fleet = p.f(failing("m4"))
		}, "m0 out, m2 waiting", "shard 0 has 1 sound replicas and keeps 2"},
		{"paused with a drain begun", Request{}, []string{"m0"}, func(p *play) { p.step(0); p.st.Order(Pause, 1) }, "m0 waiting", "by an operator's word"},
		{"abandoned with a machine out", Request{}, []string{"m0", "m1"}, func(p *play) {
			p.step(0)
			p.clear(0, 1)
			p.step(0)
			p.step(0)
			p.st.Order(Abandon, 1)
		}, "m0 out, m1 out", "by an operator's word"},
		{"out for too long", Request{}, []string{"m0", "m1"}, func(p *play) {
			p.v.Limits.AtOnce = 1
			p.step(0)
			p.clear(0, 1)
			p.step(0)
			p.step(0)
			p.step(0)
			p.step(61 * s)
		}, "m0 failed, m1 waiting", "m0: it was out for longer than 1m0s"},
		{"a new id at its address", Request{}, []string{"m0"}, func(p *play) {
			p.step(0)
			p.clear(0, 1)
			p.step(0)
			p.step(0)
			p.v.Fleet = p.f(func(m *Machine) {
				if m.ID == "m0" {
					m.ID, m.Started = "new", 7
				}
			})
		}, "m0 returning", ""},
		{"the same by hand", Request{ByHand: true, Takes: 60 * s, Back: s}, []string{"m0"}, func(p *play) {
			p.step(0)
			p.clear(0, 1)
			p.step(0)
			p.step(0)
			p.v.Fleet = p.f(func(m *Machine) { m.Started = 7 })
		}, "m0 out", ""},
		{"away, and it has seen the request", Request{}, []string{"m0"}, func(p *play) {
			p.step(0)
			p.clear(0)
			p.v.Coordinators[1].Absent = true
		}, "m0 drained", ""},
		{"away, and it has not", Request{}, []string{"m0"}, func(p *play) {
			p.step(0)
			p.clear(0)
			p.v.Coordinators[1].Absent, p.v.Coordinators[1].Seen = true, 0
		}, "m0 draining", "m0: n1 has not said that nothing is out there"},
		{"users' queries are turned away, with one machine begun", Request{AtOnce: 2}, []string{"m0", "m1", "m2"}, func(p *play) {
			p.step(0)
			p.v.Overloaded = true
			p.clear(0, 1)
			p.step(0)
			p.step(0)
			p.v.Fleet = p.f(func(m *Machine) { m.Started = 7 })
			for range 4 {
				p.step(0)
			}
		}, "m0 done, m1 done, m2 waiting", "m2: users' queries were turned away"},
		{"called, and a shard at its floor before it is drained", Request{}, []string{"m0"}, func(p *play) {
			p.v.Limits.Floor = 2
			p.v.Fleet = p.f(failing("m2"))
		}, "m0 waiting", "shard 0 has 2 sound replicas and keeps 2"},
	} {
		p := newPlay(t, c.ask, c.r)
		if c.play != nil {
			c.play(p)
		}
		p.v.Now += 2 * reasonInterval
		if got := p.step(0); got != c.want || !strings.Contains(p.st.Requests[0].Why, c.why) {
			t.Errorf("%s: %s (%s), want %s (%s)", c.name, got, p.st.Requests[0].Why, c.want, c.why)
		}
	}
}

// TestMoveNamesAbsentCoordinators: a move that rests on a coordinator being away names it, so that the store decides.
func TestMoveNamesAbsentCoordinators(t *testing.T) {
	p := newPlay(t, []string{"m0"}, Request{})
	p.step(0)
	p.clear(0)
	p.v.Coordinators[1].Absent = true
	moves, _ := p.st.Step(p.v, p.t)
	if len(moves) != 1 || cmp.Diff(moves[0].Lapsed, []string{"n1"}) != "" {
		t.Errorf("%+v", moves)
	}
}

// TestRandomFleets: over random failures, acknowledgements and operators' words no two looks together take a shard below its
// floor, a machine that is handed over was clear everywhere, a state goes through JSON unchanged, and once all is well every
// request ends.
func TestRandomFleets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		chance := rand.New(rand.NewPCG(seed, 1))
		lay := Layout{ShardSets: 4, Shards: 8, Reach: 2}
		l := Limits{Floor: 2, Share: 0.4}
		sound := map[string]bool{}
		started := map[string]int64{}
		fleet := func() *Fleet {
			return ring(t, lay, 12, 3, func(m *Machine) {
				bad, is := sound[m.ID]
				m.Healthy, m.Started = !is || !bad, 1+started[m.ID]
			})
		}
		st, timer := &State{}, &Timer{}
		v := &View{Limits: l, WarmupTime: 2 * s, Wall: time.Unix(1000, 0), Coordinators: []Coordinator{{Name: "n0"}, {Name: "n1"}, {Name: "n2"}}}
		look := func() {
			v.Fleet = fleet()
			before := map[string]StepState{}
			for _, r := range st.Requests {
				for _, x := range r.Steps {
					before[x.Machine] = x.State
				}
			}
			st.Step(v, timer)
			o := v.Fleet.newOutSet(l)
			for _, r := range st.Requests {
				for _, x := range r.Steps {
					if x.State == Out && before[x.Machine] != Out {
						for _, c := range v.Coordinators {
							if c.Clear[x.Machine] != x.Turn {
								t.Fatalf("%s is out, and not clear at %s", x.Machine, c.Name)
							}
						}
					}
					if x.missing() {
						o.add(v.Fleet.Machine(x.Machine))
					}
				}
			}
			for shard := range lay.Shards {
				if held := lay.Reach * 3; held-o.inWork[shard] < l.Floor {
					t.Fatalf("shard %d keeps %d replicas outside work", shard, held-o.inWork[shard])
				}
			}
			data, _ := json.Marshal(st)
			next := &State{}
			if err := json.Unmarshal(data, next); err != nil {
				t.Fatal(err)
			}
			if again, _ := json.Marshal(next); string(again) != string(data) {
				t.Fatalf("through JSON: %s, %s", data, again)
			}
			st = next
		}
		hands := func() {
			for _, r := range st.Requests {
				for _, x := range r.Steps {
					if x.State == Out {
						started[x.Machine]++
					}
				}
			}
		}
		for range 60 {
			v.Now += time.Duration(chance.IntN(900)) * time.Millisecond
			id := fmt.Sprintf("m%d", chance.IntN(12))
			switch chance.IntN(9) {
			case 0:
				st.Start(v.Wall, Request{Takes: 30 * s, Back: 30 * s, GoOn: chance.IntN(2) == 0}, []string{id, fmt.Sprintf("m%d", chance.IntN(12))}, fleet(), l, v.WarmupTime)
			case 1:
				sound[id] = true // not sound
			case 2:
				delete(sound, id)
			case 3:
				c := &v.Coordinators[chance.IntN(3)]
				c.Seen = st.Seen()
			case 4, 5:
				c := &v.Coordinators[chance.IntN(3)]
				c.Clear = st.Overlay().Turns
			case 6:
				hands()
			case 7:
				st.Order([]string{Pause, Resume, Abandon}[chance.IntN(3)], uint64(1+chance.IntN(3)))
			case 8:
				*timer = Timer{} // another holder
			}
			look()
		}
		for _, r := range st.Requests {
			st.Order(Resume, r.ID)
		}
		clear(sound)
		for range 200 {
			v.Now += 500 * time.Millisecond
			for i := range v.Coordinators {
				v.Coordinators[i].Seen, v.Coordinators[i].Clear = st.Seen(), st.Overlay().Turns
			}
			for _, r := range st.Requests {
				for _, x := range r.Steps {
					if x.State == Failed {
						st.WorkDone(x.Machine, "")
					}
				}
			}
			hands()
			look()
		}
		for _, r := range st.Requests {
			if !r.ended() {
				t.Fatalf("request %d is %s: %s", r.ID, r.State, r.Why)
			}
		}
	})
}

// TestPlanOfManyMachines: 10,000 machines, within a second; the gap to the bound is the benchmark's to tell.
func TestPlanOfManyMachines(t *testing.T) {
	f := ring(t, Layout{ShardSets: 1000, Shards: 1000, Reach: 3}, 10_000, 5, nil)
	l := Limits{Floor: 20, Share: 0.2}
	p := f.Plan(names(f), l, 1)
	if err := f.CheckWaves(p.Waves, l); err != nil || len(p.Refused) > 0 {
		t.Fatal(err, len(p.Refused))
	}
	if len(p.Waves) > 2*p.Bound {
		t.Errorf("%d waves; no order has fewer than %d", len(p.Waves), p.Bound)
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{20, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := ring(b, Layout{ShardSets: max(n/10, 4), Shards: max(n/10, 4), Reach: 3}, n, 5, nil)
			var p Plan
			for range b.N {
				p = f.Plan(names(f), Limits{Floor: 4, Share: 0.2}, 1)
			}
			b.ReportMetric(float64(len(p.Waves)), "waves")
			b.ReportMetric(float64(p.Bound), "bound")
		})
	}
}
