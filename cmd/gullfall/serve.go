package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/admin"
	"gullfall/internal/config"
	"gullfall/internal/coordinator"
	"gullfall/internal/dnssd"
	"gullfall/internal/flight"
	"gullfall/internal/gossip"
	"gullfall/internal/maintenance/agent"
	"gullfall/internal/membership"
	"gullfall/internal/platform"
	"gullfall/internal/store"
)

// Shares of the descriptors that the process may open (limits.sockets), as divisors. Connections to data nodes of both protocols get
// three eighths, the Arrow Flight front one eighth if it is enabled, everything else one eighth, and HTTP clients the rest. A connection
// beyond its share waits or is refused, so that no kind of connection starves another.
const (
	dataNodeSocketsOf8 = 3
	flightSocketsDiv   = 8
	clientSocketsDiv   = 2
	// activeConnsDiv gives the share of connections that have sent a request. Beyond half of it, each answer closes an idle
	// connection or its own, so that clients that open a connection per request are still accepted.
	activeConnsDiv = 3
)

// Shares of limits.memory_mb, as divisors.
const (
	runtimeMemoryDiv    = 2  // limit of the Go runtime; the rest is for memory that it does not count
	clientBodyMemoryDiv = 16 // bodies of HTTP requests being read
	flightMemoryDiv     = 4  // answers being read by Arrow Flight clients
)

// discoveryRank is the rank of discovery among the sources that list a data node: above the fixed list, below DNS-SD zones.
const discoveryRank = 20

// watchRandomStream is the PCG stream of the watch's random delays. It makes them independent of the
// aggregator package, which uses the same seed.
const watchRandomStream = 2

// daemon is the serving process: its configuration and the components that it starts and stops.
type daemon struct {
	cfg     config.Config
	deploy  config.Deploy
	log     *slog.Logger
	reloads chan os.Signal // SIGHUP
	signals chan os.Signal // SIGTERM and SIGINT
	failed  chan error     // error of a front that ended by itself

	store       *store.Store
	coordinator *coordinator.Coordinator
	drains      *zoneDrains // nil if zones.enabled is false
	connections chan struct{}
	watch       *platform.Watch
	peers       *gossip.Gossip // nil if gossip is disabled
	agent       *agent.Agent   // nil if maintenance is disabled
	fronts      fronts

	closers []func() // run at the end in reverse order
}

// fronts are the servers that clients connect to.
type fronts struct {
	listener   net.Listener
	clients    *platform.Server
	flight     *flight.Server // nil if Arrow Flight is disabled
	advertised *dnssd.Service // nil if no DNS-SD records are served
}

// run serves until a signal ends the process or a front fails. The logger is created after its format has been read from the
// configuration.
func run(level *slog.LevelVar, newLogger func(format string) *slog.Logger) error {
	d := &daemon{reloads: make(chan os.Signal, 1), signals: make(chan os.Signal, 2), failed: make(chan error, 2)}
	// First, because SIGHUP without a handler would end the process.
	signal.Notify(d.reloads, syscall.SIGHUP)
	defer d.close()
	if err := d.load(level, newLogger); err != nil {
		return err
	}
	if err := d.start(); err != nil {
		return err
	}
	select {
	case err := <-d.failed:
		return err
	case s := <-d.signals:
		d.log.Info("draining", "signal", s)
	}
	d.shutDown()
	return nil
}

// load reads both configuration files and starts handling SIGTERM and SIGINT.
func (d *daemon) load(level *slog.LevelVar, newLogger func(format string) *slog.Logger) (err error) {
	if d.cfg, err = config.Load(os.Getenv); err != nil {
		return err
	}
	if d.deploy, err = config.LoadDeploy(config.DeployFile, d.cfg.Name); err != nil {
		return err
	}
	level.Set(d.deploy.Log.SlogLevel())
	d.log = newLogger(d.deploy.Log.Format)
	applyLimits(d.cfg.Limits)
	signal.Notify(d.signals, syscall.SIGTERM, syscall.SIGINT)
	return nil
}

