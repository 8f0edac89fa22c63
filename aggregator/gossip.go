package aggregator

import (
	"hash/fnv"
	"math"
	"time"
)

// peerBytes is the most that a message between front nodes holds.
const maxGossipBytes = 256

// newsSteps is how many steps the longest aim has.
const gossipSteps = 127

// newsKind is what one entry of a message tells of a replica.
type gossipKind uint8

const (
	gossipSent   gossipKind = iota // work was sent to it
	gossipExcess                   // an answer took so much longer than on an unloaded replica
)

// news is one entry: two bytes that stand for the replica's name and one for kind and span. Spans are told
// in steps of a share of the longest aim, which all nodes are told alike.
type gossipEntry struct {
	tag  uint16
	kind gossipKind
	span time.Duration
}

// tagOf shortens a replica's name. Two replicas of a fleet seldom share a tag; where they do, they share
// their hints.
func replicaTag(name string) uint16 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return uint16(h.Sum32()>>16 ^ h.Sum32())
}

// pack writes entries until the message is full.
func encodeGossip(list []gossipEntry, aim time.Duration) (data []byte) {
	for _, n := range list {
		if len(data)+3 > maxGossipBytes {
			break
		}
		steps := math.Round(gossipSteps * float64(n.span) / float64(aim))
		v := byte(math.Max(1, math.Min(steps, gossipSteps-1)))
		if n.kind == gossipExcess {
			v += gossipSteps
		}
		data = append(data, byte(n.tag>>8), byte(n.tag), v)
	}
	return data
}

// unpack reads the entries of a message. What is too long is no message; a rest is skipped.
func decodeGossip(data []byte, aim time.Duration) (list []gossipEntry) {
	if len(data) > maxGossipBytes {
		return nil
	}
	for ; len(data) >= 3; data = data[3:] {
		n := gossipEntry{tag: uint16(data[0])<<8 | uint16(data[1]), kind: gossipSent}
		steps := data[2]
		if steps > gossipSteps {
			n.kind, steps = gossipExcess, steps-gossipSteps
		}
		n.span = time.Duration(float64(steps) / gossipSteps * float64(aim))
		list = append(list, n)
	}
	return list
}

// tellPeers tells the other nodes, where it may, what this one has sent and seen: at once after a send, else
// now and then. A message costs its bytes for each receiver.
func (a *Aggregator) publishGossip() {
	if len(a.outbox.entries) > 0 && (a.outbox.entries[len(a.outbox.entries)-1].kind == gossipSent || a.now-a.outbox.sentAt > 10*a.settings.Tick) {
		a.out = append(a.out, Action{Kind: SendGossip, Data: encodeGossip(a.outbox.entries, a.maxObjective())})
		a.outbox.entries, a.outbox.sentAt = a.outbox.entries[:0], a.now
	}
}

// takePeerNews takes in what another node sent and saw. These are hints of listed replicas, for ties and
// the forecast; what this node has just heard of a replica itself comes first, and no hint ejects.
func (a *Aggregator) applyGossip(e *Event) {
	for _, n := range decodeGossip(e.Data, a.maxObjective()) {
		r := a.endpoints.byTag[n.tag]
		switch {
		case r == nil:
		case n.kind == gossipSent:
			r.peerLoad.work, r.peerLoad.at = a.decayedPeerWork(r)+n.span.Seconds(), a.now
		case r.latency.lastAnswer == 0 || a.now-r.latency.lastAnswer > a.freshness():
			r.latency.excess, r.latency.excessAt = a.decayedExcess(r)+excessSampleWeight/2*(n.span.Seconds()-a.decayedExcess(r)), a.now
		}
	}
}

// note keeps an entry for the next message, where there are any; work sent to one replica adds up.
func (a *Aggregator) recordGossip(r *replica, kind gossipKind, span time.Duration) {
	if !a.settings.Limits.Gossip {
		return
	}
	for i := range a.outbox.entries {
		if n := &a.outbox.entries[i]; kind == gossipSent && n.kind == kind && n.tag == r.tag {
			n.span += span
			return
		}
	}
	a.outbox.entries = append(a.outbox.entries, gossipEntry{r.tag, kind, span})
}

// others is the work that other nodes were heard to have sent to r, as far as it may still be there.
func (a *Aggregator) decayedPeerWork(r *replica) float64 {
	return r.peerLoad.work * math.Exp(-(a.now-r.peerLoad.at).Seconds()/a.typicalLatency())
}

// peerLoad is the work that other aggregators said they sent to one replica.
type peerLoad struct {
	work float64 // seconds, as of peerWorkAt
	at   time.Duration
}

// gossipOutbox holds what the next gossip message says.
type gossipOutbox struct {
	entries []gossipEntry
	sentAt  time.Duration
}
