package main

// `gullfall-lab work`: several gullfall processes run maintenance on machines repeatedly while coordinators are killed, stalled
// and partitioned and data nodes crash. The same faults are injected first without maintenance, to compare the share of queries
// served.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"gullfall/internal/lab/fleet"
	"gullfall/internal/lab/proxy"
	"gullfall/internal/maintenance"
	"gullfall/internal/maintenance/agent"
)

type workCmd struct {
	Coordinators int           `default:"5" help:"Number of coordinators."`
	Voters       int           `default:"3" help:"Number of coordinators that vote in the store; the others hold a copy."`
	PerZone      int           `default:"4" help:"Number of data nodes in each of the three zones."`
	For          time.Duration `default:"60s" help:"Duration of the faults during maintenance; then the faults are undone and the plans run to their end."`
	Baseline     time.Duration `default:"30s" help:"Duration of the faults without maintenance."`
	Rate         float64       `default:"20" help:"Queries a second at each coordinator."`
	Seed         uint64        `default:"1" help:"Seed of the faults, the load and the coordinators' random choices."`
	Binary       string        `help:"Path of gullfall; by default in this program's directory."`
	JSON         string        `name:"json" help:"Write the report to this file."`
}

// workReport is the result of a run.
type workReport struct {
	Coordinators  int            `json:"coordinators"`
	Faults        int            `json:"faults"`
	Kinds         map[string]int `json:"kinds"`           // faults by kind
	Machines      int            `json:"machines"`        // number of hand-overs; a machine counts once for each
	Overtaken     int            `json:"overtaken"`       // machines that restarted between hand-over and start of the work
	Completed     int            `json:"completed"`       // requests that finished or were given up
	Requests      int            `json:"requests"`        // made by the operators
	Moves         int            `json:"moves"`           // steps of the plan
	Asked         int            `json:"asked"`           // queries, except during faults of the coordinator asked
	Lost          int            `json:"lost"`            // queries without a final answer
	Wrong         int            `json:"wrong"`           // queries with a wrong answer
	Refused       int            `json:"refused"`         // queries
	Failed        int            `json:"failed"`          // queries
	SentWhileOut  int            `json:"sent_while_out"`  // parts sent to a machine between its hand-over and its return
	FloorBroken   int            `json:"floor_broken"`    // checks that found a shard below its floor of replicas because of maintenance
	TwoOrders     int            `json:"two_orders"`      // moves that two coordinators reported differently
	OverColdBound int            `json:"over_cold_bound"` // returned machines that got more than ColdBound in their first second
	ColdBound     float64        `json:"cold_bound"`      // maximum of parts allowed in that second
	MostReturn    int            `json:"most_return"`     // maximum of parts in a returned machine's first second
	Twins         int            `json:"twins"`           // attempts of one part in flight at the same time
	StalledMS     float64        `json:"stalled_ms"`      // longest time without a move while a request was open
	Served        float64        `json:"served"`          // share of the queries that were served
	ServedIdle    float64        `json:"served_idle"`     // the same without maintenance
	ServedRatio   float64        `json:"served_ratio"`    // Served over ServedIdle
	Violations    []string       `json:"said,omitempty"`  // a line for each violation
}

// Run measures without and with maintenance, prints the report and checks the rules.
func (c *workCmd) Run() error {
	idle, err := c.runIdle(c.Baseline)
	if err != nil {
		return err
	}
	r, err := c.runMaintenance(c.For)
	if err != nil {
		return err
	}
	r.ServedIdle = idle.Served
	r.ServedRatio = r.Served / max(idle.Served, 1e-9)
	fmt.Printf("%-28s %v\n", "coordinators, voters", []int{c.Coordinators, c.Voters})
	fmt.Printf("%-28s %d %v\n", "faults", r.Faults, r.Kinds)
	fmt.Printf("%-28s %d of %d requests, %d moves\n", "machines handed over", r.Machines, r.Completed, r.Moves)
	fmt.Printf("%-28s %d of %d asked, %d wrong, %d refused, %d failed, %d twins\n", "queries lost", r.Lost, r.Asked, r.Wrong, r.Refused, r.Failed, r.Twins)
	fmt.Printf("%-28s %d sent while out, %d looks under a floor, %d moves told differently\n", "broken", r.SentWhileOut, r.FloorBroken, r.TwoOrders)
	fmt.Printf("%-28s %d over the bound of %.1f; %d parts at most in the first second\n", "cold returns", r.OverColdBound, r.ColdBound, r.MostReturn)
	fmt.Printf("%-28s %.1f s\n", "longest without a move", r.StalledMS/1000)
	fmt.Printf("%-28s %.4f, and %.4f with no work going on: %.4f\n", "served", r.Served, r.ServedIdle, r.ServedRatio)
	for _, s := range r.Violations {
		fmt.Println("  " + s)
	}
	if err := writeJSON(c.JSON, r); err != nil {
		return err
	}
	if r.Lost+r.Wrong+r.SentWhileOut+r.FloorBroken+r.TwoOrders+r.OverColdBound+r.Twins > 0 || r.Completed < r.Requests {
		return fmt.Errorf("a rule was violated or a maintenance request did not end: see the report above")
	}
	return nil
}

