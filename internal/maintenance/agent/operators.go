package agent

// This file owns what operators ask of the work on machines, and what they are shown. It must never change a plan but by
// compare-and-set.

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"gullfall/internal/lease"
	"gullfall/internal/maintenance"
	"gullfall/internal/statemachine"
	"gullfall/internal/store"
)

// Request is a request as an operator gives it.
type Request struct {
	By            string
	Machines      []string
	Zone          string // all of it
	StartedBefore int64  // Unix milliseconds: all processes older, so all of an older release
	All           bool
	Takes, Back   time.Duration
	NotBefore     int64
	DoneBy        int64
	AtOnce        int
	Barred        []maintenance.Hours
	GoOn, ByHand  bool
	DryRun        bool
}

// Planned is the answer to an Ask.
type Planned struct {
	Request uint64 // 0 for a dry run
	Plan    maintenance.Plan
	Ends    int64 // Unix seconds, wave by wave; it may be sooner
	Step    time.Duration
}

// Start plans a request, and takes it in unless it is a dry run.
func (s *Agent) Start(ctx context.Context, a Request) (p Planned, err error) {
	fleet, err := s.fleet()
	if err != nil {
		return p, err
	}
	machines := slices.Clone(a.Machines)
	for i := range fleet.Machines {
		m := &fleet.Machines[i]
		if a.All || a.Zone != "" && m.Zone == a.Zone || a.StartedBefore > 0 && m.Started > 0 && m.Started < a.StartedBefore {
			if !slices.Contains(machines, m.ID) {
				machines = append(machines, m.ID)
			}
		}
	}
	if len(machines) == 0 {
		return p, fmt.Errorf("no machine is named, and none is listed in zone %q or was started before %d", a.Zone, a.StartedBefore)
	}
	slices.Sort(machines)
	req := maintenance.Request{By: a.By, Takes: a.Takes, Back: a.Back, NotBefore: a.NotBefore, DoneBy: a.DoneBy, AtOnce: a.AtOnce, Barred: a.Barred,
		GoOn: a.GoOn, ByHand: a.ByHand}
	take := func(plan *maintenance.State) error {
		r, order, err := plan.Start(time.Now(), req, machines, fleet, s.Limits, s.WarmupTime)
		p.Plan, p.Step = order, a.Takes+s.WarmupTime
		if err != nil {
			return err
		}
		p.Ends = max(time.Now().Unix(), a.NotBefore) + int64(time.Duration(len(order.Waves))*p.Step/time.Second)
		if !a.DryRun {
			p.Request = r.ID
			plan.RecordAudit(time.Now(), a.By, fmt.Sprintf("start %d: %d machines in %d waves", r.ID, len(r.Steps), r.Waves))
		}
		return nil
	}
	if a.DryRun {
		plan, _, err := s.plan()
		if err != nil {
			return p, err
		}
		return p, take(plan)
	}
	return p, s.edit(ctx, take)
}

// Order is an operator's word on a request: maintenance.Pause, Resume or Abandon.
func (s *Agent) Order(ctx context.Context, by, word string, request uint64) error {
	return s.edit(ctx, func(plan *maintenance.State) error {
		if err := plan.Order(word, request); err != nil {
			return err
		}
		plan.RecordAudit(time.Now(), by, fmt.Sprintf("%s %d", word, request))
		return nil
	})
}

// Done is the word that a machine's work is done.
func (s *Agent) Done(ctx context.Context, by, machine, as string) error {
	return s.edit(ctx, func(plan *maintenance.State) error {
		if err := plan.WorkDone(machine, as); err != nil {
			return err
		}
		plan.RecordAudit(time.Now(), by, fmt.Sprintf("done %s %s", machine, as))
		return nil
	})
}

