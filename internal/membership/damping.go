package membership

import (
	"math"
	"time"
)

// Penalties in the units of RFC 2439: a withdrawal counts 1000, a change of an attribute half of it.
const (
	withdrawalPenalty = 1000
	drainPenalty      = 500
)

// damping is the figure of merit of one data node after RFC 2439, route flap damping. It holds back only a return, never
// a removal or a drain. Its zero value is a node without a penalty.
type damping struct {
	penalty float64 // at asOf; it halves with each Config.HalfLife
	asOf    time.Time
	until   time.Time // a return is held back until then; zero where it is not
}

// at is the penalty at a time.
func (d *damping) at(cfg *Config, now time.Time) float64 {
	if d.penalty == 0 {
		return 0
	}
	return d.penalty * math.Exp2(-float64(now.Sub(d.asOf))/float64(cfg.HalfLife))
}

// add counts an event against a data node. It tells whether its return is held back from now on and was not before. The
// penalty is capped, so that a return is never held back for longer than Config.MaxSuppress.
func (d *damping) add(cfg *Config, now time.Time, penalty float64) (begun bool) {
	ceiling := cfg.Reuse * math.Exp2(float64(cfg.MaxSuppress)/float64(cfg.HalfLife))
	d.penalty, d.asOf = math.Min(d.at(cfg, now)+penalty, ceiling), now
	former := d.suppressed(now)
	if former || d.penalty >= cfg.Suppress {
		d.until = now.Add(decayTime(cfg, d.penalty, cfg.Reuse))
	}
	return !former && d.suppressed(now)
}

// suppressed tells whether a return is held back at a time.
func (d *damping) suppressed(now time.Time) bool { return now.Before(d.until) }

// decayedAt is when the penalty has no effect any more: at half of the reuse threshold, as in RFC 2439.
func (d *damping) decayedAt(cfg *Config) time.Time {
	return d.asOf.Add(decayTime(cfg, d.penalty, cfg.Reuse/2))
}

// decayTime is how long a penalty takes to decay to a figure.
func decayTime(cfg *Config, from, to float64) time.Duration {
	if from <= to {
		return 0
	}
	return time.Duration(math.Ceil(float64(cfg.HalfLife) * math.Log2(from/to)))
}
