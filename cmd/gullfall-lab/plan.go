package main

// `gullfall-lab plan`: compares maintenance plans at several fleet sizes with a lower bound and with the orders that operators
// use by hand, zone by zone and one by one.

import (
	"fmt"
	"os"
	"text/tabwriter"

	"gullfall/internal/lab/workplan"
)

type planCmd struct {
	Sizes  []int  `default:"20,100,1000,10000" help:"Fleet sizes, in machines."`
	Fleets int    `default:"10" help:"Number of random fleets of each size."`
	Seed   uint64 `default:"1" help:"Seed of the fleets and of the search for plans."`
	JSON   string `name:"json" help:"Write the report to this file."`
}

// Run measures the plans of each size and prints a table.
func (c *planCmd) Run() error {
	var rows []workplan.Row
	broken := 0
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "machines\tfleets\twaves\tat least\tworst gap\tproven\tplanned in, worst\tzone by zone\tone by one\tsooner than zone by zone")
	for _, n := range c.Sizes {
		r, err := workplan.Measure(n, c.Fleets, c.Seed)
		if err != nil {
			return err
		}
		rows, broken = append(rows, r), broken+r.Broken
		fmt.Fprintf(t, "%d\t%d\t%.1f\t%.1f\t%.0f%%\t%d\t%.1f ms\t%.1f\t%.1f\t%.2f-fold\n", r.Machines, r.Fleets, r.Waves, r.Bound, 100*r.WorstGap, r.Exact, r.PlanMS,
			r.ZoneByZone, r.OneByOne, r.Sooner)
		if err := t.Flush(); err != nil {
			return err
		}
	}
	if err := writeJSON(c.JSON, rows); err != nil {
		return err
	}
	if broken > 0 {
		return fmt.Errorf("%d maintenance plans violate a limit", broken)
	}
	return nil
}
