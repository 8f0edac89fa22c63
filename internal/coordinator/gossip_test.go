package coordinator

// What others tell: a start makes a data node cold here too, and failures of a zone are evidence only where this coordinator knows
// nothing itself and nobody says otherwise.

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/membership"
	"gullfall/internal/zones"
)

func TestPeerReportsOfFailures(t *testing.T) {
	failing := func(failed, answered time.Duration) (list []PeerReport) { // all four data nodes of zone a
		for i := range 4 {
			list = append(list, PeerReport{Node: fmt.Sprint("a", i), Failing: true, Failed: failed, Answered: answered})
		}
		return list
	}
	const s = time.Second
	for _, c := range []struct {
		name  string
		told  []PeerReport
		heard bool // this coordinator has answers from the zone itself
		want  zones.State
	}{
		{"it fails for another", failing(2*s, -1), false, zones.Out},
		{"it answered somebody before", failing(2*s, 3*s), false, zones.Out},
		{"it answered somebody since", failing(2*s, s), false, zones.Healthy},
		{"it answers here", failing(2*s, -1), true, zones.Healthy},
		{"it answered somebody just before", failing(s/2, s), false, zones.Healthy},
		{"one data node is no zone", failing(2*s, -1)[:1], false, zones.Healthy},
		{"of nobody that is listed", []PeerReport{{Node: "x", Failing: true, Failed: 2 * s}, {Node: "y", Failing: true, Failed: 2 * s}}, false, zones.Healthy},
	} {
		synctest.Test(t, func(t *testing.T) {
			rules := aggregator.Rules{DrainGrace: 2 * time.Second, WarmupTime: 5 * time.Second}
			set := aggregator.Settings{Aggregators: 5, Tick: tick, ShardSets: 4, Shards: 4, Reach: 1, Rules: rules,
				Classes: []aggregator.Class{{Name: "report", LatencyObjective: time.Second, Deadline: 2 * time.Second, Priority: 1, CompleteShare: 1, MinShare: 1}}}
			coord, err := New(set, 7, slog.New(slog.DiscardHandler), membership.Config{})
			if err != nil {
				t.Fatal(err)
			}
			if err := coord.WatchZones(zones.Config{Seed: 3}); err != nil {
				t.Fatal(err)
			}
			coord.RegisterDispatcher("", func(n *Node) {
				for o := n.Pick(t.Context()); o != nil; o = n.Pick(t.Context()) {
				}
			})
			go coord.Run(t.Context())
			src := coord.Source(membership.Spec{Name: "list"})
			var list []Member
			for _, z := range []string{"a", "b", "c"} {
				for cell := range 4 {
					list = append(list, Member{ID: fmt.Sprint(z, cell), Addr: fmt.Sprint(z, cell), Zone: z, ShardSet: cell, Weight: 1, Started: time.Now().Add(-time.Hour)})
				}
			}
			src.Replace(list, false)
			for range 5 { // longer than it takes to leave a zone, and shorter than to return
				if c.heard {
					for i := range 4 {
						coord.observeForZones(coord.node(fmt.Sprint("a", i)), nil, OK, time.Now())
					}
				}
				coord.ApplyPeerReports(c.told)
				time.Sleep(250 * time.Millisecond)
			}
			for _, z := range coord.Zones() {
				if z.Zone == "a" && z.State != c.want {
					t.Errorf("%s: zone a is %v (%s), want %v", c.name, z.State, z.Reason, c.want)
				}
			}
			src.Replace(nil, false)
			time.Sleep(10 * time.Second)
		})
	}
}

