package swimsim

import (
	"math/rand/v2"
	"time"
)

// heartbeatSize is the size of a heartbeat packet in bytes.
const heartbeatSize = 60

// heartbeat is a failure detector that sends a heartbeat to the receivers once a period, and considers a member dead
// if none has arrived from it for a fixed time.
type heartbeat struct {
	self      int
	receivers int // it sends to the members with a lower index than this
	period    time.Duration
	timeout   time.Duration
	nextBeat  time.Duration
	lastHeard []time.Duration // by member; empty if this member does not watch the others
	now       time.Duration
}

func newHeartbeat(self, n, watchers int, period, timeout, now time.Duration, rng *rand.Rand) *heartbeat {
	h := &heartbeat{self: self, receivers: watchers, period: period, timeout: timeout, nextBeat: now + time.Duration(rng.Float64()*float64(period)), now: now}
	for range n {
		if self >= watchers {
			break
		}
		h.lastHeard = append(h.lastHeard, now)
	}
	return h
}

func (h *heartbeat) step(now time.Duration, in []any) (list []packet) {
	h.now = now
	for _, body := range in {
		if from, ok := body.(int); ok {
			h.lastHeard[from] = now
		}
	}
	if now >= h.nextBeat {
		for j := range h.receivers {
			if j != h.self {
				list = append(list, packet{to: j, body: h.self, size: heartbeatSize})
			}
		}
		h.nextBeat = now + h.period
	}
	return list
}

func (h *heartbeat) next() time.Duration { return h.nextBeat }
func (h *heartbeat) dead(i int) bool {
	return i != h.self && len(h.lastHeard) > 0 && h.now-h.lastHeard[i] > h.timeout
}
func (h *heartbeat) alive(i int) bool { return !h.dead(i) }
