package aggregator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// bench drives one aggregator by hand and keeps its own, simple account of what was sent.
type harness struct {
	t          *testing.T
	settings   Settings
	aggregator *Aggregator
	now        time.Duration
	attempts   map[string]int // attempts by part
	last       []Action
}

func newHarness(t *testing.T, set Settings, members ...Member) *harness {
	t.Helper()
	a, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{t: t, settings: set, aggregator: a, now: 100 * time.Second, attempts: map[string]int{}}
	b.step(Event{Kind: ListCached, Members: members})
	return b
}

func (b *harness) step(events ...Event) []Action {
	b.last = b.aggregator.Step(b.now, events, nil)
	for _, act := range b.last {
		if act.Kind == Send {
			b.attempts[act.Part]++
		}
	}
	return b.last
}

// after steps at intervals of a tick until d has passed and returns all actions.
func (b *harness) after(d time.Duration) (all []Action) {
	for end := b.now + d; b.now < end; {
		b.now += b.settings.Tick
		all = append(all, b.step(Event{Kind: Wakeup})...)
	}
	return all
}

// asks returns the events of a query with one part on each of the given shards.
func asks(id string, left time.Duration, shards ...int) []Event {
	events := []Event{{Kind: QueryArrived, Query: id, Tenant: -1, Count: len(shards), TimeLeft: left}}
	for i, s := range shards {
		events = append(events, Event{Kind: PartArrived, Query: id, Part: fmt.Sprintf("%s/%d", id, i), Shard: s,
			Weight: 1 / float64(len(shards))})
	}
	return events
}

func ended(part string, attempt int, o Outcome) Event {
	return Event{Kind: AttemptEnded, Part: part, Attempt: attempt, Outcome: o}
}

func only(actions []Action, kind ActionKind) (found []Action) {
	for _, a := range actions {
		if a.Kind == kind {
			found = append(found, a)
		}
	}
	return found
}

func members(names ...string) (list []Member) {
	for i, n := range names {
		list = append(list, Member{Replica: n, ShardSet: i})
	}
	return list
}

// TestLostQuery: every query gets its one final answer in time, even where nothing ever comes back and a
// late answer is worth as much as one in time.
func TestLostQuery(t *testing.T) {
	set := testSettings()
	set.Classes[0].LateShare = 1
	b := newHarness(t, set, members("a", "b", "c")...)
	start, left := b.now, 1700*ms
	b.step(asks("q", left, 0)...)
	finals := 0
	for b.now < start+3*time.Second {
		for _, act := range b.after(b.settings.Tick) {
			switch act.Kind {
			case Answer, Reject, Fail:
				if finals++; b.now > start+left {
					t.Errorf("final answer %v after the start", b.now-start)
				}
			case Send:
				if finals > 0 {
					t.Errorf("part %s sent after the final answer", act.Part)
				}
			}
		}
	}
	if finals != 1 {
		t.Errorf("%d final answers, want 1", finals)
	}
}

// TestRepeat: what may be sent again, by effect, by how the first attempt ended, and by the window.
func TestRepeat(t *testing.T) {
	for _, c := range []struct {
		name    string
		effect  Effect
		outcome Outcome
		late    time.Duration
		want    int
	}{
		{"safe after an error", Safe, Errored, 0, 2},
		{"keyed in its window", Keyed, Errored, 0, 2},
		{"keyed after its window", Keyed, Errored, 500 * ms, 1},
		{"keyed after its window, never ran", Keyed, Rejected, 500 * ms, 2},
		{"unsafe after an error", Unsafe, Errored, 0, 1},
		{"unsafe after an unknown outcome", Unsafe, Outcome(99), 0, 1},
		{"unsafe, never ran", Unsafe, ConnectFailed, 0, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.Limits.CanCancel = false
			set.Classes[0].Effect, set.Classes[0].DedupWindow = c.effect, 400*ms
			b := newHarness(t, set, members("a", "b", "c")...)
			b.step(asks("q", 3*time.Second, 0)...)
			b.now += c.late
			b.step(ended("q/0", 0, c.outcome))
			b.after(20 * ms)
			if b.attempts["q/0"] != c.want {
				t.Errorf("%d attempts, want %d", b.attempts["q/0"], c.want)
			}
		})
	}
}

// TestRefusalIsHarmless: once an unsafe part may have run, the query is failed and not refused.
func TestRefusalIsHarmless(t *testing.T) {
	for outcome, want := range map[Outcome]ActionKind{Errored: Fail, Rejected: Reject} {
		set := testSettings()
		set.Classes[0].Effect, set.Limits.MaxAttempts = Unsafe, 1
		b := newHarness(t, set, members("a", "b", "c")...)
		b.step(asks("q", 3*time.Second, 0)...)
		if got := only(b.step(ended("q/0", 0, outcome)), want); len(got) != 1 {
			t.Errorf("outcome %d: no action of kind %d in %v", outcome, want, b.last)
		}
	}
}

