package store

import (
	"bytes"
	"encoding/binary"

	"gullfall/internal/kv"
)

// The first byte of each key tells what it is of.
const (
	keyLog          = 'l' // index: an entry
	keyLogPart      = 'L' // index, part
	keyStable       = 's' // name: what the log library keeps
	keyApplied      = 'a' // up to where values go, and their generation
	keyValue        = 'v' // generation, name
	keyValuePart    = 'V' // generation, index and place of the change, part
	keySnapshot     = 'm' // id: what a snapshot is of
	keySnapshotPart = 'M' // id, part
	keyFormat       = 'f' // the form of all this; it is written once all that was there before is taken over
)

func encodeIndex(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func key(kind byte, parts ...[]byte) []byte {
	return append([]byte{kind}, bytes.Join(parts, nil)...)
}

func encodePart(n int) []byte { return binary.BigEndian.AppendUint32(nil, uint32(n)) }

// within removes all keys of a kind that go on from a prefix, which must not be the beginning of another's.
func deletePrefix(kind byte, prefix []byte) kv.Batch {
	return kv.Batch{{Kind: kv.DeleteRange, Key: key(kind, prefix), Value: key(kind, prefix, []byte{255, 255, 255, 255, 255})}}
}
