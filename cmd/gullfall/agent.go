package main

import (
	"context"
	"log/slog"
	"time"

	"gullfall/internal/admin"
	"gullfall/internal/config"
	"gullfall/internal/coordinator"
	"gullfall/internal/gossip"
	"gullfall/internal/maintenance"
	"gullfall/internal/maintenance/agent"
	"gullfall/internal/observations"
	"gullfall/internal/store"
)

// Timeouts of the maintenance agent's actions during a shutdown.
const (
	resignTimeout     = 2 * time.Second
	agentCloseTimeout = time.Second
)

// startAgent starts the maintenance agent, which takes machines out of service for maintenance. It returns nil if deploy/gullfall.toml
// disables it. peers may be nil.
func startAgent(deploy config.Deploy, cfg config.Config, c *coordinator.Coordinator, sharedStore *store.Store, peers *gossip.Gossip, log *slog.Logger) *agent.Agent {
	work := deploy.Work
	if !work.Enabled {
		return nil
	}
	settings := cfg.Settings
	log.Info("maintenance agent started", "bound", time.Duration(work.Bound), "lease", time.Duration(work.Lease))
	var observed func(string) observations.View
	if peers != nil {
		observed = peers.Observations
	}
	return agent.Start(agent.Options{
		Store:          sharedStore,
		Coordinator:    c,
		Name:           cfg.Name,
		Log:            log,
		Layout:         maintenance.Layout{ShardSets: settings.ShardSets, Shards: settings.Shards, Reach: settings.Reach},
		Limits:         work.Limits(),
		WarmupTime:     settings.Rules.WarmupTime,
		LongestAttempt: longestDeadline(settings),
		PresenceBound:  time.Duration(work.Bound),
		Duty:           time.Duration(work.Lease),
		Drift:          work.Drift,
		Every:          time.Duration(work.Every),
		Duties:         work.Duties,
		Hook:           work.Hook,
		HookFor:        time.Duration(work.HookTime),
		Budget:         work.Budget,
		Observations:   observed,
	})
}

// resignDuty releases the agent's leases when a drain begins, so that another coordinator can acquire them at once. It runs in the
// background, so the drain does not wait for it.
func resignDuty(a *agent.Agent, log *slog.Logger) {
	if a == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
		defer cancel()
		if err := a.Leave(ctx); err != nil {
			log.Warn("duty not resigned; its lease runs out", "cause", err)
		}
	}()
}

// closeAgent stops the agent at the end of a drain. idle reports that no attempt is in flight, so that maintenance no longer has to
// wait for this coordinator.
func closeAgent(a *agent.Agent, idle bool) {
	if a == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), agentCloseTimeout)
	defer cancel()
	a.Close(ctx, idle)
}

// workArgs holds the arguments of all maintenance and duty commands except "work start".
type workArgs struct {
	By, Word, Machine, As, Name string
	Request                     uint64
	Fresh                       bool
}

// addMaintenanceCommands adds the maintenance and duty commands.
func addMaintenanceCommands(commands map[string]admin.Command, a *agent.Agent) {
	commands["work start"] = command(func(ctx context.Context, request agent.Request) (agent.Planned, error) {
		return a.Start(ctx, request)
	})
	commands["work look"] = command(func(ctx context.Context, w workArgs) (agent.View, error) {
		return a.View(ctx, w.Fresh)
	})
	commands["work order"] = command(func(ctx context.Context, w workArgs) (uint64, error) {
		return w.Request, a.Order(ctx, w.By, w.Word, w.Request)
	})
	commands["work done"] = command(func(ctx context.Context, w workArgs) (string, error) {
		return w.Machine, a.Done(ctx, w.By, w.Machine, w.As)
	})
	commands["work forget"] = command(func(ctx context.Context, w workArgs) (string, error) {
		return w.Name, a.Forget(ctx, w.By, w.Name)
	})
	commands["duties hand-on"] = command(func(ctx context.Context, w workArgs) (bool, error) {
		return true, a.HandOver(ctx, w.Name)
	})
	commands["duties try"] = command(func(ctx context.Context, w workArgs) (agent.DutyAttempt, error) {
		return a.TryDuty(ctx, w.Name)
	})
}
