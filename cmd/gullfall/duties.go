package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"gullfall/internal/maintenance/agent"
)

type dutiesCmd struct {
	Show   dutiesShowCmd   `cmd:"" default:"withargs" help:"Show the holder of each duty."`
	HandOn dutiesHandOnCmd `cmd:"" help:"Make the coordinator behind the socket release a duty, so that another takes it over."`
	Try    dutiesTryCmd    `cmd:"" help:"Exit with status 0 only if the coordinator behind the socket holds a duty and the store accepts its token; print the token."`
}

type dutiesShowCmd struct{ maintenanceViewFlags }

// Run prints the duties and their holders.
func (c dutiesShowCmd) Run() error {
	return c.show(func(v agent.View) error {
		t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "duty\theld by\tterm\ttoken\tlease")
		slices.SortFunc(v.Duties, func(a, b agent.DutyView) int { return strings.Compare(a.Duty, b.Duty) })
		for _, d := range v.Duties {
			holder := d.Holder
			if holder == "" {
				holder = "nobody"
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%gs\n", d.Duty, holder, d.Term, d.Token, d.LeaseS)
		}
		if err := t.Flush(); err != nil {
			return err
		}
		fmt.Printf("store: %s leads in term %d; %s has applied up to %d\n", nameOrNobody(v.Store.Leader), v.Store.Term, v.Store.Name, v.Store.Index)
		return nil
	})
}

// nameOrNobody returns name, or "nobody" if it is empty.
func nameOrNobody(name string) string {
	if name == "" {
		return "nobody"
	}
	return name
}

type dutiesHandOnCmd struct {
	socketFlag
	Name string `arg:"" default:"maintenance" help:"The duty."`
}

// Run makes the coordinator release a duty.
func (c dutiesHandOnCmd) Run() error {
	var done bool
	if err := c.callWithStore("duties hand-on", workArgs{Name: c.Name}, &done); err != nil {
		return err
	}
	if !done {
		return errors.New("the duty was not handed on")
	}
	fmt.Println("given back; another coordinator takes it over within a quarter of a lease")
	return nil
}

type dutiesTryCmd struct {
	socketFlag
	Name string `arg:"" help:"The duty."`
	JSON bool   `name:"json" help:"Print JSON."`
}

// Run checks whether the coordinator holds a duty.
func (c dutiesTryCmd) Run() error {
	var t agent.DutyAttempt
	if err := c.callWithStore("duties try", workArgs{Name: c.Name}, &t); err != nil {
		return err
	}
	if c.JSON {
		if err := printJSON(t); err != nil {
			return err
		}
	} else if t.Accepted {
		fmt.Println(t.Token)
	}
	switch {
	case !t.Holds:
		return fmt.Errorf("%s does not hold %s", t.Who, t.Duty)
	case !t.Accepted:
		return fmt.Errorf("the store no longer accepts token %d of %s: %s", t.Token, t.Who, t.Why)
	}
	return nil
}
