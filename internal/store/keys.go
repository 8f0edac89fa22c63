package store

import (
	"bytes"
	"encoding/binary"

	"gullfall/internal/kv"
)

// The first byte of a key is the kind of its value. Each comment gives the rest of the key, and the value after a colon.
const (
	keyLog          = 'l' // index: an entry of the log
	keyLogPart      = 'L' // index, part
	keyStable       = 's' // name: a value of raft's stable store
	keyApplied      = 'a' // the applied index, and the generation of the applied values
	keyValue        = 'v' // generation, name: an applied value
	keyValuePart    = 'V' // generation, index and number of the change, part
	keySnapshot     = 'm' // id: metadata and checksum of a snapshot
	keySnapshotPart = 'M' // id, part
	keyFormat       = 'f' // the version of this format, written once a migration from the older one is complete
)

func encodeIndex(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func key(kind byte, parts ...[]byte) []byte {
	return append([]byte{kind}, bytes.Join(parts, nil)...)
}

func encodePart(n int) []byte { return binary.BigEndian.AppendUint32(nil, uint32(n)) }

// deletePrefix returns a batch that deletes all keys of a kind with a prefix. No other key's prefix may begin with it.
func deletePrefix(kind byte, prefix []byte) kv.Batch {
	return kv.Batch{{Kind: kv.DeleteRange, Key: key(kind, prefix), Value: key(kind, prefix, []byte{255, 255, 255, 255, 255})}}
}
