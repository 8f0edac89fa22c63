package membership

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Source is one source of a Table, through which its updates are applied.
type Source struct {
	table  *Table
	source *sourceState
}

// sourceState is the state of one source.
type sourceState struct {
	Spec
	index        int // in the order in which sources were added
	claims       map[string]*claim
	fullListSeen bool      // it has reported a full list that was not cached
	lastAnswer   time.Time // when it last answered
	lease        time.Duration
	stale        bool   // the lease has expired
	heldCause    string // cause of the latest ListHeld note; empty after an answer that is applied in full
	serial       dnsSerial
}

// dnsSerial is the serial of a source's DNS zone as last reported.
type dnsSerial struct {
	value      uint32
	known      bool
	olderSince time.Time // since when only older serials have been reported; zero if the last one was not older
}

// serialNewer reports whether serial a follows b by RFC 1982; false if that leaves their order undefined.
func serialNewer(a, b uint32) bool { return a != b && int32(a-b) > 0 }

// AddSource adds a source that has reported nothing yet.
func (t *Table) AddSource(spec Spec) *Source {
	if spec.MaxNodes <= 0 {
		spec.MaxNodes = DefaultMaxNodes
	}
	s := &sourceState{Spec: spec, index: len(t.sources), claims: map[string]*claim{}}
	t.sources = append(t.sources, s)
	return &Source{table: t, source: s}
}

// Serial returns the serial of the source's DNS zone as last reported.
func (s *Source) Serial() (serial uint32, known bool) {
	return s.source.serial.value, s.source.serial.known
}

