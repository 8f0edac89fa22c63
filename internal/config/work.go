package config

// This file owns the keys of taking machines out for work.

import (
	"fmt"
	"time"

	"gullfall/internal/maintenance"
)

// Work is how machines are taken out for work; off while Enabled is false.
type Work struct {
	Enabled   bool
	Bound     Span // that machines of open requests are sent to without a word from the store
	Lease     Span // of the duty
	Drift     float64
	Every     Span     // between looks at the plan
	Duties    []string // further duties, beside that of the work on machines
	Floor     int
	PerShard  int `toml:"per_shard"`
	AtOnce    int `toml:"at_once"`
	Share     float64
	ZoneShare float64 `toml:"zone_share"`
	Room      float64
	Hook      []string
	HookTime  Span `toml:"hook_time"`
	Budget    int  // bytes of plans that the duty's holder writes in a second
}

func (w *Work) defaults() {
	set := func(s *Span, d time.Duration) {
		if *s == 0 {
			*s = Span(d)
		}
	}
	set(&w.Bound, 3*time.Second)
	set(&w.Lease, 10*time.Second)
	set(&w.Every, 200*time.Millisecond)
	set(&w.HookTime, time.Minute)
	if w.Budget == 0 {
		w.Budget = 1 << 20
	}
	if w.Drift == 0 {
		w.Drift = 0.01
	}
	if w.Floor == 0 {
		w.Floor = 1
	}
	if w.Share == 0 {
		w.Share = 0.25
	}
	if w.ZoneShare == 0 {
		w.ZoneShare = 0.5
	}
	if w.Room == 0 {
		w.Room = 0.85
	}
}

func (w *Work) check(store Store) (faults []error) {
	fault := func(format string, args ...any) { faults = append(faults, fmt.Errorf(format, args...)) }
	for key, s := range map[string]Span{"bound": w.Bound, "lease": w.Lease, "every": w.Every, "hook_time": w.HookTime} {
		if s < 0 {
			fault("work.%s: %v is negative", key, time.Duration(s))
		}
	}
	if !(w.Drift > 0 && w.Drift < 0.5) {
		fault("work.drift: %v; give the share by which clocks may run fast or slow, above 0 and under 0.5", w.Drift)
	}
	if time.Duration(w.Bound) < 100*time.Millisecond || time.Duration(w.Lease) < 500*time.Millisecond || time.Duration(w.Every) < 10*time.Millisecond {
		fault("work.bound, work.lease, work.every: %v, %v and %v; 100ms, 500ms and 10ms at least", time.Duration(w.Bound), time.Duration(w.Lease), time.Duration(w.Every))
	}
	if w.Budget < 1024 {
		fault("work.budget: %d; 1024 bytes a second at least", w.Budget)
	}
	seen := map[string]bool{maintenance.Duty: true}
	for i, name := range w.Duties {
		if name == "" || len(name) > 64 || seen[name] || len(w.Duties) > 32 {
			fault("work.duties[%d]: %q; names of 1 to 64 bytes, each once, none %q, 32 at most", i, name, maintenance.Duty)
		}
		seen[name] = true
	}
	if err := w.Limits().Check(); err != nil {
		fault("work: floor, per_shard, at_once, share, zone_share, room: %w", err)
	}
	if w.Enabled && store.Listen != "" && store.Directory == "" {
		fault("store.directory: empty, while work.enabled is true and the store has several members; name a folder on a disk that lasts")
	}
	return faults
}

// Limits are the limits as the decisions take them.
func (w *Work) Limits() maintenance.Limits {
	return maintenance.Limits{Floor: w.Floor, PerShard: w.PerShard, AtOnce: w.AtOnce, Share: w.Share, ZoneShare: w.ZoneShare, Room: w.Room}
}
