// Package zones decides, for one coordinator, whether a zone of data nodes has failed as a whole, and how fast work
// goes back to it once it answers again. It does no I/O, reads no clock, starts no goroutine and logs nothing: time
// comes in with each call, evidence comes in as it is seen, and what was decided goes out as changes with their
// reasons. The same calls in the same order, with the same seed, give the same results.
//
// # The verdicts
//
// A data node is failing while its last evidence within Window was bad (a refused or reset connection, a timeout,
// a silent answer, its removal from the list, a drain, another coordinator's word) and nothing good came after it. A zone's share is its failing
// data nodes over those it has; the others' share is the same over all other zones together. A zone is suspect
// where at least MinFailing of its data nodes fail, its share is at least Doubt, and it is Margin above the others'
// share: what fails everywhere alike is no zone's fault.
//
//	verdict     becomes          when
//	healthy     doubtful         suspect
//	doubtful    healthy          share under Clear, or fewer than MinFailing fail (hysteresis: Clear < Doubt)
//	doubtful    out              share at least Leave, Margin above the others, for Confirm, and the guard allows it
//	out         returning        nothing failed for Quiet, the wait is over, and the coordinator's own draw has passed
//	returning   out              MinFailing of its data nodes fail again; the next wait is twice the last, MaxWait at most
//	returning   healthy          Ramp has passed since the return began
//
// Once out, no new part goes to the zone (Usable). A returning zone's data nodes are cold since the return began
// (ColdSince): the module then paces them by its cold bound, which it divides among all coordinators, so that the
// fleet's sum stays within what a cold data node bears however many coordinators there are. The start of a return
// is drawn per coordinator within Spread from the seed, so that coordinators do not come back in step. The count of
// waits is forgotten after MaxWait healthy.
//
// # The guard
//
// No zone is left where what remains outside the zones that are out would be under Keep of all data nodes; such a
// zone stays doubtful, and per-node handling goes on there as before. So a site of one zone is never left: there the
// share of data nodes stands for the zone. Where every zone is suspect at once, no verdict is trusted: all zones are
// usable (Panic) until one is no longer suspect. A zone drained by hand is out whatever the guard says, and returns
// at a pace when undrained.
//
// Memory is bounded by the data nodes that are listed or were seen within Window, and by the zones they name.
package zones

import (
	"fmt"
	"sort"
	"time"
)

// State is what a coordinator holds of a zone.
type State uint8

// The verdicts of a zone.
const (
	Healthy State = iota
	Suspect
	Out
	Recovering
)

func (v State) String() string { return [...]string{"healthy", "doubtful", "out", "returning"}[v] }

// Evidence is what was seen of one data node.
type Evidence uint8

// The kinds of evidence. Good clears a data node; each other kind makes it failing for Window.
const (
	Good     Evidence = iota // an answer that was whole and in time
	Refused                  // a connection refused or reset
	TimedOut                 // a part or a probe timed out, or the answer was silent
	Removed                  // the list no longer names it
	Drained                  // the list says it drains
	Hearsay                  // another coordinator saw it fail
)

// Config holds the thresholds. The zero value of a field takes its default; Check says what is wrong with the rest.
type Config struct {
	Window     time.Duration // evidence older than this is forgotten
	Doubt      float64       // share of failing data nodes from which a zone is doubtful
	Clear      float64       // share under which a doubtful zone is healthy again
	Leave      float64       // share from which a doubtful zone is left
	Margin     float64       // how far a zone's share must stand above the others'
	MinFailing int           // fewer failing data nodes never make a zone suspect
	Confirm    time.Duration // how long Leave must hold before the zone is left
	Quiet      time.Duration // how long nothing must fail before a return begins
	Wait       time.Duration // first wait out; it doubles with each return that fails
	MaxWait    time.Duration
	Spread     time.Duration // returns of coordinators are drawn within this
	Ramp       time.Duration // how long a zone is returning
	Keep       float64       // share of data nodes that must remain outside zones that are out
	Seed       uint64        // this coordinator's draw
}

