package main

// `gullfall-lab duties`: several gullfall processes with clocks that run fast and slow hold duties, while the holders are stalled,
// killed, isolated, stopped and told to hand over. The history of the holders is then checked.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gullfall/internal/lab/fleet"
)

type dutiesCmd struct {
	Coordinators int           `default:"5" help:"Number of coordinators."`
	Voters       int           `default:"3" help:"Number of coordinators that vote in the store."`
	Duties       int           `default:"3" help:"Number of duties beside that of maintenance."`
	Lease        time.Duration `default:"2s" help:"Lease of a duty."`
	Skew         float64       `default:"0.009" help:"Maximum rate error of the clocks, slow or fast; leases tolerate 0.01."`
	Faults       int           `default:"200" help:"Number of faults."`
	Seed         uint64        `default:"1" help:"Seed of the faults and the coordinators' random choices."`
	Binary       string        `help:"Path of gullfall; by default in this program's directory."`
	JSON         string        `name:"json" help:"Write the report to this file."`
}

// dutiesReport is the result of a run.
type dutiesReport struct {
	Faults              int            `json:"faults"`
	Kinds               map[string]int `json:"kinds"` // faults by kind
	Claims              int            `json:"claims"`
	Accepted            int            `json:"accepted"` // writes
	Refused             int            `json:"refused"`  // writes with an outdated token
	Handovers           int            `json:"handovers"`
	DoubleHolders       int            `json:"double_holders"`        // pairs of holders of a duty at the same time, or under the same token
	StaleWritesAccepted int            `json:"stale_writes_accepted"` // writes accepted after one with a higher token
	BoundMS             float64        `json:"bound_ms"`              // longest gap allowed with a quorum and without further elections
	WorstGapMS          float64        `json:"worst_gap_ms"`          // longest time without a known holder
	P50GapMS            float64        `json:"p50_gap_ms"`
	OverBound           int            `json:"gaps_over_bound"`       // gaps longer than allowed
	WorstGapMSByKind    map[string]int `json:"worst_gap_ms_by_fault"` // longest gap by kind of fault
	Seed                uint64         `json:"seed"`
	Violations          []string       `json:"said,omitempty"` // a line for each violation
}

// dutiesHeartbeat is the heartbeat of the store in this lab.
const dutiesHeartbeat = 500 * time.Millisecond

// dutyFault is one injected fault.
type dutyFault struct {
	kind       string
	begun, end time.Time
	noQuorum   bool // the store accepted no writes during the fault
}

// Run injects the faults while the duties are claimed, checks the history of the holders and prints the report.
func (c *dutiesCmd) Run() (err error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(time.Duration(c.Faults)*10*time.Second+2*time.Minute))
	defer cancel()
	r := dutiesReport{Kinds: map[string]int{}, WorstGapMSByKind: map[string]int{}, Seed: c.Seed}
	names := []string{"maintenance"}
	for i := range c.Duties {
		names = append(names, fmt.Sprint("duty-", i))
	}
	w, err := fleet.StartMaintenanceFleet(ctx, fleet.MaintenanceOptions{Coordinators: c.Coordinators, Voters: c.Voters, PerZone: 4, Rate: 2, Floor: 2, Share: 0.35, Bound: time.Second,
		Lease: c.Lease, Warm: workWarm, Heartbeat: dutiesHeartbeat, Work: 400 * time.Millisecond, Binary: gullfallPath(c.Binary), Seed: c.Seed, Duties: names[1:], Skew: c.Skew})
	if w != nil {
		defer func() { err = errors.Join(err, w.Stop()) }()
	}
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	var h fleet.DutyHistory
	asking, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { w.PollDuties(asking, &h, 40*time.Millisecond, names...) })
	var terms []fleet.StoreTerm
	wg.Go(func() { terms = w.WatchTerms(asking) })
	faults, err := c.injectFaults(ctx, w, names, r.Kinds)
	if err == nil {
		time.Sleep(c.Lease + 2*time.Second)
	}
	stop()
	wg.Wait()
	if err != nil {
		return err
	}
	r.Faults = len(faults)
	v := h.Check()
	r.Claims, r.Accepted, r.Refused, r.Handovers, r.DoubleHolders, r.StaleWritesAccepted, r.Violations = v.Claims, v.Accepted, v.Refused, len(v.Handovers), v.Double, v.Stale, v.Violations
	r.measureGaps(c.Lease, v.Handovers, faults, terms)
	r.print()
	if err := writeJSON(c.JSON, r); err != nil {
		return err
	}
	if r.DoubleHolders+r.StaleWritesAccepted+r.OverBound > 0 || r.Handovers == 0 {
		return fmt.Errorf("duties check failed: %d double holders, %d stale writes accepted, %d gaps over the bound, %d hand-overs", r.DoubleHolders, r.StaleWritesAccepted, r.OverBound, r.Handovers)
	}
	return nil
}

// print writes the report as a table.
func (r *dutiesReport) print() {
	fmt.Printf("%-28s %d %v\n", "faults", r.Faults, r.Kinds)
	fmt.Printf("%-28s %d claims, %d writes taken, %d turned back\n", "asked to act", r.Claims, r.Accepted, r.Refused)
	fmt.Printf("%-28s %d; nobody held it for %.0f ms at the median, %.0f ms at worst; bound %.0f ms, %d over it\n", "hand-overs", r.Handovers, r.P50GapMS, r.WorstGapMS, r.BoundMS, r.OverBound)
	fmt.Printf("%-28s %v\n", "longest by fault, ms", r.WorstGapMSByKind)
	fmt.Printf("%-28s %d double holders, %d stale writes taken\n", "broken", r.DoubleHolders, r.StaleWritesAccepted)
	for _, s := range r.Violations {
		fmt.Println("  " + s)
	}
}

