package aggregator

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// check names the first figure that can't be served.
func (set Settings) validate() error {
	if set.ShardSets < 1 || set.Shards < 1 {
		//lint:ignore ST1005 the message begins with the name of the key
		return fmt.Errorf("Cells, Shards: %d, %d: both must be above 0", set.ShardSets, set.Shards)
	}
	if set.Reach < 1 || set.Reach > set.ShardSets {
		//lint:ignore ST1005 the message begins with the name of the key
		return fmt.Errorf("Reach: %d is not within 1 and Cells (%d)", set.Reach, set.ShardSets)
	}
	if len(set.Classes) == 0 {
		//lint:ignore ST1005 the message begins with the name of the key
		return errors.New("Classes: none")
	}
	bad := func(xs ...float64) bool {
		return slices.ContainsFunc(xs, func(x float64) bool { return !(x >= 0) || math.IsInf(x, 0) })
	}
	for i, c := range set.Classes {
		if c.LatencyObjective <= 0 || c.Deadline <= 0 || c.DedupWindow < 0 || c.FetchParts < 0 ||
			bad(c.Priority, c.LateShare, c.CompleteShare, c.MinShare, c.PartialShare) {
			//lint:ignore ST1005 the message begins with the name of the key
			return fmt.Errorf("Classes[%d]: a figure is negative, not finite or missing", i)
		}
	}
	r, l := set.Rules, set.Limits
	if min(r.DrainGrace, r.OverloadWindow, r.WarmupTime, r.RetryWindow, r.PollInterval, l.MaxRetryAfter, set.Tick,
		set.CallCost) < 0 || bad(r.OverloadMultiple, r.InitialCapacity, r.RetryFloor, r.RetryRatio, set.OverQuotaFactor) {
		return errors.New("Rules, Limits: a figure is negative or not finite")
	}
	return nil
}
