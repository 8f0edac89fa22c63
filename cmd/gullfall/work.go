package main

// This file owns the work on machines in the daemon, and `gullfall work` and `gullfall duties`, by which operators ask for it and
// follow it. It must never decide a move, nor ask for one that was not confirmed by its arguments.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/user"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"gullfall/internal/admin"
	"gullfall/internal/config"
	"gullfall/internal/coordinator"
	"gullfall/internal/gossip"
	"gullfall/internal/maintenance"
	"gullfall/internal/maintenance/agent"
	"gullfall/internal/observations"
	"gullfall/internal/store"
)

// startAgent takes part in the work on machines where our own file says so; nil where it does not.
func startAgent(deploy config.Deploy, cfg config.Config, c *coordinator.Coordinator, kept *store.Store, talk *gossip.Gossip, log *slog.Logger) *agent.Agent {
	w := deploy.Work
	if !w.Enabled {
		return nil
	}
	set := cfg.Settings
	log.Info("taking part in the work on machines", "bound", time.Duration(w.Bound), "lease", time.Duration(w.Lease))
	var told func(string) observations.View
	if talk != nil {
		told = talk.Observations
	}
	return agent.Start(agent.Options{Observations: told, Store: kept, Coordinator: c, Name: cfg.Name, Log: log,
		Layout: maintenance.Layout{ShardSets: set.ShardSets, Shards: set.Shards, Reach: set.Reach}, Limits: w.Limits(), WarmupTime: set.Rules.WarmupTime,
		LongestAttempt: longestDeadline(set), PresenceBound: time.Duration(w.Bound), Duty: time.Duration(w.Lease), Drift: w.Drift, Duties: w.Duties, Every: time.Duration(w.Every),
		Hook: w.Hook, HookFor: time.Duration(w.HookTime), Budget: w.Budget})
}

// resignDuty gives the duty back as the first thing of a drain, so that another takes it over.
func resignDuty(work *agent.Agent, log *slog.Logger) {
	if work == nil {
		return
	}
	go func() { // the drain does not wait for it
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(2*time.Second))
		defer cancel()
		if err := work.Leave(ctx); err != nil {
			log.Warn("the duty was not given back; it runs out", "cause", err)
		}
	}()
}

// closeAgent ends the part at the end of a drain.
func closeAgent(work *agent.Agent, quiet bool) {
	if work == nil {
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(time.Second))
	defer cancel()
	work.Close(ctx, quiet)
}

// workWord is what the command line sends besides a start.
type workWord struct {
	By, Word, Machine, As, Name string
	Request                     uint64
	Fresh                       bool
}

// workCommands adds the commands of a part that is on.
func workCommands(commands map[string]admin.Command, work *agent.Agent) {
	if work == nil {
		return
	}
	word := func(do func(context.Context, workWord) (any, error)) admin.Command {
		return func(ctx context.Context, args json.RawMessage) (any, error) {
			var w workWord
			if err := json.Unmarshal(args, &w); err != nil {
				return nil, err
			}
			ctx, cancel := context.WithDeadline(ctx, time.Now().Add(workTime))
			defer cancel()
			return do(ctx, w)
		}
	}
	commands["work start"] = func(ctx context.Context, args json.RawMessage) (any, error) {
		var a agent.Request
		if err := json.Unmarshal(args, &a); err != nil {
			return nil, err
		}
		ctx, cancel := context.WithDeadline(ctx, time.Now().Add(workTime))
		defer cancel()
		return work.Start(ctx, a)
	}
	commands["work look"] = word(func(ctx context.Context, w workWord) (any, error) { return work.View(ctx, w.Fresh) })
	commands["work order"] = word(func(ctx context.Context, w workWord) (any, error) {
		return w.Request, work.Order(ctx, w.By, w.Word, w.Request)
	})
	commands["work done"] = word(func(ctx context.Context, w workWord) (any, error) {
		return w.Machine, work.Done(ctx, w.By, w.Machine, w.As)
	})
	commands["work forget"] = word(func(ctx context.Context, w workWord) (any, error) { return w.Name, work.Forget(ctx, w.By, w.Name) })
	commands["duties hand-on"] = word(func(ctx context.Context, w workWord) (any, error) { return true, work.HandOver(ctx, w.Name) })
	commands["duties try"] = word(func(ctx context.Context, w workWord) (any, error) { return work.TryDuty(ctx, w.Name) })
}

