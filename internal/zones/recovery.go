package zones

import "time"

// recovery holds the schedule by which load returns to a zone that is out. Each failed recovery doubles the next wait.
type recovery struct {
	failed  int           // consecutive failed recoveries
	wait    time.Duration // shortest time that the zone stays out, for the current outage
	startAt time.Time     // scheduled start of the next recovery; zero if none is scheduled
}

// takeOut puts a zone into Out, for a wait that doubles with each failed recovery, up to MaxWait.
func (t *Tracker) takeOut(now time.Time, z *zone, reason string) Change {
	wait := t.cfg.Wait
	for i := 0; i < z.recovery.failed && wait < t.cfg.MaxWait; i++ {
		wait *= 2
	}
	z.recovery.wait = min(wait, t.cfg.MaxWait)
	return t.setState(now, z, Out, reason)
}

// startDelay returns this coordinator's delay of a recovery, from 0 up to Spread: a hash of the seed, the zone's name
// and round, which is the number of failed recoveries.
func (t *Tracker) startDelay(zoneName string, round int) time.Duration {
	if t.cfg.Spread <= 0 {
		return 0
	}
	h := t.cfg.Seed ^ 0x9e3779b97f4a7c15*uint64(round+1)
	for i := 0; i < len(zoneName); i++ {
		h = (h ^ uint64(zoneName[i])) * 0x100000001b3 // the 64-bit FNV-1a prime
	}
	// The splitmix64 finalizer, so that adjacent seeds give unrelated delays.
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	h ^= h >> 31
	return time.Duration(h % uint64(t.cfg.Spread))
}

// WarmingSince returns the time since which the data nodes of a recovering zone count as warming up.
func (t *Tracker) WarmingSince(zoneName string) (since time.Time, recovering bool) {
	z := t.zones[zoneName]
	if z == nil || z.state != Recovering {
		return time.Time{}, false
	}
	return z.since, true
}

// Drain takes a zone out at an operator's request, regardless of the guard.
func (t *Tracker) Drain(now time.Time, zoneName string) Change {
	z := t.zone(zoneName)
	z.drained = true
	return t.setState(now, z, Out, "drained by hand")
}

// Drained reports whether a zone is drained by an operator.
func (t *Tracker) Drained(zoneName string) bool {
	z := t.zones[zoneName]
	return z != nil && z.drained
}

// Undrain starts the recovery of a zone drained by an operator, without a random delay: the operator chose the time.
func (t *Tracker) Undrain(now time.Time, zoneName string) Change {
	z := t.zone(zoneName)
	if !z.drained {
		return Change{Zone: zoneName, From: z.state, To: z.state, Reason: "was not drained by hand"}
	}
	z.drained = false
	return t.setState(now, z, Recovering, "undrained by hand")
}
