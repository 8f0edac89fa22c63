package explore

// This file owns the model: what is the case at one moment, and what may happen next. It must never decide a move itself; moves
// come from internal/maintenance, and the model only carries them out.

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"gullfall/internal/maintenance"
)

// Bug is a rule that is broken on purpose.
type Bug string

// The seeded bugs.
const (
	None         Bug = ""
	ClearEarly   Bug = "a machine is said to be clear while a part is out there"
	NoFence      Bug = "the store takes moves under an old token and of an old plan"
	NoRevision   Bug = "an operator's word is written over a plan that has changed"
	GuessLapsed  Bug = "the holder alone judges that a coordinator is away"
	NoPermit     Bug = "called machines are sent to without presence"
	BootPresent  Bug = "a coordinator that starts takes itself for present"
	NotAll       Bug = "a drain waits for the holder alone"
	NotSeen      Bug = "a machine is drained before all have seen its call"
	StaleGrant   Bug = "presence counts before what was settled is known"
	WarmAtOnce   Bug = "a machine that comes back counts as warm at once"
	TakeBackOut  Bug = "a pause takes back what is handed over"
	LostOverlay  Bug = "a restart forgets what may not be sent to"
	LapseTooSoon Bug = "presence ends in the store while a part is out"
	SeenAway     Bug = "a coordinator without presence says that it has seen a call"
	LostPlan     Bug = "a restart brings an older plan back than was said to be seen"
)

// Bugs are all of them.
var Bugs = []Bug{ClearEarly, NoFence, NoRevision, GuessLapsed, NoPermit, BootPresent, NotAll, NotSeen, StaleGrant, WarmAtOnce, TakeBackOut,
	LostOverlay, LapseTooSoon, SeenAway, LostPlan}

const (
	coords   = 2
	machines = 3
)

// Both shards keep one machine of two: m1 holds both, so it goes alone, while m0 and m2 may go together.
var (
	layout = maintenance.Layout{ShardSets: 3, Shards: 2, Reach: 2}
	limits = maintenance.Limits{Floor: 1}
)

// planID stands for a plan; equal plans have one number.
type planID uint16

// What a coordinator is.
const (
	alive  = 1 << iota
	cut    // off from the store
	paused // all of it
	permit // present by its own clock
	lapsed // no longer present by the store's
	noted  // a record of it is on its way
	lost   // it knows of no plan (by a bug alone)
)

// record is what a coordinator says: the calls it has seen, and for each machine the turn of the drain for which it is clear.
type record struct {
	seen  uint8
	clear [machines]uint8
}

// write is a plan on its way to the store.
type write struct {
	kind   uint8 // 0: none
	plan   planID
	old    bool  // the store's plan is another than it was made from
	fenced bool  // the duty has passed on
	lapsed uint8 // coordinators whose presence has to be over
}

// Kinds of writes.
const (
	moves = 1 + iota
	word
)

type coordinator struct {
	flags uint8
	out   uint8 // machines where a part of it is out
	copy  planID
	says  record // in the store
	note  record // on its way
	write write  // moves of it
}

// world is one state. It is compared whole, so it holds nothing but what matters.
type world struct {
	plan                 planID
	holder               uint8 // of the duty
	faults, words, sends uint8 // that may still happen
	handed               uint8 // machines in somebody's hands, whatever the plan says now
	cold                 uint8 // machines that came back and are not warm
	bad                  uint8 // machines that failed
	started              [machines]uint8
	c                    [coords]coordinator
	op                   write // an operator's word
}

func (c *coordinator) is(flag uint8) bool { return c.flags&flag != 0 }
func (c *coordinator) up() bool           { return c.flags&(alive|paused) == alive }
func (c *coordinator) away() bool         { return !c.up() || c.is(cut) }

// plan is what the model needs of one.
type plan struct {
	state             *maintenance.State
	barred, announced uint8
	out               uint8
	turns             [machines]uint8
	calls             uint8
	over              bool // nobody waits for anything but an operator's word
}

// model holds the plans, by number, and what the decisions said of what they were asked. It may be used by several goroutines.
type model struct {
	bug Bug
	mu  sync.RWMutex
	ids map[string]planID
	all []plan
	// What Step and Order say depends on these alone.
	looks map[asked]write
	said  map[spoken]planID
}

type asked struct {
	plan    planID
	holder  uint8
	late    bool
	usable  uint8
	started [machines]uint8
	says    [coords]record
}

type spoken struct {
	plan    planID
	word    string
	machine uint8
}