// Defaults are the thresholds of a site with a few data nodes per zone: a zone is left only when most of it fails
// together, within a second and a half of evidence, which the per-node handling alone takes longer to learn.
var Defaults = Config{
	Window: 3 * time.Second, Doubt: 0.34, Clear: 0.2, Leave: 0.6, Margin: 0.3, MinFailing: 2,
	Confirm: 500 * time.Millisecond, Quiet: time.Second, Wait: time.Second, MaxWait: 30 * time.Second,
	Spread: 2 * time.Second, Ramp: 10 * time.Second, Keep: 0.5,
}

func (c Config) withDefaults() Config {
	d := Defaults
	for _, f := range []struct{ v, w *time.Duration }{{&c.Window, &d.Window}, {&c.Confirm, &d.Confirm},
		{&c.Quiet, &d.Quiet}, {&c.Wait, &d.Wait}, {&c.MaxWait, &d.MaxWait}, {&c.Spread, &d.Spread}, {&c.Ramp, &d.Ramp}} {
		orDefault(f.v, *f.w)
	}
	for _, f := range []struct{ v, w *float64 }{{&c.Doubt, &d.Doubt}, {&c.Clear, &d.Clear}, {&c.Leave, &d.Leave},
		{&c.Margin, &d.Margin}, {&c.Keep, &d.Keep}} {
		orDefault(f.v, *f.w)
	}
	orDefault(&c.MinFailing, d.MinFailing)
	return c
}

// orDefault sets what is zero to its default.
func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Check tells what is wrong with a configuration, by the name of its field, after defaults.
func (c Config) Check() error {
	c = c.withDefaults()
	for _, f := range []struct {
		name string
		v    time.Duration
	}{{"Window", c.Window}, {"Confirm", c.Confirm}, {"Quiet", c.Quiet}, {"Wait", c.Wait}, {"MaxWait", c.MaxWait},
		{"Spread", c.Spread}, {"Ramp", c.Ramp}} {
		if f.v < 0 {
			return fmt.Errorf("zones: %s is %v; it must not be negative", f.name, f.v)
		}
	}
	for _, f := range []struct {
		name string
		v    float64
	}{{"Doubt", c.Doubt}, {"Clear", c.Clear}, {"Leave", c.Leave}, {"Margin", c.Margin}, {"Keep", c.Keep}} {
		if f.v < 0 || f.v > 1 {
			return fmt.Errorf("zones: %s is %v; it must be within 0 and 1", f.name, f.v)
		}
	}
	switch {
	case c.Clear >= c.Doubt:
		return fmt.Errorf("zones: Clear (%v) must be under Doubt (%v), or a zone flips on one data node", c.Clear, c.Doubt)
	case c.Leave < c.Doubt:
		return fmt.Errorf("zones: Leave (%v) must not be under Doubt (%v)", c.Leave, c.Doubt)
	case c.MinFailing < 1:
		return fmt.Errorf("zones: MinFailing is %d; it must be at least 1", c.MinFailing)
	case c.MaxWait < c.Wait:
		return fmt.Errorf("zones: MaxWait (%v) must not be under Wait (%v)", c.MaxWait, c.Wait)
	}
	return nil
}

// Status is what is held of one zone, for the module's inputs, the log and the command line.
type Status struct {
	Zone     string
	State    State
	Since    time.Time // when the verdict was taken
	Nodes    int
	Failing  int
	Share    float64 // of failing data nodes
	Others   float64 // share of failing data nodes in all other zones
	Waits    int     // returns that failed in a row
	Return   time.Time
	Drained  bool // by hand
	Panic    bool // every zone is suspect: no verdict is trusted
	Reason   string
	Returned float64 // for a returning zone, the share of the ramp that has passed
}

// Change is one verdict that was taken, with its reason.
type Change struct {
	Zone     string
	From, To State
	Reason   string
}

type node struct {
	bad, good time.Time // last evidence of each kind
	hearsay   bool      // the last bad was another's
	listed    bool
}

func (n *node) failing(now time.Time, window time.Duration) bool {
	return !n.bad.IsZero() && now.Sub(n.bad) < window && !n.good.After(n.bad)
}

