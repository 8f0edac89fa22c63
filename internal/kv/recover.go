package kv

// This file owns what recovery decides: from the bytes of the segments alone, which batches are committed, where a torn
// tail is to be cut off, and what is damage. It does no I/O. It must never pass over a record that may have been
// acknowledged without calling that damage, nor return a batch that is not whole.
//
//	what is found at an offset              in the last segment                   in an earlier one
//	a whole record of the next number       committed                             committed
//	no whole record, none of a later number
//	anywhere behind it                      torn: cut off there                   damage
//	no whole record, but a later one behind damage                                damage
//	a whole record of another number        damage                                damage
//	a head that is cut off or is none       torn, if nothing whole is behind it:  damage
//	                                        the segment had not begun
//	a head of another version               refused, and nothing is changed       the same
//
// All that is written between two syncs is one record, so a torn write has no whole record behind its start. A segment
// is begun only once the one before it was synced to its end. That is why only the last may be torn.

import (
	"errors"
	"fmt"
)

// Segment is one file of the log, as it was read.
type Segment struct {
	Name  string
	Bytes []byte
}

// Damage is what can't have come from a cut: the file and the offset at which it begins.
type CorruptionError struct {
	File   string
	Offset int64
	Cause  string
}

func (d *CorruptionError) Error() string {
	return fmt.Sprintf("%s: damage at offset %d: %s; `gullfall store repair` saves what is whole", d.File, d.Offset, d.Cause)
}

// Cut is a torn tail: what is to be cut off from an offset on. Whole tells that the file had not begun and goes.
type Cut struct {
	File     string
	Offset   int64
	Bytes    int64
	Complete bool
}

// Entry is a committed batch.
type Entry struct {
	Seq   uint64
	Batch Batch
}

// Plan is what recovery comes to.
type RecoveryPlan struct {
	Entries     []Entry
	Cut         *Cut   // nil where nothing is torn
	Next        uint64 // the sequence number that comes next
	TailSegment string // the segment to write on; empty where a new one is needed
	TailSize    int64  // its length once Cut was carried out
}

// Recover reads the segments of a log, in order. A *Damage is returned with the plan of what is whole before it.
func Recover(segments []Segment) (p RecoveryPlan, err error) {
	p.Next = 1
	for i, s := range segments {
		last := i == len(segments)-1
		first, err := decodeSegmentHeader(s.Bytes)
		switch {
		case errors.Is(err, errHeaderVersion):
			return p, fmt.Errorf("%s: %w", s.Name, err)
		case err != nil && last && !containsLaterRecord(s.Bytes, p.Next):
			p.Cut = &Cut{File: s.Name, Bytes: int64(len(s.Bytes)), Complete: true}
			return p, nil
		case err != nil:
			return p, &CorruptionError{s.Name, 0, err.Error()}
		case i == 0:
			p.Next = first // what came before was compacted away
		case first != p.Next:
			return p, &CorruptionError{s.Name, 8, fmt.Sprintf("begins with number %d where %d comes next: a segment is missing", first, p.Next)}
		}
		if err := p.readSegment(s, last); err != nil {
			return p, err
		}
	}
	return p, nil
}

// segment reads the records of one segment.
func (p *RecoveryPlan) readSegment(s Segment, last bool) error {
	at := segmentHeaderSize
	for at < len(s.Bytes) {
		r, size, ok := decodeRecord(s.Bytes[at:])
		if !ok {
			if last && !containsLaterRecord(s.Bytes[at:], p.Next) {
				p.Cut = &Cut{File: s.Name, Offset: int64(at), Bytes: int64(len(s.Bytes) - at)}
				break
			}
			return &CorruptionError{s.Name, int64(at), fmt.Sprintf("no whole record, number %d was to come", p.Next)}
		}
		if r.seq != p.Next || r.kind != kindGroup {
			return &CorruptionError{s.Name, int64(at), fmt.Sprintf("record of kind %d and number %d where number %d was to come", r.kind, r.seq, p.Next)}
		}
		group, err := decodeGroup(r.payload)
		if err != nil {
			return &CorruptionError{s.Name, int64(at), err.Error()}
		}
		for _, b := range group {
			p.Entries = append(p.Entries, Entry{p.Next, b})
			p.Next++
		}
		at += size
	}
	p.TailSegment, p.TailSize = s.Name, int64(at)
	return nil
}

// later tells whether bytes hold, at any offset, a whole record whose number is at least next and not far beyond it: one
// that was written after a place where no record can be read.
func containsLaterRecord(raw []byte, next uint64) bool {
	for at := 0; at+recordHeaderSize <= len(raw); at++ {
		if raw[at+8] != kindGroup {
			continue
		}
		if r, _, ok := decodeRecord(raw[at:]); ok && r.seq >= next && r.seq-next < 1<<32 && len(r.payload) > 0 {
			return true
		}
	}
	return false
}
