package swim

import (
	"cmp"
	"math"
	"slices"
)

// broadcastQueue holds the updates and link reports to send with packets, each a limited number of times.
type broadcastQueue struct {
	items           []*broadcast   // sorted by how often each was sent, then newest first
	updatesByMember map[string]int // number of queued updates by member
	added           int            // total since the start
}

// broadcast is a queued update or link report.
type broadcast struct {
	update    *Update
	link      *Link
	sendCount int
	sequence  int // increases in the order of adding
}

func (b *broadcast) size() int {
	if b.update != nil {
		return b.update.size()
	}
	return b.link.size()
}

// overriddenBy reports whether an update makes this broadcast obsolete. Suspicions by different members do not.
func (b *broadcast) overriddenBy(u *Update) bool {
	if b.update == nil || b.update.Name != u.Name {
		return false
	}
	confirms := b.update.State == Suspect && u.State == Suspect && b.update.By != u.By
	return !confirms
}

// addUpdate queues an update and removes those that it makes obsolete.
func (q *broadcastQueue) addUpdate(u Update) {
	if q.updatesByMember[u.Name] > 0 { // usually no update on the member is queued
		q.items = slices.DeleteFunc(q.items, func(b *broadcast) bool {
			overridden := b.overriddenBy(&u)
			if overridden {
				q.dequeued(b)
			}
			return overridden
		})
	}
	q.add(&broadcast{update: &u})
}

// addLink queues a link report and removes an earlier one on the same link by the same member.
func (q *broadcastQueue) addLink(l Link) {
	q.items = slices.DeleteFunc(q.items, func(b *broadcast) bool { return b.link != nil && b.link.key() == l.key() })
	q.add(&broadcast{link: &l})
}

func (q *broadcastQueue) add(b *broadcast) {
	q.added++
	b.sequence = q.added
	q.items = slices.Insert(q.items, 0, b)
	if b.update != nil {
		q.updatesByMember[b.update.Name]++
	}
	for len(q.items) > maxMembers {
		last := len(q.items) - 1
		q.dequeued(q.items[last])
		q.items = q.items[:last]
	}
}

// dequeued updates the counts by member for a broadcast that is no longer queued.
func (q *broadcastQueue) dequeued(b *broadcast) {
	if b.update == nil {
		return
	}
	if q.updatesByMember[b.update.Name]--; q.updatesByMember[b.update.Name] == 0 {
		delete(q.updatesByMember, b.update.Name)
	}
}

// fill adds the least sent broadcasts to a message, up to a number of bytes. It drops those that were sent maxSends times.
func (q *broadcastQueue) fill(msg *Message, bytes, maxSends int) {
	taken := 0
	for _, b := range q.items {
		if bytes -= b.size(); bytes < 0 {
			break
		}
		b.sendCount++
		taken++
		if b.update != nil {
			msg.Updates = append(msg.Updates, *b.update)
		} else {
			msg.Links = append(msg.Links, *b.link)
		}
	}
	sent := slices.Clone(q.items[:taken])
	q.items = q.items[taken:] // still sorted
	for _, b := range sent {
		if b.sendCount >= maxSends {
			q.dequeued(b)
			continue
		}
		index, _ := slices.BinarySearchFunc(q.items, b, func(a, b *broadcast) int {
			return cmp.Or(cmp.Compare(a.sendCount, b.sendCount), cmp.Compare(b.sequence, a.sequence))
		})
		q.items = slices.Insert(q.items, index, b)
	}
}

// withUpdates adds updates to a message for a member. If the member is considered suspect or dead, that update comes first
// (Lifeguard, buddy system).
func (s *Swim) withUpdates(msg Message, to *member) Message {
	bytes := s.cfg.MaxUpdateBytes
	if to.State != Alive {
		msg.Updates = append(msg.Updates, to.Update)
		bytes -= to.size()
	}
	s.broadcasts.fill(&msg, bytes, s.cfg.RetransmitMult*int(math.Ceil(s.log10Members())))
	return msg
}
