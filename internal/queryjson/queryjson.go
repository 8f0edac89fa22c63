// Package queryjson reads the JSON form in which both fronts receive the parts of a query. Whether the deployment knows a shard is for
// the coordinator to say.
package queryjson

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"gullfall/internal/coordinator"
)

// MaxBytes is the longest form that the fronts read.
const MaxBytes = 64 << 10

// Parts reads {"shards":[{"shard":3,"weight":0.5,"cost":9000,"key":"..."}],"q":"..."}; cost is in microseconds. It returns the parts of
// a query and the text that each carries. An error wraps coordinator.ErrInvalidQuery.
func Parts(raw []byte) (parts []coordinator.Part, text string, err error) {
	// The struct has no name and its fields no tags because clients read both in the errors of encoding/json.
	var body struct {
		Shards []struct {
			Shard  *int
			Weight float64
			Cost   float64
			Key    string
		}
		Q string
	}
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, "", fmt.Errorf("%w: %w", coordinator.ErrInvalidQuery, err)
	}
	for _, s := range body.Shards {
		if s.Shard == nil {
			return nil, "", fmt.Errorf("%w: a part without its shard", coordinator.ErrInvalidQuery)
		}
		if !(math.Abs(s.Cost) < math.MaxInt32) { // beyond what a time.Duration holds, or no number
			return nil, "", fmt.Errorf("%w: cost of shard %d", coordinator.ErrInvalidQuery, *s.Shard)
		}
		parts = append(parts, coordinator.Part{Shard: *s.Shard, Weight: s.Weight, Key: s.Key,
			ExpectedWork: time.Duration(s.Cost * float64(time.Microsecond))})
	}
	return parts, body.Q, nil
}