const workWarm = 5 * time.Second // warm-up time of the simulated data nodes

// runIdle injects faults without maintenance.
func (c *workCmd) runIdle(d time.Duration) (workReport, error) {
	return c.runFleet(d, func(ctx context.Context, p *workRun) error { return p.injectFaults(ctx, d) })
}

// runMaintenance injects faults during maintenance, and waits until every request has ended.
func (c *workCmd) runMaintenance(d time.Duration) (workReport, error) {
	return c.runFleet(d, func(ctx context.Context, p *workRun) error {
		var operators sync.WaitGroup
		stop := make(chan struct{})
		operators.Go(func() { p.keepRequestsOpen(ctx, stop) })
		if err := p.injectFaults(ctx, d); err != nil {
			return err
		}
		close(stop)
		operators.Wait()
		if err := p.awaitRequests(ctx); err != nil {
			p.report.Violations = append(p.report.Violations, err.Error())
		}
		return nil
	})
}

// runFleet starts a fleet, runs body on it and returns the measurements. The deadline is d and 4 minutes more.
func (c *workCmd) runFleet(d time.Duration, body func(context.Context, *workRun) error) (r workReport, err error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(d+4*time.Minute))
	defer cancel()
	r.Coordinators, r.Kinds = c.Coordinators, map[string]int{}
	w, err := fleet.StartMaintenanceFleet(ctx, fleet.MaintenanceOptions{Coordinators: c.Coordinators, Voters: c.Voters, PerZone: c.PerZone, Rate: c.Rate, Floor: 2, Share: 0.35,
		Bound: time.Second, Lease: 2 * time.Second, Warm: workWarm, Heartbeat: 500 * time.Millisecond, Work: 400 * time.Millisecond,
		Binary: gullfallPath(c.Binary), Seed: c.Seed})
	if w != nil {
		defer func() { err = errors.Join(err, w.Stop()) }()
	}
	if err != nil {
		return r, err
	}
	time.Sleep(5 * time.Second) // until all coordinators are present and the load is steady
	r.ColdBound = fleet.WorkWarmupBound(workWarm)
	p := &workRun{c: c, w: w, rng: rand.New(rand.NewPCG(c.Seed, 9)), report: &r}
	if err := body(ctx, p); err != nil {
		return r, err
	}
	time.Sleep(5 * time.Second) // queries during the last faults are not counted
	r.measure(w)
	return r, nil
}

// injectFaults injects one fault after the other for the duration d, and then undoes those that remain.
func (p *workRun) injectFaults(ctx context.Context, d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; {
		if err := p.injectFault(ctx); err != nil {
			return err
		}
		p.report.Faults++
		time.Sleep(time.Duration(300+p.rng.IntN(900)) * time.Millisecond)
	}
	return p.undoFaults(ctx)
}

// awaitRequests waits until every request has ended, and resumes those that are paused or stopped. The limit is 2 minutes.
func (p *workRun) awaitRequests(ctx context.Context) error {
	r := p.report
	return p.w.Until(ctx, "every request ends", time.Now().Add(2*time.Minute), func(v agent.View) bool {
		r.Requests, r.Completed = int(v.Plan.Next), int(v.Plan.Next)
		for _, q := range v.Plan.Requests {
			if q.State == maintenance.Finished || q.State == maintenance.RequestAbandoned {
				continue
			}
			if r.Completed--; q.State != maintenance.Open {
				_ = p.w.Order(ctx, 0, maintenance.Resume, q.ID) // a rejected order is repeated at the next poll
			}
		}
		return r.Completed == r.Requests && r.Requests > 0
	})
}

