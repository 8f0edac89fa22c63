// Command gullfall is the coordinator: this file wires its parts, and owns signals and the exit. It must never
// exit while a query is open, but for a second signal.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"gullfall/internal/config"
	"gullfall/internal/core"
	"gullfall/internal/dnssd"
	"gullfall/internal/flight"
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
)

// flightService is the type of our own Flight service.
const flightService = "_gullfall._tcp"

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := run(log); err != nil {
		fmt.Fprintln(os.Stderr, "gullfall:", err)
		os.Exit(1)
	}
}

func dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

func run(log *slog.Logger) error {
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

	c, err := core.New(cfg.Settings, cfg.Seed, log)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.Run(ctx)

	limits := cfg.Settings.Limits
	slots := make(chan struct{}, cfg.Limits.Sockets/4) // connections to data nodes of both kinds
	nodes := &platform.Nodes{Core: c, Log: log, Dial: dial, Streams: cfg.Streams, Connect: limits.ConnectTimeout,
		Idle: limits.ConnIdle, Slots: slots}
	watch := platform.NewWatch(cfg.Discovery)
	watch.Fleet, watch.Log, watch.Dial = c.Fleet(nodes.Carry), log, dial
	watch.Keep = func(list []byte) { kept.Put(store.Members, list) }
	if len(cfg.Known) > 0 {
		watch.Remember(cfg.Known)
	}
	go watch.Run(ctx)
	go reload(ctx, reloads, cfg, watch, log)

	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	// Descriptors: a quarter for data nodes, an eighth for Flight where it is on and one for all else; clients have
	// the rest, well over the third that those with a request out may hold.
	most := cfg.Limits.Sockets * 5 / 8
	if deploy.Flight.Listen != "" {
		most -= cfg.Limits.Sockets / 8
	}
	clients := &platform.Clients{Core: c, Log: log, Most: most, Busy: cfg.Limits.Sockets / 3,
		Hold: int64(cfg.Limits.MemoryMB) << 20 / 16, Again: c.Again()}
	served := make(chan error, 2)
	go func() { served <- clients.Serve(ln) }()
	log.Info("serving", "name", cfg.Name, "listen", cfg.Listen)

	var second *flight.Server
	if deploy.Flight.Listen != "" {
		if second, err = startFlight(ctx, deploy, cfg, c, log, slots, served); err != nil {
			return err
		}
	}
	select {
	case err := <-served:
		return err
	case s := <-signals:
		log.Info("draining", "signal", s)
	}
	longest := time.Duration(0)
	for _, class := range cfg.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	drain(c, clients, second, ln, signals, time.Now().Add(longest+readUntil), log)
	return nil
}

// limit holds the runtime to what the configuration gives: the rest of the memory is for what Go does not count.
func limit(l config.Limits) {
	runtime.GOMAXPROCS(max(1, int(l.Cores)))
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 / 2)
}

// reload takes in the configuration anew at each signal, until ctx ends; during a drain too, as the list of data
// nodes still counts then. A faulty one changes nothing.
func reload(ctx context.Context, signals <-chan os.Signal, cfg config.Config, watch *platform.Watch, log *slog.Logger) {
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
		if len(restart) > 0 {
			log.Warn("changes need a restart; the old values stay", "keys", restart)
		}
		limit(next.Limits)
		watch.Move(ctx, next.Discovery)
		cfg = next
		log.Info("configuration reloaded", "discovery", cfg.Discovery)
	}
}

// startFlight starts the second front, and browses for its data nodes where a resolver is named.
func startFlight(ctx context.Context, deploy config.Deploy, cfg config.Config, c *core.Core, log *slog.Logger,
	slots chan struct{}, served chan<- error) (*flight.Server, error) {
	ln, err := net.Listen("tcp", deploy.Flight.Listen)
	if err != nil {
		return nil, fmt.Errorf("flight.listen: %w", err)
	}
	server := flight.NewServer(c, log, int64(cfg.Limits.MemoryMB)<<20/4)
	go func() { served <- server.Serve(ln, min(deploy.Flight.Connections, cfg.Limits.Sockets/8)) }()
	log.Info("serving Arrow Flight", "listen", deploy.Flight.Listen)
	d := deploy.DNSSD
	if d.Resolver != "" {
		nodes := &flight.Nodes{Core: c, Log: log, Dial: dial, Streams: cfg.Streams,
			Connect: cfg.Settings.Limits.ConnectTimeout, Idle: cfg.Settings.Limits.ConnIdle, Slots: slots}
		browser := &dnssd.Browser{Fleet: c.Fleet(nodes.Carry), Log: log, Resolver: d.Resolver, Service: d.Nodes,
			Domain: d.Domain}
		go browser.Run(ctx)
	}
	if d.Serve != "" {
		pc, err := net.ListenPacket("udp", d.Serve)
		if err != nil {
			return nil, fmt.Errorf("dnssd.serve: %w", err)
		}
		own := &dnssd.Service{Instance: cfg.Name, Type: flightService, Domain: d.Domain,
			Addr: netip.MustParseAddrPort(deploy.Flight.Listen), Text: []string{"txtvers=1", "proto=flight"}}
		go func() {
			if err := own.Serve(ctx, pc); err != nil {
				log.Error("records are no longer served", "cause", err)
			}
		}()
	}
	return server, nil
}

// drain goes on serving while clients still come, then answers what is open and returns, at end at the latest.
func drain(c *core.Core, clients *platform.Clients, second *flight.Server, ln net.Listener,
	signals <-chan os.Signal, end time.Time, log *slog.Logger) {
	clients.Drain()
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
	case <-time.After(time.Until(end)):
		log.Warn("ended while clients still read their answers", "open", c.Open())
	case <-signals:
		log.Warn("ended by a second signal", "open", c.Open())
	}
}
