package admission

// Table tests of the admission rules, a property test against a naive model, and a benchmark.

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

func newController(t testing.TB, cfg Config) *Controller {
	t.Helper()
	d, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestLimitsByScope checks that each limit applies to its own scope only, and that the rejection names the first scope over its limit.
func TestLimitsByScope(t *testing.T) {
	for _, c := range []struct {
		name string
		cfg  Config
		kind Kind
		want string // scopes of the rejections of five requests, of connections 1 1 2 2 3, owners a a a b b, one network; "-" is admitted
	}{
		{"no limit", Config{}, Stream, "- - - - -"},
		{"streams of a connection", Config{Connection: Limits{Streams: 1}}, Stream, "- connection - connection -"},
		{"queries of an owner", Config{Owner: Limits{Queries: 2}}, Query, "- - owner - -"},
		{"streams of a network", Config{Network: Limits{Streams: 3}}, Stream, "- - - network network"},
		{"queries of all clients", Config{All: Limits{Queries: 4}}, Query, "- - - - all"},
		{"streams do not count as queries", Config{All: Limits{Queries: 1}}, Stream, "- - - - -"},
		{"query rate of an owner", Config{Owner: Limits{Rate: 1, Burst: 2}}, Query, "- - owner - -"},
		{"streams are not rate limited", Config{Owner: Limits{Rate: 1, Burst: 1}}, Stream, "- - - - -"},
		{"the first scope over its limit is reported", Config{Connection: Limits{Streams: 1}, All: Limits{Streams: 1}}, Stream, "- connection all all all"},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newController(t, c.cfg)
			var got []string
			for i, conn := range []uint64{1, 1, 2, 2, 3} {
				_, r := d.Admit(at(0), Client{conn, []string{"a", "a", "a", "b", "b"}[i], "n"}, c.kind)
				if r == nil {
					got = append(got, "-")
				} else {
					got = append(got, r.Scope.String())
					if r.RetryAfter < 50*time.Millisecond || r.RetryAfter > 5*time.Second || !strings.Contains(r.Error(), "come back in") {
						t.Errorf("rejection %+v: %v", r, r)
					}
				}
			}
			if joined := strings.Join(got, " "); joined != c.want {
				t.Errorf("got %s, want %s", joined, c.want)
			}
		})
	}
}

// TestRetryAfter checks that a client that retries after Retry-After is admitted: exactly then under a rate limit, on average under a
// limit on open calls.
func TestRetryAfter(t *testing.T) {
	d := newController(t, Config{Owner: Limits{Rate: 4, Burst: 1}})
	now := at(0)
	for range 20 {
		p, r := d.Admit(now, Client{1, "a", ""}, Query)
		if r != nil {
			t.Fatalf("at %v: %v", now.Sub(epoch), r)
		}
		d.Release(now, p)
		if _, r = d.Admit(now, Client{1, "a", ""}, Query); r == nil || r.Measure != Rate {
			t.Fatalf("second query at once: rejection %v, want one for the rate", r)
		}
		now = now.Add(r.RetryAfter)
	}
	// One stream is released every 0.3 s, so Retry-After is about that, and no less than the time since the last release.
	d = newController(t, Config{All: Limits{Streams: 1}})
	now = at(0)
	p, _ := d.Admit(now, Client{Connection: 1}, Stream)
	for range 40 {
		now = now.Add(300 * time.Millisecond)
		d.Release(now, p)
		p, _ = d.Admit(now, Client{Connection: 1}, Stream)
	}
	if _, r := d.Admit(now, Client{Connection: 2}, Stream); r == nil || math.Abs(r.RetryAfter.Seconds()-0.3) > 0.02 {
		t.Errorf("Retry-After %v with a release every 300ms", r.RetryAfter)
	}
	if _, r := d.Admit(now.Add(2*time.Second), Client{Connection: 2}, Stream); r == nil || r.RetryAfter < 2*time.Second {
		t.Errorf("Retry-After %v though nothing was released for 2 s", r.RetryAfter)
	}
}

