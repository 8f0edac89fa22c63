package zones

import (
	"fmt"
	"time"
)

// stepZone makes the state change of one zone that is due by the table in the package comment. total is the number of data nodes
// in all zones.
func (t *Tracker) stepZone(now time.Time, z *zone, total int) (c Change, changed bool) {
	if z.drained {
		return Change{}, false
	}
	switch z.state {
	case Healthy:
		return t.stepHealthy(now, z)
	case Suspect:
		return t.stepSuspect(now, z, total)
	case Out:
		return t.stepOut(now, z)
	case Recovering:
		return t.stepRecovering(now, z, total)
	}
	return Change{}, false
}

func (t *Tracker) stepHealthy(now time.Time, z *zone) (c Change, changed bool) {
	if t.cfg.MaxWait > 0 && z.recovery.failed > 0 && now.Sub(z.healthyAt) >= t.cfg.MaxWait {
		z.recovery.failed = 0
	}
	if t.panic || !t.exceeds(z, t.cfg.Doubt) {
		return Change{}, false
	}
	c = t.setState(now, z, Suspect, z.explain("suspect"))
	if t.exceeds(z, t.cfg.Leave) {
		z.exceedsLeaveSince = now // Config.Confirm is measured from here
	}
	return c, true
}

func (t *Tracker) stepSuspect(now time.Time, z *zone, total int) (c Change, changed bool) {
	if z.share.failing < t.cfg.MinFailing || z.share.own < t.cfg.Clear || t.panic {
		return t.setState(now, z, Healthy, z.explain("cleared")), true
	}
	if !t.exceeds(z, t.cfg.Leave) {
		z.exceedsLeaveSince = time.Time{}
		return Change{}, false
	}
	if z.exceedsLeaveSince.IsZero() {
		z.exceedsLeaveSince = now
	}
	if now.Sub(z.exceedsLeaveSince) < t.cfg.Confirm {
		return Change{}, false
	}
	if remaining, enough := t.remainingNodes(z, total); !enough {
		z.reason = z.explain(fmt.Sprintf("kept by the guard, %d of %d data nodes would remain", remaining, total))
		return Change{}, false
	}
	return t.takeOut(now, z, z.explain("taken out")), true
}

func (t *Tracker) stepOut(now time.Time, z *zone) (c Change, changed bool) {
	r := &z.recovery
	quiet := now.Sub(z.lastFailure)
	if now.Sub(z.since) < r.wait || quiet < t.cfg.Quiet {
		r.startAt = time.Time{}
		return Change{}, false
	}
	if r.startAt.IsZero() {
		r.startAt = now.Add(t.startDelay(z.name, r.failed))
	}
	if now.Before(r.startAt) {
		return Change{}, false
	}
	return t.setState(now, z, Recovering, fmt.Sprintf("no failures for %v after a wait of %v", quiet, r.wait)), true
}

func (t *Tracker) stepRecovering(now time.Time, z *zone, total int) (c Change, changed bool) {
	failedAgain := 0
	for _, n := range z.nodes {
		if n.failing(now, t.cfg.Window) && n.lastFailure.After(z.since) {
			failedAgain++
		}
	}
	// Fewer failures are left to per-node handling: a zone with one faulty data node must still recover in full.
	if failedAgain >= t.cfg.MinFailing {
		z.recovery.failed++
		if _, enough := t.remainingNodes(z, total); !enough {
			return t.setState(now, z, Suspect, z.explain("failed again while returning, kept by the guard")), true
		}
		return t.takeOut(now, z, z.explain("failed again while returning")), true
	}
	if now.Sub(z.since) >= t.cfg.Ramp {
		return t.setState(now, z, Healthy, "returned in full"), true
	}
	return Change{}, false
}
