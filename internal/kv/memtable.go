package kv

import (
	"bytes"

	"github.com/google/btree"
)

// memory is a memory table.
type memory struct {
	tree  *btree.BTreeG[entry]
	spans []span
	bytes int64
	upTo  uint64
}

func newMemory() *memory {
	return &memory{tree: btree.NewG(32, func(a, b entry) bool { return order(a, b) < 0 })}
}

// apply takes in a batch.
func (m *memory) apply(seq uint64, b Batch) {
	for _, op := range b {
		m.bytes += int64(len(op.Key) + len(op.Value) + 64)
		switch op.Kind {
		case Put:
			m.tree.ReplaceOrInsert(entry{key: op.Key, seq: seq, value: op.Value})
		case Delete:
			m.tree.ReplaceOrInsert(entry{key: op.Key, seq: seq, deleted: true})
		case DeleteRange:
			var same []entry // what the batch itself put there before
			m.tree.AscendRange(entry{key: op.Key, seq: ^uint64(0)}, entry{key: op.Value, seq: ^uint64(0)}, func(e entry) bool {
				if e.seq == seq {
					same = append(same, e)
				}
				return true
			})
			for _, e := range same {
				m.tree.Delete(e)
			}
			m.spans = append(m.spans, span{op.Key, op.Value, seq})
		}
	}
	m.upTo = seq
}

// get is the newest version of a key up to a number.
func (m *memory) get(key []byte, upTo uint64) (found entry, ok bool) {
	m.tree.AscendGreaterOrEqual(entry{key: key, seq: upTo}, func(e entry) bool {
		if bytes.Equal(e.key, key) {
			found, ok = e, true
		}
		return false
	})
	return found, ok
}

// iterate returns a pull over a copy of the entries from a key on; the copy costs nothing until something changes.
func (m *memory) iterate(from []byte) func() (entry, bool, error) {
	tree := m.tree.Clone()
	at := entry{key: from, seq: ^uint64(0)}
	var list []entry
	done := false
	return func() (entry, bool, error) {
		if len(list) == 0 && !done {
			tree.AscendGreaterOrEqual(at, func(e entry) bool {
				list = append(list, e)
				return len(list) < 65
			})
			if done = len(list) < 65; !done { // the last one is where the next pull begins
				at, list = list[64], list[:64]
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
