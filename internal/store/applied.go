package store

import (
	"bytes"
	"errors"

	"gullfall/internal/kv"
)

// readApplied returns the applied values and the index up to which they are applied.
func (d *disk) readApplied() (appliedState, error) {
	values := map[string][]byte{}
	view := d.db.Snapshot()
	defer view.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	prefix := key(keyValue, encodeIndex(d.generation))
	var chunkErr error
	err := view.Each(prefix, func(k, stored []byte) bool {
		values[string(k[len(prefix):])], chunkErr = readChunked(view, stored, keyValuePart)
		return chunkErr == nil
	})
	return appliedState{values, d.applied}, errors.Join(err, chunkErr)
}

// writeChanged stores the values that changed up to an index, nil for deleted ones. For an index that is already applied it does
// nothing: a replayed log must not overwrite later values.
func (d *disk) writeChanged(values map[string][]byte, index uint64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if index <= d.applied {
		return nil
	}
	w := appliedWriter{disk: d, index: index, generation: d.generation}
	for name, value := range values {
		if err := w.add(name, value); err != nil {
			return err
		}
	}
	return w.finish()
}

// replaceAll replaces all values by those of an index, unless that is already applied. They are written as a new generation beside
// the current one, and the last batch switches to it.
func (d *disk) replaceAll(values map[string][]byte, index uint64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if index <= d.applied {
		return nil
	}
	w := appliedWriter{disk: d, index: index, generation: d.generation + 1}
	for _, kind := range []byte{keyValue, keyValuePart} { // left by an earlier attempt
		if err := d.db.Write(deletePrefix(kind, encodeIndex(w.generation))); err != nil {
			return err
		}
	}
	for name, value := range values {
		if err := w.add(name, value); err != nil {
			return err
		}
		if err := w.flushLarge(); err != nil {
			return err
		}
	}
	return w.finish()
}

// appliedWriter collects applied values in a batch. The caller holds the disk's lock.
type appliedWriter struct {
	disk       *disk
	index      uint64
	generation uint64
	batch      kv.Batch
	bytes      int // of the batch
	written    int // values that were put
}

// add adds a value to the batch, or its deletion if it is nil.
func (w *appliedWriter) add(name string, value []byte) error {
	d := w.disk
	k := key(keyValue, encodeIndex(w.generation), []byte(name))
	if old, err := d.db.Get(k); err == nil && len(old) > chunkHeaderSize && old[0] == chunked {
		w.batch = append(w.batch, deletePrefix(keyValuePart, old[chunkHeaderSize:])...)
	} else if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	if value == nil {
		w.batch = append(w.batch, kv.Op{Kind: kv.Delete, Key: k})
		return nil
	}
	// A value that no longer fits into the batch is written before it, in parts.
	inlineLimit := min(d.partSize, max(0, batchParts*d.partSize-w.bytes))
	prefix := bytes.Join([][]byte{encodeIndex(w.generation), encodeIndex(w.index), encodePart(w.written)}, nil)
	stored, err := d.writeChunked(value, keyValuePart, prefix, inlineLimit)
	if err != nil {
		return err
	}
	w.written++
	w.batch = append(w.batch, kv.Op{Kind: kv.Put, Key: k, Value: stored})
	w.bytes += len(k) + len(stored)
	return nil
}

// flushLarge writes the batch once it is large. It is only for a new generation, which is not read before finish.
func (w *appliedWriter) flushLarge() error {
	if w.bytes <= batchParts*w.disk.partSize {
		return nil
	}
	if err := w.disk.db.Write(w.batch); err != nil {
		return err
	}
	w.batch, w.bytes = nil, 0
	return nil
}

// finish writes the rest together with the applied index, and deletes the generation that is replaced.
func (w *appliedWriter) finish() error {
	d := w.disk
	w.batch = append(w.batch, kv.Op{Kind: kv.Put, Key: []byte{keyApplied}, Value: append(encodeIndex(w.index), encodeIndex(w.generation)...)})
	if w.generation != d.generation {
		w.batch = append(w.batch, deletePrefix(keyValue, encodeIndex(d.generation))...)
		w.batch = append(w.batch, deletePrefix(keyValuePart, encodeIndex(d.generation))...)
	}
	if err := d.db.Write(w.batch); err != nil {
		return err
	}
	d.applied, d.generation = w.index, w.generation
	return nil
}
