package aggregator

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestAnswerOpensNoStepAtTheEnd: a class with a second step is not answered where no time is left for it;
// such an answer would end nothing, and the query would be lost.
func TestAnswerOpensNoStepAtTheEnd(t *testing.T) {
	set := testSettings()
	set.Classes[0].FetchParts, set.Classes[0].MinShare, set.Classes[0].PartialShare = 2, 0.5, 0.9
	b := newHarness(t, set, members("a", "b", "c")...)
	b.step(asks("q", 900*ms, 0, 1)...)
	b.step(ended("q/0", 0, OK))
	b.now += 890 * ms
	acts := b.step(Event{Kind: Wakeup})
	if len(only(acts, Answer)) > 0 || len(only(acts, Reject)) != 1 {
		t.Errorf("got %+v, want one refusal", acts)
	}
}

// TestStandstill: a query ends so early that a standstill of the node up to a fifth of the deadline, or as
// long as one seen, does not lose it.
func TestStandstill(t *testing.T) {
	for _, seen := range []time.Duration{0, 800 * ms} {
		set := testSettings()
		set.Classes[0].LateShare = 0.9
		b := newHarness(t, set, members("a", "b", "c")...)
		if seen > 0 {
			b.step(asks("first", 3*time.Second, 0)...)
			b.now += only(b.last, Wake)[0].After + seen
			b.step(Event{Kind: Wakeup})
		}
		start := b.now
		b.step(asks("q", 2*time.Second, 1)...)
		for i := 0; b.aggregator.queries.byID["q"] != nil && i < 1000; i++ {
			b.after(set.Tick)
		}
		if left := start + 2*time.Second - b.now; left < max(600*ms, seen) {
			t.Errorf("seen %v: the query ended %v before its end", seen, left)
		}
	}
}

// TestListIsAskedAgain: an idle node asks for the list soon after its start and after each refusal, woken
// for it, well within the time after which the drain rule takes the list as told; nodes don't ask in step.
func TestListIsAskedAgain(t *testing.T) {
	var times [][]time.Duration
	for seed := range uint64(20) {
		set := testSettings()
		set.PollList, set.Rules.PollInterval = true, 10*time.Second
		a, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		now := 50 * time.Second
		events := []Event{{Kind: ListCached, Members: members("a", "b", "c")}}
		var asked []time.Duration
		for len(asked) < 6 {
			acts := a.Step(now, events, nil)
			events = []Event{{Kind: Wakeup}}
			if len(only(acts, PollEndpoints)) > 0 {
				asked = append(asked, now)
				now += 300 * ms
				events = []Event{{Kind: ListCallFailed}}
				continue
			}
			wakes := only(acts, Wake)
			if len(wakes) == 0 {
				t.Fatalf("seed %d: no wake after %d calls", seed, len(asked))
			}
			now += wakes[0].After
			if last := append([]time.Duration{50 * time.Second}, asked...); now-last[len(last)-1] > 3*time.Second {
				t.Fatalf("seed %d: %v without a call", seed, now-last[len(last)-1])
			}
		}
		times = append(times, asked)
	}
	for i := range 6 {
		var at []time.Duration
		for _, asked := range times {
			at = append(at, asked[i])
		}
		if slices.Sort(at); at[len(at)-1]-at[0] < 300*ms {
			t.Errorf("call %d of 20 nodes comes within %v", i, at[len(at)-1]-at[0])
		}
	}
}

