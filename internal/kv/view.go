package kv

import (
	"bytes"
	"slices"
)

// View reads the store as of one number, while writing goes on. It must be closed.
type View struct {
	db     *DB
	seq    uint64
	tables []*memory
	runs   []*run
	closed bool
}

// Snapshot opens a view of all that is visible now.
func (db *DB) Snapshot() *View {
	db.mu.Lock()
	defer db.mu.Unlock()
	v := &View{db: db, seq: db.visible, runs: slices.Clone(db.runs)}
	db.snaps[v.seq]++
	for _, r := range v.runs {
		r.users++
	}
	for _, m := range []*memory{db.mem, db.full} {
		if m != nil {
			v.tables = append(v.tables, &memory{tree: m.tree.Clone(), spans: slices.Clone(m.spans)})
		}
	}
	return v
}

// Close gives the view back.
func (v *View) Close() {
	v.db.mu.Lock()
	defer v.db.mu.Unlock()
	if v.closed {
		return
	}
	v.closed = true
	if v.db.snaps[v.seq]--; v.db.snaps[v.seq] == 0 {
		delete(v.db.snaps, v.seq)
	}
	v.db.release(v.runs)
}

// Seq is the number that the view is of.
func (v *View) Seq() uint64 { return v.seq }

// deletedBelow is the highest number up to which a key's versions are deleted by a range.
func (v *View) deletedBelow(key []byte) (seq uint64) {
	look := func(list []span) {
		for _, s := range list {
			if s.seq <= v.seq && s.seq > seq && s.holds(key) {
				seq = s.seq
			}
		}
	}
	for _, m := range v.tables {
		look(m.spans)
	}
	for _, r := range v.runs {
		look(r.spans)
	}
	return seq
}

// spansFrom lists the ranges that are deleted as of the view and reach beyond a key, by where they end.
func (v *View) spansFrom(key []byte) (list []span) {
	look := func(of []span) {
		for _, s := range of {
			if s.seq <= v.seq && bytes.Compare(s.to, key) > 0 {
				list = append(list, s)
			}
		}
	}
	for _, m := range v.tables {
		look(m.spans)
	}
	for _, r := range v.runs {
		look(r.spans)
	}
	slices.SortFunc(list, func(a, b span) int { return bytes.Compare(a.to, b.to) })
	return list
}

// Get is a key's value, or ErrNotFound.
func (v *View) Get(key []byte) ([]byte, error) {
	found, ok := entry{}, false
	for _, m := range v.tables {
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
	if !ok || found.deleted || found.seq < v.deletedBelow(key) {
		return nil, ErrNotFound
	}
	return bytes.Clone(found.value), nil
}

// Each calls for each key of a prefix, in order, until it returns false.
func (v *View) Each(prefix []byte, each func(key, value []byte) bool) error {
	var pulls []func() (entry, bool, error)
	for _, m := range v.tables {
		pulls = append(pulls, m.iterate(prefix))
	}
	for _, r := range v.runs {
		pulls = append(pulls, r.iterate(prefix))
	}
	next, err := mergePulls(pulls)
	if err != nil {
		return err
	}
	var last []byte
	spans := v.spansFrom(prefix)
	for begun := false; ; {
		e, ok, err := next()
		if err != nil {
			return err
		}
		if !ok || !bytes.HasPrefix(e.key, prefix) {
			return nil
		}
		if e.seq > v.seq || begun && bytes.Equal(e.key, last) {
			continue
		}
		last, begun = append(last[:0], e.key...), true
		for len(spans) > 0 && bytes.Compare(spans[0].to, e.key) <= 0 { // keys come in order: it holds none of those to come
			spans = spans[1:]
		}
		if e.deleted || slices.ContainsFunc(spans, func(s span) bool { return e.seq < s.seq && s.holds(e.key) }) {
			continue
		}
		if !each(e.key, e.value) {
			return nil
		}
	}
}

// mergePulls joins ordered pulls into one.
func mergePulls(pulls []func() (entry, bool, error)) (func() (entry, bool, error), error) {
	type head struct {
		e    entry
		pull func() (entry, bool, error)
	}
	var heads []head
	for _, pull := range pulls {
		e, ok, err := pull()
		if err != nil {
			return nil, err
		}
		if ok {
			heads = append(heads, head{e, pull})
		}
	}
	return func() (entry, bool, error) { // there are about a dozen, so they are looked through
		best := -1
		for i := range heads {
			if best < 0 || order(heads[i].e, heads[best].e) < 0 {
				best = i
			}
		}
		if best < 0 {
			return entry{}, false, nil
		}
		out := heads[best].e
		e, ok, err := heads[best].pull()
		if err != nil {
			return entry{}, false, err
		}
		if heads[best].e = e; !ok {
			heads = slices.Delete(heads, best, best+1)
		}
		return out, true, nil
	}, nil
}

// Get is a key's value as of now, or ErrNotFound.
func (db *DB) Get(key []byte) ([]byte, error) {
	v := db.Snapshot()
	defer v.Close()
	return v.Get(key)
}