func id(k int) string { return string([]byte{'m', '0' + byte(k)}) }

func machineOf(name string) int { return int(name[1] - '0') }

func name(i int) string { return string([]byte{'a' + byte(i)}) }

func clone(p *maintenance.State) *maintenance.State {
	q := *p
	q.Requests, q.Recent, q.Audit = nil, nil, nil
	for _, r := range p.Requests {
		c := *r
		c.Steps, c.Why = make([]*maintenance.Step, len(r.Steps)), ""
		for i, s := range r.Steps {
			d := *s
			c.Steps[i] = &d
		}
		q.Requests = append(q.Requests, &c)
	}
	return &q
}

// text is all of a plan that matters to what may follow.
func text(p *maintenance.State) string {
	b := binary.AppendUvarint(nil, p.Calls)
	b = binary.AppendUvarint(b, p.Turn)
	for _, r := range p.Requests {
		b = append(append(b, r.State...), 0)
		for _, s := range r.Steps {
			b = append(append(b, s.Machine...), byte(s.State))
			b = binary.AppendUvarint(b, s.Call)
			b = binary.AppendUvarint(b, s.Turn)
			b = binary.AppendVarint(b, s.Started)
		}
	}
	return string(b)
}

// number gives a plan its number.
func (m *model) number(p *maintenance.State) planID {
	key := text(p)
	m.mu.Lock()
	defer m.mu.Unlock()
	if n, ok := m.ids[key]; ok {
		return n
	}
	q := plan{state: p, calls: uint8(p.Seen()), over: p.Requests[0].State != maintenance.Open}
	o := p.Overlay()
	for k := range machines {
		if o.Excluded[id(k)] {
			q.barred |= 1 << k
		}
		if o.Announced[id(k)] {
			q.announced |= 1 << k
		}
		q.turns[k] = uint8(o.Turns[id(k)])
	}
	for _, st := range p.Requests[0].Steps {
		switch st.State {
		case maintenance.Out:
			q.out |= 1 << machineOf(st.Machine)
		case maintenance.Failed:
			q.over = true
		}
	}
	n := planID(len(m.all))
	m.all, m.ids[key] = append(m.all, q), n
	return n
}

func (m *model) get(n planID) *plan {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return &m.all[n]
}

func fleet(usable uint8, started [machines]uint8) *maintenance.Fleet {
	var list []maintenance.Machine
	for k := range machines {
		list = append(list, maintenance.Machine{ID: id(k), Addr: id(k), ShardSet: k, Weight: 1, Serving: true, Healthy: usable&(1<<k) != 0, Started: int64(started[k])})
	}
	f, err := maintenance.NewFleet(layout, list)
	if err != nil {
		panic(err) // the layout stands above
	}
	return f
}

// start is a fleet of which some machines are asked for.
func (m *model) start(l Limits) world {
	w := world{faults: l.Faults, words: l.Words, sends: l.Sends}
	var ask []string
	for k := range machines {
		if w.started[k] = 1; k < l.Machines {
			ask = append(ask, id(k))
		}
	}
	s := &maintenance.State{}
	if _, _, err := s.Start(time.Unix(0, 0), maintenance.Request{By: "op", Takes: time.Hour, Back: time.Hour}, ask, fleet(1<<machines-1, w.started), limits, 0); err != nil {
		panic(err) // as above
	}
	w.plan = m.number(s)
	for i := range w.c {
		w.c[i] = coordinator{flags: alive | permit, copy: w.plan}
	}
	return w
}

// maySend tells whether a coordinator lets a part go to a machine.
func (m *model) maySend(c *coordinator, k int) bool {
	if !c.up() {
		return false
	}
	if c.is(lost) {
		return true
	}
	p := m.get(c.copy)
	return p.barred&(1<<k) == 0 && (p.announced&(1<<k) == 0 || c.is(permit) || m.bug == NoPermit)
}

// What may happen.
type event struct {
	kind, who, what uint8
}

const (
	sends = iota
	ends
	hears
	says
	arrives
	vanishes
	granted
	permitEnds
	presenceEnds
	crashes
	cutOff
	isPaused
	starts
	healed
	wakes
	fails
	recovers
	done
	passes
	wants
	wantsLate
	movesLand
	movesVanish
	speaks
	wordLands
)

var words = []string{maintenance.Pause, maintenance.Resume, maintenance.Abandon, "done"}

