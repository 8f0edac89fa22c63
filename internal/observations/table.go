package observations

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// register is the last write of one field of a data node; none where the stamp is zero.
type register struct {
	stamp Stamp
	seen  time.Duration // when it was observed, by this coordinator's monotonic clock
	value float64
	sent  int // how often it was sent since it was written
}

func (r *register) written() bool { return r.stamp.Coordinator != "" }

// younger tells whether a register is written and its age is below a bound.
func (r *register) younger(than, now time.Duration) bool {
	return r.written() && now-r.seen < than
}

// node is the registers of one data node.
type node struct {
	registers [fieldCount]register
	updated   time.Duration // when a fact on it was last merged or observed
}

// Table is one coordinator's replica. It is not safe for concurrent use. Times are of the coordinator's monotonic clock,
// except where they are called wall.
type Table struct {
	cfg   Config
	clock clock
	nodes map[string]*node
}

// New returns an empty replica, or what Check says of the configuration.
func New(cfg Config) (*Table, error) {
	cfg = cfg.withDefaults()
	return &Table{cfg: cfg, clock: clock{self: cfg.Self}, nodes: map[string]*node{}}, cfg.Check()
}

// Observe writes what this coordinator has observed itself just now. Of what it observes again and again only some becomes
// a fact. The error is ErrMalformed.
func (t *Table) Observe(now time.Duration, wall time.Time, id string, f Field, value float64) error {
	if !t.becomesFact(now, id, f) {
		return nil
	}
	return t.write(now, wall, Fact{Node: id, Field: f, Value: value})
}

// becomesFact tells whether what was observed just now becomes a fact: each field once in MinInterval, and at once where a
// failure follows an answer or an answer a failure.
func (t *Table) becomesFact(now time.Duration, id string, f Field) bool {
	n := t.nodes[id]
	if n == nil || f >= fieldCount {
		return true
	}
	r := &n.registers[f]
	if r.stamp.Coordinator != t.cfg.Self || now-r.seen >= t.cfg.MinInterval {
		return true
	}
	o, exists := f.opposite()
	return exists && n.registers[o].written() && n.registers[o].stamp.Compare(r.stamp) > 0
}

// ObserveStart writes that a data node started, or came back, some time ago. The error is ErrOld or ErrMalformed.
func (t *Table) ObserveStart(now time.Duration, wall time.Time, id string, ago time.Duration) error {
	f := Fact{Node: id, Field: Started, Age: max(ago, 0)}
	if n := t.nodes[id]; n != nil && n.registers[Started].written() && now-f.Age-n.registers[Started].seen < t.cfg.MaxSkew {
		return nil // the same start, or an earlier one
	}
	if f.Age >= t.cfg.MaxAge {
		return ErrOld
	}
	return t.write(now, wall, f)
}

// write stamps a fact of this coordinator's own and merges it.
func (t *Table) write(now time.Duration, wall time.Time, f Fact) error {
	f.Stamp = t.clock.next(wall)
	if !f.valid() {
		return ErrMalformed
	}
	t.merge(now, f)
	return nil
}

// Merge merges a fact of another coordinator. The error is one of those of the package; ErrKnown is the usual one, as facts
// come by several ways.
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

// merge writes a fact where the rule of its field prefers it to what is held, and tells whether it did.
func (t *Table) merge(now time.Duration, f Fact) bool {
	n := t.nodes[f.Node]
	if n == nil {
		t.evictOldest()
		n = &node{}
		t.nodes[f.Node] = n
	}
	n.updated = now
	r, w := &n.registers[f.Field], register{stamp: f.Stamp, seen: now - f.Age, value: f.Value}
	if !w.supersedes(r, f.Field) {
		return false
	}
	*r = w
	return true
}

// supersedes is the rule of a field: whether a write replaces what is held.
func (r *register) supersedes(held *register, f Field) bool {
	if !held.written() {
		return true
	}
	later := r.stamp.Compare(held.stamp)
	if f != Started {
		return later > 0
	}
	// The same write that comes by a slower way has a lower age than it should: it is the same.
	return later != 0 && (r.seen > held.seen || r.seen == held.seen && later > 0)
}

// evictOldest drops the data node updated longest ago, where there are MaxNodes.
func (t *Table) evictOldest() {
	if len(t.nodes) < t.cfg.MaxNodes {
		return
	}
	oldest, at := "", time.Duration(math.MaxInt64)
	for id, n := range t.nodes {
		if n.updated < at || n.updated == at && id < oldest {
			oldest, at = id, n.updated
		}
	}
	delete(t.nodes, oldest)
}

// Step forgets what is older than MaxAge.
func (t *Table) Step(now time.Duration) {
	for id, n := range t.nodes {
		empty := true
		for f := range n.registers {
			r := &n.registers[f]
			if r.written() && !r.younger(t.cfg.MaxAge, now) {
				*r = register{}
			}
			empty = empty && !r.written()
		}
		if empty {
			delete(t.nodes, id)
		}
	}
}

// Facts are those to be sent next, limit of them at most: what was sent least first, and of that the youngest. Each counts
// as sent.
func (t *Table) Facts(now time.Duration, limit int) []Fact {
	type entry struct {
		Fact
		register *register
	}
	var list []entry
	for id, n := range t.nodes {
		for f := range n.registers {
			if r := &n.registers[f]; r.younger(t.cfg.MaxAge, now) {
				list = append(list, entry{Fact{id, Field(f), r.stamp, max(now-r.seen, 0), r.value}, r})
			}
		}
	}
	slices.SortFunc(list, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.register.sent, b.register.sent), cmp.Compare(a.Age, b.Age),
			cmp.Compare(a.Node, b.Node), cmp.Compare(a.Field, b.Field))
	})
	var facts []Fact
	for _, e := range list[:min(limit, len(list))] {
		e.register.sent++
		facts = append(facts, e.Fact)
	}
	return facts
}