// start starts all components, each after those that it depends on. After an error, close stops the started ones.
func (d *daemon) start() error {
	for _, open := range []func() error{d.openStore, d.loadSettings, d.createCoordinator} {
		if err := open(); err != nil {
			return err
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	d.onClose(stop)
	for _, start := range []func(context.Context) error{
		d.runCoordinator,
		d.followDiscovery,
		d.followOtherSources,
		d.joinPeers,
		d.startMaintenance,
		d.serveAdmin,
		d.serveFlight,
		d.followReloads,
		d.serveClients,
	} {
		if err := start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// shutDown announces the shutdown to the other coordinators and to clients that use the DNS-SD records, releases the duties, and waits
// until open queries are answered.
func (d *daemon) shutDown() {
	if d.peers != nil {
		d.peers.Leave()
		d.onClose(d.peers.Close)
	}
	if d.fronts.advertised != nil {
		d.fronts.advertised.Withdraw() // clients that browse the records then find only other coordinators
	}
	resignDuty(d.agent, d.log)
	longest := longestDeadline(d.cfg.Settings)
	answerBy := time.Now().Add(min(longest, killAfter) + killSlack)
	d.fronts.clients.Drain(answerBy)
	if d.fronts.flight != nil {
		d.fronts.flight.Drain(answerBy)
	}
	answered := d.drain(time.Now().Add(longest + readGrace))
	closeAgent(d.agent, answered && d.coordinator.OpenCount() == 0)
}

func (d *daemon) onClose(f func()) { d.closers = append(d.closers, f) }

func (d *daemon) close() {
	for _, f := range slices.Backward(d.closers) {
		f()
	}
}

func (d *daemon) openStore() (err error) {
	if d.store, err = store.Open(d.deploy.Store, d.cfg.Name, d.log); err != nil {
		return err
	}
	d.onClose(func() { _ = d.store.Close() }) // acknowledged writes are on disk already
	return nil
}

// loadSettings applies the settings and writes them to the store. Settings and the list of data nodes that the file lacks are read
// from the store, which has those of the last run.
func (d *daemon) loadSettings() error {
	if len(d.cfg.Raw) == 0 {
		d.cfg.Raw = d.store.Get(store.Settings)
	}
	if len(d.cfg.Known) == 0 {
		d.cfg.Known = d.store.Get(store.EndpointList)
	}
	if err := d.cfg.ApplySettings(d.cfg.Raw); err != nil {
		return err
	}
	d.store.Put(store.Settings, d.cfg.Raw)
	return nil
}

func (d *daemon) createCoordinator() (err error) {
	d.coordinator, err = coordinator.New(d.cfg.Settings, d.cfg.Seed, d.log, d.deploy.Damping())
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if d.deploy.Zones.Enabled {
		if err := d.coordinator.WatchZones(d.deploy.ZoneRules(d.cfg.Seed)); err != nil {
			return fmt.Errorf("zones: %w", err)
		}
		d.drains = &zoneDrains{coordinator: d.coordinator, store: d.store, log: d.log}
		if err := d.drains.reload(d.deploy.Zones.Drained); err != nil {
			return err
		}
	}
	if d.deploy.Work.Enabled {
		d.coordinator.EnableMaintenance()
	}
	return nil
}

func (d *daemon) runCoordinator(ctx context.Context) error {
	go d.coordinator.Run(ctx)
	if d.drains != nil {
		go d.drains.watch(ctx)
	}
	return nil
}

// followDiscovery registers the dispatcher of the platform's data nodes and starts the watch on discovery, initially with the list of
// the last run.
func (d *daemon) followDiscovery(ctx context.Context) error {
	limits, rules := d.cfg.Settings.Limits, d.cfg.Settings.Rules
	d.connections = make(chan struct{}, d.cfg.Limits.Sockets*dataNodeSocketsOf8/8)
	nodes := &platform.ConnPool{Coordinator: d.coordinator, Log: d.log, Dial: dial, Streams: d.cfg.Streams, ConnectTimeout: limits.ConnectTimeout,
		IdleTimeout: limits.ConnIdle, Descriptors: d.connections}
	d.coordinator.RegisterDispatcher(dnssd.ProtocolFrames, nodes.Dispatch)
	watch := platform.NewWatch(d.cfg.Discovery)
	watch.Source = d.coordinator.AddSource(membership.Spec{Name: "discovery", Rank: discoveryRank})
	watch.Log, watch.Dial = d.log, dial
	watch.Persist = func(list []byte) { d.store.Put(store.EndpointList, list) }
	watch.Schedule = membership.PollSchedule{Pushed: !d.cfg.Settings.PollList, Peers: d.cfg.Settings.Aggregators - 1,
		Grace: rules.DrainGrace, Interval: rules.PollInterval}
	watch.ConfirmTimeout = watch.Schedule.ConfirmTimeout()
	watch.Random = rand.New(rand.NewPCG(d.cfg.Seed, watchRandomStream)).Float64
	if len(d.cfg.Known) > 0 {
		watch.Restore(d.cfg.Known)
	}
	d.watch = watch
	go watch.Run(ctx)
	return nil
}

func (d *daemon) joinPeers(ctx context.Context) (err error) {
	d.peers, err = startPeers(ctx, d.deploy, d.cfg, d.coordinator, d.log, d.store)
	return err
}

func (d *daemon) startMaintenance(context.Context) error {
	d.agent = startAgent(d.deploy, d.cfg, d.coordinator, d.store, d.peers, d.log)
	return nil
}

// serveAdmin serves the admin socket if one is configured.
func (d *daemon) serveAdmin(context.Context) error {
	if d.deploy.Admin.Socket == "" {
		return nil
	}
	server, err := admin.Serve(d.deploy.Admin.Socket, adminCommands(d.peers, d.agent, d.store, d.drains))
	if err != nil {
		return err
	}
	d.onClose(server.Close)
	return nil
}

func (d *daemon) followReloads(ctx context.Context) error {
	go d.reload(ctx)
	return nil
}

// serveClients serves the platform's HTTP front.
func (d *daemon) serveClients(context.Context) (err error) {
	if d.fronts.listener, err = net.Listen("tcp", d.cfg.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	sockets := d.cfg.Limits.Sockets
	maxConns := sockets / clientSocketsDiv
	if d.deploy.Flight.Listen != "" {
		maxConns -= sockets / flightSocketsDiv
	}
	d.fronts.clients = &platform.Server{Coordinator: d.coordinator, Log: d.log, MaxConns: maxConns, MaxActiveConns: sockets / activeConnsDiv,
		BodyMemory: int64(d.cfg.Limits.MemoryMB) << 20 / clientBodyMemoryDiv, RetryAfter: d.coordinator.RetryAfter()}
	go func() { d.failed <- d.fronts.clients.Serve(d.fronts.listener) }()
	d.log.Info("serving", "name", d.cfg.Name, "listen", d.cfg.Listen)
	return nil
}

func dial(ctx context.Context, addr string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", addr)
}

// longestDeadline returns the longest deadline of any class.
func longestDeadline(settings aggregator.Settings) (longest time.Duration) {
	for _, class := range settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// applyLimits sets the Go runtime's limits on cores and memory from the configuration.
func applyLimits(limits config.Limits) {
	runtime.GOMAXPROCS(max(1, int(limits.Cores)))
	debug.SetMemoryLimit(int64(limits.MemoryMB) << 20 / runtimeMemoryDiv)
}
