package coordinator

// Tests of the list that is merged from several sources: the effect on dispatchers and the decision module, in virtual time.

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gullfall/internal/membership"
)

// TestRemovalWithPartsInFlight checks that a data node that leaves the list while a part is in flight there may still answer it, that the
// part is not sent twice, and that nothing new is sent there.
func TestRemovalWithPartsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, 0, func(s *testbed, cmd *Command) {
			if cmd.Call != nil {
				time.Sleep(300 * time.Millisecond)
			}
			serve(s, cmd)
		})
		done := make(chan string)
		go func() { done <- s.execute(t.Context(), "q", 0) }()
		time.Sleep(100 * time.Millisecond)
		s.list.ReplaceList([]Member{{ID: "n2"}}, false)
		if got := <-done; got != "answered true 1 false" {
			t.Errorf("query in progress during the removal: %s", got)
		}
		if got := s.execute(t.Context(), "r", 0); got != "answered true 1 false" {
			t.Errorf("query after the removal: %s", got)
		}
		if got := fmt.Sprint(s.commands); got != "[call q.0 reject queued call r.0]" && got != "[call q.0 call r.0 reject queued]" {
			t.Errorf("dispatchers got %s", got)
		}
		s.shutdown()
	})
}

// commandLog records the calls that dispatchers received, as "protocol:address".
type commandLog struct {
	mu       sync.Mutex
	commands []string
}

func (l *commandLog) dispatcher(s *testbed, name string) Dispatcher {
	return func(n *Node) {
		addr := n.Addr()
		for cmd := n.NextCommand(context.Background()); cmd != nil; cmd = n.NextCommand(context.Background()) {
			l.mu.Lock()
			if cmd.Call != nil {
				l.commands = append(l.commands, name+addr)
			}
			l.mu.Unlock()
			serve(s, cmd)
		}
	}
}

func (l *commandLog) take() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := strings.Join(l.commands, " ")
	l.commands = nil
	return out
}

// TestSourcesAreMerged checks that a data node in two sources is listed once: the source of higher rank determines its address and
// protocol, a drain by either source applies, and a data node that has moved gets a new dispatcher.
func TestSourcesAreMerged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, 0, serve)
		s.list.ReplaceList(nil, false) // remove the data node of the testbed
		var l commandLog
		s.RegisterDispatcher("x", l.dispatcher(s, "x:"))
		s.RegisterDispatcher("y", l.dispatcher(s, "y:"))
		zone, dir := s.AddSource(membership.Spec{Name: "zone", Rank: 9, Damped: true}), s.AddSource(membership.Spec{Name: "dir", Rank: 1})
		n := 0
		expect := func(what, want string) {
			t.Helper()
			time.Sleep(20 * time.Millisecond)
			s.execute(t.Context(), fmt.Sprint("q", n), 0)
			if n++; l.take() != want {
				t.Errorf("%s: not %q", what, want)
			}
		}
		dir.ApplyChanges([]Member{{ID: "a", Addr: "1", Proto: "x"}})
		expect("listed by one source", "x:1")
		zone.ApplyChanges([]Member{{ID: "a", Addr: "2", Proto: "y"}})
		expect("another address in the source of higher rank", "y:2")
		dir.ApplyChanges([]Member{{ID: "a", Addr: "1", Proto: "x", State: Draining}})
		expect("drained by the other source", "")
		dir.ApplyChanges([]Member{{ID: "a", Addr: "1", Proto: "x"}})
		expect("serving again", "y:2")
		zone.ApplyChanges([]Member{{ID: "a", Addr: "3", Proto: "y"}})
		expect("moved to another address", "y:3")
		zone.Update(membership.Update{Basis: membership.Failed, Cause: "REFUSED"})
		expect("failed update of the source of higher rank", "y:3")
		zone.ReplaceList(nil, false)
		expect("removed by the source of higher rank", "")
		dir.ApplyChanges([]Member{{ID: "a", Addr: "1", Proto: "x", Started: time.Now()}})
		expect("new start reported by the other source", "x:1")
		dir.ApplyChanges([]Member{{ID: "a", State: Gone}})
		zone.ApplyChanges([]Member{{ID: "b", Addr: "4", Proto: "unknown"}})
		expect("no dispatcher for the protocol", "")
		zone.ReplaceList(nil, false)
		s.shutdown()
	})
}

// TestStandbyServesWhileFirstPriorityFails checks that a data node with a higher SRV priority value serves while the data node with the
// lower value fails, and becomes a standby again after the failure.
func TestStandbyServesWhileFirstPriorityFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := true
		var mu sync.Mutex
		s := newTestbed(t, 0, serve)
		s.list.ReplaceList(nil, false)
		s.RegisterDispatcher("first", func(n *Node) {
			for cmd := n.NextCommand(context.Background()); cmd != nil; cmd = n.NextCommand(context.Background()) {
				mu.Lock()
				if cmd.Call != nil && down {
					for _, a := range cmd.Call {
						s.Report(a, Result{Outcome: NotConnected})
					}
				} else {
					serve(s, cmd)
				}
				mu.Unlock()
			}
		})
		zone := s.AddSource(membership.Spec{Name: "zone"})
		zone.ReplaceList([]Member{{ID: "a", Addr: "1", Proto: "first", Priority: 0}, {ID: "b", Addr: "2", Priority: 10}}, false)
		state := func() string {
			s.Coordinator.mu.Lock()
			defer s.Coordinator.mu.Unlock()
			return s.endpoints.table.List()[1].State.String()
		}
		if got := state(); got != "draining" {
			t.Errorf("before the failure the standby is %s", got)
		}
		if got := s.execute(t.Context(), "q", 0); got != "answered true 1 false" {
			t.Errorf("query while the first data node is down: %s", got)
		}
		if got := state(); got != "serving" {
			t.Errorf("while the first data node is suspected the standby is %s", got)
		}
		mu.Lock()
		down = false
		mu.Unlock()
		time.Sleep(11 * time.Second) // until the first data node is no longer suspected
		if got := state(); got != "draining" {
			t.Errorf("after the suspicion has ended the standby is %s", got)
		}
		zone.ReplaceList(nil, false)
		s.shutdown()
	})
}
