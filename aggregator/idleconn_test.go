package aggregator

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestIdleConnectionsAreClosedOnceSomeWereDead checks that idle connections are closed before use after parts were lost on
// idle connections and answered on new ones, and are kept if parts on idle connections are answered.
func TestIdleConnectionsAreClosedOnceSomeWereDead(t *testing.T) {
	for _, dead := range []bool{true, false} {
		set, all := fleetSettings(4, 2, 10)
		set.Limits.Probes = false
		h := newHarness(t, set, all...)
		used, fresh := map[string]time.Duration{}, map[string]bool{}
		closes := 0
		for i := range 400 {
			acts := h.step(queryEvents(fmt.Sprint(i), time.Second, i%4, 0, 2)...)
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
						events = append(events, attemptEnded(act.Part, act.Attempt, Cancelled))
					case Send:
						lost := dead && !fresh[act.Replica] && h.now-used[act.Replica] > 800*ms
						used[act.Replica], fresh[act.Replica] = h.now, false
						if !lost {
							events = append(events, attemptEnded(act.Part, h.attempts[act.Part]-1, OK))
						}
					}
				}
				h.now += h.settings.Tick
				acts = h.step(append(events, Event{Kind: Wakeup})...)
			}
		}
		if dead && closes < 20 || !dead && closes > 0 {
			t.Errorf("dead connections %v: %d closed over 200 parts", dead, closes)
		}
	}
}

// TestResetOnIdleConnectionIsNoFailure checks that an immediate reset on an idle connection is attributed to the
// connection: the replica has no failure and no slow start, the query does not end, and the part is sent on a new
// connection.
func TestResetOnIdleConnectionIsNoFailure(t *testing.T) {
	set, all := fleetSettings(12, 3, 10)
	h := newHarness(t, set, all...)
	shards := []int{0, 3, 6, 9}
	h.step(queryEvents("warm", time.Second, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)...)
	h.now += 50 * ms
	for i := range 12 {
		h.step(attemptEnded(fmt.Sprint("warm/", i), 0, OK))
	}
	h.now += 2 * time.Second
	h.step(queryEvents("q", time.Second, shards...)...)
	var events []Event
	for i := range shards {
		events = append(events, attemptEnded(fmt.Sprint("q/", i), 0, Reset))
	}
	h.now += 2 * ms
	acts := h.step(events...)
	for range 10 {
		if len(actionsOf(acts, Reject)) > 0 {
			t.Fatal("the query was rejected")
		}
		events = events[:0]
		for _, s := range actionsOf(acts, Send) {
			if h.attempts[s.Part] == 2 && !slices.ContainsFunc(acts, func(c Action) bool {
				return c.Kind == CloseIdle && c.Replica == s.Replica
			}) {
				t.Errorf("%s was sent again on an idle connection", s.Part)
			}
			events = append(events, attemptEnded(s.Part, h.attempts[s.Part]-1, OK))
		}
		h.now += 50 * ms
		acts = h.step(append(events, Event{Kind: Wakeup})...)
	}
	if h.aggregator.queries.byID["q"] != nil {
		t.Error("the query was not answered")
	}
	for _, r := range h.aggregator.endpoints.replicas {
		if r.slowStart.active || r.outlier.ejected || r.outlier.decayedFailures > 0 {
			t.Errorf("%s: slow start %v, ejected %v, %v failures", r.member.Replica, r.slowStart.active, r.outlier.ejected, r.outlier.decayedFailures)
		}
	}
}

// TestUnsafePartClosesIdleConnectionsAtTheFirstSign checks that a single dead connection is enough to close idle ones
// before a part that must not run twice; other parts need a second one.
func TestUnsafePartClosesIdleConnectionsAtTheFirstSign(t *testing.T) {
	for _, c := range []struct {
		effect Effect
		closes int
	}{{Safe, 0}, {Unsafe, 1}} {
		set := testSettings()
		set.Classes = append(set.Classes, set.Classes[0])
		set.Classes[1].Effect = c.effect
		h := newHarness(t, set, members("a", "b", "c")...)
		h.step(queryEvents("warm", time.Second, 0, 1, 2)...)
		h.now += 50 * ms
		for i := range 3 {
			h.step(attemptEnded(fmt.Sprint("warm/", i), 0, OK))
		}
		h.now += time.Second
		h.step(queryEvents("q", time.Second, 0)...)
		h.now += 2 * ms
		h.step(attemptEnded("q/0", 0, Reset)) // the part is sent again on a new connection
		h.step(attemptEnded("q/0", 1, OK))
		h.now += 1500 * ms
		events := queryEvents("u", time.Second, 1)
		events[0].Class = 1
		if got := len(actionsOf(h.step(events...), CloseIdle)); got != c.closes {
			t.Errorf("effect %d: %d connections closed, want %d", c.effect, got, c.closes)
		}
	}
}
