package coordinator

// Tests of reports from peers: a reported start makes a data node warm up at this coordinator too, and reported failures in a zone count
// only if this coordinator has no evidence of its own and no peer reports otherwise.

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

// TestPeerReportsOfFailures checks when failures reported by peers make a zone go out.
func TestPeerReportsOfFailures(t *testing.T) {
	failing := func(failed, answered time.Duration) (list []PeerReport) { // for all four data nodes of zone a
		for i := range 4 {
			list = append(list, PeerReport{Node: fmt.Sprint("a", i), Failing: true, FailedAge: failed, AnsweredAge: answered})
		}
		return list
	}
	const s = time.Second
	for _, c := range []struct {
		name        string
		reports     []PeerReport
		answersHere bool // the zone answers this coordinator
		want        zones.State
	}{
		{"zone fails for a peer", failing(2*s, -1), false, zones.Out},
		{"zone answered a peer before the failure", failing(2*s, 3*s), false, zones.Out},
		{"zone answered a peer after the failure", failing(2*s, s), false, zones.Healthy},
		{"zone answers this coordinator", failing(2*s, -1), true, zones.Healthy},
		{"zone answered a peer just before the failure", failing(s/2, s), false, zones.Healthy},
		{"only one data node fails", failing(2*s, -1)[:1], false, zones.Healthy},
		{"data nodes are not listed", []PeerReport{{Node: "x", Failing: true, FailedAge: 2 * s}, {Node: "y", Failing: true, FailedAge: 2 * s}}, false, zones.Healthy},
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
				for cmd := n.NextCommand(t.Context()); cmd != nil; cmd = n.NextCommand(t.Context()) {
				}
			})
			go coord.Run(t.Context())
			src := coord.AddSource(membership.Spec{Name: "list"})
			var list []Member
			for _, z := range []string{"a", "b", "c"} {
				for shardSet := range 4 {
					list = append(list, Member{ID: fmt.Sprint(z, shardSet), Addr: fmt.Sprint(z, shardSet), Zone: z, ShardSet: shardSet, Weight: 1, Started: time.Now().Add(-time.Hour)})
				}
			}
			src.ReplaceList(list, false)
			for range 5 { // long enough for the zone to go out, and too short for it to recover
				if c.answersHere {
					for i := range 4 {
						coord.observeForZones(coord.node(fmt.Sprint("a", i)), nil, OK, time.Now())
					}
				}
				coord.ApplyPeerReports(c.reports)
				time.Sleep(250 * time.Millisecond)
			}
			for _, z := range coord.Zones() {
				if z.Zone == "a" && z.State != c.want {
					t.Errorf("%s: zone a is %v (%s), want %v", c.name, z.State, z.Reason, c.want)
				}
			}
			src.ReplaceList(nil, false)
			time.Sleep(10 * time.Second)
		})
	}
}

// TestLongListIsLoggedByCause checks that a list of thousands of data nodes is logged with one line per cause, and a short list with one
// line per data node.
func TestLongListIsLoggedByCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct{ nodes, single, grouped int }{{maxNoteLines, maxNoteLines, 0}, {10_000, 0, 1}} {
			var logged logBuffer
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
			coord.AddSource(membership.Spec{Name: "list"}).ApplyChanges(list)
			if single, grouped := logged.count("msg=\"data node listed\""), logged.count("msg=\"data nodes listed\" count=10000"); single != c.single || grouped != c.grouped {
				t.Errorf("%d data nodes: %d lines for one data node, %d for many; want %d and %d", c.nodes, single, grouped, c.single, c.grouped)
			}
		}
	})
}

// TestPeerReportsOfStarts checks that a reported start that the list does not contain yet makes a data node warm up, and that a report of a
// known or an old start does not.
func TestPeerReportsOfStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		coord, err := New(aggregator.Settings{Aggregators: 2, Tick: tick, ShardSets: 1, Shards: 1, Reach: 1, Rules: aggregator.Rules{WarmupTime: 5 * time.Second},
			Classes: []aggregator.Class{{Name: "report", LatencyObjective: time.Second, Deadline: 2 * time.Second, Priority: 1, CompleteShare: 1, MinShare: 1}}}, 7, slog.New(slog.DiscardHandler), membership.Config{})
		if err != nil {
			t.Fatal(err)
		}
		coord.RegisterDispatcher("", func(n *Node) {
			for cmd := n.NextCommand(t.Context()); cmd != nil; cmd = n.NextCommand(t.Context()) {
			}
		})
		var seen []Observation
		coord.OnObservation(func(s Observation) { seen = append(seen, s) })
		src := coord.AddSource(membership.Spec{Name: "list"})
		testStart := time.Now()
		old := Member{ID: "a", Addr: "a", Weight: 1, Started: testStart.Add(-time.Minute)}
		fresh := Member{ID: "b", Addr: "b", Weight: 1, Started: testStart.Add(-time.Second)}
		src.ReplaceList([]Member{old, fresh}, false)
		if len(seen) != 1 || !seen[0].Started || seen[0].Node != "b" || seen[0].StartAge != time.Second {
			t.Errorf("observations: %+v", seen)
		}
		for _, c := range []struct {
			name   string
			report PeerReport
			m      Member
			want   time.Time
		}{
			{"old start", PeerReport{Node: "a", WarmingUp: true, StartAge: 6 * time.Second}, old, old.Started},
			{"known start, made later by the delay of the report", PeerReport{Node: "b", WarmingUp: true, StartAge: 500 * time.Millisecond}, fresh, fresh.Started},
			{"new start", PeerReport{Node: "a", WarmingUp: true, StartAge: time.Second}, old, testStart.Add(-time.Second)},
			{"the same new start, made later by the delay of the report", PeerReport{Node: "a", WarmingUp: true, StartAge: 0}, old, testStart.Add(-time.Second)},
		} {
			coord.ApplyPeerReports([]PeerReport{c.report})
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
			t.Errorf("reported starts of data nodes that have warmed up are kept: %v", coord.endpoints.reportedStarts)
		}
		src.ReplaceList(nil, false)
	})
}
