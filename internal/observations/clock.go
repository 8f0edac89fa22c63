package observations

import (
	"cmp"
	"time"
)

// Stamp is a timestamp of a hybrid logical clock, which orders the writes of all coordinators.
type Stamp struct {
	Physical    int64  // milliseconds of the wall clock, or of a received stamp that is ahead of it
	Logical     uint32 // orders stamps of equal Physical
	Coordinator string // breaks ties; empty only in the zero value, which marks an unwritten register
}

// Compare returns -1, 0 or 1 if s is before, equal to or after o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Physical, o.Physical), cmp.Compare(s.Logical, o.Logical), cmp.Compare(s.Coordinator, o.Coordinator))
}

// clock is this coordinator's hybrid logical clock.
type clock struct {
	self string
	last Stamp
}

// next returns the stamp of a write at a time of the wall clock. It is later than every stamp that was issued or received before.
func (c *clock) next(wall time.Time) Stamp {
	s := Stamp{wall.UnixMilli(), 0, c.self}
	if s.Physical <= c.last.Physical {
		s.Physical, s.Logical = c.last.Physical, c.last.Logical+1
	}
	c.last = s
	return s
}

// receive advances the clock past the stamp of another coordinator.
func (c *clock) receive(s Stamp) {
	if s.Physical > c.last.Physical || s.Physical == c.last.Physical && s.Logical > c.last.Logical {
		c.last = Stamp{s.Physical, s.Logical, c.self}
	}
}
