package aggregator

import (
	"fmt"
	"testing"
	"time"
)

// wide returns settings and members for n replicas, each in a cell of its own, every shard held by reach
// of them.
func fleetSettings(n, reach, aggregators int) (Settings, []Member) {
	set := testSettings()
	set.ShardSets, set.Shards, set.Reach, set.Aggregators = n, n, reach, aggregators
	set.Limits.Probes = true
	var all []Member
	for i := range n {
		all = append(all, Member{Replica: fmt.Sprint("r", i), ShardSet: i})
	}
	return set, all
}

// TestManyNodesShareAColdReplica: dozens of nodes, each with a share of under one part, use a cold
// replica from its start and on average stay within the room that all of them have together.
func TestManyNodesShareAColdReplica(t *testing.T) {
	const nodes, windows = 80, 8
	sent := 0
	for seed := range uint64(nodes) {
		set := testSettings()
		set.ShardSets, set.Reach, set.Aggregators = 1, 1, nodes
		a, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		start := 100 * time.Second
		list := Event{Kind: ListCached, Members: []Member{{Replica: "a", Started: start - ms}}}
		a.Step(start, []Event{list}, nil)
		for i := range windows * 5 {
			now := start + time.Duration(i)*200*ms
			sent += len(only(a.Step(now, asks(fmt.Sprint(i), time.Second, 0), nil), Send))
		}
	}
	// The room grows evenly from 3 x 0.2 to 3 x 0.84 over the eight windows of 1 s; a part is a tenth of
	// a second.
	if room := windows * 3 * 0.52 * 10; sent == 0 || float64(sent) > room || float64(sent) < room/3 {
		t.Errorf("%d parts from %d nodes in %d windows, want a third of %.0f to %.0f", sent, nodes, windows, room, room)
	}
}

// TestNoVainWait: a query that needs a replica which may not be used is refused at once.
func TestNoVainWait(t *testing.T) {
	set, all := fleetSettings(3, 1, 1000)
	all[0].Started = 100*time.Second - ms
	refused := 0
	for i := range 20 {
		set.Rules.OverloadMultiple = 0.1
		b := newHarness(t, set, all...)
		refused += len(only(b.step(asks(fmt.Sprint(i), time.Second, 0)...), Reject))
	}
	if refused < 18 {
		t.Errorf("%d of 20 queries refused at once", refused)
	}
}

// TestKillingQuery: after replicas have died, a query whose parts reset what runs them breaks few
// replicas and is ended, while a query with an answer keeps going after a reset.
func TestKillingQuery(t *testing.T) {
	set, all := fleetSettings(30, 3, 40)
	set.Rules.OverloadMultiple = 0
	b := newHarness(t, set, all...)
	shards := make([]int, 20)
	for i := range shards {
		shards[i] = i
	}
	broken := map[string]bool{}
	for try := range 3 {
		acts := b.step(asks(fmt.Sprint("k", try), 3*time.Second, shards...)...)
		refused := 0
		for range 20 {
			var events []Event
			refused += len(only(acts, Reject))
			for _, s := range only(acts, Send) {
				if broken[s.Replica] = true; b.attempts[s.Part] > 2 {
					t.Errorf("try %d: part %s was sent %d times", try, s.Part, b.attempts[s.Part])
				}
				events = append(events, ended(s.Part, b.attempts[s.Part]-1, Reset))
			}
			for _, s := range only(acts, Probe) {
				events = append(events, Event{Kind: ProbeEnded, Replica: s.Replica, Outcome: OK})
			}
			b.now += b.settings.Tick
			acts = b.step(append(events, Event{Kind: Wakeup})...)
		}
		if refused != 1 {
			t.Errorf("try %d: %d refusals within a tenth of a second, want 1", try, refused)
		}
		if b.now += 2 * time.Second; try == 0 {
			clear(broken) // the first one comes without any sign
		}
	}
	if len(broken) > 4 {
		t.Errorf("the repeated query broke %d replicas", len(broken))
	}
	// A sound query: one part answered, one reset, which is sent again.
	b = newHarness(t, set, all...)
	b.step(asks("s", 3*time.Second, 0, 15)...)
	b.step(ended("s/0", 0, OK))
	b.step(ended("s/1", 0, Reset))
	b.after(300 * ms)
	if b.attempts["s/1"] != 2 {
		t.Errorf("%d attempts of a part that was reset once, want 2", b.attempts["s/1"])
	}
}

