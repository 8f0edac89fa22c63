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
	Show    zonesShowCmd    `cmd:"" default:"withargs" help:"Show the verdict on each zone, and why."`
	Drain   zonesDrainCmd   `cmd:"" help:"Leave a zone, at all coordinators that share the store."`
	Undrain zonesUndrainCmd `cmd:"" help:"Return to a zone that was left by an operator's word, at the pace of cold data nodes."`
}

type zonesShowCmd struct {
	socketFlag
	JSON  bool `name:"json" help:"For machines: one list, or one a line with --watch."`
	Watch bool `help:"Show it anew each second, until interrupted."`
}

// Run shows the zones.
func (c zonesShowCmd) Run() error {
	return repeat(c.Watch, func() error {
		var list []zoneView
		if err := c.ask("zones", nil, &list); err != nil {
			return err
		}
		if c.JSON {
			return printJSON(list)
		}
		return zonesTable(os.Stdout, list)
	})
}

// zonesTable prints one zone a line.
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

// zoneArg names a zone.
type zoneArg struct {
	socketFlag
	Zone string `arg:"" help:"The zone."`
}

// send sends "zones WORD" for the zone and prints done, a format that takes its name.
func (z zoneArg) send(word, done string) error {
	if z.Zone == "" {
		return errors.New("no zone is named")
	}
	var zone string
	if err := z.ask("zones "+word, z.Zone, &zone); err != nil {
		return err
	}
	fmt.Printf(done+"\n", zone)
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

// Run takes that back.
func (c zonesUndrainCmd) Run() error {
	return c.send("undrain", "%s is returned to, at the pace of cold data nodes")
}

// zoneView is a zone as `gullfall zones` shows it.
type zoneView struct {
	Zone    string  `json:"zone"`
	Verdict string  `json:"verdict"` // healthy, doubtful, out, returning
	SinceS  float64 `json:"since_s"`
	Nodes   int     `json:"nodes"`
	Failing int     `json:"failing"`
	Others  float64 `json:"others_failing_share"`
	Waits   int     `json:"failed_returns"`
	ReturnS float64 `json:"return_in_s,omitempty"` // of one that is out: no sooner
	Ramp    float64 `json:"returned_share,omitempty"`
	Drained bool    `json:"drained"`
	Panic   bool    `json:"all_suspect"`
	Why     string  `json:"why"`
}

// zoneViews sorts zones by name.
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

// addZoneCommands adds the commands that show zones and drain them by hand.
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
