// Package swim decides who of the coordinators is there, and who reaches whom. It owns the members, what is suspected of
// each, the probes that are out, and the news that is still to be passed on. It must never do I/O, look at a clock, start
// a goroutine, log, or let map order or a global random source show in what it does: the same seed, times and events give
// the same actions.
//
// It follows SWIM (Das, Gupta and Motivala 2002) with what Lifeguard (Dadgar, Phillips and Currey 2018) adds. The rules:
//
//	probe      each period one member, in an order shuffled anew each round; no ack in time: k others are asked to probe it
//	suspect    no ack by the period's end, not heard meanwhile, and it is silent for longer than usual (phi-accrual,
//	           Hayashibara 2004) or has missed a second probe
//	refute     who hears that it is suspected or dead says alive under a higher incarnation
//	dead       a suspicion that nobody refuted in its time; the time shrinks with independent confirmations
//	left       said by the member itself, or by an operator of one that is gone for good
//	health     own missed acks, nacks and refutations, and turns that come late, widen own times before others are blamed
//	buddy      a suspected member is told so with the next ping
//	pause      a turn that comes later than a period was a pause of our own: what is out is void, no time counts
//
// What is newer: a word of a higher incarnation; of the same, left over dead over suspect over alive.
//
// A cut one way is no death. Who misses acks of a member that others reach reports the link: "I do not reach it" where the
// member is still heard, else "it does not reach me". Reports are news like others, carry their reporter's version, and
// are taken back by the first ack, or by the first packet heard.
//
// Memory: a record for each member (mostMembers at most), a link report for each pair that is cut (mostLinks), and what
// is out. Work: a step costs what its events cost, and the news of one packet; once a period it looks over the suspects.
package swim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// State is what is held of a member.
type State uint8

// The states. Of the same incarnation the later is the newer.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

// String is the state in a word.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Update is one word on a member.
type Update struct {
	Name        string
	Addr        string // where it takes packets
	Process     uint64 // tells two processes under one name apart
	Incarnation uint64 // only the member itself raises it
	State       State
	By          string // who says so, of Suspect and Dead
}

// Link is one word on whether From reaches To by itself.
type Link struct {
	From, To string
	By       string // one of the two
	Version  uint32 // of the reporter's words on this link
	Cut      bool
}

// Kind is what a message is for.
type Kind uint8

// The kinds of messages.
const (
	Ping    Kind = iota + 1 // answer with Ack
	Ack                     // of Seq; Via is set where another was asked to probe
	PingReq                 // probe Target on my behalf
	Nack                    // Target has not answered me either, but I am there
	Reject                  // you can't be a member, for Reason
	Updates                 // nothing but news
)

// Message is one packet.
type Message struct {
	Kind    Kind
	Seq     uint32
	From    Update // the sender's own word on itself
	Target  string // Ping, PingReq: who is meant
	Addr    string // PingReq: where it is
	Via     string // Ack: the member that passes it on
	Reason  string
	Updates []Update
	Links   []Link
}

// Full is all that a member knows, for an exchange with another.
type Full struct {
	From    Update
	Reply   bool // the answer to another's
	Members []Update
	Links   []Link
	Refused string // why the other can't be a member; nothing else counts then
}

// Event is one thing that happened; one field is set.
type Event struct {
	Packet *Message
	Full   *Full
	Leave  bool
	Forget string // an operator's word: this member is gone for good
}

// Action is one thing to be done; one field beside To is set.
type Action struct {
	To     string   // an address
	Packet *Message // to be sent
	Full   *Full    // to be exchanged, or sent back where it is a Reply
	Change *Change  // to be told
}

// Change is one that others want to hear of.
type Change struct {
	Name     string
	State    State
	Was      State
	New      bool // the member was not known before
	Why      string
	Quorum  Quorum // set, with Name empty, where the verdict on the whole has changed
	LinkFrom string // set, with Name as To, where a link has
	Cut      bool
}

