package explore

import "fmt"

// violation describes the first rule that a state breaks; it returns the empty string if there is none.
func (m *model) violation(s *state) string {
	if v := m.handedOverViolation(s); v != "" {
		return v
	}
	return m.floorViolation(s)
}

// handedOverViolation checks that no part is in flight at a machine that is handed over for maintenance, and that none may be sent to it.
// Such a part would be lost when the machine is switched off.
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

// floorViolation checks that each shard keeps its minimum number of machines outside maintenance. Warming machines do not count.
func (m *model) floorViolation(s *state) string {
	unavailable := m.plan(s.plan).excluded | s.handedOver | s.warming
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

// maySend reports whether a coordinator may send a part to a machine.
func (m *model) maySend(c *coordinator, machine int) bool {
	if !c.running() {
		return false
	}
	if c.is(planLost) {
		return true
	}
	p := m.plan(c.plan)
	if has(p.excluded, machine) {
		return false
	}
	return !has(p.announced, machine) || c.is(present) || m.bug == NoPresenceCheck
}
