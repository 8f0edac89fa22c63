package coordinator

import (
	"testing"
	"time"
)

// TestAttemptIsNotSentOnceConditionsHaveChanged guards against an attempt that is written to a data node although something has
// happened since the module decided it. The dispatcher's other commands may come later than its frame, so Sendable alone decides.
func TestAttemptIsNotSentOnceConditionsHaveChanged(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name   string
		change func(a *Attempt)
		want   Outcome // 0 if it may be sent
	}{
		{"nothing has changed", func(*Attempt) {}, 0},
		{"its query has ended", func(a *Attempt) { a.part.query.closed.Store(true) }, NotSent},
		{"its data node drains", func(a *Attempt) { a.node.excluded.Store(true) }, Overloaded},
		{"its data node has started anew", func(a *Attempt) { a.node.restartVersion.Store(6) }, NotSent},
		{"its data node had started anew before", func(a *Attempt) { a.node.restartVersion.Store(5) }, 0},
		{"the deduplication window is open", func(a *Attempt) { a.sendBefore = now }, 0},
		{"the deduplication window has ended", func(a *Attempt) { a.sendBefore = now.Add(-time.Nanosecond) }, Overloaded},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := &Attempt{part: &part{query: &query{}}, node: &Node{c: &Coordinator{}}, listVersion: 5}
			c.change(a)
			outcome, ok := a.Sendable(now)
			if outcome != c.want || ok != (c.want == 0) {
				t.Errorf("outcome %v, sendable %v; want outcome %v", outcome, ok, c.want)
			}
		})
	}
}
