package kv

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

const (
	tableMagic      = "GFKT"
	tableFooterSize = 36 // offsets of index, filter and tombstones, highest sequence number: 8 each; magic 4
	blockSize       = 4 << 10
	bitsPerKey      = 10
	filterHashes    = 7
)

// entry is one version of a key: a value or a deletion.
type entry struct {
	key     []byte
	seq     uint64
	deleted bool
	value   []byte
}

// compareEntries orders by key, and the versions of a key from the newest to the oldest.
func compareEntries(a, b entry) int {
	if c := bytes.Compare(a.key, b.key); c != 0 {
		return c
	}
	switch {
	case a.seq > b.seq:
		return -1
	case a.seq < b.seq:
		return 1
	}
	return 0
}

// rangeTombstone deletes all versions below seq of the keys in [start, end).
type rangeTombstone struct {
	start, end []byte
	seq        uint64
}

func (s rangeTombstone) contains(key []byte) bool {
	return bytes.Compare(s.start, key) <= 0 && bytes.Compare(key, s.end) < 0
}

// tableWriter writes a sorted table: blocks of entries, an index of the blocks, a bloom filter, range tombstones and a footer. A
// table is written once, from its first key to its last, and never changed.
type tableWriter struct {
	file       io.Writer
	offset     int64
	block      []byte
	lastKey    []byte
	index      []byte
	hashes     []uint64
	tombstones []rangeTombstone
	count      uint64
	err        error
}

func (w *tableWriter) write(raw []byte) {
	if w.err == nil {
		var n int
		n, w.err = w.file.Write(raw)
		w.offset += int64(n)
	}
}

// writeSection writes bytes and their checksum, and returns the offset at which they begin.
func (w *tableWriter) writeSection(raw []byte) (at int64) {
	at = w.offset
	w.write(binary.LittleEndian.AppendUint32(raw, crc32.Checksum(raw, castagnoli)))
	return at
}

// add appends an entry. Entries must be added in order.
func (w *tableWriter) add(e entry) {
	if !bytes.Equal(e.key, w.lastKey) || len(w.hashes) == 0 {
		w.hashes = append(w.hashes, xxhash.Sum64(e.key))
	}
	kind := byte(opPut)
	if e.deleted {
		kind = opDelete
	}
	w.block = append(w.block, kind)
	w.block = binary.AppendUvarint(w.block, e.seq)
	w.block = binary.AppendUvarint(w.block, uint64(len(e.key)))
	w.block = append(w.block, e.key...)
	w.block = binary.AppendUvarint(w.block, uint64(len(e.value)))
	w.block = append(w.block, e.value...)
	w.lastKey = append(w.lastKey[:0], e.key...)
	if w.count++; len(w.block) >= blockSize {
		w.finishBlock()
	}
}

// finishBlock writes the block, and adds its last key, offset and length to the index.
func (w *tableWriter) finishBlock() {
	if len(w.block) == 0 {
		return
	}
	n := len(w.block)
	at := w.writeSection(w.block)
	w.index = binary.AppendUvarint(w.index, uint64(len(w.lastKey)))
	w.index = append(w.index, w.lastKey...)
	w.index = binary.AppendUvarint(w.index, uint64(at))
	w.index = binary.AppendUvarint(w.index, uint64(n))
	w.block = w.block[:0]
}

// finish writes the index, the filter, the tombstones and the footer. The caller syncs the file.
func (w *tableWriter) finish(upTo uint64) error {
	w.finishBlock()
	index := w.writeSection(w.index)
	filter := w.writeSection(newFilter(w.hashes))
	var raw []byte
	for _, s := range w.tombstones {
		raw = binary.AppendUvarint(raw, s.seq)
		for _, k := range [][]byte{s.start, s.end} {
			raw = binary.AppendUvarint(raw, uint64(len(k)))
			raw = append(raw, k...)
		}
	}
	tombstones := w.writeSection(raw)
	footer := binary.LittleEndian.AppendUint64(nil, uint64(index))
	footer = binary.LittleEndian.AppendUint64(footer, uint64(filter))
	footer = binary.LittleEndian.AppendUint64(footer, uint64(tombstones))
	footer = binary.LittleEndian.AppendUint64(footer, upTo)
	footer = append(footer, tableMagic...)
	w.writeSection(footer)
	return w.err
}

