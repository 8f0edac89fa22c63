package kv

import (
	"bytes"
	"slices"
)

// View is a consistent view of the store as of one sequence number, unaffected by later writes. It must be closed.
type View struct {
	db        *DB
	seq       uint64
	memtables []*memtable
	runs      []*run
	closed    bool
}

// Snapshot opens a view of all batches that are currently visible.
func (db *DB) Snapshot() *View {
	db.mu.Lock()
	defer db.mu.Unlock()
	v := &View{db: db, seq: db.visible, runs: slices.Clone(db.runs)}
	db.snapshots[v.seq]++
	for _, r := range v.runs {
		r.references++
	}
	for _, m := range []*memtable{db.active, db.immutable} {
		if m != nil {
			v.memtables = append(v.memtables, &memtable{tree: m.tree.Clone(), tombstones: slices.Clone(m.tombstones)})
		}
	}
	return v
}

// Close releases the view. A second call does nothing.
func (v *View) Close() {
	v.db.mu.Lock()
	defer v.db.mu.Unlock()
	if v.closed {
		return
	}
	v.closed = true
	if v.db.snapshots[v.seq]--; v.db.snapshots[v.seq] == 0 {
		delete(v.db.snapshots, v.seq)
	}
	v.db.releaseRuns(v.runs)
}

// Seq returns the sequence number as of which the view reads.
func (v *View) Seq() uint64 { return v.seq }

// tombstoneSeq returns the highest sequence number of the view's range tombstones that contain the key; 0 for none.
func (v *View) tombstoneSeq(key []byte) (seq uint64) {
	v.eachTombstone(func(t rangeTombstone) {
		if t.seq > seq && t.contains(key) {
			seq = t.seq
		}
	})
	return seq
}

// tombstonesFrom returns the view's range tombstones that end after a key, ordered by their ends.
func (v *View) tombstonesFrom(key []byte) (list []rangeTombstone) {
	v.eachTombstone(func(t rangeTombstone) {
		if bytes.Compare(t.end, key) > 0 {
			list = append(list, t)
		}
	})
	slices.SortFunc(list, func(a, b rangeTombstone) int { return bytes.Compare(a.end, b.end) })
	return list
}

// eachTombstone calls visit for the range tombstones that were written before the view was opened.
func (v *View) eachTombstone(visit func(rangeTombstone)) {
	visitAll := func(list []rangeTombstone) {
		for _, t := range list {
			if t.seq <= v.seq {
				visit(t)
			}
		}
	}
	for _, m := range v.memtables {
		visitAll(m.tombstones)
	}
	for _, r := range v.runs {
		visitAll(r.tombstones)
	}
}

// Get returns a key's value, or ErrNotFound.
func (v *View) Get(key []byte) ([]byte, error) {
	found, ok := entry{}, false
	for _, m := range v.memtables {
		if found, ok = m.get(key, v.seq); ok {
			break
		}
	}
	for i := 0; i < len(v.runs) && !ok; i++ {
		var err error
		if found, ok, err = v.runs[i].get(key, v.seq); err != nil {
			return nil, err
		}
	}
	if !ok || found.deleted || found.seq < v.tombstoneSeq(key) {
		return nil, ErrNotFound
	}
	return bytes.Clone(found.value), nil
}

// Each calls visit for the keys with a prefix, in order, until it returns false. The slices are valid only during the call.
func (v *View) Each(prefix []byte, visit func(key, value []byte) bool) error {
	next, err := v.iterator(prefix)
	if err != nil {
		return err
	}
	newest := newestVersions{seq: v.seq, tombstones: v.tombstonesFrom(prefix)}
	for {
		e, ok, err := next()
		if err != nil {
			return err
		}
		if !ok || !bytes.HasPrefix(e.key, prefix) {
			return nil
		}
		if newest.accept(e) && !visit(e.key, e.value) {
			return nil
		}
	}
}

// iterator returns the merged entries of the memory tables and the runs, from a key on.
func (v *View) iterator(from []byte) (iterator, error) {
	var sources []iterator
	for _, m := range v.memtables {
		sources = append(sources, m.iterator(from))
	}
	for _, r := range v.runs {
		sources = append(sources, r.iterator(from))
	}
	return mergeIterators(sources)
}

// newestVersions selects, from entries in order, the newest version of each key as of a sequence number, unless it is deleted.
type newestVersions struct {
	seq        uint64
	tombstones []rangeTombstone // ordered by their ends; those that end before the current key are dropped
	key        []byte           // key of the last version
	started    bool
}

func (n *newestVersions) accept(e entry) bool {
	if e.seq > n.seq || n.started && bytes.Equal(e.key, n.key) {
		return false
	}
	n.key, n.started = append(n.key[:0], e.key...), true
	for len(n.tombstones) > 0 && bytes.Compare(n.tombstones[0].end, e.key) <= 0 {
		n.tombstones = n.tombstones[1:]
	}
	return !e.deleted && !slices.ContainsFunc(n.tombstones, func(t rangeTombstone) bool { return e.seq < t.seq && t.contains(e.key) })
}

// Get returns a key's current value, or ErrNotFound.
func (db *DB) Get(key []byte) ([]byte, error) {
	v := db.Snapshot()
	defer v.Close()
	return v.Get(key)
}