// TestSlowReaderEviction checks that memory pressure evicts the readers without progress for longest first, evicts none if that would
// not free enough, and never evicts a reader that makes progress.
func TestSlowReaderEviction(t *testing.T) {
	for _, c := range []struct {
		name string
		need int64
		want string // the evicted readers
		ok   bool
	}{
		{"enough memory", 10, "", true},
		{"one reader is evicted", 40, "a", true},
		{"two readers are evicted", 70, "a b", true},
		{"evicting all slow readers would not free enough", 100, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newController(t, Config{All: Limits{Bytes: 100}})
			names := map[*Pass]string{}
			for i, name := range []string{"a", "b", "c"} {
				p, _ := d.Admit(at(float64(i)), Client{Connection: uint64(i)}, Stream)
				if _, r := d.Hold(at(float64(i)), p, 30); r != nil {
					t.Fatal(r)
				}
				names[p] = name
				if name == "c" {
					d.Read(at(9.9), p, 1) // makes progress
				}
			}
			p, _ := d.Admit(at(10), Client{Connection: 9}, Stream)
			evicted, r := d.Hold(at(10), p, c.need)
			var got []string
			for _, reader := range evicted {
				got = append(got, names[reader])
				if reader.Bytes() != 0 {
					t.Error("an evicted reader still holds bytes")
				}
			}
			if joined := strings.Join(got, " "); joined != c.want || (r == nil) != c.ok {
				t.Errorf("evicted %q, rejection %v", joined, r)
			}
			var total int64
			for _, usage := range d.Usage() {
				if usage.Scope == All {
					total = usage.Bytes
				}
			}
			if total > 100 {
				t.Errorf("%d bytes are held, over the limit of 100", total)
			}
		})
	}
	d := newController(t, Config{StallTimeout: 5 * time.Second, Owner: Limits{Bytes: 50}})
	p, _ := d.Admit(at(0), Client{1, "a", ""}, Stream)
	d.Hold(at(0), p, 50)
	if _, r := d.Hold(at(1), p, 1); r == nil || r.Scope != Owner || r.Measure != Bytes {
		t.Errorf("over the owner's byte limit: rejection %v", r)
	}
	if evicted := d.Tick(at(4.9)); len(evicted) > 0 {
		t.Error("evicted before StallTimeout")
	}
	d.Read(at(4.95), p, 20)
	if next := d.NextTick(); !next.Equal(at(9.95)) {
		t.Errorf("NextTick is %v, want 9.95s", next.Sub(epoch))
	}
	if evicted := d.Tick(at(9.95)); len(evicted) != 1 || evicted[0] != p {
		t.Errorf("not evicted after StallTimeout: %v", evicted)
	}
	d.Release(at(11), p)
	d.Release(at(11), p)
	if usage := d.Usage(); len(usage) > 0 {
		t.Errorf("usage after the release: %+v", usage)
	}
}

