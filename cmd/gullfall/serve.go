package main

// This file is the daemon: it wires the parts, and owns signals and the exit. It must never exit while a query is
// open, but for a second signal.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/admin"
	"gullfall/internal/config"
	"gullfall/internal/coordinator"
	"gullfall/internal/dnssd"
	"gullfall/internal/flight"
	"gullfall/internal/gossip"
	"gullfall/internal/membership"
	"gullfall/internal/platform"
	"gullfall/internal/store"
)

// After SIGTERM clients keep coming for a while: idle connections are closed after restUntil, the listeners
// after listenUntil.
const (
	restUntil   = 500 * time.Millisecond
	listenUntil = 900 * time.Millisecond
	// By the longest limit of a class and this much more every query has its answer; whoever still reads one then
	// is not waited for.
	readUntil = 15 * time.Second
	// SIGKILL follows SIGTERM after the longest limit of a class, or killAfter if that is sooner, and 0.7 s more. What
	// comes in between is answered within killSlack of that, so that it finds none of it open.
	killAfter = 3 * time.Second
	killSlack = 600 * time.Millisecond
)

// Who owns a data node that several sources name: records say sooner than discovery what its operators mean.
const (
	zoneRank      = 30
	discoveryRank = 20
	fixedRank     = 10
)

// flightService is the type of our own Flight service.
const flightService = "_gullfall._tcp"

func dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

func run(level *slog.LevelVar, logTo func(format string) *slog.Logger) error {
	// First of all: a reload may be asked for as soon as the program runs, and must not end it.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	deploy, err := config.LoadDeploy(config.DeployFile, cfg.Name)
	if err != nil {
		return err
	}
	level.Set(deploy.Log.SlogLevel())
	log := logTo(deploy.Log.Format)
	limit(cfg.Limits)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)

	kept, err := store.Open(deploy.Store, cfg.Name, log)
	if err != nil {
		return err
	}
	defer kept.Close()
	if len(cfg.Raw) == 0 {
		cfg.Raw = kept.Get(store.Settings)
	}
	if len(cfg.Known) == 0 {
		cfg.Known = kept.Get(store.Members)
	}
	if err := cfg.Adopt(cfg.Raw); err != nil {
		return err
	}
	kept.Put(store.Settings, cfg.Raw)

	c, err := coordinator.NewWith(cfg.Settings, cfg.Seed, log, deploy.Damping())
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	var hands *zoneHands
	if deploy.Zones.Enabled {
		if err := c.WatchZones(deploy.ZoneRules(cfg.Seed)); err != nil {
			return fmt.Errorf("zones: %w", err)
		}
		hands = &zoneHands{core: c, kept: kept, log: log}
		if err := hands.reload(deploy.Zones.Drained); err != nil {
			return err
		}
	}
	if deploy.Work.Enabled {
		c.EnableMaintenance()
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.Run(ctx)
	if hands != nil {
		go hands.watch(ctx)
	}

	limits := cfg.Settings.Limits
	slots := make(chan struct{}, cfg.Limits.Sockets*3/8) // connections to data nodes of both kinds
	nodes := &platform.Nodes{Core: c, Log: log, Dial: dial, Streams: cfg.Streams, Connect: limits.ConnectTimeout,
		Idle: limits.ConnIdle, Slots: slots}
	watch := platform.NewWatch(cfg.Discovery)
	c.RegisterDispatcher(dnssd.Frames, nodes.Dispatch)
	watch.Source, watch.Log, watch.Dial = c.Source(membership.Spec{Name: "discovery", Rank: discoveryRank}), log, dial
	watch.Keep = func(list []byte) { kept.Put(store.Members, list) }
	watch.Calls = membership.PollSchedule{Pushed: !cfg.Settings.PollList, Peers: cfg.Settings.Aggregators - 1,
		Grace: cfg.Settings.Rules.DrainGrace, Interval: cfg.Settings.Rules.PollInterval}
	watch.Confirm = watch.Calls.ConfirmTimeout()
	watch.Draw = rand.New(rand.NewPCG(cfg.Seed, 2)).Float64
	if len(cfg.Known) > 0 {
		watch.Remember(cfg.Known)
	}
	go watch.Run(ctx)
	if err := findNodes(ctx, deploy, cfg, c, log, slots, kept); err != nil {
		return err
	}
	talk, err := startPeers(ctx, deploy, cfg, c, log, kept)
	if err != nil {
		return err
	}
	work := startWork(deploy, cfg, c, kept, talk, log)
	var operators *admin.Server
	if deploy.Admin.Socket != "" {
		if operators, err = admin.Serve(deploy.Admin.Socket, commandsOf(talk, work, kept, hands), log); err != nil {
			return err
		}
		defer operators.Close()
	}
	var second *flight.Server
	var own *dnssd.Service
	served := make(chan error, 2)
	if deploy.Flight.Listen != "" {
		if second, own, err = startFlight(ctx, deploy, cfg, c, log, served); err != nil {
			return err
		}
	}
	go reload(ctx, reloads, cfg, watch, second, hands, talk, log)

	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	// Descriptors: three eighths for data nodes, one for Flight where it is on and one for all else; clients have the
	// rest, over the third that those with a request out may hold.
	most := cfg.Limits.Sockets / 2
	if deploy.Flight.Listen != "" {
		most -= cfg.Limits.Sockets / 8
	}
	clients := &platform.Clients{Core: c, Log: log, MaxConns: most, BusyConns: cfg.Limits.Sockets / 3,
		BodyMemory: int64(cfg.Limits.MemoryMB) << 20 / 16, RetryAfter: c.RetryAfter()}
	go func() { served <- clients.Serve(ln) }()
	log.Info("serving", "name", cfg.Name, "listen", cfg.Listen)

	select {
	case err := <-served:
		return err
	case s := <-signals:
		log.Info("draining", "signal", s)
	}
	if talk != nil {
		talk.Leave()
		defer talk.Close()
	}
	if own != nil {
		own.Withdraw() // first of all: who finds us by our records is to find another
	}
	leaveWork(work, log)
	longestQuery := longest(cfg.Settings)
	clients.Drain(time.Now().Add(min(longestQuery, killAfter) + killSlack))
	answered := drain(c, clients, second, ln, signals, time.Now().Add(longestQuery+readUntil), log)
	endWork(work, answered && c.Open() == 0)
	return nil
}

