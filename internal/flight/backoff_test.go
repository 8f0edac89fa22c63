package flight

import (
	"testing"
	"time"
)

// TestBackOff: the first failure costs nothing, further ones pauses that double up to a second, and one that comes up
// ends them.
func TestBackOff(t *testing.T) {
	var b backoff
	now := time.Unix(0, 0)
	for i, want := range []time.Duration{0, 50, 100, 200, 400, 800, 1000, 1000, 1000} {
		b.failed(now, 1)
		if want *= time.Millisecond; b.ready(now) != (want == 0) || b.ready(now.Add(want-1)) && want > 0 || !b.ready(now.Add(want)) {
			t.Errorf("failure %d: not open after %v", i+1, want)
		}
		now = now.Add(want)
	}
	b.failed(now, 0)
	if !b.ready(now.Add(500 * time.Millisecond)) {
		t.Error("chance does not spread the pause")
	}
	b.succeeded()
	if !b.ready(now) {
		t.Error("one that comes up does not end the pause")
	}
}
