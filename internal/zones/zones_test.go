package zones

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// zoneMembers returns n data nodes in each of the named zones, as a map of ids of the form "zone/i" to zones.
func zoneMembers(n int, names ...string) map[string]string {
	m := map[string]string{}
	for _, z := range names {
		for i := 0; i < n; i++ {
			m[fmt.Sprintf("%s/%d", z, i)] = z
		}
	}
	return m
}

// observeFailures records a timeout for the first k of a zone's n data nodes and an answer for the others.
func observeFailures(tr *Tracker, now time.Time, zone string, k, n int) {
	for i := 0; i < n; i++ {
		e := Good
		if i < k {
			e = TimedOut
		}
		tr.Observe(now, zone, fmt.Sprintf("%s/%d", zone, i), e)
	}
}

type step struct {
	at      time.Duration
	zone    string
	failing int // how many of 4 data nodes fail; -1 records no evidence
}

func states(tr *Tracker, now time.Time) map[string]string {
	m := map[string]string{}
	for _, s := range tr.Statuses(now) {
		m[s.Zone] = s.State.String()
	}
	return m
}

func TestStateTransitions(t *testing.T) {
	cfg := Config{Seed: 7, Spread: time.Millisecond}
	cases := []struct {
		name  string
		zones []string
		steps []step
		want  map[string]string
	}{
		{"one failing data node does not make its zone suspect", []string{"a", "b", "c"},
			[]step{{0, "a", 1}, {time.Second, "a", 1}, {2 * time.Second, "a", 1}},
			map[string]string{"a": "healthy", "b": "healthy", "c": "healthy"}},
		{"a zone whose data nodes all fail is taken out after Confirm", []string{"a", "b", "c"},
			[]step{{0, "a", 4}, {300 * time.Millisecond, "a", 4}, {600 * time.Millisecond, "a", 4}},
			map[string]string{"a": "out", "b": "healthy", "c": "healthy"}},
		{"a zone whose data nodes all fail is not out before Confirm", []string{"a", "b", "c"},
			[]step{{0, "a", 4}, {300 * time.Millisecond, "a", 4}},
			map[string]string{"a": "doubtful", "b": "healthy", "c": "healthy"}},
		{"a zone with half of its data nodes failing is suspect, not out", []string{"a", "b", "c"},
			[]step{{0, "a", 2}, {time.Second, "a", 2}, {2 * time.Second, "a", 2}},
			map[string]string{"a": "doubtful", "b": "healthy", "c": "healthy"}},
		{"the only zone is never taken out", []string{"a"},
			[]step{{0, "a", 4}, {time.Second, "a", 4}, {2 * time.Second, "a", 4}},
			map[string]string{"a": "doubtful"}},
		{"failures in all zones make none of them suspect", []string{"a", "b", "c"},
			[]step{{0, "a", 4}, {0, "b", 3}, {0, "c", 3}, {time.Second, "a", 4}, {time.Second, "b", 3},
				{time.Second, "c", 3}},
			map[string]string{"a": "healthy", "b": "healthy", "c": "healthy"}},
		{"one of two zones is taken out, as half of the data nodes remain", []string{"a", "b"},
			[]step{{0, "a", 4}, {time.Second, "a", 4}},
			map[string]string{"a": "out", "b": "healthy"}},
		{"two of three zones fail at once: one is taken out, the guard keeps the other", []string{"a", "b", "c"},
			[]step{{0, "a", 4}, {0, "b", 4}, {time.Second, "a", 4}, {time.Second, "b", 4}},
			map[string]string{"a": "out", "b": "doubtful", "c": "healthy"}},
		{"the guard keeps a second zone while the first is still recovering", []string{"a", "b", "c"},
			[]step{{0, "a", 4}, {time.Second, "a", 4}, {3 * time.Second, "a", -1}, {4 * time.Second, "a", -1}, {4500 * time.Millisecond, "b", 4},
				{5500 * time.Millisecond, "b", 4}},
			map[string]string{"a": "returning", "b": "doubtful", "c": "healthy"}},
		{"a zone that answers again recovers after the wait", []string{"a", "b", "c"},
			[]step{{0, "a", 4}, {time.Second, "a", 4}, {2 * time.Second, "a", -1}, {3 * time.Second, "a", -1}},
			map[string]string{"a": "returning", "b": "healthy", "c": "healthy"}},
		{"a recovering zone is healthy after Ramp", []string{"a", "b", "c"},
			[]step{{0, "a", 4}, {time.Second, "a", 4}, {3 * time.Second, "a", -1}, {4 * time.Second, "a", -1},
				{15 * time.Second, "a", -1}},
			map[string]string{"a": "healthy", "b": "healthy", "c": "healthy"}},
		{"failures during recovery take the zone out again", []string{"a", "b", "c"},
			[]step{{0, "a", 4}, {time.Second, "a", 4}, {3 * time.Second, "a", -1}, {4 * time.Second, "a", -1},
				{5 * time.Second, "a", 2}},
			map[string]string{"a": "out", "b": "healthy", "c": "healthy"}},
		{"one failing data node does not stop a recovery", []string{"a", "b", "c"},
			[]step{{0, "a", 4}, {time.Second, "a", 4}, {3 * time.Second, "a", -1}, {4 * time.Second, "a", -1},
				{5 * time.Second, "a", 1}, {10 * time.Second, "a", 1}, {15 * time.Second, "a", 1}},
			map[string]string{"a": "healthy", "b": "healthy", "c": "healthy"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr, err := New(cfg)
			if err != nil {
				t.Fatal(err)
			}
			tr.SetListed(t0, zoneMembers(4, c.zones...))
			for i, s := range c.steps {
				now := t0.Add(s.at)
				if s.failing >= 0 {
					observeFailures(tr, now, s.zone, s.failing, 4)
				}
				if i == len(c.steps)-1 || c.steps[i+1].at != s.at {
					tr.Step(now) // all evidence of one time is applied before the states change
				}
			}
			if d := cmp.Diff(c.want, states(tr, t0.Add(c.steps[len(c.steps)-1].at))); d != "" {
				t.Errorf("states (-want +got):\n%s", d)
			}
		})
	}
}

