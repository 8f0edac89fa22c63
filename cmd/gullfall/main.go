// Command gullfall is the coordinator and its operators' command line. Without a word it serves. This file owns flags
// and exit statuses; it must never do a command's work.
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

// commands are the words of the command line.
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
	return run(level, func(format string) *slog.Logger { return logTo(os.Stderr, format, level) })
}

// logTo is a log in the format that the configuration names.
func logTo(w io.Writer, format string, level slog.Leveler) *slog.Logger {
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
	tell := func(err error) {
		if err == nil {
			return
		}
		if joined, ok := err.(interface{ Unwrap() []error }); ok {
			for _, e := range joined.Unwrap() {
				fmt.Println(e)
				faults++
			}
			return
		}
		fmt.Println(err)
		faults++
	}
	cfg, err := config.Load(os.Getenv)
	tell(err)
	if err == nil {
		if len(cfg.Raw) == 0 {
			fmt.Println("settings: not in the file; they are to come from the store")
		} else {
			tell(cfg.Adopt(cfg.Raw))
		}
	}
	deploy, err := config.LoadDeploy(c.Deploy, cfg.Name)
	tell(err)
	if faults > 0 {
		return fmt.Errorf("%d faults", faults)
	}
	fmt.Printf("configuration of %s is sound: %d classes, %d zones, %d fixed data nodes\n", cfg.Name,
		len(cfg.Settings.Classes), len(deploy.DNSSD.Zone), len(deploy.Node))
	return nil
}

type versionCmd struct{}

// Run tells the version as the build has recorded it.
func (versionCmd) Run() error {
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
