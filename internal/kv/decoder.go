package kv

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// decodeBatch decodes a payload; the keys and values are slices of it.
func decodeBatch(raw []byte) (Batch, error) {
	var b Batch
	field := func(limit int) ([]byte, bool) {
		n, used := binary.Uvarint(raw)
		if used <= 0 || n > uint64(limit) || n > uint64(len(raw)-used) {
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
			return nil, fmt.Errorf("change %d of a batch is invalid", len(b))
		}
		b = append(b, op)
	}
	if len(b) == 0 {
		return nil, ErrBatch
	}
	return b, nil
}

// decodeGroup decodes the batches of a record.
func decodeGroup(raw []byte) (list []Batch, err error) {
	for len(raw) > 0 {
		n, used := binary.Uvarint(raw)
		if used <= 0 || n > uint64(len(raw)-used) {
			return nil, fmt.Errorf("batch %d of a record is truncated", len(list))
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

// The errors of a segment's header.
var (
	errHeaderTruncated = errors.New("header is truncated")
	errHeaderChecksum  = errors.New("header does not match its checksum")
	errHeaderVersion   = errors.New("unsupported format version")
)

// decodeSegmentHeader verifies a segment's header and returns its first sequence number.
func decodeSegmentHeader(raw []byte) (first uint64, err error) {
	switch {
	case len(raw) < segmentHeaderSize:
		return 0, errHeaderTruncated
	case string(raw[:4]) != segmentMagic || crc32.Checksum(raw[:16], castagnoli) != binary.LittleEndian.Uint32(raw[16:]):
		return 0, errHeaderChecksum
	case binary.LittleEndian.Uint16(raw[4:]) != formatVersion:
		return 0, fmt.Errorf("%w: %d", errHeaderVersion, binary.LittleEndian.Uint16(raw[4:]))
	}
	return binary.LittleEndian.Uint64(raw[8:]), nil
}

// record is a decoded record; its payload is a slice of the bytes that it was decoded from.
type record struct {
	kind    byte
	seq     uint64
	payload []byte
}

// decodeRecord returns the record at the start of raw and its size; ok is false if there is no complete one.
func decodeRecord(raw []byte) (r record, size int, ok bool) {
	if len(raw) < recordHeaderSize {
		return r, 0, false
	}
	n := int64(binary.LittleEndian.Uint32(raw[4:]))
	if n > maxGroup || n > int64(len(raw)-recordHeaderSize) {
		return r, 0, false
	}
	size = recordHeaderSize + int(n)
	if crc32.Checksum(raw[4:size], castagnoli) != binary.LittleEndian.Uint32(raw) {
		return r, 0, false
	}
	return record{kind: raw[8], seq: binary.LittleEndian.Uint64(raw[9:]), payload: raw[recordHeaderSize:size:size]}, size, true
}