// Update applies an answer of the source.
func (s *Source) Update(now time.Time, u Update) Result {
	t, src := s.table, s.source
	t.advance(now)
	if !t.accept(now, src, &u) {
		return t.finish(now)
	}
	if src.heldCause != "" && u.Reliability != Truncated {
		src.heldCause = ""
		t.note(SourceFresh, src, "", "")
	}
	if !u.Cached {
		t.confirm(now, src, &u)
	}
	missing := map[string]bool{}
	if u.Full {
		missing = src.presentIDs()
		if len(u.Records) == 0 && len(missing) > 0 {
			t.note(ListEmptied, src, "", fmt.Sprintf("%d data nodes", len(missing)))
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
	// Set only after the evaluation: the data nodes of the first full list may have been running for long, and must not count
	// as just started.
	src.fullListSeen = src.fullListSeen || u.Full && !u.Cached
	return r
}

// confirm renews the lease of a source that has answered, and stores the serial.
func (t *Table) confirm(now time.Time, src *sourceState, u *Update) {
	src.lastAnswer, src.lease = now, u.Lease
	if src.stale {
		src.stale = false
		t.note(SourceFresh, src, "", "")
		t.markAllNodes(src)
	}
	if u.HasSerial {
		src.serial.value, src.serial.known = u.Serial, true
	}
}

// presentIDs returns the ids that the source claims as serving or draining.
func (s *sourceState) presentIDs() map[string]bool {
	ids := map[string]bool{}
	for id, c := range s.claims {
		if c.rec.State.present() {
			ids[id] = true
		}
	}
	return ids
}

// accept reports whether an update is to be applied. It also corrects the update: a truncated list is applied as one that
// is not full. Its checks keep a broken server from emptying the list, which would make queries fail with "no replica"
// at all shards at once.
func (t *Table) accept(now time.Time, src *sourceState, u *Update) bool {
	switch {
	case u.Reliability == Failed:
		return t.noteHeld(src, u.Cause)
	case u.Cached:
		return src.lastAnswer.IsZero()
	case u.Reliability == NonAuthoritative && u.Full && len(u.Records) == 0 && len(src.claims) > 0:
		return t.noteHeld(src, "empty, and not authoritative")
	}
	if u.Reliability == Truncated && u.Full {
		t.noteHeld(src, "cut short")
		u.Full = false
	}
	if u.HasSerial && src.serial.known && u.Serial != src.serial.value && !serialNewer(u.Serial, src.serial.value) {
		if src.serial.olderSince.IsZero() {
			src.serial.olderSince = now
		}
		if now.Sub(src.serial.olderSince) < t.cfg.SerialHold {
			return t.noteHeld(src, fmt.Sprintf("serial %d is older than %d", u.Serial, src.serial.value))
		}
		t.note(SerialRegressed, src, "", fmt.Sprintf("from %d to %d", src.serial.value, u.Serial))
	}
	src.serial.olderSince = time.Time{}
	return true
}

// noteHeld adds a ListHeld note, but only one while the cause stays the same. It always returns false, so that accept can
// return its result.
func (t *Table) noteHeld(src *sourceState, cause string) bool {
	if src.heldCause != cause {
		src.heldCause = cause
		t.note(ListHeld, src, "", cause)
	}
	return false
}

// Renew renews the lease of a source that has answered without changes.
func (s *Source) Renew(now time.Time) Result {
	t, src := s.table, s.source
	t.advance(now)
	if src.lastAnswer.IsZero() {
		return t.finish(now)
	}
	src.lastAnswer, src.serial.olderSince = now, time.Time{}
	if src.stale || src.heldCause != "" {
		src.heldCause = ""
		t.note(SourceFresh, src, "", "")
	}
	if src.stale {
		src.stale = false
		t.markAllNodes(src)
	}
	return t.finish(now)
}

// CheckSerial applies the current serial of the source's DNS zone and reports whether the list is to be fetched: if the
// serial is newer, or if older ones have been reported for SerialHold. The same serial renews the lease.
func (s *Source) CheckSerial(now time.Time, serial uint32) (fetch bool, r Result) {
	t, src := s.table, s.source
	switch {
	case !src.serial.known || serialNewer(serial, src.serial.value):
		t.advance(now)
		src.serial.olderSince = time.Time{}
		return true, t.finish(now)
	case serial == src.serial.value:
		return false, s.Renew(now)
	}
	t.advance(now)
	if src.serial.olderSince.IsZero() || now.Sub(src.serial.olderSince) < t.cfg.SerialHold {
		t.accept(now, src, &Update{Serial: serial, HasSerial: true})
		return false, t.finish(now)
	}
	return true, t.finish(now) // Update adds the note on the older serial
}

// Claims returns the records that a source claims as serving or draining, by id, as a list to be cached across a restart.
func (s *Source) Claims() (all []Record) {
	for _, id := range slices.Sorted(maps.Keys(s.source.claims)) {
		if c := s.source.claims[id]; c.rec.State.present() {
			all = append(all, c.rec)
		}
	}
	return all
}

// expiresAt returns when the source turns stale or its claims expire; zero if neither will happen.
func (s *sourceState) expiresAt() time.Time {
	switch {
	case s.lease <= 0:
	case !s.stale:
		return s.lastAnswer.Add(s.lease)
	case s.MaxStale > 0 && len(s.claims) > 0:
		return s.lastAnswer.Add(s.lease + s.MaxStale)
	}
	return time.Time{}
}

// expire marks a source as stale once its lease has expired, and drops its claims after a further MaxStale.
func (t *Table) expire(now time.Time, src *sourceState) {
	for due := src.expiresAt(); !due.IsZero() && !now.Before(due); due = src.expiresAt() {
		if !src.stale {
			src.stale = true
			t.note(SourceStale, src, "", fmt.Sprintf("no answer for %v", src.lease))
			t.markAllNodes(src)
			continue
		}
		t.note(SourceExpired, src, "", fmt.Sprintf("%d data nodes", len(src.claims)))
		t.markAllNodes(src)
		for id := range src.claims {
			t.dropClaim(t.nodes[id], src)
		}
	}
}

// markAllNodes marks for evaluation all nodes that a source claims.
func (t *Table) markAllNodes(src *sourceState) {
	for id := range src.claims {
		t.toEvaluate.add(t.nodes[id])
	}
}
