package aggregator

// Many aggregators on one fleet, stepped together: what one does that is harmless alone.

import (
	"fmt"
	"testing"
	"time"
)

// TestProbesOfAFleet: a data node answers so many probes a second and says no to more. Eighty nodes that each lost a
// part must not ask on and on, each no taken for a sign that calls for more; nor may a no cost a replica its parts.
func TestProbesOfAFleet(t *testing.T) {
	const nodes, answered = 80, 12
	set, all := wide(60, 3, nodes)
	var fleet []*bench
	for seed := range uint64(nodes) {
		b := newBench(t, set, all...)
		b.agg, _ = New(set, seed)
		b.step(Event{Kind: ListRemembered, Members: all})
		b.step(asks("first", 3*time.Second, int(seed)%60)...)
		b.step(ended("first/0", 0, Reset))
		fleet = append(fleet, b)
	}
	probes, barred := 0, 0
	for second := range 5 {
		asked := map[string]int{}
		for i, b := range fleet {
			for j := range 2 {
				b.now += time.Second / 2
				id := fmt.Sprint("q", second, "-", j)
				shard := (7*i + 13*second + 29*j) % 60
				acts := b.step(asks(id, 3*time.Second, shard)...)
				var events []Event
				for _, p := range only(acts, Probe) {
					probes++
					e := Event{Kind: ProbeEnded, Replica: p.Replica, Outcome: OK}
					if asked[p.Replica]++; asked[p.Replica] > answered {
						e.Outcome = Errored
					}
					events = append(events, e)
				}
				b.step(events...)
				for _, s := range only(append(acts, b.after(100*ms)...), Send) {
					b.step(ended(s.Part, b.n[s.Part]-1, OK))
				}
			}
		}
	}
	for _, b := range fleet {
		for _, r := range b.agg.fleet {
			if r.ejected {
				barred++
			}
		}
	}
	if probes > 2*nodes || barred > 0 {
		t.Errorf("%d probes after %d lost parts; %d replicas ejected though all answer", probes, nodes, barred)
	}
}
