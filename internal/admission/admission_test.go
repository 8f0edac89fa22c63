package admission

// Table tests of the door's rules, a property test against a naive model, and benchmarks.

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

func at(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

func door(t testing.TB, cfg Config) *Controller {
	t.Helper()
	d, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestScopes: each limit holds in its scope alone, and the first scope that says no is named.
func TestScopes(t *testing.T) {
	for _, c := range []struct {
		name string
		cfg  Config
		kind Kind
		want string // the refusals of five, of connections 1 1 2 2 3, owners a a a b b, one network
	}{
		{"none", Config{}, Stream, "- - - - -"},
		{"connection", Config{Connection: Limits{Streams: 1}}, Stream, "- connection - connection -"},
		{"owner", Config{Owner: Limits{Queries: 2}}, Query, "- - owner - -"},
		{"network", Config{Network: Limits{Streams: 3}}, Stream, "- - - network network"},
		{"all", Config{All: Limits{Queries: 4}}, Query, "- - - - all"},
		{"streams do not count as queries", Config{All: Limits{Queries: 1}}, Stream, "- - - - -"},
		{"rate", Config{Owner: Limits{Rate: 1, Burst: 2}}, Query, "- - owner - -"},
		{"rate of streams", Config{Owner: Limits{Rate: 1, Burst: 1}}, Stream, "- - - - -"},
		{"the first", Config{Connection: Limits{Streams: 1}, All: Limits{Streams: 1}}, Stream, "- connection all all all"},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := door(t, c.cfg)
			var got []string
			for i, conn := range []uint64{1, 1, 2, 2, 3} {
				_, r := d.Admit(at(0), Client{conn, []string{"a", "a", "a", "b", "b"}[i], "n"}, c.kind)
				if r == nil {
					got = append(got, "-")
				} else {
					got = append(got, r.Scope.String())
					if r.RetryAfter < 50*time.Millisecond || r.RetryAfter > 5*time.Second || !strings.Contains(r.Error(), "come back in") {
						t.Errorf("refusal %+v: %v", r, r)
					}
				}
			}
			if g := strings.Join(got, " "); g != c.want {
				t.Errorf("got %s, want %s", g, c.want)
			}
		})
	}
}

// TestComeBack: who comes back when told finds the door open: for a rate exactly, for a number on average.
func TestComeBack(t *testing.T) {
	d := door(t, Config{Owner: Limits{Rate: 4, Burst: 1}})
	now := at(0)
	for range 20 {
		p, r := d.Admit(now, Client{1, "a", ""}, Query)
		if r != nil {
			t.Fatalf("at %v: %v", now.Sub(epoch), r)
		}
		d.Release(now, p)
		if _, r = d.Admit(now, Client{1, "a", ""}, Query); r == nil || r.Measure != Rate {
			t.Fatalf("the second at once: %v", r)
		}
		now = now.Add(r.RetryAfter)
	}
	// One place, given back every 0.3 s: told about that, and no sooner than it has been of late.
	d = door(t, Config{All: Limits{Streams: 1}})
	now = at(0)
	p, _ := d.Admit(now, Client{Connection: 1}, Stream)
	for range 40 {
		now = now.Add(300 * time.Millisecond)
		d.Release(now, p)
		p, _ = d.Admit(now, Client{Connection: 1}, Stream)
	}
	if _, r := d.Admit(now, Client{Connection: 2}, Stream); r == nil || math.Abs(r.RetryAfter.Seconds()-0.3) > 0.02 {
		t.Errorf("told %v, places come every 300ms", r.RetryAfter)
	}
	if _, r := d.Admit(now.Add(2*time.Second), Client{Connection: 2}, Stream); r == nil || r.RetryAfter < 2*time.Second {
		t.Errorf("told %v though none has come for 2 s", r.RetryAfter)
	}
}