// measure stops the load and copies the fleet's counts into the report.
func (r *workReport) measure(w *fleet.MaintenanceFleet) {
	clean := w.TalliesOutsideFaults()
	w.EndLoad()
	f := w.Verdict()
	r.Machines, r.Moves, r.SentWhileOut, r.FloorBroken, r.TwoOrders = f.HandedOver, w.Moves(), f.SentWhileOut, f.FloorBroken, f.ConflictingMoves
	r.Overtaken = f.RestartedBeforeWork
	r.Violations = append(r.Violations, f.Violations...)
	r.Asked, r.Lost, r.Wrong, r.Refused, r.Failed = clean.Asked, clean.Lost, clean.Wrong, clean.Refused, clean.Failed
	r.Served = float64(clean.Served) / float64(max(clean.Asked, 1))
	for _, n := range w.Returns {
		if r.MostReturn = max(r.MostReturn, n); float64(n) > r.ColdBound {
			r.OverColdBound++
		}
	}
	r.StalledMS = float64(w.Stalled.Milliseconds())
	r.Twins = w.Ledger.Account().Twins
}

// workRun injects the faults and makes the maintenance requests of one run.
type workRun struct {
	c      *workCmd
	w      *fleet.MaintenanceFleet
	rng    *rand.Rand
	report *workReport
}

// keepRequestsOpen keeps up to two maintenance requests open, made at random coordinators, so that requests of two operators overlap in
// time.
func (p *workRun) keepRequestsOpen(ctx context.Context, stop chan struct{}) {
	rng := rand.New(rand.NewPCG(p.c.Seed, 10))
	for {
		select {
		case <-stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
		i := rng.IntN(p.c.Coordinators)
		if !p.w.Up(i) {
			continue
		}
		v, err := p.w.LocalView(ctx, i)
		if err != nil || v.Plan == nil {
			continue
		}
		open := 0
		for _, r := range v.Plan.Requests {
			switch r.State {
			case maintenance.Open:
				open++
			case maintenance.Paused, maintenance.Stopped:
				_ = p.w.Order(ctx, i, maintenance.Resume, r.ID) // a rejected order is repeated at the next poll
			}
		}
		if open >= 2 {
			if v.Plan.Moved%7 == 3 {
				_ = p.w.Order(ctx, i, maintenance.Pause, v.Plan.Requests[len(v.Plan.Requests)-1].ID) // as above
			}
			continue
		}
		p.makeRequest(ctx, i, rng)
	}
}

// makeRequest asks a coordinator for maintenance of a zone or, in one of three cases, of all machines.
func (p *workRun) makeRequest(ctx context.Context, i int, rng *rand.Rand) {
	a := agent.Request{By: fmt.Sprint("operator at ", i), Takes: time.Minute, Back: time.Minute, GoOn: true, Zone: []string{"a", "b", "c"}[rng.IntN(3)]}
	if rng.IntN(3) == 0 {
		a.Zone, a.All = "", true
	}
	_, _ = p.w.RequestMaintenance(ctx, i, a) // requests that overlap another are rejected
}

// injectFault injects one random fault and undoes it.
func (p *workRun) injectFault(ctx context.Context) error {
	w, n := p.w, p.c.Coordinators
	target := p.rng.IntN(n)
	if h := w.Holder(ctx); h >= 0 && p.rng.IntN(2) == 0 {
		target = h
	}
	duration := time.Duration(500+p.rng.IntN(3000)) * time.Millisecond
	f := randomLinkFault(p.rng)
	inject := faultInjector{fleet: w, coordinators: n, restart: w.Start}
	switch kind := p.rng.IntN(20); {
	case kind < 5:
		p.report.Kinds["kill"]++
		return inject.kill(ctx, target, duration/2)
	case kind < 9:
		p.report.Kinds["stall"]++
		return inject.stall(duration, target)
	case kind < 12:
		p.report.Kinds["isolate "+f.String()]++
		return inject.isolate(target, f, duration)
	case kind < 14:
		p.report.Kinds["one way "+f.String()]++
		to := (target + 1 + p.rng.IntN(n-1)) % n
		return inject.cut(target, to, f, duration)
	case kind < 16:
		p.report.Kinds["split"]++
		return inject.split(duration)
	case kind < 17:
		p.report.Kinds["end"]++
		return inject.end(ctx, target)
	case kind < 19:
		p.report.Kinds["data node"]++
		return w.Crash(p.rng.IntN(len(w.Nodes)), duration/2)
	default:
		p.report.Kinds["all killed"]++
		return inject.killAll(ctx)
	}
}

// undoFaults removes all link faults and restarts the coordinators that don't run.
func (p *workRun) undoFaults(ctx context.Context) error {
	for i := range p.c.Coordinators {
		if err := p.w.Isolate(i, proxy.Pass); err != nil {
			return err
		}
		if !p.w.Up(i) {
			if err := p.w.Start(ctx, i); err != nil {
				return err
			}
		}
	}
	return nil
}
