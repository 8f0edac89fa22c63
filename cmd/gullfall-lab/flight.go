package main

import (
	"context"
	"errors"
	"fmt"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"gullfall/internal/lab/datanode"
	"gullfall/internal/lab/fleet"
	"gullfall/internal/lab/flightsuite"
)

// flightCmd runs the Arrow Flight conformance suite against a coordinator and measures throughput by protocol and number of clients,
// the effect of slow readers, and the streaming of large answers by compression.
type flightCmd struct {
	Addr   string        `help:"Run only the cases, against this address; without it, a coordinator is started."`
	Class  string        `default:"report" help:"With --addr: the class of the queries."`
	Shards int           `default:"16" help:"With --addr: number of shards."`
	For    time.Duration `default:"3s" help:"Duration of each throughput measurement."`
	Slow   bool          `help:"Run only the test with slow readers."`
	Season int64         `default:"1024" help:"MiB to stream with each compression; 0 to skip."`
	Cases  bool          `help:"Run only the cases."`
	JSON   string        `name:"json" help:"Write the report to this file."`
	Binary string        `help:"Path of gullfall; by default in this program's directory."`
}

// flightReport is the result of a run. Its JSON keys are stable.
type flightReport struct {
	Cases   []flightsuite.Result `json:"cases"`
	Passed  int                  `json:"passed"`
	Failed  int                  `json:"failed"`
	Skipped int                  `json:"skipped"`
	Figures []throughput         `json:"figures"`
	Volumes []volumeReport       `json:"seasons"`
	Slow    *slowReaders         `json:"slow"`
	Cores   int                  `json:"cores"`
}

// testUsers lists the accounts of the fleet that requires authentication.
var testUsers = []flightsuite.User{{Owner: "sertao", Name: "sertao", Password: "palma", Token: "sertao-0123456789"},
	{Owner: "natal", Name: "natal", Password: "dunas", Token: "natal-0123456789abc"}}

// Run runs the cases and the measurements that the flags select.
func (d flightCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	r := &flightReport{Cores: runtime.NumCPU()}
	if d.Addr != "" {
		r.add("", flightsuite.Run(ctx, flightsuite.Env{Addr: d.Addr, Class: d.Class, Shards: d.Shards}))
		return d.finish(r)
	}
	if d.Slow {
		if err := d.measureSlowReaders(ctx, r); err != nil {
			return err
		}
		return d.finish(r)
	}
	for _, users := range [][]flightsuite.User{nil, testUsers} {
		if err := d.runCases(ctx, r, users); err != nil {
			return err
		}
	}
	if !d.Cases {
		if err := d.measureThroughput(ctx, r); err != nil {
			return err
		}
		if err := d.measureSlowReaders(ctx, r); err != nil {
			return err
		}
		if err := d.measureVolumes(ctx, r); err != nil {
			return err
		}
	}
	return d.finish(r)
}

// add appends results to the report, counts them and prints the failures. The prefix is put before each case's name.
func (r *flightReport) add(prefix string, list []flightsuite.Result) {
	for _, c := range list {
		c.Name = prefix + c.Name
		switch r.Cases = append(r.Cases, c); {
		case c.Skipped:
			r.Skipped++
		case c.Passed:
			r.Passed++
		default:
			r.Failed++
			fmt.Printf("FAILED  %s: %s\n", c.Name, c.Fault)
		}
	}
}

// finish prints the number of cases, writes the report and returns an error if a case or a measurement failed.
func (d flightCmd) finish(r *flightReport) error {
	fmt.Printf("cases: %d passed, %d failed, %d skipped\n", r.Passed, r.Failed, r.Skipped)
	if err := writeJSON(d.JSON, r); err != nil {
		return err
	}
	if r.Failed > 0 {
		return fmt.Errorf("%d cases failed", r.Failed)
	}
	for _, f := range r.Figures {
		if f.Failed > 0 {
			return fmt.Errorf("%s with %d clients: %d queries failed", f.Way, f.Clients, f.Failed)
		}
	}
	if s := r.Slow; s != nil && (s.MemoryMB > 32 || s.Other > 0 || s.Served == 0) {
		return fmt.Errorf("slow readers: %+v", *s)
	}
	for _, s := range r.Volumes {
		if s.Failed > 0 || s.MemoryMB > 64 {
			return fmt.Errorf("streaming with compression %s: %d queries failed, %d MB of memory used", s.Codec, s.Failed, s.MemoryMB)
		}
	}
	return nil
}

// suiteEnv returns the environment in which the suite tests a fleet.
func suiteEnv(f *fleet.Fleet, users []flightsuite.User) flightsuite.Env {
	return flightsuite.Env{Addr: f.Flight, Class: "report", Shards: f.Shards, Doc: datanode.Doc, Users: users}
}

// runCases runs the suite against a separate fleet with these users; without users the fleet requires no authentication.
func (d flightCmd) runCases(ctx context.Context, r *flightReport, users []flightsuite.User) (err error) {
	o := fleet.Options{Nodes: 8, Cells: 4, Shards: 16, TTL: 60, Transfer: true, ServiceTime: 5 * time.Millisecond, Binary: gullfallPath(d.Binary), Seed: 1, Flight: true}
	prefix := ""
	for _, u := range users {
		prefix = "users: "
		o.Deploy += fmt.Sprintf("[[flight.owner]]\nname = %q\nuser = %q\npassword = %q\ntoken = %q\n", u.Owner, u.Name, u.Password, u.Token)
	}
	f, err := fleet.Start(ctx, o)
	defer func() { err = errors.Join(err, f.Stop()) }()
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	r.add(prefix, flightsuite.Run(ctx, suiteEnv(f, users)))
	return checkAttempts(f)
}

// checkAttempts returns an error if two attempts of a part were in flight at once, or a part had more than 3 attempts.
func checkAttempts(f *fleet.Fleet) error {
	if a := f.Ledger.Account(); a.Twins > 0 || a.MostAttempts > 3 {
		return fmt.Errorf("rule violated: %d concurrent attempts of one part, up to %d attempts of a part", a.Twins, a.MostAttempts)
	}
	return nil
}
