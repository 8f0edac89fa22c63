package kv

import "slices"

// iterator returns the next entry of a sorted source; ok is false at the end.
type iterator func() (e entry, ok bool, err error)

// mergeIterators merges sorted iterators into one. There are about a dozen, so each step compares all of them.
func mergeIterators(sources []iterator) (iterator, error) {
	type head struct {
		e    entry
		next iterator
	}
	var heads []head
	for _, next := range sources {
		e, ok, err := next()
		if err != nil {
			return nil, err
		}
		if ok {
			heads = append(heads, head{e, next})
		}
	}
	return func() (entry, bool, error) {
		first := -1
		for i := range heads {
			if first < 0 || compareEntries(heads[i].e, heads[first].e) < 0 {
				first = i
			}
		}
		if first < 0 {
			return entry{}, false, nil
		}
		out := heads[first].e
		e, ok, err := heads[first].next()
		if err != nil {
			return entry{}, false, err
		}
		if heads[first].e = e; !ok {
			heads = slices.Delete(heads, first, first+1)
		}
		return out, true, nil
	}, nil
}
