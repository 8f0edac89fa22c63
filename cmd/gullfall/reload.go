package main

import (
	"context"
	"os"

	"gullfall/internal/config"
)

// reload reads the configuration again at each SIGHUP until ctx ends, also during a drain, as the list of data nodes still
// counts then. A file with a faulty key changes nothing: the running configuration stays and the log names the key. Both files are
// checked as a whole first; should a part still refuse what it is handed, the parts before it have their new values.
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

// reloadDeploy applies what may change at run time in deploy/gullfall.toml: the people, keys and limits of Arrow Flight, the
// zones that are drained, and the keys of the coordinators' gossip, each where it was on at the start.
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