// workTime is how long the daemon tries for an operator.
const workTime = 8 * time.Second

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

// ask puts a command to the coordinator behind the socket.
func (f socketFlag) ask(command string, args, result any) error {
	path, err := f.path()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(workTime+2*time.Second))
	defer cancel()
	return admin.Call(ctx, path, command, args, result)
}

// operator is who asks, for the audit.
func operator() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return fmt.Sprint("uid ", os.Getuid())
}

// which is the flags that say which machines go, and how.
type which struct {
	Machines      []string      `arg:"" optional:"" help:"Machines by the names of the list."`
	Zone          string        `help:"All machines of a zone."`
	StartedBefore time.Time     `help:"All whose process was started before (RFC 3339): those of an older release." format:"2006-01-02T15:04:05Z07:00"`
	All           bool          `help:"All machines."`
	Takes         time.Duration `default:"30m" help:"Longest that a machine is out; then it has failed."`
	Back          time.Duration `default:"5m" help:"Longest until it serves again, beside its time to warm up."`
	NotBefore     time.Time     `help:"Begin no sooner (RFC 3339)." format:"2006-01-02T15:04:05Z07:00"`
	DoneBy        time.Time     `help:"Refuse what would end later (RFC 3339)." format:"2006-01-02T15:04:05Z07:00"`
	AtOnce        int           `help:"Most machines of the request at once; 0 leaves it to the limits."`
	Barred        []string      `help:"Hours in which nothing goes out, as 18:00-23:30."`
	GoOn          bool          `help:"Go on without a machine that fails; otherwise the request stops."`
	ByHand        bool          `help:"Only a word says that a machine is done, not a later start of its process."`
}

func (w which) asked(dry bool) (a agent.Request, err error) {
	a = agent.Request{By: operator(), Machines: w.Machines, Zone: w.Zone, All: w.All, Takes: w.Takes, Back: w.Back, AtOnce: w.AtOnce, GoOn: w.GoOn, ByHand: w.ByHand, DryRun: dry}
	for to, t := range map[*int64]time.Time{&a.NotBefore: w.NotBefore, &a.DoneBy: w.DoneBy} {
		if !t.IsZero() {
			*to = t.Unix()
		}
	}
	if !w.StartedBefore.IsZero() {
		a.StartedBefore = w.StartedBefore.UnixMilli()
	}
	for _, text := range w.Barred {
		h, err := hours(text)
		if err != nil {
			return a, err
		}
		a.Barred = append(a.Barred, h)
	}
	return a, nil
}

// hours reads "18:00-23:30".
func hours(text string) (h maintenance.Hours, err error) {
	from, to, ok := strings.Cut(text, "-")
	for side, part := range map[*time.Duration]string{&h.From: from, &h.To: to} {
		t, err := time.Parse("15:04", part)
		if !ok || err != nil {
			return h, fmt.Errorf("--barred %q: give hours as 18:00-23:30", text)
		}
		*side = time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute
	}
	return h, nil
}

type workPlanCmd struct {
	socketFlag
	which
	JSON bool   `name:"json" help:"For machines."`
	HTML string `name:"html" help:"Write the plan as a page with a picture to this file."`
}

// Run shows what a start would do.
func (c workPlanCmd) Run() error {
	a, err := c.asked(true)
	if err != nil {
		return err
	}
	var p agent.Planned
	if err := c.ask("work start", a, &p); err != nil {
		return err
	}
	if c.HTML != "" {
		if err := os.WriteFile(c.HTML, []byte(planPage(p)), 0o644); err != nil {
			return err
		}
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(p)
	}
	return planTable(os.Stdout, p)
}

