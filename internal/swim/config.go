package swim

import (
	"cmp"
	"fmt"
	"time"
)

// Config holds the identity of this member, and the times and thresholds. A zero field other than Self and Addr takes its
// default.
type Config struct {
	Self       string // this member's name
	Addr       string // address at which it receives packets
	Process    uint64 // distinguishes this process from earlier ones under the name
	RandomSeed uint64
	Seeds      []string // addresses of the members to join through

	// Period is the time between probes, 1 s by default. Timeout is how long a direct ack may take before Indirect other
	// members are asked to probe: a quarter of Period by default, half of it at most. Indirect is 3 by default.
	Period   time.Duration
	Timeout  time.Duration
	Indirect int

	// MaxPause is the longest pause after which a member must not be declared dead; 3 s by default. If it is too short, a
	// member that collects garbage or gets no CPU is declared dead and comes back.
	MaxPause time.Duration

	Suspicion SuspicionConfig

	// RetransmitMult times log10 of the number of members is how often an update is sent; 4 by default.
	RetransmitMult int
	// MaxUpdateBytes bounds the updates and link reports of one packet; 1,100 by default.
	MaxUpdateBytes int
	// MaxHealth bounds the local health multiplier of Lifeguard, minus 1; 4 by default, negative turns it off.
	MaxHealth int

	SyncInterval time.Duration // between exchanges of the full state; 15 periods by default
	ForgetAfter  time.Duration // how long a record of a member that has left is kept; 10 min by default
	CutAfter     int           // consecutive missed direct acks after which a link is reported as cut; 4 by default
}

// SuspicionConfig holds what makes a member suspect and how long a suspicion lasts.
type SuspicionConfig struct {
	// MinMult is the shortest suspicion, in periods times log10 of the number of members; 4 by default.
	MinMult float64
	// MaxMult is the duration of a suspicion without confirmations, as a multiple of the shortest; 4 by default, at least 1.
	MaxMult float64
	// MinPhi is the suspicion level (Member.Phi) below which a member is suspected only after a second missed probe; 1 by
	// default, negative turns it off.
	MinPhi float64
}

const (
	maxMembers         = 10_000
	maxLinks           = 8192
	maxIncarnationJump = 1 << 16 // most by which an update may raise an incarnation: a false update must not exhaust the numbers
	maxQueuedRechecks  = 64      // queued members to be probed again out of turn
	maxRelays          = 1024    // open indirect probes for other members
	maxFormerProcesses = 8       // earlier processes remembered per name
	maxRandomTries     = 16      // random members tried before all are searched
)

// setDefaults replaces zero fields by their defaults and returns an error if a time or threshold is out of range.
func (c *Config) setDefaults() error {
	if c.Self == "" || c.Addr == "" {
		return fmt.Errorf("swim: Self and Addr must both be set")
	}
	c.Period = cmp.Or(c.Period, time.Second)
	c.Timeout = cmp.Or(c.Timeout, c.Period/4)
	c.MaxPause = cmp.Or(c.MaxPause, 3*time.Second)
	c.SyncInterval = cmp.Or(c.SyncInterval, 15*c.Period)
	c.ForgetAfter = cmp.Or(c.ForgetAfter, 10*time.Minute)
	c.Indirect = cmp.Or(c.Indirect, 3)
	c.RetransmitMult = cmp.Or(c.RetransmitMult, 4)
	c.MaxHealth = cmp.Or(c.MaxHealth, 4)
	c.MaxUpdateBytes = cmp.Or(c.MaxUpdateBytes, 1100)
	c.CutAfter = cmp.Or(c.CutAfter, 4)
	c.Suspicion.MinMult = cmp.Or(c.Suspicion.MinMult, 4)
	c.Suspicion.MaxMult = cmp.Or(c.Suspicion.MaxMult, 4)
	c.Suspicion.MinPhi = cmp.Or(c.Suspicion.MinPhi, 1)
	s := c.Suspicion
	if c.Period <= 0 || c.Timeout <= 0 || c.Timeout > c.Period/2 || c.MaxPause < 0 || s.MaxMult < 1 || s.MinMult < 0 {
		return fmt.Errorf("swim: Period %v, Timeout %v, MaxPause %v, MinMult %v, MaxMult %v: "+
			"Timeout must be above 0 and at most half of Period, MaxMult at least 1, none negative",
			c.Period, c.Timeout, c.MaxPause, s.MinMult, s.MaxMult)
	}
	return nil
}
