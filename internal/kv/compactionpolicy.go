package kv

// This file owns what is kept, merged and discarded. It does no I/O. It must never discard a version that an open snapshot
// may read, nor a deletion while an older run may hold what it deletes.
//
// Runs are sorted tables in the order of their age. The logarithmic method (Bentley and Saxe, Decomposable Searching
// Problems, 1980): a run is merged with the older ones next to it for as long as they are not larger than what has come
// together, so sizes at least double with age, there are about log2 of the whole of them, and each byte is written again
// about as often.

import "bytes"

// maxRuns is how many runs may be there before the newest are merged whatever their sizes.
const maxRuns = 12

// pickMerge says which runs, newest first, are to be merged: from..to-1; to is 0 for none. Sizes are in bytes.
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

// keeper decides which versions of a merge are written. Versions come in order: by key, the newest first.
type keeper struct {
	floor  uint64 // the oldest number that somebody may read as of
	oldest bool   // no older run is left out of the merge
	spans  []span // ranges that were deleted, of the runs that are merged

	key   []byte
	begun bool
	below bool // a version of key at or below floor was seen; what is older is not read any more
}

// keep tells whether a version is to be written.
func (k *keeper) keep(e entry) bool {
	if !k.begun || !bytes.Equal(e.key, k.key) {
		k.key, k.begun, k.below = append(k.key[:0], e.key...), true, false
	}
	if k.below {
		return false
	}
	for _, s := range k.spans {
		if s.seq <= k.floor && e.seq < s.seq && s.holds(e.key) {
			k.below = true
			return false // deleted for all who may read
		}
	}
	if e.seq > k.floor {
		return true
	}
	k.below = true
	return !e.deleted || !k.oldest
}

// keepSpans are the ranges that must be written on: those that somebody may still read behind, or that older runs are
// deleted by.
func (k *keeper) keepSpans() (list []span) {
	for _, s := range k.spans {
		if !k.oldest || s.seq > k.floor {
			list = append(list, s)
		}
	}
	return list
}
