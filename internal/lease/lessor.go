package lease

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Lessor grants leases of duties. It is part of the replicated store's state: requests are applied in the order of the log, with
// the clock of the leader that received them. It is not safe for concurrent use.
type Lessor struct {
	config Config
	duties map[string]*Record
}

// Record is a grant as it is stored in snapshots.
type Record struct {
	Grant
	Until  time.Duration // end of the lease, by the leader's clock
	Length time.Duration // length of the lease, as its holder requested
}

// NewLessor returns a lessor that has granted no duty yet.
func NewLessor(c Config) (*Lessor, error) {
	return &Lessor{config: c.withDefaults(), duties: map[string]*Record{}}, c.Check()
}

// record returns the record of a duty, a new one if there is none.
func (l *Lessor) record(name string) *Record {
	d := l.duties[name]
	if d == nil {
		d = &Record{Grant: Grant{Duty: name, Version: 1}, Length: l.config.Length}
		l.duties[name] = d
	}
	return d
}

// Grant handles a campaign: it grants a duty to who, under a new term, if the duty is free, its lease has expired, or who already
// holds it. length is part of the request, so that all members apply it alike, whatever their settings. known is the version of the
// lease that the sender knows, or AnyVersion. With an error, ErrHeld or ErrStaleVersion, Grant returns the current grant.
func (l *Lessor) Grant(now time.Duration, duty, who string, length time.Duration, known uint64) (Grant, error) {
	d := l.record(duty)
	if d.Holder != "" && d.Holder != who && now < d.Until {
		return d.Grant, fmt.Errorf("%w: %s, in term %d", ErrHeld, d.Holder, d.Term)
	}
	if known != AnyVersion && known != d.Version {
		return d.Grant, ErrStaleVersion
	}
	d.Holder, d.Term, d.Token, d.Version, d.Until, d.Length = who, d.Term+1, d.Token+1, d.Version+1, now+length, length
	return d.Grant, nil
}

// Renew extends the holder's lease to its length from now. With an error, ErrTermOver or ErrStaleVersion, it returns the current
// grant.
func (l *Lessor) Renew(now time.Duration, duty, who string, term, known uint64) (Grant, error) {
	d := l.record(duty)
	if d.Holder != who || d.Term != term {
		return d.Grant, ErrTermOver
	}
	if known != AnyVersion && known != d.Version {
		return d.Grant, ErrStaleVersion
	}
	d.Version, d.Until = d.Version+1, now+d.Length
	return d.Grant, nil
}

// Revoke frees a duty on behalf of the holder of a term; ErrTermOver means that it no longer holds the duty.
func (l *Lessor) Revoke(duty, who string, term uint64) error {
	d := l.record(duty)
	if d.Holder != who || d.Term != term {
		return ErrTermOver
	}
	d.Holder, d.Until = "", 0
	return nil
}

// Promote extends all leases to their lengths from now. It is called for the first command of a new leader, whose clock is not the
// one by which they were granted.
func (l *Lessor) Promote(now time.Duration) {
	for _, d := range l.duties {
		if d.Holder != "" {
			d.Until = now + d.Length
		}
	}
}

// Expired reports whether a duty's lease has expired by the leader's clock, or the duty is free: its last holder no longer acts.
func (l *Lessor) Expired(now time.Duration, duty string) bool {
	d := l.duties[duty]
	return d == nil || d.Holder == "" || now >= d.Until
}

// Holds reports whether a token is the current holder's: the duty was not granted since, and the lease was not revoked.
func (l *Lessor) Holds(duty string, token uint64) bool {
	d := l.duties[duty]
	return d != nil && d.Holder != "" && d.Token == token
}

// Forget removes the record of a duty, so that its tokens start again. It must be used only for duties without a fence.
func (l *Lessor) Forget(duty string) { delete(l.duties, duty) }

// Grants returns the grants of all duties that were ever requested, ordered by name.
func (l *Lessor) Grants() (list []Grant) {
	for _, name := range slices.Sorted(maps.Keys(l.duties)) {
		list = append(list, l.duties[name].Grant)
	}
	return list
}

// Snapshot returns all records, ordered by name.
func (l *Lessor) Snapshot() (list []Record) {
	for _, name := range slices.Sorted(maps.Keys(l.duties)) {
		list = append(list, *l.duties[name])
	}
	return list
}

// Restore replaces the records by a snapshot. Promote must follow before the next request, unless that request is
// of the same leader's term.
func (l *Lessor) Restore(list []Record) {
	l.duties = map[string]*Record{}
	for _, g := range list {
		g.Version = max(g.Version, 1) // snapshots of the first format have no versions
		l.duties[g.Duty] = &g
	}
}