// TestFailureWhileOut: a query whose unsafe part is still out is failed, not refused, when its time is
// up.
func TestFailureWhileOut(t *testing.T) {
	set := testSettings()
	set.Classes[0].Effect = Unsafe
	b := newHarness(t, set, members("a", "b", "c")...)
	b.step(asks("q", time.Second, 0)...)
	all := b.after(2 * time.Second)
	if len(only(all, Fail)) != 1 || len(only(all, Reject)) != 0 {
		t.Errorf("got %v and %v, want one failure", only(all, Fail), only(all, Reject))
	}
}

// TestOneAttemptAtATime: without copies, an overdue attempt is cancelled first and only then answered by
// another.
func TestOneAttemptAtATime(t *testing.T) {
	b := newHarness(t, testSettings(), members("a", "b", "c")...)
	b.step(asks("q", 3*time.Second, 0)...)
	hung := b.last[0].Replica
	for i := range 6 { // peers answer, the hung one does not
		id := fmt.Sprint("x", i)
		b.step(asks(id, 3*time.Second, 0)...)
		b.now += 100 * ms
		if s := only(b.last, Send); len(s) == 1 && s[0].Replica != hung {
			b.step(ended(id+"/0", 0, OK))
		}
	}
	if b.attempts["q/0"] != 1 {
		t.Fatalf("%d attempts before any outcome, want 1", b.attempts["q/0"])
	}
	if b.aggregator.queries.parts["q/0"] == nil || !b.aggregator.queries.parts["q/0"].attempts[0].cancelled {
		t.Fatal("the silent attempt was not called off")
	}
	if s := only(b.step(ended("q/0", 0, Cancelled)), Send); len(s) != 1 || s[0].Replica == hung {
		t.Errorf("after the cancel: %v, want one send to another replica than %s", s, hung)
	}
}

// TestDrain: nothing goes to a replica once the list has said draining or gone, or has dropped it.
func TestDrain(t *testing.T) {
	for name, e := range map[string]Event{
		"draining": {Kind: ListChanged, Members: []Member{{Replica: "a", State: Draining}}},
		"gone":     {Kind: ListChanged, Members: []Member{{Replica: "a", State: Gone}}},
		"absent":   {Kind: ListReplaced, Members: []Member{{Replica: "b", ShardSet: 1}, {Replica: "c", ShardSet: 2}}},
	} {
		b := newHarness(t, testSettings(), members("a", "b", "c")...)
		b.step(e)
		for i := range 20 {
			for _, s := range only(b.step(asks(fmt.Sprint(i), 3*time.Second, 0)...), Send) {
				if s.Replica == "a" {
					t.Errorf("%s: a part went to it", name)
				}
			}
		}
	}
}

// TestColdReplica: a replica that has just started gets no more than this front node's share of what it
// can take, however many parts wait for it.
func TestColdReplica(t *testing.T) {
	set := testSettings()
	set.ShardSets, set.Reach, set.Aggregators = 1, 1, 2
	b := newHarness(t, set, Member{Replica: "a", Started: 99900 * ms})
	sent := 0
	for i := range 50 {
		sent += len(only(b.step(asks(fmt.Sprint(i), 3*time.Second, 0)...), Send))
	}
	// Work is presumed a tenth of the aim; a front node's half of 3 x (0.2 + a little) x 1 s is under 4
	// parts.
	if sent == 0 || sent > 4 {
		t.Errorf("%d parts in the first moment, want 1 to 4", sent)
	}
}

// TestHonestAnswers: no answer from less than the floor, none marked whole that is not, over both steps.
func TestHonestAnswers(t *testing.T) {
	for _, c := range []struct {
		name  string
		floor float64
		ok    int
		kind  ActionKind
		whole bool
	}{
		{"all in", 0.5, 4, Answer, true},
		{"above the floor", 0.5, 3, Answer, false},
		{"under the floor", 0.5, 1, Reject, false},
		{"no partial answers", 1, 3, Reject, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.Limits.MaxAttempts = 1
			set.Classes[0].MinShare, set.Classes[0].PartialShare = c.floor, 1
			b := newHarness(t, set, members("a", "b", "c")...)
			b.step(asks("q", 900*ms, 0, 1, 2, 0)...)
			for i := range c.ok {
				b.step(ended(fmt.Sprint("q/", i), 0, OK))
			}
			all := b.last
			all = append(all, b.after(time.Second)...)
			got := append(only(all, Answer), only(all, Reject)...)
			if len(got) != 1 || got[0].Kind != c.kind || got[0].Complete != c.whole {
				t.Errorf("got %+v, want kind %d whole %v", got, c.kind, c.whole)
			}
		})
	}
}

