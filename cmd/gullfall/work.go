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
	Plan    workPlanCmd   `cmd:"" help:"Show in which order machines would go, and what can't go; nothing is asked for."`
	Start   workStartCmd  `cmd:"" help:"Ask for work on machines."`
	List    workListCmd   `cmd:"" help:"List the requests."`
	Show    workShowCmd   `cmd:"" help:"Show a request, each machine, and who is waited for."`
	Pause   workPauseCmd  `cmd:"" help:"Take no further machine out for a request; what is not handed over is taken back."`
	Resume  workResumeCmd `cmd:"" help:"Go on with a request that is paused or has stopped."`
	Abandon workGiveUpCmd `cmd:"" help:"Give a request up; machines that are out come back first."`
	Done    workDoneCmd   `cmd:"" help:"Say that the work on a machine is done."`
	Forget  workForgetCmd `cmd:"" help:"Say that a coordinator is gone for good; nothing waits for it any more."`
}

// operator is who asks, for the audit.
func operator() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return fmt.Sprint("uid ", os.Getuid())
}

// maintenanceViewFlags are those of the commands that show the maintenance agent's view.
type maintenanceViewFlags struct {
	socketFlag
	JSON  bool `name:"json" help:"For machines."`
	Stale bool `help:"Show what is known here, without asking the store's leader."`
	Watch bool `help:"Show it anew each second, until interrupted."`
}

// show prints the view by table, or as JSON, once or again and again as the flags say.
func (f maintenanceViewFlags) show(table func(agent.View) error) error {
	return repeat(f.Watch, func() error {
		var v agent.View
		if err := f.ask("work look", workWord{Fresh: !f.Stale}, &v); err != nil {
			return err
		}
		if f.JSON {
			return printJSON(v)
		}
		return table(v)
	})
}

type workListCmd struct{ maintenanceViewFlags }

// Run lists the requests.
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

// countSteps counts the machines that are done with, and those that are neither done with nor waiting.
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

// auditLinesShown is how many of the latest audit lines `gullfall work show` prints.
const auditLinesShown = 10

type workShowCmd struct {
	maintenanceViewFlags
	Request uint64 `arg:"" help:"The request's number."`
}

// Run shows a request.
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
		for _, a := range v.Plan.Audit[max(0, len(v.Plan.Audit)-auditLinesShown):] {
			fmt.Printf("%s %s: %s\n", time.Unix(a.At, 0).Format(time.RFC3339), a.Who, a.What)
		}
		return nil
	})
}

// stepTable prints each machine of a request, and the coordinators that may still have attempts in flight at one that drains.
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

// requestArg names a request.
type requestArg struct {
	socketFlag
	Request uint64 `arg:"" help:"The request's number."`
}

// order sends one of maintenance.Pause, Resume and Abandon for the request.
func (r requestArg) order(word string) error {
	var id uint64
	if err := r.ask("work order", workWord{By: operator(), Word: word, Request: r.Request}, &id); err != nil {
		return err
	}
	fmt.Printf("request %d: %s taken in\n", id, word)
	return nil
}

type (
	workPauseCmd  struct{ requestArg }
	workResumeCmd struct{ requestArg }
	workGiveUpCmd struct{ requestArg }
)

// Run pauses a request.
func (c workPauseCmd) Run() error { return c.order(maintenance.Pause) }

// Run lets a request go on.
func (c workResumeCmd) Run() error { return c.order(maintenance.Resume) }

// Run gives a request up.
func (c workGiveUpCmd) Run() error { return c.order(maintenance.Abandon) }

type workDoneCmd struct {
	socketFlag
	Machine string `arg:"" help:"The machine."`
	As      string `help:"The name under which it comes back, if another."`
}

// Run passes on that a machine's work is done.
func (c workDoneCmd) Run() error {
	var machine string
	if err := c.ask("work done", workWord{By: operator(), Machine: c.Machine, As: c.As}, &machine); err != nil {
		return err
	}
	fmt.Printf("%s is given back, at the pace that a cold data node bears\n", machine)
	return nil
}

type workForgetCmd struct {
	socketFlag
	Name string `arg:"" help:"The coordinator that is gone for good."`
}

// Run passes on the operator's word.
func (c workForgetCmd) Run() error {
	var name string
	if err := c.ask("work forget", workWord{By: operator(), Name: c.Name}, &name); err != nil {
		return err
	}
	fmt.Printf("%s is gone for good; nothing waits for it any more\n", name)
	return nil
}