// TestLongListIsLoggedByKind: a list of thousands costs a line of each kind; a few are told one by one.
func TestLongListIsLoggedByKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct{ nodes, single, byKind int }{{maxNoteLines, maxNoteLines, 0}, {10_000, 0, 1}} {
			var logged lines
			coord, err := New(aggregator.Settings{Aggregators: 1, Tick: tick, ShardSets: 1, Shards: 1, Reach: 1,
				Classes: []aggregator.Class{{Name: "report", LatencyObjective: time.Second, Deadline: 2 * time.Second, Priority: 1, CompleteShare: 1, MinShare: 1}}}, 7, slog.New(slog.NewTextHandler(&logged, nil)), membership.Config{})
			if err != nil {
				t.Fatal(err)
			}
			coord.RegisterDispatcher("", func(*Node) {})
			var list []Member
			for i := range c.nodes {
				list = append(list, Member{ID: fmt.Sprint("n", i), Addr: fmt.Sprint("n", i), Weight: 1})
			}
			coord.Source(membership.Spec{Name: "list"}).Change(list)
			if single, byKind := logged.count("msg=\"data node listed\""), logged.count("msg=\"data nodes listed\" count=10000"); single != c.single || byKind != c.byKind {
				t.Errorf("%d data nodes: %d lines of one, %d of a kind; want %d and %d", c.nodes, single, byKind, c.single, c.byKind)
			}
		}
	})
}

// TestPeerReportsOfStarts: a start that the list has not brought yet makes a data node warm up; the known one reported again does not,
// nor does one long ago.
func TestPeerReportsOfStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		coord, err := New(aggregator.Settings{Aggregators: 2, Tick: tick, ShardSets: 1, Shards: 1, Reach: 1, Rules: aggregator.Rules{WarmupTime: 5 * time.Second},
			Classes: []aggregator.Class{{Name: "report", LatencyObjective: time.Second, Deadline: 2 * time.Second, Priority: 1, CompleteShare: 1, MinShare: 1}}}, 7, slog.New(slog.DiscardHandler), membership.Config{})
		if err != nil {
			t.Fatal(err)
		}
		coord.RegisterDispatcher("", func(n *Node) {
			for o := n.Pick(t.Context()); o != nil; o = n.Pick(t.Context()) {
			}
		})
		var seen []Observation
		coord.OnObservation(func(s Observation) { seen = append(seen, s) })
		src := coord.Source(membership.Spec{Name: "list"})
		begun := time.Now()
		old := Member{ID: "a", Addr: "a", Weight: 1, Started: begun.Add(-time.Minute)}
		fresh := Member{ID: "b", Addr: "b", Weight: 1, Started: begun.Add(-time.Second)}
		src.Replace([]Member{old, fresh}, false)
		if len(seen) != 1 || !seen[0].Started || seen[0].Node != "b" || seen[0].Ago != time.Second {
			t.Errorf("told on: %+v", seen)
		}
		for _, c := range []struct {
			name string
			told PeerReport
			m    Member
			want time.Time
		}{
			{"long ago", PeerReport{Node: "a", WarmingUp: true, Started: 6 * time.Second}, old, old.Started},
			{"the start that is known, grown younger on its way", PeerReport{Node: "b", WarmingUp: true, Started: 500 * time.Millisecond}, fresh, fresh.Started},
			{"another start", PeerReport{Node: "a", WarmingUp: true, Started: time.Second}, old, begun.Add(-time.Second)},
			{"that again, younger", PeerReport{Node: "a", WarmingUp: true, Started: 0}, old, begun.Add(-time.Second)},
		} {
			coord.ApplyPeerReports([]PeerReport{c.told})
			coord.mu.Lock()
			got := coord.moduleMember(c.m).Started
			coord.mu.Unlock()
			if want := coord.moduleClock(c.want); got != want {
				t.Errorf("%s: started at %v, want %v", c.name, got, want)
			}
		}
		time.Sleep(6 * time.Second)
		coord.ApplyPeerReports(nil)
		if len(coord.endpoints.reportedStarts) > 0 {
			t.Errorf("%v is kept of starts that count no more", coord.endpoints.reportedStarts)
		}
		src.Replace(nil, false)
	})
}
