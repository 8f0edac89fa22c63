package fleet

// Here are the history of who held which duty: what coordinators answered when they were asked to act on it, and the checker
// that reads it. It must never take an answer that did not come for a refusal: what was asked may have been taken.

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

// DutyHistory is what was answered, in the order in which it came.
type DutyHistory struct {
	mu  sync.Mutex
	all []agent.DutyAttempt
}

// Add notes an answer.
func (h *DutyHistory) Add(t agent.DutyAttempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all = append(h.all, t)
}

// Handover is one change of a duty's holder.
type Handover struct {
	Duty, From, To string
	Token          uint64        // the new holder's
	At             time.Time     // when the old one was last seen to hold it
	Gap            time.Duration // from then to when the new one first was
}

// DutyVerdict is what the history shows.
type DutyVerdict struct {
	Claims    int // answers of those that held a duty
	Accepted  int // of them, writes that the store took
	Refused   int // and that it turned back
	Handovers []Handover
	Double    int // pairs of holders that both held a duty at one moment, or held one token
	Stale     int // writes that the store took after it had taken one under a higher token
	Said      []string
}

// dutyHold is one token's holder, and when it was first and last seen to hold the duty, in nanoseconds since the epoch.
type dutyHold struct {
	who         string
	token       uint64
	first, last int64
}

// Check reads the history: for each duty, a token has one holder; from its first claim to its last nobody claims another; and in
// the order of the store's log tokens only grow.
func (h *DutyHistory) Check() (v DutyVerdict) {
	h.mu.Lock()
	defer h.mu.Unlock()
	holds, taken := v.collect(h.all)
	for duty, byToken := range holds {
		v.checkHolders(duty, byToken)
		v.checkWrites(duty, taken[duty])
	}
	slices.SortFunc(v.Handovers, func(a, b Handover) int { return a.At.Compare(b.At) })
	return v
}

// say notes what broke, the first 20 times.
func (v *DutyVerdict) say(format string, args ...any) {
	if len(v.Said) < 20 {
		v.Said = append(v.Said, fmt.Sprintf(format, args...))
	}
}

// collect counts the claims, and returns by duty who held each token and the writes that the store took.
func (v *DutyVerdict) collect(all []agent.DutyAttempt) (holds map[string]map[uint64]*dutyHold, taken map[string][]agent.DutyAttempt) {
	holds, taken = map[string]map[uint64]*dutyHold{}, map[string][]agent.DutyAttempt{}
	for _, t := range all {
		if !t.Holds {
			continue
		}
		v.Claims++
		if holds[t.Duty] == nil {
			holds[t.Duty] = map[uint64]*dutyHold{}
		}
		x := holds[t.Duty][t.Token]
		if x == nil {
			x = &dutyHold{t.Who, t.Token, t.At, t.At}
			holds[t.Duty][t.Token] = x
		}
		if x.who != t.Who {
			v.Double++
			v.say("%s: token %d is held by %s and %s", t.Duty, t.Token, x.who, t.Who)
		}
		x.first, x.last = min(x.first, t.At), max(x.last, t.At)
		switch {
		case t.Accepted:
			v.Accepted++
			taken[t.Duty] = append(taken[t.Duty], t)
		case t.Why != "":
			v.Refused++
		}
	}
	return holds, taken
}

// checkHolders counts a duty's hand-overs, and the pairs of holders that held it at one moment.
func (v *DutyVerdict) checkHolders(duty string, byToken map[uint64]*dutyHold) {
	list := slices.SortedFunc(maps.Values(byToken), func(a, b *dutyHold) int { return cmp.Compare(a.token, b.token) })
	for i := 1; i < len(list); i++ {
		a, b := list[i-1], list[i]
		if gap := time.Duration(b.first - a.last); gap < 0 {
			v.Double++
			v.say("%s: %s with token %d and %s with token %d both held it for %v", duty, a.who, a.token, b.who, b.token, -gap)
		} else {
			v.Handovers = append(v.Handovers, Handover{duty, a.who, b.who, b.token, time.Unix(0, a.last), gap})
		}
	}
}

// checkWrites counts the writes that the store took after it had taken one under a higher token.
func (v *DutyVerdict) checkWrites(duty string, writes []agent.DutyAttempt) {
	slices.SortFunc(writes, func(a, b agent.DutyAttempt) int { return cmp.Compare(a.Index, b.Index) })
	for i := 1; i < len(writes); i++ {
		if writes[i].Token < writes[i-1].Token {
			v.Stale++
			v.say("%s: the store took token %d at %d after token %d at %d", duty, writes[i].Token, writes[i].Index, writes[i-1].Token, writes[i-1].Index)
		}
	}
}

// Try asks a coordinator to act on a duty; an error is an answer that did not come.
func (w *MaintenanceFleet) Try(ctx context.Context, i int, duty string) (t agent.DutyAttempt, err error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(2*time.Second))
	defer cancel()
	return t, admin.Call(ctx, w.socket(i), "duties try", map[string]any{"Name": duty}, &t)
}

// HandOn has a coordinator give a duty back.
func (w *MaintenanceFleet) HandOn(ctx context.Context, i int, duty string) error {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(5*time.Second))
	defer cancel()
	return admin.Call(ctx, w.socket(i), "duties hand-on", map[string]any{"Name": duty}, new(json.RawMessage))
}

// Acts asks all coordinators to act on duties, again and again until ctx ends, and keeps what they answer.
func (w *MaintenanceFleet) Acts(ctx context.Context, h *DutyHistory, every time.Duration, duties ...string) {
	var wg sync.WaitGroup
	for i := range w.Coords {
		for _, duty := range duties {
			wg.Go(func() {
				for ctx.Err() == nil {
					if t, err := w.Try(ctx, i, duty); err == nil {
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
