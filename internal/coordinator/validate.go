package coordinator

import (
	"fmt"
	"math"

	"gullfall/aggregator"
)

// weightSlack is by how much weights may miss 1 for being rounded.
const weightTolerance = 1e-3

// Validate finds what can't be asked, whatever its deadline; the error wraps ErrInput and its message is for the client.
func (c *Coordinator) Validate(q *Query) error {
	if _, known := c.classes[q.Class]; !known {
		return fmt.Errorf("%w: unknown class %q", ErrInput, q.Class)
	}
	if _, known := c.tenants[q.Tenant]; !known && len(c.tenants) > 0 {
		return fmt.Errorf("%w: unknown owner %q", ErrInput, q.Tenant)
	}
	if q.ID == "" || len(q.ID) > 128 {
		return fmt.Errorf("%w: id of %d bytes", ErrInput, len(q.ID))
	}
	for _, r := range q.ID {
		if r <= ' ' || r > '~' {
			return fmt.Errorf("%w: id %q", ErrInput, q.ID)
		}
	}
	if err := c.checkKey(q); err != nil {
		return err
	}
	if len(q.Parts) == 0 {
		return fmt.Errorf("%w: no shards", ErrInput)
	}
	seen, sum := map[int]bool{}, 0.0
	for _, p := range q.Parts {
		if p.Shard < 0 || p.Shard >= c.settings.Shards || seen[p.Shard] {
			return fmt.Errorf("%w: unknown or repeated shard %d", ErrInput, p.Shard)
		}
		if !(p.Weight >= 0 && p.Weight <= 1) || p.Work < 0 {
			return fmt.Errorf("%w: weight or cost of shard %d", ErrInput, p.Shard)
		}
		seen[p.Shard], sum = true, sum+p.Weight
	}
	if math.Abs(sum-1) > weightTolerance {
		return fmt.Errorf("%w: weights add up to %g", ErrInput, sum)
	}
	return nil
}

// mostKey is the longest idempotency key, in bytes.
const maxKeyLength = 128

// keyed tells whether the holders of a class's parts drop a repeat by the query's key.
func (c *Coordinator) isKeyed(class string) bool {
	return c.settings.Classes[c.classes[class]].Effect == aggregator.Keyed
}

// checkKey refuses a query of a keyed class whose key is missing, or is not one that each wire carries unchanged: the
// frames' list of a part ends at a space, and its entries at a comma. A key in another class is the client's own affair.
func (c *Coordinator) checkKey(q *Query) error {
	if !c.isKeyed(q.Class) {
		return nil
	}
	if q.IdempotencyKey == "" {
		return fmt.Errorf("%w: class %q needs an idempotency key, the same for each retry of a query", ErrInput, q.Class)
	}
	if len(q.IdempotencyKey) > maxKeyLength {
		return fmt.Errorf("%w: idempotency key of %d bytes; %d are allowed", ErrInput, len(q.IdempotencyKey), maxKeyLength)
	}
	for _, r := range q.IdempotencyKey {
		if r <= ' ' || r > '~' || r == ',' {
			return fmt.Errorf("%w: idempotency key %q; visible ASCII without commas is allowed", ErrInput, q.IdempotencyKey)
		}
	}
	return nil
}
