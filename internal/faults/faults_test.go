// Package faults tests faults on loopback connections, with equal expected results for both protocols. Clients and data nodes are
// stand-ins; the coordinator, the servers and the dispatchers are those of the program. A stand-in data node performs the action
// of the test case on each attempt of a part, and counts overlapping attempts.
package faults

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gullfall/internal/coordinator"
)

var faults = []struct {
	name    string
	down    int      // data nodes without a listener
	actions []string // see nodeScript.actions
	play    func(r *rig) []string
	want    []string
}{
	{"served", 0, []string{"ok"}, twoPartQuery("report"), []string{"complete 0/1 1/1"}},
	{"refused connection", 1, []string{"ok"}, twoPartQuery("report"), []string{"complete 0/1 1/1"}},
	{"no data node listens", 2, []string{"ok"}, twoPartQuery("report"), []string{"rejected"}},
	{"overloaded", 0, []string{"busy", "ok"}, twoPartQuery("report"), []string{"complete 0/2 1/2"}},
	{"error", 0, []string{"0:err", "ok"}, twoPartQuery("report"), []string{"complete 0/2 1/1"}},
	// Nothing received before the connection was cut may appear in the answer.
	{"cut halfway", 0, []string{"0:cut", "ok"}, twoPartQuery("report"), []string{"complete 0/2 1/1"}},
	// A corrupt answer fails the attempt; the data node counts as alive and stays in use.
	{"corrupt", 0, []string{"0:corrupt", "ok"}, twoPartQuery("report"), []string{"complete 0/2 1/1"}},
	{"always cut", 0, []string{"cut"}, twoPartQuery("report"), []string{"rejected"}},
	{"silent", 0, []string{"0:silent", "0:silent", "0:silent"}, twoPartQuery("report"), []string{"rejected"}},
	{"silent part of a query that may be answered partially", 0, []string{"0:silent", "0:silent", "0:silent"}, twoPartQuery("board"),
		[]string{"partial 1/1"}},
	{"bad input", 0, []string{"ok"}, func(r *rig) []string {
		got := []string{r.queryWithin3s("no-class", "club", 0), r.queryWithin3s("report", "nobody", 0),
			r.queryWithin3s("report", "club", 4), r.queryWithin3s("report", "club", 1, 1), r.queryWithin3s("report", "club")}
		return append(got, fmt.Sprint("sent ", r.script.startsAt("n1")+r.script.startsAt("n2")))
	}, []string{"bad input", "bad input", "bad input", "bad input", "bad input", "sent 0"}},
	{"cancelled", 0, []string{"silent"}, func(r *rig) []string {
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(3*time.Second))
		done := make(chan string, 1)
		go func() { done <- r.query(ctx, "report", "club", 0, 1) }()
		r.waitUntil("both parts are in flight", func() bool { return r.script.startsAt("n1")+r.script.startsAt("n2") == 2 })
		cancel()
		got := <-done
		r.waitUntil("both parts are cancelled", func() bool {
			r.script.mu.Lock()
			defer r.script.mu.Unlock()
			return r.script.cancelled == 2
		})
		r.waitUntil("no query or part is open", func() bool { return r.coordinator.OpenCount() == 0 })
		return []string{got}
	}, []string{"gone"}},
	// A part in flight when the drain begins is still answered; nothing new is sent to the data node.
	{"drain", 0, []string{"hold"}, func(r *rig) []string {
		done := make(chan string, 1)
		go func() { done <- r.queryWithin3s("report", "club", 0) }()
		r.waitUntil("the part is in flight", func() bool { return r.script.startsAt("n1")+r.script.startsAt("n2") == 1 })
		drained := r.nodes[0]
		if r.script.startsAt("n2") == 1 {
			drained = r.nodes[1]
		}
		drained.State = coordinator.Draining
		r.list.ApplyChanges([]coordinator.Member{drained})
		close(r.script.release)
		got := []string{<-done}
		for range 5 {
			got = append(got, r.queryWithin3s("report", "club", 1))
		}
		return append(got, fmt.Sprint("sent to it ", r.script.startsAt(drained.ID)))
	}, []string{"complete 0/1", "complete 1/1", "complete 1/1", "complete 1/1", "complete 1/1", "complete 1/1", "sent to it 1"}},
	// The key of a query is sent with every attempt of each of its parts, retries included; in a class that is not keyed it is
	// not sent, even if the client provides one.
	{"keyed", 0, []string{"0:err", "ok"}, func(r *rig) []string {
		got := []string{r.queryWithin3s("entry#5c0f6e1a", "club", 0, 1), r.queryWithin3s("report#5c0f6e1a", "club", 0)}
		return append(got, fmt.Sprintf("%q", r.script.keys))
	}, []string{"complete 0/2 1/1", "complete 0/2", `["5c0f6e1a" "5c0f6e1a" "5c0f6e1a" "" ""]`}},
	{"keyed without a key, and with invalid keys", 0, []string{"ok"}, func(r *rig) []string {
		got := []string{r.queryWithin3s("entry", "club", 0), r.queryWithin3s("entry#a,d=1", "club", 0), r.queryWithin3s("entry#a b", "club", 0),
			r.queryWithin3s("entry#"+strings.Repeat("k", 129), "club", 0), r.queryWithin3s("entry#"+strings.Repeat("k", 128), "club", 0)}
		return append(got, fmt.Sprint("sent ", r.script.startsAt("n1")+r.script.startsAt("n2")))
	}, []string{"bad input", "bad input", "bad input", "bad input", "complete 0/1", "sent 1"}},
	// A data node missing in a complete list is gone.
	{"missing in a complete list", 0, []string{"ok"}, func(r *rig) []string {
		r.list.ReplaceList(r.nodes[1:], false)
		var got []string
		for range 5 {
			got = append(got, r.queryWithin3s("report", "club", 1))
		}
		return append(got, fmt.Sprint("sent to it ", r.script.startsAt("n1")))
	}, []string{"complete 1/1", "complete 1/1", "complete 1/1", "complete 1/1", "complete 1/1", "sent to it 0"}},
	{"SIGTERM", 0, []string{"hold"}, func(r *rig) []string {
		done, ended := make(chan string, 1), make(chan bool)
		go func() { done <- r.queryWithin3s("report", "club", 0, 1) }()
		r.waitUntil("both parts are in flight", func() bool { return r.script.startsAt("n1")+r.script.startsAt("n2") == 2 })
		go func() { r.drain(); close(ended) }()
		time.Sleep(50 * time.Millisecond)
		var got []string
		select {
		case <-ended:
			got = append(got, "ended with a query open")
		default:
		}
		close(r.script.release)
		got = append(got, <-done)
		<-ended
		return append(got, "ended")
	}, []string{"complete 0/1 1/1", "ended"}},
}

