package aggregator

import (
	"fmt"
	"testing"
	"time"
)

// TestEveryQueryGetsOneFinalAnswerInTime checks that a query gets exactly one final answer in time, even if no attempt ever
// ends and a late answer earns as much as one in time.
func TestEveryQueryGetsOneFinalAnswerInTime(t *testing.T) {
	set := testSettings()
	set.Classes[0].LateShare = 1
	h := newHarness(t, set, members("a", "b", "c")...)
	start, left := h.now, 1700*ms
	h.step(queryEvents("q", left, 0)...)
	finals := 0
	for h.now < start+3*time.Second {
		for _, act := range h.runFor(h.settings.Tick) {
			switch act.Kind {
			case Answer, Reject, Fail:
				if finals++; h.now > start+left {
					t.Errorf("final answer %v after the start", h.now-start)
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

// TestQueryIsFailedOnceAnUnsafePartMayHaveRun checks that a query is failed and not rejected once an unsafe part may have
// run.
func TestQueryIsFailedOnceAnUnsafePartMayHaveRun(t *testing.T) {
	for outcome, want := range map[Outcome]ActionKind{Errored: Fail, Rejected: Reject} {
		set := testSettings()
		set.Classes[0].Effect, set.Limits.MaxAttempts = Unsafe, 1
		h := newHarness(t, set, members("a", "b", "c")...)
		h.step(queryEvents("q", 3*time.Second, 0)...)
		if got := actionsOf(h.step(attemptEnded("q/0", 0, outcome)), want); len(got) != 1 {
			t.Errorf("outcome %d: no action of kind %d in %v", outcome, want, h.last)
		}
	}
}

// TestQueryIsFailedWhileAnUnsafePartIsOpen checks that a query with an open unsafe part is failed and not rejected at its
// deadline.
func TestQueryIsFailedWhileAnUnsafePartIsOpen(t *testing.T) {
	set := testSettings()
	set.Classes[0].Effect = Unsafe
	h := newHarness(t, set, members("a", "b", "c")...)
	h.step(queryEvents("q", time.Second, 0)...)
	all := h.runFor(2 * time.Second)
	if len(actionsOf(all, Fail)) != 1 || len(actionsOf(all, Reject)) != 0 {
		t.Errorf("got %v and %v, want one failure", actionsOf(all, Fail), actionsOf(all, Reject))
	}
}

// TestAnswerStatesWhetherItIsComplete checks that no answer is given below the smallest share, and that only complete
// answers are marked so.
func TestAnswerStatesWhetherItIsComplete(t *testing.T) {
	for _, c := range []struct {
		name     string
		minShare float64
		ok       int
		kind     ActionKind
		complete bool
	}{
		{"all answered", 0.5, 4, Answer, true},
		{"above the smallest share", 0.5, 3, Answer, false},
		{"below the smallest share", 0.5, 1, Reject, false},
		{"no partial answers", 1, 3, Reject, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.Limits.MaxAttempts = 1
			set.Classes[0].MinShare, set.Classes[0].PartialShare = c.minShare, 1
			h := newHarness(t, set, members("a", "b", "c")...)
			h.step(queryEvents("q", 900*ms, 0, 1, 2, 0)...)
			for i := range c.ok {
				h.step(attemptEnded(fmt.Sprint("q/", i), 0, OK))
			}
			all := h.last
			all = append(all, h.runFor(time.Second)...)
			got := append(actionsOf(all, Answer), actionsOf(all, Reject)...)
			if len(got) != 1 || got[0].Kind != c.kind || got[0].Complete != c.complete {
				t.Errorf("got %+v, want kind %d, complete %v", got, c.kind, c.complete)
			}
		})
	}
}

// TestFirstAnswerOpensTheSecondPhase checks that the first answer opens the second phase and that the second answer ends
// the query.
func TestFirstAnswerOpensTheSecondPhase(t *testing.T) {
	set := testSettings()
	set.Classes[0].SecondPhaseParts = 1
	h := newHarness(t, set, members("a", "b", "c")...)
	h.step(queryEvents("q", 3*time.Second, 0)...)
	first := actionsOf(h.step(attemptEnded("q/0", 0, OK)), Answer)
	h.step(Event{Kind: PartArrived, Query: "q", Part: "s", Shard: 0, Weight: 1})
	second := actionsOf(h.step(attemptEnded("s", 0, OK)), Answer)
	if len(first) != 1 || first[0].Final || len(second) != 1 || !second[0].Final || !second[0].Complete {
		t.Errorf("answers %+v and %+v, want one that opens the second phase and one that is final and complete", first, second)
	}
}

// TestSecondPhaseWithoutAPartIsNotComplete checks that the answer of a second phase without one of its parts is not marked
// complete, though that part can't be answered any more.
func TestSecondPhaseWithoutAPartIsNotComplete(t *testing.T) {
	set := testSettings()
	set.Classes[0].MinShare, set.Classes[0].PartialShare, set.Classes[0].SecondPhaseParts = 0.5, 0.9, 2
	set.Limits.MaxAttempts = 1
	h := newHarness(t, set, members("a", "b", "c")...)
	h.step(queryEvents("q", 3*time.Second, 0, 1)...)
	h.step(attemptEnded("q/0", 0, OK), attemptEnded("q/1", 0, OK))
	second := []Event{{Kind: PartArrived, Query: "q", Part: "s0", Shard: 0, Weight: 0.5},
		{Kind: PartArrived, Query: "q", Part: "s1", Shard: 1, Weight: 0.5}}
	h.step(second...)
	all := h.step(attemptEnded("s0", 0, OK), attemptEnded("s1", 0, Errored))
	all = append(all, h.runFor(2*time.Second)...)
	answers := actionsOf(all, Answer)
	if len(answers) != 1 || answers[0].Complete {
		t.Errorf("got %+v, want one partial answer", answers)
	}
}

// TestPartialAnswerDespiteAShardWithoutReplicas checks that a query that permits partial answers is neither rejected for a
// shard without replicas nor ended for a part that may not be retried, and that time is left for its second phase.
func TestPartialAnswerDespiteAShardWithoutReplicas(t *testing.T) {
	set := testSettings()
	set.Shards, set.ShardSets, set.Reach = 4, 4, 1
	set.Classes[0].MinShare, set.Classes[0].PartialShare, set.Classes[0].SecondPhaseParts = 0.7, 0.9, 2
	set.Limits.MaxAttempts = 1
	h := newHarness(t, set, members("a", "b", "c")...) // the fourth shard set is empty
	h.step(queryEvents("hole", 3*time.Second, 0, 1, 2, 3)...)
	if len(actionsOf(h.last, Send)) != 3 {
		t.Fatalf("%d parts sent, want 3", len(actionsOf(h.last, Send)))
	}
	start := h.now
	h.runFor(20 * ms)
	var answers []Action
	h.step(attemptEnded("hole/0", 0, OK), attemptEnded("hole/1", 0, OK), attemptEnded("hole/2", 0, OK))
	for i := 0; len(answers) == 0 && i < 300; i++ {
		answers = actionsOf(h.runFor(set.Tick), Answer)
	}
	if len(answers) != 1 || answers[0].Complete || answers[0].Final || h.now-start > 800*ms {
		t.Errorf("after %v: %+v, want a partial first answer with time left for the second phase", h.now-start, answers)
	}
	h.step(queryEvents("lost", 3*time.Second, 0, 1, 2, 0)...)
	h.step(attemptEnded("lost/0", 0, Errored))
	if len(actionsOf(h.last, Reject)) > 0 {
		t.Error("the query ended for one part though the others suffice for an answer")
	}
	h.step(attemptEnded("lost/1", 0, Errored))
	if len(actionsOf(h.last, Reject)) != 1 {
		t.Error("the query did not end though the other parts don't suffice for an answer")
	}
}

// TestNoSecondPhaseWithoutTimeLeft checks that the first phase of a query is not answered if no time is left for the
// second: such an answer would not end the query, which would be lost.
func TestNoSecondPhaseWithoutTimeLeft(t *testing.T) {
	set := testSettings()
	set.Classes[0].SecondPhaseParts, set.Classes[0].MinShare, set.Classes[0].PartialShare = 2, 0.5, 0.9
	h := newHarness(t, set, members("a", "b", "c")...)
	h.step(queryEvents("q", 900*ms, 0, 1)...)
	h.step(attemptEnded("q/0", 0, OK))
	h.now += 890 * ms
	acts := h.step(Event{Kind: Wakeup})
	if len(actionsOf(acts, Answer)) > 0 || len(actionsOf(acts, Reject)) != 1 {
		t.Errorf("got %+v, want one rejection", acts)
	}
}

// TestRoundedWeightsMakeACompleteAnswer checks that the answer from all of twelve parts is complete though a wire format
// with six decimals makes their weights sum to 0.999996, and that one from eleven parts is not.
func TestRoundedWeightsMakeACompleteAnswer(t *testing.T) {
	set := testSettings()
	set.Shards = 12
	set.Classes[0].MinShare, set.Classes[0].PartialShare = 0.5, 0.9
	for _, missing := range []int{0, 1} {
		h := newHarness(t, set, members("a", "b", "c")...)
		events := queryEvents("q", 900*ms, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)
		for i := range events {
			events[i].Weight = 0.083333
		}
		h.step(events...)
		var in []Event
		for i := range 12 - missing {
			in = append(in, attemptEnded(fmt.Sprintf("q/%d", i), 0, OK))
		}
		answers := actionsOf(append(h.step(in...), h.runFor(900*ms)...), Answer)
		if len(answers) != 1 || answers[0].Complete != (missing == 0) {
			t.Errorf("%d parts missing: got %+v", missing, answers)
		}
	}
}
