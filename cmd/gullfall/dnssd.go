package main

// This file is the commands that show records: dnssd browse, which looks once, and dnssd watch, which follows. They
// use the daemon's own follower and membership table, so that they show what it would decide. They must never write
// anything but their output.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"

	"gullfall/internal/config"
	"gullfall/internal/dnssd"
	"gullfall/internal/membership"
)

type dnssdCmd struct {
	Browse browseCmd `cmd:"" help:"Look once: what the records say, and why a data node is or is not used."`
	Watch  watchCmd  `cmd:"" help:"Follow the records and tell each change."`
}

// zoneFlags name the zones: those of the file, or one of its own.
type zoneFlags struct {
	Deploy   string   `default:"deploy/gullfall.toml" help:"The file whose zones are read."`
	Domain   string   `help:"Read this domain in place of the file's zones."`
	Server   []string `help:"A server of --domain, as 127.0.0.1:5353."`
	Service  []string `default:"_dn._tcp" help:"A service type of --domain."`
	Transfer bool     `help:"Ask the servers of --domain for transfers."`
	JSON     bool     `name:"json" help:"One JSON object a line."`
}

// zones are those that the flags name.
func (z zoneFlags) zones() ([]dnssd.Zone, config.Deploy, error) {
	deploy, err := config.LoadDeploy(z.Deploy, "")
	if err != nil {
		return nil, deploy, err
	}
	zones := deploy.DNSSD.Zones()
	if z.Domain != "" {
		deploy.DNSSD.Zone = []config.Zone{{Domain: z.Domain, Services: z.Service, Servers: z.Server, Transfer: z.Transfer}}
		if err := deploy.Check(""); err != nil {
			return nil, deploy, err
		}
		zones = deploy.DNSSD.Zones()
	}
	if len(zones) == 0 {
		return nil, deploy, errors.New("no zone: name one by --domain and --server, or as dnssd.zone in " + z.Deploy)
	}
	return zones, deploy, nil
}

// line is one thing that is told.
type line struct {
	At       time.Time `json:"at,omitzero"`
	Zone     string    `json:"zone"`
	Node     string    `json:"node,omitempty"`
	State    string    `json:"state,omitempty"`
	Addr     string    `json:"addr,omitempty"`
	Cell     *int      `json:"cell,omitempty"`
	Priority uint16    `json:"priority,omitempty"`
	Weight   float64   `json:"weight,omitempty"`
	Why      string    `json:"why,omitempty"`
}

// show is a table that tells what it is told.
type show struct {
	mu       sync.Mutex
	table    *membership.Table
	json     bool
	quiet    bool // lists are shown at the end, not as they change
	zone     string
	lists    int
	failed   string
	problems map[string][]dnssd.Problem
}

func (s *show) print(l line) {
	if s.json {
		json.NewEncoder(os.Stdout).Encode(l)
		return
	}
	text := ""
	if !l.At.IsZero() {
		text = l.At.Format("15:04:05.000 ")
	}
	if l.Node == "" {
		fmt.Printf("%s%-24s %s\n", text, l.Zone, l.Why)
		return
	}
	cell := "-"
	if l.Cell != nil {
		cell = fmt.Sprint(*l.Cell)
	}
	fmt.Printf("%s%-24s %-9s %-22s cell %-4s priority %-3d weight %-6g %s\n", text, l.Node, l.State, l.Addr, cell, l.Priority, l.Weight, l.Why)
}

func (s *show) result(now time.Time, r membership.Result) {
	if s.quiet {
		return
	}
	for _, m := range r.Changes {
		s.print(line{At: now, Zone: s.zone, Node: m.ID, State: m.State.String(), Addr: m.Addr, Cell: &m.ShardSet,
			Priority: m.Priority, Weight: m.Weight, Why: s.table.Explain(m.ID)})
	}
	for _, n := range r.Notes {
		if n.ID == "" {
			s.print(line{At: now, Zone: s.zone, Why: string(n.Cause) + ": " + n.Detail})
		}
	}
}

// teller is one zone's way to a show.
type teller struct {
	*show
	zone   string
	source *membership.Source
}

func (t *teller) Update(u membership.Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.show.zone = t.zone
	if u.Basis == membership.Failed {
		t.failed = t.zone + ": " + u.Cause
	} else {
		t.lists++
	}
	now := time.Now()
	t.result(now, t.source.Update(now, u))
}

func (t *teller) Renew() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.show.zone = t.zone
	t.result(now, t.source.Renew(now))
}

func (t *teller) SerialSeen(serial uint32) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.show.zone = t.zone
	fetch, r := t.source.SerialSeen(now, serial)
	t.result(now, r)
	return fetch
}

// follow starts a follower for each zone.
func (z zoneFlags) follow(ctx context.Context, quiet bool) (*show, *sync.WaitGroup, error) {
	zones, deploy, err := z.zones()
	if err != nil {
		return nil, nil, err
	}
	cfg := deploy.Damping()
	cfg.ShardSets, cfg.Shards = 1<<20, 1 // cells are the settings' to bound; here all are shown
	table, err := membership.New(cfg)
	if err != nil {
		return nil, nil, err
	}
	s := &show{table: table, json: z.JSON, quiet: quiet, problems: map[string][]dnssd.Problem{}}
	client := dnssd.NewClient(deploy.DNSSD.Questions, 16)
	var wg sync.WaitGroup
	for _, zone := range zones {
		t := &teller{show: s, zone: zone.Domain, source: table.Source(membership.Spec{Name: zone.Domain, Damped: true})}
		f := &dnssd.Follower{Zone: zone, Client: client, Updater: t, Log: slog.New(slog.DiscardHandler), Poll: time.Duration(deploy.DNSSD.Poll),
			Report: func(list []dnssd.Problem) {
				s.mu.Lock()
				defer s.mu.Unlock()
				if !quiet && !slices.EqualFunc(list, s.problems[zone.Domain], func(a, b dnssd.Problem) bool {
					return a.Instance == b.Instance && a.Cause.Error() == b.Cause.Error()
				}) {
					for _, p := range list {
						s.print(line{At: time.Now(), Zone: zone.Domain, Why: "not usable: " + p.Instance + ": " + p.Cause.Error()})
					}
				}
				s.problems[zone.Domain] = list
			}}
		wg.Go(func() { f.Run(ctx) })
	}
	return s, &wg, nil
}

type browseCmd struct {
	zoneFlags
	For time.Duration `default:"1500ms" help:"How long answers are waited for."`
}

// Run looks at the records once.
func (b browseCmd) Run() error {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(b.For))
	defer cancel()
	s, wg, err := b.follow(ctx, true)
	if err != nil {
		return err
	}
	wg.Wait()
	for _, m := range s.table.List() {
		s.print(line{Node: m.ID, State: m.State.String(), Addr: m.Addr, Cell: &m.ShardSet, Priority: m.Priority, Weight: m.Weight,
			Why: s.table.Explain(m.ID)})
	}
	for zone, list := range s.problems {
		for _, p := range list {
			s.print(line{Zone: zone, Why: "not usable: " + p.Instance + ": " + p.Cause.Error()})
		}
	}
	if s.lists == 0 {
		return fmt.Errorf("no list has come; %s", s.failed)
	}
	return nil
}

type watchCmd struct {
	zoneFlags
	For time.Duration `help:"End after this time; never where it is not given."`
}

// Run follows the records until it is interrupted.
func (w watchCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if w.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, time.Now().Add(w.For))
		defer cancel()
	}
	_, wg, err := w.follow(ctx, false)
	if err != nil {
		return err
	}
	wg.Wait()
	return nil
}
