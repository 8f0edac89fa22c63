package observations

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// register holds the last write of one field of a data node; a zero stamp means that there is none.
type register struct {
	stamp      Stamp
	observedAt time.Duration // time of the observation, on this coordinator's monotonic clock
	value      float64
	sendCount  int // how often it has been sent since it was written
}

func (r *register) written() bool { return r.stamp.Coordinator != "" }

// youngerThan reports whether the register holds a write whose age is below a limit.
func (r *register) youngerThan(limit, now time.Duration) bool {
	return r.written() && now-r.observedAt < limit
}

// node holds the registers of one data node.
type node struct {
	registers [fieldCount]register
	updated   time.Duration // when a fact about it was last received or written
}

// Table is one coordinator's replica of the observations. It is not safe for concurrent use. Parameters named now are times of the
// coordinator's monotonic clock, and those named wall are times of its wall clock.
type Table struct {
	cfg   Config
	clock clock
	nodes map[string]*node
}

// New returns an empty replica, or the error of Config.Check.
func New(cfg Config) (*Table, error) {
	cfg = cfg.withDefaults()
	return &Table{cfg: cfg, clock: clock{self: cfg.Self}, nodes: map[string]*node{}}, cfg.Check()
}

// Observe records an observation that this coordinator has just made. Repeated observations are rate limited: not every one becomes a
// fact. The error is ErrMalformed.
func (t *Table) Observe(now time.Duration, wall time.Time, id string, f Field, value float64) error {
	if !t.shouldRecord(now, id, f) {
		return nil
	}
	return t.write(now, wall, Fact{Node: id, Field: f, Value: value})
}

// shouldRecord reports whether an observation made now becomes a fact: if this coordinator's last fact on the field is MinInterval old
// or another coordinator's has replaced it, and at once for a failure after an answer or an answer after a failure.
func (t *Table) shouldRecord(now time.Duration, id string, f Field) bool {
	n := t.nodes[id]
	if n == nil || f >= fieldCount {
		return true
	}
	r := &n.registers[f]
	if r.stamp.Coordinator != t.cfg.Self || now-r.observedAt >= t.cfg.MinInterval {
		return true
	}
	o, exists := f.opposite()
	return exists && n.registers[o].written() && n.registers[o].stamp.Compare(r.stamp) > 0
}

// ObserveStart records that a data node started or came back some time ago. It ignores a start that is not later than the known one by
// at least MaxSkew. The error is ErrOld or ErrMalformed.
func (t *Table) ObserveStart(now time.Duration, wall time.Time, id string, ago time.Duration) error {
	f := Fact{Node: id, Field: Started, Age: max(ago, 0)}
	if n := t.nodes[id]; n != nil && n.registers[Started].written() && now-f.Age-n.registers[Started].observedAt < t.cfg.MaxSkew {
		return nil // the same start or an earlier one
	}
	if f.Age >= t.cfg.MaxAge {
		return ErrOld
	}
	return t.write(now, wall, f)
}

// write stamps one of this coordinator's own facts and merges it.
func (t *Table) write(now time.Duration, wall time.Time, f Fact) error {
	f.Stamp = t.clock.next(wall)
	if !f.valid() {
		return ErrMalformed
	}
	t.merge(now, f)
	return nil
}

// Merge merges a fact received from another coordinator. It returns ErrMalformed, ErrAhead, ErrOld or ErrKnown if the fact is not
// merged. ErrKnown is common, since facts arrive over several paths.
func (t *Table) Merge(now time.Duration, wall time.Time, f Fact) error {
	switch {
	case !f.valid():
		return ErrMalformed
	case f.Stamp.Physical > wall.UnixMilli()+t.cfg.MaxAhead.Milliseconds():
		return ErrAhead
	case f.Age >= t.cfg.MaxAge:
		return ErrOld
	}
	t.clock.receive(f.Stamp)
	if !t.merge(now, f) {
		return ErrKnown
	}
	return nil
}

// merge writes a fact if the rule of its field prefers it to the held one, and reports whether it did.
func (t *Table) merge(now time.Duration, f Fact) bool {
	n := t.nodes[f.Node]
	if n == nil {
		t.evictOldest()
		n = &node{}
		t.nodes[f.Node] = n
	}
	n.updated = now
	r, w := &n.registers[f.Field], register{stamp: f.Stamp, observedAt: now - f.Age, value: f.Value}
	if !w.supersedes(r, f.Field) {
		return false
	}
	*r = w
	return true
}

// supersedes reports whether a write replaces the held one, by the rule of field f.
func (r *register) supersedes(held *register, f Field) bool {
	if !held.written() {
		return true
	}
	order := r.stamp.Compare(held.stamp)
	if f != Started {
		return order > 0
	}
	// The same write received over a slower path seems younger than it is, so equal stamps never replace each other.
	return order != 0 && (r.observedAt > held.observedAt || r.observedAt == held.observedAt && order > 0)
}

// evictOldest drops the least recently updated data node if there are MaxNodes.
func (t *Table) evictOldest() {
	if len(t.nodes) < t.cfg.MaxNodes {
		return
	}
	oldest, updated := "", time.Duration(math.MaxInt64)
	for id, n := range t.nodes {
		if n.updated < updated || n.updated == updated && id < oldest {
			oldest, updated = id, n.updated
		}
	}
	delete(t.nodes, oldest)
}

// Expire removes facts that have reached MaxAge, and data nodes without facts.
func (t *Table) Expire(now time.Duration) {
	for id, n := range t.nodes {
		empty := true
		for f := range n.registers {
			r := &n.registers[f]
			if r.written() && !r.youngerThan(t.cfg.MaxAge, now) {
				*r = register{}
			}
			empty = empty && !r.written()
		}
		if empty {
			delete(t.nodes, id)
		}
	}
}

// Facts returns at most limit facts to send next, the least often sent first and among those the youngest first. It counts each as
// sent.
func (t *Table) Facts(now time.Duration, limit int) []Fact {
	type entry struct {
		Fact
		register *register
	}
	var entries []entry
	for id, n := range t.nodes {
		for f := range n.registers {
			if r := &n.registers[f]; r.youngerThan(t.cfg.MaxAge, now) {
				entries = append(entries, entry{Fact{id, Field(f), r.stamp, max(now-r.observedAt, 0), r.value}, r})
			}
		}
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.register.sendCount, b.register.sendCount), cmp.Compare(a.Age, b.Age),
			cmp.Compare(a.Node, b.Node), cmp.Compare(a.Field, b.Field))
	})
	var facts []Fact
	for _, e := range entries[:min(limit, len(entries))] {
		e.register.sendCount++
		facts = append(facts, e.Fact)
	}
	return facts
}
