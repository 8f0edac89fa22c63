package observations

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const s = time.Second

var wall = time.UnixMilli(1_000_000)

func table(t testing.TB, c Config) *Table {
	t.Helper()
	if c.Self == "" {
		c.Self = "me"
	}
	tab, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	return tab
}

func fact(f Field, by string, at int64, age time.Duration, value float64) Fact {
	return Fact{Node: "n", Field: f, Stamp: Stamp{Physical: wall.UnixMilli() + at, Coordinator: by}, Age: age, Value: value}
}

// TestOf: the view of a data node, where facts differ and as time goes on.
func TestOf(t *testing.T) {
	none := View{Answered: -1, Latency: -1, Utilization: -1}
	with := func(change func(*View)) View { v := none; change(&v); return v }
	suspect := func(ago time.Duration) View {
		return View{Suspect: true, FailedBy: "a", Failed: ago, Answered: -1, Latency: -1, Utilization: -1}
	}
	answered := func(v View) View { v.Answered = s; return v }
	for _, c := range []struct {
		name  string
		facts []Fact
		after time.Duration
		want  View
	}{
		{"nothing", nil, 0, none},
		{"a failure", []Fact{fact(Failed, "a", 0, 0, 0)}, 0, suspect(0)},
		{"a failure that came late", []Fact{fact(Failed, "a", 0, 6*s, 0)}, 0, none},
		{"a failure, and time", []Fact{fact(Failed, "a", 0, 2*s, 0)}, 3 * s, none},
		{"answered later to the same", []Fact{fact(Failed, "a", 0, s, 0), fact(Answered, "a", 1, s, 0)}, 0, answered(none)},
		{"answered before", []Fact{fact(Answered, "a", -1, s, 0), fact(Failed, "a", 0, s, 0)}, 0, answered(suspect(s))},
		{"answered to another within the skew: the more cautious counts", []Fact{fact(Answered, "b", 400, s, 0), fact(Failed, "a", 0, s, 0)}, 0, answered(suspect(s))},
		{"answered to another, clearly later", []Fact{fact(Answered, "b", 600, s, 0), fact(Failed, "a", 0, s, 0)}, 0, answered(none)},
		{"of two latencies the later", []Fact{fact(Latency, "a", 5, 0, 0.2), fact(Latency, "b", 3, 0, 0.7)}, 0, with(func(v *View) { v.Latency = 0.2 })},
		{"too old to count", []Fact{fact(Utilization, "a", 0, 59*s, 0.5)}, 2 * s, none},
		{"of two starts the younger, though its stamp is earlier", []Fact{fact(Started, "a", 9, 8*s, 0), fact(Started, "b", 1, 3*s, 0)}, s,
			with(func(v *View) { v.WarmingFor, v.WarmingSeenBy, v.Started = 6*s, "b", 4*s })},
		{"warm", []Fact{fact(Started, "a", 0, 8*s, 0)}, 2 * s, none},
	} {
		for _, backwards := range []bool{false, true} {
			tab := table(t, Config{})
			for i := range c.facts {
				if backwards {
					i = len(c.facts) - 1 - i
				}
				if err := tab.Merge(0, wall, c.facts[i]); err != nil && !errors.Is(err, ErrKnown) {
					t.Errorf("%s: %v", c.name, err)
				}
			}
			if d := cmp.Diff(c.want, tab.Of(c.after, "n")); d != "" {
				t.Errorf("%s, backwards %v (-want +got)\n%s", c.name, backwards, d)
			}
		}
	}
}