func TestUsableAndWarmingSince(t *testing.T) {
	tr, _ := New(Config{Spread: time.Millisecond})
	tr.SetListed(t0, zoneMembers(4, "a", "b", "c"))
	for _, at := range []time.Duration{0, time.Second} {
		observeFailures(tr, t0.Add(at), "a", 4, 4)
		tr.Step(t0.Add(at))
	}
	if tr.Usable("a") || !tr.Usable("b") || !tr.Usable("unknown") {
		t.Fatalf("usable a, b, unknown: %v %v %v", tr.Usable("a"), tr.Usable("b"), tr.Usable("unknown"))
	}
	tr.Step(t0.Add(2500 * time.Millisecond)) // draws the start of the recovery
	recoveryStart := t0.Add(3 * time.Second)
	tr.Step(recoveryStart)
	if since, ok := tr.WarmingSince("a"); !ok || !since.Equal(recoveryStart) {
		t.Fatalf("warming since %v %v, want %v", since, ok, recoveryStart)
	}
	if _, ok := tr.WarmingSince("b"); ok {
		t.Fatal("a healthy zone counts as warming up")
	}
}

func TestDrainAndUndrain(t *testing.T) {
	tr, _ := New(Config{})
	tr.SetListed(t0, zoneMembers(4, "a"))
	tr.Drain(t0, "a")
	tr.Step(t0.Add(time.Minute))
	if tr.Usable("a") {
		t.Fatal("the only zone is usable although it is drained")
	}
	if c := tr.Undrain(t0.Add(time.Minute), "a"); c.To != Recovering {
		t.Fatalf("undrained: %+v", c)
	}
	if c := tr.Undrain(t0.Add(time.Minute), "b"); c.To != Healthy {
		t.Fatalf("undrain of a zone never drained: %+v", c)
	}
}

func TestRemovalFromListIsEvidence(t *testing.T) {
	tr, _ := New(Config{})
	all := zoneMembers(4, "a", "b", "c")
	tr.SetListed(t0, all)
	without := map[string]string{}
	for id, z := range all {
		if z != "a" {
			without[id] = z
		}
	}
	for _, at := range []time.Duration{0, time.Second} {
		tr.SetListed(t0.Add(at), without)
		tr.Step(t0.Add(at))
	}
	if tr.Usable("a") {
		t.Fatalf("a zone whose data nodes were all removed from the list is usable: %+v", tr.Statuses(t0.Add(time.Second)))
	}
	// A stale list that still names the failed zone clears nothing.
	tr.SetListed(t0.Add(1200*time.Millisecond), all)
	tr.Step(t0.Add(1200 * time.Millisecond))
	if tr.Usable("a") {
		t.Fatal("a stale list made the zone usable again")
	}
}

// A flapping zone stays out for twice as long each time, up to MaxWait.
func TestWaitDoublesForFlappingZone(t *testing.T) {
	cfg := Config{Spread: time.Millisecond, Wait: time.Second, MaxWait: 8 * time.Second}
	tr, _ := New(cfg)
	tr.SetListed(t0, zoneMembers(4, "a", "b", "c"))
	now := t0
	var outDurations []time.Duration
	for round := 0; round < 6; round++ {
		for tr.Usable("a") {
			observeFailures(tr, now, "a", 4, 4)
			tr.Step(now)
			now = now.Add(100 * time.Millisecond)
		}
		outAt := now
		for !tr.Usable("a") {
			now = now.Add(100 * time.Millisecond)
			tr.Step(now)
		}
		outDurations = append(outDurations, now.Sub(outAt).Round(time.Second))
		now = now.Add(100 * time.Millisecond) // fails again within Ramp
	}
	want := []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second, 8 * time.Second}
	if d := cmp.Diff(want, outDurations); d != "" {
		t.Errorf("durations in Out (-want +got):\n%s", d)
	}
}

