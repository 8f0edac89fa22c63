package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"time"

	"gullfall/internal/admin"
	"gullfall/internal/config"
	"gullfall/internal/gossip"
	"gullfall/internal/maintenance/agent"
	"gullfall/internal/store"
)

// Timeouts of commands over the admin socket.
const (
	// commandTimeout bounds, in the daemon, a command that waits for the store.
	commandTimeout = 8 * time.Second
	// answerTimeout is the command line's timeout for such a command. It exceeds commandTimeout so that the daemon's error arrives.
	answerTimeout = commandTimeout + 2*time.Second
	// viewTimeout is the command line's timeout for a command that does not wait for the store.
	viewTimeout = 5 * time.Second
)

// refreshInterval is the interval at which --watch prints a view.
const refreshInterval = time.Second

// adminCommands returns the commands that the daemon serves on its admin socket. Each of peers, maintenance and drains may be nil,
// which leaves out its commands.
func adminCommands(peers *gossip.Gossip, maintenance *agent.Agent, sharedStore *store.Store, drains *zoneDrains) map[string]admin.Command {
	commands := map[string]admin.Command{}
	if maintenance != nil {
		addMaintenanceCommands(commands, maintenance)
	}
	addStoreCommands(commands, sharedStore, peers)
	if drains != nil {
		addZoneCommands(commands, drains)
	}
	if peers != nil {
		addPeerCommands(commands, peers, sharedStore)
	}
	return commands
}

// command returns an admin command that decodes its arguments as type A and runs do with commandTimeout.
func command[A, R any](do func(context.Context, A) (R, error)) admin.Command {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		var args A
		if err := json.Unmarshal(raw, &args); err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		return do(ctx, args)
	}
}

// view returns an admin command without arguments that returns part of the daemon's state.
func view[R any](show func() (R, error)) admin.Command {
	return func(context.Context, json.RawMessage) (any, error) { return show() }
}

// socketFlag selects the admin socket of the coordinator that a command addresses.
type socketFlag struct {
	Socket string `help:"The coordinator's admin socket; that of deploy/gullfall.toml by default."`
}

// path returns the socket given by the flag, or else by deploy/gullfall.toml.
func (f socketFlag) path() (string, error) {
	if f.Socket != "" {
		return f.Socket, nil
	}
	var name string
	if cfg, err := config.Load(os.Getenv); err == nil {
		name = cfg.Name
	}
	d, err := config.LoadDeploy(config.DeployFile, name)
	if err == nil && d.Admin.Socket == "" {
		err = errors.New("admin.socket in deploy/gullfall.toml is empty; set it, or give --socket")
	}
	return d.Admin.Socket, err
}

// call runs a command at the coordinator behind the socket and decodes the response into result.
func (f socketFlag) call(timeout time.Duration, command string, args, result any) error {
	path, err := f.path()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return admin.Call(ctx, path, command, args, result)
}

// callWithStore runs a command like call, with the timeout of commands that wait for the store.
func (f socketFlag) callWithStore(command string, args, result any) error {
	return f.call(answerTimeout, command, args, result)
}

// repeat calls show once, or with --watch every refreshInterval until it fails.
func repeat(watch bool, show func() error) error { //nolint:revive // the flag of the command line, passed on
	for {
		if err := show(); err != nil || !watch {
			return err
		}
		time.Sleep(refreshInterval)
	}
}

// printJSON writes v as one line of JSON to standard output.
func printJSON(v any) error { return json.NewEncoder(os.Stdout).Encode(v) }
