package store

import (
	"encoding/binary"

	"gullfall/internal/kv"
)

// removeLeftovers removes what a crash left behind: parts of unfinished snapshots, and applied values of generations
// other than the current one.
func (d *disk) removeLeftovers() error {
	list, err := d.List()
	if err != nil {
		return err
	}
	finished := map[string]bool{}
	for _, m := range list {
		finished[m.ID] = true
	}
	var b kv.Batch
	removed, lastID := map[string]bool{}, ""
	view := d.db.Snapshot()
	defer view.Close()
	err = view.Each([]byte{keySnapshotPart}, func(key, _ []byte) bool {
		if id := string(key[1 : len(key)-4]); id != lastID {
			if lastID = id; !finished[id] && !removed[id] {
				removed[id] = true
				b = append(b, deletePrefix(keySnapshotPart, []byte(id))...)
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	for _, kind := range []byte{keyValue, keyValuePart} {
		other := false
		err := view.Each([]byte{kind}, func(key, _ []byte) bool {
			other = binary.BigEndian.Uint64(key[1:]) != d.generation
			return !other
		})
		if err != nil {
			return err
		}
		if other {
			b = append(b, kv.Op{Kind: kv.DeleteRange, Key: key(kind, encodeIndex(0)), Value: key(kind, encodeIndex(d.generation))},
				kv.Op{Kind: kv.DeleteRange, Key: key(kind, encodeIndex(d.generation+1)), Value: []byte{kind + 1}})
		}
	}
	if len(b) == 0 {
		return nil
	}
	return d.db.Write(b)
}