// Config holds the figures. The zero value of each but Self and Addr takes its default.
type Config struct {
	Self        string
	Addr        string
	Process     uint64
	RandomSeed        uint64
	Seeds       []string      // addresses to join by
	Period      time.Duration // of probes; 1 s
	Timeout     time.Duration // for a direct ack; a quarter of Period
	Indirect    int           // members asked to probe in vain's place; 3
	MaxPause    time.Duration // the longest pause of a member that must not make it dead; 3 s
	MinSuspicionMult       float64       // least suspicion time, in periods times log10 of the members; 4
	MaxSuspicionMult        float64       // and how many times of that it may be without confirmations; 4
	RetransmitMult      int           // how often a word is passed on, times log10 of the members; 4
	MaxHealth      int           // the most that own times are widened by, beside 1; 4. Below 0: never
	MinPhi         float64       // a silence below this figure needs a second missed probe; 1. Below 0: never
	SyncInterval    time.Duration // between full exchanges; 15 periods
	ForgetAfter time.Duration // how long one that has left is remembered; 10 min
	MaxUpdateBytes      int           // bytes that the news of one packet may take; 1,100
	CutAfter   int           // direct acks in a row that a cut link has missed; 4
}

const (
	maxMembers = 10_000
	maxLinks   = 8192
	maxIncarnationJump    = 1 << 16 // by how much a word may raise an incarnation: who lies can't use them up
)

func (c *Config) setDefaults() error {
	if c.Self == "" || c.Addr == "" {
		return fmt.Errorf("swim: Self, Addr: both must be given")
	}
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&c.Period, time.Second)
	set(&c.Timeout, c.Period/4)
	set(&c.MaxPause, 3*time.Second)
	set(&c.SyncInterval, 15*c.Period)
	set(&c.ForgetAfter, 10*time.Minute)
	for _, x := range []struct {
		n *int
		v int
	}{{&c.Indirect, 3}, {&c.RetransmitMult, 4}, {&c.MaxHealth, 4}, {&c.MaxUpdateBytes, 1100}, {&c.CutAfter, 4}} {
		if *x.n == 0 {
			*x.n = x.v
		}
	}
	for _, x := range []struct {
		f *float64
		v float64
	}{{&c.MinSuspicionMult, 4}, {&c.MaxSuspicionMult, 4}, {&c.MinPhi, 1}} {
		if *x.f == 0 {
			*x.f = x.v
		}
	}
	if c.Period <= 0 || c.Timeout <= 0 || c.Timeout > c.Period/2 || c.MaxPause < 0 || c.MaxSuspicionMult < 1 || c.MinSuspicionMult < 0 {
		return fmt.Errorf("swim: Period %v, Timeout %v, Bear %v, Alpha %v, Beta %v: Timeout is above 0 and at most half of Period, Beta 1 at least, none below 0", c.Period, c.Timeout, c.MaxPause, c.MinSuspicionMult, c.MaxSuspicionMult)
	}
	return nil
}

// member is what is held of one.
type member struct {
	Update
	since    time.Duration // of its state
	deadAt    time.Duration // Suspect: when it is dead
	suspectedAt    time.Duration // Suspect: when that began
	suspectors  []string      // Suspect: who says so
	heard    time.Duration // last packet of its own; 0 for never
	reached  time.Duration // last direct ack
	rtt      time.Duration
	intervals     intervalStats
	enrolled  bool          // it is in the order of probes
	missed   int           // direct acks in a row
	missedAt time.Duration // the first of them
	unanswered     int           // probes in a row that nobody answered
	formerProcesses  []uint64      // processes that it had before: what still goes round of them, or is sent anew, is old
	reportedCut string        // the direction that is reported as cut: its From; empty for none
}

// probe is one that is out.
type probe struct {
	seq      uint32
	target     string
	sentAt       time.Duration
	indirectAt time.Duration // when others are asked; 0 once they were
	endAt      time.Duration
	requested    int  // others
	nacks    int  // of them that answered
	relayed  bool // an ack came by another
	acked   bool // or by itself
}

