package zones

import (
	"cmp"
	"fmt"
	"time"
)

// Config holds the thresholds. Shares are of data nodes, from 0 to 1. The names are those of the keys under [zones] in the
// deploy file. The zero value of a field stands for its default; Check tells what is wrong with the rest.
type Config struct {
	Window     time.Duration // evidence older than this is forgotten
	Doubt      float64       // share of failing data nodes from which a zone is suspect
	Clear      float64       // share under which a suspect zone is healthy again
	Leave      float64       // share from which a suspect zone goes out
	Margin     float64       // how far a zone's share must be above that of the other zones
	MinFailing int           // fewer failing data nodes never make a zone suspect
	Confirm    time.Duration // how long the share must be at Leave before the zone goes out
	Quiet      time.Duration // how long nothing must fail before recovery begins
	Wait       time.Duration // least time out; it doubles with each recovery that fails
	MaxWait    time.Duration // most time out before recovery is tried
	Spread     time.Duration // the start of a recovery is drawn within this, so that coordinators do not start in step
	Ramp       time.Duration // how long a zone recovers
	Keep       float64       // share of all data nodes that must remain outside zones that are out
	Seed       uint64        // of this coordinator's draws
}

// Defaults are the thresholds of a site with a few data nodes per zone: a zone goes out only when most of it fails
// together, within a second and a half of evidence, which the per-node handling alone takes longer to learn.
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

// Check returns an error that names the first field that is out of range, after defaults.
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
		return fmt.Errorf("zones: Clear (%v) must be under Doubt (%v), or a zone flips on one data node", c.Clear, c.Doubt)
	case c.Leave < c.Doubt:
		return fmt.Errorf("zones: Leave (%v) must not be under Doubt (%v)", c.Leave, c.Doubt)
	case c.MinFailing < 1:
		return fmt.Errorf("zones: MinFailing is %d; it must be at least 1", c.MinFailing)
	case c.MaxWait < c.Wait:
		return fmt.Errorf("zones: MaxWait (%v) must not be under Wait (%v)", c.MaxWait, c.Wait)
	}
	return nil
}
