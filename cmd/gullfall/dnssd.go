package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"

	"gullfall/internal/config"
	"gullfall/internal/dnssd"
	"gullfall/internal/membership"
)

// dnssdCmd shows the records of zones, once (browse) or as they change (watch). Both use the daemon's follower and membership table, so
// they show what the daemon would decide.
type dnssdCmd struct {
	Browse browseCmd `cmd:"" help:"Print the current records, and why each data node is or is not used."`
	Watch  watchCmd  `cmd:"" help:"Follow the records and print each change."`
}

// zoneFlags select the zones: those of the deploy file, or a single one given by flags.
type zoneFlags struct {
	Deploy   string   `default:"deploy/gullfall.toml" help:"Deploy file whose zones are followed."`
	Domain   string   `help:"Follow this domain instead of the file's zones."`
	Server   []string `help:"Server of --domain, such as 127.0.0.1:5353."`
	Service  []string `default:"_dn._tcp" help:"Service type of --domain."`
	Transfer bool     `help:"Request zone transfers from the servers of --domain."`
	JSON     bool     `name:"json" help:"Print one JSON object per line."`
}

// zones returns the selected zones and the deploy file.
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
		return nil, deploy, errors.New("no zone: give one by --domain and --server, or as dnssd.zone in " + z.Deploy)
	}
	return zones, deploy, nil
}

// outputLine is one line of output: a data node, or a message about a zone if Node is empty.
type outputLine struct {
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

// zoneDisplay prints the updates and problems that zone followers report.
type zoneDisplay struct {
	json      bool
	finalOnly bool // print only the final list, not each change

	mu          sync.Mutex // guards the fields below and serializes the output
	table       *membership.Table
	listCount   int                        // number of lists received
	lastFailure string                     // cause of the last failed update
	problems    map[string][]dnssd.Problem // unusable records, by zone
}

func (d *zoneDisplay) print(l outputLine) {
	if d.json {
		_ = printJSON(l) // ignored, as for fmt.Printf below: if the reader has exited, SIGPIPE ends the command
		return
	}
	timestamp := ""
	if !l.At.IsZero() {
		timestamp = l.At.Format("15:04:05.000 ")
	}
	if l.Node == "" {
		fmt.Printf("%s%-24s %s\n", timestamp, l.Zone, l.Why)
		return
	}
	cell := "-"
	if l.Cell != nil {
		cell = fmt.Sprint(*l.Cell)
	}
	fmt.Printf("%s%-24s %-9s %-22s cell %-4s priority %-3d weight %-6g %s\n", timestamp, l.Node, l.State, l.Addr, cell, l.Priority, l.Weight, l.Why)
}

// printNode prints a data node's entry in the table.
func (d *zoneDisplay) printNode(at time.Time, zone string, m membership.Record) {
	d.print(outputLine{At: at, Zone: zone, Node: m.ID, State: m.State.String(), Addr: m.Addr, Cell: &m.ShardSet, Priority: m.Priority,
		Weight: m.Weight, Why: d.table.Explain(m.ID)})
}

// printProblem prints an unusable record with the cause.
func (d *zoneDisplay) printProblem(at time.Time, zone string, p dnssd.Problem) {
	d.print(outputLine{At: at, Zone: zone, Why: "not usable: " + p.Instance + ": " + p.Cause.Error()})
}

// printResult prints the changes and notes that result from an update.
func (d *zoneDisplay) printResult(now time.Time, zone string, r membership.Result) {
	if d.finalOnly {
		return
	}
	for _, m := range r.Changes {
		d.printNode(now, zone, m)
	}
	for _, n := range r.Notes {
		if n.ID == "" {
			d.print(outputLine{At: now, Zone: zone, Why: string(n.Cause) + ": " + n.Detail})
		}
	}
}

// report stores the unusable records of a zone, and prints them if they have changed.
func (d *zoneDisplay) report(zone string, list []dnssd.Problem) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.finalOnly && !slices.EqualFunc(list, d.problems[zone], equalProblems) {
		for _, p := range list {
			d.printProblem(time.Now(), zone, p)
		}
	}
	d.problems[zone] = list
}

