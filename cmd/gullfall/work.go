package main

import (
	"fmt"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"gullfall/internal/maintenance"
	"gullfall/internal/maintenance/agent"
)

type workCmd struct {
	Plan    workPlanCmd    `cmd:"" help:"Show in which order machines would be taken out, and which can't be; makes no request."`
	Start   workStartCmd   `cmd:"" help:"Request maintenance of machines."`
	List    workListCmd    `cmd:"" help:"List the requests."`
	Show    workShowCmd    `cmd:"" help:"Show a request with the state of each machine and the coordinators that it waits for."`
	Pause   workPauseCmd   `cmd:"" help:"Take no further machines out for a request; machines not handed over yet return to service."`
	Resume  workResumeCmd  `cmd:"" help:"Continue a request that is paused or has stopped."`
	Abandon workAbandonCmd `cmd:"" help:"Abandon a request; machines that are out return to service first."`
	Done    workDoneCmd    `cmd:"" help:"Report that the maintenance of a machine is done."`
	Forget  workForgetCmd  `cmd:"" help:"Remove a coordinator that is lost for good, so that nothing waits for it any more."`
}

// operator returns the name of the user who runs the command, for the audit log.
func operator() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return fmt.Sprint("uid ", os.Getuid())
}

// maintenanceViewFlags are the flags of commands that show the maintenance agent's view.
type maintenanceViewFlags struct {
	socketFlag
	JSON  bool `name:"json" help:"Print JSON."`
	Stale bool `help:"Show the local copy without contacting the store's leader."`
	Watch bool `help:"Print it every second until interrupted."`
}

// show prints the view with table or as JSON, and repeats it with --watch.
func (f maintenanceViewFlags) show(table func(agent.View) error) error {
	return repeat(f.Watch, func() error {
		var v agent.View
		if err := f.callWithStore("work look", workArgs{Fresh: !f.Stale}, &v); err != nil {
			return err
		}
		if f.JSON {
			return printJSON(v)
		}
		return table(v)
	})
}

type workListCmd struct{ maintenanceViewFlags }

// Run prints the requests.
func (c workListCmd) Run() error {
	return c.show(func(v agent.View) error {
		t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "request\tby\tstate\tmachines\tdone\tin work\twhy it waits")
		for _, r := range v.Plan.Requests {
			done, inWork := countSteps(r.Steps)
			fmt.Fprintf(t, "%d\t%s\t%s\t%d\t%d\t%d\t%s\n", r.ID, r.By, r.State, len(r.Steps), done, inWork, r.Why)
		}
		return t.Flush()
	})
}

// countSteps returns the number of machines that are done or abandoned, and of those that are neither done, abandoned nor waiting.
func countSteps(steps []*maintenance.Step) (done, inWork int) {
	for _, step := range steps {
		switch step.State {
		case maintenance.Done, maintenance.Abandoned:
			done++
		case maintenance.Waiting:
		default:
			inWork++
		}
	}
	return done, inWork
}

// maxAuditEntriesShown is the number of latest audit entries that `gullfall work show` prints.
const maxAuditEntriesShown = 10

type workShowCmd struct {
	maintenanceViewFlags
	Request uint64 `arg:"" help:"The request's number."`
}

// Run prints a request.
func (c workShowCmd) Run() error {
	return c.show(func(v agent.View) error {
		r := v.Plan.Request(c.Request)
		if r == nil {
			return fmt.Errorf("there is no request %d", c.Request)
		}
		fmt.Printf("request %d by %s: %s. %d waves, no order has fewer than %d. %s\n", r.ID, r.By, r.State, r.Waves, r.Bound, r.Why)
		if err := stepTable(r, v.Coordinators); err != nil {
			return err
		}
		for _, co := range v.Coordinators {
			if !co.Present || co.Seen < v.Plan.Seen() {
				fmt.Printf("%s: present %v, has seen %d calls of %d\n", co.Name, co.Present, co.Seen, v.Plan.Seen())
			}
		}
		for _, a := range v.Plan.Audit[max(0, len(v.Plan.Audit)-maxAuditEntriesShown):] {
			fmt.Printf("%s %s: %s\n", time.Unix(a.At, 0).Format(time.RFC3339), a.Who, a.What)
		}
		return nil
	})
}

// stepTable prints the machines of a request. For a draining machine it lists the coordinators that may still have attempts in flight.
func stepTable(r *maintenance.Request, coordinators []agent.CoordinatorView) error {
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "machine\tstate\twave\tback as\tnot clear at")
	for _, step := range r.Steps {
		var notClear []string
		for _, co := range coordinators {
			if step.State == maintenance.Draining && co.Clear[step.Machine] != step.Turn {
				notClear = append(notClear, co.Name)
			}
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\n", step.Machine, step.State, step.Wave+1, step.As, strings.Join(notClear, " "))
	}
	return t.Flush()
}

// requestArg selects a request.
type requestArg struct {
	socketFlag
	Request uint64 `arg:"" help:"The request's number."`
}

// order sends one of maintenance.Pause, Resume and Abandon for the request.
func (r requestArg) order(order string) error {
	var id uint64
	if err := r.callWithStore("work order", workArgs{By: operator(), Word: order, Request: r.Request}, &id); err != nil {
		return err
	}
	fmt.Printf("request %d: %s taken in\n", id, order)
	return nil
}

type (
	workPauseCmd   struct{ requestArg }
	workResumeCmd  struct{ requestArg }
	workAbandonCmd struct{ requestArg }
)

// Run pauses a request.
func (c workPauseCmd) Run() error { return c.order(maintenance.Pause) }

// Run resumes a request.
func (c workResumeCmd) Run() error { return c.order(maintenance.Resume) }

// Run abandons a request.
func (c workAbandonCmd) Run() error { return c.order(maintenance.Abandon) }

type workDoneCmd struct {
	socketFlag
	Machine string `arg:"" help:"The machine."`
	As      string `help:"The name under which it returns, if different."`
}

// Run reports that the maintenance of a machine is done.
func (c workDoneCmd) Run() error {
	var machine string
	if err := c.callWithStore("work done", workArgs{By: operator(), Machine: c.Machine, As: c.As}, &machine); err != nil {
		return err
	}
	fmt.Printf("%s is given back, at the pace that a cold data node bears\n", machine)
	return nil
}

type workForgetCmd struct {
	socketFlag
	Name string `arg:"" help:"The coordinator's name."`
}

// Run removes a coordinator from the maintenance plan.
func (c workForgetCmd) Run() error {
	var name string
	if err := c.callWithStore("work forget", workArgs{By: operator(), Name: c.Name}, &name); err != nil {
		return err
	}
	fmt.Printf("%s is gone for good; nothing waits for it any more\n", name)
	return nil
}
