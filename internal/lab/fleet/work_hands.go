package fleet

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"gullfall/internal/maintenance"
)

// hands work on the machines that are handed over: each is left running for a while, so that what is sent to it is seen, and is
// then started anew.
func (w *MaintenanceFleet) hands(ctx context.Context) {
	at, back := map[string]uint64{}, map[string]uint64{} // turns that were taken up, and seen to return
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		for i := range w.Coords {
			w.settleSometimes(i)
			if !w.Up(i) {
				continue
			}
			v, err := w.Look(ctx, i)
			if err != nil || v.Plan == nil {
				continue
			}
			w.check(v.Plan)
			w.follow(ctx, v.Plan, at, back)
		}
	}
}

// follow takes up the machines that a plan hands over and counts those that return, each turn once.
func (w *MaintenanceFleet) follow(ctx context.Context, plan *maintenance.State, at, back map[string]uint64) {
	for _, r := range plan.Requests {
		for _, st := range r.Steps {
			if st.State == maintenance.Out && at[st.Machine] < st.Turn {
				at[st.Machine] = st.Turn
				w.wg.Go(func() { w.work(ctx, st.Machine, st.Started) })
			}
			if st.State == maintenance.Returning && back[st.Machine] < st.Turn {
				back[st.Machine] = st.Turn
				w.countReturn(st.Machine)
			}
		}
	}
}

// countReturn adds the parts that come to a machine within the next second to Returns.
func (w *MaintenanceFleet) countReturn(machine string) {
	before := w.Ledger.Account().Starts[machine]
	time.AfterFunc(time.Second, func() {
		came := w.Ledger.Account().Starts[machine] - before
		w.mu.Lock()
		defer w.mu.Unlock()
		w.Returns = append(w.Returns, came)
	})
}

func (w *MaintenanceFleet) settleSometimes(i int) {
	w.mu.Lock()
	well := !time.Now().Before(w.busy[i])
	w.mu.Unlock()
	if !well {
		w.settle(i) // what befalls its clients until then is left out
	}
}

// work is the hands' part on one machine, whose process was started then as it was drained.
func (w *MaintenanceFleet) work(ctx context.Context, machine string, started int64) {
	for i, n := range w.Nodes {
		if n.ID != machine {
			continue
		}
		w.hand[i].Lock()
		defer w.hand[i].Unlock()
		if n.Started.UnixMilli() != started {
			// It crashed as it was called and came up anew since it was handed over: that is its return, and it gets parts again.
			w.mu.Lock()
			w.Faults.Overtaken++
			w.mu.Unlock()
			return
		}
		before := w.Ledger.Account().Starts[machine]
		select {
		case <-time.After(w.o.Work):
		case <-ctx.Done():
			return
		}
		sent := w.Ledger.Account().Starts[machine] - before
		w.mu.Lock()
		w.Faults.HandedOver++
		if w.Faults.SentWhileOut += sent; sent > 0 {
			w.Faults.Said = append(w.Faults.Said, fmt.Sprintf("%d parts were sent to %s while it was out", sent, machine))
		}
		w.mu.Unlock()
		n.Kill()
		if err := w.startNode(i); err != nil {
			w.mu.Lock()
			w.Faults.Said = append(w.Faults.Said, err.Error())
			w.mu.Unlock()
		}
	}
}

// check takes in a plan: how it gets on, and whether a shard has fewer replicas outside work than its floor.
func (w *MaintenanceFleet) check(plan *maintenance.State) {
	inWork := map[string]bool{}
	for _, r := range plan.Requests {
		for _, st := range r.Steps {
			if st.State > maintenance.Waiting && st.State < maintenance.Done || st.State == maintenance.Failed {
				inWork[st.Machine] = true
			}
		}
	}
	w.noteProgress(plan, inWork)
	w.checkFloors(inWork)
}

// noteProgress takes in which machines are in work, and how long an open request has seen no move.
func (w *MaintenanceFleet) noteProgress(plan *maintenance.State, inWork map[string]bool) {
	open := false
	for _, r := range plan.Requests {
		open = open || r.State == maintenance.Open
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.steps = inWork
	if plan.Moved > w.moved || w.since.IsZero() || !open {
		w.moved, w.since = max(w.moved, plan.Moved), time.Now()
	}
	w.Stalled = max(w.Stalled, time.Since(w.since))
}

// checkFloors counts the shards that have fewer replicas outside work than their floor.
func (w *MaintenanceFleet) checkFloors(inWork map[string]bool) {
	for shard := range workShards {
		left := 0
		for _, n := range w.Nodes {
			if d := (n.Cell - shard%workCells + workCells) % workCells; d < workReach && !inWork[n.ID] {
				left++
			}
		}
		if left < w.o.Floor {
			w.mu.Lock()
			w.Faults.FloorBroken++
			w.Faults.Said = append(w.Faults.Said, fmt.Sprintf("shard %d has %d replicas outside work, fewer than %d", shard, left, w.o.Floor))
			w.mu.Unlock()
		}
	}
}

// history takes in the moves that a coordinator has logged, and compares them with those of the others.
func (w *MaintenanceFleet) history(c *Coordinator) {
	for _, line := range c.Lines(`msg="machine in work" `) {
		_, rest, _ := strings.Cut(line, " n=")
		number, rest, _ := strings.Cut(rest, " ")
		text, _, _ := strings.Cut(rest, " why=")
		n, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			continue
		}
		w.mu.Lock()
		if old, ok := w.orders[n]; !ok {
			w.orders[n] = text
		} else if old != text {
			w.Faults.TwoOrders++
			w.Faults.Said = append(w.Faults.Said, fmt.Sprintf("move %d is %q and %q", n, old, text))
		}
		w.mu.Unlock()
	}
}

// Verdict takes in what all running coordinators have logged and returns what must not have happened.
func (w *MaintenanceFleet) Verdict() WorkFaults {
	for i, c := range w.Coords {
		if c != nil && !w.down[i] {
			w.history(c)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.Faults
	f.Said = append([]string{}, f.Said[:min(len(f.Said), 20)]...)
	return f
}

// Moves is how many moves were told.
func (w *MaintenanceFleet) Moves() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.orders)
}
