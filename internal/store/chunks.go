package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"gullfall/internal/kv"
)

// A stored value is the byte inline and the value itself; or the byte chunked, the value's length, its checksum and the prefix of
// its parts, which are stored under their own keys.
const (
	inline  = 0
	chunked = 1

	chunkHeaderSize = 1 + 8 + 4 // bytes before the prefix
)

// writeChunked returns the bytes to be stored under the key of a value. It writes the parts of a value longer than inlineLimit
// bytes; they are not read before the key is written.
func (d *disk) writeChunked(data []byte, kind byte, prefix []byte, inlineLimit int) ([]byte, error) {
	if len(data) <= inlineLimit {
		return append([]byte{inline}, data...), nil
	}
	if err := d.db.Write(deletePrefix(kind, prefix)); err != nil { // left by an earlier attempt
		return nil, err
	}
	for at := 0; at < len(data); at += d.partSize {
		err := d.db.Write(kv.Batch{{Kind: kv.Put, Key: key(kind, prefix, encodePart(at/d.partSize)), Value: data[at:min(at+d.partSize, len(data))]}})
		if err != nil {
			return nil, err
		}
	}
	header := binary.BigEndian.AppendUint64([]byte{chunked}, uint64(len(data)))
	header = binary.BigEndian.AppendUint32(header, crc32.Checksum(data, castagnoli))
	return append(header, prefix...), nil
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// valueLength returns the length in bytes of a stored value; that of an inline one includes its first byte.
func valueLength(stored []byte) int {
	if len(stored) >= chunkHeaderSize && stored[0] == chunked {
		return int(binary.BigEndian.Uint64(stored[1:]))
	}
	return len(stored)
}

// readChunked decodes a stored value, and verifies the checksum of one that is in parts.
func readChunked(view *kv.View, stored []byte, kind byte) ([]byte, error) {
	switch {
	case len(stored) > 0 && stored[0] == inline:
		return bytes.Clone(stored[1:]), nil
	case len(stored) < chunkHeaderSize || stored[0] != chunked:
		return nil, fmt.Errorf("a stored value of %d bytes is neither inline nor in parts", len(stored))
	}
	data := make([]byte, 0, valueLength(stored))
	for n := 0; len(data) < valueLength(stored); n++ {
		p, err := view.Get(key(kind, stored[chunkHeaderSize:], encodePart(n)))
		if err != nil {
			return nil, fmt.Errorf("part %d of a value of %d bytes: %w", n, valueLength(stored), err)
		}
		data = append(data, p...)
	}
	if crc32.Checksum(data, castagnoli) != binary.BigEndian.Uint32(stored[9:]) {
		return nil, fmt.Errorf("a value of %d bytes in parts: checksum mismatch", len(data))
	}
	return data, nil
}