// measureGaps compares the time without a holder at each hand-over with the maximum allowed by the lease, and by the faults and
// elections in that time.
func (r *dutiesReport) measureGaps(lease time.Duration, handovers []fleet.Handover, faults []dutyFault, terms []fleet.StoreTerm) {
	// The bound is the sum of: L (1 + E) from the last renewal until the lease L expires in the store, where a new leader counts from
	// its election (E is the clock error); a quarter of the lease until the next candidate claims the duty; 4 heartbeats to elect a
	// leader; and two polls of the holders. Each further election within the gap starts the lease again.
	perElection := time.Duration(1.01*float64(lease)) + 4*dutiesHeartbeat
	bound := time.Duration(1.01*float64(lease)) + lease/4 + 4*dutiesHeartbeat + 200*time.Millisecond
	r.BoundMS = float64(bound.Milliseconds())
	var gaps []time.Duration
	for _, x := range handovers {
		gaps = append(gaps, x.Gap)
		kind, noQuorum := overlappingFaults(faults, x)
		allowed := bound + noQuorum
		r.WorstGapMSByKind[kind] = max(r.WorstGapMSByKind[kind], int(x.Gap.Milliseconds()))
		elections := countElections(terms, x)
		allowed += time.Duration(max(0, elections-1)) * perElection
		if x.Gap > allowed {
			r.OverBound++
			r.Violations = append(r.Violations, fmt.Sprintf("%s: nobody held it for %v after %s, %v are allowed (%s, %d elections)", x.Duty, x.Gap.Round(time.Millisecond), x.From,
				allowed.Round(time.Millisecond), kind, elections))
		}
	}
	slices.Sort(gaps)
	if len(gaps) > 0 {
		r.P50GapMS, r.WorstGapMS = float64(gaps[len(gaps)/2].Milliseconds()), float64(gaps[len(gaps)-1].Milliseconds())
	}
}

// overlappingFaults returns the kind of the last fault that overlaps a hand-over, or "none", and for how long the overlapping faults left
// the store without a quorum.
func overlappingFaults(faults []dutyFault, x fleet.Handover) (kind string, noQuorum time.Duration) {
	kind = "none"
	for _, f := range faults {
		if f.begun.Before(x.At.Add(x.Gap)) && f.end.After(x.At.Add(-dutiesHeartbeat)) {
			if kind = f.kind; f.noQuorum {
				noQuorum += f.end.Sub(f.begun)
			}
		}
	}
	return kind, noQuorum
}

// countElections counts the terms of the store that began in the gap of a hand-over.
func countElections(terms []fleet.StoreTerm, x fleet.Handover) (n int) {
	for _, term := range terms {
		if term.At.After(x.At) && term.At.Before(x.At.Add(x.Gap)) {
			n++
		}
	}
	return n
}

// injectFaults injects the faults, most of them at a duty's holder.
func (c *dutiesCmd) injectFaults(ctx context.Context, w *fleet.MaintenanceFleet, names []string, kinds map[string]int) (faults []dutyFault, err error) {
	rng := rand.New(rand.NewPCG(c.Seed, 21))
	for len(faults) < c.Faults && ctx.Err() == nil {
		f, err := c.injectFault(ctx, w, names, rng)
		if err != nil {
			return faults, fmt.Errorf("inject fault %q: %w", f.kind, err)
		}
		f.end = time.Now()
		faults = append(faults, f)
		kinds[f.kind]++
		time.Sleep(time.Duration(300+rng.IntN(1200)) * time.Millisecond)
	}
	return faults, ctx.Err()
}

// injectFault injects one random fault and undoes it.
func (c *dutiesCmd) injectFault(ctx context.Context, w *fleet.MaintenanceFleet, names []string, rng *rand.Rand) (f dutyFault, err error) {
	n := c.Coordinators
	target := rng.IntN(n)
	if h := w.HolderOf(ctx, names[rng.IntN(len(names))]); h >= 0 && rng.IntN(4) > 0 {
		target = h
	}
	duration := c.Lease/4 + time.Duration(rng.Int64N(int64(2*c.Lease)))
	f.begun = time.Now()
	fault := randomLinkFault(rng)
	inject := faultInjector{fleet: w, coordinators: n, restart: w.Start}
	switch k := rng.IntN(20); {
	case k < 6:
		f.kind = "stall"
		err = inject.stall(duration, target)
	case k < 10:
		f.kind = "kill"
		err = inject.kill(ctx, target, duration/2)
	case k < 14:
		f.kind = "isolate " + fault.String()
		err = inject.isolate(target, fault, duration)
	case k < 16:
		f.kind = "hand on"
		for _, name := range names {
			_ = w.HandOver(ctx, target, name) // rejected if the coordinator doesn't hold the duty
		}
	case k < 18:
		f.kind = "end"
		err = inject.end(ctx, target)
	case k < 19:
		f.kind, f.noQuorum = "two stalled", true
		other := (target + 1 + rng.IntN(n-1)) % n
		err = inject.stall(duration, target, other)
	default:
		f.kind, f.noQuorum = "all killed", true
		err = inject.killAll(ctx)
	}
	return f, err
}
