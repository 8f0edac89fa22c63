// Package observations merges what coordinators observe of data nodes: failures and answers, latency, the utilization that a data node
// reports, and since when it warms up. It does no I/O and reads no clock.
//
// A Table is one coordinator's replica of a map of last-writer-wins registers, one for each data node and field. Replicas send each
// other their registers as facts. Merging is commutative, associative and idempotent, so replicas that have received the same facts
// hold the same writes, whatever the order, until these expire (a state-based CRDT, Shapiro et al. 2011). Writes are ordered by hybrid
// logical clocks (Kulkarni et al. 2014): a stamp follows the coordinator's wall clock, never goes back, and is later than every stamp
// received before, so a write made in the knowledge of another is later than it.
//
// Besides its stamp a fact has an age: the time since the observation. Each holder measures it with its own monotonic clock and sends
// it with the fact, so no two clocks are compared to decide whether a fact is fresh. The time in transit is not counted: ages are too
// low by that much, and of two starts that close to each other replicas may hold different ones.
//
// Where two writes differ, the rule of each field is:
//
//	failed, answered   the later stamp
//	latency            the later stamp
//	busy               the later stamp; it is the field Utilization
//	started            the lower age, which is the more cautious, as it makes the warm-up last longer; of equal ages the later stamp
//
// A data node is suspect if its last failure is younger than SuspectFor and no answer clears it. An answer clears a failure of the
// same coordinator if its stamp is later, and a failure of another coordinator if its stamp is later by more than MaxSkew. So where
// coordinators observe different things at the same time, the failure counts. Facts older than MaxAge are removed.
//
// Cost: merging a fact takes one map lookup; Facts and Expire visit all data nodes. Memory: at most MaxNodes data nodes with five
// registers each; beyond that the least recently updated one is dropped.
package observations

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"time"
)

// Field is the kind of observation that a fact holds. Its numbers are part of the wire format.
type Field uint8

// The fields.
const (
	Failed      Field = iota // a refused or reset connection, or no answer
	Answered                 // any answer of the data node
	Latency                  // time that a part takes, in seconds
	Utilization              // share of its cores in use, as it reports
	Started                  // it started or came back, and has been warming up since
	fieldCount
)

var fieldNames = [fieldCount]string{"failed", "answered", "latency", "busy", "started"}

func (f Field) String() string {
	if f >= fieldCount {
		return fmt.Sprintf("field %d", uint8(f))
	}
	return fieldNames[f]
}

// opposite returns the field whose facts contradict those of f, if there is one.
func (f Field) opposite() (Field, bool) {
	switch f {
	case Failed:
		return Answered, true
	case Answered:
		return Failed, true
	}
	return f, false
}

// Fact is one observation of a data node.
type Fact struct {
	Node  string
	Field Field
	Stamp Stamp
	Age   time.Duration // time since the observation, when the fact was sent
	Value float64       // Latency in seconds, or Utilization from 0 to 1; unused by other fields
}

const maxNameBytes = 255 // of a data node or coordinator

func (f *Fact) valid() bool {
	return validName(f.Node) && validName(f.Stamp.Coordinator) && f.Field < fieldCount && f.Age >= 0 &&
		f.Value >= 0 && !math.IsInf(f.Value, 0)
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// Reasons for not merging a fact.
var (
	ErrMalformed = errors.New("malformed fact: node, field, age, value or coordinator out of range")
	ErrAhead     = errors.New("stamp of the fact is ahead of the local clock by more than MaxAhead")
	ErrOld       = errors.New("fact has reached MaxAge")
	ErrKnown     = errors.New("fact is known or superseded")
)

// Config configures a Table. The zero value of a field other than Self stands for its default, given in its comment.
type Config struct {
	Self        string        // name of this coordinator
	MaxSkew     time.Duration // maximum difference between the coordinators' wall clocks; 500 ms
	MaxAhead    time.Duration // a stamp further ahead of the local clock is rejected, as its coordinator's clock has jumped; 1 min
	SuspectFor  time.Duration // how long a failure makes a data node suspect; 5 s
	MaxAge      time.Duration // how long a fact counts; 1 min
	WarmupTime  time.Duration // how long a data node warms up after its start; 10 s
	MinInterval time.Duration // minimum time between two facts of this coordinator on one field of a data node; 500 ms
	MaxNodes    int           // data nodes that a Table holds; 10,000
}

func (c Config) withDefaults() Config {
	c.MaxSkew = cmp.Or(c.MaxSkew, 500*time.Millisecond)
	c.MaxAhead = cmp.Or(c.MaxAhead, time.Minute)
	c.SuspectFor = cmp.Or(c.SuspectFor, 5*time.Second)
	c.MaxAge = cmp.Or(c.MaxAge, time.Minute)
	c.WarmupTime = cmp.Or(c.WarmupTime, 10*time.Second)
	c.MinInterval = cmp.Or(c.MinInterval, 500*time.Millisecond)
	c.MaxNodes = cmp.Or(c.MaxNodes, 10_000)
	return c
}

// Check returns an error if a field is out of range once defaults are applied.
func (c Config) Check() error {
	c = c.withDefaults()
	clocksValid := c.MaxSkew >= 0 && c.MaxAhead > c.MaxSkew
	agesValid := c.SuspectFor > 0 && c.MaxAge >= c.SuspectFor && c.MaxAge >= c.WarmupTime
	if c.Self == "" || !clocksValid || !agesValid || c.MaxNodes < 1 {
		return fmt.Errorf("observations: invalid configuration %+v: Self must be set, MaxAhead must exceed MaxSkew, "+
			"MaxAge must be at least SuspectFor and WarmupTime, and MaxNodes at least 1", c)
	}
	return nil
}