// Three hundred coordinators that see the same evidence do not start their recoveries together: the starts spread over Spread.
func TestRecoveryStartsAreSpread(t *testing.T) {
	const fleet, buckets = 300, 10
	cfg := Config{Spread: 2 * time.Second}
	var starts []time.Time
	for seed := uint64(0); seed < fleet; seed++ {
		cfg.Seed = seed
		tr, _ := New(cfg)
		tr.SetListed(t0, zoneMembers(4, "a", "b", "c"))
		for _, at := range []time.Duration{0, time.Second} {
			observeFailures(tr, t0.Add(at), "a", 4, 4)
			tr.Step(t0.Add(at))
		}
		for now := t0.Add(time.Second); ; now = now.Add(10 * time.Millisecond) {
			tr.Step(now)
			if since, ok := tr.WarmingSince("a"); ok {
				starts = append(starts, since)
				break
			}
		}
	}
	first := starts[0]
	for _, s := range starts {
		if s.Before(first) {
			first = s
		}
	}
	count := make([]int, buckets)
	for _, s := range starts {
		count[min(buckets-1, int(s.Sub(first)*buckets/cfg.Spread))]++
	}
	for i, c := range count {
		if c > 2*fleet/buckets {
			t.Errorf("%d of %d coordinators start their recovery in tenth %d of Spread: %v", c, fleet, i, count)
		}
	}
}

// TestGuardProperty checks invariants under random evidence: the only zone of a site is never taken out, the data nodes outside
// zones that are out or recovering never fall below the share Keep, and a zone with fewer than MinFailing data nodes is
// never taken out.
func TestGuardProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		zoneCount := rapid.IntRange(1, 4).Draw(rt, "zones")
		perZone := rapid.IntRange(1, 6).Draw(rt, "per zone")
		names := []string{"a", "b", "c", "d"}[:zoneCount]
		tr, _ := New(Config{Seed: rapid.Uint64().Draw(rt, "seed")})
		tr.SetListed(t0, zoneMembers(perZone, names...))
		now := t0
		for i := rapid.IntRange(1, 60).Draw(rt, "steps"); i > 0; i-- {
			now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(rt, "gap")) * time.Millisecond)
			z := rapid.SampledFrom(names).Draw(rt, "zone")
			observeFailures(tr, now, z, rapid.IntRange(0, perZone).Draw(rt, "failing"), perZone)
			tr.Step(now)
			out := 0
			for _, s := range tr.Statuses(now) {
				if s.State == Out || s.State == Recovering {
					out += s.Nodes
				}
			}
			total := zoneCount * perZone
			if zoneCount == 1 && out > 0 {
				rt.Fatalf("the only zone was taken out")
			}
			if float64(total-out)/float64(total) < Defaults.Keep {
				rt.Fatalf("%d of %d data nodes are in zones that are out or recovering", out, total)
			}
			if perZone < Defaults.MinFailing && out > 0 {
				rt.Fatalf("a zone of %d data nodes was taken out", perZone)
			}
		}
	})
}

func TestCheckNamesInvalidField(t *testing.T) {
	for _, c := range []struct {
		cfg  Config
		want string
	}{
		{Config{Clear: 0.5, Doubt: 0.4}, "zones: Clear (0.5) must be under Doubt (0.4), or one data node can toggle a zone"},
		{Config{Keep: 2}, "zones: Keep is 2; it must be within 0 and 1"},
		{Config{Wait: -time.Second}, "zones: Wait is -1s; it must not be negative"},
		{Config{Wait: time.Minute}, "zones: MaxWait (30s) must not be under Wait (1m0s)"},
	} {
		err := c.cfg.Check()
		if err == nil || err.Error() != c.want {
			t.Errorf("Check(%+v) = %v, want %q", c.cfg, err, c.want)
		}
	}
}

// BenchmarkStep measures Step by the number of known data nodes; each step visits every one of them once.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n*3), func(b *testing.B) {
			tr, _ := New(Config{})
			tr.SetListed(t0, zoneMembers(n, "a", "b", "c"))
			now := t0
			for i := 0; i < b.N; i++ {
				now = now.Add(time.Millisecond)
				tr.Observe(now, "a", fmt.Sprintf("a/%d", i%n), TimedOut)
				tr.Step(now)
			}
		})
	}
}

// A failure reported by another coordinator is not reported back, until this coordinator sees the data node fail itself.
func TestPeerReportsAreNotReportedBack(t *testing.T) {
	tr, err := New(Config{})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1_000_000, 0)
	tr.SetListed(now, map[string]string{"a0": "a", "a1": "a", "a2": "a", "b0": "b"})
	tr.Observe(now, "a", "a0", Refused)
	tr.ObservePeer(now, "a", "a1", 0, -1)
	tr.ObservePeer(now, "a", "a2", 0, -1)
	tr.Observe(now.Add(time.Millisecond), "a", "a2", TimedOut)
	if got := tr.Failing(now.Add(time.Second), "a"); !slices.Equal(got, []string{"a0", "a2"}) {
		t.Errorf("failing: %v, want those seen failing here: a0 and a2", got)
	}
	if got := tr.Failing(now.Add(time.Hour), "a"); len(got) > 0 {
		t.Errorf("failing an hour later: %v, want none", got)
	}
}