func (e event) String() string {
	who, what := name(int(e.who)), id(int(e.what))
	switch e.kind {
	case sends:
		return who + " sends a part to " + what
	case ends:
		return "the part of " + who + " at " + what + " ends"
	case hears:
		return who + " hears the plan"
	case says:
		return who + " says what it has seen and where it is clear"
	case arrives:
		return "what " + who + " said is in the store"
	case vanishes:
		return "what " + who + " said is lost"
	case granted:
		return who + " is granted its presence"
	case permitEnds:
		return "the presence of " + who + " is over by its own clock"
	case presenceEnds:
		return "the presence of " + who + " is over in the store"
	case crashes:
		return who + " crashes"
	case cutOff:
		return who + " is cut off from the store"
	case isPaused:
		return who + " is paused"
	case starts:
		return who + " starts again"
	case healed:
		return who + " is no longer cut off"
	case wakes:
		return who + " wakes"
	case fails:
		return what + " fails"
	case recovers:
		return what + " is sound"
	case done:
		return "the work on " + what + " is done, it starts cold"
	case passes:
		return "the duty passes on"
	case wants:
		return who + " makes moves"
	case wantsLate:
		return who + " makes moves, and what is out is out for too long"
	case movesLand:
		return "the moves of " + who + " reach the store"
	case movesVanish:
		return "the moves of " + who + " are lost"
	case speaks:
		if words[e.who] == "done" {
			return "an operator says that " + what + " is done"
		}
		return "an operator says " + words[e.who]
	}
	return "the operator's word reaches the store"
}

// edge is one event and what it leads to.
type edge struct {
	event
	to    world
	fault bool
}

// next lists what may happen.
func (m *model) next(w world, list []edge) []edge {
	add := func(kind, who, what int) *world {
		list = append(list, edge{event{uint8(kind), uint8(who), uint8(what)}, w, false})
		return &list[len(list)-1].to
	}
	fault := func(kind, who, what int) *world {
		n := add(kind, who, what)
		list[len(list)-1].fault = true
		n.faults--
		return n
	}
	for i := range w.c {
		c := &w.c[i]
		mine := m.get(c.copy)
		for k := range machines {
			bit := uint8(1 << k)
			if w.sends > 0 && c.out&bit == 0 && m.maySend(c, k) {
				n := add(sends, i, k)
				n.c[i].out |= bit
				n.sends--
			}
			if c.out&bit != 0 {
				add(ends, i, k).c[i].out &^= bit
			}
		}
		if c.up() && !c.is(cut) && (c.copy != w.plan || c.is(lost)) {
			n := &add(hears, i, 0).c[i]
			n.copy = w.plan
			n.flags &^= lost
		}
		if c.up() && !c.is(noted) {
			say := record{seen: c.says.seen}
			if c.is(permit) || m.bug == SeenAway {
				say.seen = mine.calls
			}
			for k := range machines {
				if c.out&(1<<k) == 0 || m.bug == ClearEarly {
					say.clear[k] = mine.turns[k]
				}
			}
			if say != c.says && !c.is(lost) {
				n := &add(says, i, 0).c[i]
				n.note = say
				n.flags |= noted
			}
		}
		if c.is(noted) { // one that was sent arrives whatever becomes of its sender
			n := &add(arrives, i, 0).c[i]
			n.says, n.note = c.note, record{}
			n.flags &^= noted
			if c.away() {
				n := &add(vanishes, i, 0).c[i]
				n.note = record{}
				n.flags &^= noted
			}
		}
		if c.up() && !c.is(cut) && (!c.is(permit) || c.is(lapsed)) {
			n := &add(granted, i, 0).c[i]
			n.flags = n.flags&^lapsed | permit
			if m.bug != StaleGrant {
				n.copy = w.plan
				n.flags &^= lost
			}
		}
		if c.is(permit) && c.away() {
			add(permitEnds, i, 0).c[i].flags &^= permit
		}
		// Here the argument's clocks stand: the store's count ends last, by the longest attempt.
		if !c.is(lapsed) && c.away() && !c.is(permit) && (c.out == 0 || m.bug == LapseTooSoon) {
			add(presenceEnds, i, 0).c[i].flags |= lapsed
		}
		if w.faults > 0 {
			if c.is(alive) {
				n := &fault(crashes, i, 0).c[i]
				n.flags &^= alive | permit | paused
				n.out = 0
			}
			if !c.is(cut) {
				fault(cutOff, i, 0).c[i].flags |= cut
			}
			if c.up() {
				fault(isPaused, i, 0).c[i].flags |= paused
			}
		}
		if !c.is(alive) {
			n := &add(starts, i, 0).c[i]
			n.flags |= alive
			switch m.bug {
			case BootPresent:
				n.flags |= permit
			case LostOverlay:
				n.flags |= lost
			case LostPlan: // as it was before the first call
				n.copy = 0
			}
		}
		if c.is(cut) {
			add(healed, i, 0).c[i].flags &^= cut
		}
		if c.is(paused) {
			add(wakes, i, 0).c[i].flags &^= paused
		}
		list = m.nextWrites(w, i, list)
	}
	for k := range machines {
		bit := uint8(1 << k)
		if w.faults > 0 && w.bad&bit == 0 {
			fault(fails, 0, k).bad |= bit
		}
		if w.bad&bit != 0 {
			add(recovers, 0, k).bad &^= bit
		}
		if w.cold&bit != 0 {
			add(recovers, 0, k).cold &^= bit
		}
		if w.handed&bit != 0 {
			n := add(done, 0, k)
			n.handed &^= bit
			n.cold |= bit
			n.started[k]++
		}
	}
	pass := func(n *world) {
		n.holder = 1 - w.holder
		for i := range n.c {
			n.c[i].write.fenced = n.c[i].write.kind != 0
		}
		m.drop(n)
	}
	if w.c[w.holder].away() {
		pass(add(passes, 0, 0))
	} else if w.faults > 0 {
		pass(fault(passes, 0, 0))
	}
	if w.words > 0 && w.op.kind == 0 {
		for v, said := range words {
			for k := range machines {
				if said == "done" && w.handed&(1<<k) != 0 || said != "done" && k > 0 {
					continue
				}
				if p, ok := m.speak(spoken{w.plan, said, uint8(k)}); ok {
					n := add(speaks, v, k)
					n.words--
					n.op = write{kind: word, plan: p}
				}
			}
		}
	}
	if w.op.kind != 0 {
		n := add(wordLands, 0, 0)
		n.op = write{}
		if !w.op.old || m.bug == NoRevision {
			m.land(n, w.op.plan)
		}
	}
	return list
}

