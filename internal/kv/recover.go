package kv

// Recovery decides, from the bytes of the segments alone, which batches are committed, where a torn tail is cut off, and what is
// corrupt. A record that may have been acknowledged is never dropped silently: it is committed, or its loss is a CorruptionError.
//
//	found at an offset                      in the last segment                   in an earlier one
//	complete record of the next number      committed                             committed
//	no complete record, and none of a later
//	number anywhere behind it               torn: cut off there                   corrupt
//	no complete record, but a later one
//	behind it                               corrupt                               corrupt
//	complete record of another number       corrupt                               corrupt
//	header truncated or without checksum    torn, if no record is behind it: the  corrupt
//	                                        segment was just being created
//	header of another version               rejected, nothing is changed          the same
//
// All that is written between two syncs is one record, so no complete record follows the start of a torn write. A segment is
// started only after the previous one was synced to its end, so only the last may be torn.

import (
	"errors"
	"fmt"
)

// Segment is the name and content of one file of the log.
type Segment struct {
	Name  string
	Bytes []byte
}

// CorruptionError reports corruption of a file that an interrupted write cannot explain, and the offset at which it begins.
type CorruptionError struct {
	File   string
	Offset int64
	Cause  string
}

func (d *CorruptionError) Error() string {
	return fmt.Sprintf("%s: corrupt at offset %d: %s; `gullfall store repair` saves the complete batches", d.File, d.Offset, d.Cause)
}

// TornTail is the remains of an interrupted write at the end of the log: the file is truncated at an offset or, if Headerless is set,
// removed because not even its header is complete.
type TornTail struct {
	File       string
	Offset     int64
	Bytes      int64
	Headerless bool
}

// Entry is a committed batch.
type Entry struct {
	Seq   uint64
	Batch Batch
}

// RecoveryPlan is the outcome of recovery: the committed batches, and how to prepare the log for appending.
type RecoveryPlan struct {
	Entries     []Entry
	TornTail    *TornTail // what has to be cut off; nil for nothing
	Next        uint64    // the next sequence number
	TailSegment string    // the segment to append to; empty if a new one is needed
	TailSize    int64     // its length in bytes after the cut
}

// Recover plans the recovery of a log from its segments, in order. With a *CorruptionError it returns the plan up to the corruption.
func Recover(segments []Segment) (p RecoveryPlan, err error) {
	p.Next = 1
	for i, s := range segments {
		last := i == len(segments)-1
		first, err := decodeSegmentHeader(s.Bytes)
		switch {
		case errors.Is(err, errHeaderVersion):
			return p, fmt.Errorf("%s: %w", s.Name, err)
		case err != nil && last && !containsLaterRecord(s.Bytes, p.Next):
			p.TornTail = &TornTail{File: s.Name, Bytes: int64(len(s.Bytes)), Headerless: true}
			return p, nil
		case err != nil:
			return p, &CorruptionError{s.Name, 0, err.Error()}
		case i == 0:
			p.Next = first // earlier segments were trimmed
		case first != p.Next:
			return p, &CorruptionError{s.Name, 8, fmt.Sprintf("begins with number %d, expected %d: a segment is missing", first, p.Next)}
		}
		end, err := p.readSegment(s)
		if errors.Is(err, errNoRecord) {
			if !last || containsLaterRecord(s.Bytes[end:], p.Next) {
				return p, &CorruptionError{s.Name, int64(end), fmt.Sprintf("no complete record, expected number %d", p.Next)}
			}
			p.TornTail = &TornTail{File: s.Name, Offset: int64(end), Bytes: int64(len(s.Bytes) - end)}
		} else if err != nil {
			return p, err
		}
		p.TailSegment, p.TailSize = s.Name, int64(end)
	}
	return p, nil
}

// errNoRecord means that a segment has no complete record at an offset.
var errNoRecord = errors.New("no complete record")

// readSegment adds the batches of a segment to the plan. It returns the offset behind the last complete record, with errNoRecord if
// other bytes follow.
func (p *RecoveryPlan) readSegment(s Segment) (offset int, err error) {
	offset = segmentHeaderSize
	for offset < len(s.Bytes) {
		r, size, ok := decodeRecord(s.Bytes[offset:])
		if !ok {
			return offset, errNoRecord
		}
		if r.seq != p.Next || r.kind != kindGroup {
			return offset, &CorruptionError{s.Name, int64(offset), fmt.Sprintf("record of kind %d and number %d, expected number %d", r.kind, r.seq, p.Next)}
		}
		group, err := decodeGroup(r.payload)
		if err != nil {
			return offset, &CorruptionError{s.Name, int64(offset), err.Error()}
		}
		for _, b := range group {
			p.Entries = append(p.Entries, Entry{p.Next, b})
			p.Next++
		}
		offset += size
	}
	return offset, nil
}

// containsLaterRecord reports whether the bytes hold, at any offset, a complete record whose number is at least next and less than
// 2^32 above it: one that was written after a place where no record can be read.
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
