package faults

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gullfall/internal/coordinator"
)

// dialGate blocks dials to data nodes until open is closed.
type dialGate struct {
	open    chan struct{}
	waiting atomic.Int32
}

// dialGates maps addresses of data nodes to their *dialGate.
var dialGates sync.Map

// awaitGate waits until the gate of an address, if it has one, is open.
func awaitGate(ctx context.Context, addr string) error {
	held, ok := dialGates.Load(addr)
	if !ok {
		return nil
	}
	g := held.(*dialGate)
	g.waiting.Add(1)
	select {
	case <-g.open:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// holdDials blocks dials to all data nodes until release is called.
func (r *rig) holdDials() (g *dialGate, release func()) {
	g = &dialGate{open: make(chan struct{})}
	for _, n := range r.nodes {
		dialGates.Store(n.Addr, g)
	}
	return g, func() {
		close(g.open)
		for _, n := range r.nodes {
			dialGates.Delete(n.Addr)
		}
	}
}

// whileDialing are events while a part waits for its connection, after which the part must not be sent.
var whileDialing = []struct {
	name string
	play func(r *rig, leave func(), done <-chan string) []string
	want []string
}{
	{"the client disconnects", func(_ *rig, leave func(), done <-chan string) []string {
		leave()
		return []string{<-done}
	}, []string{"gone", "sent 0"}},
	{"the data nodes drain", func(r *rig, _ func(), done <-chan string) []string {
		for _, n := range r.nodes {
			n.State = coordinator.Draining
			r.list.ApplyChanges([]coordinator.Member{n})
		}
		return []string{<-done}
	}, []string{"rejected", "sent 0"}},
	{"a complete list omits the data nodes", func(r *rig, _ func(), done <-chan string) []string {
		r.list.ReplaceList(nil, false)
		return []string{<-done}
	}, []string{"rejected", "sent 0"}},
}

// TestNothingSentAfterDelayedDial: a part that must no longer be sent when its connection is established is not sent, even if the
// settings allow no attempt to be cancelled.
func TestNothingSentAfterDelayedDial(t *testing.T) {
	for _, e := range whileDialing {
		for _, p := range protocols {
			for _, cancels := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%s/cancels=%v", e.name, p.name, cancels), func(t *testing.T) {
					t.Parallel()
					set := settings()
					set.Limits.CanCancel = cancels
					r := newRigWith(t, set, p, 0, "ok")
					g, release := r.holdDials()
					ctx, leave := context.WithDeadline(t.Context(), time.Now().Add(3*time.Second))
					defer leave()
					done := make(chan string, 1)
					go func() { done <- r.query(ctx, "report", "club", 0) }()
					r.waitUntil("a connection is being opened", func() bool { return g.waiting.Load() > 0 })
					got := e.play(r, leave, done)
					time.Sleep(20 * time.Millisecond) // until the program has noticed the disconnect
					release()
					time.Sleep(100 * time.Millisecond)
					got = append(got, fmt.Sprint("sent ", r.script.startsAt("n1")+r.script.startsAt("n2")))
					if diff := cmp.Diff(e.want, got); diff != "" {
						t.Errorf("(-want +got)\n%s", diff)
					}
				})
			}
		}
	}
}

// dial opens a connection to a data node once its gate is open.
func dial(ctx context.Context, addr string) (net.Conn, error) {
	if err := awaitGate(ctx, addr); err != nil {
		return nil, err
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}
