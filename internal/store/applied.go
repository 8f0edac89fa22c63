package store

import (
	"bytes"
	"errors"

	"gullfall/internal/kv"
)

// read returns the values as they were applied last, and up to which index.
func (d *disk) readApplied() (values map[string][]byte, index uint64, err error) {
	values = map[string][]byte{}
	view := d.db.Snapshot()
	defer view.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	prefix := key(keyValue, encodeIndex(d.generation))
	var bad error
	err = view.Each(prefix, func(k, held []byte) bool {
		values[string(k[len(prefix):])], bad = readChunked(view, held, keyValuePart)
		return bad == nil
	})
	return values, d.applied, errors.Join(err, bad)
}

// write keeps values that changed, nil for those that went, up to an index; what it holds already up to there stays. Where
// whole is set they are all that there is.
func (d *disk) writeApplied(values map[string][]byte, index uint64, whole bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if index <= d.applied {
		return nil
	}
	generation := d.generation
	if whole { // they are written beside the others, and then take their place at once
		generation++
		for _, kind := range []byte{keyValue, keyValuePart} {
			if err := d.db.Write(deletePrefix(kind, encodeIndex(generation))); err != nil {
				return err
			}
		}
	}
	var b kv.Batch
	size, n := 0, 0
	for name, v := range values {
		k := key(keyValue, encodeIndex(generation), []byte(name))
		if old, err := d.db.Get(k); err == nil && len(old) > 13 && old[0] == chunked {
			b = append(b, deletePrefix(keyValuePart, old[13:])...)
		} else if err != nil && !errors.Is(err, kv.ErrNotFound) {
			return err
		}
		if v == nil {
			b = append(b, kv.Op{Kind: kv.Delete, Key: k})
			continue
		}
		// What would not fit into the batch any more goes ahead of it, in parts.
		most := min(d.partSize, max(0, batchParts*d.partSize-size))
		held, err := d.writeChunked(v, keyValuePart, bytes.Join([][]byte{encodeIndex(generation), encodeIndex(index), encodePart(n)}, nil), most)
		if err != nil {
			return err
		}
		n++
		b = append(b, kv.Op{Kind: kv.Put, Key: k, Value: held})
		if size += len(k) + len(held); whole && size > batchParts*d.partSize { // nobody reads this generation yet
			if err := d.db.Write(b); err != nil {
				return err
			}
			b, size = nil, 0
		}
	}
	b = append(b, kv.Op{Kind: kv.Put, Key: []byte{keyApplied}, Value: append(encodeIndex(index), encodeIndex(generation)...)})
	if whole {
		b = append(b, deletePrefix(keyValue, encodeIndex(d.generation))...)
		b = append(b, deletePrefix(keyValuePart, encodeIndex(d.generation))...)
	}
	if err := d.db.Write(b); err != nil {
		return err
	}
	d.applied, d.generation = index, generation
	return nil
}
