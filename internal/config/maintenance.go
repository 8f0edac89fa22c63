package config

import (
	"time"

	"gullfall/internal/maintenance"
)

// Work configures maintenance, by which machines are taken out of service; disabled unless Enabled is true.
type Work struct {
	Enabled   bool
	Bound     Span     // how long a coordinator without contact to the store still uses the machines of open requests
	Lease     Span     // duration of the lease on a duty
	Drift     float64  // maximum relative error of clock rates
	Every     Span     // interval at which the plan is checked
	Duties    []string // names of duties in addition to maintenance
	Floor     int      // this and the next five fields: see maintenance.Limits
	PerShard  int      `toml:"per_shard"`
	AtOnce    int      `toml:"at_once"`
	Share     float64
	ZoneShare float64  `toml:"zone_share"`
	Capacity  float64  `toml:"room"`
	Hook      []string // command run when a machine is out, and when it is back and has warmed up; none if empty
	HookTime  Span     `toml:"hook_time"` // longest time that the hook may run
	Budget    int      // bytes of plans that the lease holder may write per second
}

// Bounds of the keys under work.
const (
	minBound     = 100 * time.Millisecond
	minLease     = 500 * time.Millisecond
	minEvery     = 10 * time.Millisecond
	maxDrift     = 0.5
	minBudget    = 1024 // bytes per second
	maxDuties    = 32
	maxDutyBytes = 64
)

func (w *Work) defaults() {
	setDefault(&w.Bound, Span(3*time.Second))
	setDefault(&w.Lease, Span(10*time.Second))
	setDefault(&w.Every, Span(200*time.Millisecond))
	setDefault(&w.HookTime, Span(time.Minute))
	setDefault(&w.Budget, 1<<20)
	setDefault(&w.Drift, 0.01)
	setDefault(&w.Floor, 1)
	setDefault(&w.Share, 0.25)
	setDefault(&w.ZoneShare, 0.5)
	setDefault(&w.Capacity, 0.85)
}

func (w *Work) check(f *faults, store Store) {
	w.checkTimes(f)
	if w.Budget < minBudget {
		f.add("work.budget: %d; must be at least 1024 bytes per second", w.Budget)
	}
	w.checkDuties(f)
	if err := w.Limits().Check(); err != nil {
		f.add("work: floor, per_shard, at_once, share, zone_share, room: %w", err)
	}
	if w.Enabled && store.Listen != "" && store.Directory == "" {
		f.add("store.directory: empty, while work.enabled is true and the store has several members; name a directory on a persistent disk")
	}
}

func (w *Work) checkTimes(f *faults) {
	bound, lease, every := time.Duration(w.Bound), time.Duration(w.Lease), time.Duration(w.Every)
	for _, v := range []struct {
		key   string
		value time.Duration
	}{{"bound", bound}, {"lease", lease}, {"every", every}, {"hook_time", time.Duration(w.HookTime)}} {
		if v.value < 0 {
			f.add("work.%s: %v is negative", v.key, v.value)
		}
	}
	if !(w.Drift > 0 && w.Drift < maxDrift) {
		f.add("work.drift: %v; must be the fraction by which clocks may run fast or slow, above 0 and under 0.5", w.Drift)
	}
	if bound < minBound || lease < minLease || every < minEvery {
		f.add("work.bound, work.lease, work.every: %v, %v and %v; must be at least 100ms, 500ms and 10ms", bound, lease, every)
	}
}

func (w *Work) checkDuties(f *faults) {
	seen := map[string]bool{maintenance.Duty: true}
	for i, name := range w.Duties {
		if name == "" || len(name) > maxDutyBytes || seen[name] || len(w.Duties) > maxDuties {
			f.add("work.duties[%d]: %q; give at most 32 distinct names of 1 to 64 bytes, none of them %q", i, name, maintenance.Duty)
		}
		seen[name] = true
	}
}

// Limits returns the limits as internal/maintenance takes them.
func (w *Work) Limits() maintenance.Limits {
	return maintenance.Limits{Floor: w.Floor, PerShard: w.PerShard, AtOnce: w.AtOnce, Share: w.Share, ZoneShare: w.ZoneShare, Room: w.Capacity}
}
