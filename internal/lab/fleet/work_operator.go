package fleet

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"gullfall/internal/admin"
	"gullfall/internal/maintenance"
	"gullfall/internal/maintenance/agent"
	"gullfall/internal/store"
)

// RequestMaintenance requests maintenance at a coordinator, as an operator does.
func (w *MaintenanceFleet) RequestMaintenance(ctx context.Context, i int, a agent.Request) (p agent.PlanResult, err error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(10*time.Second))
	defer cancel()
	return p, admin.Call(ctx, w.socket(i), "work start", a, &p)
}

// Order gives an operator's order (such as pause, resume or cancel) on a request to a coordinator.
func (w *MaintenanceFleet) Order(ctx context.Context, i int, order string, request uint64) error {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(10*time.Second))
	defer cancel()
	var id uint64
	return admin.Call(ctx, w.socket(i), "work order", map[string]any{"By": "lab", "Word": order, "Request": request}, &id)
}

// Forget removes a coordinator that is gone for good from maintenance and from the store, by a call to another coordinator.
func (w *MaintenanceFleet) Forget(ctx context.Context, i int, name string) error {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(10*time.Second))
	defer cancel()
	var said string
	if err := admin.Call(ctx, w.socket(i), "work forget", map[string]any{"By": "lab", "Name": name}, &said); err != nil {
		return err
	}
	return admin.Call(ctx, w.socket(i), "store change", store.MemberChange{What: store.Remove, Name: name}, &said)
}

// LocalView returns a coordinator's local view of maintenance, without a read from the store's leader.
func (w *MaintenanceFleet) LocalView(ctx context.Context, i int) (v agent.View, err error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(time.Second))
	defer cancel()
	return v, admin.Call(ctx, w.socket(i), "work look", map[string]any{"Fresh": false}, &v)
}

// Holder returns the holder of the maintenance duty; see HolderOf.
func (w *MaintenanceFleet) Holder(ctx context.Context) int { return w.HolderOf(ctx, maintenance.Duty) }

// HolderOf returns the index of a duty's holder, or -1 if there is none. The highest token that any coordinator reports decides, since an
// isolated coordinator reports an outdated holder.
func (w *MaintenanceFleet) HolderOf(ctx context.Context, duty string) int {
	holder, token := -1, uint64(0)
	for i := range w.Coords {
		if !w.Up(i) {
			continue
		}
		v, err := w.LocalView(ctx, i)
		if err != nil {
			continue
		}
		for _, d := range v.Duties {
			if n, err := strconv.Atoi(strings.TrimPrefix(d.Holder, "n")); err == nil && d.Duty == duty && d.Token >= token {
				holder, token = n, d.Token
			}
		}
	}
	return holder
}

// Until waits until the view of any running coordinator meets a condition; what names the condition in the error.
func (w *MaintenanceFleet) Until(ctx context.Context, what string, end time.Time, met func(agent.View) bool) error {
	var last string
	for {
		for i := range w.Coords {
			if !w.Up(i) {
				continue
			}
			v, err := w.LocalView(ctx, i)
			if err != nil {
				last = err.Error()
				continue
			}
			if met(v) {
				return nil
			}
			last = describeRequests(v.Plan)
		}
		if !time.Now().Before(end) || ctx.Err() != nil {
			return fmt.Errorf("%s: condition not met in time%s", what, last)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// describeRequests returns the state and the reason of each request, for an error; empty without a plan.
func describeRequests(plan *maintenance.State) (text string) {
	if plan == nil {
		return ""
	}
	for _, r := range plan.Requests {
		text += fmt.Sprintf("; request %d %s: %s", r.ID, r.State, r.Why)
	}
	return text
}
