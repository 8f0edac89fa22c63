package membership

import (
	"fmt"
	"time"
)

// Config holds the thresholds and durations of a Table. A field of value zero takes its default.
type Config struct {
	// Shard s is held by the shard sets s, s+1, ... s+Reach-1, modulo ShardSets. Each field is 1 by default.
	ShardSets, Shards, Reach int

	// Damping of returns (RFC 2439). HalfLife is the half-life of a penalty, 15 s by default. A return is suppressed once
	// the penalty reaches Suppress, 2500, until it has decayed to Reuse, 800, but for MaxSuppress at most, 60 s.
	HalfLife        time.Duration
	Suppress, Reuse float64
	MaxSuppress     time.Duration

	// ShortAbsence is the longest absence after which a data node without a stated start is assumed to be the same process;
	// 10 s by default.
	ShortAbsence time.Duration

	// A data node is suspect after SuspectAfterFailures consecutive connections refused or reset, 2 by default, or after
	// SuspectAfterRejections consecutive parts rejected, 16. Without new evidence it is cleared after SuspectFor, 10 s.
	SuspectFor             time.Duration
	SuspectAfterFailures   int
	SuspectAfterRejections int

	// SerialHold is the time for which a source must report only older serials until one is accepted; 30 s by default.
	SerialHold time.Duration

	// MaxUnclaimed is the maximum number of data nodes kept that no source claims any more; 1024 by default.
	MaxUnclaimed int
}

func (c Config) withDefaults() Config {
	c.ShardSets = orDefault(c.ShardSets, 1)
	c.Shards = orDefault(c.Shards, 1)
	c.Reach = orDefault(c.Reach, 1)
	c.HalfLife = orDefault(c.HalfLife, 15*time.Second)
	c.Suppress = orDefault(c.Suppress, 2500)
	c.Reuse = orDefault(c.Reuse, 800)
	c.MaxSuppress = orDefault(c.MaxSuppress, time.Minute)
	c.ShortAbsence = orDefault(c.ShortAbsence, 10*time.Second)
	c.SuspectFor = orDefault(c.SuspectFor, 10*time.Second)
	c.SuspectAfterFailures = orDefault(c.SuspectAfterFailures, 2)
	c.SuspectAfterRejections = orDefault(c.SuspectAfterRejections, 16)
	c.SerialHold = orDefault(c.SerialHold, 30*time.Second)
	c.MaxUnclaimed = orDefault(c.MaxUnclaimed, 1024)
	return c
}

// orDefault returns value if it is above 0, else fallback.
func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// Check returns an error that names the first field that is out of range, with defaults applied.
func (c Config) Check() error {
	c = c.withDefaults()
	switch {
	case c.Reach > c.ShardSets:
		return fmt.Errorf("membership: Reach %d is above ShardSets %d", c.Reach, c.ShardSets)
	case c.Reuse >= c.Suppress:
		return fmt.Errorf("membership: reuse %g must be below suppress %g", c.Reuse, c.Suppress)
	}
	return nil
}
