package membership

import (
	"fmt"
	"time"
)

// Config holds the thresholds and times of a Table. The zero value of a field stands for its default.
type Config struct {
	// Shard s is held by the shard sets s, s+1, ... s+Reach-1, modulo ShardSets. Each is 1 by default.
	ShardSets, Shards, Reach int

	// Damping of returns, after RFC 2439. HalfLife is the half-life of a penalty, 15 s by default. A return is held back
	// from the penalty Suppress, 2500, down to Reuse, 800, for MaxSuppress at most, 60 s.
	HalfLife        time.Duration
	Suppress, Reuse float64
	MaxSuppress     time.Duration

	// ShortAbsence is the longest absence after which a data node without a stated start is taken for the same process;
	// 10 s by default.
	ShortAbsence time.Duration

	// A data node is suspect after SuspectAfter connections refused or reset in a row, 2 by default, or after
	// RejectsToSuspect parts rejected in a row, 16. Without news it is cleared after SuspectFor, 10 s.
	SuspectFor       time.Duration
	SuspectAfter     int
	RejectsToSuspect int

	// SerialHold is how long only older serials must be reported until one is believed; 30 s by default.
	SerialHold time.Duration

	// MaxForgotten is how many data nodes that nobody names any more are remembered at most; 1024 by default.
	MaxForgotten int
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
	c.SuspectAfter = orDefault(c.SuspectAfter, 2)
	c.RejectsToSuspect = orDefault(c.RejectsToSuspect, 16)
	c.SerialHold = orDefault(c.SerialHold, 30*time.Second)
	c.MaxForgotten = orDefault(c.MaxForgotten, 1024)
	return c
}

// orDefault is the value, or its default where the value is not above 0.
func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// Check returns an error that names the first field that is out of range, after defaults.
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