// TestShort: when memory is short the reader that has stood still longest goes first, nobody is cut in vain, and
// nobody that makes progress is.
func TestShort(t *testing.T) {
	for _, c := range []struct {
		name string
		need int64
		want string // who is cut
		ok   bool
	}{
		{"room", 10, "", true},
		{"one goes", 40, "a", true},
		{"two go", 70, "a b", true},
		{"all that may go are too few", 100, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := door(t, Config{All: Limits{Bytes: 100}})
			names := map[*Pass]string{}
			for i, name := range []string{"a", "b", "c"} {
				p, _ := d.Admit(at(float64(i)), Client{Connection: uint64(i)}, Stream)
				if _, r := d.Hold(at(float64(i)), p, 30); r != nil {
					t.Fatal(r)
				}
				names[p] = name
				if name == "c" {
					d.Read(at(9.9), p, 1) // it reads
				}
			}
			p, _ := d.Admit(at(10), Client{Connection: 9}, Stream)
			cut, r := d.Hold(at(10), p, c.need)
			var got []string
			for _, v := range cut {
				got = append(got, names[v])
				if v.Bytes() != 0 {
					t.Error("one that was cut still holds")
				}
			}
			if g := strings.Join(got, " "); g != c.want || (r == nil) != c.ok {
				t.Errorf("cut %q, refused %v", g, r)
			}
			var total int64
			for _, u := range d.Usage() {
				if u.Scope == All {
					total = u.Bytes
				}
			}
			if total > 100 {
				t.Errorf("%d bytes are held", total)
			}
		})
	}
	d := door(t, Config{StallTimeout: 5 * time.Second, Owner: Limits{Bytes: 50}})
	p, _ := d.Admit(at(0), Client{1, "a", ""}, Stream)
	d.Hold(at(0), p, 50)
	if _, r := d.Hold(at(1), p, 1); r == nil || r.Scope != Owner || r.Measure != Bytes {
		t.Errorf("over the owner's bytes: %v", r)
	}
	if cut := d.Tick(at(4.9)); len(cut) > 0 {
		t.Error("cut too early")
	}
	d.Read(at(4.95), p, 20)
	if next := d.Next(); !next.Equal(at(9.95)) {
		t.Errorf("next look at %v", next.Sub(epoch))
	}
	if cut := d.Tick(at(9.95)); len(cut) != 1 || cut[0] != p {
		t.Errorf("not cut after its time: %v", cut)
	}
	d.Release(at(11), p)
	d.Release(at(11), p)
	if u := d.Usage(); len(u) > 0 {
		t.Errorf("still in: %+v", u)
	}
}

// TestReserve: room for an answer that has not come is kept, and nobody is cut for not reading it.
func TestReserve(t *testing.T) {
	d := door(t, Config{All: Limits{Bytes: 100}, StallTimeout: 5 * time.Second})
	a, _ := d.Admit(at(0), Client{Connection: 1}, Stream)
	b, _ := d.Admit(at(0), Client{Connection: 2}, Stream)
	if _, r := d.Reserve(at(0), a, 80); r != nil {
		t.Fatal(r)
	}
	if cut, r := d.Hold(at(9), b, 30); r == nil || len(cut) > 0 {
		t.Errorf("one that waits for its answer was cut: %v, %v", cut, r)
	}
	if cut := d.Tick(at(9)); len(cut) > 0 || !d.Next().IsZero() {
		t.Error("one that waits for its answer stalls")
	}
	d.Hold(at(10), a, 1) // it has come
	if cut, r := d.Hold(at(12), b, 30); r != nil || len(cut) != 1 {
		t.Errorf("one that does not read stays: %v, %v", cut, r)
	}
	var s SizeEstimator
	if got := s.Expect("x", 2); got != 2*DefaultPartBytes {
		t.Errorf("unknown: %d", got)
	}
	s.Learn("x", 2, 2000)
	if got := s.Expect("x", 4); got != 5001 {
		t.Errorf("seen once: %d", got)
	}
	s.Learn("x", 1, 8000)
	if got := s.Expect("x", 1); got != 10001 {
		t.Errorf("more: %d", got)
	}
	for range 100 {
		s.Learn("x", 1, 1000)
	}
	if got := s.Expect("x", 1); got > 1300 || got < 1250 {
		t.Errorf("less, for long: %d", got)
	}
}