// TestNotTaken: what is no fact, of a clock that has jumped, too old, or known.
func TestNotTaken(t *testing.T) {
	for _, c := range []struct {
		name string
		f    Fact
		want error
	}{
		{"taken", fact(Failed, "a", 0, 0, 0), nil},
		{"twice", fact(Failed, "a", 0, 0, 0), ErrKnown},
		{"an earlier one", fact(Failed, "a", -5, 0, 0), ErrKnown},
		{"no data node", Fact{Field: Failed, Stamp: Stamp{1, 0, "a"}}, ErrMalformed},
		{"no coordinator", Fact{Node: "n", Stamp: Stamp{1, 0, ""}}, ErrMalformed},
		{"no field", Fact{Node: "n", Field: fieldCount, Stamp: Stamp{1, 0, "a"}}, ErrMalformed},
		{"from the future", fact(Failed, "a", 0, -s, 0), ErrMalformed},
		{"no number", fact(Latency, "a", 0, 0, math.NaN()), ErrMalformed},
		{"without end", fact(Latency, "a", 0, 0, math.Inf(1)), ErrMalformed},
		{"a clock that is a little ahead", fact(Utilization, "a", 59_000, 0, 0), nil},
		{"a clock that has jumped", fact(Utilization, "a", 61_000, 0, 0), ErrAhead},
		{"too old", fact(Utilization, "b", 59_500, time.Minute, 0), ErrOld},
	} {
		tab := table(t, Config{})
		if errors.Is(c.want, ErrKnown) {
			tab.Merge(0, wall, fact(Failed, "a", 0, 0, 0))
		}
		if err := tab.Merge(0, wall, c.f); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
	if _, err := New(Config{Self: "me", MaxAge: s}); err == nil {
		t.Error("MaxAge under SuspectFor was taken")
	}
}

// TestStamps: our own stamps only grow, whatever our clock does, and go beyond what was heard.
func TestStamps(t *testing.T) {
	tab := table(t, Config{MinInterval: time.Nanosecond})
	var last Stamp
	for i, at := range []time.Duration{0, 0, -time.Hour, 5 * s, 4 * s} {
		if err := tab.Observe(time.Duration(i), wall.Add(at), "n", Failed, 0); err != nil {
			t.Fatal(err)
		}
		got := tab.nodes["n"].registers[Failed].stamp
		if got.Compare(last) <= 0 {
			t.Errorf("step %d: %+v is not after %+v", i, got, last)
		}
		last = got
	}
	heard := fact(Failed, "other", 30_000, 0, 0)
	tab.Merge(0, wall, heard)
	tab.Observe(0, wall, "n", Answered, 0)
	if got := tab.nodes["n"].registers[Answered].stamp; got.Compare(heard.Stamp) <= 0 {
		t.Errorf("%+v is not after what was heard, %+v", got, heard.Stamp)
	}
}

// TestCopiesConverge: whatever order, doubling and relaying facts come by, all copies come to the view of a naive model that has every
// fact, and nothing is younger than it is.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		chance := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1))
		n := rapid.IntRange(2, 5).Draw(r, "coordinators")
		var tabs []*Table
		for i := range n {
			tabs = append(tabs, table(t, Config{Self: fmt.Sprint("c", i), MinInterval: time.Nanosecond}))
		}
		type observed struct {
			Fact
			seen time.Duration
		}
		var all []observed
		now := time.Duration(0)
		skew := func(i int) time.Time { return wall.Add(now + time.Duration(i)*50*time.Millisecond) } // clocks differ by 200 ms at most
		tell := func(from, to int) {
			for _, f := range tabs[from].Facts(now, 1000) {
				if err := tabs[to].Merge(now, skew(to), f); err != nil && !errors.Is(err, ErrKnown) {
					r.Fatal(err)
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now += time.Duration(chance.IntN(400)) * time.Millisecond
			i := chance.IntN(n)
			if chance.IntN(2) == 0 {
				now++ // two sights at one moment are one
				id, f := fmt.Sprint("n", chance.IntN(3)), Field(chance.IntN(int(fieldCount)))
				if err := tabs[i].Observe(now, skew(i), id, f, float64(chance.IntN(9))); err != nil {
					r.Fatal(err)
				}
				h := tabs[i].nodes[id].registers[f]
				all = append(all, observed{Fact{id, f, h.stamp, 0, h.value}, now})
			} else {
				tell(i, chance.IntN(n))
			}
		}
		for range n { // everybody to everybody, often enough
			for i := range n {
				for j := range n {
					tell(i, j)
				}
			}
		}
		for k := range 3 {
			id := fmt.Sprint("n", k)
			var best [fieldCount]*observed
			for i := range all {
				f := &all[i]
				if f.Node != id {
					continue
				}
				b := best[f.Field]
				if b == nil || f.Field != Started && f.Stamp.Compare(b.Stamp) > 0 ||
					f.Field == Started && (f.seen > b.seen || f.seen == b.seen && f.Stamp.Compare(b.Stamp) > 0) {
					best[f.Field] = f
				}
			}
			for i, tab := range tabs {
				for f := range fieldCount {
					var h register
					if tab.nodes[id] != nil {
						h = tab.nodes[id].registers[f]
					}
					switch b := best[f]; {
					case b == nil && h.stamp.Coordinator != "":
						r.Fatalf("c%d holds %s of %s, which nobody saw", i, f, id)
					case b != nil && (h.stamp != b.Stamp || h.seen != b.seen || h.value != b.Value):
						r.Fatalf("c%d holds %+v for %s of %s; %+v seen at %v is right", i, h, f, id, b.Fact, b.seen)
					}
				}
				if d := cmp.Diff(tabs[0].Of(now, id), tab.Of(now, id)); d != "" {
					r.Fatalf("c0 and c%d differ on %s: %s", i, id, d)
				}
			}
		}
		for _, tab := range tabs {
			if tab.Step(now + time.Minute); len(tab.nodes) != 0 {
				r.Fatalf("%d data nodes are held a minute later", len(tab.nodes))
			}
		}
	})
}

