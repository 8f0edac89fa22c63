package main

// `gullfall-lab demo`: a fleet found through DNS-SD and discovery, with a steady load of queries and a sequence of faults. It
// must return an error if a rule was violated.

import (
	"context"
	"errors"
	"fmt"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"

	"gullfall/internal/lab/datanode"
	"gullfall/internal/lab/fleet"
	"gullfall/internal/lab/load"
)

type demoCmd struct {
	For    time.Duration `default:"10s" help:"Duration of the load."`
	Seed   uint64        `default:"1" help:"Seed of the faults and the load."`
	JSON   string        `name:"json" help:"Write the report to this file."`
	Binary string        `help:"Path of gullfall; by default in this program's directory."`
}

// classReport counts the outcomes of a class's queries.
type classReport struct {
	Class                                                string
	Asked, Served, Partial, Refused, Failed, Lost, Wrong int
	P50ms, P99ms                                         float64
}

// rule is the result of checking one rule.
type rule struct {
	Rule string
	Kept bool
	Seen string
}

// ms returns a duration in milliseconds.
func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// classReports returns the reports of all classes.
func classReports(l *load.Load) (results []classReport) {
	for _, c := range l.Classes {
		t := l.Tally(c.Name)
		results = append(results, classReport{c.Name, t.Asked, t.Served, t.Partial, t.Refused, t.Failed, t.Lost, t.Wrong,
			ms(t.Quantile(50)), ms(t.Quantile(99))})
	}
	return results
}

// checkRules checks the counts of the clients and the data nodes against the rules.
func checkRules(l *load.Load, a datanode.Account) []rule {
	sum := l.Sum()
	return []rule{
		{"each query has one final answer, in its time", sum.Lost == 0, fmt.Sprintf("%d of %d without", sum.Lost, sum.Asked)},
		{"no two attempts of a part are out together", a.Twins == 0, fmt.Sprintf("%d twins in %d attempts", a.Twins, a.Begun)},
		{"a part has 3 attempts at most", a.MostAttempts <= 3, fmt.Sprintf("%d at most", a.MostAttempts)},
		{"nothing new later than 2 s after removal or drain", a.Worst < 2*time.Second, fmt.Sprintf("%v at worst in %d", a.Worst.Round(time.Millisecond), a.Removals)},
		{"answers hold what their shards have, and are whole where marked so", sum.Wrong == 0, fmt.Sprintf("%d of %d wrong", sum.Wrong, sum.Served)},
		{"queries are answered", sum.Served > sum.Asked/2, fmt.Sprintf("%d of %d", sum.Served, sum.Asked)},
	}
}

// Run starts the fleet, injects faults under load and prints whether the rules were kept.
func (d demoCmd) Run() (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	f, err := fleet.Start(ctx, fleet.Options{Nodes: 24, Listed: 8, Cells: 4, Shards: 16, TTL: 4500, Transfer: true, Notify: false,
		ServiceTime: 10 * time.Millisecond, Binary: gullfallPath(d.Binary), Seed: d.Seed})
	defer func() { err = errors.Join(err, f.Stop()) }()
	if err != nil {
		return err
	}
	fmt.Printf("gullfall serves at %s; 8 data nodes by discovery, 16 by DNS-SD in %s, both protocols\n", f.Front, fleet.Domain)
	l := &load.Load{Addr: f.Front, Owner: "club", Rate: 150, Shards: 16, Classes: fleet.Classes, Open: 100, Ledger: f.Ledger, Seed: d.Seed}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(d.For))
	defer cancel()
	time.Sleep(500 * time.Millisecond)
	var wg sync.WaitGroup
	wg.Go(func() { l.Run(ctx) })
	d.injectFaults(ctx, f, l)
	wg.Wait()
	sum := l.Sum()
	account := f.Ledger.Account()
	cpu, memory := f.CPU(), f.Memory()
	ended := f.Stop()
	fmt.Printf("\n%-8s %6s %6s %7s %7s %6s %5s %8s %8s\n", "class", "asked", "served", "partial", "refused", "failed", "lost", "p50 ms", "p99 ms")
	for _, c := range classReports(l) {
		fmt.Printf("%-8s %6d %6d %7d %7d %6d %5d %8.1f %8.1f\n", c.Class, c.Asked, c.Served, c.Partial, c.Refused, c.Failed, c.Lost, c.P50ms, c.P99ms)
	}
	fmt.Printf("\n%d queries, %d attempts; gullfall used %v of processor time and %d MB\n\n", sum.Asked, account.Begun, cpu, memory)
	results := checkRules(l, account)
	results = append(results, rule{"gullfall ends well when told to", ended == nil, fmt.Sprint(ended)})
	broken := 0
	for _, r := range results {
		word := "kept  "
		if !r.Kept {
			word = "BROKEN"
			broken++
		}
		fmt.Printf("%s  %s (%s)\n", word, r.Rule, r.Seen)
	}
	if err := writeJSON(d.JSON, map[string]any{"classes": classReports(l), "rules": results, "seed": d.Seed}); err != nil {
		return err
	}
	if broken > 0 {
		return fmt.Errorf("%d rules violated", broken)
	}
	return nil
}

