package main

// This file owns `gullfall zones`: the verdict on each zone as one coordinator sees it, and zones that are left by an operator's word.
// Those stand in our own file (zones.drained, of one coordinator) and in the store (of all that share it). It must never judge a zone.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"gullfall/internal/admin"
	"gullfall/internal/coordinator"
	"gullfall/internal/statemachine"
	"gullfall/internal/store"
	"gullfall/internal/zones"
)

// drainedKey is the key under which the store keeps the zones that are left by an operator's word.
const drainedKey = "zones/drained"

const mostDrained = 64 // zones by hand

// zoneDrains joins what the file and the store say of zones left by hand.
type zoneDrains struct {
	coordinator *coordinator.Coordinator
	store       *store.Store
	log         *slog.Logger

	mu   sync.Mutex
	file []string
}

// watch follows the store until ctx ends.
func (z *zoneDrains) watch(ctx context.Context) {
	last := ""
	for {
		changed := z.store.Changed()
		if now := string(z.store.Get(drainedKey)); now != last {
			if last = now; z.apply() != nil {
				return // zones are not watched: told where they are drained
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// reload takes in the file's.
func (z *zoneDrains) reload(file []string) error {
	z.mu.Lock()
	z.file = file
	z.mu.Unlock()
	return z.apply()
}

func (z *zoneDrains) apply() error {
	z.mu.Lock()
	defer z.mu.Unlock()
	names := append([]string{}, z.file...)
	stored, err := storedZones(z.store.Get(drainedKey))
	if err != nil {
		z.log.Error("zones drained in the store not understood; those of the file hold", "cause", err)
	}
	for _, n := range stored {
		if !slices.Contains(names, n) {
			names = append(names, n)
		}
	}
	return z.coordinator.DrainZones(names)
}

func storedZones(raw []byte) (names []string, err error) {
	if len(raw) > 0 {
		err = json.Unmarshal(raw, &names)
	}
	return names, err
}

// word drains a zone for all that share the store, or no longer.
func (z *zoneDrains) word(ctx context.Context, zone string, drain bool) error {
	known := false
	for _, s := range z.coordinator.Zones() {
		known = known || s.Zone == zone
	}
	if drain && !known {
		return fmt.Errorf("no zone %q is known; see `gullfall zones`", zone)
	}
	for {
		if err := z.store.Sync(ctx); err != nil {
			return fmt.Errorf("the store was not heard in time; to drain it at this coordinator alone set zones.drained in deploy/gullfall.toml and send SIGHUP: %w", err)
		}
		var e statemachine.Entry
		z.store.View(func(st *statemachine.State) { e, _ = st.Get(drainedKey) })
		names, err := storedZones(e.Value)
		if err != nil {
			return fmt.Errorf("%s in the store: %w", drainedKey, err)
		}
		at := slices.Index(names, zone)
		switch {
		case drain && at >= 0:
			return fmt.Errorf("%q is drained by an operator's word already", zone)
		case drain && len(names) >= mostDrained:
			return fmt.Errorf("%d zones are drained by hand, the most there may be", len(names))
		case drain:
			names = append(names, zone)
		case at < 0:
			return fmt.Errorf("%q is not drained by a word in the store; one in zones.drained of the file is to be taken out there", zone)
		default:
			names = slices.Delete(names, at, at+1)
		}
		data, err := json.Marshal(names)
		if err != nil {
			return err
		}
		r, err := z.store.Do(ctx, statemachine.Command{If: []statemachine.Condition{{Key: drainedKey, Revision: e.Revision}}, Put: []statemachine.Pair{{Key: drainedKey, Value: data}}})
		switch {
		case err != nil:
			return fmt.Errorf("the store did not answer in time, so it may or may not have been taken: %w", err)
		case r.Failed == "":
			return z.store.Wait(ctx, r.Index)
		case r.Failed != statemachine.Conflict:
			return r.Err()
		}
	}
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

func zoneViews(list []zones.Status, now time.Time) (views []zoneView) {
	round := func(d time.Duration) float64 { return math.Round(d.Seconds()*10) / 10 }
	for _, s := range list {
		v := zoneView{Zone: s.Zone, Verdict: s.State.String(), Nodes: s.Nodes, Failing: s.Failing, Others: math.Round(s.Others*100) / 100, Waits: s.Waits,
			Ramp: math.Round(s.Returned*100) / 100, Drained: s.Drained, Panic: s.Panic, Why: s.Reason}
		if !s.Since.IsZero() {
			v.SinceS = round(now.Sub(s.Since))
		}
		if s.State == zones.Out && s.Return.After(now) {
			v.ReturnS = round(s.Return.Sub(now))
		}
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b zoneView) int { return strings.Compare(a.Zone, b.Zone) })
	return views
}

// zoneCommands adds the commands of zones that are watched.
func zoneCommands(commands map[string]admin.Command, drains *zoneDrains) {
	if drains == nil {
		return
	}
	commands["zones"] = func(context.Context, json.RawMessage) (any, error) {
		return zoneViews(drains.coordinator.Zones(), time.Now()), nil
	}
	for name, drain := range map[string]bool{"zones drain": true, "zones undrain": false} {
		commands[name] = func(ctx context.Context, args json.RawMessage) (any, error) {
			var zone string
			if err := json.Unmarshal(args, &zone); err != nil {
				return nil, err
			}
			ctx, cancel := context.WithDeadline(ctx, time.Now().Add(workTime))
			defer cancel()
			return zone, drains.word(ctx, zone, drain)
		}
	}
}

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
	for {
		var list []zoneView
		if err := c.ask("zones", nil, &list); err != nil {
			return err
		}
		var err error
		if c.JSON {
			err = json.NewEncoder(os.Stdout).Encode(list)
		} else {
			err = zonesTable(os.Stdout, list)
		}
		if err != nil || !c.Watch {
			return err
		}
		time.Sleep(time.Second)
	}
}

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

type zoneArg struct {
	socketFlag
	Zone string `arg:"" help:"The zone."`
}

func (z zoneArg) say(word, done string) error {
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
	return c.say("drain", "%s is left by all coordinators that share the store, whatever is seen of it")
}

// Run takes that back.
func (c zonesUndrainCmd) Run() error {
	return c.say("undrain", "%s is returned to, at the pace of cold data nodes")
}
