package aggregator

import (
	"fmt"
	"testing"
	"time"
)

// TestRetryDependsOnEffectAndOutcome checks whether a part is sent again, depending on the effect of its class, the outcome
// of the first attempt and the deduplication window.
func TestRetryDependsOnEffectAndOutcome(t *testing.T) {
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
			h := newHarness(t, set, members("a", "b", "c")...)
			h.step(queryEvents("q", 3*time.Second, 0)...)
			h.now += c.late
			h.step(attemptEnded("q/0", 0, c.outcome))
			h.runFor(20 * ms)
			if h.attempts["q/0"] != c.want {
				t.Errorf("%d attempts, want %d", h.attempts["q/0"], c.want)
			}
		})
	}
}

// TestDedupWindowCountsFromTheFirstAttempt guards against a keyed part that is sent again after its deduplication window: a
// hedged request that ends first must not move the start of the window, which is the send time of the earliest attempt that may
// have run, in whichever order the attempts end.
func TestDedupWindowCountsFromTheFirstAttempt(t *testing.T) {
	const window = time.Second
	for _, c := range []struct {
		name          string
		first, hedged Outcome
		firstEndsAt   time.Duration // after its send
		hedgeEnds     bool          // before the first attempt does
		want          int
	}{
		{"the hedged request fails first, the first attempt after the window", Reset, Errored, 1300 * ms, true, 2},
		{"the hedged request fails first, the first attempt within the window", Reset, Errored, 850 * ms, true, 3},
		{"the hedged request is open, the first attempt fails after the window", Reset, 0, 1300 * ms, false, 2},
		{"only the hedged request may have run", ConnectFailed, Errored, 1300 * ms, true, 3},
		{"the hedged request never ran", Reset, Rejected, 1300 * ms, true, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.Limits.Hedging = true
			set.Classes[0].Effect, set.Classes[0].DedupWindow = Keyed, window
			set.Classes[0].LateShare = 0.5 // the query goes on after its objective
			h := newHarness(t, set, members("a", "b", "c")...)
			h.answerQueries(20)
			h.runFor(set.Tick)
			first := h.now
			h.step(queryEvents("q", 3*time.Second, 0)...)
			hung := h.last[0].Replica
			for h.attempts["q/0"] < 2 && h.now < first+window { // the others answer, so that the part is hedged
				h.answerQueries(1, hung)
			}
			if h.attempts["q/0"] != 2 {
				t.Fatalf("%d attempts after %v, want a hedged request", h.attempts["q/0"], h.now-first)
			}
			if c.hedgeEnds {
				h.step(attemptEnded("q/0", 1, c.hedged))
			}
			h.now = max(h.now, first+c.firstEndsAt)
			h.step(attemptEnded("q/0", 0, c.first))
			h.runFor(20 * ms)
			if h.attempts["q/0"] != c.want {
				t.Errorf("%d attempts, the last at most %v after the first; want %d", h.attempts["q/0"], h.now-first, c.want)
			}
		})
	}
}

// TestOverdueAttemptIsCancelledBeforeTheRetry checks that, without hedging, an overdue attempt is cancelled before the part
// is sent again.
func TestOverdueAttemptIsCancelledBeforeTheRetry(t *testing.T) {
	h := newHarness(t, testSettings(), members("a", "b", "c")...)
	h.step(queryEvents("q", 3*time.Second, 0)...)
	hung := h.last[0].Replica
	for i := range 6 { // the others answer, the hung replica does not
		id := fmt.Sprint("x", i)
		h.step(queryEvents(id, 3*time.Second, 0)...)
		h.now += 100 * ms
		if s := actionsOf(h.last, Send); len(s) == 1 && s[0].Replica != hung {
			h.step(attemptEnded(id+"/0", 0, OK))
		}
	}
	if h.attempts["q/0"] != 1 {
		t.Fatalf("%d attempts before any outcome, want 1", h.attempts["q/0"])
	}
	if h.aggregator.queries.parts["q/0"] == nil || !h.aggregator.queries.parts["q/0"].attempts[0].cancelled {
		t.Fatal("the unanswered attempt was not cancelled")
	}
	if s := actionsOf(h.step(attemptEnded("q/0", 0, Cancelled)), Send); len(s) != 1 || s[0].Replica == hung {
		t.Errorf("after the cancel: %v, want one send to another replica than %s", s, hung)
	}
}

