package explore

import "fmt"

// violation names the rule that a state breaks; empty for none.
func (m *model) violation(s *state) string {
	if v := m.handedOverViolation(s); v != "" {
		return v
	}
	return m.floorViolation(s)
}

// handedOverViolation checks that nothing is in flight, and nothing may be sent, at a machine that somebody works on. A query part
// there would be lost when the machine is switched off.
func (m *model) handedOverViolation(s *state) string {
	for k := range machineCount {
		if !has(s.handedOver, k) {
			continue
		}
		for i := range s.coordinators {
			if has(s.coordinators[i].inFlight, k) {
				return fmt.Sprintf("a part of %s is out at %s, which is handed over", coordinatorName(i), machineID(k))
			}
			if m.maySend(&s.coordinators[i], k) {
				return fmt.Sprintf("%s may send to %s, which is handed over", coordinatorName(i), machineID(k))
			}
		}
	}
	return ""
}

// floorViolation checks that each shard keeps its floor of machines outside maintenance; one that is still warming up does not count.
func (m *model) floorViolation(s *state) string {
	unavailable := m.plan(s.plan).barred | s.handedOver | s.warming
	for shard := range layout.Shards {
		left := 0
		for replica := range layout.Reach {
			if !has(unavailable, (shard+replica)%layout.ShardSets) {
				left++
			}
		}
		if left < limits.Floor {
			return fmt.Sprintf("shard %d has %d machines outside work and keeps %d", shard, left, limits.Floor)
		}
	}
	return ""
}

// maySend tells whether a coordinator lets a part go to a machine.
func (m *model) maySend(c *coordinator, machine int) bool {
	if !c.running() {
		return false
	}
	if c.is(planLost) {
		return true
	}
	p := m.plan(c.plan)
	if has(p.barred, machine) {
		return false
	}
	return !has(p.announced, machine) || c.is(present) || m.bug == NoPermit
}
