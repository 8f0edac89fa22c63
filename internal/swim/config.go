package swim

import (
	"cmp"
	"fmt"
	"time"
)

// Config holds who this member is, and the times and thresholds. The zero value of each field but Self and Addr stands for
// its default.
type Config struct {
	Self       string // name
	Addr       string // where it takes packets
	Process    uint64 // tells this process from earlier ones under the name
	RandomSeed uint64
	Seeds      []string // addresses to join by

	// Period is the time between probes, 1 s by default. Timeout is how long a direct ack may take before Indirect others
	// are asked to probe, a quarter of Period and 3 by default; Timeout is half of Period at most.
	Period   time.Duration
	Timeout  time.Duration
	Indirect int

	// MaxPause is the longest pause of a member that must not make it dead; 3 s by default. Where it is too short, a member
	// that collects garbage or is starved is declared dead and comes back.
	MaxPause time.Duration

	Suspicion SuspicionConfig

	// RetransmitMult is how often an update is passed on, times log10 of the members; 4 by default.
	RetransmitMult int
	// MaxUpdateBytes bounds the updates of one packet; 1,100 by default.
	MaxUpdateBytes int
	// MaxHealth bounds the local health multiplier of Lifeguard, beside 1; 4 by default, below 0 it is off.
	MaxHealth int

	SyncInterval time.Duration // between exchanges of the full state; 15 periods by default
	ForgetAfter  time.Duration // how long a member that has left is remembered; 10 min by default
	CutAfter     int           // direct acks missed in a row after which a link is reported as cut; 4 by default
}

// SuspicionConfig holds how a member comes under suspicion and how long that lasts.
type SuspicionConfig struct {
	// MinMult is the least time of a suspicion, in periods times log10 of the members; 4 by default.
	MinMult float64
	// MaxMult is how many times the least a suspicion lasts without confirmations; 4 by default, 1 at least.
	MaxMult float64
	// MinPhi is the phi of a silence below which suspicion needs a second missed probe; 1 by default, below 0 it is off.
	MinPhi float64
}

const (
	maxMembers         = 10_000
	maxLinks           = 8192
	maxIncarnationJump = 1 << 16 // the most that an update may raise an incarnation: a false one can't use the numbers up
	maxRecheck         = 64      // members that wait to be probed again out of turn
	maxRelays          = 1024    // indirect probes for others
	maxFormer          = 8       // processes remembered that had a name before
	pickTries          = 16      // random members looked at before all are
)

// setDefaults fills in what is zero and returns an error where a time or threshold is out of range.
func (c *Config) setDefaults() error {
	if c.Self == "" || c.Addr == "" {
		return fmt.Errorf("swim: Self, Addr: both must be given")
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
			"Timeout is above 0 and at most half of Period, MaxMult 1 at least, none below 0",
			c.Period, c.Timeout, c.MaxPause, s.MinMult, s.MaxMult)
	}
	return nil
}
