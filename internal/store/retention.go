package store

import "slices"

// How much of the log is retained behind a snapshot, and how often one is taken. Both are bounded in bytes, since an entry is
// anything from a lease of a hundred bytes to a list of all data nodes.
const (
	trailingBytes        = 4 << 20 // enough to send entries to a member that was down for a minute; after a day it is sent a snapshot
	minTrailing          = 16      // entries
	maxTrailing          = 65_536
	snapshotBytes        = 2 << 20 // bytes of entries between snapshots; a restart replays them
	minSnapshotThreshold = 32      // entries
	maxSnapshotThreshold = 16_384
)

// entrySizes are the sizes in bytes of the log's entries, in order.
type entrySizes struct {
	first uint64 // index of the first entry
	list  []int32
}

// add records the size of an entry: the next one, one that replaces the end of the log from its index on, or one behind a gap, after
// which the list starts again.
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

// truncate drops the sizes behind a new last index, which must be in the list.
func (s *entrySizes) truncate(last uint64) {
	s.list = s.list[:min(uint64(len(s.list)), last+1-s.first)]
}

// retention returns how many entries are kept behind a snapshot, and after how many the next one is taken.
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

// adjustRetention sets how much of the log is retained, and how often a snapshot is taken, according to the sizes of the entries.
// Differences of less than a quarter are ignored.
func (s *Store) adjustRetention() {
	if s.disk == nil {
		return
	}
	s.disk.mu.Lock()
	trailing, threshold := s.disk.entrySizes.retention()
	s.disk.mu.Unlock()
	current := s.raft.ReloadableConfig()
	differs := func(a, b uint64) bool { return 4*a > 5*b || 4*b > 5*a }
	if !differs(trailing, current.TrailingLogs) && !differs(threshold, current.SnapshotThreshold) {
		return
	}
	current.TrailingLogs, current.SnapshotThreshold = trailing, threshold
	if err := s.raft.ReloadConfig(current); err != nil {
		s.log.Warn("store's log retention can't be changed", "cause", err)
	}
}
