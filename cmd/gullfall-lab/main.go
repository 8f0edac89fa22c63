// Command gullfall-lab shows and measures the real program among stand-ins: demo is for who has just cloned the
// repository, the others are measurements. This file owns flags, output and exit statuses: 1 where a rule broke or a
// bound was missed. It is the only program that links the stand-ins.
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
	Demo      demoCmd      `cmd:"" help:"Start a fleet of stand-ins and the real gullfall, ask queries, kill, drain and flap data nodes, and check the rules."`
	Duties    dutiesCmd    `cmd:"" help:"Have duties held by one coordinator at a time among stalls, kills and cuts, and check that no two hold one."`
	Explore   exploreCmd   `cmd:"" help:"Go through every state of a small fleet whose machines go out for work, or find the bugs seeded into its rules."`
	Flight    flightCmd    `cmd:"" help:"Run the conformance suite of the second front, and measure it."`
	Dnssd     dnssdCmd     `cmd:"" name:"dnssd" help:"Measure how long after its record is gone a data node still gets work."`
	Fleet     fleetCmd     `cmd:"" help:"Count what all coordinators of a played day have logged: how queries ended badly, over the fleet and over time."`
	Model     modelCmd     `cmd:"" help:"Days in small, in virtual time: a lost zone, coordinators that start anew, data nodes replaced."`
	Peers     peersCmd     `cmd:"" help:"Coordinators that watch each other: stalls, kills, lost packets, cuts one way and both; or --sizes in virtual time."`
	Plan      planCmd      `cmd:"" help:"Orders in which machines go out for work, against the least there can be, zone by zone and one by one."`
	Replicate replicateCmd `cmd:"" help:"Read, put and swap values of the coordinators' store among kills, stalls and cuts, and check that the history is linearizable."`
	Verdict   verdictCmd   `cmd:"" help:"Read a run of go test -json and give one verdict, passing over the tests that a file lists as failing for a known fault."`
	Work      workCmd      `cmd:"" help:"Take machines out for work by several coordinators among kills, stalls and cuts, and check that nothing is sent there."`
	Zones     zonesCmd     `cmd:"" help:"Take a zone away from several coordinators and give it back: leaving, losses, twins and the cold bound, by data node and by zone."`
}

func main() {
	// A shell that ends leaves its background jobs as an orphaned process group, and where one of that is stopped, as the lab stops
	// coordinators, the kernel sends all of it SIGHUP.
	signal.Ignore(syscall.SIGHUP)
	var c commands
	k := kong.Parse(&c, kong.Name("gullfall-lab"), kong.Description("Shows and measures gullfall among stand-ins, on loopback."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "gullfall-lab:", err)
		os.Exit(1)
	}
}

// binary is where gullfall lies: beside this program unless a flag says otherwise.
func binary(flag string) string {
	if flag != "" {
		return flag
	}
	self, err := os.Executable()
	if err != nil {
		return "bin/gullfall"
	}
	return filepath.Join(filepath.Dir(self), "gullfall")
}

// writeJSON writes a report for machines; an empty path means that none is wanted.
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