// longest is the longest time that a query of any class may take.
func longest(set aggregator.Settings) (most time.Duration) {
	for _, class := range set.Classes {
		most = max(most, class.Deadline)
	}
	return most
}

// limit holds the runtime to what the configuration gives: the rest of the memory is for what Go does not count.
func limit(l config.Limits) {
	runtime.GOMAXPROCS(max(1, int(l.Cores)))
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 / 2)
}

// reload takes in the configuration anew at each signal, until ctx ends; during a drain too, as the list of data
// nodes still counts then. A faulty one changes nothing. Of our own file the second front's people, keys and limits hold
// at once, where it was on at the start.
func reload(ctx context.Context, signals <-chan os.Signal, cfg config.Config, watch *platform.Watch, second *flight.Server,
	hands *zoneHands, talk *gossip.Gossip, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		next, restart, err := cfg.Reload(os.Getenv)
		if err != nil {
			log.Error("configuration not taken; the old one stays", "cause", err)
			continue
		}
		if second != nil || hands != nil || talk != nil {
			deploy, err := config.LoadDeploy(config.DeployFile, cfg.Name)
			if err == nil && second != nil {
				err = second.Reload(deploy.Flight.People(), deploy.Flight.Keys(), deploy.Flight.Admission())
			}
			if err == nil && hands != nil {
				err = hands.reload(deploy.Zones.Drained)
			}
			if err == nil && talk != nil {
				err = talk.SetKeys(deploy.Peers.Keys())
			}
			if err != nil {
				log.Error("configuration not taken; the old one stays", "cause", err)
				continue
			}
		}
		if len(restart) > 0 {
			log.Warn("changes need a restart; the old values stay", "keys", restart)
		}
		limit(next.Limits)
		watch.Move(ctx, next.Discovery)
		cfg = next
		log.Info("configuration reloaded", "discovery", cfg.Discovery)
	}
}

// startFlight starts the second front, and describes it by records where they are to be served.
func startFlight(ctx context.Context, deploy config.Deploy, cfg config.Config, c *coordinator.Coordinator, log *slog.Logger,
	served chan<- error) (*flight.Server, *dnssd.Service, error) {
	ln, err := net.Listen("tcp", deploy.Flight.Listen)
	if err != nil {
		return nil, nil, fmt.Errorf("flight.listen: %w", err)
	}
	options := flight.Options{Core: c, Log: log, Memory: int64(cfg.Limits.MemoryMB) << 20 / 4, Admission: deploy.Flight.Admission(),
		People: deploy.Flight.People(), Keys: deploy.Flight.Keys(), Shards: cfg.Settings.Shards, Covered: c.CoveredShards}
	for _, class := range cfg.Settings.Classes {
		options.Classes = append(options.Classes, flight.Class{Name: class.Name, Limit: class.Deadline, Schema: deploy.Flight.Schema(class.Name)})
	}
	server, err := flight.New(options)
	if err != nil {
		return nil, nil, err
	}
	go func() { served <- server.Serve(ln, min(deploy.Flight.Connections, cfg.Limits.Sockets/8)) }()
	log.Info("serving Arrow Flight", "listen", deploy.Flight.Listen)
	d := deploy.DNSSD
	if d.Serve == "" {
		return server, nil, nil
	}
	pc, err := net.ListenPacket("udp", d.Serve)
	if err != nil {
		return nil, nil, fmt.Errorf("dnssd.serve: %w", err)
	}
	own := &dnssd.Service{Instance: cfg.Name, Type: flightService, Domain: d.Domain,
		Addr: netip.MustParseAddrPort(deploy.Flight.Listen), Text: []string{"txtvers=1", "proto=flight"}}
	go func() {
		if err := own.Serve(ctx, pc); err != nil {
			log.Error("records are no longer served", "cause", err)
		}
	}()
	return server, own, nil
}

