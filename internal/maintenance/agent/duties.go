package agent

import (
	"context"
	"fmt"
	"gullfall/internal/statemachine"
	"gullfall/internal/store"
	"maps"
	"slices"
	"time"
)

// lease returns the lease of a duty.
func (a *Agent) lease(duty string) (*store.Lease, error) {
	l := a.leases.duties[duty]
	if l == nil {
		return nil, fmt.Errorf("no duty %q; there are %v", duty, slices.Sorted(maps.Keys(a.leases.duties)))
	}
	return l, nil
}

// HandOver resigns a duty that this coordinator holds, and does not campaign for it for the length of one lease.
func (a *Agent) HandOver(ctx context.Context, duty string) error {
	l, err := a.lease(duty)
	if err != nil {
		return err
	}
	if _, ok := l.MayAct(); !ok {
		return fmt.Errorf("%s does not hold %s", a.opts.Name, duty)
	}
	return l.ResignAndPause(ctx)
}

// DutyAttempt is the result of TryDuty.
type DutyAttempt struct {
	Duty, Who string
	Holds     bool  // whether it holds the duty, by its own clock
	At        int64 // time at which Holds was determined, Unix nanoseconds
	Token     uint64
	Accepted  bool   // the store accepted a write under the token
	Index     uint64 // index of the write in the store's log
	Why       string `json:",omitempty"` // why the write was not accepted
}

// TryDuty reports whether this coordinator holds a duty. If it does, TryDuty writes to the store under the duty's token, as holders
// do; the store rejects an outdated token.
func (a *Agent) TryDuty(ctx context.Context, duty string) (t DutyAttempt, err error) {
	l, err := a.lease(duty)
	if err != nil {
		return t, err
	}
	t = DutyAttempt{Duty: duty, Who: a.opts.Name}
	var at time.Time
	t.Token, at, t.Holds = l.MayActAt()
	if t.At = at.UnixNano(); !t.Holds {
		return t, nil
	}
	r, err := a.opts.Store.Do(ctx, statemachine.Command{Conditions: []statemachine.Condition{{Duty: duty, Token: t.Token}}, Put: []statemachine.Pair{{Key: tryKeyPrefix + duty, Value: []byte(a.opts.Name)}}})
	if err != nil {
		return t, err
	}
	t.Index, t.Accepted, t.Why = r.Index, r.Cause == "", r.Detail
	return t, nil
}
