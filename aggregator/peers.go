package aggregator

import (
	"hash/fnv"
	"math"
	"time"
)

// peerBytes is the most that a message between front nodes holds.
const peerBytes = 256

// newsKind is what one entry of a message tells of a replica.
type newsKind uint8

const (
	newsSent   newsKind = iota // work was sent to it
	newsExcess                 // an answer took so much longer than on an unloaded replica
)

// news is one entry: two bytes that stand for the replica's name and one for kind and span. Spans are told
// in steps of a share of the longest aim, which all nodes are told alike.
type news struct {
	tag  uint16
	kind newsKind
	span time.Duration
}

// newsSteps is how many steps the longest aim has.
const newsSteps = 127

// tagOf shortens a replica's name. Two replicas of a fleet seldom share a tag; where they do, they share
// their hints.
func tagOf(name string) uint16 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return uint16(h.Sum32()>>16 ^ h.Sum32())
}

// pack writes entries until the message is full.
func pack(list []news, aim time.Duration) (data []byte) {
	for _, n := range list {
		if len(data)+3 > peerBytes {
			break
		}
		steps := math.Round(newsSteps * float64(n.span) / float64(aim))
		v := byte(math.Max(1, math.Min(steps, newsSteps-1)))
		if n.kind == newsExcess {
			v += newsSteps
		}
		data = append(data, byte(n.tag>>8), byte(n.tag), v)
	}
	return data
}

// unpack reads the entries of a message. What is too long is no message; a rest is skipped.
func unpack(data []byte, aim time.Duration) (list []news) {
	if len(data) > peerBytes {
		return nil
	}
	for ; len(data) >= 3; data = data[3:] {
		n := news{tag: uint16(data[0])<<8 | uint16(data[1]), kind: newsSent}
		steps := data[2]
		if steps > newsSteps {
			n.kind, steps = newsExcess, steps-newsSteps
		}
		n.span = time.Duration(float64(steps) / newsSteps * float64(aim))
		list = append(list, n)
	}
	return list
}

// note keeps an entry for the next message, where there are any; work sent to one replica adds up.
func (a *Aggregator) note(r *replica, kind newsKind, span time.Duration) {
	if !a.set.Limits.Gossip {
		return
	}
	for i := range a.news {
		if n := &a.news[i]; kind == newsSent && n.kind == kind && n.tag == r.tag {
			n.span += span
			return
		}
	}
	a.news = append(a.news, news{r.tag, kind, span})
}
