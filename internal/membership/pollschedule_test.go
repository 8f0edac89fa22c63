package membership

// Tests of the poll delays against the bounds that the grace period of drains sets.

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestDelaysBetweenPolls: delays between polls of a service double up to a bound, which holds for the longest list of the
// largest fleet too; an agent is polled again soon, however large the fleet is.
func TestDelaysBetweenPolls(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name     string
		schedule PollSchedule
		first    time.Duration
		want     []time.Duration // after a watch, then after polls without a result
	}{
		{"polled, few coordinators", PollSchedule{Peers: 2, ListLength: 14, Grace: 2 * time.Second}, 42 * ms, []time.Duration{400 * ms, 800 * ms, 1000 * ms, 1000 * ms}},
		{"polled, short grace", PollSchedule{Peers: 3, ListLength: 300, Grace: 500 * ms}, 250 * ms, []time.Duration{1200 * ms, 2400 * ms, 2400 * ms}},
		{"polled, 80 coordinators", PollSchedule{Peers: 79, ListLength: 60, Grace: 2 * time.Second}, 1000 * ms, []time.Duration{2000 * ms, 9600 * ms, 9600 * ms}},
		{"polled, largest fleet", PollSchedule{Peers: 999, ListLength: 10_000, Grace: 2 * time.Second}, 1000 * ms, []time.Duration{2000 * ms, 10_000 * ms, 10_000 * ms}},
		{"polled, interval from the settings", PollSchedule{Peers: 999, ListLength: 10_000, Interval: 4 * time.Second}, 100 * ms, []time.Duration{1000 * ms, 4000 * ms}},
		{"pushed", PollSchedule{Pushed: true, Peers: 299, ListLength: 200, Grace: 2 * time.Second}, 0, []time.Duration{250 * ms, 250 * ms, 250 * ms}},
		{"pushed, short grace", PollSchedule{Pushed: true, Peers: 299, ListLength: 200, Grace: 500 * ms}, 0, []time.Duration{62500 * time.Microsecond, 62500 * time.Microsecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if first := c.schedule.FirstDelay(1); first != c.first {
				t.Errorf("FirstDelay(1) = %v, want %v", first, c.first)
			}
			c.schedule.Succeeded()
			var got []time.Duration
			for range c.want {
				got = append(got, c.schedule.RetryDelay(1))
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("RetryDelay(1) (-want +got)\n%s", diff)
			}
		})
	}
}

// TestPollDelaysWithinGrace: the formulas at PollSchedule hold for any fleet: 3/8 of the grace period is left for the answer
// if lists are pushed, and half of the time that remains after the silence if they are polled.
func TestPollDelaysWithinGrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := PollSchedule{Pushed: rapid.Bool().Draw(t, "pushed"), Peers: rapid.IntRange(0, 1000).Draw(t, "peers"),
			ListLength: rapid.IntRange(0, 10_000).Draw(t, "lines"), Grace: time.Duration(rapid.IntRange(200, 5000).Draw(t, "grace")) * time.Millisecond}
		c.Succeeded()
		for i := range rapid.IntRange(1, 20).Draw(t, "polls") {
			delay := c.RetryDelay(rapid.Float64Range(0, 1).Draw(t, "jitter"))
			switch {
			case c.Pushed && c.Timeout()+delay > c.Grace*5/8:
				t.Fatalf("pushed: timeout %v and delay %v exceed 5/8 of the grace period %v", c.Timeout(), delay, c.Grace)
			case c.Pushed && delay <= 0:
				t.Fatalf("pushed: the agent is polled again without a delay")
			case !c.Pushed && i == 0 && SilenceTimeout+2*delay > NotifiedAfter+c.Grace:
				t.Fatalf("polled: silence is detected after %v and the poll follows after %v; missed changes count as notified after %v, the grace period is %v", SilenceTimeout, delay, NotifiedAfter, c.Grace)
			case delay > defaultInterval:
				t.Fatalf("the delay %v exceeds the default interval", delay)
			}
		}
	})
}
