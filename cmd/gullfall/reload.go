package main

import (
	"context"
	"os"

	"gullfall/internal/config"
)

// reload reloads the configuration at each SIGHUP until ctx ends, also during a drain, when the list of data nodes is still in use. Both
// files are checked completely before anything is applied; if a key is faulty, the running configuration stays and the log names the key.
// If a component still rejects its new values, those applied before it keep theirs.
func (d *daemon) reload(ctx context.Context) {
	current := d.cfg
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.reloads:
		}
		next, needRestart, err := current.Reload(os.Getenv)
		if err == nil {
			err = d.reloadDeploy(current.Name)
		}
		if err != nil {
			d.log.Error("configuration not taken; the old one stays", "cause", err)
			continue
		}
		if len(needRestart) > 0 {
			d.log.Warn("changes need a restart; the old values stay", "keys", needRestart)
		}
		applyLimits(next.Limits)
		d.watch.Move(ctx, next.Discovery)
		current = next
		d.log.Info("configuration reloaded", "discovery", current.Discovery)
	}
}

// reloadDeploy applies the parts of deploy/gullfall.toml that may change at run time: owners, networks, keys and limits of Arrow Flight,
// drained zones, and gossip keys. Each is applied only if its feature was enabled at startup.
func (d *daemon) reloadDeploy(name string) error {
	if d.fronts.flight == nil && d.drains == nil && d.peers == nil {
		return nil
	}
	deploy, err := config.LoadDeploy(config.DeployFile, name)
	if err != nil {
		return err
	}
	if d.fronts.flight != nil {
		if err := d.fronts.flight.Reload(deploy.Flight.People(), deploy.Flight.Keys(), deploy.Flight.Admission()); err != nil {
			return err
		}
	}
	if d.drains != nil {
		if err := d.drains.reload(deploy.Zones.Drained); err != nil {
			return err
		}
	}
	if d.peers != nil {
		return d.peers.SetKeys(deploy.Peers.Keys())
	}
	return nil
}
