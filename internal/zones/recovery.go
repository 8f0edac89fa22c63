package zones

import "time"

// recovery is when work goes back to a zone that is out. Waits back off: each recovery that fails doubles the next.
type recovery struct {
	failed  int           // recoveries that failed in a row
	wait    time.Duration // least time out, this time
	startAt time.Time     // drawn start of the next recovery; zero where none is drawn
}

// takeOut takes a zone out, for a wait that doubles with each recovery that failed, up to MaxWait.
func (t *Tracker) takeOut(now time.Time, z *zone, reason string) Change {
	wait := t.cfg.Wait
	for i := 0; i < z.recovery.failed && wait < t.cfg.MaxWait; i++ {
		wait *= 2
	}
	z.recovery.wait = min(wait, t.cfg.MaxWait)
	return t.set(now, z, Out, reason)
}

// startDelay is this coordinator's delay of a recovery, from 0 up to Spread; the same for the same seed, zone and round.
func (t *Tracker) startDelay(zoneName string, round int) time.Duration {
	if t.cfg.Spread <= 0 {
		return 0
	}
	h := t.cfg.Seed ^ 0x9e3779b97f4a7c15*uint64(round+1)
	for i := 0; i < len(zoneName); i++ {
		h = (h ^ uint64(zoneName[i])) * 0x100000001b3 // the prime of FNV-1a, 64 bits
	}
	// The finaliser of splitmix64, so that seeds next to each other draw far apart.
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	h ^= h >> 31
	return time.Duration(h % uint64(t.cfg.Spread))
}

// WarmingSince gives, for a recovering zone, the time since which its data nodes are to be taken as warming up.
func (t *Tracker) WarmingSince(zoneName string) (since time.Time, recovering bool) {
	z := t.zones[zoneName]
	if z == nil || z.state != Recovering {
		return time.Time{}, false
	}
	return z.since, true
}

// Drain takes a zone out by an operator's word, whatever the guard says.
func (t *Tracker) Drain(now time.Time, zoneName string) Change {
	z := t.zone(zoneName)
	z.drained = true
	return t.set(now, z, Out, "drained by hand")
}

// Drained tells whether a zone is drained by hand.
func (t *Tracker) Drained(zoneName string) bool {
	z := t.zones[zoneName]
	return z != nil && z.drained
}

// Undrain lets a zone that was drained by hand recover, at once and without a drawn delay: the operator chose the time.
func (t *Tracker) Undrain(now time.Time, zoneName string) Change {
	z := t.zone(zoneName)
	if !z.drained {
		return Change{Zone: zoneName, From: z.state, To: z.state, Reason: "was not drained by hand"}
	}
	z.drained = false
	return t.set(now, z, Recovering, "undrained by hand")
}