// newFilter returns a bloom filter of the hashes of keys, by double hashing (Kirsch and Mitzenmacher).
func newFilter(hashes []uint64) []byte {
	bits := uint64(max(64, len(hashes)*bitsPerKey))
	raw := make([]byte, (bits+7)/8)
	bits = uint64(len(raw)) * 8
	for _, h := range hashes {
		for i, d := uint64(0), h>>33|1; i < filterHashes; i++ {
			b := (h + i*d) % bits
			raw[b/8] |= 1 << (b % 8)
		}
	}
	return raw
}

// mayContain reports whether a filter may contain a key; false is certain.
func mayContain(filter []byte, key []byte) bool {
	h, bits := xxhash.Sum64(key), uint64(len(filter))*8
	for i, d := uint64(0), h>>33|1; i < filterHashes; i++ {
		b := (h + i*d) % bits
		if filter[b/8]&(1<<(b%8)) == 0 {
			return false
		}
	}
	return true
}

// blockHandle is an entry of the index: the last key and the location of a block.
type blockHandle struct {
	lastKey []byte
	offset  int64
	length  int
}

// table is a sorted table open for reading. Its methods may be called from any goroutine. No entry is returned from a block that
// does not match its checksum.
type table struct {
	name       string
	in         io.ReaderAt
	size       int64
	index      []blockHandle
	filter     []byte
	tombstones []rangeTombstone
	maxSeq     uint64 // highest sequence number in the table
}

func (t *table) corrupt(at int64, cause string) error {
	return &CorruptionError{t.name, at, "table: " + cause}
}

// read returns n bytes at an offset, and verifies the checksum that follows them.
func (t *table) read(at int64, n int) ([]byte, error) {
	if at < 0 || n < 0 || at+int64(n)+4 > t.size {
		return nil, t.corrupt(at, "offset beyond the end of the file")
	}
	raw := make([]byte, n+4)
	if _, err := t.in.ReadAt(raw, at); err != nil && err != io.EOF {
		return nil, fmt.Errorf("%s: %w", t.name, err)
	}
	if crc32.Checksum(raw[:n], castagnoli) != binary.LittleEndian.Uint32(raw[n:]) {
		return nil, t.corrupt(at, "checksum mismatch")
	}
	return raw[:n:n], nil
}

// openTable reads a table's footer, index, filter and tombstones.
func openTable(name string, in io.ReaderAt, size int64) (*table, error) {
	t := &table{name: name, in: in, size: size}
	footerAt := size - tableFooterSize - 4
	footer, err := t.read(footerAt, tableFooterSize)
	if err != nil {
		return nil, err
	}
	if string(footer[32:]) != tableMagic {
		return nil, t.corrupt(footerAt, "invalid footer")
	}
	indexAt := int64(binary.LittleEndian.Uint64(footer))
	filterAt := int64(binary.LittleEndian.Uint64(footer[8:]))
	tombstonesAt := int64(binary.LittleEndian.Uint64(footer[16:]))
	t.maxSeq = binary.LittleEndian.Uint64(footer[24:])
	if err := t.readIndex(indexAt, filterAt); err != nil {
		return nil, err
	}
	if t.filter, err = t.read(filterAt, int(tombstonesAt-filterAt-4)); err != nil {
		return nil, err
	}
	if len(t.filter) == 0 {
		return nil, t.corrupt(filterAt, "empty filter")
	}
	if err := t.readTombstones(tombstonesAt, footerAt); err != nil {
		return nil, err
	}
	return t, nil
}

