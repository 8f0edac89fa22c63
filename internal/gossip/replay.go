package gossip

import "sync"

const (
	maxWindows   = 20_000 // processes that are remembered
	windowLength = 64     // counters
)

// replayFilter accepts each packet once, so that a recorded packet can't bring back a member that has left. It is safe for
// concurrent use.
type replayFilter struct {
	mu      sync.Mutex               // guards the fields below
	windows map[uint64]*replayWindow // by the sender's process
	oldest  []uint64                 // processes in the order in which they were first seen
}

// replayWindow tells which of a process's counters have come: the highest, and those below it, as in RFC 4303, 3.4.3.
type replayWindow struct {
	highest uint64
	seen    uint64 // bit i: highest-i has come
}

// accept notes a counter, and tells whether it is new.
func (f *replayFilter) accept(process, counter uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.windows[process]
	if w == nil {
		if len(f.oldest) >= maxWindows {
			delete(f.windows, f.oldest[0])
			f.oldest = f.oldest[1:]
		}
		w = &replayWindow{}
		f.windows[process] = w
		f.oldest = append(f.oldest, process)
	}
	return w.accept(counter)
}

func (w *replayWindow) accept(counter uint64) bool {
	if counter > w.highest {
		if by := counter - w.highest; by < windowLength {
			w.seen = w.seen<<by | 1
		} else {
			w.seen = 1
		}
		w.highest = counter
		return true
	}
	age := w.highest - counter
	if age >= windowLength || w.seen&(1<<age) != 0 {
		return false
	}
	w.seen |= 1 << age
	return true
}