// injectFaults injects a fault at a data node every 0.7 s and undoes it 2 s later, until ctx ends.
func (d demoCmd) injectFaults(ctx context.Context, f *fleet.Fleet, l *load.Load) {
	faults := []struct {
		description string
		inject      func(n *datanode.Node)
		undo        func(n *datanode.Node)
		source      string // what lists the data node: records or discovery
	}{
		{"record removed", func(n *datanode.Node) { f.Ledger.Off(n.ID); f.Zone.Remove(f.Instance(n, "").Label) },
			func(n *datanode.Node) { f.Ledger.On(n.ID); f.Zone.Set(f.Instance(n, "")) }, "records"},
		{"killed", func(n *datanode.Node) { n.Kill() },
			func(n *datanode.Node) { _ = n.Start(); f.Ledger.Restarted(n.ID); f.Zone.Set(f.Instance(n, "")) }, "records"},
		{"drained by its TXT record", func(n *datanode.Node) { f.Ledger.Off(n.ID); f.Zone.Set(f.Instance(n, "draining")) },
			func(n *datanode.Node) { f.Ledger.On(n.ID); f.Zone.Set(f.Instance(n, "serving")) }, "records"},
		{"drained by discovery", func(n *datanode.Node) { f.Ledger.Off(n.ID); f.Directory.Set(fleet.Entry(n, "DRAINING")) },
			func(n *datanode.Node) { f.Ledger.On(n.ID); f.Directory.Set(fleet.Entry(n, "SERVING")) }, "discovery"},
		{"record flaps", func(n *datanode.Node) {
			f.Zone.Remove(f.Instance(n, "").Label)
			time.AfterFunc(200*time.Millisecond, func() { f.Zone.Set(f.Instance(n, "")) })
		}, func(n *datanode.Node) {}, "records"},
	}
	busy := map[string]bool{}
	var mu sync.Mutex
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(700 * time.Millisecond):
		}
		fault := faults[i%len(faults)]
		mu.Lock()
		free := slices.DeleteFunc(slices.Clone(f.Nodes), func(n *datanode.Node) bool {
			_, byRecords := f.Zone.Get(f.Instance(n, "").Label)
			return busy[n.ID] || byRecords != (fault.source == "records")
		})
		if len(free) == 0 {
			mu.Unlock()
			continue
		}
		n := free[f.Random().IntN(len(free))]
		busy[n.ID] = true
		mu.Unlock()
		fault.inject(n)
		sum := l.Sum()
		fmt.Printf("%5d asked, %5d served, %4d refused, %3d failed   %s %s\n", sum.Asked, sum.Served, sum.Refused, sum.Failed, n.ID, fault.description)
		time.AfterFunc(2*time.Second, func() {
			mu.Lock()
			defer mu.Unlock()
			if busy[n.ID] = false; ctx.Err() == nil {
				fault.undo(n)
			}
		})
	}
}
