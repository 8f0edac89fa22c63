package store

// This file owns the decision how much of the log is kept behind a snapshot, and how often one is taken: by bytes, since an entry is
// anything from a lease's hundred bytes to a list of all data nodes. It must never read the log.

import "slices"

// The bounds of what is kept behind a snapshot.
const (
	trailingBytes        = 4 << 20 // a member away for a minute is sent the entries; for a day, a snapshot
	minTrailing          = 16      // entries
	maxTrailing          = 65_536
	snapshotBytes        = 2 << 20 // bytes of entries: what a start replays beside the snapshot
	minSnapshotThreshold = 32      // entries
	maxSnapshotThreshold = 16_384
)

// sizes are those of the log's entries, in order.
type entrySizes struct {
	first uint64 // index of the first
	list  []int32
}

// add notes an entry: the next one, one that takes the place of a later end, or one behind a gap.
func (s *entrySizes) add(index uint64, n int) {
	switch at := index - s.first; {
	case len(s.list) == 0 || index < s.first || at > uint64(len(s.list)):
		s.first, s.list = index, s.list[:0]
	default:
		s.list = s.list[:at]
	}
	if s.list = append(s.list, int32(min(n, 1<<30))); len(s.list) > 2*maxTrailing {
		s.list = slices.Clone(s.list[len(s.list)-maxTrailing:])
		s.first = index + 1 - maxTrailing
	}
}

// cut takes in that the log ends with an index that is there.
func (s *entrySizes) truncate(last uint64) {
	s.list = s.list[:min(uint64(len(s.list)), last+1-s.first)]
}

// plan is how many entries are kept behind a snapshot, and after how many the next one is taken.
func (s *entrySizes) retention() (trailing, threshold uint64) {
	sum, n := 0, 0
	for ; n < len(s.list) && n < maxTrailing && sum < trailingBytes; n++ {
		sum += int(s.list[len(s.list)-1-n]) + 64
	}
	if n == 0 {
		return minTrailing, minSnapshotThreshold
	}
	mean := sum / n
	return clamp(trailingBytes/mean, minTrailing, maxTrailing), clamp(snapshotBytes/mean, minSnapshotThreshold, maxSnapshotThreshold)
}

func clamp(n, least, most int) uint64 { return uint64(max(least, min(n, most))) }