// TestSecondStep: the first answer opens the second step, the second one ends the query.
func TestSecondStep(t *testing.T) {
	set := testSettings()
	set.Classes[0].FetchParts = 1
	b := newHarness(t, set, members("a", "b", "c")...)
	b.step(asks("q", 3*time.Second, 0)...)
	first := only(b.step(ended("q/0", 0, OK)), Answer)
	b.step(Event{Kind: PartArrived, Query: "q", Part: "s", Shard: 0, Weight: 1})
	second := only(b.step(ended("s", 0, OK)), Answer)
	if len(first) != 1 || first[0].Final || len(second) != 1 || !second[0].Final || !second[0].Complete {
		t.Errorf("answers %+v and %+v, want one that opens the second step and one final and whole", first, second)
	}
}

// TestBudget: further attempts stay within the ration of any window, at its edge too.
func TestBudget(t *testing.T) {
	set := testSettings()
	set.Rules.RetryWindow, set.Rules.RetryFloor, set.Rules.RetryRatio = time.Second, 2, 0.1
	set.Limits.MaxAttempts = 10
	b := newHarness(t, set, members("a", "b", "c")...)
	var taken, extras []time.Duration
	within := func(at []time.Duration) (n int) {
		for _, t := range at {
			if t > b.now-time.Second {
				n++
			}
		}
		return n
	}
	for i := range 600 {
		id := fmt.Sprint(i)
		acts := b.step(asks(id, 3*time.Second, i%3)...)
		taken = append(taken, b.now, b.now)
		b.now += 7 * ms
		var events []Event
		for _, s := range only(acts, Send) {
			events = append(events, ended(s.Part, b.attempts[s.Part]-1, Errored))
		}
		for _, s := range only(b.step(events...), Send) {
			if b.attempts[s.Part] > 1 {
				if extras = append(extras, b.now); float64(within(extras)) > 2+0.1*float64(within(taken)) {
					t.Fatalf("step %d: %d further attempts for %d taken", i, within(extras), within(taken))
				}
			}
		}
	}
	if len(extras) == 0 {
		t.Error("no further attempt at all")
	}
}

// TestLongRandomRun drives random events and asserts the rules with accounts of its own; memory stays
// bounded.
func TestLongRandomRun(t *testing.T) {
	for seed := range uint64(6) {
		set := testSettings()
		set.Limits.Hedging, set.Limits.Probes, set.Limits.Gossip = seed%2 == 0, seed%3 == 0, seed%2 == 1
		set.Classes[0].Effect, set.Classes[0].DedupWindow = Effect(seed%3), 300*ms
		randomRun(t, set, members("a", "b", "c"), seed)
	}
}

// TestLongRandomRunWide does the same as one of eighty nodes over 120 replicas in two and three zones, with shared
// calls and every effect a class can have.
func TestLongRandomRunWide(t *testing.T) {
	for seed := range uint64(4) {
		set, all := fleetSettings(120, 2+int(seed%2), 80)
		for i := range all {
			all[i].Zone = fmt.Sprint("z", i%(2+int(seed%2)))
		}
		set.Zone = "z0"
		set.Limits.Hedging = seed%2 == 0
		set.Limits.MaxBatch, set.CallCost = 1+int(seed%3)*8, time.Duration(seed%3)*20*ms
		set.Classes[0].Effect, set.Classes[0].DedupWindow = Effect(seed%3), 300*ms
		randomRun(t, set, all, seed)
	}
}