func planTable(w io.Writer, p agent.Planned) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "wave\tafter\tmachines")
	for i, wave := range p.Plan.Waves {
		text := strings.Join(wave, " ")
		if len(wave) > 12 {
			text = fmt.Sprintf("%s and %d more", strings.Join(wave[:12], " "), len(wave)-12)
		}
		fmt.Fprintf(t, "%d\t%v\t%s\n", i+1, time.Duration(i)*p.Step, text)
	}
	t.Flush()
	exact := fmt.Sprintf("no order has fewer than %d", p.Plan.Bound)
	if p.Plan.Exact {
		exact = "no order has fewer"
	}
	_, err := fmt.Fprintf(w, "%d waves; %s; done by %s at the latest\n", len(p.Plan.Waves), exact, time.Unix(p.Ends, 0).Format(time.RFC3339))
	return err
}

// planPage is the plan as a page with a Gantt picture, drawn as SVG.
func planPage(p agent.Planned) string {
	const row, left, width = 14, 160, 900
	var names, bars strings.Builder
	y, waves := 0, max(len(p.Plan.Waves), 1)
	for i, wave := range p.Plan.Waves {
		for _, m := range wave {
			if y < 2000*row { // a picture beyond is of no use
				fmt.Fprintf(&names, `<text x="%d" y="%d" text-anchor="end">%s</text>`, left-6, y+row-3, escape(m))
				fmt.Fprintf(&bars, `<rect x="%d" y="%d" width="%d" height="%d"/>`, left+i*width/waves, y+2, max(1, width/waves-1), row-4)
			}
			y += row
		}
	}
	height := min(y, 2000*row)
	return fmt.Sprintf(`<!doctype html><meta charset="utf-8"><title>Work on machines</title>
<style>body{font:14px sans-serif;margin:2em}text{font:11px monospace}rect{fill:#4878a8}</style>
<h1>Work on machines</h1><p>%d waves of %v each; no order has fewer than %d. Done by %s at the latest.</p>
<svg width="%d" height="%d" role="img" aria-label="which machine is out when">%s%s</svg>
`, len(p.Plan.Waves), p.Step, p.Plan.Bound, time.Unix(p.Ends, 0).Format(time.RFC3339), left+width, height, names.String(), bars.String())
}

func escape(s string) string {
	return strings.NewReplacer("&", "&amp;", "<", "&lt;", ">", "&gt;").Replace(s)
}

type workStartCmd struct {
	socketFlag
	which
	DryRun bool `help:"Show what it would do, and do nothing."`
	JSON   bool `name:"json" help:"For machines."`
}

// Run asks for work.
func (c workStartCmd) Run() error {
	a, err := c.asked(c.DryRun)
	if err != nil {
		return err
	}
	var p agent.Planned
	if err := c.ask("work start", a, &p); err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(p)
	}
	if err := planTable(os.Stdout, p); err != nil || c.DryRun {
		return err
	}
	fmt.Printf("request %d; follow it with: gullfall work show %d --watch\n", p.Request, p.Request)
	return nil
}

type lookFlags struct {
	socketFlag
	JSON  bool `name:"json" help:"For machines."`
	Stale bool `help:"Show what is known here, without asking the store's leader."`
	Watch bool `help:"Show it anew each second, until interrupted."`
}

// show asks for the view again and again, as the flags say.
func (f lookFlags) show(table func(agent.View) error) error {
	for {
		var v agent.View
		if err := f.ask("work look", workWord{Fresh: !f.Stale}, &v); err != nil {
			return err
		}
		var err error
		if f.JSON {
			err = json.NewEncoder(os.Stdout).Encode(v)
		} else {
			err = table(v)
		}
		if err != nil || !f.Watch {
			return err
		}
		time.Sleep(time.Second)
	}
}

