// Command gullfall is the coordinator: this file wires its parts, and owns signals and the exit. It must never
// exit while a query is open, but for a second signal.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"gullfall/internal/config"
	"gullfall/internal/core"
	"gullfall/internal/platform"
)

// After SIGTERM clients keep coming for a while: idle connections are closed after restUntil, the listener
// after listenUntil.
const (
	restUntil   = 500 * time.Millisecond
	listenUntil = 900 * time.Millisecond
)

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := run(log); err != nil {
		fmt.Fprintln(os.Stderr, "gullfall:", err)
		os.Exit(1)
	}
}

func run(log *slog.Logger) error {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores)))
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB) << 20 / 2)
	c, err := core.New(cfg.Settings, cfg.Seed, log)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.Run(ctx)

	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", addr)
	}
	nodes := &platform.Nodes{Core: c, Log: log, Dial: dial, Streams: cfg.Streams,
		Connect: cfg.Settings.Limits.ConnectTimeout, Idle: cfg.Settings.Limits.ConnIdle,
		Slots: make(chan struct{}, cfg.Limits.Sockets/4)}
	watch := &platform.Watch{Fleet: c.Fleet(nodes.Carry), Log: log, Dial: dial, Addr: cfg.Discovery}
	if len(cfg.Known) > 0 {
		watch.Remember(cfg.Known)
	}
	go watch.Run(ctx)

	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	clients := &platform.Clients{Core: c, Log: log, Slots: make(chan struct{}, cfg.Limits.Sockets/2)}
	served := make(chan error, 1)
	go func() { served <- clients.Serve(ln) }()
	log.Info("serving", "name", cfg.Name, "listen", cfg.Listen)

	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-served:
		return err
	case s := <-signals:
		log.Info("draining", "signal", s)
	}
	clients.Drain()
	time.Sleep(restUntil)
	clients.CloseIdle()
	time.Sleep(listenUntil - restUntil)
	ln.Close()
	done := make(chan struct{})
	go func() { clients.Wait(); close(done) }()
	select {
	case <-done:
		log.Info("drained")
	case <-signals:
		log.Warn("ended by a second signal", "open", c.Open())
	}
	return nil
}