// TestRetriesStayWithinTheirRatio checks that retries stay within their ratio in every sliding window.
func TestRetriesStayWithinTheirRatio(t *testing.T) {
	set := testSettings()
	set.Rules.RetryWindow, set.Rules.RetryFloor, set.Rules.RetryRatio = time.Second, 2, 0.1
	set.Limits.MaxAttempts = 10
	h := newHarness(t, set, members("a", "b", "c")...)
	var accepted, retries []time.Duration
	within := func(at []time.Duration) (n int) {
		for _, t := range at {
			if t > h.now-time.Second {
				n++
			}
		}
		return n
	}
	for i := range 600 {
		id := fmt.Sprint(i)
		acts := h.step(queryEvents(id, 3*time.Second, i%3)...)
		accepted = append(accepted, h.now, h.now)
		h.now += 7 * ms
		var events []Event
		for _, s := range actionsOf(acts, Send) {
			events = append(events, attemptEnded(s.Part, h.attempts[s.Part]-1, Errored))
		}
		for _, s := range actionsOf(h.step(events...), Send) {
			if h.attempts[s.Part] > 1 {
				if retries = append(retries, h.now); float64(within(retries)) > 2+0.1*float64(within(accepted)) {
					t.Fatalf("step %d: %d retries for %d accepted queries and parts", i, within(retries), within(accepted))
				}
			}
		}
	}
	if len(retries) == 0 {
		t.Error("no retries")
	}
}

// TestOvertakenPartIsHedged checks that a part is hedged once it is overdue if its replica has answered a later part, so
// that its answer may be lost, and nearly all other parts of its query are answered, though the replica is neither
// unresponsive nor ejected. If it is one of two parts, it may just be slow.
func TestOvertakenPartIsHedged(t *testing.T) {
	for parts, want := range map[int]int{9: 2, 2: 1} {
		set := testSettings()
		set.Limits.Hedging = true
		f := newReactingFleet(t, set, func(string) (Outcome, time.Duration) { return OK, 50 * ms })
		f.run(3*time.Second, 5*ms)
		shards := make([]int, parts)
		for i := range shards {
			shards[i] = i % 3
		}
		for i, s := range actionsOf(f.step(queryEvents("q", time.Second, shards...)...), Send) {
			if i > 0 { // the first part is never answered
				f.due = append(f.due, dueOutcome{f.now + 50*ms, attemptEnded(s.Part, 0, OK)})
			}
		}
		f.run(600*ms, 5*ms)
		if n := f.attempts["q/0"]; n != want {
			t.Errorf("%d parts: %d attempts of the one whose answer was lost, want %d", parts, n, want)
		}
	}
}

// TestHedgeDelayFollowsLatencies checks that a part is hedged well after the 95th percentile of the latencies. If parts
// that are only slow were hedged, the work done on them would be lost and their attempts used up.
func TestHedgeDelayFollowsLatencies(t *testing.T) {
	set := testSettings()
	set.Classes[0].LatencyObjective, set.Classes[0].Deadline = 4*time.Second, 8*time.Second
	h := newHarness(t, set, members("a", "b", "c")...)
	for i := range 60 {
		id := fmt.Sprintf("warm%d", i)
		h.step(queryEvents(id, 6*time.Second, i%3)...)
		h.now += 100 * ms
		h.step(attemptEnded(id+"/0", 0, OK))
	}
	q := &query{}
	if got := h.aggregator.hedgeDelay(q); got < 0.35 || got > 0.6 {
		t.Errorf("parts take 0.1 s and are hedged after %.2f s, want about four times as long", got)
	}
	h.aggregator.latencyOf(q).tail.value = 1.0
	if got := h.aggregator.hedgeDelay(q); got != 2.0 {
		t.Errorf("the tail latency is 1 s and parts are hedged after %.2f s, want 2", got)
	}
}
