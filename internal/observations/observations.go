// Package observations merges what coordinators learn of data nodes: who failed and who answered, how long answers take, how busy a data
// node says that it is, and since when it is cold. It owns one coordinator's copy, what of it is news, and when it is too old to count.
// It must never do I/O, look at a clock, or take something older for something fresh.
//
// Each fact has a stamp and an age. Stamps are hybrid logical clocks (Kulkarni and others 2014): they follow each coordinator's clock,
// never go back, and go beyond every stamp that was heard, so that what was said in the knowledge of something else is later than it.
// Ages say how long ago something was seen. They are counted by each holder's own clock, which does not jump, and go with the fact; so
// no two clocks are compared to tell whether something is fresh. The time on the way is not counted: an age is too low by that.
//
// The rule of each field, where two copies differ:
//
//	failed, answered   the later stamp of each
//	latency, busy      the later stamp
//	started            the lower age, so the more cautious: who is held for cold is spared
//
// A data node is doubtful where its last failure is younger than Hold and no answer clears it: one that the same coordinator got later,
// or one whose stamp is later by more than Skew, by which clocks may differ. So of two that see different things at one time the more
// cautious counts. What is older than Keep counts for nothing and is forgotten. The strong state comes first: a zone that is drained by
// hand, or a machine in work, is not for this package to say anything of.
//
// Work: a fact that comes in costs the looking up of its data node; Facts and Step look over all. Memory: MostNodes data nodes with five
// facts each; beyond them the one heard of longest ago is let go.
package observations

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Field is what a fact is about.
type Field uint8

// The fields.
const (
	Failed      Field = iota // a refused or reset connection, a silence
	Answered                 // any answer
	Latency                  // seconds that a part takes
	Utilization              // share of its cores, by its own report
	Started                  // it started, or came back: cold since then
	fieldCount
)

var fieldNames = [fieldCount]string{"failed", "answered", "latency", "busy", "started"}

func (f Field) String() string {
	if f >= fieldCount {
		return fmt.Sprintf("field %d", uint8(f))
	}
	return fieldNames[f]
}

// Stamp orders facts over all coordinators.
type Stamp struct {
	Physical int64  // milliseconds, of the clock on the wall or of what was heard beyond it
	Logical  uint32 // of equal At
	Coordinator string // coordinator
}

// Compare orders stamps.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Physical, o.Physical), cmp.Compare(s.Logical, o.Logical), cmp.Compare(s.Coordinator, o.Coordinator))
}

// Fact is one thing that was seen of a data node.
type Fact struct {
	Node  string
	Field Field
	Stamp Stamp
	Age   time.Duration // when it was told
	Value float64       // of Latency and Busy
}

// Config are the bounds.
type Config struct {
	Self      string
	MaxSkew      time.Duration // by which the coordinators' clocks differ at most; 500 ms
	MaxAhead     time.Duration // a stamp further ahead of our clock is of one that has jumped, and not taken; 1 min
	SuspectFor      time.Duration // for which a failure makes doubtful; 5 s
	MaxAge      time.Duration // for which a fact counts; 1 min
	WarmupTime      time.Duration // for which a data node is cold; 10 s
	MinInterval     time.Duration // what a coordinator sees itself of one field is a new fact no sooner; 500 ms
	MaxNodes int           // 10,000
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		to *time.Duration
		by time.Duration
	}{{&c.MaxSkew, 500 * time.Millisecond}, {&c.MaxAhead, time.Minute}, {&c.SuspectFor, 5 * time.Second}, {&c.MaxAge, time.Minute}, {&c.WarmupTime, 10 * time.Second}, {&c.MinInterval, 500 * time.Millisecond}} {
		if *d.to == 0 {
			*d.to = d.by
		}
	}
	if c.MaxNodes == 0 {
		c.MaxNodes = 10_000
	}
	return c
}

// Check names the first figure that can't be kept.
func (c Config) Check() error {
	c = c.withDefaults()
	if c.Self == "" || c.MaxSkew < 0 || c.MaxAhead <= c.MaxSkew || c.SuspectFor <= 0 || c.MaxAge < c.SuspectFor || c.MaxAge < c.WarmupTime || c.MaxNodes < 1 {
		return fmt.Errorf("learned: %+v: Self is named, Ahead is above Skew, Keep is not under Hold and Warm, MostNodes is 1 at least", c)
	}
	return nil
}

