// Package swimsim simulates, in virtual time, a fleet of coordinators that detect each other's failures, either with internal/swim or with
// one of the baselines that it is compared with. The virtual network loses, delays and duplicates packets and can be partitioned in one
// direction; processes pause and crash. The fleet counts false positives: live members that were considered dead.
package swimsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gullfall/internal/lab/virtualtime"
	"gullfall/internal/swim"
)

// Config describes a fleet and its network.
type Config struct {
	Members          int
	Seed             uint64
	Swim             swim.Config   // New sets the names, addresses and seeds
	Detect           string        // "swim", "plain" (swim without local health, minimum silence level and pause tolerance) or "heartbeat" (all to all)
	HeartbeatTimeout time.Duration // heartbeat only: time without a heartbeat after which a member is considered dead
	// Watchers, if above 0, is the number of members that watch the others by heartbeats. All pairs behave alike, and n*n packets a
	// period are too many to simulate for thousands of members. The counts then cover these members only.
	Watchers    int
	Loss        float64 // probability that a packet is lost
	Duplication float64 // probability that a packet arrives twice
	Delay       time.Duration
	Jitter      time.Duration // maximum random addition to Delay for each packet; packets may overtake each other
}

// detector is the failure detector of one member.
type detector interface {
	step(now time.Duration, events []any) []packet
	next() time.Duration // when step must be called next, by the member's clock
	dead(i int) bool     // whether it considers member i dead
	alive(i int) bool    // whether it considers member i alive or suspect
}

// packet is a message that a detector sends.
type packet struct {
	to     int
	body   any
	size   int  // bytes
	stream bool // a full state exchange over TCP, which is neither lost nor duplicated
}

// event is the arrival of a packet, a scheduled step, or the end of a pause.
type event struct {
	at   time.Duration
	to   int
	body any  // body of a packet, or resumed
	wake bool // a scheduled step
}

// process is one member's process.
type process struct {
	detector     detector
	up           bool
	pausedUntil  time.Duration // virtual time
	socketBuffer []any         // bodies of packets that arrived while it was paused
	clockSkew    time.Duration // how far its clock is ahead of the virtual time
	wakeAt       time.Duration // virtual time of the next scheduled step
	believedDead []bool        // by member: whether it was considered dead after the last step
}

// socketBufferPackets is the number of packets that a paused process can buffer; further ones are dropped.
const socketBufferPackets = 256

// link is one direction of the connection between two members.
type link struct{ from, to int }

// Fleet is a simulated fleet.
type Fleet struct {
	config    Config
	rng       *rand.Rand
	now       time.Duration
	queue     virtualtime.Queue[event]
	processes []*process
	cut       map[link]bool
	Packets   int // packets sent so far
	Bytes     int // bytes sent so far
	// FalseDead counts how often a live member began to consider another live member dead.
	FalseDead int
	excluded  map[int]bool // members that are left out of FalseDead
}

// New starts a fleet. The first two members are the seeds of all members.
func New(c Config) (*Fleet, error) {
	if c.Swim.Period == 0 {
		c.Swim.Period = time.Second
	}
	f := &Fleet{config: c, rng: rand.New(rand.NewPCG(c.Seed, 0xf1ee7)), cut: map[link]bool{}, excluded: map[int]bool{}}
	for i := range c.Members {
		n := &process{up: true, believedDead: make([]bool, c.Members)}
		f.processes = append(f.processes, n)
		if err := f.start(i, 1); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// start starts a member's process; the process number differs between its restarts.
func (f *Fleet) start(i int, process uint64) error {
	n := f.processes[i]
	if f.config.Detect == "heartbeat" {
		n.detector = newHeartbeat(i, f.config.Members, f.watchers(), f.config.Swim.Period, f.config.HeartbeatTimeout, f.now+n.clockSkew, f.rng)
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
		n.detector = &swimDetector{swim: d}
	}
	n.up = true
	f.wakeAt(i, f.now)
	return nil
}

// watchers returns the number of members that watch the others.
func (f *Fleet) watchers() int {
	if f.config.Detect == "heartbeat" && f.config.Watchers > 0 {
		return f.config.Watchers
	}
	return f.config.Members
}

// Name returns the name of a member.
func Name(i int) string { return fmt.Sprintf("c%04d", i) }

func (f *Fleet) push(e event) { f.queue.Put(e.at, e) }

func (f *Fleet) wakeAt(i int, at time.Duration) {
	f.processes[i].wakeAt = at
	f.push(event{at: at, to: i, wake: true})
}

// Run simulates until the given virtual time.
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
			continue // the step has been rescheduled since
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
		if !o.stream && f.rng.Float64() < f.config.Duplication {
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

// countFalseDeaths counts the live members that member i considers dead now but did not after its previous step. It skips a swim member
// whose last step reported no change.
func (f *Fleet) countFalseDeaths(i int) {
	n := f.processes[i]
	if m, ok := n.detector.(*swimDetector); ok && !m.changed {
		return
	}
	for j, was := range n.believedDead {
		is := n.detector.dead(j)
		if is && !was && f.processes[j].up && !f.excluded[j] && !f.excluded[i] {
			f.FalseDead++
		}
		n.believedDead[j] = is
	}
}

// Pause suspends a member's process. Packets for it are buffered up to socketBufferPackets.
func (f *Fleet) Pause(i int, d time.Duration) {
	f.processes[i].pausedUntil = f.now + d
	f.push(event{at: f.now + d, to: i, body: resumed{}})
}

// ShiftClock shifts a member's clock, like a jump of the wall clock.
func (f *Fleet) ShiftClock(i int, by time.Duration) {
	f.processes[i].clockSkew += by
	f.wakeAt(i, f.now)
}

// resumed is the event that ends a pause.
type resumed struct{}

// Crash ends a member's process. Considering it dead no longer counts in FalseDead.
func (f *Fleet) Crash(i int) { f.processes[i].up = false }

// Restart restarts a member's process at the same address.
func (f *Fleet) Restart(i int, process uint64) error {
	f.processes[i].believedDead = make([]bool, len(f.processes))
	f.processes[i].socketBuffer = nil
	return f.start(i, process)
}

// Cut cuts or restores the link in the direction from one member to another.
func (f *Fleet) Cut(from, to int, cut bool) {
	f.cut[link{from, to}] = cut
}

// ExcludeFromFalseDead sets whether a member is left out of FalseDead, for example because it is partitioned from the others.
func (f *Fleet) ExcludeFromFalseDead(i int, exclude bool) { f.excluded[i] = exclude }

// SetLoss sets the probability that a packet is lost.
func (f *Fleet) SetLoss(probability float64) { f.config.Loss = probability }

// Now returns the virtual time.
func (f *Fleet) Now() time.Duration { return f.now }

// KnownDead returns the number of live members that consider i dead.
func (f *Fleet) KnownDead(i int) (n int) {
	for j, m := range f.processes {
		if j != i && m.up && m.detector.dead(i) {
			n++
		}
	}
	return n
}

// Converged reports whether all live members consider exactly the live members alive.
func (f *Fleet) Converged() bool {
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

// View returns a member's swim instance, or nil if it runs heartbeats.
func (f *Fleet) View(i int) *swim.Swim {
	if m, ok := f.processes[i].detector.(*swimDetector); ok {
		return m.swim
	}
	return nil
}

// Detection crashes a member and returns the times until half, and all, of the live watchers consider it dead. If that takes longer than
// longest, ok is false and all is longest.
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

// Quantile returns the q-quantile of durations, which it sorts in place, or 0 if there are none.
func Quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(int(q*float64(len(list))), len(list)-1)]
}
