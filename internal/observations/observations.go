// Package observations merges what coordinators observe of data nodes: who failed and who answered, how long answers take, how
// busy a data node says that it is, and since when it warms up. It does no I/O and reads no clock.
//
// A Table is one coordinator's replica of a map of last-writer-wins registers, one for each data node and field; a replica
// sends its registers to others as facts. Merging is commutative, associative and idempotent, so replicas that have received
// the same facts hold the same writes, whatever the order, until these expire (a state-based CRDT, Shapiro and others 2011).
// Writes are ordered by hybrid logical clocks (Kulkarni and others 2014): a stamp follows the coordinator's wall clock,
// never goes back, and is beyond every stamp that was received, so that a write made in the knowledge of another is later
// than it.
//
// A fact has an age beside its stamp: how long ago something was observed. It is counted by each holder's own monotonic
// clock, and goes with the fact, so that no two clocks are compared to tell whether something is fresh. The time on the way
// is not counted: an age is too low by that, and of two starts that close to each other replicas may hold different ones.
//
// The rule of each field, where two writes differ:
//
//	failed, answered   the later stamp
//	latency, busy      the later stamp
//	started            the lower age, which is the more cautious: it warms up for longer; of equal ages the later stamp
//
// A data node is suspect where its last failure is younger than SuspectFor and no answer clears it: one that the same
// coordinator got later, or one whose stamp is later by more than MaxSkew. So of two coordinators that see different things
// at one time the more cautious counts. What is older than MaxAge is forgotten.
//
// Work: merging a fact costs the lookup of its data node; Facts and Step look over all. Memory: MaxNodes data nodes with five
// registers each; beyond them the one updated longest ago is dropped.
package observations

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"time"
)

// Field is what a fact is about. The numbers are on the wire.
type Field uint8

// The fields.
const (
	Failed      Field = iota // a refused or reset connection, a silence
	Answered                 // any answer
	Latency                  // seconds that a part takes
	Utilization              // share of its cores, by its own report
	Started                  // it started, or came back, and warms up since
	fieldCount
)

var fieldNames = [fieldCount]string{"failed", "answered", "latency", "busy", "started"}

func (f Field) String() string {
	if f >= fieldCount {
		return fmt.Sprintf("field %d", uint8(f))
	}
	return fieldNames[f]
}

// opposite is the field whose fact contradicts one of this field.
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
	Age   time.Duration // when it was sent
	Value float64       // of Latency, in seconds, and Utilization, from 0 to 1
}

const maxNameBytes = 255 // of data nodes and coordinators

func (f *Fact) valid() bool {
	return validName(f.Node) && validName(f.Stamp.Coordinator) && f.Field < fieldCount && f.Age >= 0 &&
		f.Value >= 0 && !math.IsInf(f.Value, 0)
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// Why a fact was not taken.
var (
	ErrMalformed = errors.New("not a fact: its node, field, age, value or coordinator is out of range")
	ErrAhead     = errors.New("its stamp is ahead of this clock by more than clocks may differ")
	ErrOld       = errors.New("too old to count")
	ErrKnown     = errors.New("known, or a later one is")
)

// Config holds the bounds. The zero value of each field but Self stands for its default.
type Config struct {
	Self        string        // this coordinator
	MaxSkew     time.Duration // by which the coordinators' clocks differ at most; 500 ms
	MaxAhead    time.Duration // a stamp further ahead of this clock is of one that has jumped, and rejected; 1 min
	SuspectFor  time.Duration // for which a failure makes suspect; 5 s
	MaxAge      time.Duration // for which a fact counts; 1 min
	WarmupTime  time.Duration // of a data node; 10 s
	MinInterval time.Duration // between two facts that this coordinator makes of one field; 500 ms
	MaxNodes    int           // 10,000
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

// Check returns an error where a bound is out of range, after defaults.
func (c Config) Check() error {
	c = c.withDefaults()
	clocks := c.MaxSkew >= 0 && c.MaxAhead > c.MaxSkew
	ages := c.SuspectFor > 0 && c.MaxAge >= c.SuspectFor && c.MaxAge >= c.WarmupTime
	if c.Self == "" || !clocks || !ages || c.MaxNodes < 1 {
		return fmt.Errorf("observations: %+v: Self is named, MaxAhead is above MaxSkew, "+
			"MaxAge is not under SuspectFor and WarmupTime, MaxNodes is 1 at least", c)
	}
	return nil
}
