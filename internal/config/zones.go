package config

import (
	"time"

	"gullfall/internal/zones"
)

// Zones configures how a zone that fails as a whole is taken out of use, and how fast load returns to it. zones.Config documents the
// fields; 0 means the default of internal/zones.
type Zones struct {
	Enabled    bool
	Window     Span
	Doubt      float64
	Clear      float64
	Leave      float64
	Margin     float64
	MinFailing int `toml:"min_failing"`
	Confirm    Span
	Quiet      Span
	Wait       Span
	MaxWait    Span `toml:"max_wait"`
	Spread     Span
	Ramp       Span
	Keep       float64
	Drained    []string // zones drained by an operator; reloaded on SIGHUP
}

// ZoneRules returns the configuration of zone detection with this coordinator's seed. It is unused if zones are disabled.
func (d *Deploy) ZoneRules(seed uint64) zones.Config {
	z := d.Zones
	return zones.Config{Window: time.Duration(z.Window), Doubt: z.Doubt, Clear: z.Clear, Leave: z.Leave,
		Margin: z.Margin, MinFailing: z.MinFailing, Confirm: time.Duration(z.Confirm), Quiet: time.Duration(z.Quiet),
		Wait: time.Duration(z.Wait), MaxWait: time.Duration(z.MaxWait), Spread: time.Duration(z.Spread),
		Ramp: time.Duration(z.Ramp), Keep: z.Keep, Seed: seed}
}

func (d *Deploy) checkZones(f *faults) {
	if len(d.Zones.Drained) > 0 && !d.Zones.Enabled {
		f.add("zones.drained: %v: zones are not watched while zones.enabled is false", d.Zones.Drained)
	}
	if err := d.ZoneRules(0).Check(); err != nil {
		f.add("%w (keys in lower case, MaxWait as max_wait, MinFailing as min_failing)", err)
	}
}
