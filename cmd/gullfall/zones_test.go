package main

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gullfall/internal/zones"
)

// TestZonesTable: the table shows each zone's verdict and whether it is drained, and a zone that is out the time until its return.
func TestZonesTable(t *testing.T) {
	now := time.Now()
	views := zoneViews([]zones.Status{
		{Zone: "b", State: zones.Out, Since: now.Add(-2 * time.Second), Nodes: 4, Failing: 4, OthersShare: 0.25, FailedRecoveries: 1, RecoveryStart: now.Add(1500 * time.Millisecond), Reason: "left"},
		{Zone: "a", State: zones.Healthy, Nodes: 4},
		{Zone: "c", State: zones.Out, Since: now, Nodes: 4, Drained: true, Reason: "by hand"},
	}, now)
	if views[1].ReturnS != 1.5 {
		t.Errorf("zone b returns in %v s, not 1.5", views[1].ReturnS)
	}
	var b strings.Builder
	if err := zonesTable(&b, views); err != nil {
		t.Fatal(err)
	}
	var got []string
	for line := range strings.Lines(b.String()) {
		got = append(got, strings.Join(strings.Fields(line), " "))
	}
	want := []string{"zone verdict since_s failing others failed returns why", "a healthy 0.0 0 of 4 0% 0", "b out 2.0 4 of 4 25% 1 left", "c out, drained 0.0 0 of 4 0% 0 by hand"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}
