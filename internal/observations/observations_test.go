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

func newTable(t testing.TB, c Config) *Table {
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

func newFact(f Field, coordinator string, offsetMS int64, age time.Duration, value float64) Fact {
	return Fact{Node: "n", Field: f, Stamp: Stamp{Physical: wall.UnixMilli() + offsetMS, Coordinator: coordinator}, Age: age, Value: value}
}

// TestView checks the view of a data node for conflicting facts and as time passes, whatever the order in which the facts are merged.
func TestView(t *testing.T) {
	none := View{AnsweredAge: -1, Latency: -1, Utilization: -1}
	with := func(change func(*View)) View { v := none; change(&v); return v }
	suspect := func(ago time.Duration) View {
		return View{Suspect: true, FailedBy: "a", FailedAge: ago, AnsweredAge: -1, Latency: -1, Utilization: -1}
	}
	answered := func(v View) View { v.AnsweredAge = s; return v }
	for _, c := range []struct {
		name  string
		facts []Fact
		after time.Duration
		want  View
	}{
		{"nothing", nil, 0, none},
		{"a failure", []Fact{newFact(Failed, "a", 0, 0, 0)}, 0, suspect(0)},
		{"a failure received after SuspectFor", []Fact{newFact(Failed, "a", 0, 6*s, 0)}, 0, none},
		{"a failure that reaches SuspectFor", []Fact{newFact(Failed, "a", 0, 2*s, 0)}, 3 * s, none},
		{"a later answer to the same coordinator clears the failure", []Fact{newFact(Failed, "a", 0, s, 0), newFact(Answered, "a", 1, s, 0)}, 0, answered(none)},
		{"an answer before the failure does not clear it", []Fact{newFact(Answered, "a", -1, s, 0), newFact(Failed, "a", 0, s, 0)}, 0, answered(suspect(s))},
		{"an answer to another coordinator within MaxSkew does not clear the failure", []Fact{newFact(Answered, "b", 400, s, 0), newFact(Failed, "a", 0, s, 0)}, 0, answered(suspect(s))},
		{"an answer to another coordinator later by more than MaxSkew clears the failure", []Fact{newFact(Answered, "b", 600, s, 0), newFact(Failed, "a", 0, s, 0)}, 0, answered(none)},
		{"the later of two latencies counts", []Fact{newFact(Latency, "a", 5, 0, 0.2), newFact(Latency, "b", 3, 0, 0.7)}, 0, with(func(v *View) { v.Latency = 0.2 })},
		{"a fact that reaches MaxAge no longer counts", []Fact{newFact(Utilization, "a", 0, 59*s, 0.5)}, 2 * s, none},
		{"the younger of two starts counts, though its stamp is earlier", []Fact{newFact(Started, "a", 9, 8*s, 0), newFact(Started, "b", 1, 3*s, 0)}, s,
			with(func(v *View) { v.WarmupLeft, v.StartedBy, v.StartAge = 6*s, "b", 4*s })},
		{"warm-up is over", []Fact{newFact(Started, "a", 0, 8*s, 0)}, 2 * s, none},
	} {
		for _, backwards := range []bool{false, true} {
			tab := newTable(t, Config{})
			for i := range c.facts {
				if backwards {
					i = len(c.facts) - 1 - i
				}
				if err := tab.Merge(0, wall, c.facts[i]); err != nil && !errors.Is(err, ErrKnown) {
					t.Errorf("%s: %v", c.name, err)
				}
			}
			if d := cmp.Diff(c.want, tab.View(c.after, "n")); d != "" {
				t.Errorf("%s, backwards %v (-want +got)\n%s", c.name, backwards, d)
			}
		}
	}
}

// TestMergeErrors checks which facts are rejected: malformed ones, those of a clock that has jumped, too old and known ones.
func TestMergeErrors(t *testing.T) {
	for _, c := range []struct {
		name string
		f    Fact
		want error
	}{
		{"merged", newFact(Failed, "a", 0, 0, 0), nil},
		{"the same fact again", newFact(Failed, "a", 0, 0, 0), ErrKnown},
		{"an earlier fact", newFact(Failed, "a", -5, 0, 0), ErrKnown},
		{"no data node", Fact{Field: Failed, Stamp: Stamp{1, 0, "a"}}, ErrMalformed},
		{"no coordinator", Fact{Node: "n", Stamp: Stamp{1, 0, ""}}, ErrMalformed},
		{"unknown field", Fact{Node: "n", Field: fieldCount, Stamp: Stamp{1, 0, "a"}}, ErrMalformed},
		{"negative age", newFact(Failed, "a", 0, -s, 0), ErrMalformed},
		{"value is not a number", newFact(Latency, "a", 0, 0, math.NaN()), ErrMalformed},
		{"infinite value", newFact(Latency, "a", 0, 0, math.Inf(1)), ErrMalformed},
		{"a clock ahead by less than MaxAhead", newFact(Utilization, "a", 59_000, 0, 0), nil},
		{"a clock ahead by more than MaxAhead", newFact(Utilization, "a", 61_000, 0, 0), ErrAhead},
		{"as old as MaxAge", newFact(Utilization, "b", 59_500, time.Minute, 0), ErrOld},
	} {
		tab := newTable(t, Config{})
		if errors.Is(c.want, ErrKnown) {
			tab.Merge(0, wall, newFact(Failed, "a", 0, 0, 0))
		}
		if err := tab.Merge(0, wall, c.f); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
	if _, err := New(Config{Self: "me", MaxAge: s}); err == nil {
		t.Error("MaxAge below SuspectFor was accepted")
	}
}

// TestStampsIncrease checks that a coordinator's own stamps always increase, even if its wall clock goes back, and are later than every
// stamp that it has received.
func TestStampsIncrease(t *testing.T) {
	tab := newTable(t, Config{MinInterval: time.Nanosecond})
	var last Stamp
	for i, at := range []time.Duration{0, 0, -time.Hour, 5 * s, 4 * s} {
		if err := tab.Observe(time.Duration(i), wall.Add(at), "n", Failed, 0); err != nil {
			t.Fatal(err)
		}
		got := tab.nodes["n"].registers[Failed].stamp
		if got.Compare(last) <= 0 {
			t.Errorf("step %d: stamp %+v is not after %+v", i, got, last)
		}
		last = got
	}
	received := newFact(Failed, "other", 30_000, 0, 0)
	tab.Merge(0, wall, received)
	tab.Observe(0, wall, "n", Answered, 0)
	if got := tab.nodes["n"].registers[Answered].stamp; got.Compare(received.Stamp) <= 0 {
		t.Errorf("stamp %+v is not after the received one, %+v", got, received.Stamp)
	}
}

// TestReplicasConverge checks that all replicas reach the state of a naive model that has every fact, whatever the order, duplication and
// relaying of facts, and that no fact seems younger than it is.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1))
		n := rapid.IntRange(2, 5).Draw(r, "coordinators")
		var tabs []*Table
		for i := range n {
			tabs = append(tabs, newTable(t, Config{Self: fmt.Sprint("c", i), MinInterval: time.Nanosecond}))
		}
		type observed struct {
			Fact
			observedAt time.Duration
		}
		var all []observed
		now := time.Duration(0)
		wallClock := func(i int) time.Time { return wall.Add(now + time.Duration(i)*50*time.Millisecond) } // clocks differ by at most 200 ms
		sendFacts := func(from, to int) {
			for _, f := range tabs[from].Facts(now, 1000) {
				if err := tabs[to].Merge(now, wallClock(to), f); err != nil && !errors.Is(err, ErrKnown) {
					r.Fatal(err)
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now += time.Duration(rng.IntN(400)) * time.Millisecond
			i := rng.IntN(n)
			if rng.IntN(2) == 0 {
				now++ // two observations at the same time would be one
				id, f := fmt.Sprint("n", rng.IntN(3)), Field(rng.IntN(int(fieldCount)))
				if err := tabs[i].Observe(now, wallClock(i), id, f, float64(rng.IntN(9))); err != nil {
					r.Fatal(err)
				}
				h := tabs[i].nodes[id].registers[f]
				all = append(all, observed{Fact{id, f, h.stamp, 0, h.value}, now})
			} else {
				sendFacts(i, rng.IntN(n))
			}
		}
		for range n { // n full exchanges spread every fact to every replica
			for i := range n {
				for j := range n {
					sendFacts(i, j)
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
					f.Field == Started && (f.observedAt > b.observedAt || f.observedAt == b.observedAt && f.Stamp.Compare(b.Stamp) > 0) {
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
						r.Fatalf("c%d holds %s of %s, which nobody observed", i, f, id)
					case b != nil && (h.stamp != b.Stamp || h.observedAt != b.observedAt || h.value != b.Value):
						r.Fatalf("c%d holds %+v for %s of %s, want %+v observed at %v", i, h, f, id, b.Fact, b.observedAt)
					}
				}
				if d := cmp.Diff(tabs[0].View(now, id), tab.View(now, id)); d != "" {
					r.Fatalf("c0 and c%d differ on %s: %s", i, id, d)
				}
			}
		}
		for _, tab := range tabs {
			if tab.Expire(now + time.Minute); len(tab.nodes) != 0 {
				r.Fatalf("%d data nodes are held after MaxAge", len(tab.nodes))
			}
		}
	})
}

// TestObserveRateLimit checks that repeated observations become one fact per MinInterval, except that a failure after an answer and an
// answer after a failure become facts at once.
func TestObserveRateLimit(t *testing.T) {
	tab := newTable(t, Config{})
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
			t.Errorf("observation %d, %s after %v: became a fact: %v, want %v", i, c.f, c.at, held, c.want)
		}
	}
}