// TestResetOnIdleConnection: a reset at once on a connection out of use is the connection's fault. The
// replica is not struck nor taken for cold, the query is not ended, and the part goes on a new connection.
func TestResetOnIdleConnection(t *testing.T) {
	set, all := fleetSettings(12, 3, 10)
	b := newHarness(t, set, all...)
	shards := []int{0, 3, 6, 9}
	b.step(asks("warm", time.Second, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)...)
	b.now += 50 * ms
	for i := range 12 {
		b.step(ended(fmt.Sprint("warm/", i), 0, OK))
	}
	b.now += 2 * time.Second
	b.step(asks("q", time.Second, shards...)...)
	var events []Event
	for i := range shards {
		events = append(events, ended(fmt.Sprint("q/", i), 0, Reset))
	}
	b.now += 2 * ms
	acts := b.step(events...)
	for range 10 {
		if len(only(acts, Reject)) > 0 {
			t.Fatal("the query was refused")
		}
		events = events[:0]
		for _, s := range only(acts, Send) {
			if b.attempts[s.Part] == 2 && !slices.ContainsFunc(acts, func(c Action) bool {
				return c.Kind == CloseIdle && c.Replica == s.Replica
			}) {
				t.Errorf("%s was sent again on an idle connection", s.Part)
			}
			events = append(events, ended(s.Part, b.attempts[s.Part]-1, OK))
		}
		b.now += 50 * ms
		acts = b.step(append(events, Event{Kind: Wakeup})...)
	}
	if b.aggregator.queries.byID["q"] != nil {
		t.Error("the query was not answered")
	}
	for _, r := range b.aggregator.endpoints.replicas {
		if r.slowStart.active || r.outlier.ejected || r.outlier.failures > 0 {
			t.Errorf("%s: cold %v, ejected %v, %v strikes", r.member.Replica, r.slowStart.active, r.outlier.ejected, r.outlier.failures)
		}
	}
}

// TestUnsafePartsUseSoundConnections: one sign of dead connections is enough to close idle ones before a
// part that may not run twice; others wait for a second sign.
func TestUnsafePartsUseSoundConnections(t *testing.T) {
	for _, c := range []struct {
		effect Effect
		closes int
	}{{Safe, 0}, {Unsafe, 1}} {
		set := testSettings()
		set.Classes = append(set.Classes, set.Classes[0])
		set.Classes[1].Effect = c.effect
		b := newHarness(t, set, members("a", "b", "c")...)
		b.step(asks("warm", time.Second, 0, 1, 2)...)
		b.now += 50 * ms
		for i := range 3 {
			b.step(ended(fmt.Sprint("warm/", i), 0, OK))
		}
		b.now += time.Second
		b.step(asks("q", time.Second, 0)...)
		b.now += 2 * ms
		b.step(ended("q/0", 0, Reset)) // goes on, on a new connection
		b.step(ended("q/0", 1, OK))
		b.now += 1500 * ms
		events := asks("u", time.Second, 1)
		events[0].Class = 1
		if got := len(only(b.step(events...), CloseIdle)); got != c.closes {
			t.Errorf("effect %d: %d connections closed, want %d", c.effect, got, c.closes)
		}
	}
}

// TestSlowestPartDecides: where the whole fleet has a queue, a query of many parts is refused that can't be
// expected to have all of them in time, and one of a single part is let in; where only a few replicas are
// late, both are let in.
func TestSlowestPartDecides(t *testing.T) {
	for _, busy := range []bool{true, false} {
		set, all := fleetSettings(30, 3, 1)
		b := newHarness(t, set, all...)
		for i := range 300 {
			id := fmt.Sprint(i)
			b.step(asks(id, time.Second, i%30)...)
			took := 30 * ms
			if late := only(b.last, Send); i > 60 && len(late) > 0 && (busy || late[0].Replica == "r1") {
				took = 150 * ms
			}
			b.after(took)
			b.step(ended(id+"/0", 0, OK))
		}
		many := make([]int, 100)
		for i := range many {
			many[i] = i % 30
		}
		refused := len(only(b.step(asks("many", time.Second, many...)...), Reject)) == 1
		if refused != busy {
			t.Errorf("busy %v: the query of many parts refused %v", busy, refused)
		}
		if len(only(b.step(asks("one", time.Second, 1)...), Reject)) > 0 {
			t.Errorf("busy %v: the query of one part was refused", busy)
		}
	}
}

