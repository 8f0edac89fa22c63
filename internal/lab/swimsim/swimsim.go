// Package swimsim plays a fleet of coordinators that watch each other in virtual time: the decision code of internal/swim as
// it is in service, and the baselines that it is measured against. It owns the virtual network (loss, delay, duplicates,
// cuts by direction, pauses, crashes) and the account of who took whom for dead. It must never use the real clock or network.
package swimsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"gullfall/internal/lab/virtualtime"
	"gullfall/internal/swim"
)

// Config is a fleet and its network.
type Config struct {
	Members int
	Seed    uint64
	Swim    swim.Config // figures; names, addresses and seeds are set here
	Detect  string      // "swim", "plain" (no local health, no silence figure), "heartbeat" (all to all, a fixed time)
	Fixed   time.Duration
	// Watchers, above 0, are how many of the members watch the others by heartbeats: pairs are alike, and n*n packets a period are
	// more than can be played for thousands. What is counted is then of these alone.
	Watchers int
	Loss     float64 // of each packet
	Twice    float64 // of packets that come twice
	Delay    time.Duration
	Jitter   time.Duration // on top, drawn for each packet: what goes later may come sooner
}

// detector is one member's part: swim, or a baseline.
type detector interface {
	step(now time.Duration, events []any) []out
	next() time.Duration
	dead(i int) bool // takes member i for dead now
	alive(i int) bool
}

type out struct {
	to     int
	body   any
	bytes  int
	stream bool // a full exchange: not lost, as TCP sends it again
}

type event struct {
	at     time.Duration
	to     int
	from   int
	body   any
	wake   bool
	stream bool
}

type node struct {
	d      detector
	up     bool
	paused time.Duration // until then
	held   []any         // came while it was paused
	skew   time.Duration // of its clock, by jumps
	wakeAt time.Duration
	thinks []bool // whom it takes for dead, as last looked at
}

// link is one direction between two members.
type link struct{ from, to int }

// Fleet is a running fleet.
type Fleet struct {
	c       Config
	rng     *rand.Rand
	now     time.Duration
	queue   virtualtime.Queue[event]
	nodes   []*node
	cut     map[link]bool
	Packets int
	Bytes   int
	// FalseDead counts each time a member that is up was taken for dead by another that is.
	FalseDead int
	excused   map[int]bool // whose death is no false one
}

