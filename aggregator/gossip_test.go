package aggregator

import (
	"bytes"
	"fmt"
	"testing"
	"time"
)

// TestGossipRoundTrip checks that decoded entries match to within one level, that messages respect the maximum size, and
// that arbitrary bytes are handled.
func TestGossipRoundTrip(t *testing.T) {
	objective := 2 * time.Second
	list := []gossipEntry{{1, gossipSent, 500 * ms}, {65535, gossipExcess, 1900 * ms}, {7, gossipExcess, 9 * time.Second}}
	got := decodeGossip(encodeGossip(list, objective), objective)
	for i, n := range got {
		want := min(list[i].duration, objective)
		if n.tag != list[i].tag || n.kind != list[i].kind || n.duration < want-20*ms || n.duration > want+20*ms {
			t.Errorf("entry %d: %+v became %+v", i, list[i], n)
		}
	}
	if n := len(encodeGossip(make([]gossipEntry, 200), objective)); n > maxGossipBytes || len(got) != len(list) {
		t.Errorf("%d bytes, %d entries", n, len(got))
	}
	for _, bad := range [][]byte{nil, {1}, bytes.Repeat([]byte{255}, 256), bytes.Repeat([]byte{9}, 999)} {
		for _, n := range decodeGossip(bad, objective) {
			if n.duration < 0 || n.duration > 3*objective {
				t.Errorf("%v: %+v", bad[:3], n)
			}
		}
	}
}

// TestGossipBreaksTies checks that, among replicas with equally many calls of this aggregator, one to which others have
// sent work is avoided; that the aggregator's own calls come first; and that gossip ejects no replica.
func TestGossipBreaksTies(t *testing.T) {
	set := testSettings()
	set.Limits.Gossip = true
	busy := encodeGossip([]gossipEntry{{replicaTag("a"), gossipSent, 900 * ms}, {replicaTag("none"), gossipSent, 900 * ms}}, time.Second)
	got := map[string]int{}
	for seed := range uint64(40) {
		a, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		a.Step(time.Second, []Event{{Kind: ListCached, Members: members("a", "b", "c")}}, nil)
		events := append([]Event{{Kind: GossipReceived, Data: busy}}, queryEvents("q", time.Second, 0, 1, 2)...)
		acts := a.Step(2*time.Second, events, nil)
		for _, s := range actionsOf(acts, Send) {
			got[s.Replica]++
		}
		if len(actionsOf(acts, SendGossip)) != 1 {
			t.Fatalf("%d messages for one query", len(actionsOf(acts, SendGossip)))
		}
		if a.endpoints.byName["a"].outlier.ejected {
			t.Fatal("gossip ejected a replica")
		}
	}
	if got["a"] != 40 || got["b"] != 40 {
		t.Errorf("three parts on three replicas went %v: own calls must come first", got)
	}
	got = map[string]int{}
	for seed := range uint64(40) {
		a, _ := New(set, seed)
		a.Step(time.Second, []Event{{Kind: ListCached, Members: members("a", "b", "c")}}, nil)
		events := append([]Event{{Kind: GossipReceived, Data: busy}}, queryEvents("q", time.Second, 0)...)
		for _, s := range actionsOf(a.Step(2*time.Second, events, nil), Send) {
			got[s.Replica]++
		}
	}
	if got["a"] > 0 {
		t.Errorf("%d of 40 parts went to the replica to which others have sent work", got["a"])
	}
}

// TestNoGossipWithoutPermission checks that without permission no message is sent and no entry recorded.
func TestNoGossipWithoutPermission(t *testing.T) {
	h := newHarness(t, testSettings(), members("a", "b", "c")...)
	for i := range 5 {
		if acts := h.step(queryEvents(fmt.Sprint(i), time.Second, 0)...); len(actionsOf(acts, SendGossip)) > 0 || len(h.aggregator.outbox.entries) > 0 {
			t.Fatal("a gossip message was sent or an entry recorded")
		}
	}
}
