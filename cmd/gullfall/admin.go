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
	// commandTimeout is how long the daemon works on a command that waits for the store.
	commandTimeout = 8 * time.Second
	// answerTimeout is how long the command line waits for such a command's answer: longer, so that the cause arrives.
	answerTimeout = commandTimeout + 2*time.Second
	// viewTimeout is how long it waits for what the daemon knows without the store.
	viewTimeout = 5 * time.Second
)

// refreshInterval is how often --watch shows a view anew.
const refreshInterval = time.Second

// adminCommands are the commands that the daemon serves on its admin socket: those of the parts that are on. Each of peers,
// maintenance and drains may be nil.
func adminCommands(peers *gossip.Gossip, maintenance *agent.Agent, members *store.Store, drains *zoneDrains) map[string]admin.Command {
	commands := map[string]admin.Command{}
	if maintenance != nil {
		addMaintenanceCommands(commands, maintenance)
	}
	addStoreCommands(commands, members, peers)
	if drains != nil {
		addZoneCommands(commands, drains)
	}
	if peers != nil {
		addPeerCommands(commands, peers, members)
	}
	return commands
}

// command is an admin command whose arguments are of type A, with commandTimeout to work in.
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

// view is an admin command without arguments that shows what the daemon knows.
func view[R any](show func() (R, error)) admin.Command {
	return func(context.Context, json.RawMessage) (any, error) { return show() }
}

// socketFlag names the admin socket of the coordinator that a command is meant for.
type socketFlag struct {
	Socket string `help:"The coordinator's admin socket; that of deploy/gullfall.toml by default."`
}

// path is the socket that the flag or deploy/gullfall.toml names.
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

// call has the coordinator behind the socket carry out a command and reads its answer into result.
func (f socketFlag) call(timeout time.Duration, command string, args, result any) error {
	path, err := f.path()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return admin.Call(ctx, path, command, args, result)
}

// ask is call with the time that commands which wait for the store need.
func (f socketFlag) ask(command string, args, result any) error {
	return f.call(answerTimeout, command, args, result)
}

// repeat calls show once, or with --watch each refreshInterval until it fails.
func repeat(watch bool, show func() error) error { //nolint:revive // the flag of the command line, passed on
	for {
		if err := show(); err != nil || !watch {
			return err
		}
		time.Sleep(refreshInterval)
	}
}

// printJSON writes one object on a line to standard output.
func printJSON(v any) error { return json.NewEncoder(os.Stdout).Encode(v) }
