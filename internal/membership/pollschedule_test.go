package membership

// When a source is polled, against the bounds that the rule on drains sets.

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestDelaysBetweenPolls: delays between polls of a service double up to a bound, which also the longest list of the largest
// fleet does not lift; an agent is polled again soon, however large the fleet is.
func TestDelaysBetweenPolls(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name  string
		calls PollSchedule
		first time.Duration
		want  []time.Duration // after a watch, then after polls that bring nothing
	}{
		{"few, polled", PollSchedule{Peers: 2, Lines: 14, Grace: 2 * time.Second}, 42 * ms, []time.Duration{400 * ms, 800 * ms, 1000 * ms, 1000 * ms}},
		{"short grace", PollSchedule{Peers: 3, Lines: 300, Grace: 500 * ms}, 250 * ms, []time.Duration{1200 * ms, 2400 * ms, 2400 * ms}},
		{"80, polled", PollSchedule{Peers: 79, Lines: 60, Grace: 2 * time.Second}, 1000 * ms, []time.Duration{2000 * ms, 9600 * ms, 9600 * ms}},
		{"largest, polled", PollSchedule{Peers: 999, Lines: 10_000, Grace: 2 * time.Second}, 1000 * ms, []time.Duration{2000 * ms, 10_000 * ms, 10_000 * ms}},
		{"the settings' interval", PollSchedule{Peers: 999, Lines: 10_000, Interval: 4 * time.Second}, 100 * ms, []time.Duration{1000 * ms, 4000 * ms}},
		{"pushed", PollSchedule{Pushed: true, Peers: 299, Lines: 200, Grace: 2 * time.Second}, 0, []time.Duration{250 * ms, 250 * ms, 250 * ms}},
		{"pushed, short grace", PollSchedule{Pushed: true, Peers: 299, Lines: 200, Grace: 500 * ms}, 0, []time.Duration{62500 * time.Microsecond, 62500 * time.Microsecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if first := c.calls.FirstDelay(1); first != c.first {
				t.Errorf("the first poll comes after %v, not %v", first, c.first)
			}
			c.calls.Succeeded()
			var got []time.Duration
			for range c.want {
				got = append(got, c.calls.RetryDelay(1))
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("(-want +got)\n%s", diff)
			}
		})
	}
}

// TestPollsKeepTheGrace: whatever the fleet, the formulas at PollSchedule hold: with 3/8 of the grace left for the answer
// where lists are pushed, and half of what is left after silence where they are polled.
func TestPollsKeepTheGrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := PollSchedule{Pushed: rapid.Bool().Draw(t, "pushed"), Peers: rapid.IntRange(0, 1000).Draw(t, "others"),
			Lines: rapid.IntRange(0, 10_000).Draw(t, "lines"), Grace: time.Duration(rapid.IntRange(200, 5000).Draw(t, "grace")) * time.Millisecond}
		c.Succeeded()
		for i := range rapid.IntRange(1, 20).Draw(t, "calls") {
			pause := c.RetryDelay(rapid.Float64Range(0, 1).Draw(t, "draw"))
			switch {
			case c.Pushed && c.Timeout()+pause > c.Grace*5/8:
				t.Fatalf("pushed: a poll may bring nothing for %v and is followed after %v; the grace is %v", c.Timeout(), pause, c.Grace)
			case c.Pushed && pause <= 0:
				t.Fatalf("an agent is polled again without a delay")
			case !c.Pushed && i == 0 && SilenceTimeout+2*pause > NotifiedAfter+c.Grace:
				t.Fatalf("polled: silence is noticed after %v and the poll follows after %v; what is missed counts as notified after %v, the grace is %v", SilenceTimeout, pause, NotifiedAfter, c.Grace)
			case pause > defaultInterval:
				t.Fatalf("a delay of %v", pause)
			}
		}
	})
}