// nextWrites lists what may happen to one coordinator's moves.
func (m *model) nextWrites(w world, i int, list []edge) []edge {
	c := &w.c[i]
	add := func(kind int) *world {
		list = append(list, edge{event{uint8(kind), uint8(i), 0}, w, false})
		return &list[len(list)-1].to
	}
	if c.write.kind != 0 {
		n := add(movesLand)
		n.c[i].write = write{}
		held := true
		for j := range w.c {
			held = held && (c.write.lapsed&(1<<j) == 0 || w.c[j].is(lapsed) || m.bug == GuessLapsed)
		}
		if m.bug == NoFence || held && !c.write.old && !c.write.fenced {
			m.land(n, c.write.plan)
		}
		if c.away() {
			add(movesVanish).c[i].write = write{}
		}
		return list
	}
	if int(w.holder) != i || c.away() {
		return list
	}
	if wr := m.look(w, false); wr.kind != 0 {
		add(wants).c[i].write = wr
	}
	if w.faults > 0 {
		if wr := m.look(w, true); wr.kind != 0 {
			n := add(wantsLate)
			list[len(list)-1].fault = true
			n.c[i].write = wr
			n.faults--
		}
	}
	return list
}

// land makes a plan the store's.
func (m *model) land(n *world, p planID) {
	n.handed |= m.get(p).out &^ m.get(n.plan).out
	n.plan = p
	for i := range n.c {
		n.c[i].write.old = n.c[i].write.kind != 0
	}
	n.op.old = n.op.kind != 0
	m.drop(n)
}

// drop forgets writes that can't be taken any more: their arrival would change nothing.
func (m *model) drop(n *world) {
	for i := range n.c {
		if wr := &n.c[i].write; (wr.old || wr.fenced) && m.bug != NoFence {
			*wr = write{}
		}
	}
	if n.op.old && m.bug != NoRevision {
		n.op = write{}
	}
}