type zone struct {
	name      string
	nodes     map[string]*node
	verdict   State
	since     time.Time
	leaving   time.Time // since when Leave has held; zero where it does not
	lastBad   time.Time
	waits     int
	wait      time.Duration // of the last time out
	returnAt  time.Time     // drawn start of the next return; zero where none is drawn
	drained   bool
	reason    string
	failing   int
	share     float64
	others    float64
	healthyAt time.Time
}

// Tracker holds the verdicts of one coordinator.
type Tracker struct {
	cfg   Config
	zones map[string]*zone
	where map[string]string // data node to zone
	panic bool
}

// New makes a tracker; its configuration must pass Check.
func New(cfg Config) (*Tracker, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Tracker{cfg: cfg.withDefaults(), zones: map[string]*zone{}, where: map[string]string{}}, nil
}

func (t *Tracker) zone(name string) *zone {
	z := t.zones[name]
	if z == nil {
		z = &zone{name: name, nodes: map[string]*node{}}
		t.zones[name] = z
	}
	return z
}

func (t *Tracker) node(zoneName, id string) *node {
	if was, ok := t.where[id]; ok && was != zoneName {
		delete(t.zones[was].nodes, id) // it moved: its evidence stays with the zone where it was seen
	}
	t.where[id] = zoneName
	z := t.zone(zoneName)
	n := z.nodes[id]
	if n == nil {
		n = &node{}
		z.nodes[id] = n
	}
	return n
}

// List takes in the data nodes that the list names now, by id to zone. Those that it no longer names count as
// Removed; a list that comes late and still names a dead zone clears nothing, as only Good evidence clears.
func (t *Tracker) List(now time.Time, members map[string]string) {
	for id, zn := range members {
		t.node(zn, id).listed = true
	}
	for id, zn := range t.where {
		if _, ok := members[id]; !ok {
			if n := t.zones[zn].nodes[id]; n.listed {
				n.listed = false
				t.Observe(now, zn, id, Removed)
			}
		}
	}
}

// Observe takes in evidence of one data node in a zone, as it was seen at a time. What was seen before what is known changes nothing.
func (t *Tracker) Observe(now time.Time, zoneName, id string, e Evidence) {
	n := t.node(zoneName, id)
	if e == Good {
		if now.After(n.good) {
			n.good = now
		}
		return
	}
	if now.After(n.bad) {
		n.bad, n.hearsay = now, e == Hearsay
	}
	if z := t.zones[zoneName]; now.After(z.lastBad) {
		z.lastBad = now
	}
}

// unrefuted is for how long nobody may have told of an answer for a failure that is told to count: data nodes that others reach answer
// somebody all the time, who tells that too.
const unrefuted = 1500 * time.Millisecond

// ObservePeer takes in that a data node fails for another coordinator, failed ago, and answered somebody last so long ago; below 0 where that is
// not known. It counts as evidence from now on, where the zone is not left already, this coordinator has no answer from the data node
// itself within Window, and nobody tells of an answer since: one that is itself cut off from a zone tells that all of it fails.
func (t *Tracker) ObservePeer(now time.Time, zoneName, id string, failed, answered time.Duration) {
	z := t.zones[zoneName]
	if z == nil || z.nodes[id] == nil || !t.Usable(zoneName) || now.Sub(z.nodes[id].good) < t.cfg.Window {
		return
	}
	if answered < 0 || answered >= unrefuted && answered > failed {
		t.Observe(now, zoneName, id, Hearsay)
	}
}

// Failing lists the data nodes of a zone that fail by what this coordinator has seen itself: what others have told is not to be told
// them again.
func (t *Tracker) Failing(now time.Time, zoneName string) (list []string) {
	if z := t.zones[zoneName]; z != nil {
		for id, n := range z.nodes {
			if n.failing(now, t.cfg.Window) && !n.hearsay {
				list = append(list, id)
			}
		}
	}
	sort.Strings(list)
	return list
}

// Drain leaves a zone by an operator's word, whatever the guard says.
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

