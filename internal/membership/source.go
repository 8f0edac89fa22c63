package membership

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Source is one source of a Table.
type Source struct {
	table  *Table
	source *source
}

// source is the state of one source.
type source struct {
	Spec
	index    int // in the order in which sources were added
	claims   map[string]*claim
	complete bool      // it has reported a whole list that was not cached
	heard    time.Time // when it last answered
	lease    time.Duration
	stale    bool   // the lease has run out
	held     string // why its answers are not applied, while that is logged
	serial   zoneSerial
}

// zoneSerial is the serial of a zone as a source last reported it.
type zoneSerial struct {
	value     uint32
	known     bool
	olderFrom time.Time // since when only older serials were reported; zero while that is not so
}

// newer compares serials after RFC 1982; a pair that it leaves undefined counts as not newer.
func newer(a, b uint32) bool { return a != b && int32(a-b) > 0 }

// Source adds a source; it has reported nothing yet.
func (t *Table) Source(spec Spec) *Source {
	if spec.MaxNodes <= 0 {
		spec.MaxNodes = DefaultMaxNodes
	}
	s := &source{Spec: spec, index: len(t.sources), claims: map[string]*claim{}}
	t.sources = append(t.sources, s)
	return &Source{table: t, source: s}
}

// Serial is the zone's serial as the source last reported it.
func (s *Source) Serial() (serial uint32, known bool) {
	return s.source.serial.value, s.source.serial.known
}

// Update applies an answer of the source.
func (s *Source) Update(now time.Time, u Update) Result {
	t, src := s.table, s.source
	t.advance(now)
	if !t.trust(now, src, &u) {
		return t.finish(now)
	}
	if src.held != "" && u.Basis != Truncated {
		src.held = ""
		t.note(Fresh, src, "", "")
	}
	if !u.Cached {
		t.confirm(now, src, &u)
	}
	missing := map[string]bool{}
	if u.Full {
		missing = src.present()
		if len(u.Records) == 0 && len(missing) > 0 {
			t.note(Emptied, src, "", fmt.Sprintf("%d data nodes", len(missing)))
		}
	}
	for _, rec := range u.Records {
		delete(missing, rec.ID)
		t.applyRecord(now, src, rec, &u)
	}
	for _, id := range slices.Sorted(maps.Keys(missing)) {
		t.applyRecord(now, src, Record{ID: id, State: Gone}, &u)
	}
	r := t.finish(now)
	// Only after the nodes are settled: what the first list names may have run for long.
	src.complete = src.complete || u.Full && !u.Cached
	return r
}

// confirm renews the lease of a source that has answered, and takes over the serial.
func (t *Table) confirm(now time.Time, src *source, u *Update) {
	src.heard, src.lease = now, u.Lease
	if src.stale {
		src.stale = false
		t.note(Fresh, src, "", "")
		t.markAll(src)
	}
	if u.Serialled {
		src.serial.value, src.serial.known = u.Serial, true
	}
}

// present are the ids that a source names and that are not gone by it.
func (s *source) present() map[string]bool {
	ids := map[string]bool{}
	for id, c := range s.claims {
		if c.rec.State.present() {
			ids[id] = true
		}
	}
	return ids
}

// trust tells whether an update is to be applied. It takes from the update what can't be relied on: a truncated list
// is applied as one that is not full. The guard prevents that a broken server empties the list, which would show as
// queries rejected with "no replica" everywhere at once.
func (t *Table) trust(now time.Time, src *source, u *Update) bool {
	switch {
	case u.Basis == Failed:
		return t.hold(src, u.Cause)
	case u.Cached:
		return src.heard.IsZero()
	case u.Basis == Relayed && u.Full && len(u.Records) == 0 && len(src.claims) > 0:
		return t.hold(src, "empty, and told without authority")
	}
	if u.Basis == Truncated && u.Full {
		t.hold(src, "cut short")
		u.Full = false
	}
	if u.Serialled && src.serial.known && u.Serial != src.serial.value && !newer(u.Serial, src.serial.value) {
		if src.serial.olderFrom.IsZero() {
			src.serial.olderFrom = now
		}
		if now.Sub(src.serial.olderFrom) < t.cfg.SerialHold {
			return t.hold(src, fmt.Sprintf("serial %d is older than %d", u.Serial, src.serial.value))
		}
		t.note(WentBack, src, "", fmt.Sprintf("from %d to %d", src.serial.value, u.Serial))
	}
	src.serial.olderFrom = time.Time{}
	return true
}

// hold notes, once for each cause in a row, that an answer of a source is not applied. It returns false.
func (t *Table) hold(src *source, cause string) bool {
	if src.held != cause {
		src.held = cause
		t.note(Held, src, "", cause)
	}
	return false
}

// Renew renews the lease of a source, which has answered that nothing changed.
func (s *Source) Renew(now time.Time) Result {
	t, src := s.table, s.source
	t.advance(now)
	if src.heard.IsZero() {
		return t.finish(now)
	}
	src.heard, src.serial.olderFrom = now, time.Time{}
	if src.stale || src.held != "" {
		src.held = ""
		t.note(Fresh, src, "", "")
	}
	if src.stale {
		src.stale = false
		t.markAll(src)
	}
	return t.finish(now)
}

// SerialSeen applies the serial that a zone has now, and tells whether its list is to be fetched: where the serial is
// new, or an older one has stayed for SerialHold. The same serial renews the lease.
func (s *Source) SerialSeen(now time.Time, serial uint32) (fetch bool, r Result) {
	t, src := s.table, s.source
	switch {
	case !src.serial.known || newer(serial, src.serial.value):
		t.advance(now)
		src.serial.olderFrom = time.Time{}
		return true, t.finish(now)
	case serial == src.serial.value:
		return false, s.Renew(now)
	}
	t.advance(now)
	if src.serial.olderFrom.IsZero() || now.Sub(src.serial.olderFrom) < t.cfg.SerialHold {
		t.trust(now, src, &Update{Serial: serial, Serialled: true})
		return false, t.finish(now)
	}
	return true, t.finish(now) // Update notes that the serial went back
}

// Claims are the records that a source now stands for, by id; a list to be cached over a restart.
func (s *Source) Claims() (all []Record) {
	for _, id := range slices.Sorted(maps.Keys(s.source.claims)) {
		if c := s.source.claims[id]; c.rec.State.present() {
			all = append(all, c.rec)
		}
	}
	return all
}

// due is when the source turns stale or lapses; zero where neither lies ahead.
func (s *source) due() time.Time {
	switch {
	case s.lease <= 0:
	case !s.stale:
		return s.heard.Add(s.lease)
	case s.MaxStale > 0 && len(s.claims) > 0:
		return s.heard.Add(s.lease + s.MaxStale)
	}
	return time.Time{}
}

// expire turns a source stale after its lease, and drops its claims after MaxStale.
func (t *Table) expire(now time.Time, src *source) {
	for due := src.due(); !due.IsZero() && !now.Before(due); due = src.due() {
		if !src.stale {
			src.stale = true
			t.note(Stale, src, "", fmt.Sprintf("not heard for %v", src.lease))
			t.markAll(src)
			continue
		}
		t.note(Lapsed, src, "", fmt.Sprintf("%d data nodes", len(src.claims)))
		t.markAll(src)
		for id := range src.claims {
			t.unclaim(t.nodes[id], src)
		}
	}
}

// markAll marks all nodes that a source names.
func (t *Table) markAll(src *source) {
	for id := range src.claims {
		t.toEvaluate.add(t.nodes[id])
	}
}
