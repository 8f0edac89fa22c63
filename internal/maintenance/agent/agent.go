// Package agent does one coordinator's part in taking machines out for work: it follows the plan in the coordinators' store,
// tells core what may not be sent to, says in the store what it has seen and where nothing is out any more, and makes the moves
// while it holds the duty. The decisions are internal/maintenance's; what is settled is internal/statemachine's. It owns its record
// in the store, its two leases and the hook's processes. It must never say that a machine is clear before core says so, nor
// make a move without the duty's token.
package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"gullfall/internal/coordinator"
	"gullfall/internal/lease"
	"gullfall/internal/maintenance"
	"gullfall/internal/observations"
	"gullfall/internal/statemachine"
	"gullfall/internal/store"
)

// The keys in the store.
const (
	planKey   = "work/plan"
	recordKey = "work/coordinator/" // and the coordinator's name
	triedKey  = "duties/"           // and the duty's
)

// Options are set before Start.
type Options struct {
	Store       *store.Store
	Coordinator *coordinator.Coordinator
	Name        string
	Log         *slog.Logger
	Layout      maintenance.Layout
	Limits      maintenance.Limits
	WarmupTime  time.Duration // that a cold data node needs
	// Longest is the longest time of an attempt, so of a query: once nothing has been begun for so long, nothing is out.
	LongestAttempt time.Duration
	PresenceBound  time.Duration // that announced machines may be sent to without a word from the store
	Duty           time.Duration // length of the duty's lease
	Drift          float64       // by how much clocks may run fast or slow
	Every          time.Duration // between looks at the plan while the duty is held
	Duties         []string      // further duties to campaign for
	Hook           []string      // called with out or done and the machine; none while empty
	HookFor        time.Duration // longest that the hook may take
	Budget         int           // bytes of plans that the holder writes in a second
	// Learned is what all coordinators have told of a data node; nil where they don't talk.
	Observations func(node string) observations.View
}

// record is what a coordinator says in the store.
type record struct {
	Seen  uint64
	Clear map[string]uint64 `json:",omitempty"`
}

// Agent is one coordinator's part.
type Agent struct {
	Options
	start    time.Time
	budget   *rate.Limiter
	duty     *store.Lease            // of the work on machines
	duties   map[string]*store.Lease // by name, that one too
	presence *store.Lease
	stop     context.CancelFunc
	wg       sync.WaitGroup

	mu       sync.Mutex
	seen     uint64 // calls that are applied here
	said     uint64 // of them, those that were applied while present
	clear    map[string]uint64
	turns    map[string]uint64 // of machines that are barred
	revision uint64            // of the plan that core goes by
	adopted  bool              // there is one
	logged   uint64            // moves told in the log
	told     map[string]uint64
	handed   map[string]uint64 // out: turns of which the hook was told
	calls    map[string]bool   // hooks that run
	retryAt  map[string]time.Time
	renewals map[string]renewal
}

// renewal is when a presence was last seen to be renewed, by our own clock.
type renewal struct {
	kept lease.Record
	at   time.Time
}

// mostHooks is how many hooks run at once.
const mostHooks = 8

// Start takes part from now on. Core must have been told WatchWork.
func Start(o Options) *Agent {
	ctx, stop := context.WithCancel(context.Background())
	s := &Agent{Options: o, start: time.Now(), budget: rate.NewLimiter(rate.Limit(o.Budget), o.Budget), stop: stop, clear: map[string]uint64{}, told: map[string]uint64{}, handed: map[string]uint64{},
		calls: map[string]bool{}, retryAt: map[string]time.Time{}, renewals: map[string]renewal{}}
	// The presence ends here by the longest attempt before it ends in the store: what was begun until then has its end.
	own := lease.Config{Length: time.Duration(float64(o.PresenceBound+o.LongestAttempt)*(1+o.Drift)/(1-o.Drift)) + time.Millisecond, Drift: o.Drift, Renew: 0.2}
	s.presence = &store.Lease{Store: o.Store, Duty: o.Name, Presence: true, Who: o.Name, Config: own, Log: o.Log, Put: s.record,
		Granted: func(until time.Time) {
			if _, ok := s.follow(); ok { // what is settled goes first
				o.Coordinator.ExtendPresence(until.Add(-o.LongestAttempt))
			}
		}}
	s.duty = &store.Lease{Store: o.Store, Duty: maintenance.Duty, Who: o.Name, Config: lease.Config{Length: o.Duty, Drift: o.Drift}, Log: o.Log}
	s.duties = map[string]*store.Lease{maintenance.Duty: s.duty}
	for _, name := range o.Duties {
		s.duties[name] = &store.Lease{Store: o.Store, Duty: name, Who: o.Name, Config: s.duty.Config, Log: o.Log}
	}
	s.remember()
	s.wg.Go(func() { s.presence.Run(ctx, time.Millisecond) })
	for _, l := range s.duties {
		s.wg.Go(func() { l.Run(ctx, o.PresenceBound/8) })
	}
	s.wg.Go(func() { s.watch(ctx) })
	s.wg.Go(func() { s.lead(ctx) })
	return s
}

