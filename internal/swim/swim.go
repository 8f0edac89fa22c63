// Package swim decides which coordinators are there, and who reaches whom. It follows SWIM (Das, Gupta and Motivala 2002)
// with what Lifeguard (Dadgar, Phillips and Currey 2018) adds. It does no I/O, reads no clock, starts no goroutine and logs
// nothing: the same seed, times and events give the same actions, independent of map order. The rules:
//
//	probe       each period one member, in an order shuffled anew each round; without an ack in time Indirect others are
//	            asked to probe it (indirect probe)
//	suspect     no ack by the period's end and no packet meanwhile, and it is silent for longer than usual (phi accrual,
//	            Hayashibara 2004) or has missed a second probe
//	refute      a member that learns that it is suspected or dead says alive under a higher incarnation
//	dead        a suspicion that was not refuted in its time, which shrinks with independent confirmations
//	left        stated by the member itself, or by an operator of one that is gone for good
//	health      missed acks, nacks, refutations and late steps of this member raise its local health multiplier, which
//	            lengthens its own times before others are blamed (Lifeguard, LHA-Probe)
//	buddy       a suspected member learns of it with the next ping (Lifeguard)
//	pause       a step that comes later than a period was a pause of this member: open probes are void, no time counts
//
// Of two updates on a member the one of the higher incarnation counts; of the same, left over dead over suspect over alive.
//
// A link that is cut one way is no death. A member that misses acks of one that others reach reports the link: "I do not
// reach it" where the member's packets still come, else "it does not reach me". Reports are gossiped like updates, carry
// their reporter's version, and are retracted by the first ack, or by the first packet that comes.
//
// Memory: a record for each member (maxMembers at most), a link report for each pair that is cut (maxLinks), and open
// probes. Work: a step costs what its events cost, and the updates of one packet; once a period it looks over the suspects.
package swim

import (
	"math"
	"math/rand/v2"
	"time"
)

// Swim is one member's view. It is not safe for concurrent use.
type Swim struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Duration
	wakeAt  time.Duration // when Step is due
	actions []Action      // of the step at hand
	counts  Counts

	self      *member
	leaving   bool
	rejection string // why the others reject this process; empty where they don't
	health    int    // the local health multiplier of Lifeguard, beside 1

	members    memberList
	prober     prober
	broadcasts broadcastQueue
	links      linkReports
	sync       syncSchedule
	quorum     quorumWatch
}

// Counts are totals of what a member has done and seen, for metrics.
type Counts struct {
	Probes, Missed, Indirect, Suspicions, Deaths, Refuted, Pauses, Dropped, Queued int
}

// New returns a view that holds nobody but itself, or an error that names what is out of range. Joining begins with the
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
		broadcasts: broadcastQueue{byMember: map[string]int{}},
		links:      linkReports{held: map[linkKey]*heldLink{}},
	}
	s.self = &member{Update: Update{Name: cfg.Self, Addr: cfg.Addr, Process: cfg.Process, Incarnation: 1}, since: now}
	s.members.byName[cfg.Self] = s.self
	// Coordinators that start together do not probe in step.
	s.prober.nextAt = now + s.randomUpTo(cfg.Period)
	s.prober.gossipAt = now + s.randomUpTo(cfg.Period)
	s.sync.nextAt = now
	s.broadcasts.addUpdate(s.self.Update)
	return s, nil
}

// Step applies what has happened and returns what is to be done.
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
	case e.Forget != "":
		s.markGone(e.Forget)
	case e.Leave:
		s.leave()
	}
}

// nextWake is when something is due next.
func (s *Swim) nextWake() time.Duration {
	at := min(s.prober.wakeAt(), s.sync.nextAt)
	if s.members.checkAt > 0 {
		at = min(at, s.members.checkAt)
	}
	return max(at, s.now+time.Millisecond)
}

// Next is when Step must be called if nothing happens before.
func (s *Swim) Next() time.Duration { return s.wakeAt }

// Counts are the totals so far.
func (s *Swim) Counts() Counts {
	c := s.counts
	c.Queued = s.broadcasts.added
	return c
}

// Self is this member's name.
func (s *Swim) Self() string { return s.cfg.Self }

// Incarnation is this member's.
func (s *Swim) Incarnation() uint64 { return s.self.Incarnation }

// Rejection tells why the others reject this process as a member; empty where they don't.
func (s *Swim) Rejection() string { return s.rejection }

// randomUpTo draws a time from 0 up to d.
func (s *Swim) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(s.rng.Float64() * float64(d))
}

// logMembers is the logarithm that times and retransmissions grow by, 1 at least.
func (s *Swim) logMembers() float64 { return math.Max(1, math.Log10(float64(s.members.size()))) }

func (s *Swim) send(to string, m Message) {
	m.From = s.self.Update
	s.actions = append(s.actions, Action{To: to, Packet: &m})
}

func (s *Swim) emitChange(c Change) { s.actions = append(s.actions, Action{Change: &c}) }

// leave pings some members, who pass on that this one has left.
func (s *Swim) leave() {
	s.leaving = true
	s.self.State = Left
	for range 2 * s.cfg.Indirect {
		s.pingAny(reachable)
	}
}

// markGone applies an operator's statement that a dead member is gone for good.
func (s *Swim) markGone(name string) {
	if m := s.members.byName[name]; m != nil && m != s.self && m.State == Dead {
		u := m.Update
		u.State, u.By = Left, s.cfg.Self
		s.applyUpdate(u, fromOther, "an operator says that it is gone for good")
	}
}
