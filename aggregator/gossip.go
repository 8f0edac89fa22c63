package aggregator

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// maxGossipBytes is the maximum size of a gossip message.
	maxGossipBytes = 256
	// gossipEntryBytes is the size of an entry: two bytes for the replica's tag and one for kind and duration.
	gossipEntryBytes = 3
	// gossipLevels is the number of levels into which durations up to the longest latency objective are quantized. The
	// third byte of an entry holds the level of the work sent, or gossipLevels plus the level of an excess.
	gossipLevels = 127
	// minGossipTicks is the number of ticks without a message after which an excess is sent.
	minGossipTicks = 10
)

// gossipKind is the kind of a gossip entry.
type gossipKind uint8

const (
	gossipSent   gossipKind = iota // work of the given duration was sent to it
	gossipExcess                   // an answer exceeded the base latency by the given duration
)

// gossipEntry is one entry of a gossip message. Durations are rounded to levels of the longest latency objective, which is
// the same for all aggregators.
type gossipEntry struct {
	tag      uint16
	kind     gossipKind
	duration time.Duration
}

// gossipOutbox holds the entries of the next gossip message.
type gossipOutbox struct {
	entries []gossipEntry
	sentAt  time.Duration // time of the last message
}

// peerLoad is the work that other aggregators reported as sent to one replica.
type peerLoad struct {
	work float64 // in seconds, as of at
	at   time.Duration
}

// replicaTag returns a 16-bit hash of a replica's name. Replicas with the same tag share their hints.
func replicaTag(name string) uint16 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // a hash never returns an error
	return uint16(h.Sum32()>>16 ^ h.Sum32())
}

// encodeGossip encodes entries until the message is full; longest is the longest latency objective.
func encodeGossip(entries []gossipEntry, longest time.Duration) (data []byte) {
	for _, e := range entries {
		if len(data)+gossipEntryBytes > maxGossipBytes {
			break
		}
		level := math.Round(gossipLevels * float64(e.duration) / float64(longest))
		value := byte(math.Max(1, math.Min(level, gossipLevels-1)))
		if e.kind == gossipExcess {
			value += gossipLevels
		}
		data = append(data, byte(e.tag>>8), byte(e.tag), value)
	}
	return data
}

// decodeGossip decodes the entries of a message. A message that is too long yields none; trailing bytes are ignored.
func decodeGossip(data []byte, longest time.Duration) (entries []gossipEntry) {
	if len(data) > maxGossipBytes {
		return nil
	}
	for ; len(data) >= gossipEntryBytes; data = data[gossipEntryBytes:] {
		e := gossipEntry{tag: uint16(data[0])<<8 | uint16(data[1]), kind: gossipSent}
		level := data[2]
		if level > gossipLevels {
			e.kind, level = gossipExcess, level-gossipLevels
		}
		e.duration = time.Duration(float64(level) / gossipLevels * float64(longest))
		entries = append(entries, e)
	}
	return entries
}

// recordGossip adds an entry to the next message, if gossip is permitted. Work sent to the same replica is summed.
func (a *Aggregator) recordGossip(r *replica, kind gossipKind, duration time.Duration) {
	if !a.settings.Limits.Gossip {
		return
	}
	for i := range a.outbox.entries {
		if e := &a.outbox.entries[i]; kind == gossipSent && e.kind == kind && e.tag == r.tag {
			e.duration += duration
			return
		}
	}
	a.outbox.entries = append(a.outbox.entries, gossipEntry{r.tag, kind, duration})
}

// publishGossip sends the pending entries to the other aggregators: at once after a send, otherwise after minGossipTicks,
// as every receiver pays for the bytes of a message.
func (a *Aggregator) publishGossip() {
	entries := a.outbox.entries
	if len(entries) == 0 {
		return
	}
	sentWork := entries[len(entries)-1].kind == gossipSent
	if sentWork || a.now-a.outbox.sentAt > minGossipTicks*a.settings.Tick {
		a.emit(Action{Kind: SendGossip, Data: encodeGossip(entries, a.maxObjective())})
		a.outbox.entries, a.outbox.sentAt = entries[:0], a.now
	}
}

// applyGossip applies a message of another aggregator. Its entries are hints on listed replicas only: they count in
// placement and forecasts, yield to what this aggregator has recently observed itself, and eject no replica.
func (a *Aggregator) applyGossip(e *Event) {
	for _, entry := range decodeGossip(e.Data, a.maxObjective()) {
		r := a.endpoints.byTag[entry.tag]
		if r == nil {
			continue
		}
		if entry.kind == gossipSent {
			r.peerLoad.work, r.peerLoad.at = a.decayedPeerWork(r)+entry.duration.Seconds(), a.now
		} else if r.latency.lastAnswer == 0 || a.now-r.latency.lastAnswer > a.freshness() {
			excess := a.decayedExcess(r)
			r.latency.excess, r.latency.excessAt = excess+gossipSampleWeight*(entry.duration.Seconds()-excess), a.now
		}
	}
}

// decayedPeerWork returns the work that other aggregators sent to r and that may still be pending, in seconds.
func (a *Aggregator) decayedPeerWork(r *replica) float64 {
	return r.peerLoad.work * math.Exp(-(a.now-r.peerLoad.at).Seconds()/a.typicalLatency())
}