// TestProbesGoBeforeParts: on guard, a part waits for the probes of holders that were not heard lately
// and avoids one that does not answer; without a bad sign no probe is sent.
func TestProbesGoBeforeParts(t *testing.T) {
	set, all := fleetSettings(6, 2, 3)
	b := newHarness(t, set, all...)
	if acts := b.step(asks("calm", 3*time.Second, 0)...); len(only(acts, Probe)) > 0 || len(only(acts, Send)) != 1 {
		t.Fatalf("without a sign: %v", acts)
	}
	b.step(ended("calm/0", 0, Reset))
	b.after(2 * time.Second)
	avoided := 0
	for i := range 10 {
		id := fmt.Sprint("q", i)
		acts := b.step(asks(id, 3*time.Second, 3)...)
		var events []Event
		for _, p := range only(acts, Probe) {
			if p.Replica != "r3" { // r3 is dead, and the list has not said so
				events = append(events, Event{Kind: ProbeEnded, Replica: p.Replica, Outcome: OK})
			} else {
				events = append(events, Event{Kind: ProbeEnded, Replica: p.Replica, Outcome: TimedOut})
			}
		}
		acts = append(acts, b.step(events...)...)
		for _, s := range only(append(acts, b.after(100*ms)...), Send) {
			if s.Replica == "r4" {
				avoided++
			}
			b.step(ended(s.Part, b.attempts[s.Part]-1, OK))
		}
		b.now += time.Second
	}
	if avoided != 10 {
		t.Errorf("%d of 10 parts went to the holder that answers", avoided)
	}
}

// TestBadReports: absurd reports and probes of unknown replicas are hints that do no harm.
func TestBadReports(t *testing.T) {
	set, all := fleetSettings(6, 2, 40)
	b := newHarness(t, set, all...)
	inf := 1e308
	for _, x := range []float64{-1, inf * 10, -inf * 10, inf*10 - inf*10, 1e300} {
		b.step(Event{Kind: ProbeEnded, Replica: "r1", Outcome: OK, LoadReport: map[string]float64{"inflight": x, "other": x}},
			Event{Kind: ProbeEnded, Replica: "gone", Outcome: OK})
		if load := b.aggregator.endpoints.byName["r1"].health.reportedLoad; load != 0 {
			t.Errorf("a report of %v was taken as a load of %v", x, load)
		}
	}
}

// TestIdleConnectionsFoundDead: parts lost on connections that had idled, answered on new ones, teach the
// node to close idle connections before use; answers on idle connections teach it nothing.
func TestIdleConnectionsFoundDead(t *testing.T) {
	for _, dead := range []bool{true, false} {
		set, all := fleetSettings(4, 2, 10)
		set.Limits.Probes = false
		b := newHarness(t, set, all...)
		used, fresh := map[string]time.Duration{}, map[string]bool{}
		closes := 0
		for i := range 400 {
			acts := b.step(asks(fmt.Sprint(i), time.Second, i%4, 0, 2)...)
			for range 100 {
				var events []Event
				for _, act := range acts {
					switch act.Kind {
					case CloseIdle:
						fresh[act.Replica] = true
						if i >= 200 {
							closes++
						}
					case Cancel:
						events = append(events, ended(act.Part, act.Attempt, Cancelled))
					case Send:
						lost := dead && !fresh[act.Replica] && b.now-used[act.Replica] > 800*ms
						used[act.Replica], fresh[act.Replica] = b.now, false
						if !lost {
							events = append(events, ended(act.Part, b.attempts[act.Part]-1, OK))
						}
					}
				}
				b.now += b.settings.Tick
				acts = b.step(append(events, Event{Kind: Wakeup})...)
			}
		}
		if dead && closes < 20 || !dead && closes > 0 {
			t.Errorf("dead connections %v: %d closed over 200 parts", dead, closes)
		}
	}
}

// BenchmarkWideStep reports a Step at 120 replicas with hundreds of parts open.
func BenchmarkWideStep(b *testing.B) {
	set, all := fleetSettings(120, 3, 40)
	a, err := New(set, 1)
	if err != nil {
		b.Fatal(err)
	}
	now := 100 * time.Second
	a.Step(now, []Event{{Kind: ListCached, Members: all}}, nil)
	var out []Action
	for i := range 40 {
		out = a.Step(now, asks(fmt.Sprint("open", i), time.Hour, i, i+1, i+2, i+3, i+4, i+5, i+6, i+7), out[:0])
	}
	b.ReportAllocs()
	for b.Loop() {
		out = a.Step(now, []Event{{Kind: Wakeup}}, out[:0])
	}
}

// TestTenantThatRepeats: where most of what a tenant asks is asked again, its retries give way to the
// first tries of others; a single retry does not.
func TestTenantThatRepeats(t *testing.T) {
	for _, c := range []struct {
		repeats int
		first   bool // the other tenant is served first
	}{{1, false}, {6, true}} {
		set := testSettings()
		set.Tenants, set.OverQuotaFactor = []Tenant{{Name: "x", Rate: 100}, {Name: "y", Rate: 100}}, 0.05
		b := newHarness(t, set, members("a", "b", "c")...)
		ask := func(tenant int, retry bool) *query {
			return &query{tenant: tenant, retry: retry, parts: []*part{{}}}
		}
		for range 4 {
			b.aggregator.priorityRank(ask(1, false))
		}
		for range c.repeats {
			b.aggregator.priorityRank(ask(0, true))
		}
		again, other := ask(0, true), ask(1, false)
		b.aggregator.priorityRank(again)
		b.aggregator.priorityRank(other)
		if got := again.priority < other.priority; got != c.first {
			t.Errorf("after %d repeats: worth %v against %v", c.repeats, again.priority, other.priority)
		}
	}
}