// TestOvertakenPartIsChased: a part whose replica answers what was sent later has lost its answer. Where
// nearly all others of its query are in, it goes to another holder once it stands out, though its replica is
// neither silent nor ejected; where it is one of two, it may just be costly.
func TestOvertakenPartIsChased(t *testing.T) {
	for parts, want := range map[int]int{9: 2, 2: 1} {
		set := testSettings()
		set.Limits.Hedging = true
		f := newFleet(t, set, func(string) (Outcome, time.Duration) { return OK, 50 * ms })
		f.run(3*time.Second, 5*ms)
		shards := make([]int, parts)
		for i := range shards {
			shards[i] = i % 3
		}
		for i, s := range only(f.step(asks("q", time.Second, shards...)...), Send) {
			if i > 0 { // the first answer never comes
				f.due = append(f.due, dueOutcome{f.now + 50*ms, ended(s.Part, 0, OK)})
			}
		}
		f.run(600*ms, 5*ms)
		if n := f.attempts["q/0"]; n != want {
			t.Errorf("%d parts: %d attempts of the one whose answer was lost, want %d", parts, n, want)
		}
	}
}

// TestWhatIsGoneIsForgotten: replicas come under new names for as long as a node runs, and queries without end;
// what the node holds must not grow with them.
// One that was there a short while ago, or owes an answer, is kept.
func TestWhatIsGoneIsForgotten(t *testing.T) {
	b := newHarness(t, testSettings(), members("a", "b", "c")...)
	for i := range 500 {
		was, is := fmt.Sprint("r", i), fmt.Sprint("r", i+1)
		fresh := members(is)[0]
		fresh.ShardSet = i % b.aggregator.settings.ShardSets
		old := Member{Replica: was, ShardSet: (i + b.aggregator.settings.ShardSets - 1) % b.aggregator.settings.ShardSets, State: Gone}
		b.step(Event{Kind: ListChanged, Members: []Member{old, fresh}})
		b.now += 10 * time.Second
		q := fmt.Sprint("q", i)
		for _, s := range only(b.step(asks(q, time.Second, i%b.aggregator.settings.Shards)...), Send) {
			b.step(Event{Kind: AttemptEnded, Part: s.Part, Replica: s.Replica, Outcome: OK})
		}
	}
	a := b.aggregator
	held := 0
	for _, cell := range a.endpoints.shardSets {
		held += len(cell)
	}
	// Those of the last 40 s and the one listed, beside the three of the start.
	if most := 4 + 5; len(a.endpoints.replicas) > most || len(a.endpoints.byName) > most || len(a.endpoints.byTag) > most || held > most {
		t.Errorf("%d replicas, %d names, %d tags, %d in cells", len(a.endpoints.replicas), len(a.endpoints.byName), len(a.endpoints.byTag), held)
	}
	if len(a.retryBudget.accepted.times)+len(a.retryBudget.retries.times)+len(a.queries.byID)+len(a.queries.parts)+len(a.queries.live) > 0 {
		t.Errorf("%d taken, %d extras, %d queries, %d parts", len(a.retryBudget.accepted.times), len(a.retryBudget.retries.times), len(a.queries.byID), len(a.queries.parts))
	}
	sent := only(b.step(asks("last", time.Hour, 0)...), Send)[0]
	b.step(Event{Kind: ListReplaced})
	b.now += time.Second
	b.step(Event{Kind: Wakeup})
	if a.endpoints.byName[sent.Replica] == nil {
		t.Error("a replica that owes an answer is forgotten")
	}
	b.step(Event{Kind: AttemptEnded, Part: sent.Part, Replica: sent.Replica, Outcome: OK})
	b.now += time.Minute
	b.step(Event{Kind: Wakeup})
	if len(a.endpoints.replicas) > 0 {
		t.Errorf("%d replicas are held of an empty list", len(a.endpoints.replicas))
	}
}
