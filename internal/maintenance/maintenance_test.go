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

const sec = time.Second

// testFleet returns a fleet of n machines spread over shard sets and zones in turn. change, if not nil, adjusts each machine.
func testFleet(t interface{ Fatal(...any) }, layout Layout, n, zones int, change func(*Machine)) *Fleet {
	var list []Machine
	for i := range n {
		m := Machine{ID: fmt.Sprintf("m%d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 7000+i), ShardSet: i % layout.ShardSets, Zone: string(rune('a' + i/layout.ShardSets%zones)), Weight: 1,
			Serving: true, Healthy: true, Started: 1}
		if change != nil {
			change(&m)
		}
		list = append(list, m)
	}
	f, err := NewFleet(layout, list)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func fleetIDs(f *Fleet) (list []string) {
	for _, m := range f.Machines {
		list = append(list, m.ID)
	}
	return list
}

// fewestWaves returns the smallest possible number of waves, by trying every partition of the machines.
func fewestWaves(f *Fleet, ids []string, l Limits) int {
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

// TestPlanAgainstAllOrders compares plans for small random fleets with an exhaustive search: no order has fewer waves, no wave exceeds
// a limit, each machine is planned once or refused with a reason, Bound is a lower bound, and a second plan is the same.
func TestPlanAgainstAllOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layout := Layout{ShardSets: rapid.IntRange(1, 5).Draw(t, "shard sets"), Shards: rapid.IntRange(1, 7).Draw(t, "shards")}
		layout.Reach = rapid.IntRange(1, layout.ShardSets).Draw(t, "reach")
		n := rapid.IntRange(1, 8).Draw(t, "machines")
		f := testFleet(t, layout, n, rapid.IntRange(1, 3).Draw(t, "zones"), func(m *Machine) {
			m.Weight = float64(rapid.IntRange(1, 3).Draw(t, "weight"))
			m.Healthy = rapid.IntRange(0, 7).Draw(t, "healthy") > 0
			m.Utilization = float64(rapid.IntRange(0, 6).Draw(t, "util")) / 10
		})
		l := Limits{Floor: rapid.IntRange(1, 3).Draw(t, "floor"), PerShard: rapid.IntRange(0, 2).Draw(t, "per shard"), AtOnce: rapid.IntRange(0, 3).Draw(t, "at once"),
			Share: []float64{0, 0.3, 0.6}[rapid.IntRange(0, 2).Draw(t, "share")], ZoneShare: []float64{0, 0.5, 1}[rapid.IntRange(0, 2).Draw(t, "zone share")],
			Room: []float64{0, 0.8}[rapid.IntRange(0, 1).Draw(t, "highest utilization")]}
		p := f.Plan(fleetIDs(f), l, 1)
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
				t.Fatalf("%s was refused (%s) although it fits the limits", r.Machine, r.Why)
			}
		}
		if want := fewestWaves(f, planned, l); len(p.Waves) != want || p.Bound > want || !p.Exact {
			t.Fatalf("%d waves, bound %d, exact %v; exhaustive search: %d", len(p.Waves), p.Bound, p.Exact, want)
		}
		if d := cmp.Diff(p, f.Plan(fleetIDs(f), l, 1)); d != "" {
			t.Fatalf("second plan differs: %s", d)
		}
	})
}

