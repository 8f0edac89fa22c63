package zones

import (
	"fmt"
	"sort"
	"time"
)

// zone holds the data nodes and the state of one zone.
type zone struct {
	name        string
	nodes       map[string]*node
	lastFailure time.Time // the latest of all its data nodes

	state             State
	since             time.Time
	reason            string
	drained           bool      // by an operator
	exceedsLeaveSince time.Time // Suspect: since when it exceeds Leave; zero while it does not
	healthyAt         time.Time // when it last became healthy

	share    shares
	recovery recovery
}

// shares holds a zone's failing data nodes and the shares they make up, as of the last Step.
type shares struct {
	failing int
	own     float64 // share of the zone's data nodes
	others  float64 // share over all other zones together
}

// Tracker holds the states of all zones at one coordinator. It is not safe for concurrent use.
type Tracker struct {
	cfg    Config
	zones  map[string]*zone
	zoneOf map[string]string // zone names by data node id
	panic  bool              // panic mode: every zone is suspect
}

// New returns a tracker, or the error from cfg.Check.
func New(cfg Config) (*Tracker, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Tracker{cfg: cfg.withDefaults(), zones: map[string]*zone{}, zoneOf: map[string]string{}}, nil
}

func (t *Tracker) zone(name string) *zone {
	z := t.zones[name]
	if z == nil {
		z = &zone{name: name, nodes: map[string]*node{}}
		t.zones[name] = z
	}
	return z
}

// setState changes the state of a zone and returns the change.
func (t *Tracker) setState(now time.Time, z *zone, to State, reason string) Change {
	c := Change{Zone: z.name, From: z.state, To: to, Reason: reason}
	z.state, z.since, z.reason = to, now, reason
	z.exceedsLeaveSince, z.recovery.startAt = time.Time{}, time.Time{}
	if to == Healthy {
		z.healthyAt = now
	}
	return c
}

// Step makes the state changes that are due at now and returns them, sorted by zone name.
func (t *Tracker) Step(now time.Time) (changes []Change) {
	total := t.updateShares(now)
	names := make([]string, 0, len(t.zones))
	for name := range t.zones {
		names = append(names, name)
	}
	sort.Strings(names)
	t.panic = t.allSuspect()
	for _, name := range names {
		if c, changed := t.stepZone(now, t.zones[name], total); changed {
			changes = append(changes, c)
		}
	}
	return changes
}

// updateShares drops expired data nodes and the healthy zones left without any, updates all shares, and returns the number of
// data nodes.
func (t *Tracker) updateShares(now time.Time) (total int) {
	failing := 0
	for name, z := range t.zones {
		z.share.failing = 0
		for id, n := range z.nodes {
			if n.expired(now, t.cfg.Window) {
				delete(z.nodes, id)
				delete(t.zoneOf, id)
				continue
			}
			if n.failing(now, t.cfg.Window) {
				z.share.failing++
			}
		}
		if len(z.nodes) == 0 && z.state == Healthy && !z.drained {
			delete(t.zones, name)
			continue
		}
		total += len(z.nodes)
		failing += z.share.failing
	}
	for _, z := range t.zones {
		z.share.own = ratio(z.share.failing, len(z.nodes))
		z.share.others = ratio(failing-z.share.failing, total-len(z.nodes))
	}
	return total
}

// ratio returns a/b, or 0 if b is not positive.
func ratio(a, b int) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// exceeds reports whether a zone's failures reach the threshold and are at least Margin above those of the other zones.
func (t *Tracker) exceeds(z *zone, threshold float64) bool {
	return z.share.failing >= t.cfg.MinFailing && z.share.own >= threshold && z.share.own-z.share.others >= t.cfg.Margin
}

// explain returns a reason with the figures behind it.
func (z *zone) explain(reason string) string {
	return fmt.Sprintf("%s: %d of %d data nodes failing (%.2f), others %.2f", reason, z.share.failing, len(z.nodes),
		z.share.own, z.share.others)
}

// Usable reports whether new parts may go to a zone's data nodes. An unknown zone is usable.
func (t *Tracker) Usable(zoneName string) bool {
	z := t.zones[zoneName]
	if z == nil || z.state != Out {
		return true
	}
	return t.panic && !z.drained
}

// Statuses returns the status of every zone, sorted by name.
func (t *Tracker) Statuses(now time.Time) []Status {
	all := make([]Status, 0, len(t.zones))
	for _, z := range t.zones {
		s := Status{Zone: z.name, State: z.state, Since: z.since, Nodes: len(z.nodes), Failing: z.share.failing,
			Share: z.share.own, OthersShare: z.share.others, FailedRecoveries: z.recovery.failed, RecoveryStart: z.recovery.startAt,
			Drained: z.drained, Panic: t.panic, Reason: z.reason}
		if z.state == Recovering && t.cfg.Ramp > 0 {
			s.RampProgress = min(1, float64(now.Sub(z.since))/float64(t.cfg.Ramp))
		}
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Zone < all[j].Zone })
	return all
}