// remember starts from what this coordinator had applied before, if it had said then that it takes part: every request that
// went on without hearing of us since was in it. Else nothing is known, and nothing is sent before the store has been heard.
func (s *Agent) remember() {
	raw := s.Store.Get(recordKey + s.Name)
	if !s.Store.Persistent() || len(raw) == 0 {
		return
	}
	var r record
	if err := json.Unmarshal(raw, &r); err != nil {
		return
	}
	plan, err := decode(s.Store.Get(planKey))
	if err != nil || plan.Seen() < r.Seen {
		s.Log.Warn("what was kept of the work on machines is not used; nothing is sent before the store is heard", "cause", err)
		return
	}
	s.mu.Lock()
	s.seen, s.said = r.Seen, r.Seen
	s.mu.Unlock()
	s.Coordinator.SetMaintenance(workOf(plan))
}

func decode(raw []byte) (*maintenance.State, error) {
	plan := &maintenance.State{}
	if len(raw) == 0 {
		return plan, nil
	}
	if err := json.Unmarshal(raw, plan); err != nil {
		return nil, fmt.Errorf("plan in the store: %w", err)
	}
	return plan, nil
}

func workOf(plan *maintenance.State) coordinator.Maintenance {
	o := plan.Overlay()
	return coordinator.Maintenance{Excluded: o.Excluded, Addrs: o.Addrs, Announced: o.Announced, Returned: o.Returned}
}

// plan is the plan as it is applied here, and its revision; ok is false until this member has caught up with what it had
// before.
func (s *Agent) plan() (plan *maintenance.State, revision uint64, err error) {
	var e statemachine.Entry
	var at uint64
	s.Store.View(func(st *statemachine.State) { e, _ = st.Get(planKey); at = st.Index() })
	if at == 0 {
		return nil, 0, errors.New("the store has not been heard yet")
	}
	plan, err = decode(e.Value)
	return plan, e.Revision, err
}

// record is what this coordinator says in the store.
func (s *Agent) record() []statemachine.Pair {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, _ := json.Marshal(record{s.said, s.clear})
	return []statemachine.Pair{{Key: recordKey + s.Name, Value: data}}
}

