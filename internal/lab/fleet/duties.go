package fleet

// This file records which coordinator held which duty, from the coordinators' answers to requests to act on it, and checks the record.
// A missing answer must never count as a rejection: the write may have been accepted.

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"gullfall/internal/admin"
	"gullfall/internal/maintenance/agent"
)

// DutyHistory holds the answered attempts in the order of their arrival. It is safe for concurrent use.
type DutyHistory struct {
	mu       sync.Mutex
	attempts []agent.DutyAttempt
}

// Add appends an answer.
func (h *DutyHistory) Add(t agent.DutyAttempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts = append(h.attempts, t)
}

// Handover is one change of a duty's holder.
type Handover struct {
	Duty, From, To string
	Token          uint64        // of the new holder
	At             time.Time     // last claim of the old holder
	Gap            time.Duration // from At to the first claim of the new holder
}

// DutyVerdict is the result of checking a DutyHistory.
type DutyVerdict struct {
	Claims     int // answers of coordinators that held the duty
	Accepted   int // claims whose write the store accepted
	Refused    int // claims whose write the store rejected
	Handovers  []Handover
	Double     int      // pairs of holders that held a duty at the same time, or under the same token
	Stale      int      // writes that the store accepted after one under a higher token
	Violations []string // descriptions of the first 20 violations
}

// tokenHolder is the coordinator that held a duty under a token, with its first and last claim in Unix nanoseconds.
type tokenHolder struct {
	name        string
	token       uint64
	first, last int64
}

// Check checks for each duty that a token has only one holder, that no other holder claims the duty between the first and the last
// claim of a token, and that tokens never decrease in the order of the store's log.
func (h *DutyHistory) Check() (v DutyVerdict) {
	h.mu.Lock()
	defer h.mu.Unlock()
	holders, accepted := v.collect(h.attempts)
	for duty, byToken := range holders {
		v.checkHolders(duty, byToken)
		v.checkWrites(duty, accepted[duty])
	}
	slices.SortFunc(v.Handovers, func(a, b Handover) int { return a.At.Compare(b.At) })
	return v
}

// addViolation records a violation, up to 20 of them.
func (v *DutyVerdict) addViolation(format string, args ...any) {
	if len(v.Violations) < 20 {
		v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
	}
}

// collect counts the claims and returns, by duty, the holder of each token and the accepted writes.
func (v *DutyVerdict) collect(all []agent.DutyAttempt) (holders map[string]map[uint64]*tokenHolder, accepted map[string][]agent.DutyAttempt) {
	holders, accepted = map[string]map[uint64]*tokenHolder{}, map[string][]agent.DutyAttempt{}
	for _, t := range all {
		if !t.Holds {
			continue
		}
		v.Claims++
		if holders[t.Duty] == nil {
			holders[t.Duty] = map[uint64]*tokenHolder{}
		}
		x := holders[t.Duty][t.Token]
		if x == nil {
			x = &tokenHolder{t.Who, t.Token, t.At, t.At}
			holders[t.Duty][t.Token] = x
		}
		if x.name != t.Who {
			v.Double++
			v.addViolation("%s: token %d is held by both %s and %s", t.Duty, t.Token, x.name, t.Who)
		}
		x.first, x.last = min(x.first, t.At), max(x.last, t.At)
		switch {
		case t.Accepted:
			v.Accepted++
			accepted[t.Duty] = append(accepted[t.Duty], t)
		case t.Why != "":
			v.Refused++
		}
	}
	return holders, accepted
}

// checkHolders counts a duty's handovers and the pairs of holders that held it at the same time.
func (v *DutyVerdict) checkHolders(duty string, byToken map[uint64]*tokenHolder) {
	list := slices.SortedFunc(maps.Values(byToken), func(a, b *tokenHolder) int { return cmp.Compare(a.token, b.token) })
	for i := 1; i < len(list); i++ {
		a, b := list[i-1], list[i]
		if gap := time.Duration(b.first - a.last); gap < 0 {
			v.Double++
			v.addViolation("%s: %s with token %d and %s with token %d held it at the same time for %v", duty, a.name, a.token, b.name, b.token, -gap)
		} else {
			v.Handovers = append(v.Handovers, Handover{duty, a.name, b.name, b.token, time.Unix(0, a.last), gap})
		}
	}
}

// checkWrites counts the writes that the store accepted after one under a higher token.
func (v *DutyVerdict) checkWrites(duty string, writes []agent.DutyAttempt) {
	slices.SortFunc(writes, func(a, b agent.DutyAttempt) int { return cmp.Compare(a.Index, b.Index) })
	for i := 1; i < len(writes); i++ {
		if writes[i].Token < writes[i-1].Token {
			v.Stale++
			v.addViolation("%s: the store accepted token %d at index %d after token %d at index %d", duty, writes[i].Token, writes[i].Index, writes[i-1].Token, writes[i-1].Index)
		}
	}
}

// TryDuty asks a coordinator to act on a duty. After an error the outcome is unknown.
func (w *MaintenanceFleet) TryDuty(ctx context.Context, i int, duty string) (t agent.DutyAttempt, err error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(2*time.Second))
	defer cancel()
	return t, admin.Call(ctx, w.socket(i), "duties try", map[string]any{"Name": duty}, &t)
}

// HandOver has a coordinator give up a duty, so that another takes it over.
func (w *MaintenanceFleet) HandOver(ctx context.Context, i int, duty string) error {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(5*time.Second))
	defer cancel()
	return admin.Call(ctx, w.socket(i), "duties hand-on", map[string]any{"Name": duty}, new(json.RawMessage))
}

// PollDuties asks every coordinator, at the given interval until ctx ends, to act on each of the duties, and adds the answers to h.
func (w *MaintenanceFleet) PollDuties(ctx context.Context, h *DutyHistory, every time.Duration, duties ...string) {
	var wg sync.WaitGroup
	for i := range w.Coords {
		for _, duty := range duties {
			wg.Go(func() {
				for ctx.Err() == nil {
					if t, err := w.TryDuty(ctx, i, duty); err == nil {
						h.Add(t)
					}
					select {
					case <-ctx.Done():
					case <-time.After(every):
					}
				}
			})
		}
	}
	wg.Wait()
}
