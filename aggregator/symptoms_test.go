package aggregator

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// fleet is a hand-driven fleet whose replicas answer as told by react.
type fleet struct {
	*harness
	asked int
	got   map[string]int // first sends by replica
	react func(replica string) (Outcome, time.Duration)
	due   []dueOutcome
}

type dueOutcome struct {
	at time.Duration
	e  Event
}

func newFleet(t *testing.T, set Settings, react func(string) (Outcome, time.Duration)) *fleet {
	return &fleet{harness: newHarness(t, set, members("a", "b", "c")...), got: map[string]int{}, react: react}
}

// run plays d with a query of one part at each interval and returns all actions.
func (f *fleet) run(d, interval time.Duration) (all []Action) {
	f.got = map[string]int{}
	ask := f.now
	for end := f.now + d; f.now < end; f.now += f.settings.Tick {
		var events []Event
		var later []dueOutcome
		for _, o := range f.due {
			if o.at <= f.now {
				events = append(events, o.e)
			} else {
				later = append(later, o)
			}
		}
		f.due = later
		if f.now >= ask {
			ask += interval
			f.asked++
			events = append(events, asks(fmt.Sprint(f.asked), time.Second, f.asked%3)...)
		}
		for _, act := range f.step(append(events, Event{Kind: Wakeup})...) {
			all = append(all, act)
			if act.Kind == Cancel {
				f.due = append(f.due, dueOutcome{f.now + f.settings.Tick, ended(act.Part, act.Attempt, Cancelled)})
			}
			if act.Kind == Probe {
				back := Event{Kind: ProbeEnded, Replica: act.Replica, Outcome: OK}
				f.due = append(f.due, dueOutcome{f.now + f.settings.Tick, back})
			}
			if act.Kind == Send {
				f.got[act.Replica]++
				if outcome, took := f.react(act.Replica); outcome != NotSent {
					f.due = append(f.due, dueOutcome{f.now + took, ended(act.Part, f.attempts[act.Part]-1, outcome)})
				}
			}
		}
	}
	return all
}

// TestSymptoms: a replica that shows a symptom loses its traffic while it lasts and regains it
// afterwards. A reaction of Moot stands for silence.
func TestSymptoms(t *testing.T) {
	for name, bad := range map[string]struct {
		outcome Outcome
		took    time.Duration
	}{
		"quick errors":    {Errored, 5 * ms},
		"silence":         {NotSent, 0},
		"failed connects": {ConnectFailed, 20 * ms},
		"resets":          {Reset, 20 * ms},
		"slow":            {OK, 600 * ms},
	} {
		for _, probes := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", probes ", probes), func(t *testing.T) {
				sick := false
				set := testSettings()
				set.Limits.Probes = probes
				f := newFleet(t, set, func(r string) (Outcome, time.Duration) {
					if sick && r == "a" {
						return bad.outcome, bad.took
					}
					return OK, 50 * ms
				})
				f.run(3*time.Second, 20*ms)
				if f.got["a"] < 30 {
					t.Fatalf("healthy replica got %d of 150 parts", f.got["a"])
				}
				sick = true
				f.run(2*time.Second, 20*ms)
				f.run(4*time.Second, 20*ms)
				if f.got["a"] > 20 {
					t.Errorf("the sick replica got %d of 200 parts", f.got["a"])
				}
				sick = false
				f.run(16*time.Second, 20*ms)
				f.run(3*time.Second, 20*ms)
				if f.got["a"] < 25 {
					t.Errorf("the healed replica got %d of 150 parts", f.got["a"])
				}
			})
		}
	}
}

// TestFullReplicaIsLeftAlone: a replica that turns work away holds nothing of ours and must not draw the
// retries.
func TestFullReplicaIsLeftAlone(t *testing.T) {
	full := false
	f := newFleet(t, testSettings(), func(r string) (Outcome, time.Duration) {
		if full && r == "a" {
			return Rejected, 2 * ms
		}
		return OK, 50 * ms
	})
	f.run(3*time.Second, 20*ms)
	full = true
	f.run(3*time.Second, 20*ms)
	if f.got["a"] > 40 {
		t.Errorf("the full replica got %d of 150 parts", f.got["a"])
	}
}

