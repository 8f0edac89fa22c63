package membership

import (
	"cmp"
	"container/list"
	"fmt"
	"maps"
	"slices"
	"time"
)

// node is one data node that some source claims, or an unclaimed one that is still known.
type node struct {
	id     string
	claims []*claim // one for each source that names it
	owner  *claim   // the claim that describes the node, by the package comment; nil while it is gone
	state  State    // resolved from the claims

	process   process
	addr      string    // address that it claims; empty while it is gone
	addrSince time.Time // when addr last changed
	suspicion suspicion
	damping   damping
	counted   coverageEntry
	dependsOn int // the shard set whose coverage decides whether it is used; -1 for none

	published Record // as it is listed; Gone if it is not
	reason    Cause  // why the list differs from the claims; empty if it does not

	queued        uint8 // bits of the node sets that contain it
	timer         timer
	unclaimedElem *list.Element // in Table.unclaimed while no source claims it
}

// present reports whether a data node in this state is serving or draining.
func (s State) present() bool { return s != Gone }

// Table holds the merged list. Each call first applies its input and marks the affected nodes, then evaluates each marked
// node (claims, identity, coverage), and only then publishes, so that no result depends on the order of nodes. A list that
// was returned is not modified afterwards. A Table is not safe for concurrent use.
type Table struct {
	cfg       Config
	sources   []*sourceState
	nodes     map[string]*node
	addrs     map[string]*address
	unclaimed *list.List // of *node without claims, the longest unclaimed first
	timers    timers
	listed    int // number of nodes in the list

	coverage   coverage
	dependents map[int]map[*node]bool // by shard set: the nodes whose use depends on its coverage

	toEvaluate nodeSet
	toPublish  nodeSet
	result     Result // of the current call
}

// New returns an empty table, or an error that names the first field of cfg that is out of range.
func New(cfg Config) (*Table, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	return &Table{
		cfg:        cfg,
		nodes:      map[string]*node{},
		addrs:      map[string]*address{},
		unclaimed:  list.New(),
		coverage:   coverage{shardSets: cfg.ShardSets, shards: cfg.Shards, reach: cfg.Reach, levels: map[int][]level{}},
		dependents: map[int]map[*node]bool{},
		toEvaluate: nodeSet{bit: 1},
		toPublish:  nodeSet{bit: 2},
	}, nil
}

// Tick applies the changes that are due by now: those of leases, suspicion, damping and expiry.
func (t *Table) Tick(now time.Time) Result {
	t.advance(now)
	return t.finish(now)
}

// Next returns when Tick must be called unless another call comes before; zero if no change is due.
func (t *Table) Next() (at time.Time) {
	if len(t.timers) > 0 {
		at = t.timers[0].timer.at
	}
	for _, src := range t.sources {
		if due := src.expiresAt(); !due.IsZero() && (at.IsZero() || due.Before(at)) {
			at = due
		}
	}
	return at
}

// advance starts a call: it clears the result and applies the changes that are due by now.
func (t *Table) advance(now time.Time) {
	t.result = Result{}
	for _, src := range t.sources {
		t.expire(now, src)
	}
	t.runTimers(now)
}

// finish evaluates the marked nodes, publishes them and the nodes they affect, and returns the result of the call.
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

// evaluate resolves the claims of a node, and updates its start, its address and its count in the coverage.
func (t *Table) evaluate(now time.Time, n *node) {
	formerState, formerOwner := n.state, n.owner
	if !n.process.seen {
		formerState = Gone
	}
	n.owner, n.state = resolve(n.claims)
	if n.owner == nil {
		t.withdraw(now, n, formerState, formerOwner)
	} else {
		if formerState == Serving && n.state == Draining && n.owner.src.Damped && formerOwner != nil {
			t.penalise(now, n, drainPenalty)
		}
		t.updateStart(now, n, formerState)
		t.claimAddress(now, n, n.owner.rec.Addr)
	}
	t.updateCoverage(now, n)
}

// withdraw handles a node that no claim keeps in the list any more.
func (t *Table) withdraw(now time.Time, n *node, formerState State, formerOwner *claim) {
	t.claimAddress(now, n, "")
	n.suspicion = suspicion{} // the evidence concerned a process that is gone
	if formerState.present() && formerOwner != nil {
		n.process.goneAt = now
		if formerOwner.src.Damped {
			penalty := float64(withdrawalPenalty)
			if formerState == Draining {
				penalty = drainPenalty // the rest of withdrawalPenalty was added when it began to drain
			}
			t.penalise(now, n, penalty)
		}
	}
	if allGone(n.claims) {
		for _, c := range slices.Clone(n.claims) {
			t.dropClaim(n, c.src)
		}
	}
}

// penalise adds the penalty of a withdrawal or a drain to a node.
func (t *Table) penalise(now time.Time, n *node, penalty float64) {
	if n.damping.add(&t.cfg, now, penalty) {
		suppressedFor := n.damping.suppressedUntil.Sub(now).Round(time.Second)
		t.note(Suppressed, nil, n.id, fmt.Sprintf("penalty %.0f, for %v", n.damping.penalty, suppressedFor))
	}
}

// healthy reports whether a node counts in the coverage, so that those of higher priority values may stay
// unused (Standby).
func (t *Table) healthy(now time.Time, n *node) bool {
	return n.owner != nil && n.state == Serving && !t.isAlias(n) && !n.damping.suppressed(now) && !n.suspicion.suspect
}

// note adds a note to the result of the current call; src is nil if the note concerns no source.
func (t *Table) note(cause Cause, src *sourceState, id, detail string) {
	n := Note{Cause: cause, ID: id, Detail: detail}
	if src != nil {
		n.Source = src.Name
	}
	t.result.Notes = append(t.result.Notes, n)
}

// Len returns the number of data nodes in the list.
func (t *Table) Len() int { return t.listed }

// List returns the list, by id, without data nodes that are gone.
func (t *Table) List() (all []Record) {
	for _, id := range slices.Sorted(maps.Keys(t.nodes)) {
		if n := t.nodes[id]; n.published.State.present() {
			all = append(all, n.published)
		}
	}
	return all
}

// Explain describes, for operators, how a data node is listed, why, and what each source claims.
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

// nodeSet is a set of nodes that releases its memory when emptied; a map would keep that of its largest size.
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

// take empties the set and returns its nodes, sorted by id.
func (s *nodeSet) take() []*node {
	nodes := s.nodes
	s.nodes = nil
	for _, n := range nodes {
		n.queued &^= s.bit
	}
	slices.SortFunc(nodes, func(a, b *node) int { return cmp.Compare(a.id, b.id) })
	return nodes
}