// TestBounds: however many ask, what is kept of them is bounded, and those who are in are never forgotten.
func TestBounds(t *testing.T) {
	d := door(t, Config{Owner: Limits{Rate: 1, Burst: 1}, MaxIdleScopes: 100})
	kept, _ := d.Admit(at(0), Client{0, "kept", "n"}, Query)
	for i := range 10_000 {
		p, r := d.Admit(at(float64(i)/1000), Client{uint64(i + 1), fmt.Sprint("o", i), "n"}, Query)
		if r != nil {
			t.Fatal(r)
		}
		d.Release(at(float64(i)/1000), p)
		if len(d.scopes) > 104 || d.idle.Len() > 100 {
			t.Fatalf("%d scopes, %d idle after %d owners", len(d.scopes), d.idle.Len(), i)
		}
	}
	if d.scopes[scopeKey{scope: Owner, id: "kept"}] == nil {
		t.Error("the scope of one that is in was forgotten")
	}
	d.Release(at(11), kept)
}

// TestChange: other figures hold at once for who comes, and leave alone who is in.
func TestChange(t *testing.T) {
	d := door(t, Config{})
	var in []*Pass
	for i := range 5 {
		p, _ := d.Admit(at(0), Client{uint64(i), "a", ""}, Stream)
		in = append(in, p)
	}
	if err := d.SetLimits(Config{Owner: Limits{Streams: 3}}); err != nil {
		t.Fatal(err)
	}
	if _, r := d.Admit(at(1), Client{9, "a", ""}, Stream); r == nil {
		t.Error("a sixth came in where three may")
	}
	for _, p := range in[:3] {
		d.Release(at(2), p)
	}
	if _, r := d.Admit(at(3), Client{9, "a", ""}, Stream); r != nil {
		t.Error(r)
	}
	if err := d.SetLimits(Config{Owner: Limits{Streams: -1}}); err == nil {
		t.Error("a negative figure was taken")
	}
	if _, err := New(Config{SlowReaderGrace: time.Minute}); err == nil {
		t.Error("a grace above the stall was taken")
	}
}