// twoPartQuery returns a case that sends one query of two parts.
func twoPartQuery(class string) func(*rig) []string {
	return func(r *rig) []string { return []string{r.queryWithin3s(class, "club", 0, 1)} }
}

// TestFaults checks that each fault has the same result in every combination of protocols, and that a part never has two attempts
// in flight.
func TestFaults(t *testing.T) {
	for _, f := range faults {
		for _, p := range protocols {
			t.Run(f.name+"/"+p.name, func(t *testing.T) {
				t.Parallel()
				r := newRig(t, p, f.down, f.actions...)
				if diff := cmp.Diff(f.want, f.play(r)); diff != "" {
					t.Errorf("(-want +got)\n%s", diff)
				}
				r.script.mu.Lock()
				defer r.script.mu.Unlock()
				if r.script.overlaps > 0 {
					t.Errorf("%d attempts began while another one of the same part was in flight", r.script.overlaps)
				}
				if r.coordinator.OpenCount() > 0 {
					t.Errorf("%d queries and parts are still open", r.coordinator.OpenCount())
				}
			})
		}
	}
}

// TestSlowReader: a client that does not read must delay only its own answer, and only until its deadline; other clients are
// answered meanwhile.
func TestSlowReader(t *testing.T) {
	for _, p := range protocols {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, p, 0, "ok")
			r.script.fill = strings.Repeat(" ", p.fillBytes)
			end := time.Now().Add(time.Second)
			p.readSlowly(t, r.addr, end)
			r.waitUntil("the parts are in flight", func() bool { return r.script.startsAt("n1")+r.script.startsAt("n2") == 4 })
			if got := r.queryWithin3s("report", "club", 0); !strings.HasPrefix(got, "complete 0/1") {
				t.Errorf("other client: got %.40q", got)
			}
			if !time.Now().Before(end) {
				t.Errorf("the other client was answered only after the deadline of the slow reader")
			}
			for range 20 { // each uses its own connection or stream; none must wait for the slow reader
				r.queryWithin3s("report", "club", 0)
			}
			r.drain()
			if over := time.Since(end); over < -200*time.Millisecond || over > 2*time.Second {
				t.Errorf("the slow reader's connection ended %v after its deadline", over)
			}
		})
	}
}