// findNodes starts what our own file names besides discovery: the fixed list and the zones. What the zones told last
// is kept, and holds after a restart until they are heard.
func findNodes(ctx context.Context, deploy config.Deploy, cfg config.Config, c *coordinator.Coordinator, log *slog.Logger,
	slots chan struct{}, kept *store.Store) error {
	zones := deploy.DNSSD.Zones()
	if fixed := deploy.Fixed(); len(fixed) > 0 {
		c.Source(membership.Spec{Name: "fixed list", Rank: fixedRank}).Replace(fixed, false)
	}
	if len(zones)+len(deploy.Node) == 0 {
		return nil
	}
	nodes := &flight.Nodes{Core: c, Log: log, Dial: dial, Streams: cfg.Streams,
		Connect: cfg.Settings.Limits.ConnectTimeout, Idle: cfg.Settings.Limits.ConnIdle, Slots: slots}
	c.RegisterDispatcher(dnssd.Flight, nodes.Dispatch)
	client := dnssd.NewClient(deploy.DNSSD.Questions, max(4, cfg.Limits.Sockets/16))
	listener := &dnssd.Listener{Allow: deploy.DNSSD.Allowed()}
	for _, z := range zones {
		source := &keeper{Source: c.Source(membership.Spec{Name: z.Domain, Rank: zoneRank, Damped: true,
			MaxStale: time.Duration(deploy.DNSSD.Stale)}), key: store.Members + "/" + z.Domain, store: kept}
		source.remember(log)
		f := &dnssd.Follower{Zone: z, Client: client, To: source, Log: log, Poll: time.Duration(deploy.DNSSD.Poll)}
		listener.Followers = append(listener.Followers, f)
	}
	if deploy.DNSSD.Notify != "" {
		pc, err := net.ListenPacket("udp", deploy.DNSSD.Notify)
		if err != nil {
			return fmt.Errorf("dnssd.notify: %w", err)
		}
		go func() {
			if err := listener.Serve(ctx, pc); err != nil {
				log.Error("NOTIFY is no longer taken; serials are still asked for", "cause", err)
			}
		}()
	}
	for _, f := range listener.Followers {
		go f.Run(ctx)
	}
	return nil
}

// keeper is a zone's source whose list is kept in the store.
type keeper struct {
	*coordinator.Source
	key   string
	store *store.Store
	last  []byte
}

// Tell passes on what the zone has told, and keeps what it comes to.
func (k *keeper) Update(u membership.Update) {
	if k.Source.Update(u); u.Basis == membership.Failed {
		return
	}
	data, err := json.Marshal(k.Claims())
	if err == nil && !bytes.Equal(data, k.last) {
		k.last = data
		k.store.Put(k.key, data)
	}
}

// remember starts from the list as it was kept.
func (k *keeper) remember(log *slog.Logger) {
	var list []membership.Record
	if raw := k.store.Get(k.key); len(raw) > 0 {
		if err := json.Unmarshal(raw, &list); err != nil {
			log.Warn("remembered list not understood", "key", k.key, "cause", err)
			return
		}
		k.Replace(list, true)
	}
}

// drain goes on serving while clients still come, then answers what is open and returns, at end at the latest. It tells whether
// all was answered and read.
func drain(c *coordinator.Coordinator, clients *platform.Clients, second *flight.Server, ln net.Listener,
	signals <-chan os.Signal, end time.Time, log *slog.Logger) (answered bool) {
	time.Sleep(restUntil)
	clients.CloseIdle()
	time.Sleep(listenUntil - restUntil)
	ln.Close()
	var open sync.WaitGroup
	open.Go(clients.Wait)
	if second != nil {
		open.Go(second.Drain)
	}
	done := make(chan struct{})
	go func() { open.Wait(); close(done) }()
	select {
	case <-done:
		log.Info("drained")
		return true
	case <-time.After(time.Until(end)):
		log.Warn("ended while clients still read their answers", "open", c.Open())
	case <-signals:
		log.Warn("ended by a second signal", "open", c.Open())
	}
	return false
}
