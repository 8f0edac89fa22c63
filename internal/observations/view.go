package observations

import "time"

// View is what all coordinators together have observed of a data node.
type View struct {
	Suspect       bool
	FailedBy      string        // who saw that it fails, where it is suspect
	Failed        time.Duration // how long ago
	Answered      time.Duration // how long ago it last answered any coordinator; below 0 where not known
	WarmingFor    time.Duration // that it warms up yet; 0 where it is warm or nothing is known
	WarmingSeenBy string        // who saw that
	Started       time.Duration // how long ago it started, where it warms up
	Latency       float64       // seconds; below 0 where not known
	Utilization   float64       // below 0 where not known
}

// Of is the view of a data node now.
func (t *Table) Of(now time.Duration, id string) View {
	v := View{Answered: -1, Latency: -1, Utilization: -1}
	n := t.nodes[id]
	if n == nil {
		return v
	}
	if r := &n.registers[Answered]; r.younger(t.cfg.MaxAge, now) {
		v.Answered = now - r.seen
	}
	if r := &n.registers[Failed]; t.suspect(now, n) {
		v.Suspect, v.FailedBy, v.Failed = true, r.stamp.Coordinator, now-r.seen
	}
	if r := &n.registers[Started]; r.younger(t.cfg.WarmupTime, now) {
		v.Started, v.WarmingSeenBy = now-r.seen, r.stamp.Coordinator
		v.WarmingFor = t.cfg.WarmupTime - v.Started
	}
	if r := &n.registers[Latency]; r.younger(t.cfg.MaxAge, now) {
		v.Latency = r.value
	}
	if r := &n.registers[Utilization]; r.younger(t.cfg.MaxAge, now) {
		v.Utilization = r.value
	}
	return v
}

// suspect tells whether a data node has failed lately and no answer clears that.
func (t *Table) suspect(now time.Duration, n *node) bool {
	failed, answered := &n.registers[Failed], &n.registers[Answered]
	if !failed.younger(t.cfg.SuspectFor, now) {
		return false
	}
	if !answered.younger(t.cfg.MaxAge, now) || answered.stamp.Compare(failed.stamp) <= 0 {
		return true
	}
	sameClock := answered.stamp.Coordinator == failed.stamp.Coordinator
	return !sameClock && answered.stamp.Physical <= failed.stamp.Physical+t.cfg.MaxSkew.Milliseconds()
}

// All is the view of each data node now, by id.
func (t *Table) All(now time.Duration) map[string]View {
	all := map[string]View{}
	for id := range t.nodes {
		all[id] = t.Of(now, id)
	}
	return all
}
