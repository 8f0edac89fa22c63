package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"gullfall/internal/kv"
)

// A value as it is kept: byte 0 and itself, or byte 1, its length, checksum and the prefix of its parts.
const (
	inline  = 0
	chunked = 1
)

// keep writes the parts of what is longer than so many bytes, and returns what its key is to hold: a part without that is seen by nobody.
func (d *disk) writeChunked(data []byte, kind byte, prefix []byte, most int) ([]byte, error) {
	if len(data) <= most {
		return append([]byte{inline}, data...), nil
	}
	if err := d.db.Write(deletePrefix(kind, prefix)); err != nil { // of an earlier try
		return nil, err
	}
	for at := 0; at < len(data); at += d.partSize {
		err := d.db.Write(kv.Batch{{Kind: kv.Put, Key: key(kind, prefix, encodePart(at/d.partSize)), Value: data[at:min(at+d.partSize, len(data))]}})
		if err != nil {
			return nil, err
		}
	}
	head := binary.BigEndian.AppendUint64([]byte{chunked}, uint64(len(data)))
	head = binary.BigEndian.AppendUint32(head, crc32.Checksum(data, castagnoli))
	return append(head, prefix...), nil
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// length is that of what a key's value stands for.
func valueLength(held []byte) int {
	if len(held) >= 13 && held[0] == chunked {
		return int(binary.BigEndian.Uint64(held[1:]))
	}
	return len(held)
}

// whole reads what a key's value stands for.
func readChunked(view *kv.View, held []byte, kind byte) ([]byte, error) {
	switch {
	case len(held) > 0 && held[0] == inline:
		return bytes.Clone(held[1:]), nil
	case len(held) < 13 || held[0] != chunked:
		return nil, fmt.Errorf("a value of %d bytes is neither itself nor in parts", len(held))
	}
	data := make([]byte, 0, valueLength(held))
	for n := 0; len(data) < valueLength(held); n++ {
		p, err := view.Get(key(kind, held[13:], encodePart(n)))
		if err != nil {
			return nil, fmt.Errorf("part %d of a value of %d bytes: %w", n, valueLength(held), err)
		}
		data = append(data, p...)
	}
	if crc32.Checksum(data, castagnoli) != binary.BigEndian.Uint32(held[9:]) {
		return nil, fmt.Errorf("a value of %d bytes in parts does not have its checksum", len(data))
	}
	return data, nil
}
