package coordinator

// The list as it is joined from several sources: what reaches dispatchers and the module, in virtual time.

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

// TestRemovalWithPartsOut: a data node that leaves the list while a part is out there may still answer it; the part
// does not go out twice, and nothing new goes there.
func TestRemovalWithPartsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, 0, func(s *testbed, o *Command) {
			if o.Call != nil {
				time.Sleep(300 * time.Millisecond)
			}
			serve(s, o)
		})
		done := make(chan string)
		go func() { done <- s.execute(t.Context(), "q", 0) }()
		time.Sleep(100 * time.Millisecond)
		s.list.Replace([]Member{{ID: "n2"}}, false)
		if got := <-done; got != "answered true 1 false" {
			t.Errorf("the query that was in progress: %s", got)
		}
		if got := s.execute(t.Context(), "r", 0); got != "answered true 1 false" {
			t.Errorf("a later one: %s", got)
		}
		if got := fmt.Sprint(s.commands); got != "[call q.0 reject queued call r.0]" && got != "[call q.0 call r.0 reject queued]" {
			t.Errorf("dispatchers got %s", got)
		}
		s.end()
	})
}

// log is what dispatchers have seen, as "address: order".
type commandLog struct {
	mu       sync.Mutex
	commands []string
}

func (l *commandLog) dispatcher(s *testbed, name string) Dispatcher {
	return func(n *Node) {
		addr := n.Addr()
		for o := n.Pick(context.Background()); o != nil; o = n.Pick(context.Background()) {
			l.mu.Lock()
			if o.Call != nil {
				l.commands = append(l.commands, name+addr)
			}
			l.mu.Unlock()
			serve(s, o)
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

// TestSourcesJoined: one data node in two sources is one; the owner says where it is and by which protocol it is
// reached; a drain that either tells holds; and one that has moved is served by a new dispatcher.
func TestSourcesJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, 0, serve)
		s.list.Replace(nil, false) // only what follows
		var l commandLog
		s.RegisterDispatcher("x", l.dispatcher(s, "x:"))
		s.RegisterDispatcher("y", l.dispatcher(s, "y:"))
		zone, dir := s.Source(membership.Spec{Name: "zone", Rank: 9, Damped: true}), s.Source(membership.Spec{Name: "dir", Rank: 1})
		n := 0
		expect := func(what, want string) {
			t.Helper()
			time.Sleep(20 * time.Millisecond)
			s.execute(t.Context(), fmt.Sprint("q", n), 0)
			if n++; l.take() != want {
				t.Errorf("%s: not %q", what, want)
			}
		}
		dir.Change([]Member{{ID: "a", Addr: "1", Proto: "x"}})
		expect("named by one", "x:1")
		zone.Change([]Member{{ID: "a", Addr: "2", Proto: "y"}})
		expect("the owner has another address", "y:2")
		dir.Change([]Member{{ID: "a", Addr: "1", Proto: "x", State: Draining}})
		expect("the other drains it", "")
		dir.Change([]Member{{ID: "a", Addr: "1", Proto: "x"}})
		expect("and serves again", "y:2")
		zone.Change([]Member{{ID: "a", Addr: "3", Proto: "y"}})
		expect("it has moved", "y:3")
		zone.Update(membership.Update{Basis: membership.Failed, Cause: "REFUSED"})
		expect("its owner is in trouble", "y:3")
		zone.Replace(nil, false)
		expect("its owner has removed it", "")
		dir.Change([]Member{{ID: "a", Addr: "1", Proto: "x", Started: time.Now()}})
		expect("the other tells of a new start", "x:1")
		dir.Change([]Member{{ID: "a", State: Gone}})
		zone.Change([]Member{{ID: "b", Addr: "4", Proto: "smoke"}})
		expect("no dispatcher knows the protocol", "")
		zone.Replace(nil, false)
		s.end()
	})
}

// TestEvidence: what is seen of a data node lets records of a higher SRV priority figure in, and out again.
func TestEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := true
		var mu sync.Mutex
		s := newTestbed(t, 0, serve)
		s.list.Replace(nil, false)
		s.RegisterDispatcher("first", func(n *Node) {
			for o := n.Pick(context.Background()); o != nil; o = n.Pick(context.Background()) {
				mu.Lock()
				if o.Call != nil && down {
					for _, a := range o.Call {
						s.Report(a, Result{Outcome: NotConnected})
					}
				} else {
					serve(s, o)
				}
				mu.Unlock()
			}
		})
		zone := s.Source(membership.Spec{Name: "zone"})
		zone.Replace([]Member{{ID: "a", Addr: "1", Proto: "first", Priority: 0}, {ID: "b", Addr: "2", Priority: 10}}, false)
		state := func() string {
			s.Coordinator.mu.Lock()
			defer s.Coordinator.mu.Unlock()
			return s.endpoints.table.List()[1].State.String()
		}
		if got := state(); got != "draining" {
			t.Errorf("while the first is sound the second is %s", got)
		}
		if got := s.execute(t.Context(), "q", 0); got != "answered true 1 false" {
			t.Errorf("a query while the first is down: %s", got)
		}
		if got := state(); got != "serving" {
			t.Errorf("with the first in doubt the second is %s", got)
		}
		mu.Lock()
		down = false
		mu.Unlock()
		time.Sleep(11 * time.Second) // doubt ends
		if got := state(); got != "draining" {
			t.Errorf("once doubt has ended the second is %s", got)
		}
		zone.Replace(nil, false)
		s.end()
	})
}