// Forget is the word that a coordinator is gone for good: nothing waits for it any more. One that is present is not forgotten.
func (s *Agent) Forget(ctx context.Context, by, name string) error {
	known := false
	s.Store.View(func(st *statemachine.State) { _, known = st.Get(recordKey + name) })
	if !known {
		return fmt.Errorf("no coordinator %q takes part", name)
	}
	r, err := s.Store.Do(ctx, statemachine.Command{Lease: &statemachine.LeaseOp{Kind: statemachine.Forget, Presence: true, Duty: name, Who: s.Name},
		Put: []statemachine.Pair{{Key: recordKey + name}}})
	if err != nil {
		return err
	}
	if r.Failed != "" {
		return fmt.Errorf("%q is present, or was until just now; only one that has ended is gone for good", name)
	}
	return s.edit(ctx, func(plan *maintenance.State) error {
		plan.RecordAudit(time.Now(), by, "forget "+name)
		return nil
	})
}

// View is what operators are shown.
type View struct {
	Self         string
	Plan         *maintenance.State
	Coordinators []CoordinatorView
	Duties       []DutyView
	Store        store.Status
}

// CoordinatorView is one that takes part.
type CoordinatorView struct {
	Name    string
	Seen    uint64
	Clear   map[string]uint64
	Present bool // as far as is known here
}

// DutyView is a duty and who holds it.
type DutyView struct {
	lease.Grant
	LeaseS float64
}

// View is the work as it is known here; by now, or as of the store at the call where fresh is set.
func (s *Agent) View(ctx context.Context, fresh bool) (v View, err error) {
	if fresh {
		if err := s.Store.Sync(ctx); err != nil {
			return v, fmt.Errorf("the store was not heard in time; --stale shows what is known here: %w", err)
		}
	}
	v.Self, v.Store = s.Name, s.Store.Status()
	if v.Plan, _, err = s.plan(); err != nil {
		return v, err
	}
	for _, c := range s.coordinators() {
		v.Coordinators = append(v.Coordinators, CoordinatorView{c.Name, c.Seen, c.Clear, !c.Absent})
	}
	s.Store.View(func(st *statemachine.State) {
		for _, g := range st.Duties() {
			v.Duties = append(v.Duties, DutyView{Grant: g, LeaseS: s.Options.Duty.Seconds()})
		}
	})
	return v, nil
}

// lease finds a duty.
func (s *Agent) lease(duty string) (*store.Lease, error) {
	l := s.duties[duty]
	if l == nil {
		return nil, fmt.Errorf("no duty %q; there are %v", duty, slices.Sorted(maps.Keys(s.duties)))
	}
	return l, nil
}

// HandOver has this coordinator give a duty back, if it holds it, and stand back for one lease.
func (s *Agent) HandOver(ctx context.Context, duty string) error {
	l, err := s.lease(duty)
	if err != nil {
		return err
	}
	if _, ok := l.MayAct(); !ok {
		return fmt.Errorf("%s does not hold %s", s.Name, duty)
	}
	return l.StandBack(ctx)
}

// DutyAttempt is what came of trying a duty.
type DutyAttempt struct {
	Duty, Who string
	Holds     bool  // by this coordinator's own clock
	At        int64 // the moment of that, Unix nanoseconds
	Token     uint64
	Accepted  bool   // the store took something under the token
	Index     uint64 // of it in the store's log
	Why       string `json:",omitempty"` // it was not taken
}

// TryDuty tells whether this coordinator holds a duty, and writes to the store under its token, as whoever acts on it does: the
// store turns an old one back.
func (s *Agent) TryDuty(ctx context.Context, duty string) (t DutyAttempt, err error) {
	l, err := s.lease(duty)
	if err != nil {
		return t, err
	}
	t = DutyAttempt{Duty: duty, Who: s.Name}
	var at time.Time
	t.Token, at, t.Holds = l.Claim()
	if t.At = at.UnixNano(); !t.Holds {
		return t, nil
	}
	r, err := s.Store.Do(ctx, statemachine.Command{If: []statemachine.Condition{{Duty: duty, Token: t.Token}}, Put: []statemachine.Pair{{Key: triedKey + duty, Value: []byte(s.Name)}}})
	if err != nil {
		return t, err
	}
	t.Index, t.Accepted, t.Why = r.Index, r.Failed == "", r.Why
	return t, nil
}
