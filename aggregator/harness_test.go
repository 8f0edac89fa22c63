package aggregator

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns settings for a small fleet: three shard sets of one replica each, every shard held by all of them.
func testSettings() Settings {
	return Settings{
		Aggregators: 1, Tick: 5 * time.Millisecond, ShardSets: 3, Shards: 3, Reach: 3,
		Classes: []Class{{Name: "c", LatencyObjective: time.Second, Deadline: 3 * time.Second, Priority: 1, CompleteShare: 1, MinShare: 1}},
		Limits:  Limits{MaxAttempts: 3, MaxBatch: 1, CanCancel: true, SendRetryAfter: true, MaxRetryAfter: time.Second},
		Rules: Rules{DrainGrace: 250 * time.Millisecond, OverloadMultiple: 3, OverloadWindow: time.Second, InitialCapacity: 0.2,
			WarmupTime: 10 * time.Second},
	}
}

// fleetSettings returns settings and members for n replicas, each in its own shard set, with every shard held by reach of
// them.
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

func members(names ...string) (list []Member) {
	for i, n := range names {
		list = append(list, Member{Replica: n, ShardSet: i})
	}
	return list
}

// harness drives one aggregator step by step and counts the attempts independently.
type harness struct {
	t          *testing.T
	settings   Settings
	aggregator *Aggregator
	now        time.Duration
	attempts   map[string]int // number of attempts by part
	queries    int            // number of queries that answerQueries has sent
	last       []Action
}

func newHarness(t *testing.T, set Settings, members ...Member) *harness {
	t.Helper()
	a, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, settings: set, aggregator: a, now: 100 * time.Second, attempts: map[string]int{}}
	h.step(Event{Kind: ListCached, Members: members})
	return h
}

func (h *harness) step(events ...Event) []Action {
	h.last = h.aggregator.Step(h.now, events, nil)
	for _, act := range h.last {
		if act.Kind == Send {
			h.attempts[act.Part]++
		}
	}
	return h.last
}

// runFor steps once a tick until d has passed and returns all actions.
func (h *harness) runFor(d time.Duration) (all []Action) {
	for end := h.now + d; h.now < end; {
		h.now += h.settings.Tick
		all = append(all, h.step(Event{Kind: Wakeup})...)
	}
	return all
}

// queryEvents returns the events of a query with one part on each of the given shards.
func queryEvents(id string, left time.Duration, shards ...int) []Event {
	events := []Event{{Kind: QueryArrived, Query: id, Tenant: -1, PartCount: len(shards), TimeLeft: left}}
	for i, s := range shards {
		events = append(events, Event{Kind: PartArrived, Query: id, Part: fmt.Sprintf("%s/%d", id, i), Shard: s,
			Weight: 1 / float64(len(shards))})
	}
	return events
}

func attemptEnded(part string, attempt int, o Outcome) Event {
	return Event{Kind: AttemptEnded, Part: part, Attempt: attempt, Outcome: o}
}

func actionsOf(actions []Action, kind ActionKind) (found []Action) {
	for _, a := range actions {
		if a.Kind == kind {
			found = append(found, a)
		}
	}
	return found
}

// answerQueries runs n queries of one part, one after the other. Each is answered after 50 ms, except by the hung replicas,
// which don't answer.
func (h *harness) answerQueries(n int, hung ...string) {
	for range n {
		h.queries++
		id := fmt.Sprint("answered", h.queries)
		sends := actionsOf(h.step(queryEvents(id, 3*time.Second, h.queries%h.settings.Shards)...), Send)
		h.runFor(50 * ms)
		if len(sends) == 1 && !slices.Contains(hung, sends[0].Replica) {
			h.step(attemptEnded(sends[0].Part, 0, OK))
		}
	}
}

// reactingFleet drives one aggregator whose replicas answer as determined by react.
type reactingFleet struct {
	*harness
	queries int
	sends   map[string]int // number of sends by replica in the last run
	react   func(replica string) (Outcome, time.Duration)
	due     []dueOutcome
}

type dueOutcome struct {
	at time.Duration
	e  Event
}

func newReactingFleet(t *testing.T, set Settings, react func(string) (Outcome, time.Duration)) *reactingFleet {
	t.Helper()
	return &reactingFleet{harness: newHarness(t, set, members("a", "b", "c")...), sends: map[string]int{}, react: react}
}

// run simulates the time d, with a query of one part at each interval, and returns all actions.
func (f *reactingFleet) run(d, interval time.Duration) (all []Action) {
	f.sends = map[string]int{}
	nextQuery := f.now
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
		if f.now >= nextQuery {
			nextQuery += interval
			f.queries++
			events = append(events, queryEvents(fmt.Sprint(f.queries), time.Second, f.queries%3)...)
		}
		for _, act := range f.step(append(events, Event{Kind: Wakeup})...) {
			all = append(all, act)
			if act.Kind == Cancel {
				f.due = append(f.due, dueOutcome{f.now + f.settings.Tick, attemptEnded(act.Part, act.Attempt, Cancelled)})
			}
			if act.Kind == Probe {
				reply := Event{Kind: ProbeEnded, Replica: act.Replica, Outcome: OK}
				f.due = append(f.due, dueOutcome{f.now + f.settings.Tick, reply})
			}
			if act.Kind == Send {
				f.sends[act.Replica]++
				if outcome, took := f.react(act.Replica); outcome != NotSent {
					f.due = append(f.due, dueOutcome{f.now + took, attemptEnded(act.Part, f.attempts[act.Part]-1, outcome)})
				}
			}
		}
	}
	return all
}
