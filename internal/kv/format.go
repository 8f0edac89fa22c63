// Package kv is an embedded store that survives any cut: a log of records under
// checksums with group commit, a memory table, sorted tables that are merged as they age. format.go, recover.go and merge.go
// decide without I/O what bytes mean and what is to be done about them; fs.go and log.go do it.
//
// docs/formats/kv.md describes every byte.
package kv

// This file owns the bytes of segments, records and batches. It must never read past what it is given, nor take for
// whole what its checksum does not cover.

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// Bounds of what is kept.
const (
	MaxKey   = 1 << 10
	MaxValue = 1 << 20
	MaxBatch = 4 << 20 // bytes of one batch

	maxGroup = 2*MaxBatch + MaxBatch + 64 // bytes of the batches that share a sync
)

const (
	segmentMagic   = "GFKL"
	formatVersion  = 1
	segmentHead    = 20 // magic 4, version 2, zero 2, first sequence number 8, checksum 4
	recordHead     = 17 // checksum 4, length 4, kind 1, sequence number 8
	kindGroup      = 1
	opPut          = 1
	opDelete       = 2
	opDeleteRange  = 3
	segmentPattern = "%016x.log"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Op is one change of a batch.
type Op struct {
	Kind  OpKind
	Key   []byte // DeleteRange: the first that goes
	Value []byte // Put; DeleteRange: the first that stays
}

// OpKind is what an Op does.
type OpKind uint8

// The kinds of changes.
const (
	Put         OpKind = opPut
	Delete      OpKind = opDelete
	DeleteRange OpKind = opDeleteRange
)

// Batch is a list of changes that are all there or not at all.
type Batch []Op

// The errors of batches.
var (
	ErrKey   = errors.New("key is empty or over 1 KiB")
	ErrValue = errors.New("value is over 1 MiB")
	ErrBatch = errors.New("batch is empty or over 4 MiB")
)

// encode turns a batch into a record's payload: each change is its kind, its key and its value, with their lengths.
func (b Batch) encode() ([]byte, error) {
	var out []byte
	for i, op := range b {
		switch {
		case op.Kind < Put || op.Kind > DeleteRange:
			return nil, fmt.Errorf("change %d: kind %d is none", i, op.Kind)
		case len(op.Key) == 0 || len(op.Key) > MaxKey:
			return nil, fmt.Errorf("change %d: %w", i, ErrKey)
		case len(op.Value) > MaxValue || op.Kind == DeleteRange && len(op.Value) > MaxKey:
			return nil, fmt.Errorf("change %d: %w", i, ErrValue)
		}
		out = append(out, byte(op.Kind))
		out = binary.AppendUvarint(out, uint64(len(op.Key)))
		out = append(out, op.Key...)
		if op.Kind != Delete {
			out = binary.AppendUvarint(out, uint64(len(op.Value)))
			out = append(out, op.Value...)
		}
		if len(out) > MaxBatch {
			return nil, ErrBatch
		}
	}
	if len(out) == 0 {
		return nil, ErrBatch
	}
	return out, nil
}

// decodeBatch reads a payload; its keys and values lie in it.
func decodeBatch(raw []byte) (Batch, error) {
	var b Batch
	field := func(most int) ([]byte, bool) {
		n, used := binary.Uvarint(raw)
		if used <= 0 || n > uint64(most) || n > uint64(len(raw)-used) {
			return nil, false
		}
		f := raw[used : used+int(n) : used+int(n)]
		raw = raw[used+int(n):]
		return f, true
	}
	for len(raw) > 0 {
		op := Op{Kind: OpKind(raw[0])}
		raw = raw[1:]
		ok := op.Kind >= Put && op.Kind <= DeleteRange
		if ok {
			op.Key, ok = field(MaxKey)
		}
		if ok && op.Kind != Delete {
			op.Value, ok = field(MaxValue)
		}
		if !ok || len(op.Key) == 0 {
			return nil, fmt.Errorf("change %d of a batch is not understood", len(b))
		}
		b = append(b, op)
	}
	if len(b) == 0 {
		return nil, ErrBatch
	}
	return b, nil
}

// appendToGroup adds a batch's payload to a record's. All that is written between two syncs is one record: pages may come
// to the disk in any order, so of two records one could be found without the one before it.
func appendToGroup(out, payload []byte) []byte {
	return append(binary.AppendUvarint(out, uint64(len(payload))), payload...)
}

// decodeGroup reads the batches of a record.
func decodeGroup(raw []byte) (list []Batch, err error) {
	for len(raw) > 0 {
		n, used := binary.Uvarint(raw)
		if used <= 0 || n > uint64(len(raw)-used) {
			return nil, fmt.Errorf("batch %d of a record is cut", len(list))
		}
		b, err := decodeBatch(raw[used : used+int(n)])
		if err != nil {
			return nil, err
		}
		list, raw = append(list, b), raw[used+int(n):]
	}
	if len(list) == 0 {
		return nil, ErrBatch
	}
	return list, nil
}

// appendSegmentHead begins a segment.
func appendSegmentHead(out []byte, first uint64) []byte {
	from := len(out)
	out = append(out, segmentMagic...)
	out = binary.LittleEndian.AppendUint16(out, formatVersion)
	out = binary.LittleEndian.AppendUint16(out, 0)
	out = binary.LittleEndian.AppendUint64(out, first)
	return binary.LittleEndian.AppendUint32(out, crc32.Checksum(out[from:], castagnoli))
}

// The errors of a segment's head.
var (
	errHeadTorn    = errors.New("head is cut off")
	errHeadBad     = errors.New("head does not match its checksum")
	errHeadVersion = errors.New("format is of another version")
)

// readSegmentHead reads a segment's first sequence number.
func readSegmentHead(raw []byte) (first uint64, err error) {
	switch {
	case len(raw) < segmentHead:
		return 0, errHeadTorn
	case string(raw[:4]) != segmentMagic || crc32.Checksum(raw[:16], castagnoli) != binary.LittleEndian.Uint32(raw[16:]):
		return 0, errHeadBad
	case binary.LittleEndian.Uint16(raw[4:]) != formatVersion:
		return 0, fmt.Errorf("%w: %d", errHeadVersion, binary.LittleEndian.Uint16(raw[4:]))
	}
	return binary.LittleEndian.Uint64(raw[8:]), nil
}

// appendRecord appends a record. Its checksum is over all that follows it.
func appendRecord(out []byte, kind byte, seq uint64, payload []byte) []byte {
	from := len(out)
	out = append(out, 0, 0, 0, 0)
	out = binary.LittleEndian.AppendUint32(out, uint32(len(payload)))
	out = append(out, kind)
	out = binary.LittleEndian.AppendUint64(out, seq)
	out = append(out, payload...)
	binary.LittleEndian.PutUint32(out[from:], crc32.Checksum(out[from+4:], castagnoli))
	return out
}

// record is one that was read; its payload lies in what it was read from.
type record struct {
	kind    byte
	seq     uint64
	payload []byte
}

// readRecord reads the record at the start of raw and how long it is; ok is false where there is no whole one.
func readRecord(raw []byte) (r record, size int, ok bool) {
	if len(raw) < recordHead {
		return r, 0, false
	}
	n := int64(binary.LittleEndian.Uint32(raw[4:]))
	if n > maxGroup || n > int64(len(raw)-recordHead) {
		return r, 0, false
	}
	size = recordHead + int(n)
	if crc32.Checksum(raw[4:size], castagnoli) != binary.LittleEndian.Uint32(raw) {
		return r, 0, false
	}
	return record{kind: raw[8], seq: binary.LittleEndian.Uint64(raw[9:]), payload: raw[recordHead:size:size]}, size, true
}
