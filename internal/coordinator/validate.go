package coordinator

import (
	"fmt"
	"math"

	"gullfall/aggregator"
)

// Limits on the fields of a query.
const (
	weightTolerance = 1e-3 // clients round weights, so their sum may differ from 1 by this much
	maxIDLength     = 128  // bytes
	maxKeyLength    = 128  // length of an idempotency key, in bytes
)

// Validate checks everything about a query but its deadline. The error wraps ErrInvalidQuery; its message is sent to the client.
func (c *Coordinator) Validate(q *Query) error {
	if _, known := c.classes[q.Class]; !known {
		return fmt.Errorf("%w: unknown class %q", ErrInvalidQuery, q.Class)
	}
	if _, known := c.tenants[q.Tenant]; !known && len(c.tenants) > 0 {
		return fmt.Errorf("%w: unknown owner %q", ErrInvalidQuery, q.Tenant)
	}
	if err := validateID(q.ID); err != nil {
		return err
	}
	if err := c.validateKey(q); err != nil {
		return err
	}
	return c.validateParts(q.Parts)
}

func validateID(id string) error {
	if id == "" || len(id) > maxIDLength {
		return fmt.Errorf("%w: id of %d bytes", ErrInvalidQuery, len(id))
	}
	for _, r := range id {
		if !isVisibleASCII(r) {
			return fmt.Errorf("%w: id %q", ErrInvalidQuery, id)
		}
	}
	return nil
}

func isVisibleASCII(r rune) bool { return r > ' ' && r <= '~' }

// validateParts checks that the shards exist and are not repeated, and that the weights add up to 1.
func (c *Coordinator) validateParts(parts []Part) error {
	if len(parts) == 0 {
		return fmt.Errorf("%w: no shards", ErrInvalidQuery)
	}
	seen, sum := map[int]bool{}, 0.0
	for _, p := range parts {
		if p.Shard < 0 || p.Shard >= c.settings.Shards || seen[p.Shard] {
			return fmt.Errorf("%w: unknown or repeated shard %d", ErrInvalidQuery, p.Shard)
		}
		if !(p.Weight >= 0 && p.Weight <= 1) || p.ExpectedWork < 0 { // the negated condition also rejects a weight that is NaN
			return fmt.Errorf("%w: weight or cost of shard %d", ErrInvalidQuery, p.Shard)
		}
		seen[p.Shard], sum = true, sum+p.Weight
	}
	if math.Abs(sum-1) > weightTolerance {
		return fmt.Errorf("%w: weights add up to %g", ErrInvalidQuery, sum)
	}
	return nil
}

// isKeyed reports whether data nodes use the query's idempotency key to discard duplicates of parts of the class.
func (c *Coordinator) isKeyed(class string) bool {
	return c.settings.Classes[c.classes[class]].Effect == aggregator.Keyed
}

// validateKey checks that a query of a keyed class has an idempotency key that every protocol can carry unchanged: in a frame, a space
// ends the list of a part, and a comma separates its entries. Keys of other classes are ignored.
func (c *Coordinator) validateKey(q *Query) error {
	if !c.isKeyed(q.Class) {
		return nil
	}
	if q.IdempotencyKey == "" {
		return fmt.Errorf("%w: class %q needs an idempotency key, the same for each retry of a query", ErrInvalidQuery, q.Class)
	}
	if len(q.IdempotencyKey) > maxKeyLength {
		return fmt.Errorf("%w: idempotency key of %d bytes; %d are allowed", ErrInvalidQuery, len(q.IdempotencyKey), maxKeyLength)
	}
	for _, r := range q.IdempotencyKey {
		if !isVisibleASCII(r) || r == ',' {
			return fmt.Errorf("%w: idempotency key %q; visible ASCII without commas is allowed", ErrInvalidQuery, q.IdempotencyKey)
		}
	}
	return nil
}
