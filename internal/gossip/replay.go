package gossip

import "sync"

const (
	maxWindows   = 20_000 // sender processes that are tracked
	windowLength = 64     // counters in a window
)

// replayFilter accepts each packet once, so that a replayed packet can't bring back a member that has left. It is safe for
// concurrent use.
type replayFilter struct {
	mu            sync.Mutex               // guards the fields below
	windows       map[uint64]*replayWindow // by the sender's process
	evictionOrder []uint64                 // processes in the order in which they were first seen; the first is evicted next
}

// replayWindow records which counters of a process have been received: the highest, and those below it, as in RFC 4303, section 3.4.3.
type replayWindow struct {
	highest uint64
	seen    uint64 // bit i is set if highest-i has been received
}

// accept records a counter and reports whether it is new.
func (f *replayFilter) accept(process, counter uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.windows[process]
	if w == nil {
		if len(f.evictionOrder) >= maxWindows {
			delete(f.windows, f.evictionOrder[0])
			f.evictionOrder = f.evictionOrder[1:]
		}
		w = &replayWindow{}
		f.windows[process] = w
		f.evictionOrder = append(f.evictionOrder, process)
	}
	return w.accept(counter)
}

func (w *replayWindow) accept(counter uint64) bool {
	if counter > w.highest {
		if shift := counter - w.highest; shift < windowLength {
			w.seen = w.seen<<shift | 1
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