// look is what the holder wants by what it sees. With late set, what is out or comes back is so for too long.
func (m *model) look(w world, late bool) write {
	q := asked{plan: w.plan, holder: w.holder, late: late, usable: ^(w.bad | w.cold) & (1<<machines - 1), started: w.started}
	if m.bug == WarmAtOnce {
		q.usable = ^w.bad & (1<<machines - 1)
	}
	for i := range w.c {
		q.says[i] = w.c[i].says
	}
	m.mu.RLock()
	wr, ok := m.looks[q]
	m.mu.RUnlock()
	if ok {
		return wr
	}
	state := clone(m.get(w.plan).state)
	v := &maintenance.View{Fleet: fleet(q.usable, q.started), Limits: limits, Wall: time.Unix(10, 0)}
	turns := state.Overlay().Turns
	for i, says := range q.says {
		c := maintenance.Coordinator{Name: name(i), Seen: uint64(says.seen), Clear: map[string]uint64{}, Absent: true}
		for k := range machines {
			if turn, drains := turns[id(k)]; drains && uint8(turn) == says.clear[k] {
				c.Clear[id(k)] = turn
			}
		}
		if m.bug == NotSeen {
			c.Seen = state.Seen()
		}
		if m.bug != NotAll || i == int(w.holder) {
			v.Coordinators = append(v.Coordinators, c)
		}
	}
	var timer maintenance.Timer
	if late {
		clone(state).Step(v, &timer)
		v.Now = 3 * time.Hour
	}
	taken, changed := state.Step(v, &timer)
	if changed {
		for _, t := range taken {
			for _, l := range t.Lapsed {
				wr.lapsed |= 1 << (l[0] - 'a')
			}
		}
		state = clone(state)
		if p := m.number(state); p != w.plan {
			wr.kind, wr.plan = moves, p
		} else {
			wr = write{} // only the reason why it waits is another
		}
	}
	m.mu.Lock()
	m.looks[q] = wr
	m.mu.Unlock()
	return wr
}

// speak is the plan after an operator's word; ok is false where the word is refused.
func (m *model) speak(q spoken) (p planID, ok bool) {
	m.mu.RLock()
	p, known := m.said[q]
	m.mu.RUnlock()
	if !known {
		state := clone(m.get(q.plan).state)
		var err error
		if q.word == "done" {
			err = state.WorkDone(id(int(q.machine)), "")
		} else {
			err = state.Order(q.word, 1)
		}
		if m.bug == TakeBackOut && q.word == maintenance.Pause {
			for _, st := range state.Requests[0].Steps {
				if st.State == maintenance.Out {
					st.State, st.Call = maintenance.Waiting, 0
				}
			}
		}
		if p = q.plan; err == nil {
			p = m.number(clone(state))
		}
		m.mu.Lock()
		m.said[q] = p
		m.mu.Unlock()
	}
	return p, p != q.plan
}

// broken tells which rule does not hold; empty for none.
func (m *model) broken(w *world) string {
	for k := range machines {
		if w.handed&(1<<k) == 0 {
			continue
		}
		for i := range w.c {
			if w.c[i].out&(1<<k) != 0 {
				return fmt.Sprintf("a part of %s is out at %s, which is handed over", name(i), id(k))
			}
			if m.maySend(&w.c[i], k) {
				return fmt.Sprintf("%s may send to %s, which is handed over", name(i), id(k))
			}
		}
	}
	away := m.get(w.plan).barred | w.handed | w.cold
	for s := range layout.Shards {
		left := 0
		for j := range layout.Reach {
			if away&(1<<((s+j)%layout.ShardSets)) == 0 {
				left++
			}
		}
		if left < limits.Floor {
			return fmt.Sprintf("shard %d has %d machines outside work and keeps %d", s, left, limits.Floor)
		}
	}
	return ""
}

// canonical is the one of two states that differ only in which coordinator is which.
func canonical(w world) world {
	if o := order(&w.c[0], &w.c[1]); o < 0 || o == 0 && w.holder == 0 {
		return w
	}
	return swapped(w)
}

func swapped(w world) world {
	w.c[0], w.c[1] = w.c[1], w.c[0]
	w.holder = 1 - w.holder
	for _, wr := range []*write{&w.c[0].write, &w.c[1].write, &w.op} {
		wr.lapsed = wr.lapsed>>1 | wr.lapsed&1<<1
	}
	return w
}

func order(a, b *coordinator) int {
	x, y := a.pack(), b.pack()
	return bytes.Compare(x[:], y[:])
}

// pack is all of a coordinator, for order and hashing. Which coordinators a write rests on is left out: it may order equal what
// differs, and two states that could be one are then two.
func (c *coordinator) pack() (b [16]byte) {
	b[0], b[1], b[2], b[3], b[4] = c.flags, c.out, byte(c.copy), byte(c.copy>>8), c.says.seen
	copy(b[5:], c.says.clear[:])
	b[8] = c.note.seen
	copy(b[9:], c.note.clear[:])
	b[12], b[13], b[14] = c.write.kind, byte(c.write.plan), byte(c.write.plan>>8)
	if c.write.old {
		b[15] |= 1
	}
	if c.write.fenced {
		b[15] |= 2
	}
	return b
}
