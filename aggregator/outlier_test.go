package aggregator

import (
	"fmt"
	"testing"
	"time"
)

// TestFaultyReplicaLosesItsTrafficAndRegainsIt checks, for each fault, that a replica loses its traffic during the fault
// and regains it afterwards. Where the test gives NotSent as outcome, the replica does not answer.
func TestFaultyReplicaLosesItsTrafficAndRegainsIt(t *testing.T) {
	for name, fault := range map[string]struct {
		outcome Outcome
		took    time.Duration
	}{
		"quick errors":   {Errored, 5 * ms},
		"no answer":      {NotSent, 0},
		"connect failed": {ConnectFailed, 20 * ms},
		"resets":         {Reset, 20 * ms},
		"slow":           {OK, 600 * ms},
	} {
		for _, probes := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", probes ", probes), func(t *testing.T) {
				faulty := false
				set := testSettings()
				set.Limits.Probes = probes
				f := newReactingFleet(t, set, func(r string) (Outcome, time.Duration) {
					if faulty && r == "a" {
						return fault.outcome, fault.took
					}
					return OK, 50 * ms
				})
				f.run(3*time.Second, 20*ms)
				if f.sends["a"] < 30 {
					t.Fatalf("healthy replica got %d of 150 parts", f.sends["a"])
				}
				faulty = true
				f.run(2*time.Second, 20*ms)
				f.run(4*time.Second, 20*ms)
				if f.sends["a"] > 20 {
					t.Errorf("the faulty replica got %d of 200 parts", f.sends["a"])
				}
				faulty = false
				f.run(16*time.Second, 20*ms)
				f.run(3*time.Second, 20*ms)
				if f.sends["a"] < 25 {
					t.Errorf("the recovered replica got %d of 150 parts", f.sends["a"])
				}
			})
		}
	}
}

// TestFullReplicaGetsNoRetries checks that a replica that rejects parts does not attract the retries, although it has no
// open calls.
func TestFullReplicaGetsNoRetries(t *testing.T) {
	full := false
	f := newReactingFleet(t, testSettings(), func(r string) (Outcome, time.Duration) {
		if full && r == "a" {
			return Rejected, 2 * ms
		}
		return OK, 50 * ms
	})
	f.run(3*time.Second, 20*ms)
	full = true
	f.run(3*time.Second, 20*ms)
	if f.sends["a"] > 40 {
		t.Errorf("the full replica got %d of 150 parts", f.sends["a"])
	}
}

// TestEjectionNeverEmptiesAShard checks that parts are still sent if every holder of a shard fails.
func TestEjectionNeverEmptiesAShard(t *testing.T) {
	failing := true
	f := newReactingFleet(t, testSettings(), func(string) (Outcome, time.Duration) {
		if failing {
			return Errored, 5 * ms
		}
		return OK, 50 * ms
	})
	f.run(3*time.Second, 50*ms)
	failing = false
	f.run(12*time.Second, 50*ms)
	if answers := actionsOf(f.run(2*time.Second, 50*ms), Answer); len(answers) < 35 {
		t.Errorf("%d of 40 queries answered after all replicas recovered", len(answers))
	}
}

// TestConnectTimeoutStartsNoSlowStart checks that a replica whose connections time out is ejected but not taken as
// restarted, as it would then get few parts even if no other replica holds the shard. One that refuses connections may have
// restarted.
func TestConnectTimeoutStartsNoSlowStart(t *testing.T) {
	for _, c := range []struct {
		end       Outcome
		slowStart bool
	}{{ConnectTimeout, false}, {ConnectFailed, true}} {
		set := testSettings()
		set.ShardSets, set.Shards, set.Reach = 1, 1, 1
		h := newHarness(t, set, Member{Replica: "a"})
		for i := range 3 {
			sent := actionsOf(h.step(queryEvents(fmt.Sprint("q", i), 3*time.Second, 0)...), Send)
			h.now += 20 * ms
			for _, s := range sent {
				h.step(attemptEnded(s.Part, 0, c.end))
			}
		}
		if r := h.aggregator.endpoints.byName["a"]; r.slowStart.active != c.slowStart || !r.outlier.ejected {
			t.Errorf("outcome %d: slow start %v, ejected %v; want slow start %v and ejected", c.end, r.slowStart.active, r.outlier.ejected, c.slowStart)
		}
	}
}
