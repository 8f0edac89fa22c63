package membership

import (
	"cmp"
	"container/list"
	"fmt"
	"maps"
	"slices"
	"time"
)

// node is one data node that some source names, or one of the past.
type node struct {
	id     string
	claims []*claim // one for each source that names it
	owner  *claim   // describes the node; nil while it is gone
	state  State    // by the claims

	process   process
	addr      string // where it claims to be; empty while it is gone
	arrived   time.Time
	suspicion suspicion
	damping   damping
	counted   coverageEntry
	dependsOn int // the shard set whose coverage decides on its use; -1 for none

	published Record // as the list has it; Gone where it is not listed
	reason    Cause  // why the list differs from the claims; empty where it does not

	queued uint8 // bits of the sets that hold it
	timer  timer
	past   *list.Element // in Table.past while nobody names it
}

// present tells whether a node with this state by its claims is there.
func (s State) present() bool { return s != Gone }

// Table is the joined list. Each call first takes in what was said and marks the nodes concerned, then evaluates each
// marked node (claims, identity, coverage), and only then publishes, so that no result depends on the order of nodes.
// A list that was handed out is not changed any more. It is not safe for use by several goroutines.
type Table struct {
	cfg     Config
	sources []*source
	nodes   map[string]*node
	addrs   map[string]*address
	past    *list.List // of *node that nobody names, the longest gone first
	timers  timers
	listed  int // nodes that the list holds

	coverage   coverage
	dependents map[int]map[*node]bool // by shard set: the nodes whose use depends on its coverage

	toEvaluate nodeSet
	toPublish  nodeSet
	result     Result // of the call at hand
}

// New returns an empty table, or an error that names the first field of the configuration that is out of range.
func New(cfg Config) (*Table, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	return &Table{
		cfg:        cfg,
		nodes:      map[string]*node{},
		addrs:      map[string]*address{},
		past:       list.New(),
		coverage:   coverage{shardSets: cfg.ShardSets, shards: cfg.Shards, reach: cfg.Reach, levels: map[int][]level{}},
		dependents: map[int]map[*node]bool{},
		toEvaluate: nodeSet{bit: 1},
		toPublish:  nodeSet{bit: 2},
	}, nil
}

// Tick applies what time alone brings about up to now: leases, suspicion, damping and expiry.
func (t *Table) Tick(now time.Time) Result {
	t.advance(now)
	return t.finish(now)
}

// Next is when Tick must be called if nothing else happens before; zero where it need not be.
func (t *Table) Next() (at time.Time) {
	if len(t.timers) > 0 {
		at = t.timers[0].timer.at
	}
	for _, src := range t.sources {
		if due := src.due(); !due.IsZero() && (at.IsZero() || due.Before(at)) {
			at = due
		}
	}
	return at
}

// advance begins a call: it applies what time alone brings about up to now.
func (t *Table) advance(now time.Time) {
	t.result = Result{}
	for _, src := range t.sources {
		t.expire(now, src)
	}
	t.runTimers(now)
}

// finish evaluates the marked nodes, publishes those concerned, and returns what the call has decided.
func (t *Table) finish(now time.Time) Result {
	for len(t.toEvaluate.nodes) > 0 {
		for _, n := range t.toEvaluate.take() {
			t.evaluate(now, n)
			t.toPublish.add(n)
		}
	}
	for _, n := range t.toPublish.take() {
		t.publish(now, n)
	}
	slices.SortFunc(t.result.Changes, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return t.result
}

// evaluate settles what the claims of a node come to, where it stands, since when it runs, and whether it counts in
// the coverage.
func (t *Table) evaluate(now time.Time, n *node) {
	formerState, formerOwner := n.state, n.owner
	if !n.process.seen {
		formerState = Gone
	}
	n.owner, n.state = resolve(n.claims)
	if n.owner == nil {
		t.depart(now, n, formerState, formerOwner)
	} else {
		if formerState == Serving && n.state == Draining && n.owner.src.Damped && formerOwner != nil {
			t.penalise(now, n, drainPenalty)
		}
		t.identify(now, n, formerState)
		t.claimAddress(now, n, n.owner.rec.Addr)
	}
	t.updateCoverage(now, n)
}

// depart applies that no claim holds a node in the list any more.
func (t *Table) depart(now time.Time, n *node, formerState State, formerOwner *claim) {
	t.claimAddress(now, n, "")
	n.suspicion = suspicion{} // the evidence was of a process that is gone
	if formerState.present() && formerOwner != nil {
		n.process.goneAt = now
		if formerOwner.src.Damped {
			penalty := float64(withdrawalPenalty)
			if formerState == Draining {
				penalty = drainPenalty // the drain before it has counted for the other half
			}
			t.penalise(now, n, penalty)
		}
	}
	if allGone(n.claims) {
		for _, c := range slices.Clone(n.claims) {
			t.unclaim(n, c.src)
		}
	}
}

// penalise counts a withdrawal or a drain against a node.
func (t *Table) penalise(now time.Time, n *node, penalty float64) {
	if n.damping.add(&t.cfg, now, penalty) {
		held := n.damping.until.Sub(now).Round(time.Second)
		t.note(Suppressed, nil, n.id, fmt.Sprintf("penalty %.0f, for %v", n.damping.penalty, held))
	}
}

// sound tells whether a node serves so well that others may be left unused for it.
func (t *Table) sound(now time.Time, n *node) bool {
	return n.owner != nil && n.state == Serving && !t.alias(n) && !n.damping.suppressed(now) && !n.suspicion.suspect
}

// note adds a note to the result of the call at hand; src is nil where no source is meant.
func (t *Table) note(cause Cause, src *source, id, detail string) {
	n := Note{Cause: cause, ID: id, Detail: detail}
	if src != nil {
		n.Source = src.Name
	}
	t.result.Notes = append(t.result.Notes, n)
}

// Len is how many data nodes the list holds.
func (t *Table) Len() int { return t.listed }

// List is the whole list, by id, without those that are gone.
func (t *Table) List() (all []Record) {
	for _, id := range slices.Sorted(maps.Keys(t.nodes)) {
		if n := t.nodes[id]; n.published.State.present() {
			all = append(all, n.published)
		}
	}
	return all
}

// Explain says in words how the list has come to what it says of a data node.
func (t *Table) Explain(id string) string {
	n := t.nodes[id]
	if n == nil {
		return "not known"
	}
	text := n.published.State.String()
	if n.reason != "" {
		text += ", " + string(n.reason)
	}
	if n.suspicion.suspect {
		text += ", doubtful"
	}
	for _, c := range n.claims {
		text += fmt.Sprintf("; %s says %v", c.src.Name, c.rec.State)
		if c == n.owner {
			text += " (owner)"
		}
	}
	return text
}

// nodeSet is a set of nodes that keeps no memory once it is emptied; a map would keep the size of the longest list.
type nodeSet struct {
	bit   uint8 // its bit in node.queued
	nodes []*node
}

func (s *nodeSet) add(n *node) {
	if n.queued&s.bit == 0 {
		n.queued |= s.bit
		s.nodes = append(s.nodes, n)
	}
}

// take empties the set and returns its nodes by id.
func (s *nodeSet) take() []*node {
	nodes := s.nodes
	s.nodes = nil
	for _, n := range nodes {
		n.queued &^= s.bit
	}
	slices.SortFunc(nodes, func(a, b *node) int { return cmp.Compare(a.id, b.id) })
	return nodes
}
