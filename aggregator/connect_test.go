package aggregator

import (
	"fmt"
	"testing"
	"time"
)

// TestConnectsThatTimeOut: a replica whose connections come up late is left for others, and is not held for one that has
// just started: where nobody else holds the shard it goes on getting all its parts. One that refuses connections may have
// started anew.
func TestConnectsThatTimeOut(t *testing.T) {
	for _, c := range []struct {
		end  Outcome
		cold bool
	}{{ConnectTimeout, false}, {ConnectFailed, true}} {
		set := testSettings()
		set.ShardSets, set.Shards, set.Reach = 1, 1, 1
		b := newHarness(t, set, Member{Replica: "a"})
		for i := range 3 {
			sent := only(b.step(asks(fmt.Sprint("q", i), 3*time.Second, 0)...), Send)
			b.now += 20 * ms
			for _, s := range sent {
				b.step(ended(s.Part, 0, c.end))
			}
		}
		if r := b.aggregator.endpoints.byName["a"]; r.slowStart.active != c.cold || !r.outlier.ejected {
			t.Errorf("outcome %d: cold %v, ejected %v; want cold %v and ejected", c.end, r.slowStart.active, r.outlier.ejected, c.cold)
		}
	}
}