// Why a fact was not taken.
var (
	ErrMalformed = errors.New("not a fact: its node, field, age, value or coordinator can't be")
	ErrAhead     = errors.New("its stamp is ahead of our clock by more than clocks may be")
	ErrOld       = errors.New("too old to count")
	ErrKnown     = errors.New("known, or something later is")
)

// held is one fact as it is kept: seen is when it was, by our own clock.
type register struct {
	stamp Stamp
	seen  time.Duration
	value float64
	sent  int // how often it was told since it came
}

type node struct {
	registers [fieldCount]register
	heard time.Duration // of it last
}

// Table is one coordinator's copy. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	last  Stamp
	nodes map[string]*node
}

// New returns an empty copy.
func New(c Config) (*Table, error) {
	c = c.withDefaults()
	return &Table{cfg: c, nodes: map[string]*node{}}, c.Check()
}

// stamp is the next of our own.
func (t *Table) stamp(wall time.Time) Stamp {
	s := Stamp{wall.UnixMilli(), 0, t.cfg.Self}
	if s.Physical <= t.last.Physical {
		s.Physical, s.Logical = t.last.Physical, t.last.Logical+1
	}
	t.last = s
	return s
}

// Observe takes in what this coordinator has seen itself just now, by its own clock and that on the wall.
func (t *Table) Observe(now time.Duration, wall time.Time, id string, f Field, value float64) error {
	if !t.worthSharing(now, id, f) {
		return nil
	}
	fact := Fact{Node: id, Field: f, Stamp: t.stamp(wall), Value: value}
	if !fact.valid() {
		return ErrMalformed
	}
	t.put(now, fact)
	return nil
}

// worth tells whether what was seen just now is a fact of its own: each field once in Every, and at once where a failure follows an
// answer or an answer a failure.
func (t *Table) worthSharing(now time.Duration, id string, f Field) bool {
	n := t.nodes[id]
	if n == nil || f >= fieldCount {
		return true
	}
	h := &n.registers[f]
	if h.stamp.Coordinator != t.cfg.Self || now-h.seen >= t.cfg.MinInterval {
		return true
	}
	other := map[Field]Field{Failed: Answered, Answered: Failed}
	o, turns := other[f]
	return turns && n.registers[o].stamp.Coordinator != "" && n.registers[o].stamp.Compare(h.stamp) > 0
}

func (f *Fact) valid() bool {
	return f.Node != "" && len(f.Node) <= 255 && f.Field < fieldCount && f.Age >= 0 && f.Stamp.Coordinator != "" && len(f.Stamp.Coordinator) <= 255 &&
		f.Value >= 0 && !math.IsInf(f.Value, 0)
}

// ObserveStart takes in that a data node started, or came back, some time ago.
func (t *Table) ObserveStart(now time.Duration, wall time.Time, id string, ago time.Duration) error {
	f := Fact{Node: id, Field: Started, Age: max(ago, 0)}
	if n := t.nodes[id]; n != nil && n.registers[Started].stamp.Coordinator != "" && now-f.Age-n.registers[Started].seen < t.cfg.MaxSkew {
		return nil // the same start, or an earlier one
	}
	if f.Age >= t.cfg.MaxAge {
		return ErrOld
	}
	f.Stamp = t.stamp(wall)
	if !f.valid() {
		return ErrMalformed
	}
	t.put(now, f)
	return nil
}

// Merge takes in what another coordinator tells.
func (t *Table) Merge(now time.Duration, wall time.Time, f Fact) error {
	switch {
	case !f.valid():
		return ErrMalformed
	case f.Stamp.Physical > wall.UnixMilli()+t.cfg.MaxAhead.Milliseconds():
		return ErrAhead
	case f.Age >= t.cfg.MaxAge:
		return ErrOld
	}
	if f.Stamp.Physical > t.last.Physical || f.Stamp.Physical == t.last.Physical && f.Stamp.Logical > t.last.Logical {
		t.last = Stamp{f.Stamp.Physical, f.Stamp.Logical, t.cfg.Self}
	}
	if !t.put(now, f) {
		return ErrKnown
	}
	return nil
}

// put keeps a fact where its field's rule prefers it to what is held.
func (t *Table) put(now time.Duration, f Fact) bool {
	n := t.nodes[f.Node]
	if n == nil {
		t.makeRoom()
		n = &node{}
		t.nodes[f.Node] = n
	}
	n.heard = now
	old, seen := &n.registers[f.Field], now-f.Age
	if old.stamp.Coordinator != "" {
		if f.Field == Started {
			// The same word told by a slower way seems younger: it is the same.
			if c := f.Stamp.Compare(old.stamp); c == 0 || seen < old.seen || seen == old.seen && c < 0 {
				return false
			}
		} else if f.Stamp.Compare(old.stamp) <= 0 {
			return false
		}
	}
	*old = register{f.Stamp, seen, f.Value, 0}
	return true
}