// TestObservationsAreThinnedOut: what is seen again and again is one fact in MinInterval; a failure after an answer, or an answer after a failure, at once.
func TestObservationsAreThinnedOut(t *testing.T) {
	tab := table(t, Config{})
	ms := time.Millisecond
	for i, c := range []struct {
		at   time.Duration
		f    Field
		want bool
	}{{0, Answered, true}, {10 * ms, Answered, false}, {20 * ms, Failed, true}, {30 * ms, Failed, false}, {40 * ms, Answered, true}, {50 * ms, Latency, true},
		{60 * ms, Latency, false}, {550 * ms, Latency, true}, {560 * ms, Answered, true}} {
		before := tab.clock.last
		if err := tab.Observe(c.at, wall, "n", c.f, 1); err != nil {
			t.Fatal(err)
		}
		held := tab.nodes["n"].registers[c.f].stamp == tab.clock.last && tab.clock.last != before
		if held != c.want {
			t.Errorf("sight %d, %s after %v: a fact %v, want %v", i, c.f, c.at, held, c.want)
		}
	}
}

// TestBounds: no more data nodes than may be, the one updated longest ago goes; what was sent least is sent first.
func TestBounds(t *testing.T) {
	tab := table(t, Config{MaxNodes: 3})
	for i := range 5 {
		tab.Observe(time.Duration(i)*s, wall, fmt.Sprint("n", i), Failed, 0)
	}
	if len(tab.nodes) != 3 || tab.nodes["n0"] != nil || tab.nodes["n1"] != nil {
		t.Errorf("%d data nodes held", len(tab.nodes))
	}
	var sent []string
	for range 3 {
		for _, f := range tab.Facts(5*s, 2) {
			sent = append(sent, f.Node)
		}
	}
	if d := cmp.Diff([]string{"n4", "n3", "n2", "n4", "n3", "n2"}, sent); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

// BenchmarkTake grows with nothing; BenchmarkFacts with the facts that are held.
func BenchmarkTake(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tab := table(b, Config{})
			for i := range b.N {
				tab.Merge(0, wall, Fact{Node: fmt.Sprint("n", i%n), Field: Latency, Stamp: Stamp{wall.UnixMilli(), uint32(i), "a"}, Value: 1})
			}
		})
	}
}

func BenchmarkFacts(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tab := table(b, Config{})
			for i := range n {
				tab.Observe(0, wall, fmt.Sprint("n", i), Latency, 1)
			}
			for range b.N {
				tab.Facts(0, 50)
			}
		})
	}
}

// TestObserveStart: a start that the list states is one fact, with its age, and another one later.
func TestObserveStart(t *testing.T) {
	tab := table(t, Config{})
	for _, c := range []struct {
		now, ago time.Duration
		cold     time.Duration
		facts    int
		err      error
	}{
		{0, 2 * time.Minute, 0, 0, ErrOld},
		{0, 3 * time.Second, 7 * time.Second, 1, nil},
		{time.Second, 4 * time.Second, 6 * time.Second, 1, nil}, // the same
		{5 * time.Second, 0, 10 * time.Second, 1, nil},
	} {
		if err := tab.ObserveStart(c.now, wall, "n", c.ago); !errors.Is(err, c.err) {
			t.Errorf("at %v: %v", c.now, err)
		}
		if v := tab.Of(c.now, "n"); v.WarmingFor != c.cold || v.Started != c.ago && c.cold > 0 {
			t.Errorf("at %v it is cold for %v since %v, want %v since %v", c.now, v.WarmingFor, v.Started, c.cold, c.ago)
		}
		if n := len(tab.Facts(c.now, 9)); n != c.facts {
			t.Errorf("at %v there are %d facts, want %d", c.now, n, c.facts)
		}
	}
}