// TestShardKeepsAHolder: where every holder errs, parts still go out; opinion never empties a shard.
func TestShardKeepsAHolder(t *testing.T) {
	bad := true
	f := newFleet(t, testSettings(), func(string) (Outcome, time.Duration) {
		if bad {
			return Errored, 5 * ms
		}
		return OK, 50 * ms
	})
	f.run(3*time.Second, 50*ms)
	bad = false
	f.run(12*time.Second, 50*ms)
	if answers := only(f.run(2*time.Second, 50*ms), Answer); len(answers) < 35 {
		t.Errorf("%d of 40 queries answered after all have healed", len(answers))
	}
}

// TestOverloadEnds: under more load than can be served, queries are refused at once with a return time,
// and when the load goes all are answered again.
func TestOverloadEnds(t *testing.T) {
	load := 0
	f := newFleet(t, testSettings(), nil)
	f.react = func(string) (Outcome, time.Duration) { return OK, time.Duration(50+load) * ms }
	f.run(3*time.Second, 20*ms)
	load = 900
	refused := only(f.run(4*time.Second, 20*ms), Reject)
	if len(refused) < 50 {
		t.Errorf("%d of 200 queries refused under overload", len(refused))
	}
	for _, r := range refused {
		if r.After <= 0 {
			t.Fatalf("query %s refused without a return time", r.Query)
		}
	}
	load = 0
	f.run(5*time.Second, 20*ms)
	if answers := only(f.run(2*time.Second, 20*ms), Answer); len(answers) < 90 {
		t.Errorf("%d of 100 queries answered after the load has gone", len(answers))
	}
}

// TestNewNamesTheField: settings that can't be served are refused by the field's name.
func TestNewNamesTheField(t *testing.T) {
	for want, spoil := range map[string]func(*Settings){
		"Cells":      func(s *Settings) { s.ShardSets = 0 },
		"Shards":     func(s *Settings) { s.Shards = 0 },
		"Reach":      func(s *Settings) { s.Reach = 9 },
		"Classes":    func(s *Settings) { s.Classes = nil },
		"Classes[0]": func(s *Settings) { s.Classes[0].LatencyObjective = -1 },
		"Rules":      func(s *Settings) { s.Rules.OverloadMultiple = -1 },
	} {
		set := testSettings()
		spoil(&set)
		if _, err := New(set, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v", want, err)
		}
	}
}

// BenchmarkPart reports the time and allocations of a part from its arrival to its answer.
func BenchmarkPart(b *testing.B) {
	a, err := New(testSettings(), 1)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Second
	a.Step(now, []Event{{Kind: ListCached, Members: members("a", "b", "c")}}, nil)
	var out []Action
	b.ReportAllocs()
	for i := range b.N {
		id := fmt.Sprint(i)
		out = a.Step(now, asks(id, time.Second, i%3), out[:0])
		now += 10 * ms
		out = a.Step(now, []Event{ended(id+"/0", 0, OK)}, out[:0])
	}
}

// TestPatience: a part is left alone until it stands out among its class, well past the latency that one in
// twenty exceeds; chased sooner, parts that are only slow lose the work done on them and use up their tries.
func TestPatience(t *testing.T) {
	set := testSettings()
	set.Classes[0].LatencyObjective, set.Classes[0].Deadline = 4*time.Second, 8*time.Second
	b := newHarness(t, set, members("a", "b", "c")...)
	for i := range 60 {
		id := fmt.Sprintf("warm%d", i)
		b.step(asks(id, 6*time.Second, i%3)...)
		b.now += 100 * ms
		b.step(ended(id+"/0", 0, OK))
	}
	q := &query{}
	if got := b.aggregator.hedgeDelay(q); got < 0.35 || got > 0.6 {
		t.Errorf("parts take 0.1 s and one is chased after %.2f s, want about four times as long", got)
	}
	b.aggregator.latencyOf(q).tail.value = 1.0
	if got := b.aggregator.hedgeDelay(q); got != 2.0 {
		t.Errorf("one part in twenty takes 1 s and one is chased after %.2f s, want 2", got)
	}
}
