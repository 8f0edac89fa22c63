package fleetlog

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// currentLogs are the logs of two coordinators with bench times, with one line that can't be read.
var currentLogs = map[string]string{
	"n0.log": `0.5 time=2026-12-01T22:00:00.5Z level=DEBUG msg="query ended" query=a class=board status=answered complete=true parts=2 took=40ms
1.5 time=2026-12-01T22:00:01.5Z level=INFO msg="query rejected" query=b class=board reason="forecast too late" after=0s left=1s parts=2 missing="[3 7]"
1.6 time=2026-12-01T22:00:01.6Z level=DEBUG msg="query ended" query=b class=board status=rejected complete=false parts=2 took=0s
nonsense
`,
	"n1.log": `2.5 time=2026-12-01T22:00:02.5Z level=INFO msg="query failed" query=c class=entry reason="deadline exceeded" after=300ms left=1s parts=3 missing="[3 s-1 in flight 300ms 7 s-2 cancelled 300ms s-1 overloaded 9ms 9]"
2.6 time=2026-12-01T22:00:02.6Z level=DEBUG msg="query ended" query=c class=entry status=failed complete=false parts=3 took=300ms
2.7 time=2026-12-01T22:00:02.7Z level=DEBUG msg="query ended" query=d class=board status=answered complete=false parts=2 took=90ms
2.8 time=2026-12-01T22:00:02.8Z level=DEBUG msg="attempt ended" node=s-1 part=c.3 end=cancelled load=0.5 took=300ms
`,
}

// earlierLogs are the same logs in the words of earlier versions.
var earlierLogs = map[string]string{
	"n0.log": `0.5 time=2026-12-01T22:00:00.5Z level=DEBUG msg="query ended" query=a class=board verdict=1 whole=true parts=2 took=40ms
1.5 time=2026-12-01T22:00:01.5Z level=INFO msg="query refused" query=b class=board why=forecast after=0s left=1s parts=2 missing="[3 7]"
1.6 time=2026-12-01T22:00:01.6Z level=DEBUG msg="query ended" query=b class=board verdict=2 whole=false parts=2 took=0s
nonsense
`,
	"n1.log": `2.5 time=2026-12-01T22:00:02.5Z level=INFO msg="query failed" query=c class=entry why=late after=300ms left=1s parts=3 missing="[3 s-1 out 300ms 7 s-2 given up 300ms s-1 busy 9ms 9]"
2.6 time=2026-12-01T22:00:02.6Z level=DEBUG msg="query ended" query=c class=entry verdict=3 whole=false parts=3 took=300ms
2.7 time=2026-12-01T22:00:02.7Z level=DEBUG msg="query ended" query=d class=board verdict=1 whole=false parts=2 took=90ms
2.8 time=2026-12-01T22:00:02.8Z level=DEBUG msg="attempt ended" node=s-1 part=c.3 end="given up" load=0.5 took=300ms
`,
}

// TestRead checks that logs of the current and of earlier versions give the same report.
func TestRead(t *testing.T) {
	for name, logs := range map[string]map[string]string{"current": currentLogs, "earlier": earlierLogs} {
		t.Run(name, func(t *testing.T) { testRead(t, logs) })
	}
	if _, err := Read(t.TempDir()); err == nil {
		t.Errorf("reading an empty folder gave no error")
	}
}

func testRead(t *testing.T, logs map[string]string) {
	t.Helper()
	dir := t.TempDir()
	for name, text := range logs {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	r, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	type row struct {
		Outcome
		N int
	}
	var outcomes []row
	for _, w := range r.Outcomes {
		outcomes = append(outcomes, row{w.Outcome, w.Queries})
	}
	want := []row{{Outcome{"failed", "deadline exceeded", "in flight", "entry"}, 1}, {Outcome{"partial", "", "", "board"}, 1}, {Outcome{"rejected", "forecast too late", "unsent", "board"}, 1}}
	if diff := cmp.Diff(want, outcomes); diff != "" {
		t.Errorf("outcomes (-want +got)\n%s", diff)
	}
	if diff := cmp.Diff([]Node{{"s-1", 2, map[string]int{"in flight": 1, "overloaded": 1}}}, r.Nodes); diff != "" {
		t.Errorf("nodes (-want +got)\n%s", diff)
	}
	if r.Queries != 4 || r.Unread != 1 || r.Logs != 2 || r.Second["rejected forecast too late"][1] != 1 || len(r.Attempts) != 1 || r.Attempts[0].N != 1 || r.Attempts[0].End != "cancelled" {
		t.Errorf("report %+v", r)
	}
}
