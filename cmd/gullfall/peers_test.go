package main

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestPeersTable: the table lists all members; the matrix only those that do not reach another or are not reached.
func TestPeersTable(t *testing.T) {
	v := peersView{Self: "n0", Verdict: "connected", Here: 3, Known: 3, Majority: true, Members: []peerView{
		{Name: "n0", State: "alive", Incarnation: 1, HeardS: -1},
		{Name: "n1", State: "partly", Incarnation: 2, CutTo: []string{"n2"}},
		{Name: "n2", State: "partly", Incarnation: 1, Suspectors: []string{"n1", "n0"}, CutFrom: []string{"n1"}}}}
	var b strings.Builder
	if err := v.table(&b); err != nil {
		t.Fatal(err)
	}
	var got []string
	for line := range strings.Lines(b.String()) {
		got = append(got, strings.Join(strings.Fields(line), " "))
	}
	want := []string{"n0: connected, 3 of 3 here, majority true, own times 1-fold", "name state inc since_s heard_s rtt_ms phi suspected by",
		"n0 alive 1 0.0 -1.0 0.0 0.00", "n1 partly 2 0.0 0.0 0.0 0.00", "n2 partly 1 0.0 0.0 0.0 0.00 n1 n0", "", "from, to n1 n2", "n1 . x", "n2 . ."}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}
