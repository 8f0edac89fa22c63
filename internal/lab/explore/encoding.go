package explore

import (
	"bytes"
	"encoding/binary"
)

// canonical returns the representative of a state and its mirror image, in which the two coordinators are exchanged.
func canonical(s state) state {
	a, b := s.coordinators[0].encode(), s.coordinators[1].encode()
	if order := bytes.Compare(a[:], b[:]); order < 0 || order == 0 && s.leader == 0 {
		return s
	}
	return swapped(s)
}

// swapped returns a state with its two coordinators exchanged.
func swapped(s state) state {
	s.coordinators[0], s.coordinators[1] = s.coordinators[1], s.coordinators[0]
	s.leader = 1 - s.leader
	for _, w := range []*write{&s.coordinators[0].moves, &s.coordinators[1].moves, &s.order} {
		w.expired = w.expired>>1 | w.expired&1<<1
	}
	return s
}

// encode encodes a coordinator for ordering and hashing. It omits the set of coordinators whose presence must have expired for a write to
// be accepted. Two coordinators that differ only in that compare equal, so that a state and its mirror image may both be stored.
func (c *coordinator) encode() (b [16]byte) {
	b[0], b[1], b[2], b[3], b[4] = byte(c.flags), c.inFlight, byte(c.plan), byte(c.plan>>8), c.stored.seen
	copy(b[5:], c.stored.clear[:])
	b[8] = c.pending.seen
	copy(b[9:], c.pending.clear[:])
	b[12], b[13], b[14] = byte(c.moves.kind), byte(c.moves.plan), byte(c.moves.plan>>8)
	if c.moves.stale {
		b[15] |= 1
	}
	if c.moves.fenced {
		b[15] |= 2
	}
	return b
}

// shardOf returns the index of the table shard that holds a state.
func shardOf(s *state) int {
	b := make([]byte, 0, 64)
	b = binary.LittleEndian.AppendUint16(b, uint16(s.plan))
	b = append(b, s.leader, s.faults, s.orders, s.sends, s.handedOver, s.warming, s.unhealthy, byte(s.order.kind))
	b = append(b, s.started[:]...)
	for i := range s.coordinators {
		c := s.coordinators[i].encode()
		b = append(b, c[:]...)
	}
	h := uint64(14695981039346656037) // FNV-1a
	for _, x := range b {
		h = (h ^ uint64(x)) * 1099511628211
	}
	return int(h>>32) % shardCount
}