// Undrain lets a zone drained by hand return at a pace, at once and without a draw: the operator chose the time.
func (t *Tracker) Undrain(now time.Time, zoneName string) Change {
	z := t.zone(zoneName)
	if !z.drained {
		return Change{Zone: zoneName, From: z.verdict, To: z.verdict, Reason: "was not drained by hand"}
	}
	z.drained = false
	return t.set(now, z, Recovering, "undrained by hand")
}

func (t *Tracker) set(now time.Time, z *zone, v State, reason string) Change {
	c := Change{Zone: z.name, From: z.verdict, To: v, Reason: reason}
	z.verdict, z.since, z.reason = v, now, reason
	z.leaving, z.returnAt = time.Time{}, time.Time{}
	if v == Healthy {
		z.healthyAt = now
	}
	return c
}

// Step takes the verdicts that are due at now and returns those that changed, in the order of the zones' names.
func (t *Tracker) Step(now time.Time) []Change {
	names := make([]string, 0, len(t.zones))
	total, allFailing := 0, 0
	for name, z := range t.zones {
		z.failing = 0
		for id, n := range z.nodes {
			if !n.listed && now.Sub(n.bad) >= t.cfg.Window && now.Sub(n.good) >= t.cfg.Window {
				delete(z.nodes, id)
				delete(t.where, id)
				continue
			}
			if n.failing(now, t.cfg.Window) {
				z.failing++
			}
		}
		if len(z.nodes) == 0 && z.verdict == Healthy && !z.drained {
			delete(t.zones, name)
			continue
		}
		names = append(names, name)
		total += len(z.nodes)
		allFailing += z.failing
	}
	sort.Strings(names)
	suspects := 0
	for _, name := range names {
		z := t.zones[name]
		z.share, z.others = share(z.failing, len(z.nodes)), share(allFailing-z.failing, total-len(z.nodes))
		if t.suspect(z) {
			suspects++
		}
	}
	t.panic = len(names) > 1 && suspects == len(names)
	var changes []Change
	for _, name := range names {
		if c, ok := t.step(now, t.zones[name], total); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

func share(a, b int) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func (t *Tracker) suspect(z *zone) bool {
	return z.failing >= t.cfg.MinFailing && z.share >= t.cfg.Doubt && z.share-z.others >= t.cfg.Margin
}

func (t *Tracker) step(now time.Time, z *zone, total int) (Change, bool) {
	cfg := t.cfg
	why := func(s string) string {
		return fmt.Sprintf("%s: %d of %d data nodes failing (%.2f), others %.2f", s, z.failing, len(z.nodes), z.share, z.others)
	}
	if z.drained {
		return Change{}, false
	}
	switch z.verdict {
	case Healthy:
		if cfg.MaxWait > 0 && z.waits > 0 && now.Sub(z.healthyAt) >= cfg.MaxWait {
			z.waits = 0
		}
		if t.suspect(z) && !t.panic {
			c := t.set(now, z, Suspect, why("suspect"))
			if t.leaves(z) {
				z.leaving = now // Confirm counts from the first evidence that would leave
			}
			return c, true
		}
	case Suspect:
		if z.failing < cfg.MinFailing || z.share < cfg.Clear || t.panic {
			return t.set(now, z, Healthy, why("cleared")), true
		}
		if !t.leaves(z) {
			z.leaving = time.Time{}
			return Change{}, false
		}
		if z.leaving.IsZero() {
			z.leaving = now
		}
		if now.Sub(z.leaving) < cfg.Confirm {
			return Change{}, false
		}
		if kept, ok := t.guard(z, total); !ok {
			z.reason = why(fmt.Sprintf("kept by the guard, %d of %d would remain", kept, total))
			return Change{}, false
		}
		return t.leave(now, z, why("left")), true
	case Out:
		if now.Sub(z.since) < z.wait || now.Sub(z.lastBad) < cfg.Quiet {
			z.returnAt = time.Time{}
			return Change{}, false
		}
		if z.returnAt.IsZero() {
			z.returnAt = now.Add(t.draw(z.name, z.waits))
		}
		if now.Before(z.returnAt) {
			return Change{}, false
		}
		return t.set(now, z, Recovering, fmt.Sprintf("quiet for %v after a wait of %v", now.Sub(z.lastBad), z.wait)), true
	case Recovering:
		again := 0
		for _, n := range z.nodes {
			if n.failing(now, cfg.Window) && n.bad.After(z.since) {
				again++
			}
		}
		// One data node that fails again is the per-node handling's, as before the zone was left: a zone with one
		// bad data node must still come back in full.
		if again >= cfg.MinFailing {
			z.waits++
			if _, ok := t.guard(z, total); !ok {
				return t.set(now, z, Suspect, why("failed again while returning, kept by the guard")), true
			}
			return t.leave(now, z, why("failed again while returning")), true
		}
		if now.Sub(z.since) >= cfg.Ramp {
			return t.set(now, z, Healthy, "returned in full"), true
		}
	}
	return Change{}, false
}

func (t *Tracker) leaves(z *zone) bool {
	return z.failing >= t.cfg.MinFailing && z.share >= t.cfg.Leave && z.share-z.others >= t.cfg.Margin
}

// guard tells how many data nodes would remain outside zones that are out if z were left, and whether that is enough. A zone that
// returns counts as out until it is healthy: it may still be away, and bears little of the others' load.
func (t *Tracker) guard(z *zone, total int) (int, bool) {
	kept := total - t.awayNodes(z) - len(z.nodes)
	return kept, share(kept, total) >= t.cfg.Keep
}

// leave takes z out for a wait that doubles with each return that failed.
func (t *Tracker) leave(now time.Time, z *zone, reason string) Change {
	z.wait = t.cfg.Wait
	for i := 0; i < z.waits && z.wait < t.cfg.MaxWait; i++ {
		z.wait *= 2
	}
	z.wait = min(z.wait, t.cfg.MaxWait)
	return t.set(now, z, Out, reason)
}

// awayNodes are those of the other zones that are out or return.
func (t *Tracker) awayNodes(but *zone) int {
	n := 0
	for _, z := range t.zones {
		if z != but && (z.verdict == Out || z.verdict == Recovering) {
			n += len(z.nodes)
		}
	}
	return n
}

// draw is this coordinator's delay of a return within Spread, the same for the same seed, zone and round.
func (t *Tracker) draw(zoneName string, round int) time.Duration {
	h := t.cfg.Seed ^ 0x9e3779b97f4a7c15*uint64(round+1)
	for i := 0; i < len(zoneName); i++ {
		h = (h ^ uint64(zoneName[i])) * 0x100000001b3
	}
	// splitmix64's finaliser, so that near seeds draw far apart
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	h ^= h >> 31
	if t.cfg.Spread <= 0 {
		return 0
	}
	return time.Duration(h % uint64(t.cfg.Spread))
}

// Usable tells whether new parts may go to a zone's data nodes. A zone the tracker does not know is usable.
func (t *Tracker) Usable(zoneName string) bool {
	z := t.zones[zoneName]
	if z == nil || z.verdict != Out {
		return true
	}
	return t.panic && !z.drained
}

// WarmingSince gives, for a returning zone, the time since which its data nodes are to be taken as cold.
func (t *Tracker) WarmingSince(zoneName string) (time.Time, bool) {
	z := t.zones[zoneName]
	if z == nil || z.verdict != Recovering {
		return time.Time{}, false
	}
	return z.since, true
}

// All gives the status of every zone, in the order of their names.
func (t *Tracker) All(now time.Time) []Status {
	out := make([]Status, 0, len(t.zones))
	for _, z := range t.zones {
		s := Status{Zone: z.name, State: z.verdict, Since: z.since, Nodes: len(z.nodes), Failing: z.failing,
			Share: z.share, Others: z.others, Waits: z.waits, Return: z.returnAt, Drained: z.drained, Panic: t.panic,
			Reason: z.reason}
		if z.verdict == Recovering && t.cfg.Ramp > 0 {
			s.Returned = min(1, float64(now.Sub(z.since))/float64(t.cfg.Ramp))
		}
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Zone < out[j].Zone })
	return out
}