// relay is a probe on another's behalf.
type relay struct {
	seq    uint32 // ours
	requesterSeq uint32 // theirs
	requester     string // their address
	nackAt   time.Duration
	endAt    time.Duration
}

// Swim is one member's view. It is not safe for concurrent use.
type Swim struct {
	cfg        Config
	rng      *rand.Rand
	now      time.Duration
	self     *member
	members  map[string]*member // self included
	order    []string           // of probes, self and the left not included
	next     int
	recheck  []string // probed again between others
	probes   []*probe
	relays   []relay
	seq      uint32
	health   int
	broadcasts     []*queuedUpdate        // by how often each was sent, then the newest first
	queuedByMember   map[string]int // updates among them, by member
	links    map[[3]string]*heldLink
	linkVersion  uint32 // of our words on links
	probeAt  time.Duration
	gossipAt   time.Duration
	syncAt   time.Duration
	wakeAt     time.Duration
	leaving  bool
	rejection  string
	quorum  Quorum
	quorumStale    bool          // the verdict may have changed
	suspicionCheckAt  time.Duration // when a suspicion ends, or one that has left is forgotten; 0 for never
	stateCounts   [4]int        // how many others are in each state
	seedBackoff time.Duration // the last pause between calls of seeds that are no members
	recheckTurn    bool          // the next turn is that of a doubted one
	counts   Counts
	actions      []Action
}

// Counts are what a member has done and seen, for metrics.
type Counts struct {
	Probes, Missed, Indirect, Suspicions, Deaths, Refuted, Pauses, Dropped, Queued int
}

// New returns a view that holds nobody but itself. Joining begins with the first Step.
func New(c Config, now time.Duration) (*Swim, error) {
	if err := c.setDefaults(); err != nil {
		return nil, err
	}
	s := &Swim{cfg: c, rng: rand.New(rand.NewPCG(c.RandomSeed, 0x5317)), now: now, members: map[string]*member{}, links: map[[3]string]*heldLink{}, queuedByMember: map[string]int{}, wakeAt: now}
	s.self = &member{Update: Update{Name: c.Self, Addr: c.Addr, Process: c.Process, Incarnation: 1}, since: now}
	s.members[c.Self] = s.self
	// Coordinators that start together do not probe in step.
	s.probeAt, s.gossipAt, s.syncAt = now+s.randomUpTo(c.Period), now+s.randomUpTo(c.Period), now
	s.broadcast(s.self.Update)
	return s, nil
}

func (s *Swim) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(s.rng.Float64() * float64(d))
}

// Next is when Step must be called again if nothing happens before.
func (s *Swim) Next() time.Duration { return s.wakeAt }

// Counts tells what was done so far.
func (s *Swim) Counts() Counts { return s.counts }

// Self is our own name.
func (s *Swim) Self() string { return s.cfg.Self }

// Incarnation is our own.
func (s *Swim) Incarnation() uint64 { return s.self.Incarnation }

// Health is by how many times own times are widened now, beside 1.
func (s *Swim) Health() int { return s.health }

// Refused tells why we can't be a member, empty where we can.
func (s *Swim) Rejection() string { return s.rejection }

