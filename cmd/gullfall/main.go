// Command gullfall is the coordinator and its operators' command line. Without a command it serves. One file holds one command or
// one part of the daemon; main.go holds the list of commands and the exit statuses: 1 where a command failed, 2 where the command
// line was not understood.
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

// commands are the commands of the command line.
type commands struct {
	Serve   serveCmd   `cmd:"" default:"1" help:"Coordinate queries (this is what gullfall does without a word). Reads NODE_CONFIG and deploy/gullfall.toml."`
	Check   checkCmd   `cmd:"" help:"Read and check all configuration; name every faulty key."`
	Dnssd   dnssdCmd   `cmd:"" name:"dnssd" help:"Show what DNS-SD records say of data nodes."`
	Zones   zonesCmd   `cmd:"" help:"Show the verdicts on zones, and leave or return to one by hand."`
	Store   storeCmd   `cmd:"" help:"Show and change who is a member of the coordinators' store."`
	Peers   peersCmd   `cmd:"" help:"Show who of the coordinators is there, and who reaches whom."`
	Work    workCmd    `cmd:"" help:"Take data nodes out for work, in an order that the coordinators settle among themselves."`
	Duties  dutiesCmd  `cmd:"" help:"Show which coordinator holds which duty, or hand one on."`
	Version versionCmd `cmd:"" help:"Say which version this is."`
}

func main() {
	var c commands
	parser := kong.Must(&c, kong.Name("gullfall"), kong.Description("Coordinates sharded queries on game records."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	k, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "gullfall: %v; gullfall --help tells what there is\n", err)
		os.Exit(2)
	}
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "gullfall:", err)
		os.Exit(1)
	}
}

type serveCmd struct{}

// Run serves until it is told to end.
func (serveCmd) Run() error {
	level := new(slog.LevelVar)
	return run(level, func(format string) *slog.Logger { return newLogger(os.Stderr, format, level) })
}

// newLogger logs in the format that the configuration names: "json", else text.
func newLogger(w io.Writer, format string, level slog.Leveler) *slog.Logger {
	if format == "json" {
		return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}

type checkCmd struct {
	Deploy string `default:"deploy/gullfall.toml" help:"The file of our own."`
}

// Run reads all configuration as serving would, and opens nothing.
func (c checkCmd) Run() error {
	faults := 0
	cfg, err := config.Load(os.Getenv)
	faults += printFaults(err)
	if err == nil {
		if len(cfg.Raw) == 0 {
			fmt.Println("settings: not in the file; they are to come from the store")
		} else {
			faults += printFaults(cfg.Adopt(cfg.Raw))
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

// Run prints the version as the build has recorded it.
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
