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

// dnssdCmd shows records: browse looks once, watch follows them. Both use the daemon's own follower and membership table, so that
// they show what it would decide.
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

// line is one line of output: a data node, or a message about a zone.
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

// zoneDisplay prints what followers of zones report.
type zoneDisplay struct {
	json     bool
	onlyLast bool // the list is printed once at the end, not as it changes

	mu       sync.Mutex // guards what follows, and orders the output
	table    *membership.Table
	lists    int                        // lists that have come
	failed   string                     // why the last one that failed did
	problems map[string][]dnssd.Problem // records that can't be used, by zone
}

func (d *zoneDisplay) print(l line) {
	if d.json {
		_ = printJSON(l) // as fmt.Printf below: a reader that has left ends the command by SIGPIPE
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

// printNode prints a data node as the table has it.
func (d *zoneDisplay) printNode(at time.Time, zone string, m membership.Record) {
	d.print(line{At: at, Zone: zone, Node: m.ID, State: m.State.String(), Addr: m.Addr, Cell: &m.ShardSet, Priority: m.Priority,
		Weight: m.Weight, Why: d.table.Explain(m.ID)})
}

// printProblem prints why a record can't be used.
func (d *zoneDisplay) printProblem(at time.Time, zone string, p dnssd.Problem) {
	d.print(line{At: at, Zone: zone, Why: "not usable: " + p.Instance + ": " + p.Cause.Error()})
}

// printResult prints what an update has changed.
func (d *zoneDisplay) printResult(now time.Time, zone string, r membership.Result) {
	if d.onlyLast {
		return
	}
	for _, m := range r.Changes {
		d.printNode(now, zone, m)
	}
	for _, n := range r.Notes {
		if n.ID == "" {
			d.print(line{At: now, Zone: zone, Why: string(n.Cause) + ": " + n.Detail})
		}
	}
}

// report takes the records of a zone that can't be used, and prints them where they have changed.
func (d *zoneDisplay) report(zone string, list []dnssd.Problem) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.onlyLast && !slices.EqualFunc(list, d.problems[zone], equalProblems) {
		for _, p := range list {
			d.printProblem(time.Now(), zone, p)
		}
	}
	d.problems[zone] = list
}

func equalProblems(a, b dnssd.Problem) bool {
	return a.Instance == b.Instance && a.Cause.Error() == b.Cause.Error()
}

// zoneUpdater passes the updates of one zone to the table of a display.
type zoneUpdater struct {
	*zoneDisplay
	zone   string
	source *membership.Source
}

// Update takes a list, or that there was none.
func (u *zoneUpdater) Update(update membership.Update) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if update.Basis == membership.Failed {
		u.failed = u.zone + ": " + update.Cause
	} else {
		u.lists++
	}
	now := time.Now()
	u.printResult(now, u.zone, u.source.Update(now, update))
}

// Renew takes that nothing has changed.
func (u *zoneUpdater) Renew() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.printResult(now, u.zone, u.source.Renew(now))
}

// CheckSerial takes a zone's serial and tells whether its list is to be fetched.
func (u *zoneUpdater) CheckSerial(serial uint32) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	fetch, r := u.source.CheckSerial(now, serial)
	u.printResult(now, u.zone, r)
	return fetch
}

// dnsQuestionsAtOnce bounds the questions to DNS servers that are open at once.
const dnsQuestionsAtOnce = 16

// anyShardSet lets every shard set be shown: which ones there are is the settings' to say, which these commands do not read.
const anyShardSet = 1 << 20

// follow starts a follower for each zone, until ctx ends; the group ends with them.
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
	client := dnssd.NewClient(deploy.DNSSD.Questions, dnsQuestionsAtOnce)
	var followers sync.WaitGroup
	for _, zone := range zones {
		source := display.table.Source(membership.Spec{Name: zone.Domain, Damped: true})
		follower := &dnssd.Follower{
			Zone:    zone,
			Client:  client,
			Updater: &zoneUpdater{zoneDisplay: display, zone: zone.Domain, source: source},
			Log:     slog.New(slog.DiscardHandler),
			Poll:    time.Duration(deploy.DNSSD.Poll),
			Report:  func(list []dnssd.Problem) { display.report(zone.Domain, list) },
		}
		followers.Go(func() { follower.Run(ctx) })
	}
	return &followers, nil
}

type browseCmd struct {
	zoneFlags
	For time.Duration `default:"1500ms" help:"How long answers are waited for."`
}

// Run looks at the records once.
func (b browseCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), b.For)
	defer cancel()
	display := &zoneDisplay{onlyLast: true}
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
	if display.lists == 0 {
		return fmt.Errorf("no list has come; %s", display.failed)
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