// New starts a fleet; its members know the first of them as their seed.
func New(c Config) (*Fleet, error) {
	if c.Swim.Period == 0 {
		c.Swim.Period = time.Second
	}
	f := &Fleet{c: c, rng: rand.New(rand.NewPCG(c.Seed, 0xf1ee7)), cut: map[link]bool{}, excused: map[int]bool{}}
	for i := range c.Members {
		n := &node{up: true, thinks: make([]bool, c.Members)}
		f.nodes = append(f.nodes, n)
		if err := f.start(i, 1); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// start starts a member's process; all of them start together.
func (f *Fleet) start(i int, process uint64) error {
	n := f.nodes[i]
	if f.c.Detect == "heartbeat" {
		n.d = newHeartbeat(i, f.c.Members, f.watchers(), f.c.Swim.Period, f.c.Fixed, f.now+n.skew, f.rng)
	} else {
		s := f.c.Swim
		s.Self, s.Addr, s.Process, s.RandomSeed = Name(i), fmt.Sprint(i), process*100_000+uint64(i)+1, f.c.Seed*7919+uint64(i)+process
		s.Seeds = []string{"0", fmt.Sprint(min(1, f.c.Members-1))}
		if f.c.Detect == "plain" {
			s.MaxHealth, s.Suspicion.MinPhi, s.MaxPause = -1, -1, time.Nanosecond
		}
		d, err := swim.New(s, f.now+n.skew)
		if err != nil {
			return err
		}
		n.d = &member{s: d}
	}
	n.up = true
	f.wakeNode(i, f.now)
	return nil
}

// watchers is how many members watch the others.
func (f *Fleet) watchers() int {
	if f.c.Detect == "heartbeat" && f.c.Watchers > 0 {
		return f.c.Watchers
	}
	return f.c.Members
}

// Name is the name of a member.
func Name(i int) string { return fmt.Sprintf("c%04d", i) }

func (f *Fleet) push(e event) { f.queue.Put(e.at, e) }

func (f *Fleet) wakeNode(i int, at time.Duration) {
	f.nodes[i].wakeAt = at
	f.push(event{at: at, to: i, wake: true})
}

// Run plays until a time.
func (f *Fleet) Run(until time.Duration) {
	for _, e, ok := f.queue.Next(until); ok; _, e, ok = f.queue.Next(until) {
		f.now = max(f.now, e.at)
		n := f.nodes[e.to]
		switch {
		case !n.up:
			continue
		case f.now < n.paused:
			if !e.wake {
				if len(n.held) < 256 { // what a socket holds
					n.held = append(n.held, e.body)
				}
			}
			continue
		case e.wake && e.at != n.wakeAt:
			continue // an earlier plan
		}
		var in []any
		if _, back := e.body.(resumed); back {
			in, n.held = n.held, nil
		} else if !e.wake {
			in = append(in, e.body)
		}
		f.step(e.to, in)
	}
	f.now = until
}

func (f *Fleet) step(i int, in []any) {
	n := f.nodes[i]
	for _, o := range n.d.step(f.now+n.skew, in) {
		f.Packets++
		f.Bytes += o.bytes
		if o.to < 0 || o.to >= len(f.nodes) || f.cut[link{i, o.to}] || o.stream && f.cut[link{o.to, i}] {
			continue
		}
		copies := 1
		if !o.stream && f.rng.Float64() < f.c.Loss {
			copies = 0
		}
		if !o.stream && f.rng.Float64() < f.c.Twice {
			copies++
		}
		for range copies {
			at := f.now + f.c.Delay + time.Duration(f.rng.Float64()*float64(f.c.Jitter))
			f.push(event{at: at, to: o.to, from: i, body: o.body, stream: o.stream})
		}
	}
	f.account(i)
	if at := n.d.next() - n.skew; at != n.wakeAt || at <= f.now {
		f.wakeNode(i, max(at, f.now+time.Microsecond))
	}
}

// account notes whom a member takes for dead. In swim the view changes with steps only.
func (f *Fleet) account(i int) {
	n := f.nodes[i]
	if m, ok := n.d.(*member); ok && !m.changed {
		return
	}
	for j, was := range n.thinks {
		is := n.d.dead(j)
		if is && !was && f.nodes[j].up && !f.excused[j] && !f.excused[i] {
			f.FalseDead++
		}
		n.thinks[j] = is
	}
}

// Pause stops a member's process for a while; what is sent to it waits, as far as a socket holds it.
func (f *Fleet) Pause(i int, d time.Duration) {
	f.nodes[i].paused = f.now + d
	f.push(event{at: f.now + d, to: i, body: resumed{}})
}

// Jump moves a member's clock. Only a process that counts by the wall's clock sees that at all.
func (f *Fleet) Jump(i int, by time.Duration) {
	f.nodes[i].skew += by
	f.wakeNode(i, f.now)
}

// resumed is what wakes a member after a pause.
type resumed struct{}

// Crash ends a member's process. Its death is no false one.
func (f *Fleet) Crash(i int) { f.nodes[i].up = false }

// Restart starts it anew at the same address.
func (f *Fleet) Restart(i int, process uint64) error {
	f.nodes[i].thinks = make([]bool, len(f.nodes))
	f.nodes[i].held = nil
	return f.start(i, process)
}

// Cut cuts the link by which from sends to to, or restores it.
func (f *Fleet) Cut(from, to int, cut bool) {
	f.cut[link{from, to}] = cut
}

// Excuse leaves a member out of the account of false deaths: a cut side can't know.
func (f *Fleet) Excuse(i int, yes bool) { f.excused[i] = yes }

// Lose changes the share of packets that are lost.
func (f *Fleet) Lose(share float64) { f.c.Loss = share }

// Now is the virtual time.
func (f *Fleet) Now() time.Duration { return f.now }

// KnownDead counts the members that are up and take i for dead.
func (f *Fleet) KnownDead(i int) (n int) {
	for j, m := range f.nodes {
		if j != i && m.up && m.d.dead(i) {
			n++
		}
	}
	return n
}

// Agreed tells whether each member that is up holds all that are up for alive, and none other.
func (f *Fleet) Agreed() bool {
	for _, n := range f.nodes {
		if !n.up {
			continue
		}
		for j, o := range f.nodes {
			if n.d.alive(j) != o.up {
				return false
			}
		}
	}
	return true
}

// View is a member's own, nil for a baseline's.
func (f *Fleet) View(i int) *swim.Swim {
	if m, ok := f.nodes[i].d.(*member); ok {
		return m.s
	}
	return nil
}

// Detection plays a crash and returns how long it took until half, and until all, of the others knew.
func (f *Fleet) Detection(i int, longest time.Duration) (half, all time.Duration, ok bool) {
	f.Crash(i)
	from, live := f.now, 0
	for j, n := range f.nodes {
		if n.up && j < f.watchers() {
			live++
		}
	}
	step := max(f.c.Swim.Period/10, time.Millisecond)
	for f.now < from+longest {
		f.Run(f.now + step)
		known := f.KnownDead(i)
		if half == 0 && 2*known >= live {
			half = f.now - from
		}
		if known == live {
			return half, f.now - from, true
		}
	}
	return half, longest, false
}

// member is swim in the fleet.
type member struct {
	s       *swim.Swim
	changed bool
}

func (m *member) step(now time.Duration, in []any) (list []out) {
	events := make([]swim.Event, 0, len(in))
	for _, body := range in {
		switch b := body.(type) {
		case *swim.Message:
			events = append(events, swim.Event{Packet: b})
		case *swim.Full:
			events = append(events, swim.Event{Full: b})
		}
	}
	m.changed = false
	for _, a := range m.s.Step(now, events...) {
		to := -1
		if a.Change == nil {
			to, _ = strconv.Atoi(a.To)
		}
		switch {
		case a.Packet != nil:
			list = append(list, out{to: to, body: a.Packet, bytes: a.Packet.Size()})
		case a.Full != nil:
			list = append(list, out{to: to, body: a.Full, bytes: a.Full.Size(), stream: true})
		case a.Change != nil:
			m.changed = true
		}
	}
	return list
}

func (m *member) next() time.Duration { return m.s.Next() }

func (m *member) dead(i int) bool {
	state, known := m.s.State(Name(i))
	return known && state == swim.Dead
}

func (m *member) alive(i int) bool {
	state, known := m.s.State(Name(i))
	return known && state <= swim.Suspect
}

// heartbeat is the baseline: each tells all others that it is there once a period, and takes for dead whom it has not
// heard for a fixed time.
type heartbeat struct {
	self, to int // it tells the first so many members
	period   time.Duration
	fixed    time.Duration
	at       time.Duration
	heard    []time.Duration // empty where it does not watch
	now      time.Duration
}

func newHeartbeat(self, n, watchers int, period, fixed, now time.Duration, rng *rand.Rand) *heartbeat {
	h := &heartbeat{self: self, to: watchers, period: period, fixed: fixed, at: now + time.Duration(rng.Float64()*float64(period)), now: now}
	for range n {
		if self >= watchers {
			break
		}
		h.heard = append(h.heard, now)
	}
	return h
}

func (h *heartbeat) step(now time.Duration, in []any) (list []out) {
	h.now = now
	for _, body := range in {
		if from, ok := body.(int); ok {
			h.heard[from] = now
		}
	}
	if now >= h.at {
		for j := range h.to {
			if j != h.self {
				list = append(list, out{to: j, body: h.self, bytes: 60})
			}
		}
		h.at = now + h.period
	}
	return list
}

func (h *heartbeat) next() time.Duration { return h.at }
func (h *heartbeat) dead(i int) bool {
	return i != h.self && len(h.heard) > 0 && h.now-h.heard[i] > h.fixed
}
func (h *heartbeat) alive(i int) bool { return !h.dead(i) }

// Quantile of durations, which are sorted in place; 0 for none.
func Quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(int(q*float64(len(list))), len(list)-1)]
}
