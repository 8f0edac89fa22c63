package kv

import "slices"

// Salvage returns the complete batches of corrupt segments, ordered by sequence number and without duplicates, and the ranges of
// sequence numbers that are lost.
func Salvage(segments []Segment) (saved []Entry, lost [][2]uint64) {
	for _, s := range segments {
		for at := 0; at+recordHeaderSize <= len(s.Bytes); {
			r, size, ok := decodeRecord(s.Bytes[at:])
			group, err := decodeGroup(r.payload)
			if !ok || r.kind != kindGroup || err != nil {
				at++
				continue
			}
			for i, b := range group {
				saved = append(saved, Entry{r.seq + uint64(i), b})
			}
			at += size
		}
	}
	slices.SortStableFunc(saved, func(a, b Entry) int {
		switch {
		case a.Seq < b.Seq:
			return -1
		case a.Seq > b.Seq:
			return 1
		}
		return 0
	})
	saved = slices.CompactFunc(saved, func(a, b Entry) bool { return a.Seq == b.Seq })
	for i := 1; i < len(saved); i++ {
		if saved[i].Seq > saved[i-1].Seq+1 {
			lost = append(lost, [2]uint64{saved[i-1].Seq + 1, saved[i].Seq - 1})
		}
	}
	return saved, lost
}