func equalProblems(a, b dnssd.Problem) bool {
	return a.Instance == b.Instance && a.Cause.Error() == b.Cause.Error()
}

// zoneUpdater applies the updates of one zone to the display's table.
type zoneUpdater struct {
	*zoneDisplay
	zone   string
	source *membership.Source
}

// Update applies a new list, or records why fetching one failed.
func (u *zoneUpdater) Update(update membership.Update) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if update.Reliability == membership.Failed {
		u.lastFailure = u.zone + ": " + update.Cause
	} else {
		u.listCount++
	}
	now := time.Now()
	u.printResult(now, u.zone, u.source.Update(now, update))
}

// Renew confirms that the zone's list is unchanged.
func (u *zoneUpdater) Renew() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.printResult(now, u.zone, u.source.Renew(now))
}

// CheckSerial processes the zone's current serial and reports whether the list must be fetched.
func (u *zoneUpdater) CheckSerial(serial uint32) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	fetch, r := u.source.CheckSerial(now, serial)
	u.printResult(now, u.zone, r)
	return fetch
}

// maxDNSQueries is the maximum number of concurrent queries to DNS servers.
const maxDNSQueries = 16

// anyShardSet is a shard set count that accepts every shard set in the records; these commands don't read the settings, which have the
// actual count.
const anyShardSet = 1 << 20

// follow starts a follower for each zone, which runs until ctx ends. The returned group waits for the followers.
func (z zoneFlags) follow(ctx context.Context, display *zoneDisplay) (*sync.WaitGroup, error) {
	zones, deploy, err := z.zones()
	if err != nil {
		return nil, err
	}
	cfg := deploy.Damping()
	cfg.ShardSets, cfg.Shards = anyShardSet, 1
	if display.table, err = membership.New(cfg); err != nil {
		return nil, err
	}
	display.json, display.problems = z.JSON, map[string][]dnssd.Problem{}
	client := dnssd.NewClient(deploy.DNSSD.Questions, maxDNSQueries)
	var followers sync.WaitGroup
	for _, zone := range zones {
		source := display.table.AddSource(membership.Spec{Name: zone.Domain, Damped: true})
		follower := &dnssd.Follower{
			Zone:       zone,
			Client:     client,
			Updater:    &zoneUpdater{zoneDisplay: display, zone: zone.Domain, source: source},
			Log:        slog.New(slog.DiscardHandler),
			Poll:       time.Duration(deploy.DNSSD.Poll),
			OnProblems: func(list []dnssd.Problem) { display.report(zone.Domain, list) },
		}
		followers.Go(func() { follower.Run(ctx) })
	}
	return &followers, nil
}

type browseCmd struct {
	zoneFlags
	For time.Duration `default:"1500ms" help:"How long to wait for answers."`
}

// Run prints the records once.
func (b browseCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), b.For)
	defer cancel()
	display := &zoneDisplay{finalOnly: true}
	followers, err := b.follow(ctx, display)
	if err != nil {
		return err
	}
	followers.Wait()
	for _, m := range display.table.List() {
		display.printNode(time.Time{}, "", m)
	}
	for zone, list := range display.problems {
		for _, p := range list {
			display.printProblem(time.Time{}, zone, p)
		}
	}
	if display.listCount == 0 {
		return fmt.Errorf("no list received; %s", display.lastFailure)
	}
	return nil
}

type watchCmd struct {
	zoneFlags
	For time.Duration `help:"Stop after this time; by default never."`
}

// Run prints changes of the records until it is interrupted.
func (w watchCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if w.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, w.For)
		defer cancel()
	}
	followers, err := w.follow(ctx, &zoneDisplay{})
	if err != nil {
		return err
	}
	followers.Wait()
	return nil
}
