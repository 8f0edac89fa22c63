package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"gullfall/internal/admin"
	"gullfall/internal/zones"
)

type zonesCmd struct {
	Show    zonesShowCmd    `cmd:"" default:"withargs" help:"Show the verdict on each zone and its reason."`
	Drain   zonesDrainCmd   `cmd:"" help:"Stop using a zone at all coordinators that share the store."`
	Undrain zonesUndrainCmd `cmd:"" help:"Return to a drained zone, at the pace of data nodes that warm up."`
}

type zonesShowCmd struct {
	socketFlag
	JSON  bool `name:"json" help:"Print JSON, with --watch one list per line."`
	Watch bool `help:"Print it every second until interrupted."`
}

// Run prints the zones.
func (c zonesShowCmd) Run() error {
	return repeat(c.Watch, func() error {
		var list []zoneView
		if err := c.callWithStore("zones", nil, &list); err != nil {
			return err
		}
		if c.JSON {
			return printJSON(list)
		}
		return zonesTable(os.Stdout, list)
	})
}

// zonesTable prints a table with one line per zone.
func zonesTable(w io.Writer, list []zoneView) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "zone\tverdict\tsince_s\tfailing\tothers\tfailed returns\twhy")
	for _, z := range list {
		verdict := z.Verdict
		if z.Drained {
			verdict += ", drained"
		}
		fmt.Fprintf(t, "%s\t%s\t%.1f\t%d of %d\t%.0f%%\t%d\t%s\n", z.Zone, verdict, z.SinceS, z.Failing, z.Nodes, 100*z.Others, z.Waits, z.Why)
	}
	return t.Flush()
}

// zoneArg selects a zone.
type zoneArg struct {
	socketFlag
	Zone string `arg:"" help:"The zone."`
}

// send runs the command "zones VERB" for the zone and prints format with the zone's name.
func (z zoneArg) send(verb, format string) error {
	if z.Zone == "" {
		return errors.New("the zone's name is empty")
	}
	var zone string
	if err := z.callWithStore("zones "+verb, z.Zone, &zone); err != nil {
		return err
	}
	fmt.Printf(format+"\n", zone)
	return nil
}

type (
	zonesDrainCmd   struct{ zoneArg }
	zonesUndrainCmd struct{ zoneArg }
)

// Run drains a zone.
func (c zonesDrainCmd) Run() error {
	return c.send("drain", "%s is left by all coordinators that share the store, whatever is seen of it")
}

// Run undrains a zone.
func (c zonesUndrainCmd) Run() error {
	return c.send("undrain", "%s is returned to, at the pace of cold data nodes")
}

// zoneView is a zone in the output of `gullfall zones`.
type zoneView struct {
	Zone    string  `json:"zone"`
	Verdict string  `json:"verdict"` // healthy, doubtful, out or returning
	SinceS  float64 `json:"since_s"`
	Nodes   int     `json:"nodes"`
	Failing int     `json:"failing"`
	Others  float64 `json:"others_failing_share"`
	Waits   int     `json:"failed_returns"`
	ReturnS float64 `json:"return_in_s,omitempty"` // least time until a zone that is out starts to return
	Ramp    float64 `json:"returned_share,omitempty"`
	Drained bool    `json:"drained"`
	Panic   bool    `json:"all_suspect"`
	Why     string  `json:"why"`
}

// zoneViews returns a view of each zone, sorted by name.
func zoneViews(list []zones.Status, now time.Time) (views []zoneView) {
	for _, s := range list {
		v := zoneView{Zone: s.Zone, Verdict: s.State.String(), Nodes: s.Nodes, Failing: s.Failing, Others: math.Round(s.OthersShare*100) / 100, Waits: s.FailedRecoveries,
			Ramp: math.Round(s.RampProgress*100) / 100, Drained: s.Drained, Panic: s.Panic, Why: s.Reason}
		if !s.Since.IsZero() {
			v.SinceS = tenths(now.Sub(s.Since))
		}
		if s.State == zones.Out && s.RecoveryStart.After(now) {
			v.ReturnS = tenths(s.RecoveryStart.Sub(now))
		}
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b zoneView) int { return strings.Compare(a.Zone, b.Zone) })
	return views
}

// addZoneCommands adds the commands that show, drain and undrain zones.
func addZoneCommands(commands map[string]admin.Command, drains *zoneDrains) {
	commands["zones"] = view(func() ([]zoneView, error) {
		return zoneViews(drains.coordinator.Zones(), time.Now()), nil
	})
	commands["zones drain"] = command(func(ctx context.Context, zone string) (string, error) {
		return zone, drains.drain(ctx, zone)
	})
	commands["zones undrain"] = command(func(ctx context.Context, zone string) (string, error) {
		return zone, drains.undrain(ctx, zone)
	})
}
