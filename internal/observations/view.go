package observations

import "time"

// View is the state of a data node according to the merged observations of all coordinators.
type View struct {
	Suspect     bool          // it failed recently, and no answer clears the failure
	FailedBy    string        // coordinator that observed the failure, if suspect
	FailedAge   time.Duration // time since the failure, if suspect
	AnsweredAge time.Duration // time since it last answered any coordinator; negative if unknown
	WarmupLeft  time.Duration // remaining warm-up time; 0 if it is warm or its start is unknown
	StartedBy   string        // coordinator that observed the start, if it warms up
	StartAge    time.Duration // time since its start, if it warms up
	Latency     float64       // of a part, in seconds; negative if unknown
	Utilization float64       // share of its cores in use; negative if unknown
}

// View returns the current view of a data node.
func (t *Table) View(now time.Duration, id string) View {
	v := View{AnsweredAge: -1, Latency: -1, Utilization: -1}
	n := t.nodes[id]
	if n == nil {
		return v
	}
	if r := &n.registers[Answered]; r.youngerThan(t.cfg.MaxAge, now) {
		v.AnsweredAge = now - r.observedAt
	}
	if r := &n.registers[Failed]; t.suspect(now, n) {
		v.Suspect, v.FailedBy, v.FailedAge = true, r.stamp.Coordinator, now-r.observedAt
	}
	if r := &n.registers[Started]; r.youngerThan(t.cfg.WarmupTime, now) {
		v.StartAge, v.StartedBy = now-r.observedAt, r.stamp.Coordinator
		v.WarmupLeft = t.cfg.WarmupTime - v.StartAge
	}
	if r := &n.registers[Latency]; r.youngerThan(t.cfg.MaxAge, now) {
		v.Latency = r.value
	}
	if r := &n.registers[Utilization]; r.youngerThan(t.cfg.MaxAge, now) {
		v.Utilization = r.value
	}
	return v
}

// suspect reports whether a data node failed less than SuspectFor ago and no answer clears the failure.
func (t *Table) suspect(now time.Duration, n *node) bool {
	failed, answered := &n.registers[Failed], &n.registers[Answered]
	if !failed.youngerThan(t.cfg.SuspectFor, now) {
		return false
	}
	if !answered.youngerThan(t.cfg.MaxAge, now) || answered.stamp.Compare(failed.stamp) <= 0 {
		return true
	}
	sameCoordinator := answered.stamp.Coordinator == failed.stamp.Coordinator
	return !sameCoordinator && answered.stamp.Physical <= failed.stamp.Physical+t.cfg.MaxSkew.Milliseconds()
}

// Views returns the current view of every data node, by id.
func (t *Table) Views(now time.Duration) map[string]View {
	all := map[string]View{}
	for id := range t.nodes {
		all[id] = t.View(now, id)
	}
	return all
}
