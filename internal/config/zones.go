package config

import (
	"time"

	"gullfall/internal/zones"
)

// Zones is how a zone that fails as a whole is left, and how fast work returns to it. A figure of 0 takes the default of internal/zones,
// whose Config says what each means.
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
	Drained    []string // zones that an operator has drained; read again on SIGHUP
}

// ZoneRules are the figures by which the states of zones are decided, with this coordinator's seed. They are unused where zones are off.
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
