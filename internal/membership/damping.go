package membership

import (
	"math"
	"time"
)

// Penalties in the units of RFC 2439: 1000 for a withdrawal, half of it for a change of an attribute.
const (
	withdrawalPenalty = 1000
	drainPenalty      = 500
)

// damping is the figure of merit of one data node by RFC 2439 (route flap damping). It delays only a return, never a
// removal or a drain. The zero value has no penalty.
type damping struct {
	penalty         float64 // at asOf; it halves every Config.HalfLife
	asOf            time.Time
	suppressedUntil time.Time // a return is suppressed until then; zero if it never was
}

// penaltyAt returns the penalty after its decay until now.
func (d *damping) penaltyAt(cfg *Config, now time.Time) float64 {
	if d.penalty == 0 {
		return 0
	}
	return d.penalty * math.Exp2(-float64(now.Sub(d.asOf))/float64(cfg.HalfLife))
}

// add adds the penalty of an event and reports whether this starts to suppress the data node's return. The penalty is
// capped, so that a return is never suppressed for longer than Config.MaxSuppress.
func (d *damping) add(cfg *Config, now time.Time, penalty float64) (begun bool) {
	ceiling := cfg.Reuse * math.Exp2(float64(cfg.MaxSuppress)/float64(cfg.HalfLife))
	d.penalty, d.asOf = math.Min(d.penaltyAt(cfg, now)+penalty, ceiling), now
	wasSuppressed := d.suppressed(now)
	if wasSuppressed || d.penalty >= cfg.Suppress {
		d.suppressedUntil = now.Add(decayTime(cfg, d.penalty, cfg.Reuse))
	}
	return !wasSuppressed && d.suppressed(now)
}

// suppressed reports whether a return is suppressed at a time.
func (d *damping) suppressed(now time.Time) bool { return now.Before(d.suppressedUntil) }

// decayedAt returns when the penalty stops having an effect: at half of the reuse threshold, as in RFC 2439.
func (d *damping) decayedAt(cfg *Config) time.Time {
	return d.asOf.Add(decayTime(cfg, d.penalty, cfg.Reuse/2))
}

// decayTime returns how long a penalty takes to decay from one value to another.
func decayTime(cfg *Config, from, to float64) time.Duration {
	if from <= to {
		return 0
	}
	return time.Duration(math.Ceil(float64(cfg.HalfLife) * math.Log2(from/to)))
}