// TestMaxNodesAndFactOrder checks that beyond MaxNodes the least recently updated data node is dropped, and that the least often sent facts
// are sent first.
func TestMaxNodesAndFactOrder(t *testing.T) {
	tab := newTable(t, Config{MaxNodes: 3})
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

// BenchmarkMerge measures merging a fact, which does not depend on the number of data nodes.
func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tab := newTable(b, Config{})
			for i := range b.N {
				tab.Merge(0, wall, Fact{Node: fmt.Sprint("n", i%n), Field: Latency, Stamp: Stamp{wall.UnixMilli(), uint32(i), "a"}, Value: 1})
			}
		})
	}
}

// BenchmarkFacts measures selecting the facts to send, which grows with the number of held facts.
func BenchmarkFacts(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tab := newTable(b, Config{})
			for i := range n {
				tab.Observe(0, wall, fmt.Sprint("n", i), Latency, 1)
			}
			for range b.N {
				tab.Facts(0, 50)
			}
		})
	}
}

// TestObserveStart checks that a start reported repeatedly is one fact with its age, and that a later start is another.
func TestObserveStart(t *testing.T) {
	tab := newTable(t, Config{})
	for _, c := range []struct {
		now, ago   time.Duration
		warmingFor time.Duration
		facts      int
		err        error
	}{
		{0, 2 * time.Minute, 0, 0, ErrOld},
		{0, 3 * time.Second, 7 * time.Second, 1, nil},
		{time.Second, 4 * time.Second, 6 * time.Second, 1, nil}, // the same start
		{5 * time.Second, 0, 10 * time.Second, 1, nil},
	} {
		if err := tab.ObserveStart(c.now, wall, "n", c.ago); !errors.Is(err, c.err) {
			t.Errorf("at %v: error %v", c.now, err)
		}
		if v := tab.View(c.now, "n"); v.WarmupLeft != c.warmingFor || v.StartAge != c.ago && c.warmingFor > 0 {
			t.Errorf("at %v it warms up for %v since %v, want %v since %v", c.now, v.WarmupLeft, v.StartAge, c.warmingFor, c.ago)
		}
		if n := len(tab.Facts(c.now, 9)); n != c.facts {
			t.Errorf("at %v there are %d facts, want %d", c.now, n, c.facts)
		}
	}
}
