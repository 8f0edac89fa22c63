package flight

import (
	"testing"
	"time"
)

// TestBackoff: there is no pause after the first failure, after further ones it doubles up to one second, and a connection that comes
// up resets it.
func TestBackoff(t *testing.T) {
	var b backoff
	now := time.Unix(0, 0)
	for i, want := range []time.Duration{0, 50, 100, 200, 400, 800, 1000, 1000, 1000} {
		b.failed(now, 1)
		if want *= time.Millisecond; b.ready(now) != (want == 0) || b.ready(now.Add(want-1)) && want > 0 || !b.ready(now.Add(want)) {
			t.Errorf("failure %d: pause is not %v", i+1, want)
		}
		now = now.Add(want)
	}
	b.failed(now, 0)
	if !b.ready(now.Add(500 * time.Millisecond)) {
		t.Error("jitter does not shorten the pause")
	}
	b.succeeded()
	if !b.ready(now) {
		t.Error("a connection that came up does not end the pause")
	}
}
