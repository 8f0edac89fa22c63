// Package swimsim simulates, in virtual time, a fleet of coordinators that detect each other's failures: with the code of internal/swim
// that is in service, or with one of the baselines that it is compared with. The virtual network loses, delays and duplicates packets
// and has partitions by direction; processes pause and crash. The fleet counts who was falsely taken for dead.
package swimsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gullfall/internal/lab/virtualtime"
	"gullfall/internal/swim"
)

// Config is a fleet and its network.
type Config struct {
	Members int
	Seed    uint64
	Swim    swim.Config   // names, addresses and seeds are set by the fleet
	Detect  string        // "swim", "plain" (without local health and silence level) or "heartbeat" (all to all)
	Fixed   time.Duration // of heartbeats: the silence after which a member is taken for dead
	// Watchers, above 0, is how many of the members watch the others by heartbeats: pairs are alike, and n*n packets a period are too
	// many to simulate for thousands of members. The counts are then of these members alone.
	Watchers int
	Loss     float64 // probability that a packet is lost
	Twice    float64 // probability that a packet arrives twice
	Delay    time.Duration
	Jitter   time.Duration // the most that is added to Delay, drawn for each packet, so that packets may overtake each other
}

// detector is the failure detector of one member.
type detector interface {
	step(now time.Duration, events []any) []packet
	next() time.Duration
	dead(i int) bool // member i is taken for dead
	alive(i int) bool
}

// packet is what a detector sends.
type packet struct {
	to     int
	body   any
	size   int
	stream bool // a full exchange over TCP, which does not lose it
}

// event is the arrival of a packet, or a planned step.
type event struct {
	at   time.Duration
	to   int
	body any  // of a packet, or resumed
	wake bool // a planned step
}

// process is one member's process.
type process struct {
	detector     detector
	up           bool
	pausedUntil  time.Duration // virtual time
	socketBuffer []any         // what arrived while it was paused
	clockSkew    time.Duration // by how much its clock is ahead
	wakeAt       time.Duration
	believedDead []bool // by member: whether it was taken for dead after the last step
}

// socketBufferPackets is how many packets wait at a process that is paused.
const socketBufferPackets = 256

// link is one direction between two members.
type link struct{ from, to int }

// Fleet is a running fleet.
type Fleet struct {
	config    Config
	rng       *rand.Rand
	now       time.Duration
	queue     virtualtime.Queue[event]
	processes []*process
	cut       map[link]bool
	Packets   int
	Bytes     int
	// FalseDead counts each time a member that is up was taken for dead by another that is.
	FalseDead int
	excused   map[int]bool // members that don't count in FalseDead
}

