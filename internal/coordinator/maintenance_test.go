package coordinator

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestMaintenance checks which queries a data node serves before, during and after its maintenance, with and without the coordinator's
// presence, and the state that the coordinator reports.
func TestMaintenance(t *testing.T) {
	type reportedState struct {
		Query                        string // result of a query executed then; empty for no query
		Drained, Present, Overloaded bool
	}
	announced := Maintenance{Announced: map[string]bool{"n1": true}}
	excluded := Maintenance{Announced: announced.Announced, Excluded: map[string]bool{"n1": true}}
	const served, rejected = "answered true 1 false", "rejected false 0 true"
	for _, c := range []struct {
		name    string
		prepare func(s *testbed)
		want    reportedState
	}{
		{"maintenance not known yet", func(s *testbed) {}, reportedState{Query: rejected}},
		{"no maintenance", func(s *testbed) { s.SetMaintenance(Maintenance{}) }, reportedState{Query: served}},
		{"announced, not present", func(s *testbed) { s.SetMaintenance(announced) }, reportedState{Query: rejected}},
		{"announced, present", func(s *testbed) { s.SetMaintenance(announced); s.ExtendPresence(time.Now().Add(time.Hour)) }, reportedState{Query: served, Present: true}},
		{"announced, presence just ended", func(s *testbed) {
			s.SetMaintenance(announced)
			s.ExtendPresence(time.Now().Add(time.Second))
			time.Sleep(time.Second)
		}, reportedState{Query: rejected}},
		{"excluded", func(s *testbed) { s.SetMaintenance(excluded); s.ExtendPresence(time.Now().Add(time.Hour)) }, reportedState{Query: rejected, Drained: true, Present: true}},
		{"excluded by address", func(s *testbed) { s.SetMaintenance(Maintenance{ExcludedAddrs: map[string]bool{"127.0.0.1:1": true}}) }, reportedState{Query: rejected}},
		{"excluded with a part in flight", func(s *testbed) {
			s.SetMaintenance(Maintenance{})
			go s.execute(context.Background(), "held", 3)
			time.Sleep(100 * time.Millisecond)
			s.SetMaintenance(excluded)
		}, reportedState{}},
		{"excluded, after the part in flight has ended", func(s *testbed) {
			s.SetMaintenance(Maintenance{})
			go s.execute(context.Background(), "held", 3)
			time.Sleep(100 * time.Millisecond)
			s.SetMaintenance(excluded)
			time.Sleep(3 * time.Second)
		}, reportedState{Drained: true}},
		{"returned", func(s *testbed) {
			s.SetMaintenance(excluded)
			s.SetMaintenance(Maintenance{Returned: map[string]uint64{"n1": 1}})
		}, reportedState{Query: served}},
		{"query rejected just now", func(s *testbed) {
			s.SetMaintenance(Maintenance{})
			release := s.fill()
			s.execute(context.Background(), "r", 0)
			release()
		}, reportedState{Query: served, Overloaded: true}},
		{"query rejected some seconds ago", func(s *testbed) {
			s.SetMaintenance(Maintenance{})
			release := s.fill()
			s.execute(context.Background(), "r", 0)
			release()
			time.Sleep(overloadWindow)
		}, reportedState{Query: served}},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newTestbed(t, 20, func(s *testbed, cmd *Command) {
				if len(cmd.Call) > 0 && cmd.Call[0].ID == "held.3" {
					return // never answered; it ends when it is cancelled
				}
				serve(s, cmd)
			}, (*Coordinator).EnableMaintenance)
			s.list.ReplaceList([]Member{{ID: "n1", Addr: "127.0.0.1:1"}}, false)
			time.Sleep(10 * tick)
			c.prepare(s)
			time.Sleep(10 * tick)
			got := reportedState{Drained: s.DrainedForMaintenance("n1"), Present: s.IsPresent(), Overloaded: s.Overloaded()}
			if c.want.Query != "" {
				got.Query = s.execute(t.Context(), "q", 0)
			}
			if d := cmp.Diff(c.want, got); d != "" {
				t.Errorf("%s (-want +got)\n%s", c.name, d)
			}
			s.shutdown()
		})
	}
}

// TestObservations checks that the observer receives the outcomes of attempts, except of cancelled ones.
func TestObservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ends := map[string]Result{"ok.0": {Outcome: OK, Docs: [][]byte{[]byte("v")}, LoadReport: map[string]float64{"util": 0.5}}, "bad.1": {Outcome: NotConnected},
			"gone.2": {Outcome: Cancelled}}
		s := newTestbed(t, 0, func(s *testbed, cmd *Command) {
			for _, a := range cmd.Call {
				time.Sleep(20 * time.Millisecond)
				s.Report(a, ends[a.ID])
			}
		})
		var mu sync.Mutex
		var got []Observation
		s.OnObservation(func(x Observation) {
			mu.Lock()
			defer mu.Unlock()
			if got = append(got, x); x.Latency < 0 || x.Latency > 50*time.Millisecond {
				t.Errorf("latency %v", x.Latency)
			}
			got[len(got)-1].Latency = 0
		})
		s.execute(t.Context(), "ok", 0)
		ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(100*time.Millisecond))
		defer cancel()
		s.execute(ctx, "gone", 2)
		ctx, cancel = context.WithDeadline(t.Context(), time.Now().Add(100*time.Millisecond))
		defer cancel()
		s.execute(ctx, "bad", 1)
		synctest.Wait()
		want := []Observation{{Node: "n1", Utilization: 0.5}, {Node: "n1", Failed: true, Utilization: -1}}
		mu.Lock()
		if d := cmp.Diff(want, got[:min(len(got), 2)]); d != "" {
			t.Errorf("(-want +got)\n%s", d)
		}
		mu.Unlock()
		s.shutdown()
	})
}

// fill uses up MaxOpen until release is called.
func (s *testbed) fill() (release func()) {
	const maxOpen = 20
	add := func(n int) {
		s.Coordinator.mu.Lock()
		defer s.Coordinator.mu.Unlock()
		s.open += n
	}
	add(maxOpen)
	return func() { add(-maxOpen) }
}
