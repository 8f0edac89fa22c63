package fleet

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"gullfall/internal/maintenance"
)

// maintain simulates the maintenance crew until ctx ends: it follows the plan at all coordinators and restarts each machine that is handed
// over. The machine runs on for MaintenanceOptions.Work first, so that parts wrongly sent to it are counted.
func (w *MaintenanceFleet) maintain(ctx context.Context) {
	begun, returned := map[string]uint64{}, map[string]uint64{} // by machine: the latest turn in which work began, and in which it returned
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		for i := range w.Coords {
			w.settleDuringFault(i)
			if !w.Up(i) {
				continue
			}
			v, err := w.LocalView(ctx, i)
			if err != nil || v.Plan == nil {
				continue
			}
			w.check(v.Plan)
			w.follow(ctx, v.Plan, begun, returned)
		}
	}
}

// follow begins the work on machines that a plan hands over and counts those that return, once per turn.
func (w *MaintenanceFleet) follow(ctx context.Context, plan *maintenance.State, begun, returned map[string]uint64) {
	for _, r := range plan.Requests {
		for _, st := range r.Steps {
			if st.State == maintenance.Out && begun[st.Machine] < st.Turn {
				begun[st.Machine] = st.Turn
				w.wg.Go(func() { w.work(ctx, st.Machine, st.Started) })
			}
			if st.State == maintenance.Returning && returned[st.Machine] < st.Turn {
				returned[st.Machine] = st.Turn
				w.countReturn(st.Machine)
			}
		}
	}
}

// countReturn appends the number of parts that a machine receives within the next second to Returns.
func (w *MaintenanceFleet) countReturn(machine string) {
	before := w.Ledger.Account().Starts[machine]
	time.AfterFunc(time.Second, func() {
		received := w.Ledger.Account().Starts[machine] - before
		w.mu.Lock()
		defer w.mu.Unlock()
		w.Returns = append(w.Returns, received)
	})
}

// settleDuringFault drops the outcomes of queries of a coordinator that a fault still affects, so that they are not tallied.
func (w *MaintenanceFleet) settleDuringFault(i int) {
	w.mu.Lock()
	recovered := !time.Now().Before(w.excludedUntil[i])
	w.mu.Unlock()
	if !recovered {
		w.settle(i) // updates lastTallies, so that queries during the fault are not counted later
	}
}

// work restarts one machine that was handed over. started is the start time of its process, in Unix milliseconds, when it was drained.
func (w *MaintenanceFleet) work(ctx context.Context, machine string, started int64) {
	for i, n := range w.Nodes {
		if n.ID != machine {
			continue
		}
		w.nodeLocks[i].Lock()
		defer w.nodeLocks[i].Unlock()
		if n.Started.UnixMilli() != started {
			// The machine has crashed and restarted since its drain. The restart counts as its return, so it receives parts
			// again and must not be stopped.
			w.mu.Lock()
			w.Faults.RestartedBeforeWork++
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
			w.Faults.Violations = append(w.Faults.Violations, fmt.Sprintf("%d parts were sent to %s while it was out", sent, machine))
		}
		w.mu.Unlock()
		n.Kill()
		if err := w.startNode(i); err != nil {
			w.mu.Lock()
			w.Faults.Violations = append(w.Faults.Violations, err.Error())
			w.mu.Unlock()
		}
	}
}

// check records the progress of a plan and checks the replicas of each shard against the floor.
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

// noteProgress records the machines in work and the longest time without a move while a request is open.
func (w *MaintenanceFleet) noteProgress(plan *maintenance.State, inWork map[string]bool) {
	open := false
	for _, r := range plan.Requests {
		open = open || r.State == maintenance.Open
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inWork = inWork
	if plan.Moved > w.lastMove || w.lastProgress.IsZero() || !open {
		w.lastMove, w.lastProgress = max(w.lastMove, plan.Moved), time.Now()
	}
	w.Stalled = max(w.Stalled, time.Since(w.lastProgress))
}

// checkFloors counts the shards that have fewer replicas outside work than their floor.
func (w *MaintenanceFleet) checkFloors(inWork map[string]bool) {
	for shard := range maintenanceShards {
		left := 0
		for _, n := range w.Nodes {
			if d := (n.Cell - shard%maintenanceCells + maintenanceCells) % maintenanceCells; d < maintenanceReach && !inWork[n.ID] {
				left++
			}
		}
		if left < w.o.Floor {
			w.mu.Lock()
			w.Faults.FloorBroken++
			w.Faults.Violations = append(w.Faults.Violations, fmt.Sprintf("shard %d has %d replicas outside work, fewer than %d", shard, left, w.o.Floor))
			w.mu.Unlock()
		}
	}
}

// collectMoves reads the moves in a coordinator's log and compares them with those that other coordinators have logged.
func (w *MaintenanceFleet) collectMoves(c *Coordinator) {
	for _, line := range c.Lines(`msg="machine in work" `) {
		_, rest, _ := strings.Cut(line, " n=")
		number, rest, _ := strings.Cut(rest, " ")
		text, _, _ := strings.Cut(rest, " why=")
		n, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			continue
		}
		w.mu.Lock()
		if old, ok := w.moves[n]; !ok {
			w.moves[n] = text
		} else if old != text {
			w.Faults.ConflictingMoves++
			w.Faults.Violations = append(w.Faults.Violations, fmt.Sprintf("move %d is logged as %q and as %q", n, old, text))
		}
		w.mu.Unlock()
	}
}

// Verdict reads the logs of all running coordinators and returns the violations found so far.
func (w *MaintenanceFleet) Verdict() WorkViolations {
	for i, c := range w.Coords {
		if c != nil && !w.down[i] {
			w.collectMoves(c)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.Faults
	f.Violations = append([]string{}, f.Violations[:min(len(f.Violations), 20)]...)
	return f
}

// Moves returns the number of moves in the logs read so far.
func (w *MaintenanceFleet) Moves() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.moves)
}
