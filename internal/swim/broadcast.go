package swim

import (
	"cmp"
	"math"
	"slices"
)

// broadcastQueue holds the updates and link reports that are passed on with packets, each a limited number of times.
type broadcastQueue struct {
	items    []*broadcast   // by how often each was sent, then the newest first
	byMember map[string]int // updates among them
	added    int            // since the start
}

// broadcast is one update or one link report.
type broadcast struct {
	update *Update
	link   *Link
	sent   int
	number int // in the order of being added
}

func (b *broadcast) size() int {
	if b.update != nil {
		return b.update.size()
	}
	return b.link.size()
}

// overriddenBy tells whether an update makes this one obsolete. Suspicions by several members are kept beside each other.
func (b *broadcast) overriddenBy(u *Update) bool {
	if b.update == nil || b.update.Name != u.Name {
		return false
	}
	confirms := b.update.State == Suspect && u.State == Suspect && b.update.By != u.By
	return !confirms
}

// addUpdate queues an update in place of those that it makes obsolete.
func (q *broadcastQueue) addUpdate(u Update) {
	if q.byMember[u.Name] > 0 { // most updates are on members of which none is queued
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

// addLink queues a link report in place of an earlier one by the same member.
func (q *broadcastQueue) addLink(l Link) {
	q.items = slices.DeleteFunc(q.items, func(b *broadcast) bool { return b.link != nil && b.link.key() == l.key() })
	q.add(&broadcast{link: &l})
}

func (q *broadcastQueue) add(b *broadcast) {
	q.added++
	b.number = q.added
	q.items = slices.Insert(q.items, 0, b)
	if b.update != nil {
		q.byMember[b.update.Name]++
	}
	for len(q.items) > maxMembers {
		last := len(q.items) - 1
		q.dequeued(q.items[last])
		q.items = q.items[:last]
	}
}

// dequeued notes that a broadcast is no longer queued.
func (q *broadcastQueue) dequeued(b *broadcast) {
	if b.update == nil {
		return
	}
	if q.byMember[b.update.Name]--; q.byMember[b.update.Name] == 0 {
		delete(q.byMember, b.update.Name)
	}
}

// fill adds to a message what was sent least, up to a number of bytes. What was sent limit times is done.
func (q *broadcastQueue) fill(msg *Message, bytes, limit int) {
	taken := 0
	for _, b := range q.items {
		if bytes -= b.size(); bytes < 0 {
			break
		}
		b.sent++
		taken++
		if b.update != nil {
			msg.Updates = append(msg.Updates, *b.update)
		} else {
			msg.Links = append(msg.Links, *b.link)
		}
	}
	sent := slices.Clone(q.items[:taken])
	q.items = q.items[taken:] // in order already
	for _, b := range sent {
		if b.sent >= limit {
			q.dequeued(b)
			continue
		}
		at, _ := slices.BinarySearchFunc(q.items, b, func(a, b *broadcast) int {
			return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.number, a.number))
		})
		q.items = slices.Insert(q.items, at, b)
	}
}

// withUpdates adds updates to a message for a member; first, where it is taken for suspect or dead, that (Lifeguard, buddy
// system).
func (s *Swim) withUpdates(msg Message, to *member) Message {
	bytes := s.cfg.MaxUpdateBytes
	if to.State != Alive {
		msg.Updates = append(msg.Updates, to.Update)
		bytes -= to.size()
	}
	s.broadcasts.fill(&msg, bytes, s.cfg.RetransmitMult*int(math.Ceil(s.logMembers())))
	return msg
}
