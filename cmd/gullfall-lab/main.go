// Command gullfall-lab runs the gullfall program against simulated data nodes and clients. The demo command shows it at
// work; the other commands are measurements. The exit status is 1 if a rule was violated or a bound was exceeded. It is the
// only program that links the simulated data nodes.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kong"
)

type commands struct {
	Demo      demoCmd      `cmd:"" help:"Start gullfall with simulated data nodes, send queries, kill, drain and flap data nodes, and check the rules."`
	Duties    dutiesCmd    `cmd:"" help:"Stall, kill and partition the coordinators that hold duties, and check that no two hold the same duty at once."`
	Explore   exploreCmd   `cmd:"" help:"Visit every state of a small fleet under maintenance, or find the bugs seeded into its rules."`
	Flight    flightCmd    `cmd:"" help:"Run the conformance suite of the Arrow Flight server, and measure it."`
	Dnssd     dnssdCmd     `cmd:"" name:"dnssd" help:"Measure how long a data node still receives parts after its DNS-SD record was removed."`
	Fleet     fleetCmd     `cmd:"" help:"Summarize the logs of all coordinators of a run: failed queries by cause, data node and second."`
	Model     modelCmd     `cmd:"" help:"Simulate a zone failure, coordinator restarts and the replacement of data nodes in virtual time."`
	Peers     peersCmd     `cmd:"" help:"Measure failure detection among coordinators under stalls, kills, packet loss and partitions; or --sizes in virtual time."`
	Plan      planCmd      `cmd:"" help:"Compare maintenance plans with the lower bound, with zone by zone and with one by one."`
	Replicate replicateCmd `cmd:"" help:"Read, put and swap values in the coordinators' store under kills, stalls and partitions, and check that the history is linearizable."`
	Verdict   verdictCmd   `cmd:"" help:"Read the output of go test -json and report pass or fail, ignoring the tests that a file lists as known failures."`
	Work      workCmd      `cmd:"" help:"Run maintenance on machines under kills, stalls and partitions of the coordinators, and check that these machines get no parts."`
	Zones     zonesCmd     `cmd:"" help:"Disconnect a zone and reconnect it: detection, lost queries, duplicate attempts and the warm-up bound, by data node and by zone."`
}

func main() {
	// When a shell exits, its background jobs become an orphaned process group. The lab stops coordinators with SIGSTOP, and the
	// kernel sends SIGHUP to every process of an orphaned group that has a stopped member.
	signal.Ignore(syscall.SIGHUP)
	var c commands
	k := kong.Parse(&c, kong.Name("gullfall-lab"), kong.Description("Runs and measures gullfall with simulated data nodes, on loopback."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "gullfall-lab:", err)
		os.Exit(1)
	}
}

// gullfallPath returns the path of the gullfall program: the value of the flag, or else gullfall in this program's directory.
func gullfallPath(flag string) string {
	if flag != "" {
		return flag
	}
	self, err := os.Executable()
	if err != nil {
		return "bin/gullfall"
	}
	return filepath.Join(filepath.Dir(self), "gullfall")
}

// writeJSON writes a report as indented JSON; it does nothing if path is empty.
func writeJSON(path string, report any) error {
	if path == "" {
		return nil
	}
	raw, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}