// room lets go of the data node heard of longest ago, where there are as many as may be.
func (t *Table) makeRoom() {
	if len(t.nodes) < t.cfg.MaxNodes {
		return
	}
	oldest, at := "", time.Duration(math.MaxInt64)
	for id, n := range t.nodes {
		if n.heard < at || n.heard == at && id < oldest {
			oldest, at = id, n.heard
		}
	}
	delete(t.nodes, oldest)
}

// Step forgets what is too old.
func (t *Table) Step(now time.Duration) {
	for id, n := range t.nodes {
		empty := true
		for f := range n.registers {
			if h := &n.registers[f]; h.stamp.Coordinator != "" && now-h.seen >= t.cfg.MaxAge {
				*h = register{}
			}
			empty = empty && n.registers[f].stamp.Coordinator == ""
		}
		if empty {
			delete(t.nodes, id)
		}
	}
}

// Facts are what is worth telling: what was told least first, and of that the youngest; most of them at most, and each counts as told.
func (t *Table) Facts(now time.Duration, most int) []Fact {
	type entry struct {
		Fact
		h *register
	}
	var list []entry
	for id, n := range t.nodes {
		for f := range n.registers {
			if h := &n.registers[f]; h.stamp.Coordinator != "" && now-h.seen < t.cfg.MaxAge {
				list = append(list, entry{Fact{id, Field(f), h.stamp, max(now-h.seen, 0), h.value}, h})
			}
		}
	}
	slices.SortFunc(list, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.h.sent, b.h.sent), cmp.Compare(a.Age, b.Age), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Field, b.Field))
	})
	var facts []Fact
	for _, e := range list[:min(most, len(list))] {
		e.h.sent++
		facts = append(facts, e.Fact)
	}
	return facts
}

// View is what is held of a data node.
type View struct {
	Suspect       bool
	FailedBy      string        // who saw that it fails, where it is doubtful
	Failed        time.Duration // how long ago
	Answered      time.Duration // how long ago it last answered anybody; below 0 where not known
	WarmingFor    time.Duration // that it is cold yet; 0 where it is warm or nothing is known
	WarmingSeenBy string        // who saw that
	Started       time.Duration // how long ago it started, where it is cold
	Latency       float64       // seconds; below 0 where not known
	Utilization   float64       // below 0 where not known
}

// Of is what is held of a data node now.
func (t *Table) Of(now time.Duration, id string) View {
	v := View{Answered: -1, Latency: -1, Utilization: -1}
	n := t.nodes[id]
	if n == nil {
		return v
	}
	fresh := func(f Field, within time.Duration) (*register, bool) {
		h := &n.registers[f]
		return h, h.stamp.Coordinator != "" && now-h.seen < min(within, t.cfg.MaxAge)
	}
	good, answered := fresh(Answered, t.cfg.MaxAge)
	if answered {
		v.Answered = now - good.seen
	}
	if bad, ok := fresh(Failed, t.cfg.SuspectFor); ok {
		clears := answered && good.stamp.Compare(bad.stamp) > 0 &&
			(good.stamp.Coordinator == bad.stamp.Coordinator || good.stamp.Physical > bad.stamp.Physical+t.cfg.MaxSkew.Milliseconds())
		if v.Suspect = !clears; v.Suspect {
			v.FailedBy, v.Failed = bad.stamp.Coordinator, now-bad.seen
		}
	}
	if h, ok := fresh(Started, t.cfg.WarmupTime); ok {
		v.Started, v.WarmingSeenBy = now-h.seen, h.stamp.Coordinator
		v.WarmingFor = t.cfg.WarmupTime - v.Started
	}
	if h, ok := fresh(Latency, t.cfg.MaxAge); ok {
		v.Latency = h.value
	}
	if h, ok := fresh(Utilization, t.cfg.MaxAge); ok {
		v.Utilization = h.value
	}
	return v
}

// All is what is held of each data node now.
func (t *Table) All(now time.Duration) map[string]View {
	all := map[string]View{}
	for id := range t.nodes {
		all[id] = t.Of(now, id)
	}
	return all
}

// Size is how many data nodes are held.
func (t *Table) Size() int { return len(t.nodes) }
