package swim

import (
	"math"
	"time"
)

const (
	minIntervals        = 3    // fewer give no usable estimate
	minIntervalWeight   = 0.05 // least weight of a new interval in the moving averages
	maxPhi              = 99   // upper limit of phi once packets have been received
	minDeviationSeconds = 1e-6
	maxMeanToDeviation  = 4 // the deviation is at least the mean divided by this
)

// intervalStats holds the moving mean and variance of the intervals between packets of a member, in seconds.
type intervalStats struct {
	count          int
	mean, variance float64
}

func (g *intervalStats) add(x float64) {
	g.count++
	w := math.Max(1/float64(g.count), minIntervalWeight)
	d := x - g.mean
	g.mean += w * d
	g.variance = (1 - w) * (g.variance + w*d*d)
}

// phi returns the suspicion level of the phi accrual failure detector (Hayashibara 2004): minus log10 of the probability that
// the member stays silent for longer than it has so far, with the normal tail approximated by a logistic function. It is 0
// after too few packets, and infinite if none was ever received.
func (m *member) phi(now time.Duration) float64 {
	if m.lastHeard == 0 {
		return math.Inf(1)
	}
	if m.intervals.count < minIntervals {
		return 0
	}
	deviation := math.Max(math.Sqrt(m.intervals.variance), m.intervals.mean/maxMeanToDeviation)
	y := ((now - m.lastHeard).Seconds() - m.intervals.mean) / math.Max(deviation, minDeviationSeconds)
	e := math.Exp(-y * (1.5976 + 0.070566*y*y))
	if y > 0 {
		return math.Min(-math.Log10(e/(1+e)), maxPhi)
	}
	return -math.Log10(1 - 1/(1+e))
}
