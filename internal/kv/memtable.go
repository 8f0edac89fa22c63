package kv

import (
	"bytes"

	"github.com/google/btree"
)

// iteratorBatch is the number of entries that an iterator reads from the tree at once.
const iteratorBatch = 64

// memtable holds the changes that are in the log and not yet in a run.
type memtable struct {
	tree       *btree.BTreeG[entry]
	tombstones []rangeTombstone
	bytes      int64  // approximate memory in use
	maxSeq     uint64 // sequence number of the last batch
}

func newMemtable() *memtable {
	return &memtable{tree: btree.NewG(32, func(a, b entry) bool { return compareEntries(a, b) < 0 })}
}

// apply adds a batch.
func (m *memtable) apply(seq uint64, b Batch) {
	for _, op := range b {
		m.bytes += int64(len(op.Key) + len(op.Value) + 64)
		switch op.Kind {
		case Put:
			m.tree.ReplaceOrInsert(entry{key: op.Key, seq: seq, value: op.Value})
		case Delete:
			m.tree.ReplaceOrInsert(entry{key: op.Key, seq: seq, deleted: true})
		case DeleteRange:
			var same []entry // entries of the same batch: the tombstone has their sequence number, so it would not delete them
			m.tree.AscendRange(entry{key: op.Key, seq: ^uint64(0)}, entry{key: op.Value, seq: ^uint64(0)}, func(e entry) bool {
				if e.seq == seq {
					same = append(same, e)
				}
				return true
			})
			for _, e := range same {
				m.tree.Delete(e)
			}
			m.tombstones = append(m.tombstones, rangeTombstone{op.Key, op.Value, seq})
		}
	}
	m.maxSeq = seq
}

// get returns the newest version of a key up to a sequence number.
func (m *memtable) get(key []byte, upTo uint64) (found entry, ok bool) {
	m.tree.AscendGreaterOrEqual(entry{key: key, seq: upTo}, func(e entry) bool {
		if bytes.Equal(e.key, key) {
			found, ok = e, true
		}
		return false
	})
	return found, ok
}

// iterator returns the entries from a key on, read from a copy-on-write clone.
func (m *memtable) iterator(from []byte) iterator {
	tree := m.tree.Clone()
	at := entry{key: from, seq: ^uint64(0)}
	var list []entry
	done := false
	return func() (entry, bool, error) {
		if len(list) == 0 && !done {
			tree.AscendGreaterOrEqual(at, func(e entry) bool {
				list = append(list, e)
				return len(list) <= iteratorBatch
			})
			if done = len(list) <= iteratorBatch; !done { // the next batch begins with the last one
				at, list = list[iteratorBatch], list[:iteratorBatch]
			}
		}
		if len(list) == 0 {
			return entry{}, false, nil
		}
		e := list[0]
		list = list[1:]
		return e, true, nil
	}
}
