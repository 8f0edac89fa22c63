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
	for _, d := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{{&c.HalfLife, 15 * time.Second}, {&c.MaxSuppress, time.Minute}, {&c.ShortAbsence, 10 * time.Second},
		{&c.SuspectFor, 10 * time.Second}, {&c.SerialHold, 30 * time.Second}} {
		if *d.field <= 0 {
			*d.field = d.fallback
		}
	}
	for _, d := range []struct {
		field    *int
		fallback int
	}{{&c.ShardSets, 1}, {&c.Shards, 1}, {&c.Reach, 1}, {&c.SuspectAfter, 2}, {&c.RejectsToSuspect, 16}, {&c.MaxForgotten, 1024}} {
		if *d.field <= 0 {
			*d.field = d.fallback
		}
	}
	if c.Suppress <= 0 {
		c.Suppress = 2500
	}
	if c.Reuse <= 0 {
		c.Reuse = 800
	}
	return c
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