// watch follows the plan, and says what is seen and clear.
func (s *Agent) watch(ctx context.Context) {
	for ctx.Err() == nil {
		changed := s.Store.Changed()
		if news, _ := s.follow(); news {
			s.say(ctx)
		}
		timer := time.NewTimer(20 * time.Millisecond) // an attempt's end is no change of the store
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// follow tells core what the plan as it is applied here says, and notes what is clear. It tells whether the store lacks any of
// it; ok is false where nothing can be said yet.
func (s *Agent) follow() (news, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok = s.adopt(); !ok {
		return false, false
	}
	clear := map[string]uint64{}
	for id, turn := range s.turns {
		if s.clear[id] == turn || s.Coordinator.Idle(id) {
			clear[id] = turn
		}
	}
	s.clear = clear
	// Without presence a part may be out at a machine that was not called when it was sent. It is said that a call was seen only
	// while present: then such parts end before the store holds the presence for over. Nor is it said while the disk may hold an
	// older plan: after a restart that would be gone by, and what was called since would be sent to without presence.
	if s.Coordinator.IsPresent() && (!s.Store.Persistent() || s.Store.Durable()) {
		s.said = s.seen
	}
	var kept record
	if raw := s.Store.Get(recordKey + s.Name); len(raw) == 0 || json.Unmarshal(raw, &kept) != nil {
		return true, true
	}
	return kept.Seen != s.said || !maps.Equal(kept.Clear, clear), true
}

// adopt takes over the plan, where it is another than the one that core goes by. The caller holds the lock.
func (s *Agent) adopt() bool {
	var e statemachine.Entry
	var at uint64
	s.Store.View(func(st *statemachine.State) { e, _ = st.Get(planKey); at = st.Index() })
	if at == 0 {
		return false
	}
	if s.adopted && e.Revision == s.revision {
		return true
	}
	plan, err := decode(e.Value)
	if err != nil {
		s.Log.Error("plan not understood; what is known of it holds", "cause", err)
		return false
	}
	if plan.Seen() < s.seen {
		return false // this member has not yet caught up with what it had seen before
	}
	for _, m := range plan.Recent {
		if m.N > s.logged {
			s.logged = m.N
			s.Log.Info("machine in work", "n", m.N, "request", m.Request, "machine", m.Machine, "to", m.To.String(), "why", m.Why)
		}
	}
	s.Coordinator.SetMaintenance(workOf(plan))
	s.seen, s.turns, s.revision, s.adopted = plan.Seen(), plan.Overlay().Turns, e.Revision, true
	return true
}

// say writes this coordinator's record. One that was forgotten by an operator writes it too: it is here.
func (s *Agent) say(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(time.Second))
	defer cancel()
	if r, err := s.Store.Do(ctx, statemachine.Command{Put: s.record()}); err == nil {
		s.Store.Wait(ctx, r.Index)
	}
}

// coordinators are all that ever took part and were not forgotten.
func (s *Agent) coordinators() (list []maintenance.Coordinator) {
	present := map[string]lease.Record{}
	s.Store.View(func(st *statemachine.State) {
		for key, e := range st.Values() {
			name, ok := strings.CutPrefix(key, recordKey)
			var r record
			if ok && json.Unmarshal(e.Value, &r) == nil {
				list = append(list, maintenance.Coordinator{Name: name, Seen: r.Seen, Clear: r.Clear})
			}
		}
		for _, k := range st.Present() {
			present[k.Duty] = k
		}
	})
	slices.SortFunc(list, func(a, b maintenance.Coordinator) int { return strings.Compare(a.Name, b.Name) })
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range list {
		k := present[list[i].Name]
		if old, ok := s.renewals[list[i].Name]; !ok || old.kept != k {
			s.renewals[list[i].Name] = renewal{k, time.Now()}
		}
		// Our own count only says when it is worth asking the store, which decides by its table.
		list[i].Absent = k.Holder == "" || time.Since(s.renewals[list[i].Name].at) > k.Length+k.Length/20
	}
	maps.DeleteFunc(s.renewals, func(name string, _ renewal) bool {
		return !slices.ContainsFunc(list, func(c maintenance.Coordinator) bool { return c.Name == name })
	})
	return list
}

// told takes into a machine what others have told of it: who fails for another, or is cold to it, holds no shard up either, and its own
// report to another counts where it has made none here.
func told(m maintenance.Machine, v observations.View) maintenance.Machine {
	if m.Healthy = m.Healthy && !v.Suspect && v.WarmingFor == 0; m.Util == 0 && v.Utilization > 0 {
		m.Util = v.Utilization
	}
	return m
}

// fleet is the fleet as this coordinator sees it.
func (s *Agent) fleet() (*maintenance.Fleet, error) {
	var list []maintenance.Machine
	for _, l := range s.Coordinator.DataNodes() {
		m := maintenance.Machine{ID: l.ID, Addr: l.Addr, Zone: l.Zone, ShardSet: l.ShardSet, Weight: l.Weight, Serving: l.State == coordinator.Serving, Util: l.Utilization}
		if m.Healthy = m.Serving && !l.WarmingUp && !l.Suspect; !l.Started.IsZero() {
			m.Started = l.Started.UnixMilli()
		}
		if s.Observations != nil {
			m = told(m, s.Observations(l.ID))
		}
		if l.State != coordinator.Gone {
			list = append(list, m)
		}
	}
	return maintenance.NewFleet(s.Layout, list)
}

// lead makes moves for as long as the duty is held.
func (s *Agent) lead(ctx context.Context) {
	tick := time.NewTicker(s.Every)
	defer tick.Stop()
	var timer *maintenance.Timer
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if _, ok := s.duty.MayAct(); !ok {
			timer = nil
			s.mu.Lock()
			clear(s.told)
			clear(s.handed)
			clear(s.renewals)
			s.mu.Unlock()
			continue
		}
		if timer == nil {
			// What another holder settled is to be known before the first move.
			one, cancel := context.WithDeadline(ctx, time.Now().Add(time.Second))
			err := s.Store.Sync(one)
			cancel()
			if err != nil {
				continue
			}
			timer = &maintenance.Timer{}
		}
		if err := s.move(ctx, timer); err != nil && ctx.Err() == nil {
			s.Log.Warn("no move was made", "cause", err)
		}
	}
}

