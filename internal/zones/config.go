package zones

import (
	"cmp"
	"fmt"
	"time"
)

// Config holds the thresholds. Shares are fractions of data nodes, from 0 to 1. The field names match the keys under [zones]
// in the deploy file. A zero field takes its default; Check validates the others.
type Config struct {
	Window     time.Duration // how long evidence counts
	Doubt      float64       // share of failing data nodes at which a zone becomes suspect
	Clear      float64       // share below which a suspect zone is healthy again
	Leave      float64       // share at which a suspect zone is taken out
	Margin     float64       // least difference between a zone's share and that of the other zones
	MinFailing int           // least number of failing data nodes that makes a zone suspect
	Confirm    time.Duration // how long the share must stay at Leave or above before the zone is taken out
	Quiet      time.Duration // time without a failure before a recovery begins
	Wait       time.Duration // shortest time out; doubled with each failed recovery
	MaxWait    time.Duration // upper limit of the doubled Wait
	Spread     time.Duration // range of the random delay of a recovery, so that coordinators do not start together
	Ramp       time.Duration // duration of a recovery
	Keep       float64       // share of all data nodes that must remain in zones that are not out
	Seed       uint64        // seed of this coordinator's random delays
}

// Defaults are the thresholds for a site with a few data nodes per zone: a zone is taken out only if most of it fails together,
// within 1.5 seconds of the first evidence. Per-node handling alone takes longer to react.
var Defaults = Config{
	Window: 3 * time.Second, Doubt: 0.34, Clear: 0.2, Leave: 0.6, Margin: 0.3, MinFailing: 2,
	Confirm: 500 * time.Millisecond, Quiet: time.Second, Wait: time.Second, MaxWait: 30 * time.Second,
	Spread: 2 * time.Second, Ramp: 10 * time.Second, Keep: 0.5,
}

func (c Config) withDefaults() Config {
	c.Window = cmp.Or(c.Window, Defaults.Window)
	c.Doubt = cmp.Or(c.Doubt, Defaults.Doubt)
	c.Clear = cmp.Or(c.Clear, Defaults.Clear)
	c.Leave = cmp.Or(c.Leave, Defaults.Leave)
	c.Margin = cmp.Or(c.Margin, Defaults.Margin)
	c.MinFailing = cmp.Or(c.MinFailing, Defaults.MinFailing)
	c.Confirm = cmp.Or(c.Confirm, Defaults.Confirm)
	c.Quiet = cmp.Or(c.Quiet, Defaults.Quiet)
	c.Wait = cmp.Or(c.Wait, Defaults.Wait)
	c.MaxWait = cmp.Or(c.MaxWait, Defaults.MaxWait)
	c.Spread = cmp.Or(c.Spread, Defaults.Spread)
	c.Ramp = cmp.Or(c.Ramp, Defaults.Ramp)
	c.Keep = cmp.Or(c.Keep, Defaults.Keep)
	return c
}

// Check returns an error that names the first field that is out of range once defaults are applied.
func (c Config) Check() error {
	c = c.withDefaults()
	for _, f := range []struct {
		name  string
		value time.Duration
	}{{"Window", c.Window}, {"Confirm", c.Confirm}, {"Quiet", c.Quiet}, {"Wait", c.Wait}, {"MaxWait", c.MaxWait},
		{"Spread", c.Spread}, {"Ramp", c.Ramp}} {
		if f.value < 0 {
			return fmt.Errorf("zones: %s is %v; it must not be negative", f.name, f.value)
		}
	}
	for _, f := range []struct {
		name  string
		value float64
	}{{"Doubt", c.Doubt}, {"Clear", c.Clear}, {"Leave", c.Leave}, {"Margin", c.Margin}, {"Keep", c.Keep}} {
		if f.value < 0 || f.value > 1 {
			return fmt.Errorf("zones: %s is %v; it must be within 0 and 1", f.name, f.value)
		}
	}
	switch {
	case c.Clear >= c.Doubt:
		return fmt.Errorf("zones: Clear (%v) must be under Doubt (%v), or one data node can toggle a zone", c.Clear, c.Doubt)
	case c.Leave < c.Doubt:
		return fmt.Errorf("zones: Leave (%v) must not be under Doubt (%v)", c.Leave, c.Doubt)
	case c.MinFailing < 1:
		return fmt.Errorf("zones: MinFailing is %d; it must be at least 1", c.MinFailing)
	case c.MaxWait < c.Wait:
		return fmt.Errorf("zones: MaxWait (%v) must not be under Wait (%v)", c.MaxWait, c.Wait)
	}
	return nil
}
