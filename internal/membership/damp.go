package membership

// This file owns the penalties of data nodes that come and go, after RFC 2439. It must never hold back a removal or
// a drain: only a return.

import (
	"math"
	"time"
)

// damping is the figure of merit of one data node. Its zero value is one without a penalty.
type damping struct {
	penalty float64
	at      time.Time // as of when
	until   time.Time // a return is held back until then; zero where it is not
}

// now is the penalty at a time.
func (d *damping) now(cfg *Config, at time.Time) float64 {
	if d.penalty == 0 {
		return 0
	}
	return d.penalty * math.Exp2(-float64(at.Sub(d.at))/float64(cfg.HalfLife))
}

// add counts an event against a data node; it tells whether its return is held back from now on.
func (d *damping) add(cfg *Config, at time.Time, by float64) (begun bool) {
	ceiling := cfg.Reuse * math.Exp2(float64(cfg.MaxSuppress)/float64(cfg.HalfLife))
	d.penalty, d.at = math.Min(d.now(cfg, at)+by, ceiling), at
	held := d.held(at)
	if held || d.penalty >= cfg.Suppress {
		d.until = at.Add(fall(cfg, d.penalty, cfg.Reuse))
	}
	return !held && d.held(at)
}

// held tells whether a return is held back at a time.
func (d *damping) held(at time.Time) bool { return at.Before(d.until) }

// forgotten is when nothing needs to be known of the penalty any more: at half of the reuse threshold.
func (d *damping) forgotten(cfg *Config) time.Time {
	return d.at.Add(fall(cfg, d.penalty, cfg.Reuse/2))
}

// fall is how long a penalty takes to decay to a figure.
func fall(cfg *Config, from, to float64) time.Duration {
	if from <= to {
		return 0
	}
	return time.Duration(math.Ceil(float64(cfg.HalfLife) * math.Log2(from/to)))
}
