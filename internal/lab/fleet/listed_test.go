package fleet

import "testing"

// TestCountListed checks that data nodes logged one per line and many in one line are both counted. When only the first form
// was counted, the DNS-SD measurement found no data node listed if a long list was logged in one line.
func TestCountListed(t *testing.T) {
	const log = `time=2026-12-03T07:00:00Z level=INFO msg="data node listed" node=s-1 source=discovery
time=2026-12-03T07:00:00Z level=INFO msg="data nodes listed" count=63 source=discovery first=s-2
time=2026-12-03T07:00:01Z level=INFO msg="data node drained" node=s-1 source=discovery
`
	if got := countListed(log); got != 64 {
		t.Errorf("%d data nodes are listed, want 64", got)
	}
}
