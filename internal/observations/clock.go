package observations

import (
	"cmp"
	"time"
)

// Stamp is a timestamp of a hybrid logical clock. It orders the writes of all coordinators.
type Stamp struct {
	Physical    int64  // milliseconds, of the wall clock or of a stamp that was received and is beyond it
	Logical     uint32 // counts stamps of equal Physical
	Coordinator string // breaks ties; empty in the zero value, which no write has
}

// Compare orders stamps.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Physical, o.Physical), cmp.Compare(s.Logical, o.Logical), cmp.Compare(s.Coordinator, o.Coordinator))
}

// clock is the hybrid logical clock of this coordinator.
type clock struct {
	self string
	last Stamp
}

// next is the stamp of a write at a time of the wall clock: beyond all that were made or received.
func (c *clock) next(wall time.Time) Stamp {
	s := Stamp{wall.UnixMilli(), 0, c.self}
	if s.Physical <= c.last.Physical {
		s.Physical, s.Logical = c.last.Physical, c.last.Logical+1
	}
	c.last = s
	return s
}

// receive takes the clock beyond a stamp of another coordinator.
func (c *clock) receive(s Stamp) {
	if s.Physical > c.last.Physical || s.Physical == c.last.Physical && s.Logical > c.last.Logical {
		c.last = Stamp{s.Physical, s.Logical, c.self}
	}
}