// move looks once and makes what moves there are, in one command.
func (s *Agent) move(ctx context.Context, timer *maintenance.Timer) error {
	plan, revision, err := s.plan()
	if err != nil || len(plan.Requests) == 0 {
		return err
	}
	// What the plan says is known to core before the fleet is looked at: who comes back is cold from then on.
	if _, ok := s.follow(); !ok {
		return nil
	}
	fleet, err := s.fleet()
	if err != nil {
		return err
	}
	v := &maintenance.View{Now: time.Since(s.start), Wall: time.Now(), Fleet: fleet, Limits: s.Limits, WarmupTime: s.WarmupTime, Coordinators: s.coordinators(),
		Overloaded: s.Coordinator.Overloaded()}
	if len(s.Hook) > 0 {
		s.mu.Lock()
		v.HookDone = maps.Clone(s.told)
		s.mu.Unlock()
	}
	s.hooks(ctx, plan)
	if s.budget.TokensAt(time.Now()) < 0 { // the last plan was written beyond it
		return nil
	}
	moves, changed := plan.Step(v, timer)
	if !changed {
		return nil
	}
	data, err := json.Marshal(plan)
	if err != nil {
		return err
	}
	token, ok := s.duty.MayAct()
	if !ok {
		return nil
	}
	for left, now := len(data), time.Now(); left > 0; left -= s.Budget {
		s.budget.ReserveN(now, min(left, s.Budget))
	}
	c := statemachine.Command{If: []statemachine.Condition{{Key: planKey, Revision: revision}, {Duty: maintenance.Duty, Token: token}},
		Put: []statemachine.Pair{{Key: planKey, Value: data}}}
	for _, m := range moves {
		for _, name := range m.Lapsed {
			c.If = append(c.If, statemachine.Condition{Lapsed: name})
		}
	}
	one, cancel := context.WithDeadline(ctx, time.Now().Add(2*time.Second))
	defer cancel()
	r, err := s.Store.Do(one, c)
	if err == nil && r.Failed != "" && r.Failed != statemachine.Conflict {
		err = r.Err()
	}
	if err == nil {
		err = s.Store.Wait(one, r.Index)
	}
	if err != nil {
		return fmt.Errorf("%d moves: %w", len(moves), err)
	}
	if r.Failed != "" {
		s.Log.Info("moves not taken; looked at anew", "moves", len(moves), "cause", r.Why)
	}
	return nil
}

// edit changes the plan by an operator's word, whoever else changes it meanwhile.
func (s *Agent) edit(ctx context.Context, change func(*maintenance.State) error) error {
	for {
		if err := s.Store.Sync(ctx); err != nil {
			return fmt.Errorf("the store was not heard in time; try again, or at another coordinator: %w", err)
		}
		plan, revision, err := s.plan()
		if err != nil {
			return err
		}
		if err := change(plan); err != nil {
			return err
		}
		data, err := json.Marshal(plan)
		if err != nil {
			return err
		}
		r, err := s.Store.Do(ctx, statemachine.Command{If: []statemachine.Condition{{Key: planKey, Revision: revision}}, Put: []statemachine.Pair{{Key: planKey, Value: data}}})
		switch {
		case err != nil:
			return fmt.Errorf("the store did not answer in time, so it may or may not have been taken; look with `gullfall work list`: %w", err)
		case r.Failed == "":
			return s.Store.Wait(ctx, r.Index)
		case r.Failed != statemachine.Conflict:
			return r.Err()
		}
	}
}

// Leave gives all duties back at once, so that others take them over; this coordinator goes on taking part.
func (s *Agent) Leave(ctx context.Context) error {
	var all errgroup.Group
	for _, l := range s.duties {
		all.Go(func() error { return l.StandBack(ctx) })
	}
	return all.Wait()
}

// Close ends the part. Where quiet is set nothing is out or begun any more anywhere, and the presence is given back by ctx's
// deadline, so that nobody waits for it to run out.
func (s *Agent) Close(ctx context.Context, quiet bool) {
	s.Coordinator.ExtendPresence(time.Time{})
	if quiet {
		s.presence.Resign(ctx)
	}
	s.stop()
	s.wg.Wait()
}