func randomRun(t *testing.T, set Settings, all []Member, seed uint64) {
	b := newHarness(t, set, all...)
	rng := rand.New(rand.NewPCG(seed, 1))
	type attempt struct {
		part string
		n    int
	}
	var out []attempt
	due := map[string]time.Duration{}
	ran, flying := map[string]bool{}, map[string]int{} // of parts: may have run, attempts out
	told := map[attempt]bool{}
	unsafe := set.Classes[0].Effect == Unsafe
	barred := map[string]bool{}
	var probed []Event
	stray := []EventKind{0, PartArrived, AttemptEnded, ClientGone, Wakeup, ListCallFailed, ProbeEnded, 77}
	for i := range 6000 {
		b.now += time.Duration(rng.IntN(30)) * ms
		if rng.IntN(300) == 0 {
			b.now += 2 * time.Second // the node stood still
		}
		events := probed
		probed = nil
		if rng.IntN(3) == 0 {
			id := fmt.Sprint(i)
			due[id] = b.now + time.Second
			events = append(events, asks(id, time.Second, rng.IntN(set.Shards), rng.IntN(set.Shards))...)
		}
		if len(out) > 0 && rng.IntN(4) > 0 {
			k := rng.IntN(len(out))
			o := Outcome(rng.IntN(12))
			if events = append(events, ended(out[k].part, out[k].n, o)); !told[out[k]] {
				told[out[k]] = true
				flying[out[k].part]--
				ran[out[k].part] = ran[out[k].part] || o != Rejected && o != ConnectFailed && o != ConnectTimeout && o != NotSent
			}
			if rng.IntN(10) > 0 { // else it is told twice
				out = append(out[:k], out[k+1:]...)
			}
		}
		if rng.IntN(50) == 0 {
			m := all[rng.IntN(len(all))]
			m.State, m.Started = State(rng.IntN(3)), b.now*time.Duration(rng.IntN(2))
			barred[m.Replica] = m.State != Serving
			events = append(events, Event{Kind: ListChanged, Members: []Member{m}})
		}
		events = append(events, Event{Kind: stray[rng.IntN(len(stray))], Query: "none", Part: "none",
			Replica: "none", Attempt: -1, Class: -1, Shard: -5, Tenant: 77})
		if rng.IntN(20) == 0 {
			junk := make([]byte, rng.IntN(300))
			for k := range junk {
				junk[k] = byte(rng.IntN(256))
			}
			events = append(events, Event{Kind: GossipReceived, Data: junk})
		}
		for _, act := range b.step(events...) {
			switch act.Kind {
			case SendGossip:
				if !set.Limits.Gossip || len(act.Data) == 0 || len(act.Data) > 256 {
					t.Fatalf("seed %d: a message of %d bytes", seed, len(act.Data))
				}
			case Send:
				if unsafe && (ran[act.Part] || flying[act.Part] > 0) {
					t.Fatalf("seed %d: %s may run twice", seed, act.Part)
				}
				flying[act.Part]++
				out = append(out, attempt{act.Part, b.attempts[act.Part] - 1})
				if b.attempts[act.Part] > set.Limits.MaxAttempts {
					t.Fatalf("seed %d: %d attempts of %s", seed, b.attempts[act.Part], act.Part)
				}
				if barred[act.Replica] {
					t.Fatalf("seed %d: sent to %s, which drains", seed, act.Replica)
				}
				if _, open := due[act.Part[:len(act.Part)-2]]; !open {
					t.Fatalf("seed %d: %s sent after its query ended", seed, act.Part)
				}
			case Probe:
				if rng.IntN(2) == 0 {
					probed = append(probed, Event{Kind: ProbeEnded, Replica: act.Replica, Outcome: Outcome(rng.IntN(5))})
				}
			case Answer, Reject, Fail:
				if _, open := due[act.Query]; !open && act.Query != "none" {
					t.Fatalf("seed %d: %s ended twice", seed, act.Query)
				}
				delete(due, act.Query)
				for _, part := range []string{act.Query + "/0", act.Query + "/1"} {
					if unsafe && act.Kind == Reject && (ran[part] || flying[part] > 0) {
						t.Fatalf("seed %d: %s refused though %s may have run", seed, act.Query, part)
					}
				}
			}
		}
		for id, end := range due {
			if end+30*ms < b.now {
				t.Fatalf("seed %d: %s was lost", seed, id)
			}
		}
	}
	if len(b.aggregator.queries.byID) > 100 || len(b.aggregator.queries.parts) > 3000 || len(b.aggregator.queries.live) > 100 {
		t.Errorf("seed %d: %d queries, %d parts held", seed, len(b.aggregator.queries.byID), len(b.aggregator.queries.parts))
	}
}

// TestRoundedWeights: a wire that carries weights of six decimals makes twelve parts weigh 0.999996 together;
// the answer from all of them is whole, and one from eleven is not.
func TestRoundedWeights(t *testing.T) {
	set := testSettings()
	set.Shards = 12
	set.Classes[0].MinShare, set.Classes[0].PartialShare = 0.5, 0.9
	for _, missing := range []int{0, 1} {
		b := newHarness(t, set, members("a", "b", "c")...)
		events := asks("q", 900*ms, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)
		for i := range events {
			events[i].Weight = 0.083333
		}
		b.step(events...)
		var in []Event
		for i := range 12 - missing {
			in = append(in, ended(fmt.Sprintf("q/%d", i), 0, OK))
		}
		answers := only(append(b.step(in...), b.after(900*ms)...), Answer)
		if len(answers) != 1 || answers[0].Complete != (missing == 0) {
			t.Errorf("%d parts missing: got %+v", missing, answers)
		}
	}
}