// Step takes in what has happened and returns what is to be done.
func (s *Swim) Step(now time.Duration, events ...Event) []Action {
	s.now, s.actions = max(now, s.now), nil
	s.checkPause()
	for _, e := range events {
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
	s.runProbes()
	s.runSuspicions()
	s.runSync()
	s.updateQuorum()
	s.wakeAt = min(s.probeAt, s.syncAt, s.gossipAt)
	if s.suspicionCheckAt > 0 {
		s.wakeAt = min(s.wakeAt, s.suspicionCheckAt)
	}
	for _, p := range s.probes {
		if p.indirectAt > 0 {
			s.wakeAt = min(s.wakeAt, p.indirectAt)
		}
		s.wakeAt = min(s.wakeAt, p.endAt)
	}
	for _, r := range s.relays {
		if r.nackAt > 0 {
			s.wakeAt = min(s.wakeAt, r.nackAt)
		}
	}
	s.wakeAt = max(s.wakeAt, s.now+time.Millisecond)
	return s.actions
}

// pause notes that this turn comes late: the process stood still, or is starved. Nobody else is to blame for what
// was not heard meanwhile, so no time of that counts against anybody.
func (s *Swim) checkPause() {
	lag := s.now - s.wakeAt
	if lag < s.cfg.Period/2 || s.cfg.MaxHealth < 0 {
		return
	}
	s.counts.Pauses++
	s.degrade(1 + int(min(lag/s.cfg.Period, time.Duration(max(s.cfg.MaxHealth, 1)))))
	s.probes, s.relays = nil, nil
	s.probeAt, s.gossipAt = s.now, s.now
	names := s.names()
	for _, name := range names {
		m := s.members[name]
		if m.heard > 0 {
			m.heard += lag
		}
		m.missed, m.unanswered = 0, 0
		if m.State == Suspect {
			m.deadAt += lag
			m.suspectedAt += lag
		}
	}
	s.suspicionCheckAt = s.now + time.Millisecond // looked for anew
	// Who was away is the first to be suspected: it asks around at once, and hears so with the acks.
	for range s.cfg.Indirect {
		if m := s.pick(func(m *member) bool { return m.State <= Suspect }); m != nil {
			s.ping(m)
		}
	}
}

// worse and better move our own health.
func (s *Swim) degrade(by int) { s.health = min(s.health+by, max(s.cfg.MaxHealth, 0)) }
func (s *Swim) improve()      { s.health = max(s.health-1, 0) }

// wide is a time of ours, widened by our health.
func (s *Swim) scaled(d time.Duration) time.Duration { return d * time.Duration(1+s.health) }

// names are those of all other members, sorted, where the order shows in the result.
func (s *Swim) names() []string {
	list := make([]string, 0, len(s.members))
	for name := range s.members {
		if name != s.cfg.Self {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// pick draws one of the members in the order of probes that fits; nil for none. It looks at 16 at most before it goes
// through all.
func (s *Swim) pick(fits func(*member) bool) *member {
	if len(s.order) == 0 {
		return nil
	}
	for range 16 {
		if m := s.members[s.order[s.rng.IntN(len(s.order))]]; fits(m) {
			return m
		}
	}
	from := s.rng.IntN(len(s.order))
	for i := range s.order {
		if m := s.members[s.order[(from+i)%len(s.order)]]; fits(m) {
			return m
		}
	}
	return nil
}

// size counts the members that have not left, ourselves included.
func (s *Swim) size() int { return len(s.order) + 1 }

// logN is the logarithm that times and repeats grow by.
func (s *Swim) logN() float64 { return math.Max(1, math.Log10(float64(s.size()))) }

func (s *Swim) send(to string, m Message) {
	m.From = s.self.Update
	s.actions = append(s.actions, Action{To: to, Packet: &m})
}

func (s *Swim) emitChange(c Change) { s.actions = append(s.actions, Action{Change: &c}) }

// leave says goodbye to some, who pass it on.
func (s *Swim) leave() {
	s.leaving = true
	s.self.State = Left
	for range 2 * s.cfg.Indirect {
		if m := s.pick(func(m *member) bool { return m.State <= Suspect }); m != nil {
			s.ping(m)
		}
	}
}

// forget takes an operator's word that a member is gone for good.
func (s *Swim) markGone(name string) {
	if m := s.members[name]; m != nil && m != s.self && m.State == Dead {
		u := m.Update
		u.State, u.By = Left, s.cfg.Self
		s.apply(u, false, "an operator says that it is gone for good")
	}
}