// TestRefusals checks that a refusal names the limit that prevents the request.
func TestRefusals(t *testing.T) {
	layout := Layout{ShardSets: 2, Shards: 2, Reach: 1}
	for _, c := range []struct {
		name   string
		l      Limits
		change func(*Machine)
		want   string
	}{
		{"a shard at its floor", Limits{Floor: 2}, nil, "shard 0 has 2 sound replicas and keeps 2"},
		{"only one healthy replica", Limits{Floor: 1}, func(m *Machine) { m.Healthy = m.ID == "m0" || m.ShardSet == 1 }, "shard 0 has 1 sound replicas and keeps 1"},
		{"share of the fleet's weight", Limits{Floor: 1, Share: 0.2}, nil, "1 of the fleet's weight of 4 would be missing; 20% may be"},
		{"share of a zone's weight", Limits{Floor: 1, ZoneShare: 0.4}, nil, `1 of zone "a"'s weight of 2 would be missing; 40% may be`},
		{"unhealthy machine of a shard below its floor", Limits{Floor: 2}, func(m *Machine) { m.Healthy = m.ShardSet == 1 || m.ID == "m2" },
			"shard 0 has 1 sound replicas and keeps 2"},
		{"utilization of the remaining machines", Limits{Floor: 1, Room: 0.8}, func(m *Machine) { m.Utilization = 0.7 }, "what remains would be 93% busy; 80% may be"},
	} {
		f := testFleet(t, layout, 4, 2, c.change)
		st := &State{}
		_, _, err := st.Start(time.Unix(0, 0), Request{Takes: sec, Back: sec}, []string{"m0"}, f, c.l, 0)
		var refused RefusedError
		if !errors.As(err, &refused) || len(refused.Refused) != 1 || refused.Refused[0].Why != c.want || len(st.Requests) > 0 {
			t.Errorf("%s: %v; want %q", c.name, err, c.want)
		}
	}
	f := testFleet(t, layout, 4, 2, nil)
	st := &State{}
	if _, _, err := st.Start(time.Unix(0, 0), Request{Takes: time.Hour, Back: sec, DoneBy: 7100}, []string{"m0", "m1", "m2"}, f, Limits{Floor: 1}, time.Minute); err == nil || !strings.Contains(err.Error(), "2 waves") {
		t.Errorf("request that ends after DoneBy: error %v", err)
	}
	if _, _, err := st.Start(time.Unix(0, 0), Request{Takes: sec, Back: sec}, []string{"m9"}, f, Limits{Floor: 1}, 0); err == nil {
		t.Error("request for a machine that is not listed was accepted")
	}
}

// planFixture holds a plan, and the View and Timer with which the holder of the duty steps it.
type planFixture struct {
	st    *State
	v     *View
	t     *Timer
	fleet func(change func(*Machine)) *Fleet
}

func newPlanFixture(t *testing.T, machines []string, r Request) *planFixture {
	t.Helper()
	p := &planFixture{st: &State{}, t: &Timer{}, fleet: func(change func(*Machine)) *Fleet { return testFleet(t, Layout{2, 2, 1}, 6, 3, change) }}
	p.v = &View{Fleet: p.fleet(nil), Limits: Limits{Floor: 1}, WarmupTime: 5 * sec, Wall: time.Unix(1000, 0), Coordinators: []Coordinator{{Name: "n0", Seen: 999}, {Name: "n1", Seen: 999}}}
	if r.Takes == 0 {
		r.Takes, r.Back = 60*sec, 30*sec
	}
	if _, _, err := p.st.Start(p.v.Wall, r, machines, p.v.Fleet, p.v.Limits, p.v.WarmupTime); err != nil {
		t.Fatal(err)
	}
	p.st.Step(p.v, p.t) // announces the machines that may be announced
	return p
}