// TestReserveAndSizeEstimator checks that a reservation for an answer that has not arrived keeps its memory and is never evicted as a
// slow reader, and how the estimates follow the sizes of answers.
func TestReserveAndSizeEstimator(t *testing.T) {
	d := newController(t, Config{All: Limits{Bytes: 100}, StallTimeout: 5 * time.Second})
	a, _ := d.Admit(at(0), Client{Connection: 1}, Stream)
	b, _ := d.Admit(at(0), Client{Connection: 2}, Stream)
	if _, r := d.Reserve(at(0), a, 80); r != nil {
		t.Fatal(r)
	}
	if evicted, r := d.Hold(at(9), b, 30); r == nil || len(evicted) > 0 {
		t.Errorf("a pass that waits for its answer was evicted: %v, rejection %v", evicted, r)
	}
	if evicted := d.Tick(at(9)); len(evicted) > 0 || !d.NextTick().IsZero() {
		t.Error("a pass that waits for its answer counts as stalled")
	}
	d.Hold(at(10), a, 1) // the answer has arrived
	if evicted, r := d.Hold(at(12), b, 30); r != nil || len(evicted) != 1 {
		t.Errorf("the slow reader was not evicted: %v, rejection %v", evicted, r)
	}
	var sizes SizeEstimator
	if got := sizes.Estimate("x", 2); got != 2*DefaultPartBytes {
		t.Errorf("estimate for an unknown class: %d", got)
	}
	sizes.Record("x", 2, 2000)
	if got := sizes.Estimate("x", 4); got != 5001 {
		t.Errorf("estimate after one answer: %d", got)
	}
	sizes.Record("x", 1, 8000)
	if got := sizes.Estimate("x", 1); got != 10001 {
		t.Errorf("estimate after a larger answer: %d", got)
	}
	for range 100 {
		sizes.Record("x", 1, 1000)
	}
	if got := sizes.Estimate("x", 1); got > 1300 || got < 1250 {
		t.Errorf("estimate after 100 smaller answers: %d", got)
	}
}

// TestMaxIdleScopes checks that the number of scopes stays bounded for any number of owners, and that a scope with a pass is never dropped.
func TestMaxIdleScopes(t *testing.T) {
	d := newController(t, Config{Owner: Limits{Rate: 1, Burst: 1}, MaxIdleScopes: 100})
	kept, _ := d.Admit(at(0), Client{0, "kept", "n"}, Query)
	for i := range 10_000 {
		p, r := d.Admit(at(float64(i)/1000), Client{uint64(i + 1), fmt.Sprint("o", i), "n"}, Query)
		if r != nil {
			t.Fatal(r)
		}
		d.Release(at(float64(i)/1000), p)
		if len(d.scopes) > 104 || d.idleScopes.Len() > 100 {
			t.Fatalf("%d scopes, %d idle after %d owners", len(d.scopes), d.idleScopes.Len(), i)
		}
	}
	if d.scopes[scopeKey{scope: Owner, id: "kept"}] == nil {
		t.Error("a scope with an open pass was dropped")
	}
	d.Release(at(11), kept)
}

// TestSetLimits checks that new limits apply to new requests at once and leave admitted ones alone, and that invalid limits are rejected.
func TestSetLimits(t *testing.T) {
	d := newController(t, Config{})
	var admitted []*Pass
	for i := range 5 {
		p, _ := d.Admit(at(0), Client{uint64(i), "a", ""}, Stream)
		admitted = append(admitted, p)
	}
	if err := d.SetLimits(Config{Owner: Limits{Streams: 3}}); err != nil {
		t.Fatal(err)
	}
	if _, r := d.Admit(at(1), Client{9, "a", ""}, Stream); r == nil {
		t.Error("a sixth stream was admitted with a limit of three")
	}
	for _, p := range admitted[:3] {
		d.Release(at(2), p)
	}
	if _, r := d.Admit(at(3), Client{9, "a", ""}, Stream); r != nil {
		t.Error(r)
	}
	if err := d.SetLimits(Config{Owner: Limits{Streams: -1}}); err == nil {
		t.Error("a negative limit was accepted")
	}
	if _, err := New(Config{SlowReaderGrace: time.Minute}); err == nil {
		t.Error("SlowReaderGrace above StallTimeout was accepted")
	}
}

