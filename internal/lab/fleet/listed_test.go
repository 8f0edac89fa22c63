package fleet

import "testing"

// TestCountListed counts data nodes that were listed one by one and many at once. The lab's DNS-SD measurement once looked for
// the first form only, and ended with no data node listed once a long list was logged in one line.
func TestCountListed(t *testing.T) {
	const log = `time=2026-12-03T07:00:00Z level=INFO msg="data node listed" node=s-1 source=discovery
time=2026-12-03T07:00:00Z level=INFO msg="data nodes listed" count=63 source=discovery first=s-2
time=2026-12-03T07:00:01Z level=INFO msg="data node drained" node=s-1 source=discovery
`
	if got := countListed(log); got != 64 {
		t.Errorf("%d data nodes are listed, want 64", got)
	}
}