// step advances the clock, makes one Step, and returns the state of each machine.
func (p *planFixture) step(after time.Duration) string {
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

// clear makes coordinators acknowledge that they have no attempt in flight at the machines that are draining.
func (p *planFixture) clear(coordinators ...int) {
	turns := p.st.Overlay().Turns
	for _, i := range coordinators {
		p.v.Coordinators[i].Clear = turns
	}
}

// TestStepsOfOneMachine takes one machine through its states and checks the condition of each move.
func TestStepsOfOneMachine(t *testing.T) {
	p := newPlanFixture(t, []string{"m0"}, Request{})
	for _, c := range []struct {
		what   string
		change func()
		after  time.Duration
		want   string
	}{
		{"the first step drains it", nil, 0, "m0 draining"},
		{"one coordinator has not acknowledged the drain", func() { p.clear(0) }, sec, "m0 draining"},
		{"one acknowledged an earlier drain", func() { p.v.Coordinators[1].Clear = map[string]uint64{"m0": 99} }, sec, "m0 draining"},
		{"both have acknowledged the drain", func() { p.clear(0, 1) }, sec, "m0 drained"},
		{"handed over", nil, sec, "m0 out"},
		{"still out", nil, 59 * sec, "m0 out"},
		{"listed with a later start", func() {
			p.v.Fleet = p.fleet(func(m *Machine) {
				if m.ID == "m0" {
					m.Started, m.Healthy = 2, false
				}
			})
		}, 0, "m0 returning"},
		{"warming up", nil, 4 * sec, "m0 returning"},
		{"still unhealthy", nil, 4 * sec, "m0 returning"},
		{"healthy and warmed up", func() { p.v.Fleet = p.fleet(nil) }, sec, "m0 warm"},
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
		t.Errorf("request is %s, want done", p.st.Requests[0].State)
	}
	for i, m := range p.st.Recent {
		if m.N != uint64(i+1) {
			t.Errorf("move %d has number %d", i+1, m.N)
		}
	}
}

// TestHaltsAndFailures checks what prevents further moves, takes machines back, or makes a machine fail.
func TestHaltsAndFailures(t *testing.T) {
	failing := func(id string) func(*Machine) {
		return func(m *Machine) { m.Healthy = m.ID != id && m.Healthy }
	}
	for _, c := range []struct {
		name     string
		r        Request
		machines []string
		before   func(p *planFixture)
		want     string
		why      string
	}{
		{"announcement not seen by all coordinators", Request{}, []string{"m0"}, func(p *planFixture) { p.v.Coordinators[1].Seen = 0 }, "m0 waiting", "not seen yet by n1"},
		{"not before", Request{NotBefore: 2000}, []string{"m0"}, nil, "m0 waiting", "not before"},
		{"excluded hours that span midnight", Request{Barred: []DailyRange{{23 * time.Hour, 24*time.Hour - 1}, {22 * time.Hour, time.Hour}}}, []string{"m0"}, func(p *planFixture) {
			p.v.Wall = time.Date(2026, 1, 1, 0, 30, 0, 0, time.UTC)
		}, "m0 waiting", "barred"},
		{"one at once", Request{AtOnce: 1}, []string{"m0", "m1"}, nil, "m0 draining, m1 waiting", ""},
		{"another replica fails before the machine is handed over", Request{}, []string{"m0"}, func(p *planFixture) {
			p.v.Limits.Floor = 2
			p.step(0)
			p.v.Fleet = p.fleet(failing("m2"))
		}, "m0 waiting", "shard 0 has 2 sound replicas and keeps 2"},
		{"another replica fails after the machine was handed over", Request{}, []string{"m0", "m2"}, func(p *planFixture) {
			p.v.Limits.Floor = 2
			p.step(0)
			p.clear(0, 1)
			p.step(0)
			p.step(0)
			p.v.Fleet = p.fleet(failing("m4"))
		}, "m0 out, m2 waiting", "shard 0 has 1 sound replicas and keeps 2"},
		{"paused while draining", Request{}, []string{"m0"}, func(p *planFixture) { p.step(0); p.st.Order(Pause, 1) }, "m0 waiting", "by an operator's word"},
		{"abandoned while machines are out", Request{}, []string{"m0", "m1"}, func(p *planFixture) {
			p.step(0)
			p.clear(0, 1)
			p.step(0)
			p.step(0)
			p.st.Order(Abandon, 1)
		}, "m0 out, m1 out", "by an operator's word"},
		{"out for too long", Request{}, []string{"m0", "m1"}, func(p *planFixture) {
			p.v.Limits.AtOnce = 1
			p.step(0)
			p.clear(0, 1)
			p.step(0)
			p.step(0)
			p.step(0)
			p.step(61 * sec)
		}, "m0 failed, m1 waiting", "m0: it was out for longer than 1m0s"},
		{"restarted under a new id at its address", Request{}, []string{"m0"}, func(p *planFixture) {
			p.step(0)
			p.clear(0, 1)
			p.step(0)
			p.step(0)
			p.v.Fleet = p.fleet(func(m *Machine) {
				if m.ID == "m0" {
					m.ID, m.Started = "new", 7
				}
			})
		}, "m0 returning", ""},
		{"restarted, but ByHand is set", Request{ByHand: true, Takes: 60 * sec, Back: sec}, []string{"m0"}, func(p *planFixture) {
			p.step(0)
			p.clear(0, 1)
			p.step(0)
			p.step(0)
			p.v.Fleet = p.fleet(func(m *Machine) { m.Started = 7 })
		}, "m0 out", ""},
		{"absent coordinator that has seen the announcement", Request{}, []string{"m0"}, func(p *planFixture) {
			p.step(0)
			p.clear(0)
			p.v.Coordinators[1].Absent = true
		}, "m0 drained", ""},
		{"absent coordinator that has not seen the announcement", Request{}, []string{"m0"}, func(p *planFixture) {
			p.step(0)
			p.clear(0)
			p.v.Coordinators[1].Absent, p.v.Coordinators[1].Seen = true, 0
		}, "m0 draining", "m0: n1 has not said that nothing is out there"},
		{"overload after two machines were announced", Request{AtOnce: 2}, []string{"m0", "m1", "m2"}, func(p *planFixture) {
			p.step(0)
			p.v.Overloaded = true
			p.clear(0, 1)
			p.step(0)
			p.step(0)
			p.v.Fleet = p.fleet(func(m *Machine) { m.Started = 7 })
			for range 4 {
				p.step(0)
			}
		}, "m0 done, m1 done, m2 waiting", "m2: users' queries were turned away"},
		{"another replica fails between announcement and drain", Request{}, []string{"m0"}, func(p *planFixture) {
			p.v.Limits.Floor = 2
			p.v.Fleet = p.fleet(failing("m2"))
		}, "m0 waiting", "shard 0 has 2 sound replicas and keeps 2"},
	} {
		p := newPlanFixture(t, c.machines, c.r)
		if c.before != nil {
			c.before(p)
		}
		p.v.Now += 2 * reasonInterval
		if got := p.step(0); got != c.want || !strings.Contains(p.st.Requests[0].Why, c.why) {
			t.Errorf("%s: %s (%s), want %s (%s)", c.name, got, p.st.Requests[0].Why, c.want, c.why)
		}
	}
}

// TestMoveNamesAbsentCoordinators checks that a move that relies on the absence of a coordinator names it in Lapsed, so that the store
// can check its presence.
func TestMoveNamesAbsentCoordinators(t *testing.T) {
	p := newPlanFixture(t, []string{"m0"}, Request{})
	p.step(0)
	p.clear(0)
	p.v.Coordinators[1].Absent = true
	moves, _ := p.st.Step(p.v, p.t)
	if len(moves) != 1 || cmp.Diff(moves[0].Lapsed, []string{"n1"}) != "" {
		t.Errorf("moves %+v, want one with n1 in Lapsed", moves)
	}
}

// TestRandomFleets applies random failures, acknowledgements and operator actions. The machines that are out never take a shard below
// its floor, a machine is handed over only after every coordinator has acknowledged its drain, the state survives JSON unchanged, and
// once all machines are healthy every request ends.
func TestRandomFleets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, 1))
		layout := Layout{ShardSets: 4, Shards: 8, Reach: 2}
		l := Limits{Floor: 2, Share: 0.4}
		unhealthy := map[string]bool{}
		started := map[string]int64{}
		fleet := func() *Fleet {
			return testFleet(t, layout, 12, 3, func(m *Machine) {
				failed, known := unhealthy[m.ID]
				m.Healthy, m.Started = !known || !failed, 1+started[m.ID]
			})
		}
		st, timer := &State{}, &Timer{}
		v := &View{Limits: l, WarmupTime: 2 * sec, Wall: time.Unix(1000, 0), Coordinators: []Coordinator{{Name: "n0"}, {Name: "n1"}, {Name: "n2"}}}
		stepAndCheck := func() {
			v.Fleet = fleet()
			previous := map[string]StepState{}
			for _, r := range st.Requests {
				for _, x := range r.Steps {
					previous[x.Machine] = x.State
				}
			}
			st.Step(v, timer)
			o := v.Fleet.newOutSet(l)
			for _, r := range st.Requests {
				for _, x := range r.Steps {
					if x.State == Out && previous[x.Machine] != Out {
						for _, c := range v.Coordinators {
							if c.Clear[x.Machine] != x.Turn {
								t.Fatalf("%s is out, but %s has not acknowledged its drain", x.Machine, c.Name)
							}
						}
					}
					if x.missing() {
						o.add(v.Fleet.Machine(x.Machine))
					}
				}
			}
			for shard := range layout.Shards {
				if replicas := layout.Reach * 3; replicas-o.inWork[shard] < l.Floor {
					t.Fatalf("shard %d has %d replicas that are not in work", shard, replicas-o.inWork[shard])
				}
			}
			data, _ := json.Marshal(st)
			next := &State{}
			if err := json.Unmarshal(data, next); err != nil {
				t.Fatal(err)
			}
			if again, _ := json.Marshal(next); string(again) != string(data) {
				t.Fatalf("JSON round trip: %s, then %s", data, again)
			}
			st = next
		}
		restartOutMachines := func() {
			for _, r := range st.Requests {
				for _, x := range r.Steps {
					if x.State == Out {
						started[x.Machine]++
					}
				}
			}
		}
		for range 60 {
			v.Now += time.Duration(random.IntN(900)) * time.Millisecond
			id := fmt.Sprintf("m%d", random.IntN(12))
			switch random.IntN(9) {
			case 0:
				st.Start(v.Wall, Request{Takes: 30 * sec, Back: 30 * sec, GoOn: random.IntN(2) == 0}, []string{id, fmt.Sprintf("m%d", random.IntN(12))}, fleet(), l, v.WarmupTime)
			case 1:
				unhealthy[id] = true
			case 2:
				delete(unhealthy, id)
			case 3:
				c := &v.Coordinators[random.IntN(3)]
				c.Seen = st.Seen()
			case 4, 5:
				c := &v.Coordinators[random.IntN(3)]
				c.Clear = st.Overlay().Turns
			case 6:
				restartOutMachines()
			case 7:
				st.Order([]string{Pause, Resume, Abandon}[random.IntN(3)], uint64(1+random.IntN(3)))
			case 8:
				*timer = Timer{} // a new holder of the duty
			}
			stepAndCheck()
		}
		for _, r := range st.Requests {
			st.Order(Resume, r.ID)
		}
		clear(unhealthy)
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
			restartOutMachines()
			stepAndCheck()
		}
		for _, r := range st.Requests {
			if !r.ended() {
				t.Fatalf("request %d is %s: %s", r.ID, r.State, r.Why)
			}
		}
	})
}

// TestPlanOfManyMachines plans 10,000 machines, which takes less than a second. BenchmarkPlan reports the gap to the bound.
func TestPlanOfManyMachines(t *testing.T) {
	f := testFleet(t, Layout{ShardSets: 1000, Shards: 1000, Reach: 3}, 10_000, 5, nil)
	l := Limits{Floor: 20, Share: 0.2}
	p := f.Plan(fleetIDs(f), l, 1)
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
			f := testFleet(b, Layout{ShardSets: max(n/10, 4), Shards: max(n/10, 4), Reach: 3}, n, 5, nil)
			var p Plan
			for range b.N {
				p = f.Plan(fleetIDs(f), Limits{Floor: 4, Share: 0.2}, 1)
			}
			b.ReportMetric(float64(len(p.Waves)), "waves")
			b.ReportMetric(float64(p.Bound), "bound")
		})
	}
}
