package kv

import "bytes"

// maxRuns is the number of runs above which the newest are merged, whatever their sizes.
const maxRuns = 12

// pickMerge returns which of the runs, newest first, are due to be merged: from..to-1; to is 0 for none. Sizes are in bytes.
//
// It follows the logarithmic method (Bentley and Saxe, Decomposable Searching Problems, 1980): a run is merged with its older
// neighbours as long as they are not larger than the sum so far. So sizes at least double with age, the number of runs is about
// log2 of the total size, and each byte is rewritten about as many times.
func pickMerge(sizes []int64) (from, to int) {
	for from := range sizes {
		sum, to := sizes[from], from+1
		for to < len(sizes) && sizes[to] <= sum {
			sum, to = sum+sizes[to], to+1
		}
		if to-from > 1 {
			return from, to
		}
	}
	if len(sizes) > maxRuns {
		return 0, len(sizes) - maxRuns + 1
	}
	return 0, 0
}

// compactionFilter decides which versions a merge writes. Versions are passed in order: by key, the newest first. It drops no
// version that an open view may read: the view would return an older value or none. It drops no deletion while an older run may
// have the key: the deleted value would reappear.
type compactionFilter struct {
	floor      uint64           // the lowest sequence number as of which a view may read
	oldest     bool             // the merge includes the oldest run
	tombstones []rangeTombstone // of the runs that are merged

	key      []byte
	started  bool
	shadowed bool // a version of key at or below floor was seen; no view reads an older one
}

// retain reports whether a version is to be written.
func (f *compactionFilter) retain(e entry) bool {
	if !f.started || !bytes.Equal(e.key, f.key) {
		f.key, f.started, f.shadowed = append(f.key[:0], e.key...), true, false
	}
	if f.shadowed {
		return false
	}
	for _, s := range f.tombstones {
		if s.seq <= f.floor && e.seq < s.seq && s.contains(e.key) {
			f.shadowed = true
			return false // deleted for every view
		}
	}
	if e.seq > f.floor {
		return true
	}
	f.shadowed = true
	return !e.deleted || !f.oldest
}

// retainedTombstones returns the range tombstones to be written: those newer than the oldest view, or all of them while an older
// run may have keys that they delete.
func (f *compactionFilter) retainedTombstones() (list []rangeTombstone) {
	for _, s := range f.tombstones {
		if !f.oldest || s.seq > f.floor {
			list = append(list, s)
		}
	}
	return list
}
