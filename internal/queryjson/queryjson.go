// Package queryjson decodes the JSON form in which both fronts receive the parts of a query. It does not check whether a shard
// exists in the deployment; the coordinator does.
package queryjson

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"gullfall/internal/coordinator"
)

// MaxBytes is the size limit of the JSON form.
const MaxBytes = 64 << 10

// Parts decodes {"shards":[{"shard":3,"weight":0.5,"cost":9000,"key":"..."}],"q":"..."}, where cost is in microseconds. It returns
// the parts of a query and the text that all of them carry. Errors wrap coordinator.ErrInvalidQuery.
func Parts(raw []byte) (parts []coordinator.Part, text string, err error) {
	// The struct has no name and its fields have no tags, because errors of encoding/json quote both and are sent to clients.
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
		if !(math.Abs(s.Cost) < math.MaxInt32) { // beyond the range of time.Duration, or NaN
			return nil, "", fmt.Errorf("%w: cost of shard %d", coordinator.ErrInvalidQuery, *s.Shard)
		}
		parts = append(parts, coordinator.Part{Shard: *s.Shard, Weight: s.Weight, Key: s.Key,
			ExpectedWork: time.Duration(s.Cost * float64(time.Microsecond))})
	}
	return parts, body.Q, nil
}