// New starts a fleet; its members know the first of them as their seed.
func New(c Config) (*Fleet, error) {
	if c.Swim.Period == 0 {
		c.Swim.Period = time.Second
	}
	f := &Fleet{config: c, rng: rand.New(rand.NewPCG(c.Seed, 0xf1ee7)), cut: map[link]bool{}, excused: map[int]bool{}}
	for i := range c.Members {
		n := &process{up: true, believedDead: make([]bool, c.Members)}
		f.processes = append(f.processes, n)
		if err := f.start(i, 1); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// start starts a member's process; all of them start together.
func (f *Fleet) start(i int, process uint64) error {
	n := f.processes[i]
	if f.config.Detect == "heartbeat" {
		n.detector = newHeartbeat(i, f.config.Members, f.watchers(), f.config.Swim.Period, f.config.Fixed, f.now+n.clockSkew, f.rng)
	} else {
		s := f.config.Swim
		s.Self, s.Addr, s.Process, s.RandomSeed = Name(i), fmt.Sprint(i), process*100_000+uint64(i)+1, f.config.Seed*7919+uint64(i)+process
		s.Seeds = []string{"0", fmt.Sprint(min(1, f.config.Members-1))}
		if f.config.Detect == "plain" {
			s.MaxHealth, s.Suspicion.MinPhi, s.MaxPause = -1, -1, time.Nanosecond
		}
		d, err := swim.New(s, f.now+n.clockSkew)
		if err != nil {
			return err
		}
		n.detector = &member{swim: d}
	}
	n.up = true
	f.wakeAt(i, f.now)
	return nil
}

// watchers is how many members watch the others.
func (f *Fleet) watchers() int {
	if f.config.Detect == "heartbeat" && f.config.Watchers > 0 {
		return f.config.Watchers
	}
	return f.config.Members
}

// Name is the name of a member.
func Name(i int) string { return fmt.Sprintf("c%04d", i) }

func (f *Fleet) push(e event) { f.queue.Put(e.at, e) }

func (f *Fleet) wakeAt(i int, at time.Duration) {
	f.processes[i].wakeAt = at
	f.push(event{at: at, to: i, wake: true})
}

// Run simulates until a virtual time.
func (f *Fleet) Run(until time.Duration) {
	for _, e, ok := f.queue.Next(until); ok; _, e, ok = f.queue.Next(until) {
		f.now = max(f.now, e.at)
		n := f.processes[e.to]
		switch {
		case !n.up:
			continue
		case f.now < n.pausedUntil:
			if !e.wake {
				if len(n.socketBuffer) < socketBufferPackets {
					n.socketBuffer = append(n.socketBuffer, e.body)
				}
			}
			continue
		case e.wake && e.at != n.wakeAt:
			continue // was planned anew since
		}
		var in []any
		if _, back := e.body.(resumed); back {
			in, n.socketBuffer = n.socketBuffer, nil
		} else if !e.wake {
			in = append(in, e.body)
		}
		f.step(e.to, in)
	}
	f.now = until
}

func (f *Fleet) step(i int, in []any) {
	n := f.processes[i]
	for _, o := range n.detector.step(f.now+n.clockSkew, in) {
		f.Packets++
		f.Bytes += o.size
		if o.to < 0 || o.to >= len(f.processes) || f.cut[link{i, o.to}] || o.stream && f.cut[link{o.to, i}] {
			continue
		}
		copies := 1
		if !o.stream && f.rng.Float64() < f.config.Loss {
			copies = 0
		}
		if !o.stream && f.rng.Float64() < f.config.Twice {
			copies++
		}
		for range copies {
			at := f.now + f.config.Delay + time.Duration(f.rng.Float64()*float64(f.config.Jitter))
			f.push(event{at: at, to: o.to, body: o.body})
		}
	}
	f.countFalseDeaths(i)
	if at := n.detector.next() - n.clockSkew; at != n.wakeAt || at <= f.now {
		f.wakeAt(i, max(at, f.now+time.Microsecond))
	}
}

// countFalseDeaths compares whom a member takes for dead with the step before. A view of swim changes only where it says so.
func (f *Fleet) countFalseDeaths(i int) {
	n := f.processes[i]
	if m, ok := n.detector.(*member); ok && !m.changed {
		return
	}
	for j, was := range n.believedDead {
		is := n.detector.dead(j)
		if is && !was && f.processes[j].up && !f.excused[j] && !f.excused[i] {
			f.FalseDead++
		}
		n.believedDead[j] = is
	}
}

// Pause stops a member's process for a while; what is sent to it waits as far as its socket buffer reaches.
func (f *Fleet) Pause(i int, d time.Duration) {
	f.processes[i].pausedUntil = f.now + d
	f.push(event{at: f.now + d, to: i, body: resumed{}})
}

// Jump moves a member's clock, as if it used the wall clock.
func (f *Fleet) Jump(i int, by time.Duration) {
	f.processes[i].clockSkew += by
	f.wakeAt(i, f.now)
}

// resumed is the event that ends a pause.
type resumed struct{}

// Crash ends a member's process. Taking it for dead is right from now on.
func (f *Fleet) Crash(i int) { f.processes[i].up = false }

// Restart starts a member's process again at the same address.
func (f *Fleet) Restart(i int, process uint64) error {
	f.processes[i].believedDead = make([]bool, len(f.processes))
	f.processes[i].socketBuffer = nil
	return f.start(i, process)
}

// Cut cuts the link by which from sends to to, or restores it.
func (f *Fleet) Cut(from, to int, cut bool) {
	f.cut[link{from, to}] = cut
}

// Excuse sets whether a member is left out of FalseDead, as one that is partitioned can't know better.
func (f *Fleet) Excuse(i int, yes bool) { f.excused[i] = yes }

// Lose sets the probability that a packet is lost.
func (f *Fleet) Lose(share float64) { f.config.Loss = share }

// Now is the virtual time.
func (f *Fleet) Now() time.Duration { return f.now }

// KnownDead counts the members that are up and take i for dead.
func (f *Fleet) KnownDead(i int) (n int) {
	for j, m := range f.processes {
		if j != i && m.up && m.detector.dead(i) {
			n++
		}
	}
	return n
}

// Agreed tells whether each member that is up takes exactly those that are up for alive.
func (f *Fleet) Agreed() bool {
	for _, n := range f.processes {
		if !n.up {
			continue
		}
		for j, o := range f.processes {
			if n.detector.alive(j) != o.up {
				return false
			}
		}
	}
	return true
}

// View is a member's swim, nil where it runs heartbeats.
func (f *Fleet) View(i int) *swim.Swim {
	if m, ok := f.processes[i].detector.(*member); ok {
		return m.swim
	}
	return nil
}

// Detection crashes a member and returns how long it took until half, and until all, of the others took it for dead; ok is false where
// that took longer than longest.
func (f *Fleet) Detection(i int, longest time.Duration) (half, all time.Duration, ok bool) {
	f.Crash(i)
	from, live := f.now, 0
	for j, n := range f.processes {
		if n.up && j < f.watchers() {
			live++
		}
	}
	step := max(f.config.Swim.Period/10, time.Millisecond)
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

// Quantile of durations, which are sorted in place; 0 for none.
func Quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(int(q*float64(len(list))), len(list)-1)]
}