type workListCmd struct{ lookFlags }

// Run lists the requests.
func (c workListCmd) Run() error {
	return c.show(func(v agent.View) error {
		t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "request\tby\tstate\tmachines\tdone\tin work\twhy it waits")
		for _, r := range v.Plan.Requests {
			done, work := 0, 0
			for _, st := range r.Steps {
				switch {
				case st.State == maintenance.Done || st.State == maintenance.Abandoned:
					done++
				case st.State != maintenance.Waiting:
					work++
				}
			}
			fmt.Fprintf(t, "%d\t%s\t%s\t%d\t%d\t%d\t%s\n", r.ID, r.By, r.State, len(r.Steps), done, work, r.Why)
		}
		return t.Flush()
	})
}

type workShowCmd struct {
	lookFlags
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
		t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "machine\tstate\twave\tback as\tnot clear at")
		for _, st := range r.Steps {
			var not []string
			for _, co := range v.Coordinators {
				if st.State == maintenance.Draining && co.Clear[st.Machine] != st.Turn {
					not = append(not, co.Name)
				}
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\n", st.Machine, st.State, st.Wave+1, st.As, strings.Join(not, " "))
		}
		t.Flush()
		for _, co := range v.Coordinators {
			if !co.Present || co.Seen < v.Plan.Seen() {
				fmt.Printf("%s: present %v, has seen %d calls of %d\n", co.Name, co.Present, co.Seen, v.Plan.Seen())
			}
		}
		for _, a := range v.Plan.Audit[max(0, len(v.Plan.Audit)-10):] {
			fmt.Printf("%s %s: %s\n", time.Unix(a.At, 0).Format(time.RFC3339), a.Who, a.What)
		}
		return nil
	})
}

type requestArg struct {
	socketFlag
	Request uint64 `arg:"" help:"The request's number."`
}

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

type dutiesCmd struct {
	Show   dutiesShowCmd   `cmd:"" default:"withargs" help:"Show who holds which duty."`
	HandOn dutiesHandOnCmd `cmd:"" help:"Have the coordinator behind the socket give a duty back, so that another takes it over."`
	Try    dutiesTryCmd    `cmd:"" help:"Exit with status 0 only if the coordinator behind the socket holds a duty and the store takes its token; print the token."`
}

type dutiesShowCmd struct{ lookFlags }

// Run shows the duties.
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
		fmt.Printf("store: %s leads in term %d; %s has applied up to %d\n", nobody(v.Store.Leader), v.Store.Term, v.Store.Name, v.Store.Index)
		return nil
	})
}

func nobody(name string) string {
	if name == "" {
		return "nobody"
	}
	return name
}

type dutiesHandOnCmd struct {
	socketFlag
	Name string `arg:"" default:"maintenance" help:"The duty."`
}

// Run has a duty handed on.
func (c dutiesHandOnCmd) Run() error {
	var done bool
	if err := c.ask("duties hand-on", workWord{Name: c.Name}, &done); err != nil {
		return err
	}
	if !done {
		return errors.New("it was not handed on")
	}
	fmt.Println("given back; another coordinator takes it over within a quarter of a lease")
	return nil
}

type dutiesTryCmd struct {
	socketFlag
	Name string `arg:"" help:"The duty."`
	JSON bool   `name:"json" help:"For machines."`
}

// Run tries a duty.
func (c dutiesTryCmd) Run() error {
	var t agent.DutyAttempt
	if err := c.ask("duties try", workWord{Name: c.Name}, &t); err != nil {
		return err
	}
	if c.JSON {
		json.NewEncoder(os.Stdout).Encode(t)
	} else if t.Accepted {
		fmt.Println(t.Token)
	}
	switch {
	case !t.Holds:
		return fmt.Errorf("%s does not hold %s", t.Who, t.Duty)
	case !t.Accepted:
		return fmt.Errorf("the store does not take token %d of %s any more: %s", t.Token, t.Who, t.Why)
	}
	return nil
}