// TestAgainstModel: passes and bytes of every scope agree with a model that counts them anew each time.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := func(name string) Limits {
			return Limits{Streams: rapid.IntRange(0, 4).Draw(t, name+" streams"), Queries: rapid.IntRange(0, 4).Draw(t, name+" queries"),
				Bytes: int64(rapid.IntRange(0, 60).Draw(t, name+" bytes"))}
		}
		cfg := Config{Connection: limit("connection"), Owner: limit("owner"), Network: limit("network"), All: limit("all"), StallTimeout: 9 * time.Second}
		d, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		type in struct {
			p     *Pass
			who   Client
			kind  Kind
			held  int64
			moved time.Time
		}
		var open []*in
		now := at(0)
		same := func(a, b Client, s Scope) bool {
			return s == All || s == Connection && a.Connection == b.Connection || s == Owner && a.Owner == b.Owner || s == Network && a.Network == b.Network
		}
		has := func(w Client, s Scope) bool { return s != Owner || w.Owner != "" }
		limits := []Limits{cfg.Connection, cfg.Owner, cfg.Network, cfg.All}
		sum := func(w Client, s Scope) (streams, queries int, bytes int64) {
			for _, o := range open {
				if same(o.who, w, s) {
					if bytes += o.held; o.kind == Stream {
						streams++
					} else {
						queries++
					}
				}
			}
			return
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			switch what := rapid.SampledFrom([]string{"enter", "enter", "hold", "hold", "read", "leave", "tick"}).Draw(t, "what"); {
			case what == "enter":
				w := Client{uint64(rapid.IntRange(0, 2).Draw(t, "connection")), rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "owner"), rapid.SampledFrom([]string{"m", "n"}).Draw(t, "network")}
				k := Kind(rapid.IntRange(0, 1).Draw(t, "kind"))
				want := -1
				for s := Connection; s < scopes && want < 0; s++ {
					streams, queries, _ := sum(w, s)
					l := limits[s]
					if has(w, s) && (k == Stream && l.Streams > 0 && streams >= l.Streams || k == Query && l.Queries > 0 && queries >= l.Queries) {
						want = int(s)
					}
				}
				p, r := d.Admit(now, w, k)
				if (r == nil) != (want < 0) || r != nil && int(r.Scope) != want {
					t.Fatalf("%+v: refused %v, want scope %d", w, r, want)
				}
				if p != nil {
					open = append(open, &in{p: p, who: w, kind: k})
				}
			case what == "tick":
				cut := d.Tick(now)
				n := 0
				for _, o := range open {
					if o.held > 0 && now.Sub(o.moved) >= 9*time.Second {
						o.held = 0
						n++
					}
				}
				if n != len(cut) {
					t.Fatalf("%d are cut, want %d", len(cut), n)
				}
			case len(open) == 0:
			default:
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				o := open[i]
				bytes := int64(rapid.IntRange(1, 30).Draw(t, "bytes"))
				switch what {
				case "leave":
					d.Release(now, o.p)
					open = append(open[:i], open[i+1:]...)
				case "read":
					if !o.p.evicted {
						o.held, o.moved = max(0, o.held-bytes), now
						d.Read(now, o.p, bytes)
					}
				case "hold":
					if o.p.evicted {
						break
					}
					before := o.held
					cut, r := d.Hold(now, o.p, bytes)
					if r != nil {
						if len(cut) > 0 {
							t.Fatal("one was cut for a newcomer that was refused")
						}
						break
					}
					for _, v := range cut {
						for _, other := range open {
							if other.p == v {
								if now.Sub(other.moved) < time.Second {
									t.Fatal("one that makes progress was cut")
								}
								other.held = 0
							}
						}
					}
					if o.held += bytes; before == 0 {
						o.moved = now
					}
				}
			}
			for _, o := range open {
				if o.p.Bytes() != o.held {
					t.Fatalf("a pass holds %d, want %d", o.p.Bytes(), o.held)
				}
				for s := Connection; s < scopes; s++ {
					if _, _, bytes := sum(o.who, s); has(o.who, s) && limits[s].Bytes > 0 && bytes > limits[s].Bytes {
						t.Fatalf("%d bytes in scope %v, %d may be", bytes, s, limits[s].Bytes)
					}
				}
			}
			for _, u := range d.Usage() {
				streams, queries, bytes := sum(Client{Owner: u.ID, Network: u.ID}, u.Scope)
				if u.Streams != streams || u.Queries != queries || u.Bytes != bytes {
					t.Fatalf("usage %+v, want %d %d %d", u, streams, queries, bytes)
				}
			}
		}
	})
}

// BenchmarkEnter is the cost of one that comes, holds, reads and leaves, among n others that are in.
func BenchmarkEnter(b *testing.B) {
	for _, n := range []int{100, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := door(b, Config{Owner: Limits{Rate: 1e6, Queries: 1e6}, All: Limits{Bytes: 1 << 40}})
			for i := range n {
				d.Admit(at(0), Client{uint64(i), fmt.Sprint("o", i%1000), "n"}, Query)
			}
			b.ReportAllocs()
			now := at(1)
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				p, r := d.Admit(now, Client{uint64(i % 7), "x", "n"}, Query)
				if r != nil {
					b.Fatal(r)
				}
				d.Hold(now, p, 100)
				d.Read(now, p, 100)
				d.Release(now, p)
			}
		})
	}
}
