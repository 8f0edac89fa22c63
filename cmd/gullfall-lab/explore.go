package main

// `gullfall-lab explore`: an exhaustive search of the states of a small fleet under maintenance. With --bugs it seeds known bugs
// into the model and checks that the search finds each.

import (
	"fmt"
	"os"

	"gullfall/internal/lab/explore"
)

type exploreCmd struct {
	Machines int    `default:"2" help:"Number of machines, of three, that maintenance is requested for."`
	Faults   uint8  `default:"1" help:"Maximum of faults on one path: crashes, partitions, pauses, machine failures, handed over duties."`
	Words    uint8  `default:"1" help:"Maximum of operators' orders on one path."`
	Sends    uint8  `default:"1" help:"Maximum of parts sent on one path."`
	States   int    `default:"8000000" help:"Maximum number of states to visit; each takes 450 bytes."`
	Bugs     bool   `help:"Seed each bug instead, and print the shortest path to the rule that it violates."`
	JSON     string `name:"json" help:"Write the report to this file."`
}

// Run searches the states and prints the result; with --bugs, once for each seeded bug.
func (c *exploreCmd) Run() error {
	bugs := []explore.Bug{explore.None}
	if c.Bugs {
		bugs = explore.Bugs
	}
	type result struct {
		Bug     explore.Bug `json:"bug"`
		States  int         `json:"states"`
		Whole   bool        `json:"whole"`
		Ended   int         `json:"ended"`
		Broken  string      `json:"broken"`
		Path    []string    `json:"path"`
		Seconds float64     `json:"seconds"`
	}
	var results []result
	failures := 0
	for _, bug := range bugs {
		l := explore.Limits{Machines: c.Machines, Faults: c.Faults, Orders: c.Words, Sends: c.Sends, States: c.States}
		if !c.Bugs {
			l.Progress = func(distance, states int) { fmt.Fprintf(os.Stderr, "\r%3d events, %d states ", distance, states) }
		}
		r := explore.Explore(l, bug)
		if !c.Bugs {
			fmt.Fprintln(os.Stderr)
		}
		results = append(results, result{bug, r.States, r.Complete, r.EndStates, r.BrokenRule, r.Path, r.Elapsed.Seconds()})
		if bug != explore.None {
			fmt.Printf("%s\n", bug)
		}
		fmt.Printf("  %d states, %d events deep, %.1f s; all seen: %v; %d with nothing more to do\n", r.States, r.Distance, r.Elapsed.Seconds(), r.Complete, r.EndStates)
		if r.BrokenRule != "" {
			fmt.Printf("  broken: %s\n", r.BrokenRule)
			for i, event := range r.Path {
				fmt.Printf("  %3d. %s\n", i+1, event)
			}
		}
		if c.Bugs != (r.BrokenRule != "") || !c.Bugs && !r.Complete {
			failures++
		}
	}
	if err := writeJSON(c.JSON, results); err != nil {
		return err
	}
	switch {
	case failures > 0 && c.Bugs:
		return fmt.Errorf("%d of %d bugs were not found within these limits; give more --faults, --words or --states", failures, len(bugs))
	case failures > 0:
		return fmt.Errorf("a rule was violated, or not all states were visited: see the report above")
	}
	return nil
}
