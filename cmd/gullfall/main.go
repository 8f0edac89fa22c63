// Command gullfall is the coordinator daemon and its command line for operators. Without a command it serves. Each file holds one command
// or one part of the daemon; main.go holds the list of commands. The exit status is 1 if a command failed, and 2 if the command line is
// invalid.
package main

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"gullfall/internal/config"
)

// commands lists the commands of the command line.
type commands struct {
	Serve   serveCmd   `cmd:"" default:"1" help:"Coordinate queries (the default command). Reads NODE_CONFIG and deploy/gullfall.toml."`
	Check   checkCmd   `cmd:"" help:"Check all configuration and print every faulty key."`
	Dnssd   dnssdCmd   `cmd:"" name:"dnssd" help:"Show the data nodes in DNS-SD records."`
	Zones   zonesCmd   `cmd:"" help:"Show the verdicts on zones, and drain or undrain a zone."`
	Store   storeCmd   `cmd:"" help:"Show and change the members of the coordinators' store."`
	Peers   peersCmd   `cmd:"" help:"Show the state of the coordinators and which ones reach each other."`
	Work    workCmd    `cmd:"" help:"Take data nodes out of service for maintenance, in an order that the coordinators agree on."`
	Duties  dutiesCmd  `cmd:"" help:"Show which coordinator holds each duty, or release one."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

func main() {
	var c commands
	parser := kong.Must(&c, kong.Name("gullfall"), kong.Description("Coordinates sharded queries on game records."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	k, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "gullfall: %v; see gullfall --help\n", err)
		os.Exit(2)
	}
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "gullfall:", err)
		os.Exit(1)
	}
}

type serveCmd struct{}

// Run serves until a signal ends the process.
func (serveCmd) Run() error {
	level := new(slog.LevelVar)
	return run(level, func(format string) *slog.Logger { return newLogger(os.Stderr, format, level) })
}

// newLogger returns a logger that writes JSON if format is "json", otherwise text.
func newLogger(w io.Writer, format string, level slog.Leveler) *slog.Logger {
	if format == "json" {
		return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}

type checkCmd struct {
	Deploy string `default:"deploy/gullfall.toml" help:"Deploy file to check."`
}

// Run loads all configuration as the daemon does, but opens neither the store nor any socket.
func (c checkCmd) Run() error {
	faults := 0
	cfg, err := config.Load(os.Getenv)
	faults += printFaults(err)
	if err == nil {
		if len(cfg.Raw) == 0 {
			fmt.Println("settings: not in the file; they are to come from the store")
		} else {
			faults += printFaults(cfg.ApplySettings(cfg.Raw))
		}
	}
	deploy, err := config.LoadDeploy(c.Deploy, cfg.Name)
	faults += printFaults(err)
	if faults > 0 {
		return fmt.Errorf("%d faults", faults)
	}
	fmt.Printf("configuration of %s is sound: %d classes, %d zones, %d fixed data nodes\n", cfg.Name,
		len(cfg.Settings.Classes), len(deploy.DNSSD.Zone), len(deploy.Node))
	return nil
}

// printFaults prints each of the joined errors on a line and returns how many there are.
func printFaults(err error) int {
	if err == nil {
		return 0
	}
	faults := []error{err}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		faults = joined.Unwrap()
	}
	for _, fault := range faults {
		fmt.Println(fault)
	}
	return len(faults)
}

type versionCmd struct{}

// Run prints the version and revision recorded by the build.
func (versionCmd) Run() error { //nolint:unparam // kong calls Run methods that return an error
	version, revision := "(devel)", "unknown revision"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	fmt.Println("gullfall", version, revision)
	return nil
}