// TestControllerMatchesModel compares the passes and bytes of every scope with a model that recounts them after each step.
func TestControllerMatchesModel(t *testing.T) {
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
		type entry struct {
			p            *Pass
			client       Client
			kind         Kind
			held         int64
			lastProgress time.Time
		}
		var open []*entry
		now := at(0)
		sharesScope := func(a, b Client, s Scope) bool {
			return s == All || s == Connection && a.Connection == b.Connection || s == Owner && a.Owner == b.Owner || s == Network && a.Network == b.Network
		}
		inScope := func(client Client, s Scope) bool { return s != Owner || client.Owner != "" }
		limits := []Limits{cfg.Connection, cfg.Owner, cfg.Network, cfg.All}
		count := func(client Client, s Scope) (streams, queries int, bytes int64) {
			for _, o := range open {
				if sharesScope(o.client, client, s) {
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
			switch op := rapid.SampledFrom([]string{"admit", "admit", "hold", "hold", "read", "release", "tick"}).Draw(t, "operation"); {
			case op == "admit":
				client := Client{uint64(rapid.IntRange(0, 2).Draw(t, "connection")), rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "owner"), rapid.SampledFrom([]string{"m", "n"}).Draw(t, "network")}
				k := Kind(rapid.IntRange(0, 1).Draw(t, "kind"))
				want := -1
				for s := Connection; s < scopeCount && want < 0; s++ {
					streams, queries, _ := count(client, s)
					l := limits[s]
					if inScope(client, s) && (k == Stream && l.Streams > 0 && streams >= l.Streams || k == Query && l.Queries > 0 && queries >= l.Queries) {
						want = int(s)
					}
				}
				p, r := d.Admit(now, client, k)
				if (r == nil) != (want < 0) || r != nil && int(r.Scope) != want {
					t.Fatalf("%+v: rejection %v, want scope %d", client, r, want)
				}
				if p != nil {
					open = append(open, &entry{p: p, client: client, kind: k})
				}
			case op == "tick":
				evicted := d.Tick(now)
				n := 0
				for _, o := range open {
					if o.held > 0 && now.Sub(o.lastProgress) >= 9*time.Second {
						o.held = 0
						n++
					}
				}
				if n != len(evicted) {
					t.Fatalf("%d evicted, want %d", len(evicted), n)
				}
			case len(open) == 0:
			default:
				i := rapid.IntRange(0, len(open)-1).Draw(t, "pass")
				o := open[i]
				bytes := int64(rapid.IntRange(1, 30).Draw(t, "bytes"))
				switch op {
				case "release":
					d.Release(now, o.p)
					open = append(open[:i], open[i+1:]...)
				case "read":
					if !o.p.evicted {
						o.held, o.lastProgress = max(0, o.held-bytes), now
						d.Read(now, o.p, bytes)
					}
				case "hold":
					if o.p.evicted {
						break
					}
					before := o.held
					evicted, r := d.Hold(now, o.p, bytes)
					if r != nil {
						if len(evicted) > 0 {
							t.Fatal("a reader was evicted for a request that was rejected")
						}
						break
					}
					for _, victim := range evicted {
						for _, other := range open {
							if other.p == victim {
								if now.Sub(other.lastProgress) < time.Second {
									t.Fatal("a reader that makes progress was evicted")
								}
								other.held = 0
							}
						}
					}
					if o.held += bytes; before == 0 {
						o.lastProgress = now
					}
				}
			}
			for _, o := range open {
				if o.p.Bytes() != o.held {
					t.Fatalf("a pass holds %d bytes, want %d", o.p.Bytes(), o.held)
				}
				for s := Connection; s < scopeCount; s++ {
					if _, _, bytes := count(o.client, s); inScope(o.client, s) && limits[s].Bytes > 0 && bytes > limits[s].Bytes {
						t.Fatalf("%d bytes in scope %v, over its limit of %d", bytes, s, limits[s].Bytes)
					}
				}
			}
			for _, u := range d.Usage() {
				streams, queries, bytes := count(Client{Owner: u.ID, Network: u.ID}, u.Scope)
				if u.Streams != streams || u.Queries != queries || u.Bytes != bytes {
					t.Fatalf("usage %+v, want %d streams, %d queries, %d bytes", u, streams, queries, bytes)
				}
			}
		}
	})
}

// BenchmarkAdmit measures a query that is admitted, holds and reads bytes and is released, while n others are open.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{100, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := newController(b, Config{Owner: Limits{Rate: 1e6, Queries: 1e6}, All: Limits{Bytes: 1 << 40}})
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
