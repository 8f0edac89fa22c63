package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"gullfall/internal/maintenance"
	"gullfall/internal/maintenance/agent"
)

// requestFlags select the machines of a request and the conditions under which they are taken out.
type requestFlags struct {
	Machines      []string      `arg:"" optional:"" help:"Names of machines."`
	Zone          string        `help:"All machines of a zone."`
	StartedBefore time.Time     `help:"All machines whose process was started before this time (RFC 3339), that is, with an older release." format:"2006-01-02T15:04:05Z07:00"`
	All           bool          `help:"All machines."`
	Takes         time.Duration `default:"30m" help:"Longest time that a machine may be out before it counts as failed."`
	Back          time.Duration `default:"5m" help:"Longest time until it serves again, not counting its warm-up."`
	NotBefore     time.Time     `help:"Do not begin before this time (RFC 3339)." format:"2006-01-02T15:04:05Z07:00"`
	DoneBy        time.Time     `help:"Reject the request if it would end after this time (RFC 3339)." format:"2006-01-02T15:04:05Z07:00"`
	AtOnce        int           `help:"Maximum number of the request's machines out at once; 0 for the configured limits."`
	Barred        []string      `help:"Hours in which no machine is taken out, such as 18:00-23:30."`
	GoOn          bool          `help:"Continue without a machine that fails; otherwise the request stops."`
	ByHand        bool          `help:"Treat a machine as done only after 'work done', not when its process is restarted."`
}

// request returns the request described by the flags.
func (w requestFlags) request() (a agent.Request, err error) {
	a = agent.Request{By: operator(), Machines: w.Machines, Zone: w.Zone, All: w.All, Takes: w.Takes, Back: w.Back, AtOnce: w.AtOnce, GoOn: w.GoOn, ByHand: w.ByHand}
	for to, t := range map[*int64]time.Time{&a.NotBefore: w.NotBefore, &a.DoneBy: w.DoneBy} {
		if !t.IsZero() {
			*to = t.Unix()
		}
	}
	if !w.StartedBefore.IsZero() {
		a.StartedBefore = w.StartedBefore.UnixMilli()
	}
	for _, text := range w.Barred {
		h, err := parseHours(text)
		if err != nil {
			return a, err
		}
		a.Barred = append(a.Barred, h)
	}
	return a, nil
}

// parseHours parses a daily interval such as "18:00-23:30".
func parseHours(text string) (h maintenance.Hours, err error) {
	from, to, ok := strings.Cut(text, "-")
	for side, part := range map[*time.Duration]string{&h.From: from, &h.To: to} {
		t, err := time.Parse("15:04", part)
		if !ok || err != nil {
			return h, fmt.Errorf("--barred %q: expected hours such as 18:00-23:30", text)
		}
		*side = time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute
	}
	return h, nil
}

type workPlanCmd struct {
	socketFlag
	requestFlags
	JSON bool   `name:"json" help:"Print JSON."`
	HTML string `name:"html" help:"Write the plan to this file as an HTML page with a Gantt chart."`
}

// Run prints the plan for a request without submitting the request.
func (c workPlanCmd) Run() error {
	request, err := c.request()
	if err != nil {
		return err
	}
	request.DryRun = true
	var p agent.Planned
	if err := c.callWithStore("work start", request, &p); err != nil {
		return err
	}
	if c.HTML != "" {
		if err := os.WriteFile(c.HTML, []byte(planHTML(p)), 0o644); err != nil {
			return err
		}
	}
	if c.JSON {
		return printJSON(p)
	}
	return planTable(os.Stdout, p)
}

type workStartCmd struct {
	socketFlag
	requestFlags
	DryRun bool `help:"Show the plan without making the request."`
	JSON   bool `name:"json" help:"Print JSON."`
}

// Run requests maintenance.
func (c workStartCmd) Run() error {
	request, err := c.request()
	if err != nil {
		return err
	}
	request.DryRun = c.DryRun
	var p agent.Planned
	if err := c.callWithStore("work start", request, &p); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(p)
	}
	if err := planTable(os.Stdout, p); err != nil || c.DryRun {
		return err
	}
	fmt.Printf("request %d; follow it with: gullfall work show %d --watch\n", p.Request, p.Request)
	return nil
}

// maxMachinesShown is the maximum number of machines of a wave that a table lists.
const maxMachinesShown = 12

// planTable prints a plan with one line per wave.
func planTable(w io.Writer, p agent.Planned) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "wave\tafter\tmachines")
	for i, wave := range p.Plan.Waves {
		text := strings.Join(wave, " ")
		if len(wave) > maxMachinesShown {
			text = fmt.Sprintf("%s and %d more", strings.Join(wave[:maxMachinesShown], " "), len(wave)-maxMachinesShown)
		}
		fmt.Fprintf(t, "%d\t%v\t%s\n", i+1, time.Duration(i)*p.Step, text)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	exact := fmt.Sprintf("no order has fewer than %d", p.Plan.Bound)
	if p.Plan.Exact {
		exact = "no order has fewer"
	}
	_, err := fmt.Fprintf(w, "%d waves; %s; done by %s at the latest\n", len(p.Plan.Waves), exact, time.Unix(p.Ends, 0).Format(time.RFC3339))
	return err
}

// planHTML returns an HTML page with the plan as a Gantt chart in SVG.
func planHTML(p agent.Planned) string {
	const row, left, width = 14, 160, 900
	var names, bars strings.Builder
	y, waves := 0, max(len(p.Plan.Waves), 1)
	for i, wave := range p.Plan.Waves {
		for _, m := range wave {
			if y < 2000*row { // a longer chart is not readable
				fmt.Fprintf(&names, `<text x="%d" y="%d" text-anchor="end">%s</text>`, left-6, y+row-3, escapeHTML(m))
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

// escapeHTML escapes text for HTML.
func escapeHTML(s string) string {
	return strings.NewReplacer("&", "&amp;", "<", "&lt;", ">", "&gt;").Replace(s)
}
