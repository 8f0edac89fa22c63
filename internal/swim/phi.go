package swim

import (
	"math"
	"time"
)

const (
	minIntervals  = 3    // before the figures say anything
	minWeight     = 0.05 // of a new interval in the averages
	maxPhi        = 99
	minDeviation  = 1e-6 // seconds
	meanDeviation = 4    // the deviation is at least this part of the mean
)

// intervalStats are the moving mean and variance of the intervals between two packets of a member, in seconds.
type intervalStats struct {
	count          int
	mean, variance float64
}

func (g *intervalStats) add(x float64) {
	g.count++
	w := math.Max(1/float64(g.count), minWeight)
	d := x - g.mean
	g.mean += w * d
	g.variance = (1 - w) * (g.variance + w*d*d)
}

// phi is how unusual the silence of a member is now: minus the decimal logarithm of the chance that a longer one was to be
// expected, after the accrual detector of Hayashibara (2004), with the normal tail approximated by a logistic function. It
// is 0 after too few packets, and infinite after none.
func (m *member) phi(now time.Duration) float64 {
	if m.heard == 0 {
		return math.Inf(1)
	}
	if m.intervals.count < minIntervals {
		return 0
	}
	deviation := math.Max(math.Sqrt(m.intervals.variance), m.intervals.mean/meanDeviation)
	y := ((now - m.heard).Seconds() - m.intervals.mean) / math.Max(deviation, minDeviation)
	e := math.Exp(-y * (1.5976 + 0.070566*y*y))
	if y > 0 {
		return math.Min(-math.Log10(e/(1+e)), maxPhi)
	}
	return -math.Log10(1 - 1/(1+e))
}