// readIndex reads the index, which is at the offsets [at, end).
func (t *table) readIndex(at, end int64) error {
	raw, err := t.read(at, int(end-at-4))
	if err != nil {
		return err
	}
	for len(raw) > 0 {
		var b blockHandle
		var ok bool
		if b.lastKey, raw, ok = readBytes(raw, MaxKey); !ok {
			return t.corrupt(at, "invalid key in the index")
		}
		offset, n := binary.Uvarint(raw)
		if n <= 0 {
			return t.corrupt(at, "invalid offset in the index")
		}
		length, m := binary.Uvarint(raw[n:])
		if m <= 0 || offset > uint64(at) || length > uint64(at)-offset {
			return t.corrupt(at, "invalid length in the index")
		}
		b.offset, b.length, raw = int64(offset), int(length), raw[n+m:]
		t.index = append(t.index, b)
	}
	return nil
}

// readTombstones reads the range tombstones, which are at the offsets [at, end).
func (t *table) readTombstones(at, end int64) error {
	raw, err := t.read(at, int(end-at-4))
	if err != nil {
		return err
	}
	for len(raw) > 0 {
		seq, n := binary.Uvarint(raw)
		if n <= 0 {
			return t.corrupt(at, "invalid sequence number of a range tombstone")
		}
		s, ok := rangeTombstone{seq: seq}, false
		if s.start, raw, ok = readBytes(raw[n:], MaxKey); ok {
			s.end, raw, ok = readBytes(raw, MaxKey)
		}
		if !ok {
			return t.corrupt(at, "invalid key of a range tombstone")
		}
		t.tombstones = append(t.tombstones, s)
	}
	return nil
}

// readBytes reads a length of at most limit and that many bytes from the front.
func readBytes(raw []byte, limit int) (field, rest []byte, ok bool) {
	n, used := binary.Uvarint(raw)
	if used <= 0 || n > uint64(limit) || n > uint64(len(raw)-used) {
		return nil, nil, false
	}
	return raw[used : used+int(n) : used+int(n)], raw[used+int(n):], true
}

// block returns the entries of a block.
func (t *table) block(i int) (list []entry, err error) {
	b := t.index[i]
	raw, err := t.read(b.offset, b.length)
	if err != nil {
		return nil, err
	}
	for len(raw) > 0 {
		e := entry{deleted: raw[0] == opDelete}
		seq, n := binary.Uvarint(raw[1:])
		ok := n > 0 && (raw[0] == opPut || raw[0] == opDelete)
		if ok {
			e.seq = seq
			if e.key, raw, ok = readBytes(raw[1+n:], MaxKey); ok {
				e.value, raw, ok = readBytes(raw, MaxValue)
			}
		}
		if !ok {
			return nil, t.corrupt(b.offset, "invalid entry")
		}
		list = append(list, e)
	}
	return list, nil
}

// get returns the newest version of a key up to a sequence number; found is false if there is none.
func (t *table) get(key []byte, upTo uint64) (e entry, found bool, err error) {
	if !mayContain(t.filter, key) {
		return e, false, nil
	}
	i := sort.Search(len(t.index), func(i int) bool { return bytes.Compare(t.index[i].lastKey, key) >= 0 })
	for ; i < len(t.index); i++ { // the versions of a key may continue in the next block
		list, err := t.block(i)
		if err != nil {
			return e, false, err
		}
		for _, e := range list {
			if c := bytes.Compare(e.key, key); c == 0 && e.seq <= upTo {
				return e, true, nil
			} else if c > 0 {
				return entry{}, false, nil
			}
		}
	}
	return e, false, nil
}

// iterator returns the entries from a key on, in order.
func (t *table) iterator(from []byte) iterator {
	i := sort.Search(len(t.index), func(i int) bool { return bytes.Compare(t.index[i].lastKey, from) >= 0 })
	var list []entry
	first := true
	return func() (entry, bool, error) {
		for len(list) == 0 {
			if i >= len(t.index) {
				return entry{}, false, nil
			}
			var err error
			if list, err = t.block(i); err != nil {
				return entry{}, false, err
			}
			if i++; first {
				first = false
				at, _ := slices.BinarySearchFunc(list, from, func(e entry, k []byte) int { return bytes.Compare(e.key, k) })
				list = list[at:]
			}
		}
		e := list[0]
		list = list[1:]
		return e, true, nil
	}
}
