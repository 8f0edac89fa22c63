package membership

// This file owns the Table: its sources, its nodes and the order in which a call works on them. Each call first
// notes what was told (mark), then finds for each marked node whether it is sound (weigh), and only then what the
// list says of it (place), so that no result depends on the order of nodes. It must never change a list that it has
// handed out.

import (
	"cmp"
	"container/heap"
	"container/list"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Source is one source of a Table.
type Source struct {
	t *Table
	s *source
}

type source struct {
	Spec
	index  int
	claims map[string]*claim
	told   bool      // a whole list, other than a remembered one
	heard  time.Time // when it was last heard
	lease  time.Duration
	stale  bool
	cause  string // of what it does not tell, while that is logged
	serial uint32
	dated  bool      // serial is known
	back   time.Time // since when it tells only older serials; zero while it does not
}

// node is one data node, or one that was.
type node struct {
	id     string
	claims []*claim
	by     *claim
	state  State // by the claims

	seen  bool      // it was listed before; what follows holds from then
	addr  string    // where it stands; empty while it is gone
	came  time.Time // to addr
	home  string    // where it stood last
	start time.Time
	told  time.Time // the start as it was stated, where known
	known bool
	from  *source // that stated it; nil where it was remembered
	gone  time.Time

	signs    int // of death, in a row
	turns    int // parts turned away, in a row
	died     bool
	doubtful bool
	doubtEnd time.Time
	damp     damping

	counted  bool // in the cover, there
	cell     int
	priority uint16
	watching int // the cell whose changes matter to it; -1 for none

	cur  Record // as the list has it; Gone where it is not in
	mode Cause

	sets uint8 // of which sets it is
	wake time.Time
	pos  int // in the heap; -1 where it is not
	past *list.Element
}

// place is an address and who claims to be there.
type place struct {
	holders []*node
	stands  *node
}

// Table is the joined list. It is not safe for use by several goroutines.
type Table struct {
	cfg     Config
	sources []*source
	nodes   map[string]*node
	addrs   map[string]*place
	cover   cover
	watch   map[int]map[*node]bool // by cell: those whose use depends on others there
	alarms  alarms
	past    *list.List
	listed  int

	marked set // to be weighed
	placed set // to be placed
	res    Result
}

// New returns an empty table, or the first figure of the configuration that can't be worked with.
func New(cfg Config) (*Table, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	return &Table{cfg: cfg, nodes: map[string]*node{}, addrs: map[string]*place{}, watch: map[int]map[*node]bool{},
		cover: cover{cells: cfg.ShardSets, shards: cfg.Shards, reach: cfg.Reach, levels: map[int][]level{}},
		past:  list.New(), marked: set{bit: 1}, placed: set{bit: 2}}, nil
}

// Source adds a source; it has told nothing yet.
func (t *Table) Source(spec Spec) *Source {
	if spec.MaxNodes <= 0 {
		spec.MaxNodes = DefaultMaxNodes
	}
	s := &source{Spec: spec, index: len(t.sources), claims: map[string]*claim{}}
	t.sources = append(t.sources, s)
	return &Source{t, s}
}

// Serial is the zone's serial as the source last told it.
func (s *Source) Serial() (serial uint32, known bool) { return s.s.serial, s.s.dated }

// newer compares serials after RFC 1982; a pair that it leaves undefined counts as not newer.
func newer(a, b uint32) bool { return a != b && int32(a-b) > 0 }

// Update takes in what the source has told.
func (s *Source) Update(now time.Time, u Update) Result {
	t, src := s.t, s.s
	t.advance(now)
	if !t.trust(now, src, &u) {
		return t.finish(now)
	}
	if src.cause != "" && u.Basis != Truncated {
		src.cause = ""
		t.note(Fresh, src, "", "")
	}
	if !u.Cached {
		src.heard, src.lease = now, u.Lease
		if src.stale {
			src.stale = false
			t.note(Fresh, src, "", "")
			t.markAll(src)
		}
		if u.Serialled {
			src.serial, src.dated = u.Serial, true
		}
	}
	missing := map[string]bool{}
	if u.Full {
		for id, c := range src.claims {
			missing[id] = c.rec.State != Gone
		}
		was := 0
		for _, listed := range missing {
			if listed {
				was++
			}
		}
		if len(u.Records) == 0 && was > 0 {
			t.note(Emptied, src, "", fmt.Sprintf("%d data nodes", was))
		}
	}
	for _, rec := range u.Records {
		delete(missing, rec.ID)
		t.claim(now, src, rec, u.Cached)
	}
	for _, id := range slices.Sorted(maps.Keys(missing)) {
		if missing[id] {
			t.claim(now, src, Record{ID: id, State: Gone}, u.Cached)
		}
	}
	r := t.finish(now)
	src.told = src.told || u.Full && !u.Cached // only now: the first list names what may have run for long
	return r
}

// trust tells whether an update is to be applied; it takes from it what it can't be trusted with.
func (t *Table) trust(now time.Time, src *source, u *Update) bool {
	hold := func(cause string) bool {
		if src.cause != cause {
			src.cause = cause
			t.note(Held, src, "", cause)
		}
		return false
	}
	switch {
	case u.Basis == Failed:
		return hold(u.Cause)
	case u.Cached:
		return src.heard.IsZero()
	case u.Basis == Relayed && u.Full && len(u.Records) == 0 && len(src.claims) > 0:
		return hold("empty, and told without authority")
	}
	if u.Basis == Truncated && u.Full {
		hold("cut short")
		u.Full = false // what has come is used
	}
	if u.Serialled && src.dated && u.Serial != src.serial && !newer(u.Serial, src.serial) {
		if src.back.IsZero() {
			src.back = now
		}
		if now.Sub(src.back) < t.cfg.SerialHold {
			return hold(fmt.Sprintf("serial %d is older than %d", u.Serial, src.serial))
		}
		t.note(WentBack, src, "", fmt.Sprintf("from %d to %d", src.serial, u.Serial))
	}
	src.back = time.Time{}
	return true
}

// Renew renews the lease of what a source has told: it has said that nothing changed.
func (s *Source) Renew(now time.Time) Result {
	s.t.advance(now)
	if src := s.s; !src.heard.IsZero() {
		src.heard, src.back = now, time.Time{}
		if src.stale || src.cause != "" {
			src.cause = ""
			s.t.note(Fresh, src, "", "")
		}
		if src.stale {
			src.stale = false
			s.t.markAll(src)
		}
	}
	return s.t.finish(now)
}

// SerialSeen takes in the serial that a zone has now, and tells whether its list is to be fetched: where the serial is new,
// or an older one has stayed for SerialHold. The same serial renews the lease.
func (s *Source) SerialSeen(now time.Time, serial uint32) (fetch bool, r Result) {
	t, src := s.t, s.s
	switch {
	case !src.dated || newer(serial, src.serial):
		t.advance(now)
		src.back = time.Time{}
		return true, t.finish(now)
	case serial == src.serial:
		return false, s.Renew(now)
	}
	t.advance(now)
	u := Update{Serial: serial, Serialled: true}
	if src.back.IsZero() || now.Sub(src.back) < t.cfg.SerialHold {
		t.trust(now, src, &u)
		return false, t.finish(now)
	}
	return true, t.finish(now) // Told notes it
}

// claim notes what a source says of one data node.
func (t *Table) claim(now time.Time, src *source, rec Record, remembered bool) {
	c := src.claims[rec.ID]
	if rec.ID == "" || c == nil && rec.State == Gone {
		return
	}
	if rec.State != Gone && (rec.ShardSet < 0 || rec.ShardSet >= t.cfg.ShardSets) {
		t.note(Unfit, src, rec.ID, fmt.Sprintf("cell %d is not within 0 and %d", rec.ShardSet, t.cfg.ShardSets-1))
		if c == nil {
			return
		}
		rec = c.rec // which cell it holds now is not known, so it gets nothing new
		rec.State = Draining
	}
	if c == nil {
		if len(src.claims) >= src.MaxNodes {
			t.note(Excess, src, rec.ID, fmt.Sprintf("over %d data nodes", src.MaxNodes))
			return
		}
		c = &claim{src: src, since: now}
		src.claims[rec.ID] = c
		n := t.nodes[rec.ID]
		if n == nil {
			n = &node{id: rec.ID, cur: Record{ID: rec.ID, State: Gone}, watching: -1, pos: -1}
			t.nodes[rec.ID] = n
		}
		n.claims = append(n.claims, c)
	} else if (rec == c.rec || rec.State == Gone && c.rec.State == Gone) && remembered == c.remembered {
		return // nothing new
	} else if rec.State == Gone && c.rec.State == Gone {
		c.remembered = remembered
		t.marked.add(t.nodes[rec.ID])
		return
	} else if rec.State != c.rec.State || rec.Addr != c.rec.Addr || !rec.Started.Equal(c.rec.Started) {
		c.since = now
	}
	if rec.State == Gone {
		c.drained = c.rec.State == Draining
		c.rec.State = Gone // what it was is still told by the rest
	} else {
		c.rec, c.drained = rec, false
	}
	c.remembered = remembered
	t.marked.add(t.nodes[rec.ID])
}

// Observe takes in what the coordinator sees of a data node. It counts only for one that is listed.
func (t *Table) Observe(now time.Time, id string, e Evidence) Result {
	n := t.nodes[id]
	if n == nil || n.cur.State == Gone || e == Answered && n.signs+n.turns == 0 && !n.doubtful && !n.died {
		return Result{}
	}
	t.advance(now)
	was := n.doubtful
	switch e {
	case Answered:
		n.signs, n.turns, n.died, n.doubtful = 0, 0, false, false
	case Rejected:
		n.signs, n.turns = 0, n.turns+1
	case ConnectionRefused, ConnectionReset:
		n.signs, n.died = n.signs+1, true
	}
	if n.signs >= t.cfg.SuspectAfter || n.turns >= t.cfg.RejectsToSuspect {
		n.doubtful, n.doubtEnd = true, now.Add(t.cfg.SuspectFor)
	}
	if n.doubtful != was {
		what := Cleared
		if n.doubtful {
			what = Suspected
		}
		t.note(what, nil, id, "")
	}
	t.marked.add(n)
	return t.finish(now)
}

// Tick takes in that time has passed.
func (t *Table) Tick(now time.Time) Result {
	t.advance(now)
	return t.finish(now)
}

// Next is when Tick must be called if nothing else happens before; zero where it need not be.
func (t *Table) Next() (at time.Time) {
	if len(t.alarms) > 0 {
		at = t.alarms[0].wake
	}
	for _, src := range t.sources {
		if due := src.due(); !due.IsZero() && (at.IsZero() || due.Before(at)) {
			at = due
		}
	}
	return at
}

// due is when the source turns stale or lapses; zero where neither lies ahead.
func (src *source) due() time.Time {
	switch {
	case src.lease <= 0:
	case !src.stale:
		return src.heard.Add(src.lease)
	case src.MaxStale > 0 && len(src.claims) > 0:
		return src.heard.Add(src.lease + src.MaxStale)
	}
	return time.Time{}
}

// advance does what time alone brings up to now.
func (t *Table) advance(now time.Time) {
	t.res = Result{}
	for _, src := range t.sources {
		for due := src.due(); !due.IsZero() && !now.Before(due); due = src.due() {
			if !src.stale {
				src.stale = true
				t.note(Stale, src, "", fmt.Sprintf("not heard for %v", src.lease))
				t.markAll(src)
				continue
			}
			t.note(Lapsed, src, "", fmt.Sprintf("%d data nodes", len(src.claims)))
			t.markAll(src)
			for id := range src.claims {
				t.unclaim(t.nodes[id], src)
			}
		}
	}
	for len(t.alarms) > 0 && !now.Before(t.alarms[0].wake) {
		n := heap.Pop(&t.alarms).(*node)
		if n.doubtful && !now.Before(n.doubtEnd) {
			n.doubtful, n.signs, n.turns = false, 0, 0
			t.note(Cleared, nil, n.id, "no news")
		}
		if n.past != nil && len(n.claims) == 0 {
			t.forget(n)
			continue
		}
		t.marked.add(n)
	}
}

func (t *Table) markAll(src *source) {
	for id := range src.claims {
		t.marked.add(t.nodes[id])
	}
}

func (t *Table) note(what Cause, src *source, id, detail string) {
	n := Note{Cause: what, ID: id, Detail: detail}
	if src != nil {
		n.Source = src.Name
	}
	t.res.Notes = append(t.res.Notes, n)
}

// finish works on what is marked and hands out what was decided.
func (t *Table) finish(now time.Time) Result {
	for len(t.marked.nodes) > 0 {
		for _, n := range t.marked.take() {
			t.weigh(now, n)
			t.placed.add(n)
		}
	}
	for _, n := range t.placed.take() {
		t.place(now, n)
	}
	slices.SortFunc(t.res.Changes, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return t.res
}

// set is a set of nodes whose upkeep costs only what is in it: a map would keep the size of the longest list.
type set struct {
	bit   uint8 // its mark in its nodes
	nodes []*node
}

func (s *set) add(n *node) {
	if n.sets&s.bit == 0 {
		n.sets |= s.bit
		s.nodes = append(s.nodes, n)
	}
}

// take empties the set and returns its nodes by id.
func (s *set) take() []*node {
	list := s.nodes
	s.nodes = nil
	for _, n := range list {
		n.sets &^= s.bit
	}
	slices.SortFunc(list, func(a, b *node) int { return cmp.Compare(a.id, b.id) })
	return list
}

// weigh finds what a node's claims come to, where it stands, since when it runs, and whether it is sound.
func (t *Table) weigh(now time.Time, n *node) {
	was, before := n.state, n.by
	if !n.seen {
		was = Gone
	}
	n.by, n.state = verdict(n.claims)
	if n.by == nil {
		t.stand(now, n, "")
		n.doubtful, n.signs, n.turns = false, 0, 0 // what was seen is of one that is gone
		if was != Gone && before != nil {
			n.gone = now
			if before.src.Damped {
				by := float64(withdrawn)
				if was == Draining {
					by = drained // the drain before it has counted for the other half
				}
				t.penalise(now, n, by)
			}
		}
		for _, c := range slices.Clone(n.claims) {
			if allGone(n.claims) {
				t.unclaim(n, c.src)
			}
		}
	} else {
		if was == Serving && n.state == Draining && n.by.src.Damped && before != nil {
			t.penalise(now, n, drained)
		}
		t.birth(now, n, was != Gone)
		t.stand(now, n, n.by.rec.Addr)
	}
	t.count(n, n.sound(t, now))
}

func allGone(claims []*claim) bool {
	return !slices.ContainsFunc(claims, func(c *claim) bool { return c.rec.State != Gone })
}

// penalise counts against a node that goes or drains.
func (t *Table) penalise(now time.Time, n *node, by float64) {
	if n.damp.add(&t.cfg, now, by) {
		t.note(Suppressed, nil, n.id, fmt.Sprintf("penalty %.0f, for %v", n.damp.penalty, n.damp.until.Sub(now).Round(time.Second)))
	}
}

// birth settles since when a node runs.
func (t *Table) birth(now time.Time, n *node, present bool) {
	rec, moved := n.by.rec, n.home != "" && n.home != n.by.rec.Addr
	at, known := stated(n.claims, n.by)
	old, seen := n.start, n.seen
	switch {
	case known:
		from := n.by.src
		if n.by.remembered {
			from = nil
		}
		switch {
		case seen && n.known && at.Equal(n.told): // the same process
		case seen && n.known && at.Before(n.told) && from != nil && from == n.from:
			n.start = now // its clock, or what tells of it, went back
		default:
			n.start = at
		}
		n.told, n.known, n.from = at, true, from
	case !seen:
		n.start = t.strange(now, n)
	case present && !moved:
	case present || moved || n.died || now.Sub(n.gone) > t.cfg.ShortAbsence:
		n.start, n.died = now, false
	}
	if n.seen = true; n.start.After(old) && seen {
		n.signs, n.turns, n.died, n.doubtful = 0, 0, false, false
		t.note(Restarted, n.by.src, n.id, "")
	}
	if moved && present {
		t.note(Moved, n.by.src, n.id, n.home+" to "+rec.Addr)
	}
	n.home = rec.Addr
}

// strange is the start of a node that was not known before and whose start nobody states.
func (t *Table) strange(now time.Time, n *node) time.Time {
	if p := t.addrs[n.by.rec.Addr]; p != nil && p.stands != nil && p.stands != n {
		if by, _ := verdict(p.stands.claims); by != nil && by.src != n.by.src {
			return p.stands.start // two sources have two names for one process
		}
		return now
	}
	if n.by.src.told {
		return now
	}
	return time.Time{} // it may have run for long before we did
}

// stand notes at which address a node claims to be; "" for none.
func (t *Table) stand(now time.Time, n *node, addr string) {
	if p := t.addrs[n.addr]; p != nil && n.addr != addr {
		p.holders = slices.DeleteFunc(p.holders, func(o *node) bool { return o == n })
		t.elect(n.addr, p)
	}
	if addr != n.addr {
		n.came = now
	}
	if n.addr = addr; addr == "" {
		return
	}
	p := t.addrs[addr]
	if p == nil {
		p = &place{}
		t.addrs[addr] = p
	}
	if !slices.Contains(p.holders, n) {
		p.holders = append(p.holders, n)
	}
	t.elect(addr, p)
}

// elect finds which of those that claim an address stands there.
func (t *Table) elect(addr string, p *place) {
	var best *node
	for _, n := range p.holders {
		if best == nil || n.outranks(best) {
			best = n
		}
	}
	if old := p.stands; old != best {
		if p.stands = best; old != nil {
			t.marked.add(old)
			if best != nil {
				t.note(Replaced, best.by.src, best.id, "takes the place of "+old.id+" at "+addr)
			}
		}
		if best != nil {
			t.marked.add(best)
		}
	}
	if len(p.holders) == 0 {
		delete(t.addrs, addr)
	}
}

// outranks tells whether n stands rather than o where both claim an address.
func (n *node) outranks(o *node) bool {
	if a, b := n.by.kind(), o.by.kind(); a != b {
		return a > b
	}
	if n.by.src.Rank != o.by.src.Rank {
		return n.by.src.Rank > o.by.src.Rank
	}
	if !n.came.Equal(o.came) {
		return n.came.After(o.came)
	}
	return n.id < o.id
}

// alias tells whether another node stands at the address of n.
func (t *Table) alias(n *node) bool {
	p := t.addrs[n.addr]
	return n.by != nil && p != nil && p.stands != n
}

// sound tells whether a node is one that others may be left unused for.
func (n *node) sound(t *Table, now time.Time) bool {
	return n.by != nil && n.state == Serving && !t.alias(n) && !n.damp.held(now) && !n.doubtful
}

// count keeps the cover, and marks those that a change of it may concern.
func (t *Table) count(n *node, sound bool) {
	var cell int
	var priority uint16
	if n.by != nil {
		cell, priority = n.by.rec.ShardSet, n.by.rec.Priority
	}
	if n.counted == sound && (!sound || n.cell == cell && n.priority == priority) {
		return
	}
	if n.counted && t.cover.add(n.cell, n.priority, -1) {
		t.affect(n.cell)
	}
	if n.counted, n.cell, n.priority = sound, cell, priority; sound && t.cover.add(cell, priority, 1) {
		t.affect(cell)
	}
}

func (t *Table) affect(cell int) {
	for _, c := range t.cover.near(cell) {
		for n := range t.watch[c] {
			t.placed.add(n)
		}
	}
}

// depend notes whose cover a node's use depends on; -1 for none.
func (t *Table) depend(n *node, cell int) {
	if n.watching == cell {
		return
	}
	if n.watching >= 0 {
		if delete(t.watch[n.watching], n); len(t.watch[n.watching]) == 0 {
			delete(t.watch, n.watching)
		}
	}
	if n.watching = cell; cell >= 0 {
		if t.watch[cell] == nil {
			t.watch[cell] = map[*node]bool{}
		}
		t.watch[cell][n] = true
	}
}

// anyPriority is above each priority.
const anyPriority = 1 << 16

// place settles what the list says of a node, and when it must be looked at again.
func (t *Table) place(now time.Time, n *node) {
	rec, mode, cell := Record{ID: n.id, State: Gone}, Cause(""), -1
	if n.by != nil && !t.alias(n) {
		rec = n.by.rec
		rec.State, rec.Started, rec.Unstated = n.state, n.start, false
		if n.state == Serving {
			held, ranked := n.damp.held(now), rec.Priority > 0
			if held || ranked {
				cell = rec.ShardSet
			}
			switch {
			case held && t.cover.lacks(rec.ShardSet, anyPriority):
				mode = Needed
			case held:
				mode, rec.State = Suppressed, Draining
			case ranked && !t.cover.lacks(rec.ShardSet, int(rec.Priority)):
				mode, rec.State = Standby, Draining
			}
		}
	} else if n.by != nil {
		mode = Aliased
	}
	t.depend(n, cell)
	t.tell(n, rec, mode)
	if rec != n.cur {
		if (rec.State == Gone) != (n.cur.State == Gone) {
			if rec.State == Gone {
				t.listed--
			} else {
				t.listed++
			}
		}
		n.cur = rec
		t.res.Changes = append(t.res.Changes, rec)
	}
	t.arm(now, n)
}

// tell notes a change of the list and its reason.
func (t *Table) tell(n *node, rec Record, mode Cause) {
	var src *source
	if n.by != nil {
		src = n.by.src
	}
	switch {
	case mode != n.mode && mode != "":
		t.note(mode, src, n.id, "")
	case n.mode == Suppressed || n.mode == Needed:
		if mode == "" && rec.State != Gone {
			t.note(Reused, src, n.id, "")
		}
	case n.mode == Standby && rec.State == Serving:
		t.note(Active, src, n.id, "")
	}
	switch {
	case n.cur.State == rec.State || mode != "":
	case rec.State == Gone:
		t.note(Removed, src, n.id, "")
	case rec.State == Draining:
		t.note(Drained, src, n.id, "")
	case n.cur.State == Gone:
		t.note(Listed, src, n.id, rec.Addr)
	}
	n.mode = mode
}

// Len is how many data nodes the list holds.
func (t *Table) Len() int { return t.listed }

// List is the whole list, by id, without those that are gone.
func (t *Table) List() (all []Record) {
	for _, id := range slices.Sorted(maps.Keys(t.nodes)) {
		if n := t.nodes[id]; n.cur.State != Gone {
			all = append(all, n.cur)
		}
	}
	return all
}

// Claims are the records that a source now stands for, by id; a list to be remembered.
func (s *Source) Claims() (all []Record) {
	for _, id := range slices.Sorted(maps.Keys(s.s.claims)) {
		if c := s.s.claims[id]; c.rec.State != Gone {
			all = append(all, c.rec)
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
	text := n.cur.State.String()
	if n.mode != "" {
		text += ", " + string(n.mode)
	}
	if n.doubtful {
		text += ", doubtful"
	}
	for _, c := range n.claims {
		text += fmt.Sprintf("; %s says %v", c.src.Name, c.rec.State)
		if c == n.by {
			text += " (owner)"
		}
	}
	return text
}
