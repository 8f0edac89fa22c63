// Package swim keeps one coordinator's view of which coordinators are alive and which of them reach each other. It implements
// SWIM (Das, Gupta and Motivala 2002) with the extensions of Lifeguard (Dadgar, Phillips and Currey 2018). It does no I/O,
// reads no clock, starts no goroutine and logs nothing: the same seed, times and events give the same actions, independent of
// map order. The rules:
//
//	probe       one member each period, in an order reshuffled every round; if its ack is late, Indirect other members are
//	            asked to probe it (indirect probe)
//	suspect     a member that sent no ack by the end of the period and no packet meanwhile, and that either has been silent
//	            for unusually long (phi accrual, Hayashibara 2004) or has missed a second probe
//	refute      a member that learns that it is suspected or dead announces that it is alive under a higher incarnation
//	dead        a member whose suspicion was not refuted in time; the timeout shrinks with independent confirmations
//	left        announced by the member itself, or by an operator for a dead member that is gone for good
//	health      missed acks, missing nacks, refutations and late steps of this member raise its local health multiplier, which
//	            lengthens its own timeouts before it blames others (Lifeguard, LHA-Probe)
//	buddy       a suspected member learns of the suspicion with the next ping (Lifeguard)
//	pause       a step that comes late by half a period or more means that this member was paused: open probes are dropped,
//	            and the time of the pause does not count
//
// Of two updates on a member, the one with the higher incarnation wins; at the same incarnation, left overrides dead, dead
// overrides suspect, and suspect overrides alive.
//
// A link that is cut one way makes no member dead. A member that misses acks of another one that others reach reports the
// link: as cut from itself to the other while the other's packets still arrive, else as cut from the other to itself. Reports
// are gossiped like updates, carry a version number of their reporter, and are retracted by the first ack, or by the first
// packet that arrives.
//
// Memory: a record for each member (at most maxMembers), a report for each cut link and reporter (at most maxLinks), and the
// open probes. Work: a step costs what its events and the updates of one packet cost; once a period it checks the suspects.
package swim

import (
	"math"
	"math/rand/v2"
	"time"
)

// Swim is one member's view of the fleet. It is not safe for concurrent use.
type Swim struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Duration
	wakeAt  time.Duration // when Step is due
	actions []Action      // of the current step
	counts  Counts

	self      *member
	leaving   bool
	rejection string // why the other members reject this process; empty if they do not
	health    int    // local health multiplier of Lifeguard, minus 1

	members    memberList
	prober     prober
	broadcasts broadcastQueue
	links      linkTable
	sync       syncSchedule
	quorum     quorumWatch
}

// Counts holds totals since the start, for metrics.
type Counts struct {
	Probes, Missed, Indirect, Suspicions, Deaths, Refuted, Pauses, Dropped, Queued int
}

// New returns a view that holds only this member, or an error that names the settings out of range. Joining begins with the
// first Step.
func New(cfg Config, now time.Duration) (*Swim, error) {
	if err := cfg.setDefaults(); err != nil {
		return nil, err
	}
	s := &Swim{
		cfg:        cfg,
		rng:        rand.New(rand.NewPCG(cfg.RandomSeed, 0x5317)),
		now:        now,
		wakeAt:     now,
		members:    memberList{byName: map[string]*member{}},
		broadcasts: broadcastQueue{updatesByMember: map[string]int{}},
		links:      linkTable{reports: map[linkKey]*linkReport{}},
	}
	s.self = &member{Update: Update{Name: cfg.Self, Addr: cfg.Addr, Process: cfg.Process, Incarnation: 1}, since: now}
	s.members.byName[cfg.Self] = s.self
	// Random offsets keep coordinators that start together from probing at the same times.
	s.prober.nextAt = now + s.randomUpTo(cfg.Period)
	s.prober.gossipAt = now + s.randomUpTo(cfg.Period)
	s.sync.nextAt = now
	s.broadcasts.addUpdate(s.self.Update)
	return s, nil
}

// Step applies events and the timers due at now, and returns the actions to take.
func (s *Swim) Step(now time.Duration, events ...Event) []Action {
	s.now, s.actions = max(now, s.now), nil
	s.checkPause()
	for _, e := range events {
		s.apply(e)
	}
	s.runProbes()
	s.endSuspicions()
	s.startSync()
	s.checkQuorum()
	s.wakeAt = s.nextWake()
	return s.actions
}

func (s *Swim) apply(e Event) {
	switch {
	case e.Packet != nil:
		s.receive(e.Packet)
	case e.Full != nil:
		s.receiveFull(e.Full)
	case e.MarkGone != "":
		s.markGone(e.MarkGone)
	case e.Leave:
		s.leave()
	}
}

// nextWake returns when the next timer is due.
func (s *Swim) nextWake() time.Duration {
	at := min(s.prober.wakeAt(), s.sync.nextAt)
	if s.members.nextCheckAt > 0 {
		at = min(at, s.members.nextCheckAt)
	}
	return max(at, s.now+time.Millisecond)
}

// NextWake returns when Step must be called if no event arrives before.
func (s *Swim) NextWake() time.Duration { return s.wakeAt }

// Counts returns the totals so far.
func (s *Swim) Counts() Counts {
	c := s.counts
	c.Queued = s.broadcasts.added
	return c
}

// Self returns this member's name.
func (s *Swim) Self() string { return s.cfg.Self }

// Incarnation returns this member's incarnation.
func (s *Swim) Incarnation() uint64 { return s.self.Incarnation }

// Rejection returns why the other members reject this process; empty if they do not.
func (s *Swim) Rejection() string { return s.rejection }

// randomUpTo returns a random duration from 0 up to d.
func (s *Swim) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(s.rng.Float64() * float64(d))
}

// log10Members returns log10 of the number of members, at least 1; suspicion times and retransmissions grow with it.
func (s *Swim) log10Members() float64 { return math.Max(1, math.Log10(float64(s.members.size()))) }

func (s *Swim) send(to string, m Message) {
	m.From = s.self.Update
	s.actions = append(s.actions, Action{To: to, Packet: &m})
}

func (s *Swim) emitChange(c Change) { s.actions = append(s.actions, Action{Change: &c}) }

// leave marks this member as left and pings some others, which gossip that.
func (s *Swim) leave() {
	s.leaving = true
	s.self.State = Left
	for range 2 * s.cfg.Indirect {
		s.pingAny(aliveOrSuspect)
	}
}

// markGone applies an operator's statement that a dead member is gone for good.
func (s *Swim) markGone(name string) {
	if m := s.members.byName[name]; m != nil && m != s.self && m.State == Dead {
		u := m.Update
		u.State, u.By = Left, s.cfg.Self
		s.applyUpdate(u, fromOther, "declared gone for good by an operator")
	}
}
