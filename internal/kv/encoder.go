package kv

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// encode returns the payload of a batch: for each change its kind, and its key and value with their lengths.
func (b Batch) encode() ([]byte, error) {
	var out []byte
	for i, op := range b {
		switch {
		case op.Kind < Put || op.Kind > DeleteRange:
			return nil, fmt.Errorf("change %d: unknown kind %d", i, op.Kind)
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

// appendToGroup adds the payload of a batch to that of a record. All that is written between two syncs is one record: pages may
// reach the disk in any order, so after a crash the second of two records could be there without the first.
func appendToGroup(out, payload []byte) []byte {
	return append(binary.AppendUvarint(out, uint64(len(payload))), payload...)
}

// appendSegmentHeader appends a segment's header.
func appendSegmentHeader(out []byte, first uint64) []byte {
	from := len(out)
	out = append(out, segmentMagic...)
	out = binary.LittleEndian.AppendUint16(out, formatVersion)
	out = binary.LittleEndian.AppendUint16(out, 0)
	out = binary.LittleEndian.AppendUint64(out, first)
	return binary.LittleEndian.AppendUint32(out, crc32.Checksum(out[from:], castagnoli))
}

// appendRecord appends a record. The checksum at its start covers the rest of it.
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
